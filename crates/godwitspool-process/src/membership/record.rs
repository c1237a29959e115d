//! The record that hosts exchange about each host.

use std::net::{Ipv4Addr, SocketAddr};

use godwitspool_connection::{messages::Member, platform::HostEntry};
use godwitspool_types::{Dc, HostName, Incarnation};
use serde::{Deserialize, Serialize};

/// Health of a host as other hosts see it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum Health {
    /// The host answers probes.
    #[default]
    Alive,
    /// The host did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The host shut down, or did not refute a suspicion in time.
    Down,
}

/// A host's addresses, incarnation and health.
///
/// Of two records for a host, the one with the higher incarnation replaces the other; if those are
/// equal, the higher version decides, then the worse health. Only the host itself raises its
/// version, to refute a suspicion or to announce that it leaves or shuts down.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the host, unique in the system.
    pub host: HostName,
    /// Data centre of the host.
    pub dc: Dc,
    /// Address of the host's entry for other entries.
    pub entry: SocketAddr,
    /// Address of the host's steward: TCP calls and UDP gossip.
    pub steward: SocketAddr,
    /// Incarnation of the steward process.
    pub life: Incarnation,
    /// Number of changes that the host made to its own record in this incarnation.
    pub version: u32,
    /// Health of the host.
    pub health: Health,
    /// Set when the host accepts no new work.
    pub leaving: bool,
}

impl Default for MemberRecord {
    fn default() -> Self {
        let unset = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Self {
            host: HostName::default(),
            dc: Dc::default(),
            entry: unset,
            steward: unset,
            life: Incarnation::default(),
            version: 0,
            health: Health::default(),
            leaving: false,
        }
    }
}

impl MemberRecord {
    /// Sets the host and its data centre.
    pub fn with_host(mut self, host: impl Into<HostName>, dc: impl Into<Dc>) -> Self {
        self.host = host.into();
        self.dc = dc.into();
        self
    }

    /// Sets the addresses of the entry and the steward.
    pub fn with_addresses(mut self, entry: SocketAddr, steward: SocketAddr) -> Self {
        self.entry = entry;
        self.steward = steward;
        self
    }

    /// Sets the incarnation of the steward process.
    pub fn with_life(mut self, life: Incarnation) -> Self {
        self.life = life;
        self
    }

    /// Returns whether this record replaces another one for the same host.
    pub fn replaces(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> (Incarnation, u32, Health) {
        (self.life, self.version, self.health)
    }

    /// Returns an upper bound of the record's size in a datagram.
    pub(super) fn bytes(&self) -> usize {
        const ADDRESS_BYTES: usize = 20;
        const NUMBER_BYTES: usize = 10;
        const LENGTH_BYTES: usize = 2;
        let names = self.host.as_str().len() + self.dc.as_str().len() + 2 * LENGTH_BYTES;
        names + 2 * ADDRESS_BYTES + NUMBER_BYTES + 5 + 2
    }
}

impl From<&MemberRecord> for Member {
    fn from(record: &MemberRecord) -> Self {
        Self {
            host: record.host.clone(),
            dc: record.dc.clone(),
            entry: record.entry,
            leaving: record.leaving,
            steward: record.steward,
        }
    }
}

impl From<&HostEntry> for MemberRecord {
    fn from(entry: &HostEntry) -> Self {
        Self::default()
            .with_host(entry.host.clone(), entry.dc.clone())
            .with_addresses(
                (entry.address, entry.entry_port).into(),
                (entry.address, entry.steward_port).into(),
            )
    }
}
