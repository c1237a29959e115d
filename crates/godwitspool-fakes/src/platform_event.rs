//! History records of the platform.

use godwitspool_connection::platform::{OrderAnswer, TargetOrder, TargetState, UsageReport};
use godwitspool_types::{Offset, TargetName};
use serde::{Deserialize, Serialize};

/// An event with its time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlatformRecord {
    /// Wall clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Event that the platform recorded.
    pub event: PlatformEvent,
}

/// An event in the history of the platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformEvent {
    /// Records were appended to the log.
    Appended {
        /// Offset of the first appended record.
        first: Offset,
        /// Number of appended records.
        records: u64,
    },
    /// A target order was handled.
    Order {
        /// Answer to the order, even if the response was lost.
        answer: OrderAnswer,
        /// Order as received.
        order: TargetOrder,
        /// Whether an order with the same identifier was executed before.
        repeated: bool,
    },
    /// A target changed its state.
    Target {
        /// New state; `None` once the target has ended.
        state: Option<TargetState>,
        /// Name of the target.
        target: TargetName,
    },
    /// A usage report was handled.
    Usage {
        /// Report as received.
        report: UsageReport,
        /// Whether the report was accepted, as the first of its window or with the same rows as the
        /// first; others get status 409.
        stored: bool,
    },
}
