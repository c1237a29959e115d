//! Messages between entries on the trainers' path.

use godwitspool_rollout::{Answer, PeerMessage, Request};
use godwitspool_types::{HostName, TrainerName};
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

/// Answers another entry on the trainers' path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RolloutAnswer {
    /// The home's answer.
    Answer(Box<Answer>),
    /// The message was taken.
    Taken,
}
