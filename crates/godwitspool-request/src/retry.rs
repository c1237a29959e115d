//! Whether and when a failed attempt is tried again.

use godwitspool_types::{Millis, Ran};
use rand::Rng;

use crate::{Reason, Refusal};

/// A reason for which a request is handed to a target once more.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The connection to the target failed.
    ConnectFailed,
    /// A training stream was cut to give headroom to interactive requests.
    HeadroomEaten,
    /// A second copy was started, since the first answer was late.
    Hedged,
    /// A pooled connection turned out to be dead before the request was written.
    PooledDead,
    /// The stream broke off and was resumed.
    StreamBroken,
    /// The target is leaving or reclaimed.
    TargetLeaving,
    /// The target was lost before it answered.
    TargetLost,
    /// The target refused without running the request.
    TargetRefused,
    /// The target went silent.
    TargetSilent,
}

impl RetryReason {
    /// Every reason, in order of its code.
    pub const ALL: [Self; 9] = [
        Self::ConnectFailed,
        Self::HeadroomEaten,
        Self::Hedged,
        Self::PooledDead,
        Self::StreamBroken,
        Self::TargetLeaving,
        Self::TargetLost,
        Self::TargetRefused,
        Self::TargetSilent,
    ];

    /// Returns the code for machines, which is the counter's label too.
    ///
    /// ```
    /// use godwitspool_request::RetryReason;
    ///
    /// assert_eq!(RetryReason::PooledDead.code(), "pooled-dead");
    /// ```
    pub fn code(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect-failed",
            Self::HeadroomEaten => "headroom-eaten",
            Self::Hedged => "hedged",
            Self::PooledDead => "pooled-dead",
            Self::StreamBroken => "stream-broken",
            Self::TargetLeaving => "target-leaving",
            Self::TargetLost => "target-lost",
            Self::TargetRefused => "target-refused",
            Self::TargetSilent => "target-silent",
        }
    }

    /// Tells whether the attempt that failed ran.
    pub fn ran(self) -> Ran {
        match self {
            Self::ConnectFailed | Self::PooledDead | Self::TargetRefused => Ran::NotRun,
            _ => Ran::Unknown,
        }
    }

    /// Tells whether the next attempt goes on from tokens that the caller already has.
    fn resumes(self) -> bool {
        matches!(
            self,
            Self::HeadroomEaten | Self::StreamBroken | Self::TargetLeaving
        )
    }

    /// Returns what the caller is told when no further attempt follows.
    fn refusal(self) -> Reason {
        match self {
            Self::ConnectFailed | Self::PooledDead => Reason::ConnectFailed,
            Self::TargetRefused => Reason::TargetRefused,
            Self::StreamBroken | Self::HeadroomEaten => Reason::ResumeFailed,
            Self::TargetSilent => Reason::TargetSilent,
            Self::TargetLeaving | Self::TargetLost | Self::Hedged => Reason::TargetLost,
        }
    }
}

/// Tokens that bound retries to a share of successes.
///
/// ```
/// use godwitspool_request::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// while budget.take() {}
/// (0..10).for_each(|_| budget.succeed());
/// assert!(budget.take());
/// assert!(!budget.take());
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Thousandths of a retry that may still be spent.
    tokens: u32,
}

impl RetryBudget {
    /// Thousandths of a retry that a success earns: one retry for ten successes.
    const EARNED: u32 = 100;
    /// Most thousandths that are held.
    const MOST: u32 = 10_000;

    /// Records a success.
    pub fn succeed(&mut self) {
        self.tokens = (self.tokens + Self::EARNED).min(Self::MOST);
    }

    /// Takes the tokens of a retry, or returns `false`.
    pub fn take(&mut self) -> bool {
        let enough = self.holds();
        if enough {
            self.tokens -= 1_000;
        }
        enough
    }

    fn holds(&self) -> bool {
        self.tokens >= 1_000
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: Self::MOST / 2,
        }
    }
}

/// The attempts of a request so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attempts {
    /// When the answer has to be whole.
    pub deadline: Millis,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// Attempts that resumed a stream.
    pub resumed: u32,
    /// Attempts that started from nothing again.
    pub retried: u32,
    /// Whether an attempt may have run.
    pub maybe_ran: bool,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryDecision {
    /// The request is refused.
    Refuse(Refusal),
    /// The request is tried again after a pause.
    Retry(Millis),
}

impl Attempts {
    /// Most attempts that start from nothing again.
    pub const MAX_RETRIES: u32 = 3;
    /// Most attempts that resume a stream.
    pub const MAX_RESUMES: u32 = 8;
    /// Pause before the first retry; it doubles with each.
    const BASE_PAUSE: Millis = Millis(10);

    /// Decides what follows a failure.
    ///
    /// A retry that makes a target run the request again takes from both budgets. One that only
    /// follows a failed connection, or that goes on from the tokens that the caller has, makes no
    /// target work more, and is bounded by the number of attempts alone.
    ///
    /// ```
    /// use godwitspool_request::{Attempts, Reason, RetryBudget, RetryDecision, RetryReason};
    /// use godwitspool_types::Millis;
    ///
    /// let mut attempts = Attempts { deadline: Millis(1_000), ..Attempts::default() };
    /// let (mut workspace, mut class) = (RetryBudget::default(), RetryBudget::default());
    /// let decision = attempts.fail(
    ///     RetryReason::TargetLost,
    ///     None,
    ///     [&mut workspace, &mut class],
    ///     Millis::ZERO,
    ///     &mut rand::rng(),
    /// );
    /// assert_eq!(decision, RetryDecision::Refuse(Reason::TargetLost.into()));
    /// ```
    pub fn fail(
        &mut self,
        reason: RetryReason,
        retry_after: Option<Millis>,
        budgets: [&mut RetryBudget; 2],
        now: Millis,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        self.maybe_ran |= reason.ran() != Ran::NotRun;
        if self.maybe_ran && !self.idempotent {
            return self.refuse(reason.refusal());
        }
        let spent = if reason.resumes() {
            self.resumed >= Self::MAX_RESUMES
        } else {
            self.retried >= Self::MAX_RETRIES
        };
        if spent {
            return self.refuse(Reason::RetriesSpent);
        }
        let pause = self.pause(retry_after, rng);
        if now + pause >= self.deadline {
            return self.refuse(reason.refusal());
        }
        if !reason.resumes() && reason.ran() != Ran::NotRun && !take_both(budgets) {
            return self.refuse(Reason::RetriesSpent);
        }
        if reason.resumes() {
            self.resumed += 1;
        } else {
            self.retried += 1;
        }
        RetryDecision::Retry(pause)
    }

    /// Refuses with what is known of all attempts, not of the last one alone.
    fn refuse(&self, reason: Reason) -> RetryDecision {
        let ran = if self.maybe_ran {
            Ran::Unknown
        } else {
            Ran::NotRun
        };
        RetryDecision::Refuse(Refusal {
            ran,
            ..Refusal::from(reason)
        })
    }

    /// Returns the pause before the next attempt: full jitter, but never below `Retry-After`.
    fn pause(&self, retry_after: Option<Millis>, rng: &mut impl Rng) -> Millis {
        let ceiling = Self::BASE_PAUSE.0 << self.retried.min(6);
        let jitter = Millis(rng.random_range(0..=ceiling));
        retry_after.map_or(jitter, |after| after + jitter)
    }
}

fn take_both([workspace, class]: [&mut RetryBudget; 2]) -> bool {
    let both = workspace.holds() && class.holds();
    both && workspace.take() && class.take()
}
