//! Messages between entries on the interactive path.

use godwitspool_types::{HostName, TargetName, WeightVersion, Workspace};
use serde::{Deserialize, Serialize};

/// Asks another entry on the interactive path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ServingRequest {
    /// Tells where a suspect stands.
    Announce(SuspectRecord),
    /// Asks the home of a suspect whether a copy of it may run.
    AskTrial {
        /// Host that asks.
        host: HostName,
        /// What it knows.
        known: SuspectRecord,
    },
    /// Tells the home of a suspect of a crash.
    Blame {
        /// Part of the blame, in thousandths.
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
        /// Key.
        key: KeyName,
        /// Fingerprint of the request.
        print: u64,
    },
    /// Tells that nothing is held against a fingerprint any more.
    Clear(u64),
    /// Ends a trial with no crash.
    EndTrial {
        /// Whether the request was answered.
        answered: bool,
        /// Fingerprint of the request.
        print: u64,
    },
    /// Hands over records of idempotency keys.
    HandOver(Vec<KeyItem>),
    /// Lifts a quarantine.
    Lift(u64),
    /// Asks the home of a workspace's limits for a part of them.
    Limits {
        /// Requests that came since the last asking.
        arrived: u32,
        /// Host that asks.
        host: HostName,
        /// Requests in progress.
        running: u32,
        /// Workspace.
        workspace: Workspace,
    },
    /// Tells the load of targets.
    Loads(Vec<TargetLoad>),
    /// Asks whether the other entry is there.
    Probe,
    /// Releases a claim whose request didn't run.
    Release {
        /// Host that claimed.
        host: HostName,
        /// Key.
        key: KeyName,
    },
    /// Tells what became of a request with an idempotency key.
    Settle {
        /// What became of it.
        fate: KeyFate,
        /// Key.
        key: KeyName,
    },
}

/// Answers another entry on the interactive path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ServingAnswer {
    /// To a claim.
    Claim(ClaimReply),
    /// Done.
    Done,
    /// A part of a workspace's limits; none while the home is new.
    Grant(Option<LimitPart>),
    /// The entry is there.
    Here,
    /// To the asking for a trial.
    Trial(TrialReply),
}

/// An idempotency key of a workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyName {
    /// Key, as the caller chose it.
    pub key: String,
    /// Workspace.
    pub workspace: Workspace,
}

/// What became of a request with an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyFate {
    /// It was answered; the answer's bytes.
    Done(Vec<u8>),
    /// It runs through this host.
    Running(HostName),
    /// It isn't known.
    Unknown,
}

/// What homes hand over to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyItem {
    /// A loss of several members at once.
    Loss {
        /// Members before.
        before: Vec<HostName>,
        /// Members lost.
        gone: Vec<HostName>,
        /// Milliseconds that the loss still counts.
        left_ms: u64,
    },
    /// A record of a key.
    Record {
        /// What became of the request.
        fate: KeyFate,
        /// Key.
        key: KeyName,
        /// Milliseconds that the record is still kept.
        left_ms: u64,
        /// Fingerprint of the request.
        print: u64,
    },
}

/// What a home says to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The request was answered before.
    Done(Vec<u8>),
    /// A request with the key is in progress.
    InProgress,
    /// The key was used with another request.
    Mismatch,
    /// The key is new.
    New,
    /// Whether a request with the key ran isn't known.
    Unknown,
}

/// What is known of a suspect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRecord {
    /// Blame, in thousandths of a crash.
    pub blame: u32,
    /// Targets that crashed.
    pub crashed: Vec<TargetName>,
    /// Crashes.
    pub crashes: u32,
    /// Milliseconds that it is still quarantined, when it is.
    pub left_ms: Option<u64>,
    /// Fingerprint of the request.
    pub print: u64,
}

/// What the home of a suspect says to the asking for a trial.
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
    /// Requests in progress at once.
    pub concurrency: u32,
    /// Requests a second.
    pub rate: f64,
}

/// Load of a target, as it reported it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Requests that run or wait.
    pub busy: u32,
    /// Target.
    pub target: TargetName,
    /// Weight version in use.
    pub weights: WeightVersion,
}
