use std::sync::atomic::{AtomicU64, Ordering};

use godwitspool_types::Millis;

/// Longest time that one observation may add. An observer that was itself paused, with its whole
/// process, can't tell whether the worker stood still meanwhile.
const MAX_OBSERVED: Millis = Millis(1_000);
/// Value of [`Activity::step`] while the worker waits.
const WAITING: u64 = 0;

/// What a worker thread does, as other threads see it.
///
/// The worker calls [`Self::proceed`] at each step of its work, and [`Self::wait`] around waits
/// that end by themselves: for an event, or a call with a timeout.
#[derive(Debug, Default)]
pub struct Activity {
    /// Number of steps so far.
    count: AtomicU64,
    /// Number of the current step, or [`WAITING`].
    step: AtomicU64,
}

impl Activity {
    /// Records that the worker has begun a step.
    pub fn proceed(&self) {
        let step = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        self.step.store(step, Ordering::Relaxed);
    }

    /// Runs `wait`, during which the worker doesn't count as standing still.
    pub fn wait<T>(&self, wait: impl FnOnce() -> T) -> T {
        self.step.store(WAITING, Ordering::Relaxed);
        let value = wait();
        self.proceed();
        value
    }

    /// Returns the number of the current step; `None` while the worker waits.
    pub fn step(&self) -> Option<u64> {
        let step = self.step.load(Ordering::Relaxed);
        (step != WAITING).then_some(step)
    }
}

/// Measures how long a worker has stood still, from observations of its steps.
///
/// Load pattern: a thread blocks for good, on a lock or in a loop, while the thread that renews
/// the membership goes on. The host then holds duties and partitions that nobody works on.
///
/// ```
/// use godwitspool_host::process::StallDetector;
/// use godwitspool_types::Millis;
///
/// let mut detector = StallDetector::default();
/// assert_eq!(detector.observe(Some(1), Millis(0)), Millis(0));
/// assert_eq!(detector.observe(Some(1), Millis(700)), Millis(700));
/// assert_eq!(detector.observe(Some(1), Millis(1_400)), Millis(1_400));
/// // The whole process was frozen for a minute.
/// assert_eq!(detector.observe(Some(1), Millis(61_400)), Millis(2_400));
/// assert_eq!(detector.observe(Some(2), Millis(62_000)), Millis(0));
/// assert_eq!(detector.observe(None, Millis(70_000)), Millis(0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    at: Millis,
    step: Option<u64>,
    stalled: Millis,
}

impl StallDetector {
    /// Adds an observation and returns for how long the worker has been in the same step.
    pub fn observe(&mut self, step: Option<u64>, now: Millis) -> Millis {
        let elapsed = (now - self.at).min(MAX_OBSERVED);
        self.stalled = if step.is_some() && step == self.step {
            self.stalled + elapsed
        } else {
            Millis::ZERO
        };
        self.at = now;
        self.step = step;
        self.stalled
    }

    /// Returns whether the worker had stood still for this long at the last observation.
    pub fn is_stalled(&self, limit: Millis) -> bool {
        self.stalled >= limit
    }
}
