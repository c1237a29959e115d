//! Reasons for which a request is refused or ends without a complete answer.

use std::fmt;

use godwitspool_types::{Millis, Ran};

/// A reason for which a request is refused or ends without a complete answer.
///
/// Each reason has a machine-readable code, an HTTP status and a statement whether the request ran.
///
/// ```
/// use godwitspool_request::Reason;
/// use godwitspool_types::Ran;
///
/// assert_eq!(Reason::RateLimit.code(), "rate-limit");
/// assert_eq!(Reason::RateLimit.status(), 429);
/// assert_eq!(Reason::TargetLost.ran(), Ran::Unknown);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The body is larger than the entry accepts.
    BodyTooLarge,
    /// The workspace has reached its limit of requests in progress.
    ConcurrencyLimit,
    /// No connection to a target could be opened.
    ConnectFailed,
    /// The deadline passed after the request was sent to a target.
    DeadlineExceeded,
    /// The estimated wait in the queue leaves too little time before the deadline.
    DeadlineUnreachable,
    /// The entry host is draining.
    Draining,
    /// The outcome of an earlier request with the same idempotency key isn't known.
    FateUnknown,
    /// A home host of the idempotency key did not answer.
    HomeUnreachable,
    /// A request with the same idempotency key is in progress.
    KeyInProgress,
    /// The idempotency key was used before with a different request.
    KeyMismatch,
    /// The request carries no API key and the route isn't open.
    KeyMissing,
    /// The API key isn't known.
    KeyUnknown,
    /// The API key is withdrawn.
    KeyWithdrawn,
    /// The API key was withdrawn while the request was in progress.
    KeyWithdrawnMidway,
    /// The configuration was last confirmed longer ago than the workspace allows for API keys.
    KeysUnconfirmed,
    /// No live target meets the request's requirements.
    NoTarget,
    /// The entry host has no configuration yet.
    NotReady,
    /// Nothing is served at the path.
    PathUnknown,
    /// The request is quarantined because targets crashed while running it.
    Quarantined,
    /// The deadline passed in the queue.
    QueueExpired,
    /// The queue has no room.
    QueueFull,
    /// The workspace exceeds its limit of requests per second.
    RateLimit,
    /// The request is malformed.
    RequestInvalid,
    /// The stream broke off and could not be resumed.
    ResumeFailed,
    /// The retry budget or the number of attempts is exhausted.
    RetriesSpent,
    /// The workspace has no service of that name.
    ServiceUnknown,
    /// The request is suspected of crashing targets and another copy of it is on trial.
    SuspectBusy,
    /// The target failed or its connection was lost after the request was sent to it.
    TargetLost,
    /// The targets refused the request without running it.
    TargetRefused,
    /// The target sent nothing within the idle timeout after the request was sent to it.
    TargetSilent,
}

impl Reason {
    /// All reasons, sorted by code.
    pub const ALL: [Self; 30] = [
        Self::BodyTooLarge,
        Self::ConcurrencyLimit,
        Self::ConnectFailed,
        Self::DeadlineExceeded,
        Self::DeadlineUnreachable,
        Self::Draining,
        Self::FateUnknown,
        Self::HomeUnreachable,
        Self::KeyInProgress,
        Self::KeyMismatch,
        Self::KeyMissing,
        Self::KeyUnknown,
        Self::KeyWithdrawn,
        Self::KeyWithdrawnMidway,
        Self::KeysUnconfirmed,
        Self::NoTarget,
        Self::NotReady,
        Self::PathUnknown,
        Self::Quarantined,
        Self::QueueExpired,
        Self::QueueFull,
        Self::RateLimit,
        Self::RequestInvalid,
        Self::ResumeFailed,
        Self::RetriesSpent,
        Self::ServiceUnknown,
        Self::SuspectBusy,
        Self::TargetLost,
        Self::TargetRefused,
        Self::TargetSilent,
    ];

