//! The log reader: follows the platform's log into a [`Replica`] of what is in force.
//!
//! Two hosts of each data centre read the platform's log; the others are told by them, so that the
//! platform's reads don't grow with the number of hosts. When a source fails the next is asked: the
//! other reader, the platform itself, or a host of another data centre. An empty host starts from a
//! peer's snapshot, or from the log's; until it has caught up with what any peer is known to have in
//! force it is not ready.
//!
//! [`ReadPlan::decide`] is pure; [`LogReader`] carries its asks out.

mod catch_up;
mod plan;
mod replica;
mod source;
mod thread;

pub use catch_up::{CatchUpError, catch_up};
pub use plan::{Ask, ReadEvent, ReadPlan, ReadRules, ReadState, Source};
pub use replica::{Applied, Replica, ReplicaCounts};
pub use thread::{LogEvent, LogReader, LogReaderOptions};
