//! The log reader: replicates the platform's log into a [`Replica`] on this host.
//!
//! Two hosts of each data centre, its readers, read the platform's log. The other hosts read from
//! them, so that the load on the platform doesn't grow with the number of hosts. When a source
//! fails, the host tries the next one: the other reader, the platform, or a host of another data
//! centre. A new host starts from a peer's snapshot, or from a snapshot in the log. It is not ready
//! until it has caught up with the platform's log, or with the highest offset that any peer is
//! known to have applied.
//!
//! [`ReadPlan`] does no I/O; [`LogReader`] performs its requests.

mod catch_up;
mod plan;
mod replica;
mod source;
mod thread;

pub use catch_up::{CatchUpError, catch_up};
pub use plan::{ReadEvent, ReadPlan, ReadRequest, ReadRules, ReadState, Source};
pub use replica::{Applied, Replica, ReplicaCounts};
pub use thread::{LogEvent, LogReader, LogReaderOptions};
