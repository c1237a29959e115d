//! Snapshots of the fold, written to the log before its retention removes the records that they
//! replace.

use std::collections::BTreeMap;

use godwitspool_types::{Millis, Offset};
use snafu::{ResultExt, Snafu};

use crate::{Fold, Record, RecordBody, RecordId, SnapshotPart};

const MAX_INCOMPLETE_SNAPSHOTS: usize = 4;

/// The text is not a snapshot.
#[derive(Debug, Snafu)]
#[snafu(display("snapshot of {bytes} bytes: {source}"))]
pub struct SnapshotError {
    bytes: usize,
    source: serde_json::Error,
}

impl Fold {
    /// Encodes the fold as JSON.
    ///
    /// ```
    /// use godwitspool_version::Fold;
    ///
    /// let fold = Fold::default();
    /// assert_eq!(Fold::restore(&fold.snapshot())?, fold);
    /// # Ok::<(), godwitspool_version::SnapshotError>(())
    /// ```
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    pub fn snapshot(&self) -> String {
        serde_json::to_string(self).expect("every field has a JSON form")
    }

    /// Decodes a fold from a snapshot's text.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a snapshot.
    pub fn restore(text: &str) -> Result<Self, SnapshotError> {
        serde_json::from_str(text).context(SnapshotSnafu { bytes: text.len() })
    }
}

/// Splits a fold's snapshot into records with at most `part_bytes` of its text each. A limit below
/// 4 bytes is raised to 4, so that each part can hold a character.
pub fn snapshot_records(fold: &Fold, part_bytes: usize) -> Vec<Record> {
    let text = fold.snapshot();
    let bodies = split(&text, part_bytes.max(4));
    let snapshot = RecordId::random();
    let parts = bodies.len() as u32;
    let part = |(index, body): (usize, &str)| {
        Record::new(RecordBody::Snapshot(SnapshotPart {
            body: body.to_owned(),
            end: fold.next(),
            index: index as u32,
            parts,
            snapshot,
        }))
    };
    bodies.into_iter().enumerate().map(part).collect()
}

fn split(text: &str, bytes: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > bytes {
        let mut at = bytes;
        while !rest.is_char_boundary(at) {
            at -= 1;
        }
        let (part, tail) = rest.split_at(at);
        parts.push(part);
        rest = tail;
    }
    parts.push(rest);
    parts
}

/// Assembles snapshots from their parts. At most four incomplete snapshots are kept.
///
/// ```
/// use godwitspool_version::{Fold, RecordBody, SnapshotParts, snapshot_records};
///
/// let fold = Fold::default();
/// let mut parts = SnapshotParts::default();
/// for record in snapshot_records(&fold, 64) {
///     let RecordBody::Snapshot(part) = &record.body else { panic!("no part") };
///     parts.add(part);
/// }
/// assert_eq!(parts.newest(), Some(&fold));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SnapshotParts {
    incomplete: BTreeMap<RecordId, Assembly>,
    newest: Option<Fold>,
}

#[derive(Clone, Debug)]
struct Assembly {
    bodies: BTreeMap<u32, String>,
    end: Offset,
}

impl SnapshotParts {
    /// Adds a part and returns whether it completed a snapshot that is newer than all before.
    pub fn add(&mut self, part: &SnapshotPart) -> bool {
        if self
            .newest
            .as_ref()
            .is_some_and(|fold| fold.next() >= part.end)
        {
            return false;
        }
        let assembly = self
            .incomplete
            .entry(part.snapshot)
            .or_insert_with(|| Assembly {
                bodies: BTreeMap::new(),
                end: part.end,
            });
        assembly.bodies.insert(part.index, part.body.clone());
        if assembly.bodies.len() < part.parts as usize {
            self.evict_oldest();
            return false;
        }
        let text = assembly
            .bodies
            .values()
            .map(String::as_str)
            .collect::<String>();
        self.incomplete.remove(&part.snapshot);
        match Fold::restore(&text) {
            Ok(fold) if fold.next() == part.end => {
                self.newest = Some(fold);
                true
            }
            _ => false,
        }
    }

    /// Returns the newest complete snapshot.
    pub fn newest(&self) -> Option<&Fold> {
        self.newest.as_ref()
    }

    /// Takes the newest complete snapshot if the records that follow it are still in the log, whose
    /// oldest record is at `retained`.
    pub fn take_from(&mut self, retained: Offset) -> Option<Fold> {
        self.newest.take_if(|fold| fold.next() >= retained)
    }

    fn evict_oldest(&mut self) {
        if self.incomplete.len() <= MAX_INCOMPLETE_SNAPSHOTS {
            return;
        }
        let oldest = self
            .incomplete
            .iter()
            .min_by_key(|(_, assembly)| assembly.end);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.incomplete.remove(&id);
        }
    }
}

/// Conditions under which a snapshot is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotCadence {
    /// Time after which a snapshot is due if there are new records.
    pub interval: Millis,
    /// Number of new records after which a snapshot is due.
    pub records: u64,
    /// Percentage of the retained records that may follow the last snapshot. It applies once the
    /// log has removed records.
    pub retention_percent: u64,
}

impl Default for SnapshotCadence {
    fn default() -> Self {
        Self {
            interval: Millis(300_000),
            records: 50_000,
            retention_percent: 40,
        }
    }
}

/// Positions of the log and of its last snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotPosition {
    /// Offset of the next record to be appended.
    pub end: Offset,
    /// Offset of the oldest record in the log.
    pub retained: Offset,
    /// Offset of the first record that the last snapshot doesn't include; `None` without a
    /// snapshot.
    pub snapshot: Option<Offset>,
    /// Time at which the last snapshot was read or written.
    pub written: Millis,
}

impl SnapshotCadence {
    /// Returns whether a snapshot is due.
    ///
    /// ```
    /// use godwitspool_types::{Millis, Offset};
    /// use godwitspool_version::{SnapshotCadence, SnapshotPosition};
    ///
    /// let position = SnapshotPosition {
    ///     end: Offset(100),
    ///     retained: Offset(40),
    ///     snapshot: Some(Offset(50)),
    ///     written: Millis(0),
    /// };
    /// assert!(SnapshotCadence::default().is_due(position, Millis(1)));
    /// ```
    pub fn is_due(&self, position: SnapshotPosition, now: Millis) -> bool {
        let from = position.snapshot.unwrap_or_default();
        let new_records = position.end.0.saturating_sub(from.0);
        let retained_records = position.end.0.saturating_sub(position.retained.0);
        let has_removed = position.retained > Offset(0);
        new_records > 0
            && (new_records >= self.records
                || now - position.written >= self.interval
                || has_removed && new_records * 100 >= retained_records * self.retention_percent)
    }
}
