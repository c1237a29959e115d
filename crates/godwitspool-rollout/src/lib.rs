//! Steps, groups and samples of trainers: freshness, stragglers, shares and weight rollout.
//!
//! Everything here decides and does nothing: an event and a time go in, actions come out, and the
//! entry and the steward carry them out. Main types:
//!
//! - [`TrainerSteps`]: the steps of one trainer on one host, as home or as replica.
//! - [`Sample`] and [`VersionOrder`]: what made a sample, and whether it is fresh enough.
//! - [`Stragglers`]: which running samples to move or to hedge.
//! - [`Shares`]: whose sample starts next.
//! - [`SwapPlan`]: which target loads new weights next.
//! - [`Scoring`]: calls of scoring services.
//! - [`plan_reclaim`]: what happens to the streams of targets that are reclaimed.
//!
//! ```
//! use godwitspool_rollout::{Freshness, VersionOrder};
//!
//! let mut order = VersionOrder::default();
//! order.publish(&"v1".into());
//! order.publish(&"v2".into());
//! assert_eq!(order.freshness(&"v1".into(), 1), Freshness::Fresh { age: 1 });
//! assert_eq!(order.freshness(&"v1".into(), 0), Freshness::TooOld { age: 1 });
//! ```

mod batch;
mod lengths;
mod placement;
mod reclaim;
mod sample;
mod scoring;
mod share;
mod step;
mod straggler;
mod swap;
mod tokens;
mod version_order;

pub use batch::{Batch, Digest, Page};
pub use lengths::Lengths;
pub use placement::rank_hosts;
pub use reclaim::{ReclaimBudget, ReclaimMove, ReclaimPlan, ReclaimedStream, plan_reclaim};
pub use sample::{
    GroupSpec, Message, Sample, SampleFinish, SampleId, SampleIdError, Score, Span, StepNumber,
};
pub use scoring::{ScoreAction, ScoreEvent, Scoring, ScoringRules};
pub use share::{Shares, TrainerDemand};
pub use step::{
    AcknowledgedBatch, Answer, Epoch, Image, PeerMessage, Progress, Record, Refusal, Request,
    StepAction, StepCounts, StepEvent, StepRules, TrainerSteps,
};
pub use straggler::{Attempt, Remedy, StragglerRules, Stragglers, TargetPace};
pub use swap::{SwapAction, SwapEvent, SwapFailure, SwapPlan, SwapRules, SwapState};
pub use tokens::Tokens;
pub use version_order::{Freshness, VersionOrder};
