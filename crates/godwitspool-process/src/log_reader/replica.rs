//! The state of the log on this host, with the latest records for other hosts.

use std::collections::VecDeque;

use godwitspool_connection::{messages::StewardAnswer, platform::LogRecord};
use godwitspool_types::{Millis, Offset};
use godwitspool_version::{Change, Fold, FoldError};

/// Latest records kept for other hosts; a host that is further behind needs a snapshot.
const MAX_TAIL_RECORDS: usize = 20_000;
const MAX_ANSWER_RECORDS: usize = 1_000;

/// Counters of a [`Replica`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplicaCounts {
    /// Records applied.
    pub applied: u64,
    /// Gaps found, either in received records or reported by a source.
    pub gaps: u64,
    /// Snapshots restored.
    pub restored: u64,
}

/// A change made by an applied record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Applied {
    /// The change; a record may make several.
    pub change: Change,
    /// Offset of the record.
    pub offset: Offset,
}

/// The state in force on this host: the log folded up to an offset that only increases.
///
/// ```
/// use godwitspool_connection::platform::LogRecord;
/// use godwitspool_process::log_reader::Replica;
/// use godwitspool_types::Offset;
/// use godwitspool_version::{Record, RecordBody};
///
/// let mut replica = Replica::default();
/// let body = Record::new(RecordBody::QuarantineAdd { fingerprint: 7, targets: vec![] }).encode();
/// replica.apply(&[LogRecord { body, offset: Offset(0) }]).unwrap();
/// assert_eq!(replica.fold().next(), Offset(1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Replica {
    confirmed_at: Option<Millis>,
    counts: ReplicaCounts,
    end: Offset,
    fold: Fold,
    ready: bool,
    tail: VecDeque<LogRecord>,
    withdrawal: Offset,
}

impl Replica {
    /// Applies records and returns their changes. Records that are already applied are skipped.
    ///
    /// # Errors
    ///
    /// Fails at a record that doesn't follow the one before it; the records before the gap are
    /// applied.
    pub fn apply(&mut self, records: &[LogRecord]) -> Result<Vec<Applied>, FoldError> {
        let mut all = Vec::new();
        for record in records {
            let offset = record.offset;
            if offset < self.fold.next() {
                continue;
            }
            let applied = self.fold.apply_text(offset, &record.body);
            let changes = applied.inspect_err(|_| self.counts.gaps += 1)?;
            self.counts.applied += 1;
            self.push_tail(record);
            for change in changes {
                if matches!(change, Change::KeyWithdrawn(_) | Change::Published { .. }) {
                    self.withdrawal = offset.next();
                }
                all.push(Applied { change, offset });
            }
        }
        self.end = self.end.max(self.fold.next());
        Ok(all)
    }

    /// Replaces the state with a snapshot if the snapshot reaches further or nothing has been
    /// applied yet, and returns whether it did.
    pub fn restore(&mut self, fold: Fold) -> bool {
        if fold.next() <= self.fold.next() && self.fold.next() > Offset(0) {
            return false;
        }
        self.counts.restored += 1;
        self.end = self.end.max(fold.next());
        self.withdrawal = fold.next();
        self.fold = fold;
        self.tail.clear();
        true
    }

    /// Counts a gap reported by a source.
    pub(super) fn count_gap(&mut self) {
        self.counts.gaps += 1;
    }

    /// Records that the log's end was `end` at the time `at`.
    pub(super) fn confirm(&mut self, end: Offset, at: Millis) {
        self.end = self.end.max(end);
        if self.fold.next() >= end {
            self.confirmed_at = Some(self.confirmed_at.unwrap_or_default().max(at));
        }
    }

    pub(super) fn set_ready(&mut self) {
        self.ready = true;
    }

    /// Returns whether the host has caught up at least once.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the folded state.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the highest known end of the log, exclusive.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Returns the offset after the last record that may have withdrawn a key. A snapshot counts as
    /// such a record.
    pub fn withdrawal(&self) -> Offset {
        self.withdrawal
    }

    /// Returns the time since the state was last known to include the log's end, or `None` if it
    /// never was.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now - at)
    }

    /// Returns the counters.
    pub fn counts(&self) -> ReplicaCounts {
        self.counts
    }

    /// Answers another host's request for a snapshot.
    pub fn snapshot_answer(&self) -> StewardAnswer {
        if !self.ready {
            return StewardAnswer::NotReady;
        }
        StewardAnswer::Snapshot {
            end: self.fold.next(),
            body: self.fold.snapshot(),
        }
    }

    /// Answers another host's request for the records from an offset on.
    pub fn tail_answer(&self, from: Offset, now: Millis) -> StewardAnswer {
        if !self.ready {
            return StewardAnswer::NotReady;
        }
        let records = self.tail.iter().skip_while(|record| record.offset < from);
        StewardAnswer::Tail {
            age_ms: self.age(now).unwrap_or(Millis::MAX).0,
            end: self.end,
            records: records.take(MAX_ANSWER_RECORDS).cloned().collect(),
            retained: self.retained(),
        }
    }

    fn retained(&self) -> Offset {
        self.tail
            .front()
            .map_or(self.fold.next(), |record| record.offset)
    }

    fn push_tail(&mut self, record: &LogRecord) {
        if self.tail.len() == MAX_TAIL_RECORDS {
            self.tail.pop_front();
        }
        self.tail.push_back(record.clone());
    }
}
