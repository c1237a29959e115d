use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, PoisonError, mpsc::Sender},
    time::{Duration, Instant},
};

use godwitspool_sync::{Condvar, Mutex, MutexGuard};
use godwitspool_types::{Millis, Workspace};

use super::{
    Applied, Batch, BatchChange, BatchLife, BatchRecord, Expired, Finished, ItemResult,
    OwnershipLease, ParkedBatch, PartitionBatches, PartitionCopy, ResultList, ResultPage,
    Submission, Tenure, partition_of,
};
use crate::{
    StoreBounds,
    http::{LARGE_BYTES, MemoryBudget, Reclaim, Waker},
    lease_clock,
    process::unix_ms,
    store::Record,
    version::{Basis, Freshness},
};

/// Maximum size of a page of results. The platform's interface allows responses of up to a
/// megabyte.
pub(super) const MAX_PAGE_BYTES: usize = 900 * 1024;
/// Time for which a read waits until the store has confirmed a doubtful ownership: a few calls. After that the
/// results are read from the store.
const MAX_CONFIRM_WAIT: Duration = Duration::from_millis(200);

/// Time for which a read of a copy waits until the store has been asked for later results. Hosts wait a little longer
/// for each other.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(500);

/// The batches of the partitions that this host owns, shared by the threads of the process.
#[derive(Debug)]
pub struct BatchRegistry {
    parts: Mutex<BTreeMap<u32, OwnedPartition>>,
    changed: Condvar,
    part_count: u32,
    /// Copies of partitions that nobody is known to own.
    copies: Mutex<BTreeMap<u32, Arc<PartitionCopy>>>,
    /// How long the host may answer by what it owns.
    lease: Mutex<OwnershipLease>,
    /// Highest epoch that another host has reported for each partition.
    epochs: Mutex<BTreeMap<u32, u64>>,
    /// Maximum age of what is known of a partition at which its items start; `None` is no limit.
    max_age: Option<Millis>,
    /// Memory that the batches take.
    pub memory: Arc<MemoryBudget>,
    /// Wakes the runner when items may have to be started or stopped.
    pub waker: Waker,
}

/// A partition that this host owns.
#[derive(Debug)]
pub struct OwnedPartition {
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Batches of the partition.
    pub batches: PartitionBatches,
    /// Age of what is known of the batches, which callers may have ended since.
    pub freshness: Freshness,
    tenure: Arc<Tenure>,
    writer: Sender<Finished>,
}

impl OwnedPartition {
    /// Sends the result of an item to the thread that appends the partition's results.
    pub fn send_result(&self, finished: Finished) {
        if self.writer.send(finished).is_err() {
            // The partition is being closed, and its next owner will run the item again.
            log::info!(epoch = self.epoch; "result dropped: the partition is being closed");
        }
    }
}

impl OwnedPartition {
    /// Returns records of the partial output of unfinished items that have generated at least
    /// `events` events since they were saved, and marks this output as saved.
    fn unsaved(&mut self, events: u64, bounds: &StoreBounds) -> Vec<Record> {
        let mut records = Vec::new();
        for batch in self
            .batches
            .loaded
            .values_mut()
            .filter(|batch| batch.is_open())
        {
            let submission = Arc::clone(&batch.submission);
            let id = submission.key();
            for (index, item) in batch.items.iter_mut().enumerate() {
                if item.has_unsaved(events) {
                    let record = BatchRecord::of_progress(id, index as u32, &item.progress, bounds);
                    // Marked before the append, since the record may reach the store even if the
                    // call fails.
                    item.saved_event = item.progress.last_event;
                    item.saved_complete = item.progress.complete;
                    records.extend(record);
                }
            }
        }
        records
    }

    /// Returns tombstones for the saved partial output of closed batches.
    fn tombstones(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        for batch in self
            .batches
            .loaded
            .values_mut()
            .filter(|batch| !batch.is_open())
        {
            let submission = Arc::clone(&batch.submission);
            let id = submission.key();
            for (index, item) in batch.items.iter_mut().enumerate() {
                if item.forget_saved() {
                    let key = BatchRecord::progress_key(id, index as u32);
                    records.push(Record::tombstone(key));
                }
            }
        }
        records
    }
}

