//! Decisions about a request: who sent it, whether it is admitted, which target runs it, and what
//! follows a failure.
//!
//! The functions here take state, events and the current time, and return actions. They use no
//! clock, socket or lock, so the same code runs in the entry daemon, in tests and in the
//! measurements.
//!
//! ```
//! use godwitspool_request::{Reason, Refusal};
//!
//! let refusal = Refusal::from(Reason::QueueFull);
//! assert_eq!(refusal.to_string(), "queue-full (not-run)");
//! ```

mod admission;
mod breaker;
mod idempotency;
mod keys;
mod limits;
mod pool;
mod prefixes;
mod quarantine;
mod refusal;
mod rendezvous;
mod resume;
mod retry;
mod silence;
mod target;
mod targets;
mod training_share;

pub use admission::{Admission, AdmissionAction, AdmissionEvent, Ticket};
pub use breaker::{AttemptOutcome, Breaker};
pub use idempotency::{
    ClaimAnswer, Fate, HandoverItem, IdempotencyKey, KEY_HOMES, KeyHome, KeyLoss, KeyRecord,
};
pub use keys::{Caller, KeyTable};
pub use limits::{Grant, LimitDemand, LimitHome, LimitUsage, Limits};
pub use prefixes::{PrefixEvent, Prefixes};
pub use quarantine::{
    BLAME_PER_CRASH, Blame, CrashRecord, SuspectAction, SuspectEvent, SuspectList, SuspectStatus,
    Suspects, split_blame,
};
pub use refusal::{Reason, Refusal};
pub use rendezvous::{homes, stable_hash, weight as rendezvous_weight};
pub use resume::{AnswerAssembler, StreamToken, TokenOutcome};
pub use retry::{Attempts, Repeat, RepeatBudget, RetryBudget, RetryDecision, RetryReason};
pub use silence::{ConnectionAction, ConnectionState, IdleTimeout, Wait, check_idle_connections};
pub use target::{LoadReport, TargetFacts, TargetId};
pub use targets::{Choice, Need, Targets};
pub use training_share::TrainingShare;
