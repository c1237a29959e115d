mod copy;
mod removal;

use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    io,
    sync::{
        Arc, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
        mpsc::{self, Receiver, RecvTimeoutError, Sender},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_sync::{Mutex, MutexGuard};

use super::{
    Accepted, Applied, Assembly, Backoff, Batch, BatchChange, BatchLife, BatchRecord,
    BatchRegistry, Change, Finished, LoadError, ParkedBatch, PartitionBatches, Submission, Tenure,
    batch_id, read_submission, record::split_calls, save_progress, stored_batch::needed_bytes,
    stored_results::StoredResults, wire,
};
use crate::{
    StoreBounds,
    http::{MemoryBudget, Reservation},
    lease_clock,
    process::unix_ms,
    store::{Record, Store, StoreError, StoredRecord, Topic, Writer},
};

/// Maximum wait for new batches in one read. A lost answer delays a batch by this time.
const MAX_READ_WAIT: Duration = Duration::from_secs(1);
/// Maximum time that a result waits for others to share its append. It is short compared with the
/// seconds within which the results of a step are due, and limits a partition to 25 appends per
/// second.
const MAX_GROUP_DELAY: Duration = Duration::from_millis(40);
/// Time for which a batch is kept after its TTL. It allows for hosts whose clocks differ by
/// seconds.
const TTL_MARGIN: Duration = Duration::from_secs(30);
/// Interval between checks for expired batches.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum time for which a hand-over waits until queued results are written: a few calls to the
/// store.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between checks whether the results are written.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Stack size of a partition's threads.
const STACK_BYTES: usize = 256 * 1024;

/// Owner of a partition: reads accepted batches, and writes results and removals.
#[derive(Debug)]
pub struct Owner {
    /// Epoch of the ownership, with which results are appended.
    pub epoch: u64,
    task: Arc<Task>,
}

struct Task {
    registry: Arc<BatchRegistry>,
    bounds: StoreBounds,
    epoch: u64,
    part: u32,
    stopped: AtomicBool,
    store: Arc<dyn Store>,
    tenure: Arc<Tenure>,
    /// Sequence number of the next append of results; `None` until earlier owners are fenced. Held while
    /// appending.
    next_seq: Mutex<Option<u64>>,
    /// The task itself, for the threads that it starts.
    own: Weak<Task>,
    /// Whether a thread that confirms the tenure is running.
    confirming: AtomicBool,
    /// Whether a thread that serves copies is running.
    copying: AtomicBool,
    /// Whether the thread that writes results is running.
    writing: AtomicBool,
    /// How long a batch stays readable after its submission.
    ttl: Duration,
    /// Position of the next result of each batch.
    positions: Mutex<HashMap<String, u64>>,
}

/// What was loaded of a partition.
struct Loaded {
    batches: PartitionBatches,
    /// Offset behind the records of batches.
    next: u64,
    /// Offset behind the records of results.
    results_end: u64,
}

/// A submission with the memory that it takes, `None` if it isn't whole or can't be decoded; or its head and the
/// memory that it needs, if there is none.
type Read = Result<Option<(Submission, Reservation)>, (Box<Submission>, usize)>;

impl std::fmt::Debug for Task {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Task")
            .field("part", &self.part)
            .field("epoch", &self.epoch)
            .finish_non_exhaustive()
    }
}