/// The outcome of looking up a batch at this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lookup<T> {
    /// The batch is known here.
    Found(T),
    /// This host owns the partition, and the workspace has no such batch.
    Missing,
    /// This host owns the partition, but what is asked for is in the store only.
    Stored,
    /// There is no memory for what is asked for.
    NoMemory,
    /// This host doesn't own the partition, or another host may have owned it since the batches were read.
    NotOwned,
}

impl BatchRegistry {
    /// Creates an empty registry for topics with `parts` partitions.
    ///
    /// # Errors
    ///
    /// Fails if no pipe for the waker can be opened.
    pub fn new(parts: u32) -> io::Result<Self> {
        Ok(Self {
            parts: Mutex::new(BTreeMap::new()),
            changed: Condvar::new(),
            part_count: parts,
            copies: Mutex::default(),
            lease: Mutex::default(),
            epochs: Mutex::default(),
            max_age: None,
            memory: Arc::new(MemoryBudget::new(usize::MAX)),
            waker: Waker::new()?,
        })
    }

    /// Returns the registry with a maximum age of what is known of a partition when its items start.
    #[must_use]
    pub fn with_max_age(mut self, age: Millis) -> Self {
        self.max_age = Some(age);
        self
    }

    /// Returns the registry with batches that take their memory from a budget.
    #[must_use]
    pub fn with_memory(mut self, memory: Arc<MemoryBudget>) -> Self {
        self.memory = memory;
        self
    }

    /// Locks the owned partitions.
    pub fn lock(&self) -> MutexGuard<'_, BTreeMap<u32, OwnedPartition>> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the lease by which reads are answered.
    pub fn lease(&self) -> MutexGuard<'_, OwnershipLease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether another host may own a partition, or have owned it since its batches were read.
    fn is_doubtful(&self, part: &OwnedPartition) -> bool {
        part.tenure.is_doubtful() || !self.lease().is_valid(lease_clock())
    }

    /// Adds a partition that this host owns from now on, with its batches. Does nothing if the host owns
    /// the partition under a higher epoch: an earlier owner was slow, and its successor is here.
    pub fn open(
        &self,
        part: u32,
        tenure: Arc<Tenure>,
        batches: impl Into<PartitionBatches>,
        writer: Sender<Finished>,
    ) {
        let mut batches = batches.into();
        let epoch = tenure.epoch;
        let read_ms = unix_ms();
        for batch in batches.loaded.values_mut() {
            batch.read_ms = read_ms;
        }
        let opened = OwnedPartition {
            epoch,
            batches,
            freshness: self.max_age.map(Freshness::new).unwrap_or_default(),
            tenure,
            writer,
        };
        let mut parts = self.lock();
        if parts.get(&part).is_some_and(|known| known.epoch > epoch) {
            return;
        }
        parts.insert(part, opened);
        drop(parts);
        self.notify();
    }

    /// Records that the batches of a partition are as of a time by the lease clock.
    pub fn confirm(&self, part: u32, epoch: u64, read_at: Millis) {
        let mut parts = self.lock();
        let Some(part) = parts.get_mut(&part).filter(|part| part.epoch == epoch) else {
            return;
        };
        let stale = part.freshness.basis() == Basis::Stale;
        part.freshness.confirm(read_at);
        drop(parts);
        if stale {
            self.notify();
        }
    }

    /// Removes a partition if it is still owned under `epoch`.
    pub fn close(&self, part: u32, epoch: u64) {
        let mut parts = self.lock();
        if parts.get(&part).is_some_and(|part| part.epoch == epoch) {
            parts.remove(&part);
        }
        drop(parts);
        self.notify();
    }

    /// Returns the owned partitions with their epochs.
    pub fn owned(&self) -> Vec<(u32, u64)> {
        let parts = self.lock();
        parts
            .iter()
            .map(|(part, owned)| (*part, owned.epoch))
            .collect()
    }

