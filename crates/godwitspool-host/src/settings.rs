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
    /// What the machine gives this process.
    pub resources: Resources,
    /// What clients may make this process use, where it isn't derived from the resources.
    pub clients: ClientLimits,
}

/// What clients may make a host process use. Values that aren't set are derived from the [`Resources`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClientLimits {
    /// Bytes of memory that requests and responses may hold together.
    pub memory: Option<u64>,
    /// Number of open connections.
    pub connections: Option<u32>,
    /// Number of open connections from one address.
    pub per_address: Option<u32>,
    /// Minimum rate of a body or response in bytes per second.
    pub rate: Option<u64>,
}

/// What the machine gives a host process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// Processor cores: the number of cores times the share of them, 1 by default.
    pub cores: f64,
    /// Memory in bytes. `None` if no limit is known.
    pub memory: Option<u64>,
    /// Maximum number of open file descriptors. `None` if no limit is known.
    pub descriptors: Option<u32>,
    /// Bandwidth of the network in Mbit/s. `None` if no limit is known.
    pub link_mbps: Option<f64>,
}

impl Default for Resources {
    fn default() -> Self {
        Self {
            cores: 1.0,
            memory: None,
            descriptors: None,
            link_mbps: None,
        }
    }
}

/// Limits of the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreBounds {
    /// Number of partitions of batches, and of their results, 8 by default.
    pub parts: u32,
    /// Number of writes per second that the store bears, 0 if it isn't known.
    pub max_writes: u32,
    /// Maximum size of a record in bytes, 256 KiB by default.
    pub record_bytes: usize,
    /// Maximum total size of the records of one append in bytes, 2 MiB by default.
    pub call_bytes: usize,
    /// Minimum time without a renewal after which the store removes a group member, 1 s by default.
    pub member_ttl: Duration,
}

impl StoreBounds {
    /// Returns the maximum size of an item's output in bytes. It fits into one append beside other results
    /// that take half of it, and with the default into a page of results.
    ///
    /// ```
    /// use godwitspool_host::StoreBounds;
    ///
    /// assert_eq!(StoreBounds::default().max_output(), 896 * 1024);
    /// ```
    pub fn max_output(&self) -> usize {
        self.call_bytes / 16 * 7
    }
}

impl Default for StoreBounds {
    fn default() -> Self {
        Self {
            parts: 8,
            max_writes: 0,
            record_bytes: 256 * 1024,
            call_bytes: 2 * 1024 * 1024,
            member_ttl: Duration::from_secs(1),
        }
    }
}
