//! A circuit breaker that keeps requests away from a failing target.

use godwitspool_types::Millis;
use rand::Rng;

/// The outcome of an attempt on a target, as far as it concerns the target's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The attempt failed in a way that no request can cause, such as a refused connection.
    Unreachable,
    /// The target failed while running a request of the caller with this hash.
    Failed(u64),
    /// The target answered.
    Answered,
}

/// The circuit breaker of one target.
///
/// A failure that a request may have caused opens the breaker only if callers of two workspaces had
/// failures without a success in between. Until then the breaker rejects only the caller that had
/// the failures.
///
/// ```
/// use godwitspool_request::{AttemptOutcome, Breaker};
/// use godwitspool_types::Millis;
///
/// let mut breaker = Breaker::default();
/// for _ in 0..10 {
///     breaker.record(AttemptOutcome::Failed(1), Millis(0), &mut rand::rng());
/// }
/// assert!(!breaker.allows(1, Millis(0)));
/// assert!(breaker.allows(2, Millis(0)));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Breaker {
    /// Callers with failures since the last success, and the number of failures.
    failed_callers: Vec<(u64, u32)>,
    /// Number of times the breaker opened since the last success.
    openings: u32,
    /// Time until which the breaker rejects all callers.
    open_until: Millis,
    /// Failures since the last success that no request can cause.
    unreachable: u32,
}

impl Breaker {
    /// Maximum number of callers whose failures are counted.
    const MAX_CALLERS: usize = 8;
    /// Number of failures of one caller from which that caller is rejected.
    const CALLER_FAILURE_THRESHOLD: u32 = 3;
    /// Number of failures of several callers, or of connections, that opens the breaker.
    const FAILURE_THRESHOLD: u32 = 3;
    /// How long the breaker stays open the first time, without jitter. It doubles each time.
    const MIN_OPEN: Millis = Millis(500);
    /// Maximum number of doublings of [`Self::MIN_OPEN`].
    const MAX_DOUBLINGS: u32 = 6;

    /// Returns whether a caller's requests may be sent to the target.
    pub fn allows(&self, caller: u64, now: Millis) -> bool {
        self.closed(now) && !self.rejects(caller)
    }

    /// Returns whether the breaker is closed for callers without failures of their own.
    pub fn closed(&self, now: Millis) -> bool {
        now >= self.open_until
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome, now: Millis, rng: &mut impl Rng) {
        match outcome {
            AttemptOutcome::Answered => *self = Self::default(),
            AttemptOutcome::Unreachable => self.unreachable += 1,
            AttemptOutcome::Failed(caller) => self.count_failure(caller),
        }
        if self.trips() && self.closed(now) {
            self.open(now, rng);
        }
    }

    fn trips(&self) -> bool {
        let failures: u32 = self.failed_callers.iter().map(|(_, count)| count).sum();
        let shared = self.failed_callers.len() > 1 && failures >= Self::FAILURE_THRESHOLD;
        shared || self.unreachable >= Self::FAILURE_THRESHOLD
    }

    fn open(&mut self, now: Millis, rng: &mut impl Rng) {
        let span = Self::MIN_OPEN.0 << self.openings.min(Self::MAX_DOUBLINGS);
        self.open_until = now + Millis(span + rng.random_range(0..=span / 2));
        self.openings += 1;
    }

    fn rejects(&self, caller: u64) -> bool {
        self.failed_callers
            .iter()
            .any(|&(failed, count)| failed == caller && count >= Self::CALLER_FAILURE_THRESHOLD)
    }

    fn count_failure(&mut self, caller: u64) {
        if let Some(entry) = self
            .failed_callers
            .iter_mut()
            .find(|entry| entry.0 == caller)
        {
            entry.1 += 1;
        } else if self.failed_callers.len() < Self::MAX_CALLERS {
            self.failed_callers.push((caller, 1));
        }
    }
}
