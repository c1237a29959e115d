use std::{net::SocketAddr, time::Duration};

use godwitspool_types::{Dc, HostName};

/// What a host process needs to know before it reads anything from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of this host.
    pub host: HostName,
    /// Data centre of this host.
    pub dc: Dc,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Where hosts that know no other host find this one, if it serves that.
    pub seed: Option<SocketAddr>,
    /// Where other hosts connect.
    pub peer: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Hosts to ask while the store can't be reached.
    pub seeds: Vec<SocketAddr>,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// How long after its acknowledgement a configuration must be in force.
    pub apply_timeout: Duration,
    /// A duty's former holder acts again no sooner than this after its last act.
    pub lease: Duration,
    /// Whether targets and the platform refuse fencing tokens lower than one already seen.
    pub fenced: bool,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// How long after its end a window may be reported.
    pub usage_deadline: Duration,
    /// How long a batch stays readable after its submission.
    pub batch_ttl: Duration,
    /// Bounds of the store.
    pub store: StoreBounds,
}

/// Bounds of the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreBounds {
    /// Partitions of each of the product's topics.
    pub parts: u32,
    /// Bytes of a record.
    pub record_bytes: usize,
    /// Bytes of the records of one append.
    pub call_bytes: usize,
    /// Least time after which a silent member of a group is left out.
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
