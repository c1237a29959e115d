use std::{
    collections::{BTreeMap, btree_map::Entry},
    io,
    sync::{Arc, PoisonError, mpsc::Sender},
    time::{Duration, Instant},
};

use godwitspool_sync::{Condvar, Mutex, MutexGuard};
use godwitspool_types::{Millis, Workspace};

use super::{
    Batch, BatchRecord, Finished, ItemResult, OwnershipLease, ResultPage, StoredBatch, Submission,
    Tenure, batch_id, batch_key, partition_of,
};
use crate::{
    StoreBounds,
    http::Waker,
    lease_clock,
    process::unix_ms,
    store::Record,
    version::{Basis, Freshness},
};

/// Maximum size of a page of results. The platform's interface allows responses of up to a
/// megabyte.
const MAX_PAGE_BYTES: usize = 900 * 1024;
/// Time for which a read waits until the store has confirmed a doubtful ownership: a few calls. After that the
/// results are read from the store.
const MAX_CONFIRM_WAIT: Duration = Duration::from_millis(200);

/// The batches of the partitions that this host owns, shared by the threads of the process.
#[derive(Debug)]
pub struct BatchRegistry {
    parts: Mutex<BTreeMap<u32, OwnedPartition>>,
    changed: Condvar,
    part_count: u32,
    /// How long the host may answer by what it owns.
    lease: Mutex<OwnershipLease>,
    /// Highest epoch that another host has reported for each partition.
    epochs: Mutex<BTreeMap<u32, u64>>,
    /// Maximum age of what is known of a partition at which its items start; `None` is no limit.
    max_age: Option<Millis>,
    /// Wakes the runner when items may have to be started or stopped.
    pub waker: Waker,
}

