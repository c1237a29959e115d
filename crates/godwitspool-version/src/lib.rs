//! What lives for a version: configuration, log fold, lease terms, target orders, usage windows and
//! weight versions.
//!
//! Everything here is plain data and pure functions. The log's records are folded by offset into
//! one [`Configuration`] and the states beside it; no clock, socket or lock is used.
//!
//! | module's main type | what it is |
//! |---|---|
//! | [`Record`] | one record of the log |
//! | [`Fold`] | what the records up to an offset have put in force |
//! | [`LeaseCandidate`] | what one host does to get, keep and use a lease |
//! | [`OrderTable`], [`WindowTable`] | target orders and usage windows as folded |
//! | [`Scaling`], [`OrderDispatcher`] | which orders to give, and when to send them |
//! | [`HeldUsage`], [`usage_steps`] | usage on its way into windows and reports |
//! | [`SnapshotParts`], [`SnapshotCadence`] | snapshots read and written |
//! | [`AppendBudget`] | what each stream of records may append |

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
