//! Datagrams in which hosts report their runs and the start of loads to each other, so that no host
//! overloads a target that others already use.

use std::{
    collections::HashMap,
    io,
    net::UdpSocket,
    sync::{Arc, PoisonError},
    thread,
};

use godwitspool_sync::Mutex;
use godwitspool_types::{Millis, ModelName, TargetName};
use serde::{Deserialize, Serialize};

use super::Shared;

/// Interval between reports of unchanged runs; a host without runs repeats no report. It is a fifth
/// of the age at which receivers discard a report, because datagrams may be lost.
const REPORT_INTERVAL: Millis = Millis(100);
/// Minimum interval between reports, even if runs have changed.
const MIN_REPORT_INTERVAL: Millis = Millis(15);
/// Number of other holders up to which that interval applies: as many as a store with 8 partitions for
/// results and 8 for duties can have, which is what the interval was measured with.
const BASE_HOLDERS: u64 = 16;
/// Maximum value of the minimum interval. A report may wait as long again for the runner's next check
/// (100 ms), and two intervals must fit into the 500 ms after which receivers discard a report, so that
/// one lost datagram doesn't hide a host's runs.
const MAX_REPORT_INTERVAL: Millis = Millis(140);
/// Maximum size of a datagram; it fits into one network packet.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// Returns the minimum interval between a host's reports if `holders` other hosts hold partitions.
///
/// Load pattern: each holder reports to each other one, so what all receive together grows with the
/// square of their number. The interval grows with the number, so that one host receives no more reports
/// than from 16 holders at the shortest interval, about 1,070 per second.
///
/// ```
/// use godwitspool_host::process::report_interval;
/// use godwitspool_types::Millis;
///
/// assert_eq!(report_interval(16), Millis(15));
/// assert_eq!(report_interval(64), Millis(60));
/// assert_eq!(report_interval(1_000), Millis(140));
/// ```
pub fn report_interval(holders: usize) -> Millis {
    let holders = (holders as u64).max(BASE_HOLDERS);
    let interval = (MIN_REPORT_INTERVAL.0 * holders).div_ceil(BASE_HOLDERS);
    Millis(interval).min(MAX_REPORT_INTERVAL)
}

/// A datagram between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Notice {
    /// A target has accepted an order to load a version.
    Load(LoadNotice),
    /// Current runs of a host.
    Runs(RunReport),
}

/// Notice that a target has started to load a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadNotice {
    /// Target that loads the version.
    pub target: TargetName,
    /// Model that is loaded.
    pub model: ModelName,
    /// Version of the model's weights.
    pub version: u64,
}

/// Runs of one host, with the partitions and versions it knows of.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RunReport {
    /// Incarnation of the sending host.
    pub sender: u32,
    /// Sequence number, which increases with each report of an incarnation. All datagrams of a
    /// report carry the same one.
    pub number: u64,
    /// Number of runs on each target, or a part of them.
    pub running: Vec<(TargetName, u32)>,
    /// Owned partitions with their epochs. An earlier owner that hasn't noticed its loss yet stops
    /// its runs on receipt.
    pub owned: Vec<(u32, u64)>,
    /// Newest known version of each model, because records of the store reach some hosts later than
    /// others.
    pub named: Vec<(ModelName, u64)>,
}

impl Notice {
    /// Returns the datagrams that carry the notice. A report of runs that doesn't fit into one is
    /// split into several with the same number; the first ones carry the partitions and versions.
    ///
    /// # Errors
    ///
    /// Fails if the notice can't be encoded, or exceeds a datagram and can't be split.
    ///
    /// ```
    /// use godwitspool_host::process::{Notice, RunReport};
    ///
    /// let running = (0..300).map(|number| (format!("target-{number:08}").into(), 2)).collect();
    /// let report = RunReport { running, ..RunReport::default() };
    /// let datagrams = Notice::Runs(report).datagrams()?;
    /// assert!(datagrams.len() > 1);
    /// assert!(datagrams.iter().all(|datagram| datagram.len() <= 1_400));
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn datagrams(self) -> io::Result<Vec<Vec<u8>>> {
        let bytes = postcard::to_stdvec(&self).map_err(io::Error::other)?;
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return Ok(vec![bytes]);
        }
        match self {
            Self::Runs(mut report) if report.running.len() > 1 => {
                let rest = report.running.split_off(report.running.len() / 2);
                let rest = RunReport {
                    running: rest,
                    owned: Vec::new(),
                    named: Vec::new(),
                    ..report
                };
                let mut datagrams = Self::Runs(report).datagrams()?;
                datagrams.extend(Self::Runs(rest).datagrams()?);
                Ok(datagrams)
            }
            // A host that owns most partitions of a store with many topics.
            Self::Runs(mut report) if report.owned.len() > 1 => {
                let rest = RunReport {
                    owned: report.owned.split_off(report.owned.len() / 2),
                    running: Vec::new(),
                    named: Vec::new(),
                    ..report
                };
                let mut datagrams = Self::Runs(report).datagrams()?;
                datagrams.extend(Self::Runs(rest).datagrams()?);
                Ok(datagrams)
            }
            Self::Runs(_) | Self::Load(_) => Err(io::Error::other(format!(
                "{} bytes exceed a datagram",
                bytes.len()
            ))),
        }
    }
}

