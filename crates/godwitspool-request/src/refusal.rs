//! Why a request is refused or ends without a whole answer.

use std::fmt;

use godwitspool_types::{Millis, Ran};

/// A reason for which a request is refused or ends without a whole answer.
///
/// Each reason has a code for machines, an HTTP status, and says whether the request ran.
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
    /// The workspace has as many requests in progress as its limit allows.
    ConcurrencyLimit,
    /// No target could be connected to.
    ConnectFailed,
    /// The deadline passed after the request was handed to a target.
    DeadlineExceeded,
    /// The deadline can't be met, going by the queue.
    DeadlineUnreachable,
    /// The entry host is draining.
    Draining,
    /// The outcome of an earlier request with the same idempotency key isn't known.
    FateUnknown,
    /// A home host of the idempotency key doesn't answer.
    HomeUnreachable,
    /// A request with the same idempotency key is in progress.
    KeyInProgress,
    /// The idempotency key was used with another request.
    KeyMismatch,
    /// No key came with the request and the route isn't open.
    KeyMissing,
    /// The key isn't known.
    KeyUnknown,
    /// The key is withdrawn.
    KeyWithdrawn,
    /// The key was withdrawn while the request was in progress.
    KeyWithdrawnMidway,
    /// The configuration is too old for the workspace's rule on unconfirmed keys.
    KeysUnconfirmed,
    /// No target that fits is live.
    NoTarget,
    /// The entry host has no configuration yet.
    NotReady,
    /// Nothing is served at the path.
    PathUnknown,
    /// The request is quarantined, since targets crashed while they ran it.
    Quarantined,
    /// The deadline passed in the queue.
    QueueExpired,
    /// The queue has no room.
    QueueFull,
    /// The workspace sends more requests a second than its limit allows.
    RateLimit,
    /// The request is malformed.
    RequestInvalid,
    /// The stream broke off and couldn't be resumed.
    ResumeFailed,
    /// The retry budget or the attempts are spent.
    RetriesSpent,
    /// The workspace has no service of that name.
    ServiceUnknown,
    /// The request is suspected of crashing targets and another copy of it is on trial.
    SuspectBusy,
    /// The target was lost after the request was handed to it.
    TargetLost,
    /// The targets refused the request without running it.
    TargetRefused,
    /// The target went silent after the request was handed to it.
    TargetSilent,
}

impl Reason {
    /// Every reason, in order of its code.
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

    /// Returns the code for machines, which is the counter's label too.
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

    /// Returns the HTTP status.
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

    /// Tells whether a request refused for the reason ran.
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

    /// Returns after how long a caller may try again when nothing better is known.
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

/// A refusal as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Refusal {
    /// Whether the request ran.
    pub ran: Ran,
    /// Why.
    pub reason: Reason,
    /// When the caller may try again.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Sets when the caller may try again.
    pub fn with_retry(mut self, after: Millis) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Answers for every request that carried the same idempotency key.
    ///
    /// Until the key's home hosts have said that the key is new, an earlier request with it may
    /// have run, so "not run" turns into "unknown".
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

    /// Returns the value of the `Retry-After` header, in seconds rounded up.
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
