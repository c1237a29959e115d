use std::{collections::BTreeMap, time::Duration};

use godwitspool_types::Millis;

use crate::store::{Record, Store, StoreError, StoredRecord, Tail, Topic, read_all};

/// A copy of a keyed partition that is updated by reading the partition's tail. Records that are
/// older than the known ones are ignored.
#[derive(Debug, Default)]
pub struct Mirror {
    records: BTreeMap<String, (u64, Option<Vec<u8>>)>,
    /// Offset after the last record read; `None` until the keys have been read once.
    next: Option<u64>,
    /// Time of the last update from the store; `None` before the first one.
    pub confirmed: Option<Millis>,
}

/// A change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MirrorChange {
    /// Offset of the new record.
    pub offset: u64,
    /// Key that has changed.
    pub key: String,
    /// New value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

impl Mirror {
    /// Returns the offset from which [`Self::fetch`] continues; `None` if all keys have to be read.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Applies records and returns the changes. Records that are not newer than the known ones are
    /// ignored.
    pub fn apply(&mut self, records: impl IntoIterator<Item = StoredRecord>) -> Vec<MirrorChange> {
        let mut changes = Vec::new();
        for StoredRecord { offset, record } in records {
            let known = self.records.get(&record.key);
            if known.is_some_and(|(known, _)| *known >= offset) {
                continue;
            }
            let Record { key, value } = record;
            self.records.insert(key.clone(), (offset, value.clone()));
            changes.push(MirrorChange { offset, key, value });
        }
        changes
    }

    /// Replaces the content by all keys of the partition. Known keys that are not among them, and
    /// that are older than `end`, count as removed.
    pub fn replace(&mut self, records: Vec<StoredRecord>, end: u64) -> Vec<MirrorChange> {
        let held: Vec<&str> = records
            .iter()
            .map(|stored| stored.record.key.as_str())
            .collect();
        let gone: Vec<StoredRecord> = self
            .records
            .iter()
            .filter(|(key, (offset, value))| {
                value.is_some() && *offset < end && !held.contains(&key.as_str())
            })
            .map(|(key, (offset, _))| StoredRecord {
                // One more than the known offset, so that any later record of the key is newer.
                offset: offset + 1,
                record: Record::tombstone(key.clone()),
            })
            .collect();
        self.next = Some(end);
        let mut changes = self.apply(records);
        changes.extend(self.apply(gone));
        changes
    }

    /// Applies a tail and continues after it.
    pub fn follow(&mut self, tail: Tail) -> Vec<MirrorChange> {
        self.next = Some(tail.next);
        self.apply(tail.records)
    }

    /// Reads the records from `next` on, waiting up to `wait` for the first one; reads all keys if
    /// `next` is `None` or no longer retained.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer.
    pub fn fetch(
        store: &dyn Store,
        topic: Topic,
        next: Option<u64>,
        wait: Duration,
    ) -> Result<Fetched, StoreError> {
        let Some(next) = next else {
            let (records, end) = read_all(store, topic, 0, None, |_| true)?;
            return Ok(Fetched::All { records, end });
        };
        match store.read(topic, 0, next, wait) {
            Ok(tail) => Ok(Fetched::Tail(tail)),
            Err(StoreError::Gone { .. }) => Self::fetch(store, topic, None, wait),
            Err(error) => Err(error),
        }
    }

    /// Applies the outcome of [`Self::fetch`] and returns the changes.
    pub fn update(&mut self, fetched: Fetched, now: Millis) -> Vec<MirrorChange> {
        self.confirmed = Some(now);
        match fetched {
            Fetched::All { records, end } => self.replace(records, end),
            Fetched::Tail(tail) => self.follow(tail),
        }
    }
}

/// The outcome of [`Mirror::fetch`].
#[derive(Clone, Debug)]
pub enum Fetched {
    /// All keys of the partition.
    All {
        /// Newest record of each key.
        records: Vec<StoredRecord>,
        /// Offset from which the tail continues.
        end: u64,
    },
    /// Records that follow the last read.
    Tail(Tail),
}
