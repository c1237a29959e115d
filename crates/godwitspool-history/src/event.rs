//! What is observed at the two ends.

use std::fmt;

use godwitspool_types::{
    Dc, HostName, KeyDigest, ModelName, Offset, Ran, RequestId, ServiceName, TargetName, Term,
    TrainerName, WeightVersion, Workspace,
};
use serde::{Deserialize, Serialize};

/// What a request asks of a target, as both ends know it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// A call of a plain service, by the identity that the caller put into it.
    Call(RequestId),
    /// A generation, by the hash of its prompt and seed.
    Prompt(u64),
}

/// What a caller was told as its answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The answer ended as if complete, but a part is missing.
    Cut,
    /// The answer holds what another request asked for, or nobody.
    Foreign,
    /// The answer is whole.
    Whole,
}

/// Identity of a sample.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SampleName {
    /// Trainer.
    pub trainer: TrainerName,
    /// Step.
    pub step: u64,
    /// Group in the step.
    pub group: u32,
    /// Index in the group.
    pub index: u32,
}

impl fmt::Display for SampleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}/{}/{}/{}",
            self.trainer, self.step, self.group, self.index
        )
    }
}

/// A group that a trainer submitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// Group in the step.
    pub group: u32,
    /// Samples in the group.
    pub samples: u32,
}

/// A run of tokens with the weight version that is named for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Span {
    /// Index of the first token.
    pub from: u32,
    /// Index behind the last token.
    pub to: u32,
    /// Version.
    pub version: WeightVersion,
}

/// Something that was observed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    // ---- Callers ----
    /// A caller sends a request.
    Sent {
        /// Host that it is sent to.
        host: HostName,
        /// Key shown.
        key: Option<KeyDigest>,
        /// Whether the service answers without a key.
        open: bool,
        /// Whether the request may run twice without harm.
        repeatable: bool,
        /// Request.
        request: RequestId,
        /// Service.
        service: ServiceName,
        /// What it asks.
        work: Work,
        /// Workspace that the caller belongs to.
        workspace: Workspace,
    },
    /// A caller gets another part of its answer.
    Progress(RequestId),
    /// A caller is told that its answer is complete.
    Answered {
        /// What the answer was.
        answer: Answer,
        /// Request.
        request: RequestId,
    },
    /// A caller is refused.
    Refused {
        /// Whether the key was refused.
        key: bool,
        /// What the refusal says about whether the request ran.
        ran: Ran,
        /// Request.
        request: RequestId,
    },
    /// The connection or the answer broke off and the caller knows that it did.
    Broken(RequestId),
    /// The answer that breaks off told the caller why, before its end.
    Explained {
        /// Machine-readable reason.
        reason: String,
        /// Request.
        request: RequestId,
    },

    // ---- Trainers ----
    /// A trainer's whole step was accepted.
    Submitted {
        /// Groups.
        groups: Vec<Group>,
        /// Step.
        step: u64,
        /// Trainer.
        trainer: TrainerName,
    },
    /// A trainer begins to fetch a whole batch.
    Fetching {
        /// Counts the trainer's fetches.
        fetch: u64,
        /// Step.
        step: u64,
        /// Trainer.
        trainer: TrainerName,
    },
    /// A trainer got a sample of a batch.
    Delivered {
        /// The trainer's fetch.
        fetch: u64,
        /// Whether the tokens are the whole answer to the group's prompt.
        answer: Answer,
        /// Sample.
        sample: SampleName,
        /// Versions named for its tokens.
        spans: Vec<Span>,
        /// Prompt and seed whose tokens it holds.
        work: Work,
    },
    /// A trainer got a whole batch.
    Fetched {
        /// The trainer's fetch.
        fetch: u64,
        /// Step.
        step: u64,
        /// Trainer.
        trainer: TrainerName,
    },

    // ---- Targets ----
    /// A target got a request.
    Received {
        /// Where a caller's key was seen in it.
        key: Option<String>,
        /// Target.
        target: TargetName,
        /// What it asks.
        work: Work,
    },
    /// A target produced tokens.
    Produced {
        /// The tokens and the version that truly produced them.
        span: Span,
        /// Target.
        target: TargetName,
        /// What was asked.
        work: Work,
    },

    // ---- Platform ----
    /// The platform got a target order.
    Ordered {
        /// Host that gives it.
        host: HostName,
        /// Identity of the order.
        order: String,
        /// Fencing token.
        term: Term,
    },
    /// The platform got a usage report.
    Reported {
        /// Digest of the figures.
        figures: u64,
        /// Host that reports.
        host: HostName,
        /// Fencing token.
        term: Term,
        /// Window.
        window: u64,
    },
    /// A target leaves or is about to be reclaimed.
    Leaving(TargetName),

    // ---- Operators ----
    /// A key was accepted into the configuration.
    Issued {
        /// Key.
        key: KeyDigest,
        /// Workspace that it stands for.
        workspace: Workspace,
    },
    /// An operator asks for a key's withdrawal; it may be in force from now on.
    Withdrawing(KeyDigest),
    /// The withdrawal of a key was accepted into the configuration.
    Withdrawn(KeyDigest),
    /// A weight version was accepted into the configuration.
    Published {
        /// Trainers that it concerns, with their staleness bound in versions.
        bounds: Vec<(TrainerName, u32)>,
        /// Model.
        model: ModelName,
        /// Version.
        version: WeightVersion,
    },
    /// A host was asked to shut down gracefully.
    Stopping(HostName),
    /// A host that had shut down was started again.
    Started(HostName),
    /// A host told which configuration is in force on it.
    InForce {
        /// Host.
        host: HostName,
        /// Life of the process.
        life: u64,
        /// Offset up to which it reaches.
        offset: Offset,
    },

    // ---- Faults ----
    /// News of the configuration can't reach a data centre, or any when none is named.
    CutOff(Option<Dc>),
    /// News of the configuration can reach it again.
    Rejoined(Option<Dc>),
    /// Another fault was brought about.
    Fault(String),
}
