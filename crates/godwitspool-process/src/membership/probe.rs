//! Probes waiting for an ack.

use std::net::SocketAddr;

use godwitspool_types::{HostName, Millis};

/// A probe of a host in the local data centre.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub host: HostName,
    pub address: SocketAddr,
    pub sequence: u64,
    pub begun: Millis,
    /// Set once other hosts were asked to probe the host.
    pub indirect: bool,
}

/// A probe on behalf of another host.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    pub sequence: u64,
    pub begun: Millis,
    /// Where to send the ack.
    pub requester: SocketAddr,
    /// Sequence number that the requester gave its probe.
    pub request_sequence: u64,
}
