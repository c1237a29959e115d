//! The records of the log and their coding.

use std::fmt;

use godwitspool_types::{
    ClassName, Dc, HostName, Incarnation, KeyDigest, ModelName, Offset, RequestId, ServiceName,
    TargetName, Term, WeightVersion, Workspace,
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::ConfigurationChange;

/// Identifies a record over repeated appends, so that a second copy is harmless.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RecordId(pub RequestId);

impl RecordId {
    /// Draws a new identifier at random.
    ///
    /// ```
    /// use godwitspool_version::RecordId;
    ///
    /// assert_ne!(RecordId::random(), RecordId::random());
    /// ```
    pub fn random() -> Self {
        Self(RequestId::random())
    }
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// A record of the log.
///
/// ```
/// use godwitspool_version::{Record, RecordBody};
///
/// let record = Record::new(RecordBody::QuarantineLift { fingerprint: 7 });
/// assert_eq!(Record::decode(&record.encode())?, record);
/// # Ok::<(), godwitspool_version::DecodeError>(())
/// ```
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Identity; every copy of the record carries the same one.
    pub id: RecordId,
    /// What it says.
    pub body: RecordBody,
}

impl Record {
    /// Makes a record with an identity drawn at random.
    pub fn new(body: RecordBody) -> Self {
        Self {
            id: RecordId::random(),
            body,
        }
    }

    /// Codes the record as the log's JSON text.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("every field has a JSON form")
    }

    /// Reads a record from the log's text. A kind that this version doesn't know becomes
    /// [`RecordBody::Unknown`].
    ///
    /// # Errors
    ///
    /// Fails when the text is not a record.
    pub fn decode(text: &str) -> Result<Self, DecodeError> {
        serde_json::from_str(text).context(DecodeSnafu { bytes: text.len() })
    }
}

/// A record's text could not be read.
#[derive(Debug, Snafu)]
#[snafu(display("record of {bytes} bytes: {source}"))]
pub struct DecodeError {
    bytes: usize,
    source: serde_json::Error,
}

/// What a record says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum RecordBody {
    /// Changes the configuration.
    Publish(Publish),
    /// Gives a workspace a key.
    KeyIssue {
        /// Digest of the key.
        digest: KeyDigest,
        /// Workspace that the key speaks for.
        workspace: Workspace,
    },
    /// Takes a key away for good.
    KeyWithdraw {
        /// Digest of the key.
        digest: KeyDigest,
    },
    /// Claims, renews or releases a lease.
    Lease(LeaseRecord),
    /// Says which target order is about to be given.
    OrderIntent(OrderIntent),
    /// Says how a target order ended.
    OrderOutcome {
        /// The order.
        order: OrderId,
        /// How it ended.
        outcome: OrderOutcome,
    },
    /// Seals a usage window of a data centre.
    UsageSeal(UsageSeal),
    /// Freezes the figures of a usage window.
    WindowFrozen(WindowFrozen),
    /// Says that the platform has acknowledged the figures of a window.
    WindowReported {
        /// Lease term under which it was reported.
        term: Term,
        /// The window.
        window: u64,
    },
    /// Keeps requests of a fingerprint off all targets.
    QuarantineAdd {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Targets that crashed while they ran it.
        targets: Vec<TargetName>,
    },
    /// Lets requests of a fingerprint run again.
    QuarantineLift {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Sets the weight version that a model is to serve.
    WeightsTarget(WeightsTarget),
    /// Part of a snapshot of the fold.
    Snapshot(SnapshotPart),
    /// A kind that this version doesn't know.
    #[serde(other)]
    Unknown,
}

/// A change of the configuration by an operator.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Publish {
    /// Publish that this one follows; it counts only while that is the last.
    pub base: Option<Offset>,
    /// What changes.
    pub change: ConfigurationChange,
    /// Who publishes.
    pub operator: String,
}

// ---

/// What a lease puts its holder in charge of.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseKind {
    /// Target orders.
    Orders,
    /// Freezing and reporting usage windows.
    Usage,
    /// Rolling out weights.
    Weights,
}

