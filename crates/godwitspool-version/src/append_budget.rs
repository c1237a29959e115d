//! How much each stream of records may append, and how appends are batched.

use std::collections::{BTreeMap, VecDeque};

use godwitspool_types::Millis;

use crate::{Record, RecordBody};

/// Streams of records, each with an append budget of its own.
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
    /// Every stream, in the order in which batches take from them.
    pub const ALL: [Self; 6] = [
        Self::Lease,
        Self::Configuration,
        Self::Order,
        Self::Weights,
        Self::Usage,
        Self::Snapshot,
    ];

    /// Returns the stream of a record.
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

/// Bounds of one stream on one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamLimits {
    /// Records that may go at once after a rest.
    pub burst: u64,
    /// Records a minute.
    pub per_minute: u64,
    /// Records that may wait; more are refused.
    pub queue: usize,
}

/// Queues records by stream and lets them go in batches within each stream's budget.
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
    batch: usize,
    streams: BTreeMap<Stream, StreamQueue>,
}

#[derive(Clone, Debug)]
struct StreamQueue {
    counts: AppendCounts,
    filled: Millis,
    rate: StreamLimits,
    /// In 60,000ths of a record, so that a millisecond at one record a minute adds one.
    tokens: u64,
    waiting: VecDeque<Record>,
}

/// What became of a stream's records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppendCounts {
    /// Records let go.
    pub appended: u64,
    /// Records refused, because too many waited.
    pub refused: u64,
    /// Records that wait.
    pub waiting: u64,
}

const TOKEN: u64 = 60_000;
const MAX_BATCH: usize = 64;

impl Default for AppendBudget {
    fn default() -> Self {
        let rate = |per_minute, burst, queue| StreamLimits {
            burst,
            per_minute,
            queue,
        };
        Self::new([
            (Stream::Configuration, rate(600, 100, 1_000)),
            (Stream::Lease, rate(600, 30, 64)),
            (Stream::Order, rate(600, 60, 1_000)),
            (Stream::Snapshot, rate(1_200, 400, 4_000)),
            (Stream::Usage, rate(120, 20, 1_000)),
            (Stream::Weights, rate(120, 20, 100)),
        ])
    }
}

impl AppendBudget {
    /// Makes a budget with a rate for each stream; a stream without one may not append.
    pub fn new(rates: impl IntoIterator<Item = (Stream, StreamLimits)>) -> Self {
        let queue = |rate: StreamLimits| StreamQueue {
            counts: AppendCounts::default(),
            filled: Millis::ZERO,
            rate,
            tokens: rate.burst * TOKEN,
            waiting: VecDeque::new(),
        };
        Self {
            batch: MAX_BATCH,
            streams: rates
                .into_iter()
                .map(|(stream, rate)| (stream, queue(rate)))
                .collect(),
        }
    }

    /// Queues a record; refused when too many of its stream wait.
    pub fn offer(&mut self, record: Record) -> bool {
        let stream = Stream::of(&record.body);
        let Some(queue) = self.streams.get_mut(&stream) else {
            return false;
        };
        if queue.waiting.len() >= queue.rate.queue {
            queue.counts.refused += 1;
            return false;
        }
        queue.waiting.push_back(record);
        true
    }

    /// Takes the records that may be appended now, those of leases first.
    pub fn take_batch(&mut self, now: Millis) -> Vec<Record> {
        let mut batch = Vec::new();
        for stream in Stream::ALL {
            if let Some(queue) = self.streams.get_mut(&stream) {
                queue.fill(now);
                queue.take(&mut batch, self.batch);
            }
        }
        batch
    }

    /// Returns what became of each stream's records.
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

impl StreamQueue {
    fn fill(&mut self, now: Millis) {
        let span = now - self.filled;
        self.filled = self.filled.max(now);
        let filled = self
            .tokens
            .saturating_add(span.0.saturating_mul(self.rate.per_minute));
        self.tokens = filled.min(self.rate.burst * TOKEN);
    }

    fn take(&mut self, batch: &mut Vec<Record>, most: usize) {
        while batch.len() < most && self.tokens >= TOKEN {
            let Some(record) = self.waiting.pop_front() else {
                return;
            };
            self.tokens -= TOKEN;
            self.counts.appended += 1;
            batch.push(record);
        }
    }
}
