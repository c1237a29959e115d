//! What other entries ask on the trainers' path.

use std::sync::Arc;

use godwitspool_connection::messages::{RolloutAnswer, RolloutRequest};

use crate::process::shared::Shared;

/// Answers another entry.
pub(crate) fn answer(_shared: &Arc<Shared>, message: RolloutRequest) -> RolloutAnswer {
    match message {
        RolloutRequest::Probe => RolloutAnswer::Here,
    }
}
