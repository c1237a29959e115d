use std::io;

use crate::request::Ended;

/// Outcomes of requests that end while the process drains, as counted and logged.
#[derive(Debug)]
pub struct Drained;

impl Drained {
    /// Answered by a target or this host.
    pub const FINISHED: &str = "finished";
    /// Refused before it was sent to a target.
    pub const REFUSED: &str = "refused";
    /// Answered without its outcome.
    pub const UNFINISHED: &str = "unfinished";
    /// Its connection was closed within the response, or the caller disconnected.
    pub const BROKEN_OFF: &str = "broken off";

    /// Returns the outcome of a request.
    pub fn outcome(ended: &io::Result<Ended>) -> &'static str {
        match ended {
            Ok(Ended::Answered(_)) => Self::FINISHED,
            Ok(Ended::Refused | Ended::RefusedAtEnd) => Self::REFUSED,
            Ok(Ended::Failed(1..)) => Self::UNFINISHED,
            Ok(Ended::Failed(0) | Ended::CallerLeft) | Err(_) => Self::BROKEN_OFF,
        }
    }
}
