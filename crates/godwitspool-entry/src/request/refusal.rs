//! Why a request is refused.

use godwitspool_types::Ran;
use snafu::Snafu;

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub(crate) enum Refusal {
    #[snafu(display("request body: {message}"))]
    BadBody { message: String },
    #[snafu(display("entry host leaves"))]
    Draining,
    #[snafu(display("no key, or not one that is in force"))]
    KeyUnknown,
    #[snafu(display("no target of the service takes work"))]
    NoTarget,
    #[snafu(display("entry has not yet found the configuration"))]
    NotReady,
    #[snafu(display("too many requests in progress"))]
    Overloaded,
    #[snafu(display("target failed: {message}"))]
    TargetFailed { message: String, ran: Ran },
    #[snafu(display("path is not served"))]
    UnknownPath,
    #[snafu(display("service \"{service}\" is not one of the workspace's"))]
    UnknownService { service: String },
}

impl Refusal {
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::BadBody { .. } => "bad-body",
            Self::Draining => "draining",
            Self::KeyUnknown => "key-unknown",
            Self::NoTarget => "no-target",
            Self::NotReady => "not-ready",
            Self::Overloaded => "overloaded",
            Self::TargetFailed { .. } => "target-failed",
            Self::UnknownPath => "unknown-path",
            Self::UnknownService { .. } => "unknown-service",
        }
    }

    pub(crate) fn ran(&self) -> Ran {
        match self {
            Self::TargetFailed { ran, .. } => *ran,
            _ => Ran::NotRun,
        }
    }

    pub(crate) fn retry_after_s(&self) -> Option<u32> {
        matches!(
            self,
            Self::Draining | Self::NoTarget | Self::NotReady | Self::Overloaded
        )
        .then_some(1)
    }

    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::BadBody { .. } => 400,
            Self::KeyUnknown => 401,
            Self::UnknownPath | Self::UnknownService { .. } => 404,
            Self::TargetFailed { .. } => 502,
            Self::Draining | Self::NoTarget | Self::NotReady | Self::Overloaded => 503,
        }
    }
}
