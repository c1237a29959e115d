//! Refusals as callers see them.

use godwitspool_request as policy;
use godwitspool_request::Reason;
use godwitspool_types::Ran;
use snafu::Snafu;

/// Why a request is refused. The text goes into the body of the answer.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub(crate) enum Refusal {
    #[snafu(display("request body: {message}"))]
    BadBody { message: String },
    #[snafu(display("{refusal}"))]
    Policy { refusal: policy::Refusal },
    #[snafu(display("no key, or not one that is in force"))]
    KeyUnknown,
    #[snafu(display("entry has not yet found the configuration"))]
    NotReady,
    #[snafu(display("path is not served"))]
    UnknownPath,
}

impl Refusal {
    pub(crate) fn code(&self) -> &'static str {
        self.policy_refusal().reason.code()
    }

    pub(crate) fn ran(&self) -> Ran {
        self.policy_refusal().ran
    }

    pub(crate) fn retry_after_s(&self) -> Option<u64> {
        self.policy_refusal().retry_seconds()
    }

    pub(crate) fn status(&self) -> u16 {
        self.policy_refusal().reason.status()
    }

    /// Returns the reason of the refusal and whether the request ran, without the text.
    pub(crate) fn policy_refusal(&self) -> policy::Refusal {
        match self {
            Self::Policy { refusal } => *refusal,
            Self::BadBody { .. } => Reason::RequestInvalid.into(),
            Self::KeyUnknown => Reason::KeyUnknown.into(),
            Self::NotReady => Reason::NotReady.into(),
            Self::UnknownPath => Reason::PathUnknown.into(),
        }
    }

    /// Returns the refusal for a request with an idempotency key, which an earlier request may have
    /// used and run.
    pub(crate) fn for_keyed(&self) -> Self {
        self.policy_refusal().for_keyed().into()
    }
}

impl From<policy::Refusal> for Refusal {
    fn from(refusal: policy::Refusal) -> Self {
        Self::Policy { refusal }
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self::from(policy::Refusal::from(reason))
    }
}
