use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    io,
    sync::{
        Arc, PoisonError,
        atomic::{AtomicBool, Ordering},
        mpsc::{self, Receiver, RecvTimeoutError, Sender},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_sync::Mutex;
use godwitspool_types::Millis;

use super::{
    Batch, BatchRecord, BatchRegistry, Finished, ItemResult, Submission, Tenure, batch_id,
    record::split_calls, registry::find_ended, save_progress, stored_results::StoredResults, wire,
};
use crate::{
    StoreBounds, lease_clock,
    process::unix_ms,
    store::{Record, Store, StoreError, StoredRecord, Topic, Writer, read_all},
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
/// First and maximum delay before a failed call to the store is retried.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
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
    /// Whether a thread that confirms the tenure is running.
    confirming: AtomicBool,
    /// Whether the thread that writes results is running.
    writing: AtomicBool,
    /// How long a batch stays readable after its submission.
    ttl: Duration,
}

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
        let task = Arc::new(Task {
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
        if self.fence().is_none() {
            return;
        }
        let Some((results, _)) = self.retry_call("results", || self.load(Topic::Results)) else {
            return;
        };
        let read_at = Cell::new(Millis::ZERO);
        let load_batches = || {
            read_at.set(lease_clock());
            self.load(Topic::Batches)
        };
        let Some((records, mut next)) = self.retry_call("batches", load_batches) else {
            return;
        };
        let mut assembly = Assembly::default();
        let (batches, positions) = self.assemble(results, records, &mut assembly);
        let (sender, receiver) = mpsc::channel();
        let (part, epoch) = (self.part, self.epoch);
        let took_ms = began.elapsed().as_millis() as u64;
        log::info!(partition = part, epoch, batches = batches.len(), took_ms; "partition opened");
        self.open(batches, sender);
        // Assignments that came before the fence haven't been checked.
        if self.check_tenure().is_none() {
            return;
        }
        self.registry.confirm(part, epoch, read_at.get());
        let own = Arc::clone(&self);
        self.writing.store(true, Ordering::SeqCst);
        let spawned = thread::Builder::new()
            .name("results".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                own.write(&receiver, positions);
                own.writing.store(false, Ordering::SeqCst);
            });
        if let Err(error) = spawned {
            log::error!(error:%, partition = part; "can't start the thread for a partition's results; partition closed");
            self.stop("no thread");
            return;
        }
        while !self.is_stopped() {
            let wait = Cell::new(MAX_READ_WAIT);
            let read = || {
                read_at.set(lease_clock());
                // While reads fail, one that waits would only take longer to fail, and to notice that
                // the store is back.
                let wait = wait.replace(Duration::ZERO);
                match self.store.read(Topic::Batches, part, next, wait) {
                    Err(StoreError::Gone { .. }) => self.load(Topic::Batches),
                    read => read.map(|tail| (tail.records, tail.next)),
                }
            };
            let Some((records, end)) = self.retry_call("tail", read) else {
                return;
            };
            next = end;
            self.apply_records(records, &mut assembly);
            self.registry.confirm(part, epoch, read_at.get());
        }
    }

    /// Opens the partition, unless it was lost or closed in the meantime.
    fn open(&self, batches: Vec<Batch>, sender: Sender<Finished>) {
        let tenure = Arc::clone(&self.tenure);
        self.registry.open(self.part, tenure, batches, sender);
        if self.is_stopped() {
            self.registry.close(self.part, self.epoch);
        }
    }

    /// Fences earlier owners off; returns `None` once the partition is lost or closed.
    fn fence(&self) -> Option<()> {
        let mut next_seq = self.next_seq.lock().unwrap_or_else(PoisonError::into_inner);
        let generation = self.tenure.assigned();
        let writer = Writer {
            epoch: self.epoch,
            seq: 0,
        };
        let append = || {
            self.store
                .append(Topic::Results, self.part, &[], Some(writer))
        };
        self.retry_call("fence", append)?;
        *next_seq = Some(1);
        drop(next_seq);
        self.tenure.confirm(generation);
        Some(())
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
            self.store
                .append(Topic::Results, self.part, records, Some(writer))
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

    fn load(&self, topic: Topic) -> Result<(Vec<StoredRecord>, u64), StoreError> {
        read_all(self.store.as_ref(), topic, self.part, None, |_| true)
    }

    /// Retries a call until it succeeds; returns `None` once the partition is lost or closed.
    fn retry_call<T>(&self, what: &str, call: impl Fn() -> Result<T, StoreError>) -> Option<T> {
        let (mut pause, max_pause) = RETRY_BACKOFF;
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
                    thread::sleep(pause);
                    pause = (pause * 2).min(max_pause);
                }
            }
        }
        None
    }

    fn assemble(
        &self,
        results: Vec<StoredRecord>,
        records: Vec<StoredRecord>,
        assembly: &mut Assembly,
    ) -> (Vec<Batch>, HashMap<String, u64>) {
        let mut stored_results = StoredResults::read(self.part, results);
        let mut positions = HashMap::new();
        let mut batches = BTreeMap::new();
        for change in assembly.read(self.part, records) {
            match change {
                Change::Accepted(submission) => {
                    let id = submission.key().to_owned();
                    let results = stored_results.take_results(&id);
                    positions.insert(id.clone(), results.len() as u64);
                    let mut batch = Batch::new(Arc::new(submission), results);
                    for (item, progress) in stored_results.take_progress(&id) {
                        batch.resume(item, progress);
                    }
                    batches.insert(id, batch);
                }
                Change::Ended(batch) => {
                    if let Some(batch) = find_ended(&mut batches, &batch) {
                        batch.ended = true;
                    }
                }
                Change::Removed(batch) => drop(batches.remove(&batch)),
            }
        }
        (batches.into_values().collect(), positions)
    }

    fn apply_records(&self, records: Vec<StoredRecord>, assembly: &mut Assembly) {
        for change in assembly.read(self.part, records) {
            match change {
                Change::Accepted(submission) => {
                    let (batch, items) = (submission.id.clone(), submission.items.len());
                    let (step, model) = (submission.step, submission.model.clone());
                    if self.registry.accept(self.part, Arc::new(submission)) {
                        log::info!(batch:%, items, step, model:%, partition = self.part; "batch taken over");
                    }
                }
                Change::Ended(batch) => {
                    if self.registry.end(self.part, &batch) {
                        log::info!(batch = batch_id(&batch), partition = self.part; "batch ended");
                    }
                }
                Change::Removed(batch) => self.registry.delete_batch(self.part, &batch),
            }
        }
    }

    /// Removes the records of expired batches; returns `None` once the partition is lost or closed.
    fn expire(&self) -> Option<()> {
        let ttl = self.ttl + TTL_MARGIN;
        for (submission, results) in self.registry.expired(self.part, unix_ms(), ttl) {
            let (batch, results) = BatchRecord::of_removal(&submission, &results, &self.bounds);
            // The submission goes last, so that an owner that is lost in between leaves nothing that no
            // owner would remove.
            for call in calls(results, &self.bounds) {
                self.append_results("remove results", &call)?;
            }
            for call in calls(batch, &self.bounds) {
                let append = || self.store.append(Topic::Batches, self.part, &call, None);
                self.retry_call("remove batch", append)?;
            }
            log::info!(batch:% = submission.id, partition = self.part; "batch removed: its TTL is over");
            self.registry.delete_batch(self.part, submission.key());
        }
        Some(())
    }

    /// Appends results in groups, and publishes each group once the store has confirmed it.
    fn write(&self, receiver: &Receiver<Finished>, mut positions: HashMap<String, u64>) {
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
                .flat_map(|Finished { batch, result }| {
                    let position = positions.entry(batch.clone()).or_default();
                    *position += 1;
                    BatchRecord::of_result(batch, *position - 1, result, &self.bounds)
                })
                .collect();
            if self.append_results("append results", &records).is_none() {
                return;
            }
            self.registry.publish_results(self.part, self.epoch, &group);
        }
    }
}

