use std::io;

use crate::request::Ended;

/// How a request ended while the process drained, for logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Drained {
    /// Its connection was closed within the response, or the caller disconnected.
    BrokenOff,
    /// Answered by a target or this host.
    Finished,
    /// Refused before it was sent to a target.
    Refused,
    /// Answered without its outcome.
    Unfinished,
}

impl Drained {
    /// Returns the label value in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BrokenOff => "broken off",
            Self::Finished => "finished",
            Self::Refused => "refused",
            Self::Unfinished => "unfinished",
        }
    }
}

impl From<&io::Result<Ended>> for Drained {
    fn from(ended: &io::Result<Ended>) -> Self {
        match ended {
            Ok(Ended::Answered(_)) => Self::Finished,
            Ok(Ended::Refused | Ended::RefusedAtEnd) => Self::Refused,
            Ok(Ended::Failed(1..)) => Self::Unfinished,
            Ok(Ended::Failed(0) | Ended::CallerLeft) | Err(_) => Self::BrokenOff,
        }
    }
}
