//! State that is folded from the log: configuration, leases, target orders, usage windows and
//! weight versions, with the decisions that are based on it.
//!
//! The crate contains only data types and computations on them. The log's records are folded, in
//! order of offset, into the [`Configuration`] and the other state in [`Fold`]. No clock, socket or
//! lock is used; functions take the current time as an argument.
//!
//! | type | purpose |
//! |---|---|
//! | [`Record`] | one record of the log |
//! | [`Fold`] | the state in force after the records up to an offset |
//! | [`LeaseCandidate`] | the state machine by which a host claims, renews and uses a lease |
//! | [`OrderTable`], [`WindowTable`] | target orders and usage windows, folded from the log |
//! | [`Scaling`], [`OrderDispatcher`] | which target orders are needed, and when to send them |
//! | [`HeldUsage`], [`usage_steps`] | usage until it is sealed, frozen and reported |
//! | [`SnapshotParts`], [`SnapshotCadence`] | assembling snapshots, and when to write them |
//! | [`AppendBudget`] | rate limits on appends, per stream of records |

mod append_budget;
mod awaited_targets;
mod candidate;
mod change;
mod configuration;
mod coverage;
mod fold;
mod lease;
mod order_dispatch;
mod order_table;
mod record;
mod scaling;
mod scaling_rules;
mod scaling_view;
mod snapshot;
mod usage;
mod window_table;

pub use append_budget::{AppendBudget, AppendCounts, Stream, StreamLimits};
pub use candidate::{LeaseAction, LeaseCandidate, LeaseEvent, LeaseRules};
pub use change::ConfigurationChange;
pub use configuration::{
    ClassRules, Configuration, DcRules, KeyRule, ServiceKind, ServiceRef, ServiceRules,
    TrainerRules, UnconfirmedKeys, WorkspaceRules,
};
pub use coverage::Coverage;
pub use fold::{Change, Fold, FoldCounts, FoldError, RecordOutcome};
pub use lease::{Lease, LeaseHolder};
pub use order_dispatch::{OrderDispatcher, OrderStep, OrderTimes};
pub use order_table::{ClosedOrder, OpenOrder, OrderTable};
pub use record::{
    DecodeError, HostLife, LeaseKind, LeaseRecord, LeaseStep, OrderId, OrderIntent, OrderOutcome,
    OrderReason, Publish, Record, RecordBody, RecordId, SnapshotPart, TargetAction, UsageFigures,
    UsageRange, UsageSeal, WeightsTarget, WindowFrozen,
};
pub use scaling::{Scaling, ScalingOrder};
pub use scaling_rules::ScalingRules;
pub use scaling_view::{ObservedTarget, ScalingView, ServiceLoad, TargetPhase};
pub use snapshot::{
    SnapshotCadence, SnapshotError, SnapshotParts, SnapshotPosition, snapshot_records,
};
pub use usage::{HeldUsage, RequestUsage, UsageStep, UsageView, usage_steps};
pub use window_table::{SealedFigures, WindowState, WindowTable, sum_figures};