    /// Records that another host owns a partition under `epoch`. If this host owns it under a lower
    /// epoch, the partition is removed immediately and its runs stop: the other host continues the
    /// items.
    pub fn observe_epoch(&self, part: u32, epoch: u64) {
        let mut epochs = self.epochs.lock().unwrap_or_else(PoisonError::into_inner);
        let known = epochs.entry(part).or_default();
        *known = epoch.max(*known);
        drop(epochs);
        let mut parts = self.lock();
        if parts.get(&part).is_some_and(|part| part.epoch < epoch) {
            log::warn!(partition = part, epoch; "another host owns the partition");
            parts.remove(&part);
            drop(parts);
            self.notify();
        }
    }

    /// Returns whether another host is known to own a partition under an epoch higher than `epoch`.
    pub fn is_superseded(&self, part: u32, epoch: u64) -> bool {
        let epochs = self.epochs.lock().unwrap_or_else(PoisonError::into_inner);
        epochs.get(&part).is_some_and(|known| *known > epoch)
    }

    /// Removes a partition if it is still owned under `epoch`, and returns records of its unsaved
    /// partial output. Results that are queued for the store are still written.
    pub fn take_unsaved(&self, part: u32, epoch: u64, bounds: &StoreBounds) -> Vec<Record> {
        let mut parts = self.lock();
        let owned = parts.get(&part).is_some_and(|part| part.epoch == epoch);
        let taken = owned.then(|| parts.remove(&part)).flatten();
        drop(parts);
        self.notify();
        taken.map_or_else(Vec::new, |mut part| part.unsaved(1, bounds))
    }

    /// Returns records for each partition: the partial output of unfinished items that have
    /// generated at least `events` events since they were saved, and tombstones for that of closed
    /// batches.
    pub fn unsaved(&self, events: u64, bounds: &StoreBounds) -> Vec<(u32, Vec<Record>)> {
        let mut parts = self.lock();
        let unsaved = parts.iter_mut().map(|(number, part)| {
            let mut records = part.unsaved(events, bounds);
            records.extend(part.tombstones());
            (*number, records)
        });
        unsaved.filter(|(_, records)| !records.is_empty()).collect()
    }

    /// Applies what records of a partition change. Does nothing if the partition isn't owned.
    pub fn apply(&self, part: u32, change: BatchChange) -> Applied {
        let mut parts = self.lock();
        let Some(part) = parts.get_mut(&part) else {
            return Applied::Nothing;
        };
        let applied = part.batches.apply(change);
        drop(parts);
        if matches!(applied, Applied::Accepted | Applied::Ended) {
            self.notify();
        }
        applied
    }

    /// Replaces a parked batch by the batch, which has been loaded. Returns whether it was parked, and the
    /// partition is owned under `epoch`.
    pub fn unpark(&self, part: u32, epoch: u64, batch: Batch) -> bool {
        let mut parts = self.lock();
        let part = parts.get_mut(&part).filter(|part| part.epoch == epoch);
        let unparked = part.is_some_and(|part| part.batches.unpark(batch));
        drop(parts);
        if unparked {
            self.notify();
        }
        unparked
    }

    /// Returns the parked batches of a partition whose items have to run, those first that were submitted first.
    pub fn parked(&self, part: u32) -> Vec<ParkedBatch> {
        let parts = self.lock();
        let parked = parts.get(&part).into_iter();
        let parked = parked.flat_map(|part| part.batches.parked.values());
        let open = parked.filter(|parked| !parked.life.is_closed());
        let mut open: Vec<ParkedBatch> = open.cloned().collect();
        drop(parts);
        open.sort_by_key(|parked| parked.head.received_ms);
        open
    }

    /// Returns whether a batch is known here.
    pub fn knows(&self, part: u32, key: &str) -> bool {
        let parts = self.lock();
        parts.get(&part).is_some_and(|part| part.batches.knows(key))
    }

    /// Returns whether there is memory for another batch of `bytes` in a partition.
    pub fn has_room(&self, part: u32, bytes: usize) -> bool {
        // Parked batches go before other large ones.
        let waits = || bytes > LARGE_BYTES && !self.parked(part).is_empty();
        !waits() && MemoryBudget::has_room(&self.memory, bytes)
    }

    /// Returns what of a partition has expired, `ttl` after it was submitted or ended.
    pub fn expired(&self, part: u32, now_ms: u64, ttl: Duration) -> Expired {
        let parts = self.lock();
        let part = parts.get(&part);
        part.map_or_else(Expired::default, |part| part.batches.expired(now_ms, ttl))
    }