/// Splits records into appends that the store takes. A batch may have no results, and the store numbers no
/// append of nothing.
fn calls(records: Vec<Record>, bounds: &StoreBounds) -> impl Iterator<Item = Vec<Record>> {
    let calls = split_calls(records, bounds).into_iter();
    calls.filter(|call| !call.is_empty())
}

/// Assembles submissions from their records.
#[derive(Debug, Default)]
struct Assembly {
    chunks: HashMap<String, BTreeMap<u32, Vec<u8>>>,
}

enum Change {
    Accepted(Submission),
    Ended(String),
    Removed(String),
}

impl Assembly {
    fn read(&mut self, part: u32, records: Vec<StoredRecord>) -> Vec<Change> {
        let mut changes = Vec::new();
        for stored in records {
            match BatchRecord::read(stored) {
                Ok(BatchRecord::Chunk {
                    batch,
                    index,
                    bytes,
                }) => {
                    self.chunks.entry(batch).or_default().insert(index, bytes);
                }
                Ok(BatchRecord::Commit { batch, chunk_count }) => {
                    match self.join(&batch, chunk_count) {
                        Ok(submission) => changes.push(Change::Accepted(submission)),
                        Err(reason) => {
                            log::warn!(partition = part, batch:%, reason:%; "batch skipped: its submission can't be assembled");
                        }
                    }
                }
                Ok(BatchRecord::End { batch }) => changes.push(Change::Ended(batch)),
                Ok(BatchRecord::Removed { batch }) => changes.push(Change::Removed(batch)),
                Ok(
                    BatchRecord::Progress { .. }
                    | BatchRecord::Result { .. }
                    | BatchRecord::ResultChunk { .. },
                ) => {}
                Err(error) => log::warn!(partition = part, error:%; "batch record skipped"),
            }
        }
        changes
    }

