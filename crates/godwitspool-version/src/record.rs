//! The records of the log and their JSON encoding.

use std::fmt;

use godwitspool_types::{
    ClassName, Dc, HostName, Incarnation, KeyDigest, ModelName, Offset, RequestId, ServiceName,
    TargetName, Term, WeightVersion, Workspace,
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::ConfigurationChange;

/// Identifies a record across repeated appends, so that a second copy has no effect.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RecordId(pub RequestId);

impl RecordId {
    /// Generates a random identifier.
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
    /// Identifier, the same in every copy of the record.
    pub id: RecordId,
    /// Content of the record, by kind.
    pub body: RecordBody,
}

impl Record {
    /// Creates a record with a random identifier.
    pub fn new(body: RecordBody) -> Self {
        Self {
            id: RecordId::random(),
            body,
        }
    }

    /// Encodes the record as JSON.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("every field has a JSON form")
    }

    /// Decodes a record from JSON. A kind that this release doesn't know becomes
    /// [`RecordBody::Unknown`].
    ///
    /// # Errors
    ///
    /// Fails if the text is not a record.
    pub fn decode(text: &str) -> Result<Self, DecodeError> {
        serde_json::from_str(text).context(DecodeSnafu { bytes: text.len() })
    }
}

/// The text is not a record.
#[derive(Debug, Snafu)]
#[snafu(display("record of {bytes} bytes: {source}"))]
pub struct DecodeError {
    bytes: usize,
    source: serde_json::Error,
}

/// Content of a record, by kind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum RecordBody {
    /// Publishes a change of the configuration.
    Publish(Publish),
    /// Issues a key for a workspace.
    KeyIssue {
        /// Digest of the key.
        digest: KeyDigest,
        /// Workspace to which the key belongs.
        workspace: Workspace,
    },
    /// Withdraws a key permanently.
    KeyWithdraw {
        /// Digest of the key.
        digest: KeyDigest,
    },
    /// Claims, renews or releases a lease.
    Lease(LeaseRecord),
    /// Announces a target order before it is sent.
    OrderIntent(OrderIntent),
    /// Records the outcome of a target order.
    OrderOutcome {
        /// Order that ended.
        order: OrderId,
        /// Result of the order.
        outcome: OrderOutcome,
    },
    /// Seals a data centre's usage in a window.
    UsageSeal(UsageSeal),
    /// Freezes the figures of a usage window.
    WindowFrozen(WindowFrozen),
    /// Records that the platform has acknowledged the figures of a window.
    WindowReported {
        /// Lease term under which it was reported.
        term: Term,
        /// Number of the window.
        window: u64,
    },
    /// Quarantines a fingerprint, so that no target runs its requests.
    QuarantineAdd {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Targets that crashed while they ran it.
        targets: Vec<TargetName>,
    },
    /// Lifts the quarantine of a fingerprint.
    QuarantineLift {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Sets the weight version that a model is to serve.
    WeightsTarget(WeightsTarget),
    /// Part of a snapshot of the fold.
    Snapshot(SnapshotPart),
    /// A kind that this release doesn't know.
    #[serde(other)]
    Unknown,
}

/// A change of the configuration by an operator.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Publish {
    /// Offset of the publish that this one follows. It takes effect only if that is still the last
    /// one; `None` if there is none yet.
    pub base: Option<Offset>,
    /// Change relative to the base.
    pub change: ConfigurationChange,
    /// Name of the operator who publishes.
    pub operator: String,
}

/// The duty that a lease assigns to its holder.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseKind {
    /// Deciding and sending target orders.
    Orders,
    /// Freezing and reporting usage windows.
    Usage,
    /// Rolling out weights.
    Weights,
}

impl LeaseKind {
    /// All kinds, in a fixed order.
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

/// A host together with its incarnation. A host that restarts gets a new incarnation.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HostLife {
    /// Name of the host, the same across restarts.
    pub host: HostName,
    /// Incarnation of the host, which is new after each restart.
    pub incarnation: Incarnation,
}