impl Owner {
    /// Starts to take over a partition. `ownership` holds the number of the partition and the
    /// epoch, which must not be used by any other owner, ever.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start(
        store: Arc<dyn Store>,
        registry: Arc<BatchRegistry>,
        bounds: StoreBounds,
        ttl: Duration,
        ownership: (u32, u64),
    ) -> io::Result<Self> {
        let (part, epoch) = ownership;
        let task = Arc::new_cyclic(|own| Task {
            own: Weak::clone(own),
            copying: AtomicBool::new(false),
            registry,
            bounds,
            epoch,
            part,
            stopped: AtomicBool::new(false),
            store,
            tenure: Arc::new(Tenure::new(epoch)),
            next_seq: Mutex::default(),
            confirming: AtomicBool::new(false),
            ttl,
            positions: Mutex::default(),
            writing: AtomicBool::new(false),
        });
        let own = Arc::clone(&task);
        thread::Builder::new()
            .name("partition".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || own.run())?;
        Ok(Self { epoch, task })
    }

    /// Returns whether another owner has taken over the partition, or this one has closed it.
    pub fn is_lost(&self) -> bool {
        self.task.is_stopped()
    }

    /// Records that the store assigns the partition to this host in a generation of the hosts' group. If
    /// another host may have owned it meanwhile, the batches aren't read here until the store has confirmed
    /// that none did; if one did, the partition is lost.
    pub fn observe_assignment(&self, generation: u64) {
        if self.task.tenure.assign(generation) && !self.task.confirming.swap(true, Ordering::SeqCst)
        {
            let own = Arc::clone(&self.task);
            let spawned = thread::Builder::new()
                .name("tenure".to_owned())
                .stack_size(STACK_BYTES)
                .spawn(move || own.check_until_confirmed());
            if let Err(error) = spawned {
                log::error!(error:%, partition = self.task.part; "can't start a thread that confirms an ownership; partition closed");
                self.task.stop("no thread");
            }
        }
    }

    /// Closes the partition so that the next owner can resume its items: stops the runs, saves
    /// their partial output and waits until queued results are written. Takes a few calls to the
    /// store at most.
    pub fn hand_over(&self) {
        self.task.hand_over();
    }
}

