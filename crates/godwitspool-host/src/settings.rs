use std::{net::SocketAddr, time::Duration};

use godwitspool_types::{Dc, HostName};

use crate::version::ColdBound;

/// Settings that a host process needs before it reads anything from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this host, as given in logs and as the holder of duties.
    pub host: HostName,
    /// Data centre of this host; targets in the same one are preferred.
    pub dc: Dc,
    /// Address at which callers connect.
    pub front: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Address that other hosts list as a seed, if this host serves one.
    pub seed: Option<SocketAddr>,
    /// Address at which other hosts connect (TCP) and send reports (UDP).
    pub peer: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Addresses of hosts through which the store is called while it is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// Grace period from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Maximum time from the acknowledgement of a configuration until it is in force.
    pub apply_timeout: Duration,
    /// Maximum time from the acknowledgement of an evacuation until a request may reach a target there;
    /// `None` if the operators state none.
    pub evacuate: Option<Duration>,
    /// The bound on requests to cold targets.
    pub cold: ColdBound,
    /// Time for which a target serves on after the store has acknowledged that it leaves. No request
    /// may reach it later.
    pub drain: Duration,
    /// Lease duration of duties: a host that holds the duties again waits this long after its last
    /// action. Without fencing, every new holder waits this long.
    pub lease: Duration,
    /// Whether targets and the platform reject fencing tokens lower than one already seen.
    pub fenced: bool,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a usage window within which it may be reported.
    pub usage_deadline: Duration,
    /// Time after its submission for which a batch stays readable.
    pub batch_ttl: Duration,
    /// Maximum time from the acknowledgement of a batch's end until an item of it may reach a target.
    pub end_timeout: Duration,
    /// Milliseconds of a caller's time that a megabyte between data centres is worth; 0 if time alone
    /// decides whether a request leaves its data centre.
    pub remote_price: f64,
    /// Limits of the store.
    pub store: StoreBounds,
}

/// Limits of the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreBounds {
    /// Number of partitions of batches, and of their results, 8 by default.
    pub parts: u32,
    /// Maximum size of a record in bytes, 256 KiB by default.
    pub record_bytes: usize,
    /// Maximum total size of the records of one append in bytes, 2 MiB by default.
    pub call_bytes: usize,
    /// Minimum time without a renewal after which the store removes a group member, 1 s by default.
    pub member_ttl: Duration,
}

impl Default for StoreBounds {
    fn default() -> Self {
        Self {
            parts: 8,
            record_bytes: 256 * 1024,
            call_bytes: 2 * 1024 * 1024,
            member_ttl: Duration::from_secs(1),
        }
    }
}
