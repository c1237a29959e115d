//! What a trainer's steps are told and what they order.

use std::fmt;

use godwitspool_types::{HostName, WeightVersion};
use serde::{Deserialize, Serialize};

use super::{Answer, Image, Record, Request};
use crate::{GroupSpec, Sample, SampleId, StepNumber};

/// A tenure of a home. The greater one wins wherever two meet.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Epoch {
    /// Counts tenures.
    pub number: u64,
    /// Host that is home.
    pub host: HostName,
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.number, self.host)
    }
}

/// An event.
#[derive(Clone, Debug)]
pub enum StepEvent {
    /// A sample is whole.
    Finished {
        /// Generation named when it was started.
        generation: u64,
        /// The sample.
        sample: Sample,
    },
    /// A message of another host.
    Peer {
        /// Sender.
        from: HostName,
        /// Message.
        message: PeerMessage,
    },
    /// A version of the service's model was published.
    Published(WeightVersion),
    /// The live hosts in order of preference: home first.
    Ranked(Vec<HostName>),
    /// The trainer asks.
    Request {
        /// Names the caller for the answer.
        reply: u64,
        /// What it asks.
        request: Request,
    },
    /// Time has passed.
    Tick,
}

/// An action that the owner carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum StepAction {
    /// Answers the trainer.
    Answer {
        /// Caller.
        reply: u64,
        /// Answer.
        answer: Answer,
    },
    /// Stops making a sample; its late end will be dropped.
    Cancel {
        /// Sample.
        id: SampleId,
    },
    /// Counts a batch that was handed over, once for each step.
    Count(AcknowledgedBatch),
    /// Sends a message to another host.
    Send {
        /// Receiver.
        to: HostName,
        /// Message.
        message: PeerMessage,
    },
    /// Starts making a sample.
    Start {
        /// Generation to name when it is whole.
        generation: u64,
        /// Sample.
        id: SampleId,
        /// Prompt and bound.
        spec: GroupSpec,
    },
}

/// A batch that a trainer has acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcknowledgedBatch {
    /// Step.
    pub step: StepNumber,
    /// Tokens of all its samples.
    pub tokens: u64,
}

/// A message between the hosts that keep a trainer's steps.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Home to a former replica: forget the steps.
    Drop(Epoch),
    /// Home to replica: become home.
    Handover {
        /// Tenure that ends.
        epoch: Epoch,
        /// Last record of the tenure.
        sequence: u64,
    },
    /// Replica to home: all records up to a sequence number are held.
    Held {
        /// Tenure.
        epoch: Epoch,
        /// Sequence number.
        sequence: u64,
    },
    /// Home to replica: the whole state.
    Image {
        /// Tenure.
        epoch: Epoch,
        /// The state.
        image: Box<Image>,
        /// Last record that the state contains.
        sequence: u64,
        /// Last record of its samples.
        whole: u64,
    },
    /// A home to its replica: it has lost the steps of its tenure.
    Lost(Epoch),
    /// From a home whose tenure has ended: what it accepted while it was cut off.
    Merge(Box<Image>),
    /// The home has taken that over.
    Merged,
    /// Replica to home: records are missing, the whole state is wanted.
    Missing(Epoch),
    /// Asks whether the receiver holds the steps.
    Probe,
    /// Answers a probe.
    Probed {
        /// Tenure whose steps the sender holds.
        holds: Option<Epoch>,
    },
    /// Home to replica: records in their order.
    Records {
        /// Tenure.
        epoch: Epoch,
        /// Sequence number of the first one.
        first: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// To a home whose tenure has ended.
    Superseded(Epoch),
}
