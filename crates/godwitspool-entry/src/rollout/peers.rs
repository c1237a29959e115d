//! Messages of other entries about trainers' steps.

use std::sync::Arc;

use godwitspool_connection::messages::{RolloutAnswer, RolloutRequest};
use godwitspool_rollout::StepEvent;

use crate::process::shared::Shared;

/// Answers a message of another entry.
pub(crate) fn answer(shared: &Arc<Shared>, message: RolloutRequest) -> RolloutAnswer {
    match message {
        RolloutRequest::Ask { trainer, request } => {
            let answer = shared.rollouts.ask_local(shared, &trainer, request);
            RolloutAnswer::Answer(Box::new(answer))
        }
        RolloutRequest::Portion(portion) => {
            shared.rollouts.update_portion(portion);
            RolloutAnswer::Taken
        }
        RolloutRequest::Tell {
            from,
            trainer,
            message,
        } => {
            let event = StepEvent::Peer { from, message };
            shared.rollouts.handle_event(shared, &trainer, event);
            RolloutAnswer::Taken
        }
    }
}
