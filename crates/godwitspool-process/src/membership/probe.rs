//! Probes under way.

use std::net::SocketAddr;

use godwitspool_types::{HostName, Millis};

/// A probe of a host in the own data centre.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub host: HostName,
    pub address: SocketAddr,
    pub sequence: u64,
    pub begun: Millis,
    /// Set once others were asked to probe.
    pub indirect: bool,
}

/// A probe on behalf of another host.
#[derive(Clone, Debug)]
pub(super) struct Errand {
    pub sequence: u64,
    pub begun: Millis,
    /// Who asked.
    pub asker: SocketAddr,
    /// The asker's number.
    pub asked: u64,
}
