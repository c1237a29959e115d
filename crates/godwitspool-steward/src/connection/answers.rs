//! Answers to entries and other stewards.

use std::{sync::Arc, time::Duration};

use godwitspool_connection::messages::{StewardAnswer, StewardRequest};

use crate::version::board::Board;

/// Longest time that a view request waits for a change.
const VIEW_WAIT: Duration = Duration::from_secs(1);

/// Answers one request.
pub(crate) fn answer(board: &Arc<Board>, request: &StewardRequest) -> StewardAnswer {
    match request {
        StewardRequest::View(known) => match board.wait(*known, VIEW_WAIT) {
            Some(view) => StewardAnswer::View(Box::new(view)),
            None => StewardAnswer::NotReady,
        },
        StewardRequest::Demand(_) | StewardRequest::HoldUsage(_) => StewardAnswer::Done,
        StewardRequest::Snapshot | StewardRequest::Tail(_) => StewardAnswer::NotReady,
    }
}
