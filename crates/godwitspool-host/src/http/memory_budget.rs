use std::{
    fmt,
    sync::{Arc, OnceLock, PoisonError, Weak},
    time::Duration,
};

use godwitspool_sync::{Condvar, Mutex, MutexGuard};

use super::{LARGE_BYTES, Ledger};
use crate::memory;

/// Part of the budget that batches may take. The rest is for callers: whatever runs, a submission can be read
/// and refused, and results can be read from the store.
const BATCH_DIVISOR: usize = 2;
/// Part of the batches' share that large ones leave to others, so that ordinary batches run beside them.
const ORDINARY_BATCH_DIVISOR: usize = 8;

/// The memory of a process for requests, responses and batches. It is taken before it is used.
pub struct MemoryBudget {
    accounts: Mutex<Accounts>,
    /// Notified when memory is given back.
    freed: Condvar,
    reclaim: OnceLock<Weak<dyn Reclaim>>,
}

#[derive(Debug)]
struct Accounts {
    ledger: Ledger,
    /// Bytes that batches have taken, and the most that they may take.
    batches: usize,
    batch_share: usize,
}

impl Accounts {
    /// Takes bytes for a holder that then has `held` of them. Returns false and takes none if there are none.
    fn take(&mut self, bytes: usize, held: usize, for_batch: bool) -> bool {
        if for_batch {
            let reserved = if held > LARGE_BYTES {
                self.batch_share / ORDINARY_BATCH_DIVISOR
            } else {
                0
            };
            if self.batches.saturating_add(bytes) > self.batch_share - reserved {
                return false;
            }
        }
        let taken = self.ledger.take(bytes, held);
        if taken && for_batch {
            self.batches += bytes;
        }
        taken
    }
}

/// A holder of memory that can do without some of it.
pub trait Reclaim: Send + Sync {
    /// Gives memory back, at least `bytes` if there is as much. Returns whether any was given back.
    fn reclaim(&self, bytes: usize) -> bool;
}

impl MemoryBudget {
    /// Creates a budget of which nothing is taken.
    pub fn new(total: usize) -> Self {
        Self {
            accounts: Mutex::new(Accounts {
                ledger: Ledger::new(total),
                batches: 0,
                batch_share: total / BATCH_DIVISOR,
            }),
            freed: Condvar::new(),
            reclaim: OnceLock::new(),
        }
    }

    /// Sets who is asked for memory when there is none. Later calls have no effect.
    pub fn set_reclaim(&self, reclaim: Weak<dyn Reclaim>) {
        if self.reclaim.set(reclaim).is_err() {
            log::error!("the budget has a holder to reclaim memory from already");
        }
    }

    /// Takes memory for a batch, with all others at most half of the budget; `None` if there is none.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use godwitspool_host::http::MemoryBudget;
    ///
    /// let budget = Arc::new(MemoryBudget::new(64 << 20));
    /// let first = MemoryBudget::reserve_batch(&budget, 24 << 20);
    /// assert!(first.is_some());
    /// assert!(MemoryBudget::reserve_batch(&budget, 24 << 20).is_none(), "the rest is for callers");
    /// assert!(MemoryBudget::reserve(&budget, 24 << 20).is_some());
    /// drop(first);
    /// assert!(MemoryBudget::reserve_batch(&budget, 24 << 20).is_some());
    /// ```
    pub fn reserve_batch(this: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = Self::start(this, true);
        reservation.grow_or_reclaim(bytes).then_some(reservation)
    }

    /// Takes memory for a request, a run or its output; `None` if there is none.
    pub fn reserve(this: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = Self::start(this, false);
        reservation.grow(bytes).then_some(reservation)
    }

    /// Returns whether [`reserve_batch`](Self::reserve_batch) would succeed now.
    pub fn has_room(this: &Arc<Self>, bytes: usize) -> bool {
        Self::reserve_batch(this, bytes).is_some()
    }

    fn start(this: &Arc<Self>, for_batch: bool) -> Reservation {
        Reservation {
            budget: Some(Arc::clone(this)),
            bytes: 0,
            for_batch,
        }
    }

    fn accounts(&self) -> MutexGuard<'_, Accounts> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes memory as [`Ledger::take`] does. If there is none, others are asked to do without theirs first.
    pub(super) fn take(&self, bytes: usize, held: usize) -> bool {
        let take = || self.accounts().take(bytes, held, false);
        take() || (self.reclaim(bytes) && take())
    }

    /// Nothing of the budget is locked meanwhile.
    fn reclaim(&self, bytes: usize) -> bool {
        let holder = self.reclaim.get().and_then(Weak::upgrade);
        holder.is_some_and(|holder| holder.reclaim(bytes))
    }

    pub(super) fn give(&self, bytes: usize) {
        self.give_back(bytes, 0);
    }

    fn give_back(&self, bytes: usize, of_batches: usize) {
        if bytes == 0 {
            return;
        }
        let mut accounts = self.accounts();
        accounts.batches = accounts.batches.saturating_sub(of_batches);
        let gone = accounts.ledger.give(bytes);
        drop(accounts);
        self.freed.notify_all();
        if gone {
            memory::trim();
        }
    }

    /// Waits until [`take`](Self::take) would succeed, but not beyond the timeout.
    pub(super) fn await_room(&self, bytes: usize, held: usize, timeout: Duration) {
        let full = |accounts: &mut Accounts| !accounts.ledger.fits(bytes, held);
        let waited = self
            .freed
            .wait_timeout_while(self.accounts(), timeout, full);
        drop(waited);
    }
}

impl fmt::Debug for MemoryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryBudget")
            .field("accounts", &self.accounts)
            .finish_non_exhaustive()
    }
}

/// Memory taken from a budget, which gets it back when this is dropped. The default takes none of any.
#[derive(Debug, Default)]
pub struct Reservation {
    budget: Option<Arc<MemoryBudget>>,
    bytes: usize,
    for_batch: bool,
}

impl Reservation {
    /// Takes no memory, of no budget.
    pub const NONE: Self = Self {
        budget: None,
        bytes: 0,
        for_batch: false,
    };

    /// Takes memory of this budget from now on, if it was of none.
    pub fn attach(&mut self, budget: &Arc<MemoryBudget>) {
        self.budget.get_or_insert_with(|| Arc::clone(budget));
    }

    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes more memory. Returns false and takes none if there is none.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let held = self.bytes.saturating_add(bytes);
        let budget = self.budget.as_ref();
        let taken = budget.is_none_or(|budget| {
            let mut accounts = budget.accounts();
            accounts.take(bytes, held, self.for_batch)
        });
        if taken {
            self.bytes = held;
        }
        taken
    }

    /// As [`grow`](Self::grow), but others are asked to do without their memory first. No lock of theirs may be
    /// held.
    pub fn grow_or_reclaim(&mut self, bytes: usize) -> bool {
        let reclaim = |this: &Self| {
            let budget = this.budget.as_ref();
            budget.is_some_and(|budget| budget.reclaim(bytes))
        };
        self.grow(bytes) || (reclaim(self) && self.grow(bytes))
    }

    /// Takes or gives back memory so that there are `bytes`. Returns false and changes nothing if there is none.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes >= self.bytes {
            return self.grow(bytes - self.bytes);
        }
        self.release(self.bytes - bytes);
        true
    }

    fn release(&mut self, bytes: usize) {
        self.bytes -= bytes;
        if let Some(budget) = &self.budget {
            budget.give_back(bytes, if self.for_batch { bytes } else { 0 });
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}
