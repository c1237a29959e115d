//! What is told about a host.

use std::net::{Ipv4Addr, SocketAddr};

use godwitspool_connection::{messages::Member, platform::HostEntry};
use godwitspool_types::{Dc, HostName, Incarnation};
use serde::{Deserialize, Serialize};

/// How a host is seen.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum Health {
    /// It answers.
    #[default]
    Alive,
    /// It didn't answer and has yet to speak up.
    Suspect,
    /// It is gone.
    Down,
}

/// What is told about a host.
///
/// Of two records the one with the higher life, then the higher version, then the worse health holds.
/// Only the host itself raises its version, to refute a suspicion or to say that it leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name.
    pub host: HostName,
    /// Data centre.
    pub dc: Dc,
    /// Address of the entry for other entries.
    pub entry: SocketAddr,
    /// Address of the steward, for calls and gossip.
    pub steward: SocketAddr,
    /// Life of the steward.
    pub life: Incarnation,
    /// Counts what the host says about itself in this life.
    pub version: u32,
    /// How it is seen.
    pub health: Health,
    /// Set when it takes no new work.
    pub leaving: bool,
}

impl Default for MemberRecord {
    fn default() -> Self {
        let nowhere = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Self {
            host: HostName::default(),
            dc: Dc::default(),
            entry: nowhere,
            steward: nowhere,
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

    /// Sets the life.
    pub fn with_life(mut self, life: Incarnation) -> Self {
        self.life = life;
        self
    }

    /// Returns whether this record replaces another about the same host.
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
