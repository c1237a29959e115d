//! Steward processes paused with SIGSTOP and killed, with targets that ignore fencing tokens.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]
#![cfg(unix)]

mod support;

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use godwitspool_fakes::{Platform, free_address};
use godwitspool_types::{HostName, Offset};
use support::{
    check_orders, configuration, host_entry, orders, publish, start_platform, wait_until,
};

const TERM_MS: u64 = 1_000;

struct Process {
    child: Child,
    host: String,
    settings: PathBuf,
    steward: SocketAddr,
}

impl Process {
    fn start(platform: &Platform, host: &str) -> Self {
        let (steward, operators) = (free_address().unwrap(), free_address().unwrap());
        let name = format!("godwitspool-steward-{}-{host}.yaml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        let text = format!(
            "host: {host}\ndc: north\nsteward: {steward}\noperators: {operators}\n\
             entry: 127.0.0.1:1\nplatform: http://{}\nterm: {TERM_MS}ms\n",
            platform.address()
        );
        fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_godwitspool-steward"))
            .arg(&settings)
            .stderr(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            host: host.to_owned(),
            settings,
            steward,
        }
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status().unwrap();
        assert!(status.success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        drop(fs::remove_file(&self.settings));
    }
}

/// Returns the host that sent the last order.
fn last_host(platform: &Platform) -> HostName {
    orders(platform).last().unwrap().host.clone()
}

/// Publishes a higher floor and waits until there are as many targets.
fn raise_floor(platform: &Platform, base: Option<Offset>, floor: u32) -> Offset {
    let published = publish(platform, base, &configuration(floor));
    wait_until("the targets", || platform.targets().len() == floor as usize);
    published
}

/// A holder that was paused for longer than its term could still send an order that it had decided
/// before, after its successor's orders, since the targets don't check fencing tokens.
#[test]
fn a_paused_holder_gives_no_order_after_its_successor() {
    let platform = start_platform();
    let start = |host| Process::start(&platform, host);
    let mut processes = ["a", "b", "c"].map(start).into_iter().collect::<Vec<_>>();
    let hosts = processes.iter();
    let hosts = hosts.map(|process| host_entry(&process.host, process.steward));
    platform.set_hosts(hosts.collect());
    let mut floor = 1;
    let mut base = Some(raise_floor(&platform, None, floor));
    for _ in 0..3 {
        let holder = last_host(&platform);
        let paused = processes
            .iter()
            .find(|process| *process.host == *holder.as_str())
            .unwrap();
        paused.signal("-STOP");
        floor += 2;
        base = Some(raise_floor(&platform, base, floor));
        assert_ne!(last_host(&platform), holder);
        // The paused host resumes with its old decisions while the floor is raised again.
        floor += 2;
        let published = publish(&platform, base, &configuration(floor));
        paused.signal("-CONT");
        wait_until("the targets", || platform.targets().len() == floor as usize);
        base = Some(published);
        thread::sleep(Duration::from_millis(TERM_MS));
        check_orders(&platform);
    }
    let holder = last_host(&platform);
    processes.retain(|process| *process.host != *holder.as_str());
    raise_floor(&platform, base, floor + 1);
    check_orders(&platform);
}
