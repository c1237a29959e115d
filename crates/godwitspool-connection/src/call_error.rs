//! Why a call to a target failed, and whether it may have run.

use godwitspool_types::{Millis, Ran};
use snafu::Snafu;

/// A failed call to a target.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// The request failed before any byte of it was sent.
    #[snafu(display("request was not sent: {cause}"))]
    NotSent {
        /// Error of the HTTP library.
        cause: String,
    },
    /// The connection failed after a part of the request had been sent.
    #[snafu(display("connection failed: {cause}"))]
    Broken {
        /// Error of the HTTP library.
        cause: String,
    },
    /// The target sent no byte within the idle timeout.
    #[snafu(display("no byte received within the idle timeout of {idle}"))]
    Silent {
        /// The idle timeout that expired.
        idle: Millis,
    },
    /// The target answered with an error status.
    #[snafu(display("status {status}: {message}"))]
    Status {
        /// HTTP status code.
        status: u16,
        /// Seconds of `Retry-After`; `None` without the header or when it holds a date.
        retry_after: Option<u64>,
        /// Body of the response; empty when it is longer than 512 bytes or not UTF-8.
        message: String,
    },
    /// The answer is not valid in the protocol.
    #[snafu(display("invalid answer: {cause}"))]
    Protocol {
        /// Error of the decoder, or which limit was exceeded.
        cause: String,
    },
    /// The stream ended before its terminator `[DONE]`.
    #[snafu(display("stream ended before its terminator"))]
    Truncated,
}

impl CallError {
    /// Returns whether the request may have run.
    ///
    /// By the protocol, a target answers 429 or 503 only before it starts a request.
    ///
    /// ```
    /// use godwitspool_connection::CallError;
    /// use godwitspool_types::Ran;
    ///
    /// assert_eq!(CallError::NotSent { cause: "refused".to_owned() }.ran(), Ran::NotRun);
    /// assert_eq!(CallError::Truncated.ran(), Ran::Unknown);
    /// ```
    pub fn ran(&self) -> Ran {
        match self {
            Self::NotSent { .. }
            | Self::Status {
                status: 429 | 503, ..
            } => Ran::NotRun,
            Self::Status { .. } => Ran::Ran,
            Self::Broken { .. } | Self::Protocol { .. } | Self::Silent { .. } | Self::Truncated => {
                Ran::Unknown
            }
        }
    }
}