impl LeaseKind {
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Orders, Self::Usage, Self::Weights];

    /// Returns the name used in metrics and status.
    ///
    /// ```
    /// use godwitspool_version::LeaseKind;
    ///
    /// assert_eq!(LeaseKind::Usage.as_str(), "usage");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Orders => "orders",
            Self::Usage => "usage",
            Self::Weights => "weights",
        }
    }
}

/// One life of a host.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HostLife {
    /// The host.
    pub host: HostName,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A step of a lease.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeaseRecord {
    /// What it does.
    pub step: LeaseStep,
    /// The lease.
    pub lease: LeaseKind,
    /// Who takes the step.
    pub holder: HostLife,
}

/// What a lease record does.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseStep {
    /// Claims the lease; counts only while the record named is the lease's last.
    Claim {
        /// Lease record that the claim follows.
        after: Option<Offset>,
    },
    /// Extends the term named.
    Renew(Term),
    /// Ends the term named.
    Release(Term),
}

// ---

/// Identifies a target order: the same order sent twice takes effect once.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct OrderId(pub RequestId);

/// A target order before it is given.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderIntent {
    /// What to do.
    pub action: TargetAction,
    /// Class of targets.
    pub class: ClassName,
    /// Data centre.
    pub dc: Dc,
    /// Identity.
    pub order: OrderId,
    /// Why it is given.
    pub reason: OrderReason,
    /// Lease term under which it is given.
    pub term: Term,
}

/// What a target order does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetAction {
    /// Starts this many targets.
    Start(u32),
    /// Stops these targets.
    Stop(Vec<TargetName>),
}

/// Why a target order is given.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderReason {
    /// Fewer targets than the operators' floor.
    Floor,
    /// More targets than the operators' ceiling.
    Ceiling,
    /// Waiting work is worth more than the targets cost.
    Worth,
    /// Targets cost more than the work that they do.
    Idle,
    /// Targets were reclaimed and their work needs others.
    Reclaimed,
}

/// How a target order ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// Done, with the targets started or stopped.
    Done(Vec<TargetName>),
    /// Refused, because the platform has seen a higher term.
    Fenced(Term),
    /// Refused, because no such targets were to be had.
    NoneAvailable,
    /// Given up by a successor; it may have taken effect.
    Revoked,
}

// ---

/// Requests of one life of an entry host, by sequence number.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageRange {
    /// First sequence number.
    pub first: u64,
    /// Last sequence number, inclusive.
    pub last: u64,
    /// Entry that counted.
    pub source: HostLife,
}

/// Usage of a workspace's service.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageFigures {
    /// Workspace that pays.
    pub workspace: Workspace,
    /// Service, qualified.
    pub service: ServiceName,
    /// Requests answered.
    pub requests: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Tokens that the callers got.
    pub output_tokens: u64,
}

/// Usage of a data centre in a window, with the requests that it covers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageSeal {
    /// Data centre.
    pub dc: Dc,
    /// Figures.
    pub figures: Vec<UsageFigures>,
    /// Requests that the figures cover.
    pub ranges: Vec<UsageRange>,
    /// Window.
    pub window: u64,
}

/// Figures of a window that no retry may change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowFrozen {
    /// Figures, in order of workspace and service.
    pub figures: Vec<UsageFigures>,
    /// Data centres whose seal had not arrived; their usage goes into a later window.
    pub missing: Vec<Dc>,
    /// Lease term under which they were frozen.
    pub term: Term,
    /// Window.
    pub window: u64,
}

// ---

/// The weight version that a model is to serve.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightsTarget {
    /// Model.
    pub model: ModelName,
    /// Lease term under which the target was set.
    pub term: Term,
    /// Version.
    pub version: WeightVersion,
}

/// Part of a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotPart {
    /// Text of the part.
    pub body: String,
    /// Offset up to which the snapshot reaches, exclusive.
    pub end: Offset,
    /// Number of the part, from 0.
    pub index: u32,
    /// Number of parts.
    pub parts: u32,
    /// Identity of the snapshot.
    pub snapshot: RecordId,
}
