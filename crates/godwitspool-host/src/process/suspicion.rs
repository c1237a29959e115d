//! Requests in flight on targets that have ended.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::PoisonError,
    thread,
    time::Duration,
};

use godwitspool_process::CounterByReason;
use godwitspool_sync::{Condvar, Mutex, MutexGuard};
use godwitspool_types::TargetName;

use super::Shared;
use crate::version::Fingerprint;

/// Timeout of a connection that shows whether a target has ended: several round trips between data
/// centres.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);
/// Delay of a second probe. A process that ends may close its connections before its listener.
const PROBE_DELAY: Duration = Duration::from_millis(50);

/// A start of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetStart {
    /// Name of the target.
    pub name: TargetName,
    /// When it started, in milliseconds since 1970.
    pub born: u64,
    /// Address at which it is reached.
    pub address: SocketAddr,
}

/// What a probe shows of a target whose connections have broken off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Probe {
    /// Nothing listens at its address any more.
    Ended,
    /// It takes connections.
    Alive,
    /// It can't be reached.
    Unknown,
}

/// Requests that were in flight when a connection to their target broke off.
#[derive(Debug)]
pub struct Suspicion {
    state: Mutex<State>,
    /// Notified when a connection has broken off.
    changed: Condvar,
    /// Number of requests that broke off, by what a probe has shown of the target.
    breaks: CounterByReason,
}

#[derive(Debug, Default)]
struct State {
    /// Requests that broke off, by the target that is to be probed.
    broken: HashMap<TargetStart, Vec<Fingerprint>>,
}

impl Suspicion {
    /// Creates the state of a host that suspects no request.
    pub fn new(breaks: CounterByReason) -> Self {
        Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            breaks,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the connection of a request broke off after it was sent, without a response.
    pub fn record_break(&self, target: TargetStart, print: Fingerprint) {
        self.lock().broken.entry(target).or_default().push(print);
        self.changed.notify_all();
    }

    /// Probes the targets of requests that broke off, until the process ends.
    pub fn verify(&self, _shared: &Shared) {
        loop {
            let mut state = self.lock();
            while state.broken.is_empty() {
                let woken = self.changed.wait(state);
                state = woken.unwrap_or_else(PoisonError::into_inner);
            }
            let broken = std::mem::take(&mut state.broken);
            drop(state);
            for (target, prints) in broken {
                let probe = probe(target.address);
                for print in prints {
                    self.breaks.count(probe.as_str());
                    log::info!(
                        fingerprint:% = print, target_name:% = target.name, born = target.born,
                        probe:?;
                        "request broke off"
                    );
                }
            }
        }
    }
}

impl Probe {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "target ended",
            Self::Alive => "target alive",
            Self::Unknown => "target unknown",
        }
    }
}

/// Connects to an address to find out whether its process has ended.
fn probe(address: SocketAddr) -> Probe {
    for delay in [Duration::ZERO, PROBE_DELAY] {
        thread::sleep(delay);
        match TcpStream::connect_timeout(&address, PROBE_TIMEOUT) {
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Probe::Ended,
            Err(error) => {
                log::debug!(address:%, error:%; "can't tell whether a target has ended");
                return Probe::Unknown;
            }
        }
    }
    Probe::Alive
}