impl Task {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst) || self.registry.is_superseded(self.part, self.epoch)
    }

    fn stop(&self, reason: &str) {
        if !self.stopped.swap(true, Ordering::SeqCst) {
            log::info!(partition = self.part, epoch = self.epoch, reason; "partition closed");
        }
        self.registry.close(self.part, self.epoch);
    }

    fn hand_over(&self) {
        let began = Instant::now();
        let progress = self
            .registry
            .take_unsaved(self.part, self.epoch, &self.bounds);
        let items = progress.len();
        let saved = save_progress(self.store.as_ref(), self.part, progress, &self.bounds);
        while self.writing.load(Ordering::SeqCst) && began.elapsed() < HAND_OVER_TIMEOUT {
            thread::sleep(HAND_OVER_POLL_INTERVAL);
        }
        let took_ms = began.elapsed().as_millis() as u64;
        log::info!(
            partition = self.part, epoch = self.epoch, items, saved, took_ms,
            written = !self.writing.load(Ordering::SeqCst);
            "partition handed over"
        );
        self.stop("given up");
    }

    fn run(self: Arc<Self>) {
        let began = Instant::now();
        if self.take_over().is_none() {
            return;
        }
        let mut read_at = lease_clock();
        let mut assembly = Assembly::default();
        let Some(Loaded {
            batches: loaded,
            mut next,
            ..
        }) = self.load(&mut assembly)
        else {
            return;
        };
        let (sender, receiver) = mpsc::channel();
        let (part, epoch) = (self.part, self.epoch);
        let took_ms = began.elapsed().as_millis() as u64;
        log::info!(
            partition = part, epoch, batches = loaded.loaded.len(), parked = loaded.parked.len(), took_ms;
            "partition opened"
        );
        self.open(loaded, sender);
        // Assignments that came before the fence haven't been checked.
        if self.check_tenure().is_none() {
            return;
        }
        self.registry.confirm(part, epoch, read_at);
        let own = Arc::clone(&self);
        self.writing.store(true, Ordering::SeqCst);
        let spawned = thread::Builder::new()
            .name("results".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                own.write(&receiver);
                own.writing.store(false, Ordering::SeqCst);
            });
        if let Err(error) = spawned {
            log::error!(error:%, partition = part; "can't start the thread for a partition's results; partition closed");
            self.stop("no thread");
            return;
        }
        while !self.is_stopped() {
            let wait = Cell::new(MAX_READ_WAIT);
            let began_at = Cell::new(read_at);
            let read = || {
                began_at.set(lease_clock());
                // While reads fail, one that waits would only take longer to fail, and to notice that
                // the store is back.
                let wait = wait.replace(Duration::ZERO);
                match self.store.read(Topic::Batches, part, next, wait) {
                    Err(StoreError::Gone { .. }) => Ok(None),
                    read => read.map(|tail| Some((tail.records, tail.next))),
                }
            };
            let Some(tail) = self.retry_call("tail", read) else {
                return;
            };
            read_at = began_at.get();
            let end = if let Some((records, end)) = tail {
                self.apply_records(records, &mut assembly).map(|()| end)
            } else {
                self.each_page(Topic::Batches, None, |records| {
                    self.apply_records(records, &mut assembly).map(|()| true)
                })
            };
            let Some(end) = end else {
                return;
            };
            next = end;
            self.registry.confirm(part, epoch, read_at);
            if self.unpark().is_none() {
                return;
            }
        }
    }

    /// Opens the partition, unless it was lost or closed in the meantime.
    fn open(&self, loaded: PartitionBatches, sender: Sender<Finished>) {
        for (key, batch) in &loaded.loaded {
            self.set_position(key, batch);
        }
        let tenure = Arc::clone(&self.tenure);
        self.registry.open(self.part, tenure, loaded, sender);
        if self.is_stopped() {
            self.registry.close(self.part, self.epoch);
        }
    }

    /// Fences earlier owners off. Returns false if the store has no room for that, and `None` once the partition is
    /// lost or closed.
    fn fence(&self) -> Option<bool> {
        self.retry_call("fence", || match self.try_fence() {
            Err(StoreError::NoRoom { .. }) => Ok(false),
            fenced => fenced.map(|()| true),
        })
    }

    fn try_fence(&self) -> Result<(), StoreError> {
        let mut next_seq = self.next_seq.lock().unwrap_or_else(PoisonError::into_inner);
        let generation = self.tenure.assigned();
        let writer = Writer {
            epoch: self.epoch,
            seq: 0,
        };
        self.store
            .append(Topic::Results, self.part, &[], Some(writer))?;
        *next_seq = Some(1);
        drop(next_seq);
        self.tenure.confirm(generation);
        Ok(())
    }

    /// Appends records of results, which also confirms the tenure; returns `None` once the partition is
    /// lost or closed, or if earlier owners aren't fenced yet.
    fn append_results(&self, what: &str, records: &[Record]) -> Option<()> {
        let mut next_seq = self.next_seq.lock().unwrap_or_else(PoisonError::into_inner);
        let generation = self.tenure.assigned();
        let seq = (*next_seq)?;
        let writer = Writer {
            epoch: self.epoch,
            seq,
        };
        let append = || {
            let appended = self
                .store
                .append(Topic::Results, self.part, records, Some(writer));
            if matches!(appended, Err(StoreError::NoRoom { .. })) && self.tenure.is_doubtful() {
                self.serve_copies_while_doubtful();
            }
            appended
        };
        self.retry_call(what, append)?;
        *next_seq = Some(seq + 1);
        drop(next_seq);
        self.tenure.confirm(generation);
        Some(())
    }

    /// Asks the store whether another owner has taken over, for as long as the tenure is doubtful. Returns
    /// `None` once the partition is lost or closed, or if earlier owners aren't fenced yet.
    fn check_tenure(&self) -> Option<()> {
        while self.tenure.is_doubtful() {
            // The store doesn't number empty appends, so the check is a record of its own.
            self.append_results("check the ownership", &[BatchRecord::of_check()])?;
            log::info!(partition = self.part, epoch = self.epoch, generation = self.tenure.assigned(); "ownership confirmed");
            self.registry.notify();
        }
        Some(())
    }

    /// Checks the tenure in a thread of its own, also for assignments that come meanwhile. Before the fence
    /// there is nothing to check by; [`Self::run`] does so once the partition is open.
    fn check_until_confirmed(&self) {
        loop {
            let confirmed = self.check_tenure();
            self.confirming.store(false, Ordering::SeqCst);
            // An assignment between the two has started no thread.
            let again = confirmed.is_some() && self.tenure.is_doubtful();
            if !again || self.confirming.swap(true, Ordering::SeqCst) {
                return;
            }
        }
    }

    /// Calls `each` with the newest records of the partition's keys after `after`, a page at a time, until it
    /// returns false. Returns the offset from which the reader continues, or `None` once the partition is lost
    /// or closed.
    fn each_page(
        &self,
        topic: Topic,
        mut after: Option<String>,
        mut each: impl FnMut(Vec<StoredRecord>) -> Option<bool>,
    ) -> Option<u64> {
        let mut end = None;
        loop {
            let page = || self.store.newest(topic, self.part, after.as_deref());
            let page = self.retry(self.load_backoff(), "page", page)?;
            // Pages are no snapshot: what was appended in between is read again from the end of the first one.
            let end = *end.get_or_insert(page.end);
            let last = page.records.last().map(|stored| stored.record.key.clone());
            let goes_on = each(page.records)?;
            if !goes_on || !page.more || last.is_none() {
                return Some(end);
            }
            after = last;
        }
    }

    /// Loads the partition's batches and their results; returns `None` once the partition is lost or closed.
    fn load(&self, assembly: &mut Assembly) -> Option<Loaded> {
        let mut loaded = PartitionBatches::default();
        let next = self.each_page(Topic::Batches, None, |records| {
            for change in assembly.read(self.part, records) {
                loaded.apply(self.adopt_change(change)?);
            }
            Some(true)
        })?;
        let results_end = self.restore(&mut loaded.loaded, None)?;
        Some(Loaded {
            batches: loaded,
            next,
            results_end,
        })
    }

    /// Makes a batch of an accepted submission if there is memory for it, else a parked one. Returns `None` once
    /// the partition is lost or closed.
    fn adopt(&self, accepted: Accepted) -> Option<BatchChange> {
        let Accepted { key, chunks, bytes } = accepted;
        let budget = &self.registry.memory;
        let load = || {
            let mut memory = MemoryBudget::reserve_batch(budget, 0).unwrap_or_default();
            let store = self.store.as_ref();
            match read_submission(store, self.part, &key, Some(chunks), &mut memory) {
                Ok(submission) => Ok(Ok(submission.map(|submission| (submission, memory)))),
                Err(LoadError::NoMemory { head, wanted }) => Ok(Err((head, wanted))),
                Err(LoadError::Store { error }) => Err(error),
            }
        };
        let read = match bytes {
            Some(bytes) => self.decode(&key, bytes),
            None => self.retry(self.load_backoff(), "submission", load)?,
        };
        Some(match read {
            Ok(Some((submission, memory))) => {
                BatchChange::Accepted(Batch::reserved(Arc::new(submission), memory))
            }
            Ok(None) => {
                log::warn!(partition = self.part, batch = key; "batch skipped: its submission can't be assembled");
                BatchChange::Unreadable(key)
            }
            Err((head, wanted)) => {
                log::warn!(batch:% = head.id, partition = self.part, wanted; "batch waits: no memory for it");
                let life = BatchLife {
                    received_ms: head.received_ms,
                    read_ms: unix_ms(),
                    ..BatchLife::default()
                };
                BatchChange::Parked(ParkedBatch {
                    head: *head,
                    life,
                    wanted,
                    chunks,
                })
            }
        })
    }

    /// Decodes a submission that was read whole.
    fn decode(&self, key: &str, bytes: Vec<u8>) -> Read {
        let stored_key = |id: &str| (id != key).then(|| key.to_owned());
        let Ok((mut head, needed)) = needed_bytes(&bytes, bytes.len()) else {
            return Ok(None);
        };
        let Some(mut memory) = MemoryBudget::reserve_batch(&self.registry.memory, needed) else {
            head.stored_key = stored_key(&head.id);
            return Err((Box::new(head), needed));
        };
        let mut wanted = needed;
        let decoded = wire::decode_submission(bytes, &mut |bytes| {
            wanted += bytes;
            memory.grow(bytes)
        });
        match decoded {
            Ok(None) => {
                head.stored_key = stored_key(&head.id);
                Err((Box::new(head), wanted))
            }
            Ok(Some(mut submission)) => {
                submission.stored_key = stored_key(&submission.id);
                memory.resize(submission.items.memory_in_batch());
                Ok(Some((submission, memory)))
            }
            Err(reason) => {
                log::warn!(partition = self.part, batch = key, reason:%; "stored submission can't be decoded");
                Ok(None)
            }
        }
    }

    /// Restores the results and the partial output of batches, of all that the partition has or of the only one.
    /// Returns the offset behind the results, or `None` once the partition is lost or closed.
    fn restore(&self, batches: &mut BTreeMap<String, Batch>, only: Option<&str>) -> Option<u64> {
        let mut stored = StoredResults::default();
        let mut current = String::new();
        let after = only.map(BatchRecord::key_prefix);
        let end = self.each_page(Topic::Results, after, |records| {
            for record in records {
                let (key, _) = record.record.key.rsplit_once('/').unwrap_or_default();
                if only.is_some_and(|only| only != key) {
                    return Some(false);
                }
                if key != current {
                    Self::restore_batch(&current, &mut stored, batches);
                    key.clone_into(&mut current);
                }
                if batches.contains_key(key) {
                    stored.add(self.part, [record], &mut |key, bytes| {
                        let batch = batches.get_mut(key);
                        batch.is_some_and(|batch| batch.memory.grow(bytes))
                    });
                }
            }
            Some(true)
        })?;
        Self::restore_batch(&current, &mut stored, batches);
        Some(end)
    }

    fn restore_batch(key: &str, stored: &mut StoredResults, batches: &mut BTreeMap<String, Batch>) {
        let Some(batch) = batches.get_mut(key) else {
            return;
        };
        batch.restore(stored.take_results(key));
        for (item, progress) in stored.take_progress(key) {
            batch.resume(item, progress);
        }
    }

    /// Has the results of a batch follow those that were restored.
    fn set_position(&self, key: &str, batch: &Batch) {
        let position = batch.results.len() as u64;
        self.positions().insert(key.to_owned(), position);
    }

    fn positions(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.positions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Loads parked batches for which there is memory now; returns `None` once the partition is lost or closed.
    fn unpark(&self) -> Option<()> {
        for parked in self.registry.parked(self.part) {
            if !MemoryBudget::has_room(&self.registry.memory, parked.wanted) {
                // Those behind it wait too: a large batch would wait for good while small ones come.
                break;
            }
            let key = parked.head.key().to_owned();
            let accepted = Accepted {
                key: key.clone(),
                chunks: parked.chunks,
                bytes: None,
            };
            let BatchChange::Accepted(batch) = self.adopt(accepted)? else {
                break;
            };
            let mut batches = BTreeMap::from([(key.clone(), batch)]);
            self.restore(&mut batches, Some(&key))?;
            if let Some(batch) = batches.get(&key) {
                self.set_position(&key, batch);
            }
            if let Some(batch) = batches.remove(&key)
                && self.registry.unpark(self.part, self.epoch, batch)
            {
                log::info!(batch:% = parked.head.id, partition = self.part; "parked batch loaded");
            }
        }
        Some(())
    }

    /// Retries a call until it succeeds; returns `None` once the partition is lost or closed.
    fn retry_call<T>(&self, what: &str, call: impl Fn() -> Result<T, StoreError>) -> Option<T> {
        self.retry(Backoff::CALL, what, call)
    }

    /// Returns the pauses of reads that load batches. Once the partition is open, results and ends wait for them.
    fn load_backoff(&self) -> Backoff {
        if self.writing.load(Ordering::SeqCst) {
            Backoff::CALL
        } else {
            Backoff::LOAD
        }
    }

    fn retry<T>(
        &self,
        mut backoff: Backoff,
        what: &str,
        call: impl Fn() -> Result<T, StoreError>,
    ) -> Option<T> {
        let mut failed = false;
        while !self.is_stopped() {
            match call() {
                Ok(value) => {
                    if failed {
                        log::info!(partition = self.part, what; "store answers again");
                    }
                    return Some(value);
                }
                Err(error @ StoreError::Fenced { .. }) => {
                    log::warn!(partition = self.part, epoch = self.epoch, what, error:%; "partition lost");
                    self.stop("fenced");
                }
                Err(error) => {
                    if !failed {
                        log::warn!(partition = self.part, what, error:%; "store call failed, repeated");
                    }
                    failed = true;
                    thread::sleep(backoff.pause());
                }
            }
        }
        None
    }

    /// Applies records of the partition's tail; returns `None` once the partition is lost or closed.
    fn apply_records(&self, records: Vec<StoredRecord>, assembly: &mut Assembly) -> Option<()> {
        for change in assembly.read(self.part, records) {
            // A caller that gets no answer sends its submission again.
            if matches!(&change, Change::Accepted(accepted) if self.registry.knows(self.part, &accepted.key))
            {
                continue;
            }
            self.apply(self.adopt_change(change)?);
        }
        Some(())
    }

    /// Applies a change to the open partition.
    fn apply(&self, change: BatchChange) {
        let (partition, key) = (self.part, change.key().to_owned());
        let batch = batch_id(&key);
        let accepted = match &change {
            BatchChange::Accepted(batch) => {
                Some((Arc::clone(&batch.submission), batch.memory.bytes()))
            }
            _ => None,
        };
        match (self.registry.apply(partition, change), accepted) {
            (Applied::Accepted, Some((submission, bytes))) => log::info!(
                batch, items = submission.items.len(), step = submission.step,
                model:% = submission.model, partition, bytes;
                "batch taken over"
            ),
            (Applied::AcceptedEnded, _) => {
                log::info!(batch, partition; "batch was ended before its submission was stored");
            }
            (Applied::Ended, _) => log::info!(batch, partition; "batch ended"),
            (Applied::EndedEarly, _) => {
                log::info!(batch, partition; "end of an unknown batch kept");
            }
            (Applied::Accepted | Applied::Nothing, _) => {}
        }
    }

    /// Returns what a change of the records means for the batches; `None` once the partition is lost or closed.
    fn adopt_change(&self, change: Change) -> Option<BatchChange> {
        Some(match change {
            Change::Accepted(accepted) => return self.adopt(accepted),
            Change::Ended { key, ended_ms } => BatchChange::Ended {
                key,
                ended_ms: ended_ms.unwrap_or_else(unix_ms),
            },
            Change::EndRemoved(key) => BatchChange::EndRemoved(key),
            Change::Removed(key) => BatchChange::Removed(key),
        })
    }

    /// Appends results in groups, and publishes each group once the store has confirmed it.
    fn write(&self, receiver: &Receiver<Finished>) {
        let mut expire_at = Instant::now() + EXPIRY_INTERVAL;
        loop {
            let left = expire_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                if self.is_stopped() || self.expire().is_none() {
                    return;
                }
                expire_at = Instant::now() + EXPIRY_INTERVAL;
                continue;
            }
            let first = match receiver.recv_timeout(left) {
                Ok(first) => first,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut group = vec![first];
            let mut bytes = group[0].result.output.len();
            let due = Instant::now() + MAX_GROUP_DELAY;
            while bytes < self.bounds.call_bytes / 2 {
                let left = due.saturating_duration_since(Instant::now());
                match receiver.recv_timeout(left) {
                    Ok(finished) => {
                        bytes += finished.result.output.len();
                        group.push(finished);
                    }
                    Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
                }
            }
            let records: Vec<_> = group
                .iter()
                .flat_map(|Finished { batch, result, .. }| {
                    let position = {
                        let mut positions = self.positions();
                        let next = positions.entry(batch.clone()).or_default();
                        *next += 1;
                        *next - 1
                    };
                    BatchRecord::of_result(batch, position, result, &self.bounds)
                })
                .collect();
            if self.append_results("append results", &records).is_none() {
                return;
            }
            drop(records);
            self.registry.publish_results(self.part, self.epoch, group);
        }
    }
}

/// Splits records into appends that the store takes. A batch may have no results, and the store numbers no
/// append of nothing.
fn calls(records: Vec<Record>, bounds: &StoreBounds) -> impl Iterator<Item = Vec<Record>> {
    let calls = split_calls(records, bounds).into_iter();
    calls.filter(|call| !call.is_empty())
}
