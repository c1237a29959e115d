//! What hosts tell each other of their runs, so that none fills a target that another has filled.

use std::{
    collections::HashMap,
    io,
    net::UdpSocket,
    sync::{Arc, Mutex, PoisonError},
    thread,
};

use godwitspool_types::{Millis, ModelName, TargetName};
use serde::{Deserialize, Serialize};

use super::Shared;

/// Time between two reports while nothing has changed much: a fifth of the age at which receivers
/// forget them, since datagrams get lost.
const PERIOD: Millis = Millis(100);
/// Time between two reports at least, however much has changed.
const PERIOD_LEAST: Millis = Millis(15);
/// Largest datagram: fits a network packet.
const DATAGRAM_BYTES: usize = 1_400;
/// Pause after a failed receive.
const RECEIVE_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// What hosts tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Notice {
    /// A target has accepted an order to load a version.
    Load(LoadNotice),
    /// Runs of a host.
    Runs(RunReport),
}

/// A load that a target has begun.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadNotice {
    /// The target.
    pub target: TargetName,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
}

/// Runs of one host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RunReport {
    /// Tells a host's starts apart.
    pub sender: u32,
    /// Grows with each report.
    pub number: u64,
    /// Runs by target.
    pub running: Vec<(TargetName, u32)>,
    /// Owned partitions with their epochs: an earlier owner that hasn't heard yet stops its runs.
    pub owned: Vec<(u32, u64)>,
    /// Newest version known of each model: the store may tell some hosts later than others.
    pub named: Vec<(ModelName, u64)>,
}

/// Sends and receives reports.
#[derive(Debug)]
pub struct Reports {
    socket: Option<UdpSocket>,
    sent: Mutex<Sent>,
}

#[derive(Debug, Default)]
struct Sent {
    at: Millis,
    number: u64,
    report: RunReport,
}

impl Reports {
    /// Opens the socket at the address for messages between hosts.
    pub fn open(shared_peer: std::net::SocketAddr) -> Self {
        let socket = match UdpSocket::bind(shared_peer) {
            Ok(socket) => Some(socket),
            Err(error) => {
                log::warn!(error:%, address:% = shared_peer; "no reports between hosts");
                None
            }
        };
        Self {
            socket,
            sent: Mutex::default(),
        }
    }

    /// Tells the other hosts of the runs of this one, if that is due.
    pub fn send(&self, shared: &Shared, sender: u32, running: HashMap<TargetName, u32>) {
        let Some(socket) = &self.socket else {
            return;
        };
        let now = shared.clock.now();
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let age = now - sent.at;
        if age < PERIOD_LEAST {
            return;
        }
        let mut report = RunReport {
            sender,
            number: sent.number,
            running: running.into_iter().collect(),
            owned: shared.owned_batches.owned(),
            named: shared.named().into_iter().collect(),
        };
        report.running.sort();
        report.named.sort();
        let idle = report.running.is_empty();
        let unchanged = report == sent.report;
        if unchanged && (idle || age < PERIOD) {
            return;
        }
        sent.at = now;
        sent.number += 1;
        sent.report = RunReport {
            number: sent.number,
            ..report.clone()
        };
        drop(sent);
        broadcast(shared, socket, &Notice::Runs(report));
    }

    /// Tells the other hosts of a load, so that they neither send to the target meanwhile nor wait
    /// for its entry afterwards.
    pub fn send_load(&self, shared: &Shared, load: LoadNotice) {
        if let Some(socket) = &self.socket {
            broadcast(shared, socket, &Notice::Load(load));
        }
    }

    /// Receives reports until the process ends.
    pub fn receive(&self, shared: &Arc<Shared>) {
        let Some(socket) = &self.socket else {
            return;
        };
        let mut bytes = [0; 2 * DATAGRAM_BYTES];
        loop {
            let length = match socket.recv(&mut bytes) {
                Ok(length) => length,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => {
                    log::debug!(error:%; "receive of a report failed");
                    thread::sleep(RECEIVE_PAUSE);
                    continue;
                }
            };
            let now = shared.clock.now();
            match postcard::from_bytes::<Notice>(&bytes[..length]) {
                Ok(Notice::Runs(report)) => {
                    for (part, epoch) in &report.owned {
                        shared.owned_batches.observe_epoch(*part, *epoch);
                    }
                    for (model, version) in &report.named {
                        shared.learn_version(model, *version, "another host");
                    }
                    shared.fleet().apply_report(&report, now);
                }
                Ok(Notice::Load(load)) => {
                    let LoadNotice {
                        target,
                        model,
                        version,
                    } = &load;
                    log::info!(target_name:% = target, model:%, version; "load begins");
                    shared.fleet().begin_load(target, model, *version, now);
                }
                Err(error) => log::warn!(error:%, length; "report can't be read"),
            }
        }
    }
}

/// Sends a notice to the other hosts that hold a partition.
fn broadcast(shared: &Shared, socket: &UdpSocket, notice: &Notice) {
    let bytes = match postcard::to_stdvec(notice) {
        Ok(bytes) if bytes.len() <= DATAGRAM_BYTES => bytes,
        Ok(bytes) => {
            log::warn!(bytes = bytes.len(); "report between hosts is too large");
            return;
        }
        Err(error) => {
            log::error!(error:%; "report can't be encoded");
            return;
        }
    };
    for address in shared.peers.holders(shared) {
        if let Err(error) = socket.send_to(&bytes, address) {
            log::debug!(error:%, peer:% = address; "report not sent");
        }
    }
}
