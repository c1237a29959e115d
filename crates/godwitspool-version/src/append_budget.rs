//! Rate limits on appends, per stream of records, and the batching of appends.

use std::collections::{BTreeMap, VecDeque};

use godwitspool_types::Millis;

use crate::{Record, RecordBody};

/// Streams of records, each with its own append budget.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Stream {
    /// Configuration, keys and quarantine.
    Configuration,
    /// Lease steps.
    Lease,
    /// Target orders.
    Order,
    /// Snapshots.
    Snapshot,
    /// Usage windows.
    Usage,
    /// Weight versions.
    Weights,
}

impl Stream {
    /// All streams, in order of priority: batches are filled from the first ones first.
    pub const ALL: [Self; 6] = [
        Self::Lease,
        Self::Configuration,
        Self::Order,
        Self::Weights,
        Self::Usage,
        Self::Snapshot,
    ];

    /// Returns the stream to which a record belongs.
    pub fn of(body: &RecordBody) -> Self {
        match body {
            RecordBody::Publish(_)
            | RecordBody::KeyIssue { .. }
            | RecordBody::KeyWithdraw { .. }
            | RecordBody::QuarantineAdd { .. }
            | RecordBody::QuarantineLift { .. }
            | RecordBody::Unknown => Self::Configuration,
            RecordBody::Lease(_) => Self::Lease,
            RecordBody::OrderIntent(_) | RecordBody::OrderOutcome { .. } => Self::Order,
            RecordBody::UsageSeal(_)
            | RecordBody::WindowFrozen(_)
            | RecordBody::WindowReported { .. } => Self::Usage,
            RecordBody::WeightsTarget(_) => Self::Weights,
            RecordBody::Snapshot(_) => Self::Snapshot,
        }
    }

    /// Returns the name used in metrics.
    ///
    /// ```
    /// use godwitspool_version::Stream;
    ///
    /// assert_eq!(Stream::Lease.as_str(), "lease");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Lease => "lease",
            Self::Order => "order",
            Self::Snapshot => "snapshot",
            Self::Usage => "usage",
            Self::Weights => "weights",
        }
    }
}

/// Limits of one stream on one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamLimits {
    /// Maximum number of records that may be appended in one burst after a period without appends.
    pub burst: u64,
    /// Maximum number of records per minute.
    pub per_minute: u64,
    /// Maximum number of records that wait. More are refused.
    pub max_queued: usize,
}

/// Queues records by stream and hands them out in batches, within each stream's budget.
///
/// ```
/// use godwitspool_types::Millis;
/// use godwitspool_version::{AppendBudget, Record, RecordBody};
///
/// let mut budget = AppendBudget::default();
/// let record = Record::new(RecordBody::QuarantineLift { fingerprint: 7 });
/// assert!(budget.offer(record.clone()));
/// assert_eq!(budget.take_batch(Millis(0)), [record]);
/// assert!(budget.take_batch(Millis(0)).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct AppendBudget {
    max_batch: usize,
    streams: BTreeMap<Stream, StreamQueue>,
}

#[derive(Clone, Debug)]
struct StreamQueue {
    counts: AppendCounts,
    refilled_at: Millis,
    limits: StreamLimits,
    /// Unused budget in 60,000ths of a record, so that one millisecond at one record per minute
    /// adds one unit.
    budget_units: u64,
    waiting: VecDeque<Record>,
}

/// Counts of a stream's records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppendCounts {
    /// Records that were handed out to be appended.
    pub appended: u64,
    /// Records that were refused because too many waited.
    pub refused: u64,
    /// Records that are waiting.
    pub waiting: u64,
}

/// Budget units that one record costs.
const UNITS_PER_RECORD: u64 = 60_000;
const MAX_BATCH_RECORDS: usize = 64;

impl Default for AppendBudget {
    fn default() -> Self {
        let limits = |per_minute, burst, max_queued| StreamLimits {
            burst,
            per_minute,
            max_queued,
        };
        Self::new([
            (Stream::Configuration, limits(600, 100, 1_000)),
            (Stream::Lease, limits(600, 30, 64)),
            (Stream::Order, limits(600, 60, 1_000)),
            (Stream::Snapshot, limits(1_200, 400, 4_000)),
            (Stream::Usage, limits(120, 20, 1_000)),
            (Stream::Weights, limits(120, 20, 100)),
        ])
    }
}

impl AppendBudget {
    /// Creates a budget with limits for each stream. A stream without limits may not append.
    pub fn new(limits: impl IntoIterator<Item = (Stream, StreamLimits)>) -> Self {
        let queue = |limits: StreamLimits| StreamQueue {
            counts: AppendCounts::default(),
            refilled_at: Millis::ZERO,
            limits,
            budget_units: limits.burst * UNITS_PER_RECORD,
            waiting: VecDeque::new(),
        };
        Self {
            max_batch: MAX_BATCH_RECORDS,
            streams: limits
                .into_iter()
                .map(|(stream, limits)| (stream, queue(limits)))
                .collect(),
        }
    }

    /// Queues a record. Returns false if the record is refused, because too many records of its
    /// stream are waiting or the stream has no limits.
    ///
    /// A lease record takes the place of a waiting one of the same lease and holder: only the
    /// newest can still extend or end the term.
    pub fn offer(&mut self, record: Record) -> bool {
        let stream = Stream::of(&record.body);
        let Some(queue) = self.streams.get_mut(&stream) else {
            return false;
        };
        if let Some(superseded) = queue
            .waiting
            .iter_mut()
            .find(|old| supersedes(&record, old))
        {
            *superseded = record;
            return true;
        }
        if queue.waiting.len() >= queue.limits.max_queued {
            queue.counts.refused += 1;
            return false;
        }
        queue.waiting.push_back(record);
        true
    }

    /// Removes and returns the records that may be appended now, those of leases first.
    pub fn take_batch(&mut self, now: Millis) -> Vec<Record> {
        let mut batch = Vec::new();
        for stream in Stream::ALL {
            if let Some(queue) = self.streams.get_mut(&stream) {
                queue.refill(now);
                queue.take(&mut batch, self.max_batch);
            }
        }
        batch
    }

    /// Returns the counts of each stream's records.
    pub fn counts(&self) -> BTreeMap<Stream, AppendCounts> {
        let counts = |queue: &StreamQueue| AppendCounts {
            waiting: queue.waiting.len() as u64,
            ..queue.counts
        };
        self.streams
            .iter()
            .map(|(stream, queue)| (*stream, counts(queue)))
            .collect()
    }
}

/// Returns whether a lease record makes a waiting one of the same lease and holder needless.
fn supersedes(new: &Record, waiting: &Record) -> bool {
    match (&new.body, &waiting.body) {
        (RecordBody::Lease(new), RecordBody::Lease(waiting)) => {
            new.lease == waiting.lease && new.holder == waiting.holder
        }
        _ => false,
    }
}

impl StreamQueue {
    fn refill(&mut self, now: Millis) {
        let elapsed = now - self.refilled_at;
        self.refilled_at = self.refilled_at.max(now);
        let refilled = self
            .budget_units
            .saturating_add(elapsed.0.saturating_mul(self.limits.per_minute));
        self.budget_units = refilled.min(self.limits.burst * UNITS_PER_RECORD);
    }

    fn take(&mut self, batch: &mut Vec<Record>, max_records: usize) {
        while batch.len() < max_records && self.budget_units >= UNITS_PER_RECORD {
            let Some(record) = self.waiting.pop_front() else {
                return;
            };
            self.budget_units -= UNITS_PER_RECORD;
            self.counts.appended += 1;
            batch.push(record);
        }
    }
}
