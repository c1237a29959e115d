//! Decision logic for training rollouts: steps, sample freshness, stragglers, fair sharing and
//! weight rollout.
//!
//! The crate performs no I/O: an event and the current time go in, actions come out, and the entry
//! and the steward execute them. Main types:
//!
//! - [`TrainerSteps`]: the replicated steps of one trainer, as seen by one host.
//! - [`Sample`] and [`VersionOrder`]: the weight versions that produced a sample, and whether they
//!   are fresh enough.
//! - [`Stragglers`]: which running samples to move or hedge.
//! - [`Shares`]: which trainer's sample starts next.
//! - [`SwapPlan`]: which target loads new weights next.
//! - [`Scoring`]: calls to scoring services.
//! - [`plan_reclaim`]: what to do with streams on targets that are about to be reclaimed.
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
