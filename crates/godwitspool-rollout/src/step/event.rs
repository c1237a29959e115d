//! Events, actions and peer messages of a trainer's steps.

use std::fmt;

use godwitspool_types::{HostName, WeightVersion};
use serde::{Deserialize, Serialize};

use super::{Answer, Image, Record, Request};
use crate::{GroupSpec, Sample, SampleId, StepNumber};

/// Epoch of a home. If two hosts claim to be home, the one with the greater epoch wins.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Epoch {
    /// Epoch number, increased at every takeover and change of replica.
    pub number: u64,
    /// Host that is home in this epoch. It breaks ties between equal numbers.
    pub host: HostName,
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.number, self.host)
    }
}

/// An event for [`TrainerSteps`](super::TrainerSteps).
#[derive(Clone, Debug)]
pub enum StepEvent {
    /// A sample was completed.
    Finished {
        /// Generation from [`StepAction::Start`]. A sample of another generation is dropped.
        generation: u64,
        /// The complete sample.
        sample: Sample,
    },
    /// A message from another host.
    Peer {
        /// Host that sent the message.
        from: HostName,
        /// The received message.
        message: PeerMessage,
    },
    /// A weight version of the service's model was published.
    Published(WeightVersion),
    /// The live hosts in the order of [`rank_hosts`](crate::rank_hosts): home first, then replica.
    Ranked(Vec<HostName>),
    /// The trainer sent a request.
    Request {
        /// Identifies the caller; returned in [`StepAction::Answer`].
        reply: u64,
        /// The received request.
        request: Request,
    },
    /// Time has passed.
    Tick,
}

/// An action for the caller of [`TrainerSteps::decide`](super::TrainerSteps::decide) to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum StepAction {
    /// Sends an answer to the trainer.
    Answer {
        /// Caller from [`StepEvent::Request`].
        reply: u64,
        /// The answer to send.
        answer: Answer,
    },
    /// Cancels a running sample. If it still completes, it is dropped.
    Cancel {
        /// The sample to cancel.
        id: SampleId,
    },
    /// Counts an acknowledged batch, once for each step.
    Count(AcknowledgedBatch),
    /// Sends a message to another host.
    Send {
        /// Host that receives the message.
        to: HostName,
        /// The message to send.
        message: PeerMessage,
    },
    /// Starts generating a sample.
    Start {
        /// Generation to return in [`StepEvent::Finished`].
        generation: u64,
        /// The sample to generate.
        id: SampleId,
        /// Prompt and token limit.
        spec: GroupSpec,
    },
}

/// A batch that a trainer acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcknowledgedBatch {
    /// The step that the batch completes.
    pub step: StepNumber,
    /// Number of answer tokens in all samples.
    pub tokens: u64,
}

/// A message between hosts that store, or may store, a trainer's steps.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Home to former replica: drop the steps.
    Drop(Epoch),
    /// Home to replica: become home if you hold all records.
    Handover {
        /// The epoch that ends.
        epoch: Epoch,
        /// Sequence number of the last record of the epoch.
        sequence: u64,
    },
    /// Replica to home: confirms all records up to a sequence number.
    Held {
        /// Epoch of the records.
        epoch: Epoch,
        /// Sequence number of the last record that the replica holds.
        sequence: u64,
    },
    /// Home to replica: the state without samples, which follow as records.
    Image {
        /// Epoch of the image.
        epoch: Epoch,
        /// The state without samples.
        image: Box<Image>,
        /// Sequence number of the image.
        sequence: u64,
        /// Sequence number of the last record that is needed to complete the image.
        whole: u64,
    },
    /// Restarted home to replica: the steps of this epoch are lost on the home, and the replica
    /// takes over.
    Lost(Epoch),
    /// Former home to home: the state, without samples, that it accepted while the two were
    /// partitioned.
    Merge(Box<Image>),
    /// Home to former home: confirms [`PeerMessage::Merge`].
    Merged,
    /// Answer to the home of this epoch: the sender lacks the state and requests an image.
    Missing(Epoch),
    /// Asks whether the receiver is home or replica.
    Probe,
    /// Answers [`PeerMessage::Probe`].
    Probed {
        /// Epoch whose steps the sender holds, or `None` if it holds none.
        holds: Option<Epoch>,
    },
    /// Home to replica: consecutive records.
    Records {
        /// Epoch of the records.
        epoch: Epoch,
        /// Sequence number of the first record.
        first: u64,
        /// Records in sequence order.
        records: Vec<Record>,
    },
    /// Answer to a home whose epoch is outdated: the greater epoch that replaced it.
    Superseded(Epoch),
}
