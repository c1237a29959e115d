use std::{collections::BTreeMap, time::Duration};

use godwitspool_types::Millis;

use crate::store::{Record, Store, StoreError, StoredRecord, Tail, Topic, read_all};

/// A copy of a keyed partition, kept current by reading its tail. Only moves forward.
#[derive(Debug, Default)]
pub struct Mirror {
    records: BTreeMap<String, (u64, Option<Vec<u8>>)>,
    /// Offset behind the last record read; `None` until the keys were read once.
    next: Option<u64>,
    /// When the store answered last.
    pub confirmed: Option<Millis>,
}

/// A record that changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MirrorChange {
    /// Offset.
    pub offset: u64,
    /// Key.
    pub key: String,
    /// New content; `None` once removed.
    pub value: Option<Vec<u8>>,
}

impl Mirror {
    /// Returns what a wait for news needs: the offset to read from, or `None` when the keys are to
    /// be read anew.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Takes over records and returns those that are newer than what was known.
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

    /// Takes over all keys of the partition: keys that are known and not among them are gone.
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
                // Just behind the record that was known, so that a later record counts again.
                offset: offset + 1,
                record: Record::tombstone(key.clone()),
            })
            .collect();
        self.next = Some(end);
        let mut changes = self.apply(records);
        changes.extend(self.apply(gone));
        changes
    }

    /// Takes over a tail.
    pub fn follow(&mut self, tail: Tail) -> Vec<MirrorChange> {
        self.next = Some(tail.next);
        self.apply(tail.records)
    }

    /// Reads all keys, or what follows the last read.
    ///
    /// # Errors
    ///
    /// When the store doesn't answer.
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

    /// Takes over what was fetched.
    pub fn update(&mut self, fetched: Fetched, now: Millis) -> Vec<MirrorChange> {
        self.confirmed = Some(now);
        match fetched {
            Fetched::All { records, end } => self.replace(records, end),
            Fetched::Tail(tail) => self.follow(tail),
        }
    }
}

/// What a fetch brought.
#[derive(Clone, Debug)]
pub enum Fetched {
    /// All keys.
    All {
        /// Newest record of each key.
        records: Vec<StoredRecord>,
        /// Offset from which the tail goes on.
        end: u64,
    },
    /// What follows the last read.
    Tail(Tail),
}
