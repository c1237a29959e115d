//! Membership: which hosts of the system are alive, leaving or down.
//!
//! Hosts of a data centre probe each other over UDP, as in the SWIM protocol. A host that answers
//! neither directly nor through indirect probes is suspected, and is marked down unless it refutes
//! the suspicion in time. Only hosts of the same data centre judge a host's health; a few of them,
//! the relays, pass it on to other data centres. Updates are piggybacked on the probes, so the
//! bytes that a host sends don't grow with the number of hosts.
//!
//! [`Membership::decide`] does no I/O; [`Gossip`] performs its actions over a socket.
//!
//! ```
//! use godwitspool_process::membership::{MemberRecord, Membership, MembershipRules};
//! use godwitspool_types::Millis;
//!
//! let own = MemberRecord::default().with_host("nyarugenge-1", "nyarugenge");
//! let membership = Membership::new(own, MembershipRules::default(), Millis(0));
//! assert_eq!(membership.members(Millis(0)).len(), 1);
//! ```

mod core;
mod datagram;
mod gossip;
mod probe;
mod queue;
mod receive;
mod record;
mod remote;
mod rules;
pub mod simulated;
mod table;

pub use core::{Membership, MembershipAction, MembershipCounts, MembershipEvent};
pub use datagram::{
    Answered, Datagram, DatagramError, DcContact, Hints, MAX_DATAGRAM_BYTES, Message,
};
pub use gossip::{Gossip, GossipCounts, GossipEvent};
pub use queue::{Rumor, RumorBody};
pub use record::{Health, MemberRecord};
pub use rules::MembershipRules;