/// A record that claims, renews or releases a lease.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeaseRecord {
    /// Action on the lease.
    pub step: LeaseStep,
    /// Lease that the step applies to.
    pub lease: LeaseKind,
    /// Host that appended the record.
    pub holder: HostLife,
}

/// The action of a lease record.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseStep {
    /// Claims the lease. Takes effect only if `after` is still the last record of the lease.
    Claim {
        /// Offset of the lease record that the claim follows; `None` if there is none yet.
        after: Option<Offset>,
    },
    /// Extends the lease under the given term.
    Renew(Term),
    /// Releases the lease, which ends the given term.
    Release(Term),
}

/// Identifies a target order. An order that is sent twice takes effect once.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct OrderId(pub RequestId);

/// A target order, recorded before it is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderIntent {
    /// Whether to start or stop targets, and how many or which ones.
    pub action: TargetAction,
    /// Class of the targets.
    pub class: ClassName,
    /// Data centre of the targets.
    pub dc: Dc,
    /// Identifier, the same each time the order is sent.
    pub order: OrderId,
    /// Rule that led to the order.
    pub reason: OrderReason,
    /// Term of the lease under which the order was decided.
    pub term: Term,
}

/// The action of a target order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetAction {
    /// Starts this many targets.
    Start(u32),
    /// Stops these targets.
    Stop(Vec<TargetName>),
}

/// The rule that led to a target order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderReason {
    /// Fewer targets than the operators' floor.
    Floor,
    /// More targets than the operators' ceiling.
    Ceiling,
    /// The waiting work has lost as much value as starting a target costs.
    Worth,
    /// Idle targets have cost as much as starting them again would.
    Idle,
    /// The platform reclaimed targets that have to be replaced.
    Reclaimed,
}

/// The result of a target order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// The platform started or stopped these targets.
    Done(Vec<TargetName>),
    /// The platform refused the order because it has seen this higher term.
    Fenced(Term),
    /// The platform refused the order because no targets of the class are available.
    NoneAvailable,
    /// A later lease holder revoked the order. It may have taken effect all the same.
    Revoked,
}

/// A range of requests of one incarnation of an entry host, by sequence number.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageRange {
    /// First sequence number.
    pub first: u64,
    /// Last sequence number, inclusive.
    pub last: u64,
    /// Entry host that counted the requests.
    pub source: HostLife,
}

/// Usage of a service by a workspace.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UsageFigures {
    /// Workspace that is billed.
    pub workspace: Workspace,
    /// Qualified name of the service.
    pub service: ServiceName,
    /// Number of requests answered.
    pub requests: u64,
    /// Tokens in the prompts.
    pub prompt_tokens: u64,
    /// Tokens that the callers received.
    pub output_tokens: u64,
}

/// Usage of a data centre in a window, with the requests that it covers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageSeal {
    /// Data centre that sealed the window.
    pub dc: Dc,
    /// Sums by workspace and service.
    pub figures: Vec<UsageFigures>,
    /// Requests that the figures cover.
    pub ranges: Vec<UsageRange>,
    /// Number of the window.
    pub window: u64,
}

/// Figures of a window, which no longer change, so that every report of them is the same.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowFrozen {
    /// Sums by workspace and service, in that order.
    pub figures: Vec<UsageFigures>,
    /// Data centres whose seal was missing. Their usage is counted in a later window.
    pub missing: Vec<Dc>,
    /// Term of the lease under which the window was frozen.
    pub term: Term,
    /// Number of the window.
    pub window: u64,
}

/// The weight version that a model is to serve.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightsTarget {
    /// Model that serves the weights.
    pub model: ModelName,
    /// Term of the lease under which the version was set.
    pub term: Term,
    /// Weight version to serve.
    pub version: WeightVersion,
}

/// A part of a snapshot's text, small enough for one record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotPart {
    /// Slice of the snapshot's text.
    pub body: String,
    /// Offset of the first record that the snapshot doesn't include.
    pub end: Offset,
    /// Index of the part, from 0.
    pub index: u32,
    /// Number of parts of the snapshot.
    pub parts: u32,
    /// Identifier of the snapshot, the same in all parts.
    pub snapshot: RecordId,
}