    fn join(&mut self, batch: &str, count: u32) -> Result<Submission, String> {
        let chunks = self.chunks.remove(batch).unwrap_or_default();
        if chunks.len() != count as usize {
            return Err(format!("got {} of {count} chunks", chunks.len()));
        }
        let bytes: Vec<u8> = chunks.into_values().flatten().collect();
        let mut submission = wire::decode_submission(&bytes)?;
        submission.stored_key = (submission.id != batch).then(|| batch.to_owned());
        Ok(submission)
    }
}

/// A submission and its results by position.
pub type StoredBatch = (Arc<Submission>, Vec<Arc<ItemResult>>);

/// Reads a batch and its results from the store, for a host that can't reach the partition's owner.
/// Returns `None` if no such batch exists.
///
/// # Errors
///
/// Fails if the store doesn't answer.
pub fn read_stored(
    store: &dyn Store,
    part: u32,
    batch: &str,
) -> Result<Option<StoredBatch>, StoreError> {
    let prefix = BatchRecord::key_prefix(batch);
    let belongs = |key: &str| BatchRecord::belongs(key, batch);
    let (records, _) = read_all(store, Topic::Batches, part, Some(&prefix), belongs)?;
    let changes = Assembly::default().read(part, records);
    let mut accepted = changes.into_iter().filter_map(|change| match change {
        Change::Accepted(submission) => Some(submission),
        Change::Ended(_) | Change::Removed(_) => None,
    });
    let Some(submission) = accepted.next() else {
        return Ok(None);
    };
    let (records, _) = read_all(store, Topic::Results, part, Some(&prefix), belongs)?;
    let results = StoredResults::read(part, records).take_results(batch);
    Ok(Some((Arc::new(submission), results)))
}