    /// Makes results readable that the store has confirmed.
    pub fn publish_results(&self, part: u32, epoch: u64, published: Vec<Finished>) {
        let mut parts = self.lock();
        let Some(part) = parts.get_mut(&part).filter(|part| part.epoch == epoch) else {
            return;
        };
        for Finished { batch, result, .. } in published {
            let Some(batch) = part.batches.loaded.get_mut(&batch) else {
                continue;
            };
            if batch.memory.grow(ResultList::memory_of(&result)) {
                batch.results.push(Arc::new(result));
            } else {
                batch.results.push_stored();
            }
        }
        drop(parts);
        self.notify();
    }

    /// Returns a page of results starting at a position. Waits up to `wait` for the first one if
    /// there is none yet and the batch is open.
    pub fn read(
        &self,
        id: &str,
        workspace: Option<&Workspace>,
        after: u64,
        wait: Duration,
    ) -> Lookup<ResultPage> {
        let due = Instant::now() + wait;
        let confirmed_by = Instant::now() + MAX_CONFIRM_WAIT;
        let mut parts = self.lock();
        loop {
            let Some(part) = parts.get_mut(&partition_of(id, self.part_count)) else {
                drop(parts);
                return self.read_copy(id, workspace, after);
            };
            if self.is_doubtful(part) {
                let left = confirmed_by.saturating_duration_since(Instant::now());
                if left.is_zero() || self.copy(id).is_some() {
                    drop(parts);
                    return self.read_copy(id, workspace, after);
                }
                let waited = self.changed.wait_timeout(parts, left);
                parts = waited.unwrap_or_else(PoisonError::into_inner).0;
                continue;
            }
            if let Some(parked) = part.batches.parked.get_mut(id) {
                parked.life.read_ms = unix_ms();
                return Lookup::Stored;
            }
            if part.batches.find(id, workspace).is_none() {
                return Lookup::Missing;
            }
            let Some(batch) = part.batches.loaded.get_mut(id) else {
                return Lookup::Missing;
            };
            batch.read_ms = unix_ms();
            let left = due.saturating_duration_since(Instant::now());
            let ready = batch.results.len() as u64 > after;
            if ready || left.is_zero() || !batch.is_open() {
                let page = page(
                    &batch.submission,
                    batch.results.kept_from(after as usize),
                    after,
                );
                if ready && page.results.is_empty() {
                    return Lookup::Stored;
                }
                return Lookup::Found(page);
            }
            let waited = self.changed.wait_timeout(parts, left);
            parts = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Returns the request body of an item.
    pub fn body(&self, id: &str, workspace: Option<&Workspace>, item: &str) -> Lookup<Vec<u8>> {
        if let Some(copy) = self.copy(id) {
            return match copy.body(id, workspace, item) {
                Lookup::Found(body)
                    if MemoryBudget::reserve(&self.memory, body.len()).is_none() =>
                {
                    Lookup::NoMemory
                }
                found => found,
            };
        }
        let parts = self.lock();
        let part = parts.get(&partition_of(id, self.part_count));
        let Some(part) = part.filter(|part| !self.is_doubtful(part)) else {
            return Lookup::NotOwned;
        };
        if part.batches.parked.contains_key(id) {
            return Lookup::Stored;
        }
        let Some(batch) = part.batches.find(id, workspace) else {
            return Lookup::Missing;
        };
        let mut items = batch.submission.items.iter();
        match items.find(|spec| spec.id == item) {
            Some(spec) => match MemoryBudget::reserve(&self.memory, spec.body.len()) {
                Some(_memory) => Lookup::Found(spec.body.to_owned()),
                None => Lookup::NoMemory,
            },
            None => Lookup::Missing,
        }
    }

    /// Adds a copy of a partition, by which reads are answered while nobody is known to own it.
    pub fn open_copy(&self, part: u32, copy: Arc<PartitionCopy>) {
        self.lock_copies().insert(part, copy);
    }

    /// Removes a copy of a partition.
    pub fn close_copy(&self, part: u32, copy: &Arc<PartitionCopy>) {
        let mut copies = self.lock_copies();
        if copies
            .get(&part)
            .is_some_and(|known| Arc::ptr_eq(known, copy))
        {
            copies.remove(&part);
        }
        drop(copies);
        copy.close();
    }

    /// Returns the partitions that this host owns or has a copy of, and whether it is only a copy.
    pub fn served(&self) -> Vec<(u32, bool)> {
        let owned: Vec<u32> = self.lock().keys().copied().collect();
        let copies = self.lock_copies();
        let only_copied = copies.keys().filter(|part| !owned.contains(part));
        let only_copied: Vec<(u32, bool)> = only_copied.map(|part| (*part, true)).collect();
        drop(copies);
        let owned = owned.into_iter().map(|part| (part, false));
        owned.chain(only_copied).collect()
    }

    /// Returns the number of partitions of which this host has a copy.
    pub fn copies(&self) -> usize {
        self.lock_copies().len()
    }

    fn lock_copies(&self) -> MutexGuard<'_, BTreeMap<u32, Arc<PartitionCopy>>> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the copy of a batch's partition.
    fn copy(&self, id: &str) -> Option<Arc<PartitionCopy>> {
        let part = partition_of(id, self.part_count);
        self.lock_copies().get(&part).map(Arc::clone)
    }

    fn read_copy(&self, id: &str, workspace: Option<&Workspace>, after: u64) -> Lookup<ResultPage> {
        let copy = self.copy(id);
        let current = copy.filter(|copy| copy.await_check(lease_clock(), MAX_CHECK_WAIT));
        current.map_or(Lookup::NotOwned, |copy| copy.read(id, workspace, after))
    }

    /// Wakes the reads that wait, and the runner.
    pub(super) fn notify(&self) {
        self.changed.notify_all();
        self.waker.wake();
    }
}

/// Batches that are closed can be read from the store.
impl Reclaim for BatchRegistry {
    fn reclaim(&self, bytes: usize) -> bool {
        let mut parts = self.lock();
        let mut closed: Vec<(BatchLife, u32, String)> = Vec::new();
        for (number, part) in &*parts {
            let batches = part.batches.loaded.iter();
            let large = batches.filter(|(_, batch)| {
                // What the store holds of partial output is removed first.
                let removed = || batch.items.iter().all(|item| item.saved_event.is_none());
                batch.memory.bytes() > LARGE_BYTES && !batch.is_open() && removed()
            });
            closed.extend(large.map(|(key, batch)| (batch.life(), *number, key.clone())));
        }
        closed.sort_by_key(|(life, _, _)| (!life.ended, life.read_ms));
        let mut given = 0;
        for (life, number, key) in closed {
            if given >= bytes {
                break;
            }
            let Some(part) = parts.get_mut(&number) else {
                continue;
            };
            if let Some(batch) = part.batches.loaded.remove(&key) {
                given += batch.memory.bytes();
                let head = batch.submission.without_items();
                log::info!(batch:% = head.id, partition = number, bytes = batch.memory.bytes(); "closed batch is in the store only");
                let wanted = batch.memory.bytes();
                let parked = ParkedBatch {
                    head,
                    life,
                    wanted,
                    chunks: 0,
                };
                part.batches.parked.insert(key, parked);
            }
        }
        given > 0
    }
}

/// Returns a page of the results that are given from a position on. It holds at least one result if there is
/// one.
pub fn page<'a>(
    submission: &Submission,
    results: impl IntoIterator<Item = &'a Arc<ItemResult>>,
    after: u64,
) -> ResultPage {
    let mut used = 0;
    let rows: Vec<(String, Arc<ItemResult>)> = results
        .into_iter()
        .take_while(|result| {
            let first = used == 0;
            used += result.output.len() + 128;
            first || used <= MAX_PAGE_BYTES
        })
        .map(|result| {
            let item = submission.items.view(result.item as usize);
            let id = item.map(|item| item.id.to_owned()).unwrap_or_default();
            (id, Arc::clone(result))
        })
        .collect();
    ResultPage {
        total: submission.items.len(),
        next: after + rows.len() as u64,
        results: rows,
    }
}