/// A partition that this host owns.
#[derive(Debug)]
pub struct OwnedPartition {
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Batches of the partition by key.
    pub batches: BTreeMap<String, Batch>,
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
        for batch in self.batches.values_mut().filter(|batch| batch.is_open()) {
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
        for batch in self.batches.values_mut().filter(|batch| !batch.is_open()) {
            let submission = Arc::clone(&batch.submission);
            let id = submission.key();
            for (index, item) in batch.items.iter_mut().enumerate() {
                if item.saved_event.take().is_some() {
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
            lease: Mutex::default(),
            epochs: Mutex::default(),
            max_age: None,
            waker: Waker::new()?,
        })
    }

    /// Returns the registry with a maximum age of what is known of a partition when its items start.
    #[must_use]
    pub fn with_max_age(mut self, age: Millis) -> Self {
        self.max_age = Some(age);
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
        batches: Vec<Batch>,
        writer: Sender<Finished>,
    ) {
        let epoch = tenure.epoch;
        let batches = batches.into_iter();
        let read_ms = unix_ms();
        let batches = batches
            .map(|mut batch| {
                batch.read_ms = read_ms;
                (batch.submission.key().to_owned(), batch)
            })
            .collect();
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

    /// Adds an accepted batch. Returns whether the batch is new and its partition is owned.
    pub fn accept(&self, part: u32, submission: Arc<Submission>) -> bool {
        let mut parts = self.lock();
        let Some(part) = parts.get_mut(&part) else {
            return false;
        };
        let Entry::Vacant(entry) = part.batches.entry(submission.key().to_owned()) else {
            return false;
        };
        entry.insert(Batch::new(submission, Vec::new()));
        drop(parts);
        self.notify();
        true
    }

    /// Ends a batch: no further item starts, and running items are stopped. Returns whether the
    /// batch was known and not ended before.
    pub fn end(&self, part: u32, batch: &str) -> bool {
        let mut parts = self.lock();
        let found = parts
            .get_mut(&part)
            .and_then(|part| find_ended(&mut part.batches, batch));
        let Some(batch) = found else {
            return false;
        };
        let first = !std::mem::replace(&mut batch.ended, true);
        drop(parts);
        self.notify();
        first
    }

    /// Removes a batch whose records have been deleted from the store.
    pub fn delete_batch(&self, part: u32, batch: &str) {
        if let Some(part) = self.lock().get_mut(&part) {
            part.batches.remove(batch);
        }
    }

    /// Returns the expired batches of a partition with their results.
    pub fn expired(&self, part: u32, now_ms: u64, ttl: Duration) -> Vec<StoredBatch> {
        let parts = self.lock();
        let batches = parts
            .get(&part)
            .into_iter()
            .flat_map(|part| part.batches.values());
        let expired_batches = batches.filter(|batch| batch.is_expired(now_ms, ttl));
        expired_batches
            .map(|batch| (Arc::clone(&batch.submission), batch.results.clone()))
            .collect()
    }

    /// Makes results readable that the store has confirmed.
    pub fn publish_results(&self, part: u32, epoch: u64, published: &[Finished]) {
        let mut parts = self.lock();
        let Some(part) = parts.get_mut(&part).filter(|part| part.epoch == epoch) else {
            return;
        };
        for Finished { batch, result } in published {
            if let Some(batch) = part.batches.get_mut(batch) {
                batch.results.push(Arc::new(result.clone()));
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
                return Lookup::NotOwned;
            };
            if self.is_doubtful(part) {
                let left = confirmed_by.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Lookup::NotOwned;
                }
                let waited = self.changed.wait_timeout(parts, left);
                parts = waited.unwrap_or_else(PoisonError::into_inner).0;
                continue;
            }
            if find(part, id, workspace).is_none() {
                return Lookup::Missing;
            }
            let Some(batch) = part.batches.get_mut(id) else {
                return Lookup::Missing;
            };
            batch.read_ms = unix_ms();
            let left = due.saturating_duration_since(Instant::now());
            let ready = batch.results.len() as u64 > after;
            if ready || left.is_zero() || !batch.is_open() {
                return Lookup::Found(page(&batch.submission, &batch.results, after));
            }
            let waited = self.changed.wait_timeout(parts, left);
            parts = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Returns the request body of an item.
    pub fn body(&self, id: &str, workspace: Option<&Workspace>, item: &str) -> Lookup<Vec<u8>> {
        let parts = self.lock();
        let part = parts.get(&partition_of(id, self.part_count));
        let Some(part) = part.filter(|part| !self.is_doubtful(part)) else {
            return Lookup::NotOwned;
        };
        let Some(batch) = find(part, id, workspace) else {
            return Lookup::Missing;
        };
        let mut items = batch.submission.items.iter();
        match items.find(|spec| spec.id == item) {
            Some(spec) => Lookup::Found(spec.body.clone()),
            None => Lookup::Missing,
        }
    }

    /// Wakes the reads that wait, and the runner.
    pub(super) fn notify(&self) {
        self.changed.notify_all();
        self.waker.wake();
    }
}

/// Returns the batch that an end with this key is meant for. A batch that was stored by an earlier build has
/// its identifier as its key, and is ended by its own workspace only.
pub(super) fn find_ended<'a>(
    batches: &'a mut BTreeMap<String, Batch>,
    key: &str,
) -> Option<&'a mut Batch> {
    if batches.contains_key(key) {
        return batches.get_mut(key);
    }
    let earlier = batches.get_mut(batch_id(key))?;
    let own = batch_key(Some(&earlier.submission.workspace), &earlier.submission.id);
    (own == key).then_some(earlier)
}

fn find<'a>(
    part: &'a OwnedPartition,
    id: &str,
    workspace: Option<&Workspace>,
) -> Option<&'a Batch> {
    let batch = part.batches.get(id)?;
    let allowed = workspace.is_none_or(|workspace| batch.submission.workspace == *workspace);
    allowed.then_some(batch)
}

/// Returns a page of results starting at a position. It holds at least one result if there is one.
pub fn page(submission: &Submission, results: &[Arc<ItemResult>], after: u64) -> ResultPage {
    let mut used = 0;
    let from = (after as usize).min(results.len());
    let rows: Vec<(String, Arc<ItemResult>)> = results[from..]
        .iter()
        .take_while(|result| {
            let first = used == 0;
            used += result.output.len() + 128;
            first || used <= MAX_PAGE_BYTES
        })
        .map(|result| {
            let item = submission.items.get(result.item as usize);
            let id = item.map(|item| item.id.clone()).unwrap_or_default();
            (id, Arc::clone(result))
        })
        .collect();
    ResultPage {
        total: submission.items.len(),
        next: after + rows.len() as u64,
        results: rows,
    }
}
