//! The platform's published protocol: JSON over HTTP/1.1.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /log/append` | [`AppendRequest`] | [`Appended`], 429 over the append rate, 503 in an outage |
//! | `GET /log?from=N&max=M` | none | [`LogPage`] |
//! | `GET /hosts` | none | [`HostList`], lagging behind the true state |
//! | `GET /targets` | none | [`TargetList`], lagging behind the true state |
//! | `POST /orders` | [`TargetOrder`] | [`OrderAnswer`] |
//! | `POST /usage` | [`UsageReport`] | 200 once stored, 409 when the figures differ from those stored |
//! | `GET /weights/MODEL/VERSION` | none | the weights' bytes, 429 over the store's rate |

use std::net::IpAddr;

use godwitspool_types::{
    ClassName, Dc, HostName, ModelName, Offset, ServiceName, TargetName, Term, Workspace,
};
use serde::{Deserialize, Serialize};

/// Request to append records to the log in this order, all or none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AppendRequest {
    /// Bodies of the records.
    pub records: Vec<String>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Appended {
    /// Offset of the first appended record.
    pub first: Offset,
}

/// A record of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogRecord {
    /// Body as it was appended.
    pub body: String,
    /// Position in the log.
    pub offset: Offset,
}

/// Records of the log, read from an offset on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogPage {
    /// End of the log: the offset of the next append.
    pub end: Offset,
    /// Records in order of offset. The first one's offset is above the requested one when retention
    /// has removed the records in between.
    pub records: Vec<LogRecord>,
    /// Offset of the oldest record that is still stored.
    pub retained: Offset,
}

/// The platform's list of hosts, which lags behind the true state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostList {
    /// One entry per host.
    pub hosts: Vec<HostEntry>,
}

/// A host of the system in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostEntry {
    /// Address of the host.
    pub address: IpAddr,
    /// Data centre of the host.
    pub dc: Dc,
    /// TCP port for calls from other entries.
    pub entry_port: u16,
    /// Name of the host.
    pub host: HostName,
    /// Set when the host is about to leave.
    pub leaving: bool,
    /// Port of the steward, for calls over TCP and gossip over UDP.
    pub steward_port: u16,
}

/// The platform's list of targets, which lags behind the true state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetList {
    /// One entry per target.
    pub targets: Vec<TargetEntry>,
}

/// A target in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Address, as `IP:PORT`.
    pub address: std::net::SocketAddr,
    /// Class, which sets price, start time and reclaimability.
    pub class: ClassName,
    /// Data centre of the target.
    pub dc: Dc,
    /// Model that the target serves; empty for plain services.
    pub model: ModelName,
    /// Service that the target runs.
    pub service: ServiceName,
    /// State as the platform sees it.
    pub state: TargetState,
    /// Name of the target.
    pub target: TargetName,
}

/// State of a target as the platform sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// The target takes no new work and ends soon.
    Leaving,
    /// The target serves requests.
    Live,
    /// The platform reclaims the target within seconds.
    Reclaimed,
    /// The target is starting and doesn't serve yet.
    Starting,
}

/// An order to start or stop targets in a data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetOrder {
    /// Whether to start or to stop targets.
    pub action: OrderAction,
    /// Class of the targets.
    pub class: ClassName,
    /// Data centre of the targets.
    pub dc: Dc,
    /// Name of the host that sends the order, for the platform's audit log.
    pub host: HostName,
    /// Idempotency key: the same order sent twice takes effect once.
    pub order: String,
    /// Fencing token of the lease under which the order is sent.
    pub term: Term,
}

/// Action of a target order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Start this many targets.
    Start(u32),
    /// Stop these targets.
    Stop(Vec<TargetName>),
}

/// Answer to a target order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAnswer {
    /// The order was executed. Holds the names of the targets that were started or stopped.
    Done(Vec<TargetName>),
    /// The order was refused, because the platform has seen this higher term.
    Fenced(Term),
    /// The order was refused, because no targets of the class are available now.
    NoneAvailable,
}

/// Usage of one window. The report is repeated until it is acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Name of the host that reports, for the platform's audit log.
    pub host: HostName,
    /// Usage by workspace and service.
    pub rows: Vec<UsageRow>,
    /// Fencing token of the lease under which the report is sent.
    pub term: Term,
    /// Number of the window.
    pub window: u64,
}

/// Usage of a service by a workspace within a window.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageRow {
    /// Workspace that is charged.
    pub workspace: Workspace,
    /// Qualified name of the service.
    pub service: ServiceName,
    /// Requests answered.
    pub requests: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Tokens that were delivered to callers.
    pub output_tokens: u64,
}
