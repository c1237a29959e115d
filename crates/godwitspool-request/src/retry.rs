//! Decides whether and when a failed attempt is retried.

use godwitspool_types::{Millis, Ran};
use rand::Rng;

use crate::{Reason, Refusal};

/// A reason for which a request is sent to a target again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The connection to the target failed.
    ConnectFailed,
    /// A training stream was cut to restore the headroom for interactive requests.
    HeadroomEaten,
    /// A hedge was sent because the answer to the first copy was late.
    Hedged,
    /// A pooled connection was found broken before the request was written.
    PooledDead,
    /// The stream broke off and was resumed.
    StreamBroken,
    /// The target is draining or being reclaimed.
    TargetLeaving,
    /// The target failed or its connection was lost before it answered.
    TargetLost,
    /// The target refused the request without running it.
    TargetRefused,
    /// The target sent nothing within the idle timeout.
    TargetSilent,
}

impl RetryReason {
    /// All reasons, sorted by code.
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

    /// Returns the machine-readable code, which is also the metric label.
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

    /// Returns whether the failed attempt ran.
    pub fn ran(self) -> Ran {
        match self {
            Self::ConnectFailed | Self::PooledDead | Self::TargetRefused => Ran::NotRun,
            _ => Ran::Unknown,
        }
    }

    /// Returns whether the next attempt continues after the tokens that the caller already has.
    fn resumes(self) -> bool {
        matches!(
            self,
            Self::HeadroomEaten | Self::StreamBroken | Self::TargetLeaving
        )
    }

    /// Returns the reason reported to the caller when there is no further attempt.
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

/// A retry budget that limits retries to a tenth of the successes.
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
    /// Remaining budget, in thousandths of a retry.
    millitokens: u32,
}

impl RetryBudget {
    /// Budget earned by a success, in thousandths of a retry: ten successes allow one retry.
    const EARNED_MILLITOKENS: u32 = 100;
    /// Largest budget, in thousandths of a retry. A new budget starts with half of it.
    const MAX_MILLITOKENS: u32 = 10_000;

    /// Records a success.
    pub fn succeed(&mut self) {
        self.millitokens = (self.millitokens + Self::EARNED_MILLITOKENS).min(Self::MAX_MILLITOKENS);
    }

    /// Takes one retry from the budget, or returns `false` if less than one is left.
    pub fn take(&mut self) -> bool {
        let enough = self.has_retry();
        if enough {
            self.millitokens -= 1_000;
        }
        enough
    }

    /// Returns a retry to the budget.
    pub fn refund(&mut self) {
        self.millitokens = (self.millitokens + 1_000).min(Self::MAX_MILLITOKENS);
    }

    /// Lowers the budget to a maximum, given in retries.
    pub fn limit(&mut self, max: f64) {
        let max = (max * 1_000.0) as u32;
        self.millitokens = self.millitokens.min(max);
    }

    fn has_retry(&self) -> bool {
        self.has_retries(1)
    }

    fn has_retries(&self, retries: u32) -> bool {
        self.millitokens >= retries * 1_000
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            millitokens: Self::MAX_MILLITOKENS / 2,
        }
    }
}

/// Why a request is sent to a further target although another one may be running it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Repeat {
    /// The response is late.
    Hedge,
    /// An attempt has failed, or its response is so late that the target may hang.
    Retry,
}

/// The retry budget of one of many hosts, each of which sees few requests.
///
/// It holds at most a tenth of the successes of the last seconds, but always up to two retries: a host
/// that serves a request every few seconds must be able to repeat one. A repeat that served its request
/// is refunded, so only repeats in vain use the budget up. A hedge leaves a retry for a failed request,
/// which has no other chance, while a late one may still be answered.
///
/// Load patterns: one target hangs, and hedges to the others succeed; all targets are slow at once, and
/// hedges double their load in vain.
///
/// ```
/// use godwitspool_request::{Repeat, RepeatBudget};
/// use godwitspool_types::Millis;
///
/// let mut budget = RepeatBudget::default();
/// assert!(budget.take(Repeat::Hedge));
/// assert!(!budget.take(Repeat::Hedge));
/// assert!(budget.take(Repeat::Retry));
/// assert!(!budget.take(Repeat::Retry));
/// budget.succeed(true, Millis(100));
/// assert!(budget.take(Repeat::Retry));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct RepeatBudget {
    budget: RetryBudget,
    /// Number of successes; it decays with [`SUCCESS_HALF_LIFE`].
    recent: f64,
    /// When the decay was last applied to `recent`.
    settled: Millis,
}

