//! The platform's published protocol: JSON over HTTP/1.1.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /log/append` | [`AppendRequest`] | [`Appended`], 429 over the append rate, 503 in an outage |
//! | `GET /log?from=N&max=M` | none | [`LogPage`] |
//! | `GET /hosts` | none | [`HostList`], lagging |
//! | `GET /targets` | none | [`TargetList`], lagging |
//! | `POST /orders` | [`TargetOrder`] | [`OrderAnswer`] |
//! | `POST /usage` | [`UsageReport`] | 200 once stored, 409 when the figures differ from those stored |
//! | `GET /weights/MODEL/VERSION` | none | the weights' bytes, 429 over the store's rate |

use std::net::IpAddr;

use godwitspool_types::{
    ClassName, Dc, HostName, ModelName, Offset, ServiceName, TargetName, Term, Workspace,
};
use serde::{Deserialize, Serialize};

/// Appends records in their order, all or none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AppendRequest {
    /// Bodies of the records.
    pub records: Vec<String>,
}

/// Tells where records were appended.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Appended {
    /// Offset of the first record of the append.
    pub first: Offset,
}

/// A record of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogRecord {
    /// Body, as appended.
    pub body: String,
    /// Position.
    pub offset: Offset,
}

/// Records from an offset on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogPage {
    /// End of the log: the offset that the next append gets.
    pub end: Offset,
    /// Records in order of offset; the first one's offset is above the one asked for when retention
    /// has removed records between.
    pub records: Vec<LogRecord>,
    /// The oldest offset that is still kept.
    pub retained: Offset,
}

/// The platform's lagging list of hosts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}

/// A host of the system in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostEntry {
    /// Address of the host.
    pub address: IpAddr,
    /// Data centre.
    pub dc: Dc,
    /// Port on which entries talk to entries over TCP.
    pub entry_port: u16,
    /// Name.
    pub host: HostName,
    /// Set when the host is about to leave.
    pub leaving: bool,
    /// Port on which stewards are asked over TCP and gossip over UDP.
    pub steward_port: u16,
}

/// The platform's lagging list of targets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetList {
    /// The targets.
    pub targets: Vec<TargetEntry>,
}

/// A target in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Address, as `IP:PORT`.
    pub address: std::net::SocketAddr,
    /// Class.
    pub class: ClassName,
    /// Data centre.
    pub dc: Dc,
    /// Model that the target serves; empty for plain services.
    pub model: ModelName,
    /// Service that the target runs.
    pub service: ServiceName,
    /// State as the platform sees it.
    pub state: TargetState,
    /// Name.
    pub target: TargetName,
}

/// State of a target as the platform sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Takes no new work and ends soon.
    Leaving,
    /// Serves.
    Live,
    /// Will be reclaimed within seconds.
    Reclaimed,
    /// Starts and serves soon.
    Starting,
}

/// An order for targets of a data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetOrder {
    /// What to do.
    pub action: OrderAction,
    /// Class of targets.
    pub class: ClassName,
    /// Data centre.
    pub dc: Dc,
    /// Name of the process that gives the order, for the platform's audit.
    pub host: HostName,
    /// Identity: the same order sent twice takes effect once.
    pub order: String,
    /// Fencing token of the lease under which the order is given.
    pub term: Term,
}

/// What a target order does.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Starts this many targets.
    Start(u32),
    /// Stops these targets.
    Stop(Vec<TargetName>),
}

/// Answer to a target order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAnswer {
    /// Done; the names of the targets started or stopped.
    Done(Vec<TargetName>),
    /// Refused, because a higher term has been seen.
    Fenced(Term),
    /// Refused, because no such targets are to be had now.
    NoneAvailable,
}

/// Usage of a window, sent until acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Name of the process that reports, for the platform's audit.
    pub host: HostName,
    /// Figures by workspace.
    pub rows: Vec<UsageRow>,
    /// Fencing token of the lease under which the report is sent.
    pub term: Term,
    /// Number of the window.
    pub window: u64,
}

/// Usage of a workspace in a window.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageRow {
    /// Workspace.
    pub workspace: Workspace,
    /// Service, qualified.
    pub service: ServiceName,
    /// Requests answered.
    pub requests: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Tokens that the caller got.
    pub output_tokens: u64,
}
