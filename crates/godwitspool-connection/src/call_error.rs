//! Why a call to a target failed, and whether it may have run.

use godwitspool_types::{Millis, Ran};
use snafu::Snafu;

/// A failed call to a target.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// No byte of the request left this process.
    #[snafu(display("request was not sent: {cause}"))]
    NotSent {
        /// What the library said.
        cause: String,
    },
    /// The connection broke after bytes of the request had left.
    #[snafu(display("connection broke: {cause}"))]
    Broken {
        /// What the library said.
        cause: String,
    },
    /// No byte came for the idle bound.
    #[snafu(display("no byte for {idle}"))]
    Silent {
        /// The idle bound.
        idle: Millis,
    },
    /// The target answered with an error status.
    #[snafu(display("status {status}: {message}"))]
    Status {
        /// HTTP status.
        status: u16,
        /// Value of `Retry-After`, when given in seconds.
        retry_after: Option<u64>,
        /// Start of the body.
        message: String,
    },
    /// The answer broke the protocol.
    #[snafu(display("answer breaks the protocol: {cause}"))]
    Protocol {
        /// What was wrong.
        cause: String,
    },
    /// The stream ended without its terminator.
    #[snafu(display("stream ended without its terminator"))]
    Truncated,
}

impl CallError {
    /// Tells whether the request may have run.
    ///
    /// A status of 429 or 503 says by the protocol that the target took nothing.
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
