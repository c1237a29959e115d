//! Membership: which hosts of the system live, leave and are gone.
//!
//! Hosts of a data centre probe each other over UDP. A host that answers neither directly nor through
//! others is suspected, and counts as gone when it hasn't spoken up in time. A data centre alone
//! decides about its hosts; a few of them, the relays, tell other data centres. What hosts know
//! spreads with the probes, so the bytes a host sends don't grow with the number of hosts.
//!
//! [`Membership::decide`] is pure; [`Gossip`] carries its actions out over a socket.
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
mod distant;
mod gossip;
mod probe;
mod queue;
mod receive;
mod record;
mod rules;
pub mod simulated;
mod table;

pub use core::{Membership, MembershipAction, MembershipCounts, MembershipEvent};
pub use datagram::{Answered, DATAGRAM_BYTES, Datagram, DatagramError, DcHeard, Hints, Message};
pub use gossip::{Gossip, GossipCounts, GossipEvent};
pub use queue::{Rumor, RumorBody};
pub use record::{Health, MemberRecord};
pub use rules::MembershipRules;
