//! State that is replaced by newer versions: the configuration, the targets, and mirrors of the
//! store's keyed partitions.

mod assignments;
mod configuration;
mod fingerprint;
mod fleet;
mod freshness;
mod lapse;
mod leaving;
mod limit;
mod mirror;
mod suspects;

pub use assignments::{AssignedModels, Assignments};
pub use configuration::{
    AuthorizationError, Configuration, Route, RouteKind, Scaling, Service, Split,
};
pub use fingerprint::Fingerprint;
pub use fleet::{Fleet, LOAD_TIME, Outcome, Placement, Target, TargetEntry};
pub use freshness::{Basis, CHOICE_LIFETIME, Freshness};
pub use lapse::Lapse;
pub use leaving::Leaving;
pub use limit::{Limited, Limiter, Permit};
pub use mirror::{Fetched, Mirror, MirrorChange};
pub use suspects::{
    Pacing, Standing, SuspectChange, SuspectRecord, SuspectRecordError, Suspects, TargetEnd, Trial,
};
