//! State that is replaced by newer versions: the configuration, the targets, and mirrors of the
//! store's keyed partitions.

mod assignments;
mod cold;
mod configuration;
mod entry_order;
mod evacuation;
mod fingerprint;
mod fleet;
mod freshness;
mod lapse;
mod leaving;
mod limit;
mod mirror;
mod speed;
mod suspects;
mod trip;

pub use assignments::{AssignedModels, Assignments};
pub use cold::{Cold, ColdBound, ColdRule};
pub use configuration::{
    AuthorizationError, Configuration, Route, RouteKind, Scaling, Service, Split,
};
pub use entry_order::EntryOrder;
pub use evacuation::Evacuations;
pub use fingerprint::Fingerprint;
pub use fleet::{
    Choice, Departure, Fleet, LOAD_TIME, Outcome, PlaceRequest, Placement, Target, TargetEntry,
    Work,
};
pub use freshness::{Basis, CHOICE_LIFETIME, Freshness};
pub use lapse::Lapse;
pub use leaving::Leaving;
use limit::{BURST, PERMIT_LIFETIME};
pub use limit::{Limited, Limiter, Permit, PermitNeed};
pub use mirror::{Fetched, Mirror, MirrorChange};
pub use speed::{SpeedEstimate, TargetSpeed, load_slope};
pub use suspects::{
    EXTENSION_MS, Pacing, Standing, SuspectChange, SuspectRecord, SuspectRecordError, Suspects,
    TargetEnd, Trial,
};
use trip::MARGIN_MS;
pub use trip::{Offer, Payload, ShareChange, Spill, Trip, Trips, saving};
