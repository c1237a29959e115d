use std::{
    sync::PoisonError,
    time::{Duration, Instant},
};

use godwitspool_process::{CounterByReason, Metrics};
use godwitspool_sync::{Condvar, Mutex, MutexGuard};

use super::store_reads::{ReadChange, ReadStart, StartedRead, StoreReads};
use crate::lease_clock;

/// Maximum time that a caller's read waits for a place.
const MAX_PLACE_WAIT: Duration = Duration::from_millis(300);
/// Retry delay sent to a caller whose read got no place.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(500);

/// Admits a host's reads of the store on behalf of callers, as [`StoreReads`] decides. The reads with which
/// owners load their partitions aren't counted.
#[derive(Debug)]
pub struct CallerReads {
    state: Mutex<StoreReads>,
    /// Notified when a read has ended.
    ended: Condvar,
    outcomes: CounterByReason,
}

/// Place of a read, given back when it is dropped. A read that ends without an outcome has failed.
#[derive(Debug)]
pub struct ReadPlace<'a> {
    reads: &'a CallerReads,
    read: StartedRead,
    answered: bool,
}

impl CallerReads {
    /// Registers the metric, and creates the state of a host without reads. `seed` is a number that
    /// distinguishes hosts.
    pub fn new(seed: u32, metrics: &Metrics) -> Self {
        Self {
            state: Mutex::new(StoreReads::new(seed.into())),
            ended: Condvar::new(),
            outcomes: metrics.counter_by_reason(
                "store_reads",
                "Reads of the store on behalf of callers by outcome",
            ),
        }
    }

    /// Waits for a place, at most until `due`.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may try again if there is no place.
    pub fn enter(&self, due: Instant) -> Result<ReadPlace<'_>, Duration> {
        let due = due.min(Instant::now() + MAX_PLACE_WAIT);
        let mut state = self.lock();
        let retry_after = loop {
            match state.start(lease_clock()) {
                ReadStart::Begun(read) => {
                    return Ok(ReadPlace {
                        reads: self,
                        read,
                        answered: false,
                    });
                }
                ReadStart::Paused { left } => break left.duration(),
                ReadStart::Full => {
                    let left = due.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break RETRY_AFTER_FULL;
                    }
                    let woken = self.ended.wait_timeout(state, left);
                    state = woken.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
        };
        drop(state);
        self.outcomes.count("refused");
        Err(retry_after)
    }

    fn lock(&self) -> MutexGuard<'_, StoreReads> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ReadPlace<'_> {
    /// Records that the store has answered.
    pub fn succeed(&mut self) {
        self.answered = true;
    }
}

impl Drop for ReadPlace<'_> {
    fn drop(&mut self) {
        let mut state = self.reads.lock();
        let change = state.finish(self.read, self.answered, lease_clock());
        drop(state);
        // Those that wait are refused if a pause has begun.
        self.reads.ended.notify_all();
        self.reads
            .outcomes
            .count(if self.answered { "answered" } else { "failed" });
        match change {
            ReadChange::Paused { failures: 1, pause } => {
                log::warn!(pause_ms = pause.0; "callers' reads of the store are refused: one has failed");
            }
            ReadChange::Resumed { failures } => {
                log::info!(failures; "callers' reads of the store are answered again");
            }
            ReadChange::Paused { .. } | ReadChange::None => {}
        }
    }
}
