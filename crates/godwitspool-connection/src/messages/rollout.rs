//! Messages between entries about training.

use godwitspool_rollout::{Answer, PeerMessage, Request};
use godwitspool_types::{HostName, ServiceName, TargetName, TrainerName};
use serde::{Deserialize, Serialize};

/// A request to another entry about training.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RolloutRequest {
    /// Forwards a trainer's request to the home host of its steps.
    Ask {
        /// Trainer that sent the request.
        trainer: TrainerName,
        /// The trainer's request.
        request: Request,
    },
    /// Reports the training streams of a host on each target and the shares of its trainers.
    Portion(Portion),
    /// Carries a message between the hosts that store a trainer's steps.
    Tell {
        /// Host that sends the message.
        from: HostName,
        /// Trainer whose steps the message is about.
        trainer: TrainerName,
        /// Message for the host that receives the request.
        message: PeerMessage,
    },
}

/// A host's training streams and shares, from which every host computes how many streams each may
/// run on a target.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Portion {
    /// Host that reports.
    pub host: HostName,
    /// Number of training streams by target.
    pub streams: Vec<(TargetName, u32)>,
    /// Sum of shares by service, over the trainers with samples to run.
    pub shares: Vec<(ServiceName, u32)>,
}

/// An answer to a [`RolloutRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RolloutAnswer {
    /// The home host's answer to a trainer's request.
    Answer(Box<Answer>),
    /// The message was received and processed.
    Taken,
}
