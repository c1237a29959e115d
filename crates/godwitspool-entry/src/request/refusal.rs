//! Why a request is refused.

use godwitspool_request as decided;
use godwitspool_request::Reason;
use godwitspool_types::Ran;
use snafu::Snafu;

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub(crate) enum Refusal {
    #[snafu(display("request body: {message}"))]
    BadBody { message: String },
    #[snafu(display("{refusal}"))]
    Decided { refusal: decided::Refusal },
    #[snafu(display("no key, or not one that is in force"))]
    KeyUnknown,
    #[snafu(display("entry has not yet found the configuration"))]
    NotReady,
    #[snafu(display("path is not served"))]
    UnknownPath,
}

impl Refusal {
    pub(crate) fn code(&self) -> &'static str {
        self.decided().reason.code()
    }

    pub(crate) fn ran(&self) -> Ran {
        self.decided().ran
    }

    pub(crate) fn retry_after_s(&self) -> Option<u64> {
        self.decided().retry_seconds()
    }

    pub(crate) fn status(&self) -> u16 {
        self.decided().reason.status()
    }

    /// Returns the refusal as decided, without its text.
    pub(crate) fn decided(&self) -> decided::Refusal {
        match self {
            Self::Decided { refusal } => *refusal,
            Self::BadBody { .. } => Reason::RequestInvalid.into(),
            Self::KeyUnknown => Reason::KeyUnknown.into(),
            Self::NotReady => Reason::NotReady.into(),
            Self::UnknownPath => Reason::PathUnknown.into(),
        }
    }

    /// Answers for every request with the same idempotency key.
    pub(crate) fn for_keyed(&self) -> Self {
        self.decided().for_keyed().into()
    }
}

impl From<decided::Refusal> for Refusal {
    fn from(refusal: decided::Refusal) -> Self {
        Self::Decided { refusal }
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self::from(decided::Refusal::from(reason))
    }
}
