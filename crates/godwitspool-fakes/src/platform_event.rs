//! What the platform records.

use godwitspool_connection::platform::{OrderAnswer, TargetOrder, TargetState, UsageReport};
use godwitspool_types::{Offset, TargetName};
use serde::{Deserialize, Serialize};

/// An event with its time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlatformRecord {
    /// Wall clock in milliseconds.
    pub at_ms: u64,
    /// What happened.
    pub event: PlatformEvent,
}

/// What the platform saw or did.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformEvent {
    /// Records were appended to the log.
    Appended {
        /// Offset of the first one.
        first: Offset,
        /// Their number.
        records: u64,
    },
    /// A target order was answered.
    Order {
        /// The answer.
        answer: OrderAnswer,
        /// The order.
        order: TargetOrder,
        /// Whether it is a repetition of an earlier one.
        repeated: bool,
    },
    /// A target changed its state.
    Target {
        /// The new state; none once it has ended.
        state: Option<TargetState>,
        /// The target.
        target: TargetName,
    },
    /// A usage report was answered.
    Usage {
        /// The report.
        report: UsageReport,
        /// Whether it was stored, or equal to what was stored.
        stored: bool,
    },
}
