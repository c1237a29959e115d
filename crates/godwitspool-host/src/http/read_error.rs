use snafu::Snafu;

use super::{DecodeError, Limited};

/// Why no request was read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The caller disconnected, the idle timeout expired, or the server was stopped.
    #[snafu(display("connection ended"))]
    Ended,
    /// The request exceeds a limit or is malformed.
    #[snafu(display("request refused with status {status}"))]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The server has no memory for the request, or it arrives too slowly.
    #[snafu(display("request refused by the limit of {}", limited.as_str()))]
    Limited {
        /// The limit that was reached.
        limited: Limited,
    },
}

impl From<DecodeError> for ReadError {
    fn from(_: DecodeError) -> Self {
        Self::Refused { status: 400 }
    }
}
