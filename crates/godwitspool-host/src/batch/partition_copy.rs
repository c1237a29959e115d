use std::{
    sync::PoisonError,
    time::{Duration, Instant},
};

use godwitspool_sync::{Condvar, Mutex, MutexGuard};
use godwitspool_types::{Millis, Workspace};

use super::{Lookup, PartitionBatches, ResultPage, page};

/// The batches of a partition as one host has read them, without owning the partition.
///
/// Load pattern: the store has no room, so it refuses the append by which a new owner fences earlier ones off, or an
/// owner confirms that it is still the owner. What callers have been shown must stay readable, and each read of each
/// host would fetch pages of the whole partition from the store. So the host that the store assigns the partition
/// to reads it once, and asks the store for later results before it answers. Times are by the lease clock.
///
/// ```
/// use std::time::Duration;
///
/// use godwitspool_host::batch::{PartitionBatches, PartitionCopy};
/// use godwitspool_types::Millis;
///
/// let copy = PartitionCopy::new(PartitionBatches::default());
/// assert!(!copy.await_check(Millis(5), Duration::ZERO), "nobody has asked the store yet");
/// copy.confirm(Millis(5));
/// assert!(!copy.await_check(Millis(5), Duration::ZERO), "the check may have come before the read");
/// copy.confirm(Millis(6));
/// assert!(copy.await_check(Millis(5), Duration::ZERO));
/// assert!(!copy.await_read(Duration::ZERO), "no read waits");
/// ```
#[derive(Debug)]
pub struct PartitionCopy {
    batches: PartitionBatches,
    checks: Mutex<Checks>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Checks {
    /// When the newest read asked.
    asked: Option<Millis>,
    /// Number of reads that wait.
    waiting: usize,
    /// When the newest check began that found no later results.
    confirmed: Option<Millis>,
    closed: bool,
}

impl Checks {
    /// Returns whether a read that asked at a time may be answered.
    fn cover(&self, asked: Millis) -> bool {
        self.confirmed.is_some_and(|confirmed| confirmed > asked)
    }

    fn are_due(&self) -> bool {
        self.waiting > 0 && self.asked.is_some_and(|asked| !self.cover(asked))
    }
}

impl PartitionCopy {
    /// Makes a copy of batches that were read from the store.
    pub fn new(batches: PartitionBatches) -> Self {
        Self {
            batches,
            checks: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Checks> {
        self.checks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a check that began after `asked` finds the copy complete. Returns false after the timeout, and
    /// once the copy is closed.
    pub fn await_check(&self, asked: Millis, timeout: Duration) -> bool {
        let due = Instant::now() + timeout;
        let mut checks = self.lock();
        checks.asked = checks.asked.max(Some(asked));
        checks.waiting += 1;
        self.changed.notify_all();
        while !checks.closed && !checks.cover(asked) {
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(checks, left);
            checks = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        checks.waiting -= 1;
        !checks.closed && checks.cover(asked)
    }

    /// Waits until a read needs a check, or for the timeout. Returns whether one does.
    pub fn await_read(&self, timeout: Duration) -> bool {
        let checks = self.lock();
        let idle = |checks: &mut Checks| !checks.are_due();
        let waited = self.changed.wait_timeout_while(checks, timeout, idle);
        waited.unwrap_or_else(PoisonError::into_inner).0.are_due()
    }

    /// Records that a check which began at `began` found no later results.
    pub fn confirm(&self, began: Millis) {
        let mut checks = self.lock();
        checks.confirmed = checks.confirmed.max(Some(began));
        drop(checks);
        self.changed.notify_all();
    }

    /// Ends the copy. Reads that wait for a check aren't answered by it.
    pub fn close(&self) {
        self.lock().closed = true;
        self.changed.notify_all();
    }

    /// Returns a page of a batch's results from a position on. The caller has waited for a
    /// [check](Self::await_check).
    pub fn read(&self, key: &str, workspace: Option<&Workspace>, after: u64) -> Lookup<ResultPage> {
        if self.batches.parked.contains_key(key) {
            return Lookup::Stored;
        }
        let Some(batch) = self.batches.find(key, workspace) else {
            return Lookup::Missing;
        };
        let page = page(
            &batch.submission,
            batch.results.kept_from(after as usize),
            after,
        );
        if page.results.is_empty() && batch.results.len() as u64 > after {
            return Lookup::Stored;
        }
        Lookup::Found(page)
    }

    /// Returns the request body of an item. Submissions don't change, so no check is needed.
    pub fn body(&self, key: &str, workspace: Option<&Workspace>, item: &str) -> Lookup<Vec<u8>> {
        if self.batches.parked.contains_key(key) {
            return Lookup::Stored;
        }
        let Some(batch) = self.batches.find(key, workspace) else {
            return Lookup::Missing;
        };
        let mut items = batch.submission.items.iter();
        let found = items.find(|spec| spec.id == item);
        found.map_or(Lookup::Missing, |spec| Lookup::Found(spec.body.to_owned()))
    }
}