    /// Returns the machine-readable code, which is also the metric label.
    pub fn code(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "body-too-large",
            Self::ConcurrencyLimit => "concurrency-limit",
            Self::ConnectFailed => "connect-failed",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::DeadlineUnreachable => "deadline-unreachable",
            Self::Draining => "draining",
            Self::FateUnknown => "fate-unknown",
            Self::HomeUnreachable => "home-unreachable",
            Self::KeyInProgress => "key-in-progress",
            Self::KeyMismatch => "key-mismatch",
            Self::KeyMissing => "key-missing",
            Self::KeyUnknown => "key-unknown",
            Self::KeyWithdrawn => "key-withdrawn",
            Self::KeyWithdrawnMidway => "key-withdrawn-midway",
            Self::KeysUnconfirmed => "keys-unconfirmed",
            Self::NoTarget => "no-target",
            Self::NotReady => "not-ready",
            Self::PathUnknown => "path-unknown",
            Self::Quarantined => "quarantined",
            Self::QueueExpired => "queue-expired",
            Self::QueueFull => "queue-full",
            Self::RateLimit => "rate-limit",
            Self::RequestInvalid => "request-invalid",
            Self::ResumeFailed => "resume-failed",
            Self::RetriesSpent => "retries-spent",
            Self::ServiceUnknown => "service-unknown",
            Self::SuspectBusy => "suspect-busy",
            Self::TargetLost => "target-lost",
            Self::TargetRefused => "target-refused",
            Self::TargetSilent => "target-silent",
        }
    }

    /// Returns the HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            Self::RequestInvalid => 400,
            Self::KeyMissing | Self::KeyUnknown | Self::KeyWithdrawn | Self::KeyWithdrawnMidway => {
                401
            }
            Self::PathUnknown | Self::ServiceUnknown => 404,
            Self::FateUnknown | Self::KeyInProgress => 409,
            Self::BodyTooLarge => 413,
            Self::KeyMismatch | Self::Quarantined => 422,
            Self::ConcurrencyLimit | Self::RateLimit | Self::SuspectBusy => 429,
            Self::ConnectFailed | Self::ResumeFailed | Self::RetriesSpent | Self::TargetLost => 502,
            Self::DeadlineUnreachable
            | Self::Draining
            | Self::HomeUnreachable
            | Self::KeysUnconfirmed
            | Self::NoTarget
            | Self::NotReady
            | Self::QueueExpired
            | Self::QueueFull
            | Self::TargetRefused => 503,
            Self::DeadlineExceeded | Self::TargetSilent => 504,
        }
    }

    /// Returns whether a request refused for this reason ran.
    pub fn ran(self) -> Ran {
        match self {
            Self::DeadlineExceeded
            | Self::FateUnknown
            | Self::HomeUnreachable
            | Self::KeyInProgress
            | Self::KeyMismatch
            | Self::KeyWithdrawnMidway
            | Self::ResumeFailed
            | Self::RetriesSpent
            | Self::TargetLost
            | Self::TargetSilent => Ran::Unknown,
            _ => Ran::NotRun,
        }
    }

    /// Returns the delay before a retry when no better estimate is available.
    fn default_retry(self) -> Option<Millis> {
        match self {
            Self::ConcurrencyLimit
            | Self::ConnectFailed
            | Self::Draining
            | Self::KeyInProgress
            | Self::QueueExpired
            | Self::QueueFull
            | Self::RateLimit
            | Self::SuspectBusy
            | Self::TargetRefused => Some(Millis(1_000)),
            Self::DeadlineUnreachable
            | Self::HomeUnreachable
            | Self::KeysUnconfirmed
            | Self::NoTarget
            | Self::NotReady => Some(Millis(2_000)),
            _ => None,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// A refusal as it is reported to the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Refusal {
    /// Whether the request ran on a target.
    pub ran: Ran,
    /// Reason, which determines the code and the HTTP status.
    pub reason: Reason,
    /// Delay after which the caller may retry; `None` sends no `Retry-After` header.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Sets the delay after which the caller may retry.
    pub fn with_retry(mut self, after: Millis) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Lengthens the delay by a random part of itself, given as a number in `0.0..=1.0`. Callers
    /// that are refused together come back over as long a time as they were told to wait.
    ///
    /// ```
    /// use godwitspool_request::{Reason, Refusal};
    /// use godwitspool_types::Millis;
    ///
    /// let refusal = Refusal::from(Reason::QueueFull).with_retry(Millis(400));
    /// assert_eq!(refusal.spread(0.25).retry_after, Some(Millis(500)));
    /// ```
    pub fn spread(mut self, draw: f64) -> Self {
        let lengthen = |after: Millis| Millis((after.0 as f64 * (1.0 + draw)) as u64);
        self.retry_after = self.retry_after.map(lengthen);
        self
    }

    /// Widens the refusal to cover every request with the same idempotency key.
    ///
    /// Until the key's home hosts have confirmed that the key is new, an earlier request with it
    /// may have run, so "not run" becomes "unknown".
    ///
    /// ```
    /// use godwitspool_request::{Reason, Refusal};
    /// use godwitspool_types::Ran;
    ///
    /// assert_eq!(Refusal::from(Reason::RateLimit).for_keyed().ran, Ran::Unknown);
    /// ```
    pub fn for_keyed(mut self) -> Self {
        if self.ran == Ran::NotRun {
            self.ran = Ran::Unknown;
        }
        self
    }

    /// Returns the value of the `Retry-After` header in seconds, rounded up and at least 1.
    ///
    /// ```
    /// use godwitspool_request::{Reason, Refusal};
    /// use godwitspool_types::Millis;
    ///
    /// let refusal = Refusal::from(Reason::QueueFull).with_retry(Millis(1_200));
    /// assert_eq!(refusal.retry_seconds(), Some(2));
    /// ```
    pub fn retry_seconds(&self) -> Option<u64> {
        self.retry_after.map(|after| after.0.div_ceil(1_000).max(1))
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self {
            ran: reason.ran(),
            reason,
            retry_after: reason.default_retry(),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.ran)
    }
}
