//! What a trainer asks, and the answers.

use godwitspool_types::HostName;
use serde::{Deserialize, Serialize};

use crate::{Digest, GroupSpec, Page, StepNumber};

/// What a trainer asks. Each may be sent again after a lost answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Request {
    /// Confirms that the trainer holds a whole batch.
    Acknowledge {
        /// Digest of the batch.
        digest: Digest,
        /// Step.
        step: StepNumber,
    },
    /// Fetches a page of the step's batch.
    Fetch {
        /// Digest of the pages that the trainer has so far.
        digest: Option<Digest>,
        /// Page, from 0.
        page: u32,
        /// Step.
        step: StepNumber,
    },
    /// Goes back to a checkpoint: forgets a step and all after it.
    Rewind {
        /// Counts the trainer's rewinds from 1, so that a late duplicate does nothing.
        number: u64,
        /// First step that is forgotten.
        step: StepNumber,
    },
    /// Submits groups of a step.
    Submit {
        /// The groups.
        groups: Vec<GroupSpec>,
        /// Step.
        step: StepNumber,
        /// Groups that the whole step has.
        total: u32,
    },
}

/// The answer to a trainer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    /// The batch is handed over.
    Acknowledged(Digest),
    /// A page of the frozen batch.
    Page(Page),
    /// Refused.
    Refused(Refusal),
    /// The later steps are forgotten.
    Rewound,
    /// The groups are held by two hosts.
    Submitted(Progress),
    /// The step isn't whole yet.
    Waiting(Progress),
}

/// How far a step is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Samples that are whole.
    pub done: u32,
    /// Groups submitted.
    pub groups: u32,
    /// Samples submitted.
    pub samples: u32,
    /// Groups that the whole step has.
    pub total: u32,
}

impl Progress {
    /// Tells whether all groups are there and whole.
    pub fn is_complete(&self) -> bool {
        self.groups == self.total && self.done == self.samples
    }
}

/// Why a trainer's request was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The step was handed over and acknowledged.
    Acknowledged(Digest),
    /// A group was submitted before with other contents, or the step with another size.
    Conflict(u32),
    /// Too many samples wait; nothing of the request was taken.
    Full {
        /// Most samples that may wait.
        bound: u32,
        /// Samples that wait.
        waiting: u32,
    },
    /// The step is older than all that is remembered.
    Gone {
        /// Oldest step that is remembered.
        oldest: StepNumber,
    },
    /// The request makes no sense.
    Invalid(String),
    /// Another host keeps the trainer's steps, or will in a moment.
    Moving(Option<HostName>),
    /// The batch has fewer pages.
    NoSuchPage,
    /// Nothing was submitted for the step.
    UnknownStep,
    /// The pages fetched so far belong to another batch; begin again at page 0.
    WrongBatch(Digest),
}

impl Refusal {
    /// Returns the reason as it stands in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Acknowledged(_) => "acknowledged",
            Self::Conflict(_) => "conflict",
            Self::Full { .. } => "full",
            Self::Gone { .. } => "gone",
            Self::Invalid(_) => "invalid",
            Self::Moving(_) => "moving",
            Self::NoSuchPage => "no-such-page",
            Self::UnknownStep => "unknown-step",
            Self::WrongBatch(_) => "wrong-batch",
        }
    }
}
