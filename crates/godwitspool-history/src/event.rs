//! Events that are observed at callers, trainers, targets, the platform and operators.

use std::fmt;

use godwitspool_types::{
    Dc, HostName, KeyDigest, ModelName, Offset, Ran, RequestId, ServiceName, TargetName, Term,
    TrainerName, WeightVersion, Workspace,
};
use serde::{Deserialize, Serialize};

/// Identity of the work in a request, which both the caller and the target can determine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// A call of a plain service, by the id that the caller put into it.
    Call(RequestId),
    /// A generation, by the hash of its prompt and seed.
    Prompt(u64),
}

/// Whether an answer that ended as complete is complete and the right one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// A part of the answer is missing, although it ended as complete.
    Cut,
    /// The answer belongs to another request, or to none.
    Foreign,
    /// The answer is complete and belongs to the request.
    Whole,
}

/// Identity of a sample. Displayed as `trainer/step/group/index`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SampleName {
    /// Trainer that submitted the step.
    pub trainer: TrainerName,
    /// Number of the step.
    pub step: u64,
    /// Number of the group in the step.
    pub group: u32,
    /// Index of the sample in the group, from 0.
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

/// A group of samples that a trainer submitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// Number of the group in the step.
    pub group: u32,
    /// Number of samples in the group.
    pub samples: u32,
}

/// A range of tokens and the weight version that is named as its producer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Span {
    /// Index of the first token.
    pub from: u32,
    /// Index after the last token.
    pub to: u32,
    /// Weight version.
    pub version: WeightVersion,
}

/// An observed event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    // Callers
    /// A caller sent a request.
    Sent {
        /// Host to which the request was sent.
        host: HostName,
        /// Digest of the key that was sent; `None` without a key.
        key: Option<KeyDigest>,
        /// Whether the service also answers requests without a key.
        open: bool,
        /// Whether the request is idempotent: it may run twice without harm.
        repeatable: bool,
        /// Id of the request.
        request: RequestId,
        /// Service that was called.
        service: ServiceName,
        /// The request's work.
        work: Work,
        /// Workspace of the caller.
        workspace: Workspace,
    },
    /// A caller received another part of its answer.
    Progress(RequestId),
    /// A caller received an answer that ended as complete.
    Answered {
        /// Whether the answer is complete and the right one.
        answer: Answer,
        /// Id of the request.
        request: RequestId,
    },
    /// A caller received a refusal.
    Refused {
        /// Whether the refusal is about the key.
        key: bool,
        /// Whether the request ran, according to the refusal.
        ran: Ran,
        /// Id of the request.
        request: RequestId,
    },
    /// The connection or the answer ended early, and the caller noticed it.
    Broken(RequestId),
    /// An answer that ended early gave a reason before its end.
    Explained {
        /// Machine-readable reason.
        reason: String,
        /// Id of the request.
        request: RequestId,
    },

    // Trainers
    /// All groups of a trainer's step were accepted.
    Submitted {
        /// Groups of the step.
        groups: Vec<Group>,
        /// Number of the step.
        step: u64,
        /// Trainer that submitted the step.
        trainer: TrainerName,
    },
    /// A trainer started to fetch the batch of a step.
    Fetching {
        /// Number of the fetch, unique for the trainer.
        fetch: u64,
        /// Number of the step.
        step: u64,
        /// Trainer that submitted the step.
        trainer: TrainerName,
    },
    /// A trainer received a sample of a batch.
    Delivered {
        /// Number of the fetch.
        fetch: u64,
        /// Whether the tokens are the complete answer to the group's prompt.
        answer: Answer,
        /// Identity of the sample.
        sample: SampleName,
        /// Weight versions that the sample names for its tokens.
        spans: Vec<Span>,
        /// Prompt and seed that the sample's tokens answer.
        work: Work,
    },
    /// A trainer received a complete batch.
    Fetched {
        /// Number of the fetch.
        fetch: u64,
        /// Number of the step.
        step: u64,
        /// Trainer that submitted the step.
        trainer: TrainerName,
    },

    // Targets
    /// A target received a request.
    Received {
        /// Where the request contains a caller's key, such as `header cookie`; `None` if it
        /// doesn't.
        key: Option<String>,
        /// Name of the target.
        target: TargetName,
        /// The request's work.
        work: Work,
    },
    /// A target produced tokens.
    Produced {
        /// The tokens and the weight version that produced them.
        span: Span,
        /// Name of the target.
        target: TargetName,
        /// The request's work.
        work: Work,
    },

    // Platform
    /// The platform received a target order.
    Ordered {
        /// Host that sent the order.
        host: HostName,
        /// Id of the order.
        order: String,
        /// Fencing token of the sender's lease.
        term: Term,
    },
    /// The platform received a usage report.
    Reported {
        /// Hash of the reported figures.
        figures: u64,
        /// Host that sent the report.
        host: HostName,
        /// Fencing token of the sender's lease.
        term: Term,
        /// Number of the usage window.
        window: u64,
    },
    /// A target started to leave, or the platform announced its reclaim.
    Leaving(TargetName),

    // Operators
    /// A key was accepted into the configuration.
    Issued {
        /// Digest of the key.
        key: KeyDigest,
        /// Workspace of the key.
        workspace: Workspace,
    },
    /// An operator requested the withdrawal of a key, which may take effect from now on.
    Withdrawing(KeyDigest),
    /// The withdrawal of a key was accepted into the configuration.
    Withdrawn(KeyDigest),
    /// A weight version was accepted into the configuration.
    Published {
        /// Trainers that use the model, with their staleness bound in versions.
        bounds: Vec<(TrainerName, u32)>,
        /// Name of the model.
        model: ModelName,
        /// The new weight version.
        version: WeightVersion,
    },
    /// A host was asked to shut down gracefully.
    Stopping(HostName),
    /// A host was started again after a shutdown.
    Started(HostName),
    /// A host reported which configuration is in force on it.
    InForce {
        /// Host that reported.
        host: HostName,
        /// Incarnation of the host's process.
        life: u64,
        /// Offset in the log up to which the configuration was applied.
        offset: Offset,
    },

    // Faults
    /// Configuration updates can't reach a data centre; `None` means every data centre.
    CutOff(Option<Dc>),
    /// Configuration updates can reach the data centre again; `None` means every data centre.
    Rejoined(Option<Dc>),
    /// Another fault was injected; holds its name.
    Fault(String),
}