/// Half-life of the number of successes that bounds a [`RepeatBudget`]. Troubles that repeats help
/// against, such as a crash, are over in less.
const SUCCESS_HALF_LIFE: Millis = Millis(10_000);
/// Largest budget in relation to the recent successes, and the least one in retries: one for a hedge
/// and one for a failed request.
const SUCCESS_FRACTION: f64 = 0.1;
const MIN_REPEATS: f64 = 2.0;

impl RepeatBudget {
    /// Takes a repeat from the budget, or returns `false` if there isn't enough left.
    pub fn take(&mut self, repeat: Repeat) -> bool {
        self.allows(repeat) && self.budget.take()
    }

    /// Returns whether there is enough left for a repeat.
    pub fn allows(&self, repeat: Repeat) -> bool {
        self.budget.has_retries(match repeat {
            Repeat::Hedge => 2,
            Repeat::Retry => 1,
        })
    }

    /// Records a success. `repeated` states that it came from a repeat, which is refunded.
    pub fn succeed(&mut self, repeated: bool, now: Millis) {
        let halvings = (now - self.settled).0 as f64 / SUCCESS_HALF_LIFE.0 as f64;
        self.recent = self.recent * 0.5_f64.powf(halvings) + 1.0;
        self.settled = now;
        if repeated {
            self.budget.refund();
        }
        self.budget.succeed();
        self.budget
            .limit((self.recent * SUCCESS_FRACTION).max(MIN_REPEATS));
    }

    /// Returns a repeat that was taken and not sent.
    pub fn refund(&mut self) {
        self.budget.refund();
    }
}

impl Default for RepeatBudget {
    fn default() -> Self {
        let mut budget = RetryBudget::default();
        budget.limit(MIN_REPEATS);
        Self {
            budget,
            recent: 0.0,
            settled: Millis::ZERO,
        }
    }
}

/// The state of a request's attempts so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attempts {
    /// Time by which the answer must be complete.
    pub deadline: Millis,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of attempts that resumed a stream.
    pub resumed: u32,
    /// Number of attempts that restarted the request from the beginning.
    pub retried: u32,
    /// Whether an attempt may have run.
    pub maybe_ran: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryDecision {
    /// Refuse the request.
    Refuse(Refusal),
    /// Retry the request after this backoff.
    Retry(Millis),
}

impl Attempts {
    /// Maximum number of attempts that restart the request from the beginning.
    pub const MAX_RETRIES: u32 = 3;
    /// Maximum number of attempts that resume a stream.
    pub const MAX_RESUMES: u32 = 8;
    /// Upper bound of the backoff before the first retry. It doubles with each retry.
    const BASE_BACKOFF: Millis = Millis(10);

    /// Decides what to do after a failed attempt.
    ///
    /// A retry that makes a target run the request again is taken from both retry budgets. A retry
    /// after an attempt that did not run, such as a failed connection, or one that resumes after the
    /// tokens that the caller has, makes no target work more and is limited only by the number of
    /// attempts.
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
        let exhausted = if reason.resumes() {
            self.resumed >= Self::MAX_RESUMES
        } else {
            self.retried >= Self::MAX_RETRIES
        };
        if exhausted {
            return self.refuse(Reason::RetriesSpent);
        }
        let backoff = self.backoff(retry_after, rng);
        if now + backoff >= self.deadline {
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
        RetryDecision::Retry(backoff)
    }

    /// Refuses the request. Whether it ran is decided from all attempts, not only the last one.
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

    /// Returns the backoff before the next attempt: full jitter, added to `Retry-After` if given.
    fn backoff(&self, retry_after: Option<Millis>, rng: &mut impl Rng) -> Millis {
        let ceiling = Self::BASE_BACKOFF.0 << self.retried.min(6);
        let jitter = Millis(rng.random_range(0..=ceiling));
        retry_after.map_or(jitter, |after| after + jitter)
    }
}

fn take_both([workspace, class]: [&mut RetryBudget; 2]) -> bool {
    let both = workspace.has_retry() && class.has_retry();
    both && workspace.take() && class.take()
}
