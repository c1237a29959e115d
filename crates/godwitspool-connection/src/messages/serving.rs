//! Messages between entries about interactive serving.

use godwitspool_types::{HostName, TargetName, WeightVersion, Workspace};
use serde::{Deserialize, Serialize};

/// A request to another entry about interactive serving.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ServingRequest {
    /// Announces the state of a suspect, a request that may have crashed a target.
    Announce(SuspectRecord),
    /// Asks the home host of a suspect whether a copy of it may run.
    AskTrial {
        /// Host that asks.
        host: HostName,
        /// What that host knows of the suspect.
        known: SuspectRecord,
    },
    /// Reports a crash to the home host of a suspect.
    Blame {
        /// Part of the blame, in thousandths of a crash.
        part: u32,
        /// Fingerprint of the request.
        print: u64,
        /// Target that crashed.
        target: TargetName,
    },
    /// Claims an idempotency key.
    Claim {
        /// Host that is to run the request.
        host: HostName,
        /// Idempotency key and its workspace.
        key: KeyName,
        /// Fingerprint of the request.
        print: u64,
    },
    /// Announces that requests with this fingerprint are no longer suspected.
    Clear(u64),
    /// Reports that a trial ended without a crash.
    EndTrial {
        /// Whether the request was answered.
        answered: bool,
        /// Fingerprint of the request.
        print: u64,
    },
    /// Hands over records of idempotency keys to their new home host.
    HandOver(Vec<KeyItem>),
    /// Lifts the quarantine of this fingerprint.
    Lift(u64),
    /// Asks the home host of a workspace's limits for a part of them.
    Limits {
        /// Requests that arrived since the last request for limits, including refused ones.
        arrived: u32,
        /// Host that asks.
        host: HostName,
        /// Requests of the workspace in progress on that host.
        running: u32,
        /// Workspace whose limits are asked for.
        workspace: Workspace,
    },
    /// Reports the load of targets.
    Loads(Vec<TargetLoad>),
    /// Asks whether the other entry is reachable.
    Probe,
    /// Releases the claim of a request that didn't run.
    Release {
        /// Host that made the claim.
        host: HostName,
        /// Idempotency key and its workspace.
        key: KeyName,
    },
    /// Reports the outcome of a request with an idempotency key.
    Settle {
        /// Outcome of the request.
        fate: KeyFate,
        /// Idempotency key and its workspace.
        key: KeyName,
    },
}

/// An answer to a [`ServingRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ServingAnswer {
    /// Answer to a claim.
    Claim(ClaimReply),
    /// The request succeeded.
    Done,
    /// A part of a workspace's limits; `None` while grants of the previous home host may still be
    /// valid.
    Grant(Option<LimitPart>),
    /// Answer to a probe.
    Here,
    /// Answer to a request for a trial.
    Trial(TrialReply),
}

/// An idempotency key of a workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyName {
    /// Key as the caller sent it.
    pub key: String,
    /// Workspace to which the key belongs.
    pub workspace: Workspace,
}

/// Outcome of a request with an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyFate {
    /// The request was answered with these bytes.
    Done(Vec<u8>),
    /// The request is in progress on this entry host.
    Running(HostName),
    /// The request may have run, but its outcome isn't known.
    Unknown,
}

/// A record of idempotency keys that a home host hands over to another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyItem {
    /// The loss of several members within a short time, sent to a host that has just joined. Keys
    /// whose home hosts were all among them may have been used.
    Loss {
        /// Members before the loss.
        before: Vec<HostName>,
        /// Members that were lost.
        gone: Vec<HostName>,
        /// Milliseconds until all records that were lost would have expired.
        left_ms: u64,
    },
    /// The record of one key.
    Record {
        /// Outcome of the request.
        fate: KeyFate,
        /// Idempotency key and its workspace.
        key: KeyName,
        /// Milliseconds until the record expires.
        left_ms: u64,
        /// Fingerprint of the request.
        print: u64,
    },
}

/// The answer of a home host to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The request was answered before, with these bytes.
    Done(Vec<u8>),
    /// A request with the key is in progress.
    InProgress,
    /// The key was used before with a different request.
    Mismatch,
    /// The key is new, so the request may run.
    New,
    /// A request with the key may have run.
    Unknown,
}

/// What is known of a suspect, a request that may have crashed a target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRecord {
    /// Sum of its parts of the blame, in thousandths of a crash.
    pub blame: u32,
    /// Targets that crashed with the request in flight.
    pub crashed: Vec<TargetName>,
    /// Number of crashes with the request in flight.
    pub crashes: u32,
    /// Milliseconds until the quarantine ends; `None` when the request isn't quarantined.
    pub left_ms: Option<u64>,
    /// Fingerprint of the request.
    pub print: u64,
}

/// The answer of a suspect's home host to a request for a trial.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TrialReply {
    /// Another copy is on trial.
    Busy,
    /// The request is quarantined for this many milliseconds.
    Refuse(u64),
    /// The copy may run.
    Try,
}

/// A part of a workspace's limits.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitPart {
    /// Requests in progress at the same time.
    pub concurrency: u32,
    /// Requests per second.
    pub rate: f64,
}

/// Load of a target, as the target reported it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Requests that run or are queued on the target.
    pub busy: u32,
    /// Name of the target.
    pub target: TargetName,
    /// Weight version in use.
    pub weights: WeightVersion,
}
