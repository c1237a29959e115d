use std::sync::atomic::{AtomicU64, Ordering};

use super::epoch::generation_of;

/// The generations of the hosts' group through which an owner has held its partition.
///
/// Load pattern: a host is suspended for longer than its membership lasts. Another one takes its
/// partitions over, appends results, and leaves. The store assigns the partitions to the first host
/// again, whose owners have never been told that they lost them, and which would answer from what they
/// read before. A new generation alone doesn't tell this case from one in which members came and went
/// elsewhere; the store does, which refuses an append under the epoch of an earlier owner.
///
/// ```
/// use godwitspool_host::batch::{Tenure, next_epoch};
///
/// let tenure = Tenure::new(next_epoch(3, None, 9).unwrap());
/// assert!(!tenure.assign(3));
/// assert!(!tenure.is_doubtful());
///
/// assert!(tenure.assign(5));
/// assert!(tenure.is_doubtful());
/// tenure.confirm(5);
/// assert!(!tenure.is_doubtful());
/// ```
#[derive(Debug)]
pub struct Tenure {
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Newest generation in which the store has assigned the partition to this host.
    assigned: AtomicU64,
    /// Newest generation in which nobody else had taken the partition over before.
    confirmed: AtomicU64,
}

impl Tenure {
    /// Begins with the generation in which the partition was assigned, which the epoch contains.
    pub fn new(epoch: u64) -> Self {
        let generation = generation_of(epoch);
        Self {
            epoch,
            assigned: AtomicU64::new(generation),
            confirmed: AtomicU64::new(generation),
        }
    }

    /// Records that the store assigns the partition in a generation. Returns whether the generation is
    /// new, so that another host may have owned the partition in between.
    pub fn assign(&self, generation: u64) -> bool {
        self.assigned.fetch_max(generation, Ordering::SeqCst) < generation
    }

    /// Returns the newest generation in which the partition was assigned.
    pub fn assigned(&self) -> u64 {
        self.assigned.load(Ordering::SeqCst)
    }

    /// Records that the store has accepted an append under the epoch. `generation` is the one that was
    /// [assigned](Self::assigned) when the append began.
    pub fn confirm(&self, generation: u64) {
        self.confirmed.fetch_max(generation, Ordering::SeqCst);
    }

    /// Returns whether another host may have owned the partition meanwhile.
    pub fn is_doubtful(&self) -> bool {
        self.confirmed.load(Ordering::SeqCst) < self.assigned()
    }
}
