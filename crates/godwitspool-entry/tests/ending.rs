//! Shutdown of an entry: every call made during the shutdown is answered or finds the port closed.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use godwitspool_entry::Entry;
use godwitspool_process::EntrySettings;
use ureq::{Agent, Error};

const CALLERS: usize = 4;
/// Far longer than a refusal or a closed port takes.
const HANG_TIMEOUT: Duration = Duration::from_secs(5);
const CALLING_TIME: Duration = Duration::from_millis(200);

/// Calls repeatedly on new connections, and returns how many calls hung.
fn call(address: SocketAddr, stopped: &AtomicBool) -> usize {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_global(Some(HANG_TIMEOUT))
        .build();
    let agent = Agent::new_with_config(config);
    let url = format!("http://{address}/v1/chat/completions");
    let mut hung = 0;
    while !stopped.load(Ordering::Acquire) {
        if let Err(Error::Timeout(_)) = agent.post(&url).send("{}") {
            hung += 1;
        }
    }
    hung
}

#[test]
fn no_call_hangs_while_the_entry_ends() {
    let entry = Entry::start(EntrySettings::default().with_host("n1", "north")).unwrap();
    let address = entry.address();
    let stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || call(address, &stopped))
        })
        .collect();
    thread::sleep(CALLING_TIME);
    drop(entry);
    thread::sleep(CALLING_TIME);
    stopped.store(true, Ordering::Release);
    let hung: usize = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum();
    assert_eq!(hung, 0);
}
