//! Messages between entries on the trainers' path.

use godwitspool_rollout::{Answer, PeerMessage, Request};
use godwitspool_types::{HostName, ServiceName, TargetName, TrainerName};
use serde::{Deserialize, Serialize};

/// Asks another entry on the trainers' path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RolloutRequest {
    /// Passes a trainer's request on to the home of its steps.
    Ask {
        /// Trainer.
        trainer: TrainerName,
        /// What it asks.
        request: Request,
    },
    /// Says how many training streams a host runs on each target, and how much it is entitled to.
    Portion(Portion),
    /// Carries a message between the hosts that keep a trainer's steps.
    Tell {
        /// Sender.
        from: HostName,
        /// Trainer.
        trainer: TrainerName,
        /// Message.
        message: PeerMessage,
    },
}

/// A host's part of the training on targets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Portion {
    /// Host.
    pub host: HostName,
    /// Training streams by target.
    pub streams: Vec<(TargetName, u32)>,
    /// Shares by service, of the trainers that want work.
    pub shares: Vec<(ServiceName, u32)>,
}

/// Answers another entry on the trainers' path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RolloutAnswer {
    /// The home's answer.
    Answer(Box<Answer>),
    /// The message was taken.
    Taken,
}
