//! Snapshots of the fold, written to the log before retention passes what they replace.

use std::collections::BTreeMap;

use godwitspool_types::{Millis, Offset};
use snafu::{ResultExt, Snafu};

use crate::{Fold, Record, RecordBody, RecordId, SnapshotPart};

const MAX_ASSEMBLED: usize = 4;

/// A snapshot's text could not be read.
#[derive(Debug, Snafu)]
#[snafu(display("snapshot of {bytes} bytes: {source}"))]
pub struct SnapshotError {
    bytes: usize,
    source: serde_json::Error,
}

impl Fold {
    /// Codes the fold as text.
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

    /// Reads a fold from a snapshot's text.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a snapshot.
    pub fn restore(text: &str) -> Result<Self, SnapshotError> {
        serde_json::from_str(text).context(SnapshotSnafu { bytes: text.len() })
    }
}

/// Cuts a fold's snapshot into records of at most `part_bytes` of text each.
pub fn snapshot_records(fold: &Fold, part_bytes: usize) -> Vec<Record> {
    let text = fold.snapshot();
    let bodies = cut(&text, part_bytes.max(4));
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

fn cut(text: &str, bytes: usize) -> Vec<&str> {
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

/// Puts snapshots together from their parts, in bounded memory.
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
    assembled: BTreeMap<RecordId, Assembly>,
    newest: Option<Fold>,
}

#[derive(Clone, Debug)]
struct Assembly {
    bodies: BTreeMap<u32, String>,
    end: Offset,
}

impl SnapshotParts {
    /// Adds a part and tells whether it made a snapshot whole that is the newest so far.
    pub fn add(&mut self, part: &SnapshotPart) -> bool {
        if self
            .newest
            .as_ref()
            .is_some_and(|fold| fold.next() >= part.end)
        {
            return false;
        }
        let assembly = self
            .assembled
            .entry(part.snapshot)
            .or_insert_with(|| Assembly {
                bodies: BTreeMap::new(),
                end: part.end,
            });
        assembly.bodies.insert(part.index, part.body.clone());
        if assembly.bodies.len() < part.parts as usize {
            self.forget_oldest();
            return false;
        }
        let text = assembly
            .bodies
            .values()
            .map(String::as_str)
            .collect::<String>();
        self.assembled.remove(&part.snapshot);
        match Fold::restore(&text) {
            Ok(fold) if fold.next() == part.end => {
                self.newest = Some(fold);
                true
            }
            _ => false,
        }
    }

    /// Returns the newest whole snapshot.
    pub fn newest(&self) -> Option<&Fold> {
        self.newest.as_ref()
    }

    /// Takes the newest whole snapshot if the records that follow it are still kept.
    pub fn take_from(&mut self, retained: Offset) -> Option<Fold> {
        self.newest.take_if(|fold| fold.next() >= retained)
    }

    fn forget_oldest(&mut self) {
        if self.assembled.len() <= MAX_ASSEMBLED {
            return;
        }
        let oldest = self
            .assembled
            .iter()
            .min_by_key(|(_, assembly)| assembly.end);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.assembled.remove(&id);
        }
    }
}

/// When to write a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotCadence {
    /// Longest time between snapshots while there are new records.
    pub interval: Millis,
    /// Records after which a snapshot is due.
    pub records: u64,
    /// Share of the retained records, in percent, that may follow the last snapshot.
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

/// Where the log and its last snapshot stand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotPosition {
    /// Offset that the next record gets.
    pub end: Offset,
    /// The oldest offset that is kept.
    pub retained: Offset,
    /// End of the last snapshot.
    pub snapshot: Option<Offset>,
    /// When the last snapshot was read or written.
    pub written: Millis,
}

impl SnapshotCadence {
    /// Tells whether a snapshot is due.
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
        let since = position.end.0.saturating_sub(from.0);
        let kept = position.end.0.saturating_sub(position.retained.0);
        let removes = position.retained > Offset(0);
        since > 0
            && (since >= self.records
                || now - position.written >= self.interval
                || removes && since * 100 >= kept * self.retention_percent)
    }
}
