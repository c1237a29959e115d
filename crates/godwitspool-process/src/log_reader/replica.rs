//! What is in force, with the records behind it that other hosts may ask for.

use std::collections::VecDeque;

use godwitspool_connection::{messages::StewardAnswer, platform::LogRecord};
use godwitspool_types::{Millis, Offset};
use godwitspool_version::{Change, Fold, FoldError};

const TAIL_RECORDS: usize = 20_000;
const ANSWER_RECORDS: usize = 1_000;

/// What a replica has counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplicaCounts {
    /// Records applied.
    pub applied: u64,
    /// Gaps that were noticed.
    pub gaps: u64,
    /// Snapshots restored.
    pub restored: u64,
}

/// A change with the offset of its record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Applied {
    /// The change.
    pub change: Change,
    /// Offset of its record.
    pub offset: Offset,
}

/// What is in force on this host. It only moves forward.
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
    confirmed: Option<Millis>,
    counts: ReplicaCounts,
    end: Offset,
    fold: Fold,
    ready: bool,
    tail: VecDeque<LogRecord>,
    withdrawal: Offset,
}

impl Replica {
    /// Applies records; those that are in force already change nothing.
    ///
    /// # Errors
    ///
    /// Fails when records are missing before one of these; what came before the gap is applied.
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
            self.keep(record);
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

    /// Takes a snapshot, if it reaches further than what is in force.
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

    /// Notes a gap that a source reported.
    pub(super) fn note_gap(&mut self) {
        self.counts.gaps += 1;
    }

    /// Notes the log's end, as it was at a time.
    pub(super) fn confirm(&mut self, end: Offset, at: Millis) {
        self.end = self.end.max(end);
        if self.fold.next() >= end {
            self.confirmed = Some(self.confirmed.unwrap_or_default().max(at));
        }
    }

    pub(super) fn set_ready(&mut self) {
        self.ready = true;
    }

    /// Tells whether the host has caught up at least once.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns what is in force.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the end of the log as far as it is known.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Returns the offset behind the last record that may have withdrawn a key.
    pub fn withdrawal(&self) -> Offset {
        self.withdrawal
    }

    /// Returns the time since the log's end was last known to be in force.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|at| now - at)
    }

    /// Returns what was counted.
    pub fn counts(&self) -> ReplicaCounts {
        self.counts
    }

    /// Answers another host that asks for a snapshot.
    pub fn snapshot_answer(&self) -> StewardAnswer {
        if !self.ready {
            return StewardAnswer::NotReady;
        }
        StewardAnswer::Snapshot {
            end: self.fold.next(),
            body: self.fold.snapshot(),
        }
    }

    /// Answers another host that asks for the records from an offset on.
    pub fn tail_answer(&self, from: Offset, now: Millis) -> StewardAnswer {
        if !self.ready {
            return StewardAnswer::NotReady;
        }
        let records = self.tail.iter().skip_while(|record| record.offset < from);
        StewardAnswer::Tail {
            age_ms: self.age(now).unwrap_or(Millis::MAX).0,
            end: self.end,
            records: records.take(ANSWER_RECORDS).cloned().collect(),
            retained: self.retained(),
        }
    }

    fn retained(&self) -> Offset {
        self.tail
            .front()
            .map_or(self.fold.next(), |record| record.offset)
    }

    fn keep(&mut self, record: &LogRecord) {
        if self.tail.len() == TAIL_RECORDS {
            self.tail.pop_front();
        }
        self.tail.push_back(record.clone());
    }
}
