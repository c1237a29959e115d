//! Reads of a partition while the store has no room for the appends by which it is owned.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use super::{STACK_BYTES, Task};
use crate::{
    batch::{Assembly, Backoff, BatchRecord, PartitionCopy},
    lease_clock,
    store::{StoreError, Topic},
};

/// Interval at which earlier owners are tried to be fenced off while the store has no room. Room comes back as
/// records expire, which takes minutes.
const FENCE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time after which it is noticed that a copy isn't needed any more.
const STOP_INTERVAL: Duration = Duration::from_millis(100);

/// Why a copy isn't served any more.
enum CopyEnd {
    /// The partition is owned.
    Owned,
    /// The store has results that the copy lacks.
    Outdated,
}

impl Task {
    /// Fences earlier owners off, and serves copies of the partition for as long as the store has no room for that.
    /// Returns `None` once the partition is lost or closed.
    pub(super) fn take_over(&self) -> Option<()> {
        let mut fence_at = Instant::now() + FENCE_INTERVAL;
        let mut is_fenced = || {
            if Instant::now() < fence_at {
                return Some(false);
            }
            fence_at = Instant::now() + FENCE_INTERVAL;
            match self.try_fence() {
                Ok(()) => Some(true),
                Err(StoreError::Fenced { .. }) => {
                    self.stop("fenced");
                    None
                }
                Err(_) => Some(false),
            }
        };
        // A copy is outdated by an append, so there may be room again.
        while !self.fence()? {
            log::warn!(partition = self.part, epoch = self.epoch; "no room to fence earlier owners off: the partition is read only");
            if matches!(self.serve_copy(&mut is_fenced)?, CopyEnd::Owned) {
                break;
            }
        }
        Some(())
    }

    /// Serves copies of a partition whose owner can't confirm its ownership, until it has. The owner's items run on.
    pub(super) fn serve_copies_while_doubtful(&self) {
        if self.copying.swap(true, Ordering::SeqCst) {
            return;
        }
        let Some(own) = self.own.upgrade() else {
            return;
        };
        let spawned = thread::Builder::new()
            .name("copy".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                log::warn!(partition = own.part, epoch = own.epoch; "no room to confirm the ownership: the partition is read from a copy");
                let mut is_confirmed = || Some(!own.tenure.is_doubtful());
                while is_confirmed() == Some(false)
                    && matches!(own.serve_copy(&mut is_confirmed), Some(CopyEnd::Outdated))
                {}
                own.copying.store(false, Ordering::SeqCst);
            });
        if let Err(error) = spawned {
            log::error!(error:%, partition = self.part; "can't start a thread that serves a copy");
            self.copying.store(false, Ordering::SeqCst);
        }
    }

    /// Reads the partition and serves the copy until `is_owned` holds, or `None` once the partition is lost or closed.
    fn serve_copy(&self, is_owned: &mut dyn FnMut() -> Option<bool>) -> Option<CopyEnd> {
        let began = Instant::now();
        let loaded = self.load(&mut Assembly::default())?;
        log::info!(
            partition = self.part, epoch = self.epoch, batches = loaded.batches.loaded.len(),
            parked = loaded.batches.parked.len(), took_ms = began.elapsed().as_millis() as u64;
            "copy of the partition opened"
        );
        let copy = Arc::new(PartitionCopy::new(loaded.batches));
        self.registry.open_copy(self.part, Arc::clone(&copy));
        let end = self.follow_copy(&copy, loaded.results_end, is_owned);
        self.registry.close_copy(self.part, &copy);
        end
    }

    /// Asks the store for results from an offset on whenever a caller reads the copy.
    fn follow_copy(
        &self,
        copy: &PartitionCopy,
        mut next: u64,
        is_owned: &mut dyn FnMut() -> Option<bool>,
    ) -> Option<CopyEnd> {
        let mut backoff = Backoff::CALL;
        while !self.is_stopped() {
            if is_owned()? {
                return Some(CopyEnd::Owned);
            }
            if !copy.await_read(STOP_INTERVAL) {
                continue;
            }
            let began = lease_clock();
            let read = self
                .store
                .read(Topic::Results, self.part, next, Duration::ZERO);
            match read {
                // A read is limited in size, so only one without records has come to the end.
                Ok(tail) if tail.next == next => {
                    copy.confirm(began);
                    backoff = Backoff::CALL;
                }
                Ok(tail) => {
                    let mut records = tail.records.iter();
                    if records.any(|stored| BatchRecord::is_of_result(&stored.record.key)) {
                        return Some(CopyEnd::Outdated);
                    }
                    next = tail.next;
                }
                Err(StoreError::Gone { .. }) => return Some(CopyEnd::Outdated),
                Err(_) => thread::sleep(backoff.pause()),
            }
        }
        None
    }
}