/// Sends and receives reports over UDP.
#[derive(Debug)]
pub struct Reports {
    /// `None` if the address couldn't be bound.
    socket: Option<UdpSocket>,
    last: Mutex<LastReport>,
}

#[derive(Debug, Default)]
struct LastReport {
    sent_at: Millis,
    number: u64,
    report: RunReport,
}

impl Reports {
    /// Binds the UDP socket to this host's peer address. If that fails, no reports are sent or
    /// received.
    pub fn open(peer_address: std::net::SocketAddr) -> Self {
        let socket = match UdpSocket::bind(peer_address) {
            Ok(socket) => Some(socket),
            Err(error) => {
                log::warn!(error:%, address:% = peer_address; "can't bind the UDP socket; reports between hosts are disabled");
                None
            }
        };
        Self {
            socket,
            last: Mutex::default(),
        }
    }

    /// Reports the runs of this host to the others if a report is due. `running` is called only then.
    /// Returns the time until runs that have changed meanwhile may be reported, if the interval is so
    /// long that others would rely on old runs for a noticeable time.
    pub fn send(
        &self,
        shared: &Shared,
        sender: u32,
        running: impl FnOnce() -> HashMap<TargetName, u32>,
    ) -> Option<Millis> {
        let socket = self.socket.as_ref()?;
        let now = shared.clock.now();
        let interval = report_interval(shared.peers.holder_count());
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let age = now - last.sent_at;
        if age < MIN_REPORT_INTERVAL {
            return (interval > MIN_REPORT_INTERVAL).then(|| interval - age);
        }
        // Earlier owners learn from the report that a partition was taken over, which can't wait.
        let owned = shared.owned_batches.owned();
        if age < interval && owned == last.report.owned {
            return Some(interval - age);
        }
        let mut report = RunReport {
            sender,
            number: last.number,
            running: running().into_iter().collect(),
            owned,
            named: shared.newest_versions().into_iter().collect(),
        };
        report.running.sort();
        report.named.sort();
        let idle = report.running.is_empty();
        let unchanged = report == last.report;
        if unchanged && (idle || age < REPORT_INTERVAL) {
            return None;
        }
        last.sent_at = now;
        last.number += 1;
        last.report = RunReport {
            number: last.number,
            ..report.clone()
        };
        drop(last);
        broadcast(shared, socket, Notice::Runs(report));
        None
    }

    /// Notifies the other hosts of a load, so that they send nothing to the target meanwhile and
    /// don't have to wait for its new entry afterwards.
    pub fn send_load(&self, shared: &Shared, load: LoadNotice) {
        if let Some(socket) = &self.socket {
            broadcast(shared, socket, Notice::Load(load));
        }
    }

    /// Receives reports until the process ends.
    pub fn receive(&self, shared: &Arc<Shared>) {
        let Some(socket) = &self.socket else {
            return;
        };
        let mut bytes = [0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            let length = match socket.recv(&mut bytes) {
                Ok(length) => length,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => {
                    log::debug!(error:%; "can't receive a report");
                    thread::sleep(RECEIVE_RETRY_DELAY);
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
                Err(error) => log::warn!(error:%, length; "invalid report"),
            }
        }
    }
}

/// Sends a notice to the other hosts that hold a partition.
fn broadcast(shared: &Shared, socket: &UdpSocket, notice: Notice) {
    let datagrams = match notice.datagrams() {
        Ok(datagrams) => datagrams,
        Err(error) => {
            log::error!(error:%; "can't send a report");
            return;
        }
    };
    for address in shared.peers.holders() {
        for datagram in &datagrams {
            if let Err(error) = socket.send_to(datagram, address) {
                log::debug!(error:%, peer:% = address; "can't send a report");
            }
        }
    }
}
