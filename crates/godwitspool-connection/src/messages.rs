//! Messages between the system's own processes, encoded with postcard.
//!
//! Postcard encodes fields and variants by position, so their order is part of the protocol.

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

/// A request to a steward.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StewardRequest {
    /// Asks for the usage records that the steward stores.
    HeldUsage,
    /// Stores usage records of an entry; answered once they are stored.
    HoldUsage(Vec<UsageRecord>),
    /// Asks for a snapshot of the steward's fold of the log.
    Snapshot,
    /// Asks for the records of the log from this offset on.
    Tail(Offset),
    /// Asks for the view. Answered when its revision differs from this one, or after a second.
    View(u64),
    /// Reports the demand at an entry.
    Demand(Demand),
}

/// An answer of a steward.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StewardAnswer {
    /// The request succeeded.
    Done,
    /// The steward has not read the configuration yet.
    NotReady,
    /// A snapshot of the fold, encoded as in the log.
    Snapshot {
        /// Offset of the first record that the snapshot doesn't include.
        end: Offset,
        /// The encoded snapshot.
        body: String,
    },
    /// Records of the log.
    Tail {
        /// Milliseconds since the steward last knew that it had applied the complete log.
        age_ms: u64,
        /// Records in order of offset.
        records: Vec<LogRecord>,
        /// End of the log, as the steward knows it.
        end: Offset,
        /// Oldest offset that the steward still stores.
        retained: Offset,
    },
    /// The usage records that the steward stores.
    Usage(Vec<UsageRecord>),
    /// The current view.
    View(Box<View>),
}

/// A request to another entry, by the part of the entry that serves it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum EntryRequest {
    /// A request about training.
    Rollout(RolloutRequest),
    /// A request about interactive serving.
    Serving(ServingRequest),
}

/// An answer to another entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum EntryAnswer {
    /// The entry no longer serves peers, or doesn't know the request.
    Refused,
    /// Answer to a request about training.
    Rollout(RolloutAnswer),
    /// Answer to a request about interactive serving.
    Serving(ServingAnswer),
}

/// The state that an entry needs to serve requests, as its steward knows it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct View {
    /// Milliseconds since the log's end was last confirmed.
    pub age_ms: u64,
    /// Configuration in force.
    pub configuration: Arc<Configuration>,
    /// Fingerprints of the quarantined requests.
    pub quarantined: Vec<u64>,
    /// The live and the leaving hosts.
    pub members: Vec<Member>,
    /// Offset of the first log record that the configuration doesn't include.
    pub offset: Offset,
    /// Number of changes of this steward's view so far.
    pub revision: u64,
    /// Targets in the platform's list; one that an open order is to stop is shown as leaving.
    pub targets: Vec<TargetEntry>,
}

/// A host of the system, according to the membership protocol.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub dc: Dc,
    /// Address at which other entries call its entry.
    pub entry: SocketAddr,
    /// Whether the host is leaving and takes no new work.
    pub leaving: bool,
    /// Address of its steward.
    pub steward: SocketAddr,
}

/// Usage of one request, counted by what was delivered to the caller.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageRecord {
    /// Host whose entry answered the request.
    pub host: HostName,
    /// Sequence number on the entry host; it starts at 1 and has no gaps within an incarnation.
    pub sequence: u64,
    /// Incarnation of the entry process.
    pub incarnation: u64,
    /// Tokens that were delivered to the caller.
    pub output_tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Id of the request.
    pub request: RequestId,
    /// Qualified name of the service.
    pub service: ServiceName,
    /// Workspace that is charged.
    pub workspace: Workspace,
}

/// Demand at an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Demand {
    /// Host of the entry.
    pub host: HostName,
    /// Demand by service.
    pub services: Vec<ServiceDemand>,
    /// Targets whose streams failed since the last report. Unused: entries send an empty list. The
    /// field stays because postcard reads fields by position.
    pub suspects: Vec<TargetName>,
}

/// Demand for one service at an entry.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceDemand {
    /// Qualified name of the service.
    pub service: ServiceName,
    /// Interactive requests running.
    pub interactive: u32,
    /// Training samples running.
    pub training: u32,
    /// Interactive requests queued.
    pub waiting: u32,
    /// Training samples queued.
    pub backlog: u32,
}
