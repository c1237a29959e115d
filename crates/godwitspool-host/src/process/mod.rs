//! Process-wide state and threads: the shared state, listeners, replication from the store, group
//! membership, duties, and communication with other hosts.

mod activity;
mod caller_reads;
mod calls;
mod clients;
mod drained;
mod duties;
mod ending;
mod forwarded_caller;
mod host;
mod membership;
mod peers;
mod permits;
mod places;
mod probe;
mod relay;
mod reports;
mod room;
mod shared;
mod standby;
mod store_reads;
mod suspicion;
mod tails;
mod trims;
mod trips;
mod usage;

pub use activity::{Activity, StallDetector};
pub use clients::ClientShare;
pub use drained::Drained;
pub use ending::{DrainPlan, Ending, RETRY_AFTER_END};
pub use forwarded_caller::{Access, ForwardedCaller};
pub use host::Host;
pub use places::PlaceMetrics;
pub use relay::Relay;
pub use reports::{LoadNotice, Notice, RunReport, report_interval};
pub use shared::{Adapters, Shared, unix_ms};
pub use standby::{Listing, Standby, StandbyChange, is_standby};
pub use store_reads::{ReadChange, ReadStart, StartedRead, StoreReads};
pub use suspicion::{Admission, RunClaim, SuspectRun, Suspicion, TargetStart};
pub use tails::read_wait;
pub use trips::TripMetrics;
pub use usage::UsageCounts;
