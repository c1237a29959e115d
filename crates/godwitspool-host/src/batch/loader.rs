//! Submissions as they are read from the records of a partition.

use std::collections::{BTreeMap, HashMap};

use super::BatchRecord;
use crate::store::StoredRecord;

/// Size of a submission up to which its chunks are kept until its closing record is read. Larger ones are
/// read once more, into memory that is taken before.
const MAX_KEPT_BYTES: usize = 1024 * 1024;
/// Bytes of chunks that are kept of all submissions. Those whose callers have given up have no closing record.
const MAX_ALL_BYTES: usize = 4 * 1024 * 1024;

/// Finds submissions among the records of a partition.
#[derive(Debug, Default)]
pub struct Assembly {
    chunks: HashMap<String, BTreeMap<u32, Vec<u8>>>,
    /// Bytes of all chunks.
    kept: usize,
}

/// What a record changes.
#[derive(Debug, Eq, PartialEq)]
pub enum Change {
    /// A batch was accepted.
    Accepted(Accepted),
    /// A batch was ended by its caller.
    Ended {
        /// Key of the batch.
        key: String,
        /// When it was ended, in milliseconds since 1970, if the record tells.
        ended_ms: Option<u64>,
    },
    /// The record of a batch's end was removed.
    EndRemoved(String),
    /// Another record of a batch was removed.
    Removed(String),
}

/// A submission of which the store has all chunks.
#[derive(Debug, Eq, PartialEq)]
pub struct Accepted {
    /// Key of the batch.
    pub key: String,
    /// Number of chunks.
    pub chunks: u32,
    /// The encoded submission, unless it has to be read from the store.
    pub bytes: Option<Vec<u8>>,
}

impl Assembly {
    /// Reads records; those that can't be decoded are skipped with a warning.
    pub fn read(&mut self, part: u32, records: Vec<StoredRecord>) -> Vec<Change> {
        let mut changes = Vec::new();
        for stored in records {
            match BatchRecord::read(stored) {
                Ok(BatchRecord::Chunk {
                    batch,
                    index,
                    bytes,
                }) => self.keep(&batch, index, bytes),
                Ok(BatchRecord::Commit { batch, chunk_count }) => {
                    changes.push(Change::Accepted(self.join(batch, chunk_count)));
                }
                Ok(BatchRecord::End {
                    batch: key,
                    ended_ms,
                }) => changes.push(Change::Ended { key, ended_ms }),
                Ok(BatchRecord::EndRemoved { batch }) => changes.push(Change::EndRemoved(batch)),
                Ok(BatchRecord::Removed { batch }) => {
                    self.take(&batch);
                    changes.push(Change::Removed(batch));
                }
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

    fn keep(&mut self, batch: &str, index: u32, bytes: Vec<u8>) {
        self.kept += bytes.len();
        let chunks = self.chunks.entry(batch.to_owned()).or_default();
        let replaced = chunks.insert(index, bytes);
        self.kept -= replaced.map_or(0, |bytes| bytes.len());
        if chunks.values().map(Vec::len).sum::<usize>() > MAX_KEPT_BYTES {
            self.take(batch);
        }
        if self.kept > MAX_ALL_BYTES {
            self.chunks.clear();
            self.kept = 0;
        }
    }

    fn take(&mut self, batch: &str) -> BTreeMap<u32, Vec<u8>> {
        let chunks = self.chunks.remove(batch).unwrap_or_default();
        self.kept -= chunks.values().map(Vec::len).sum::<usize>();
        chunks
    }

    fn join(&mut self, key: String, count: u32) -> Accepted {
        let chunks = self.take(&key);
        let whole = chunks.len() == count as usize;
        Accepted {
            key,
            chunks: count,
            bytes: whole.then(|| chunks.into_values().collect::<Vec<_>>().concat()),
        }
    }
}
