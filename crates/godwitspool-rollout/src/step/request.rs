//! Requests of a trainer and their answers.

use godwitspool_types::HostName;
use serde::{Deserialize, Serialize};

use crate::{Digest, GroupSpec, Page, StepNumber};

/// A request of a trainer. All requests are idempotent and may be retried after a lost answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Request {
    /// Confirms that the trainer has received the complete batch.
    Acknowledge {
        /// Digest of the received batch.
        digest: Digest,
        /// The step to acknowledge.
        step: StepNumber,
    },
    /// Fetches a page of the step's batch.
    Fetch {
        /// Digest of the pages received so far, or `None` for the first page.
        digest: Option<Digest>,
        /// Page number, from 0.
        page: u32,
        /// The step to fetch.
        step: StepNumber,
    },
    /// Removes a step and all later ones, because the trainer returned to a checkpoint.
    Rewind {
        /// Number of this rewind, counted by the trainer from 1. A rewind that was already applied
        /// has no effect, so late duplicates are harmless.
        number: u64,
        /// First step to remove.
        step: StepNumber,
    },
    /// Submits groups of a step.
    Submit {
        /// Groups to add. Groups that are already known with the same contents are ignored.
        groups: Vec<GroupSpec>,
        /// The step that the groups belong to.
        step: StepNumber,
        /// Number of groups in the complete step.
        total: u32,
    },
}

/// An answer to a [`Request`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    /// The step is acknowledged with this digest.
    Acknowledged(Digest),
    /// A page of the frozen batch.
    Page(Page),
    /// The request was refused. After [`Refusal::Moving`] it may still have been applied.
    Refused(Refusal),
    /// The steps are removed.
    Rewound,
    /// The groups are stored, on two hosts if a replica is available.
    Submitted(Progress),
    /// The step is not complete yet.
    Waiting(Progress),
}

/// Progress of a step.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Number of complete samples.
    pub done: u32,
    /// Number of submitted groups.
    pub groups: u32,
    /// Number of samples in the submitted groups.
    pub samples: u32,
    /// Number of groups in the complete step.
    pub total: u32,
}

impl Progress {
    /// Returns `true` if all groups are submitted and all their samples are complete.
    pub fn is_complete(&self) -> bool {
        self.groups == self.total && self.done == self.samples
    }
}

/// Why a trainer's request was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The step was already acknowledged with this digest.
    Acknowledged(Digest),
    /// The group with this number was submitted before with other contents, or the step was
    /// submitted before with this other total.
    Conflict(u32),
    /// The limit of open samples would be exceeded. No group of the request was accepted.
    Full {
        /// Maximum number of open samples.
        bound: u32,
        /// Current number of open samples that count against the limit.
        waiting: u32,
    },
    /// The step is older than all remembered acknowledgments.
    Gone {
        /// Oldest step that is still remembered.
        oldest: StepNumber,
    },
    /// The request is invalid, with a description for the trainer.
    Invalid(String),
    /// Another host is home or is about to become home. The host is named if it is known.
    Moving(Option<HostName>),
    /// The page number is not below the number of pages.
    NoSuchPage,
    /// No groups were submitted for the step.
    UnknownStep,
    /// The pages fetched so far do not belong to the current batch, which has this digest. The
    /// trainer must fetch again from page 0.
    WrongBatch(Digest),
}

impl Refusal {
    /// Returns the reason as used in logs and in answers to trainers.
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
