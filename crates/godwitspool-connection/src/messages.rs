//! Messages between the system's own processes, coded with postcard.

mod rollout;
mod serving;

use std::{net::SocketAddr, sync::Arc};

use godwitspool_types::{Dc, HostName, Offset, RequestId, ServiceName, TargetName, Workspace};
use godwitspool_version::Configuration;
use serde::{Deserialize, Serialize};

use crate::platform::{LogRecord, TargetEntry};

pub use rollout::{Portion, RolloutAnswer, RolloutRequest};
pub use serving::{
    ClaimReply, KeyFate, KeyItem, KeyName, LimitPart, ServingAnswer, ServingRequest, SuspectRecord,
    TargetLoad, TrialReply,
};

/// Asks a steward.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StewardRequest {
    /// Asks for the usage records that the steward holds.
    HeldUsage,
    /// Takes usage records of an entry; answered once they are held.
    HoldUsage(Vec<UsageRecord>),
    /// Asks for the fold's snapshot.
    Snapshot,
    /// Asks for records of the log from an offset on.
    Tail(Offset),
    /// Asks for the view; answered when it differs from the revision named, or after a second.
    View(u64),
    /// Reports an entry's demand.
    Demand(Demand),
}

/// Answers of a steward.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StewardAnswer {
    /// Done.
    Done,
    /// The steward has not yet found the configuration.
    NotReady,
    /// The fold's snapshot, coded as in the log.
    Snapshot {
        /// Offset up to which the snapshot reaches, exclusive.
        end: Offset,
        /// The snapshot.
        body: String,
    },
    /// Records of the log.
    Tail {
        /// Milliseconds since the steward last knew that all of the log was in force on it.
        age_ms: u64,
        /// Records in order of offset.
        records: Vec<LogRecord>,
        /// End of the log as far as the steward knows.
        end: Offset,
        /// Oldest offset that the steward still has.
        retained: Offset,
    },
    /// The usage records that are held.
    Usage(Vec<UsageRecord>),
    /// The view.
    View(Box<View>),
}

/// Asks another entry.
///
/// Each part of the entry has messages of its own.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum EntryRequest {
    /// Of the trainers' path.
    Rollout(RolloutRequest),
    /// Of the interactive path.
    Serving(ServingRequest),
}

/// Answers another entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum EntryAnswer {
    /// The entry has stopped serving peers, or doesn't know the request.
    Refused,
    /// Of the trainers' path.
    Rollout(RolloutAnswer),
    /// Of the interactive path.
    Serving(ServingAnswer),
}

/// What an entry needs to serve, as its steward knows it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct View {
    /// Milliseconds since the log's end was last confirmed.
    pub age_ms: u64,
    /// Configuration in force.
    pub configuration: Arc<Configuration>,
    /// Fingerprints of requests that are quarantined.
    pub quarantined: Vec<u64>,
    /// Live and leaving hosts.
    pub members: Vec<Member>,
    /// Offset up to which the configuration is folded, exclusive.
    pub offset: Offset,
    /// Counts changes of this steward's view.
    pub revision: u64,
    /// Targets that are known.
    pub targets: Vec<TargetEntry>,
}

/// A host of the system as membership sees it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Name.
    pub host: HostName,
    /// Data centre.
    pub dc: Dc,
    /// Address of the entry for other entries.
    pub entry: SocketAddr,
    /// Set when the host takes no new work.
    pub leaving: bool,
    /// Address of the steward.
    pub steward: SocketAddr,
}

/// Usage of one request, counted by what the caller got.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageRecord {
    /// Entry host that answered.
    pub host: HostName,
    /// Sequence number on the entry host, from 1, without gaps in one life.
    pub sequence: u64,
    /// Life of the entry.
    pub incarnation: u64,
    /// Tokens that the caller got.
    pub output_tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Request.
    pub request: RequestId,
    /// Service, qualified.
    pub service: ServiceName,
    /// Workspace that pays.
    pub workspace: Workspace,
}

/// Demand at an entry, by service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Demand {
    /// Entry host.
    pub host: HostName,
    /// Demand by service.
    pub services: Vec<ServiceDemand>,
    /// Targets whose stream of work the entry found broken since its last report.
    pub suspects: Vec<TargetName>,
}

/// Demand for a service at an entry.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceDemand {
    /// Service, qualified.
    pub service: ServiceName,
    /// Interactive requests running.
    pub interactive: u32,
    /// Training samples running.
    pub training: u32,
    /// Interactive requests waiting.
    pub waiting: u32,
    /// Training samples waiting.
    pub backlog: u32,
}
