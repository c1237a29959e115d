//! The end of an entry: whoever calls meanwhile is answered or finds the port closed.

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
/// Far above the time that a refusal or a closed port takes.
const HANGS: Duration = Duration::from_secs(5);
const UNDER_WAY: Duration = Duration::from_millis(200);

/// Calls again and again on new connections, and returns how many calls hung.
fn call(address: SocketAddr, stopped: &AtomicBool) -> usize {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_global(Some(HANGS))
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
    thread::sleep(UNDER_WAY);
    drop(entry);
    thread::sleep(UNDER_WAY);
    stopped.store(true, Ordering::Release);
    let hung: usize = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum();
    assert_eq!(hung, 0);
}
