//! What other entries ask on the interactive path.

use std::sync::Arc;

use godwitspool_connection::messages::{ServingAnswer, ServingRequest};

use crate::process::shared::Shared;

/// Answers another entry.
pub(crate) fn answer(_shared: &Arc<Shared>, message: ServingRequest) -> ServingAnswer {
    match message {
        ServingRequest::Probe => ServingAnswer::Here,
    }
}
