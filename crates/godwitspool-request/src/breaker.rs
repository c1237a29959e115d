//! Stops work from going to a target that fails.

use godwitspool_types::Millis;
use rand::Rng;

/// How an attempt on a target went, as far as the target's health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The target failed in a way that no request can cause, such as a refused connection.
    Unreachable,
    /// The target failed while it ran a request of the caller with this hash.
    Failed(u64),
    /// The target answered.
    Answered,
}

/// The circuit breaker of one target.
///
/// A failure that a request may have caused counts against the target only once callers of two
/// workspaces have met it with no success between; until then it keeps out its own caller alone.
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
    /// Callers that met failures since the last success, with their number.
    blamed: Vec<(u64, u32)>,
    /// Openings since the last success.
    openings: u32,
    /// Closed to all until then.
    until: Millis,
    /// Failures in a row that no request can cause.
    unreachable: u32,
}

impl Breaker {
    /// Callers that are remembered.
    const CALLERS: usize = 8;
    /// Failures that keep out the caller who met them.
    const OWN_FAILURES: u32 = 3;
    /// Failures of several callers, or of connections, that open the breaker.
    const FAILURES: u32 = 3;
    /// Shortest opening; it doubles with each further one.
    const SHORTEST: Millis = Millis(500);
    /// Doublings at most.
    const DOUBLINGS: u32 = 6;

    /// Tells whether work of a caller may go to the target.
    pub fn allows(&self, caller: u64, now: Millis) -> bool {
        self.closed(now) && !self.blames(caller)
    }

    /// Tells whether the target takes work of callers that it hasn't failed.
    pub fn closed(&self, now: Millis) -> bool {
        now >= self.until
    }

    /// Records how an attempt went.
    pub fn record(&mut self, health: AttemptOutcome, now: Millis, rng: &mut impl Rng) {
        match health {
            AttemptOutcome::Answered => *self = Self::default(),
            AttemptOutcome::Unreachable => self.unreachable += 1,
            AttemptOutcome::Failed(caller) => self.blame(caller),
        }
        if self.trips() && self.closed(now) {
            self.open(now, rng);
        }
    }

    fn trips(&self) -> bool {
        let failures: u32 = self.blamed.iter().map(|(_, count)| count).sum();
        let shared = self.blamed.len() > 1 && failures >= Self::FAILURES;
        shared || self.unreachable >= Self::FAILURES
    }

    fn open(&mut self, now: Millis, rng: &mut impl Rng) {
        let span = Self::SHORTEST.0 << self.openings.min(Self::DOUBLINGS);
        self.until = now + Millis(span + rng.random_range(0..=span / 2));
        self.openings += 1;
    }

    fn blames(&self, caller: u64) -> bool {
        self.blamed
            .iter()
            .any(|&(blamed, count)| blamed == caller && count >= Self::OWN_FAILURES)
    }

    fn blame(&mut self, caller: u64) {
        if let Some(entry) = self.blamed.iter_mut().find(|entry| entry.0 == caller) {
            entry.1 += 1;
        } else if self.blamed.len() < Self::CALLERS {
            self.blamed.push((caller, 1));
        }
    }
}
