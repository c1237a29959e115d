//! Records of batches and results in the store.

use std::sync::Arc;

use rapidhash::v3::rapidhash_v3;
use snafu::Snafu;

use super::{ItemProgress, ItemResult, Submission, batch_id, batch_key, wire};
use crate::{
    StoreBounds,
    store::{Record, StoredRecord},
};

/// Last part of the key of the record that marks a batch as ended.
const END_KIND: &str = "e";
/// Bytes of a record that are reserved for its key and framing.
const RECORD_OVERHEAD_BYTES: usize = 256;

/// Returns the number of the partition that stores a batch, given with its key. All hosts must compute the
/// same one. It follows from the identifier alone.
pub fn partition_of(batch: &str, parts: u32) -> u32 {
    (rapidhash_v3(batch_id(batch).as_bytes()) % u64::from(parts.max(1))) as u32
}

/// A decoded record of the topics `Batches` and `Results`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchRecord {
    /// A chunk of an encoded submission.
    Chunk {
        /// Identifier of the batch.
        batch: String,
        /// Index of the chunk, starting at 0.
        index: u32,
        /// Bytes of the chunk.
        bytes: Vec<u8>,
    },
    /// Marks a submission as complete; it is appended after all chunks.
    Commit {
        /// Identifier of the batch.
        batch: String,
        /// Number of chunks of the submission.
        chunk_count: u32,
    },
    /// Marks a batch as ended by its caller.
    End {
        /// Identifier of the batch.
        batch: String,
        /// When it was ended, in milliseconds since 1970; `None` if an earlier build has stored the record.
        ended_ms: Option<u64>,
    },
    /// Partial output of an item that hasn't ended.
    Progress {
        /// Identifier of the batch.
        batch: String,
        /// Index of the item in the batch.
        item: u32,
        /// Partial output of the item.
        progress: ItemProgress,
    },
    /// A result that fits into one record.
    Result {
        /// Identifier of the batch.
        batch: String,
        /// Position of the result in the batch's list of results.
        position: u64,
        /// Result of the item.
        result: ItemResult,
    },
    /// A chunk of a result that doesn't fit into one record.
    ResultChunk {
        /// Identifier of the batch.
        batch: String,
        /// Position of the result in the batch's list of results.
        position: u64,
        /// Index of the chunk, starting at 0.
        index: u32,
        /// Number of chunks of the result.
        chunk_count: u32,
        /// Bytes of the chunk.
        bytes: Vec<u8>,
    },
    /// A tombstone for the mark of the batch's end.
    EndRemoved {
        /// Identifier of the batch.
        batch: String,
    },
    /// A tombstone for another one of the batch's keys.
    Removed {
        /// Identifier of the batch.
        batch: String,
    },
}

/// A record of a batch can't be decoded.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("record {key}: {reason}"))]
pub struct RecordError {
    key: String,
    reason: String,
}

impl BatchRecord {
    /// Returns the appends that store a submission, in order. The last record of the last append is
    /// the [`Self::Commit`].
    pub fn of_submission(submission: &Submission, bounds: &StoreBounds) -> Vec<Vec<Record>> {
        EncodedSubmission::new(submission.clone(), bounds)
            .calls()
            .collect()
    }

    /// Returns a record that changes nothing. An owner appends it to learn whether it has been fenced.
    pub fn of_check() -> Record {
        Record::tombstone("/check")
    }

    /// Returns the record that marks a batch as ended. Builds before this one stored it without the time.
    pub fn of_end(batch: &str, ended_ms: u64) -> Record {
        let value = [&[1], &ended_ms.to_be_bytes()[..]].concat();
        Record::new(end_key(batch), value)
    }

    /// Returns the tombstone for the mark of a batch's end.
    pub fn of_removed_end(batch: &str) -> Record {
        Record::tombstone(end_key(batch))
    }

    /// Returns tombstones for a submission and its end mark, and tombstones for its results.
    pub fn of_removal(
        submission: &Submission,
        results: &[Arc<ItemResult>],
        bounds: &StoreBounds,
    ) -> (Vec<Record>, Vec<Record>) {
        let id = submission.key();
        let chunks = wire::encoded_length(submission).div_ceil(chunk_bytes(bounds));
        let stored = (0..=chunks).map(|index| chunk_key(id, index, chunks));
        let mut batch: Vec<Record> = stored.map(Record::tombstone).collect();
        // A batch that an earlier build stored is ended under the key that it would have now.
        let own = batch_key(Some(&submission.workspace), &submission.id);
        batch.push(Self::of_removed_end(id));
        if own != id {
            batch.push(Self::of_removed_end(&own));
        }
        let result_records = results.iter().enumerate();
        let result_records = result_records
            .flat_map(|(position, result)| Self::of_result(id, position as u64, result, bounds));
        let results = result_records
            .map(|record| Record::tombstone(record.key))
            .collect();
        (batch, results)
    }

    /// Returns the records of a result, which must be part of one append.
    pub fn of_result(
        batch: &str,
        position: u64,
        result: &ItemResult,
        bounds: &StoreBounds,
    ) -> Vec<Record> {
        let bytes = wire::encode_result(result);
        let size = chunk_bytes(bounds);
        if bytes.len() <= size {
            return vec![Record::new(format!("{batch}/r{position:08}"), bytes)];
        }
        let chunk_count = bytes.len().div_ceil(size) as u32;
        let chunks = bytes.chunks(size).enumerate();
        chunks
            .map(|(index, chunk)| {
                let value = [&chunk_count.to_be_bytes()[..], chunk].concat();
                Record::new(format!("{batch}/q{position:08}.{index:05}"), value)
            })
            .collect()
    }

    /// Returns the record of an item's partial output; `None` if it doesn't fit into one record.
    pub fn of_progress(
        batch: &str,
        item: u32,
        progress: &ItemProgress,
        bounds: &StoreBounds,
    ) -> Option<Record> {
        let value = wire::encode_progress(progress);
        let fits = value.len() + RECORD_OVERHEAD_BYTES <= bounds.record_bytes;
        fits.then(|| Record::new(Self::progress_key(batch, item), value))
    }

    /// Returns the key of the record with an item's partial output.
    pub fn progress_key(batch: &str, item: u32) -> String {
        format!("{batch}/p{item:08}")
    }

    /// Returns the key behind which a batch's results of one record sort, from a position on.
    pub fn results_from(batch: &str, position: u64) -> String {
        match position.checked_sub(1) {
            Some(before) => format!("{batch}/r{before:08}"),
            None => format!("{batch}/r"),
        }
    }

    /// Returns the key behind which the chunks of the result at a position sort.
    pub fn result_chunks(batch: &str, position: u64) -> String {
        format!("{batch}/q{position:08}.")
    }

    /// Returns the prefix of a batch's keys, after which all of them sort.
    pub fn key_prefix(batch: &str) -> String {
        format!("{batch}/")
    }

    /// Returns whether a key belongs to a batch.
    pub fn belongs(key: &str, batch: &str) -> bool {
        key.strip_prefix(batch)
            .is_some_and(|rest| rest.starts_with('/'))
    }

    /// Returns whether the key is that of a result or of a part of one.
    ///
    /// ```
    /// use godwitspool_host::batch::BatchRecord;
    ///
    /// assert!(BatchRecord::is_of_result("batch/r00000000"));
    /// assert!(BatchRecord::is_of_result("batch/q00000000.00001"));
    /// assert!(!BatchRecord::is_of_result("batch/p00000000"));
    /// ```
    pub fn is_of_result(key: &str) -> bool {
        let kind = key.rsplit_once('/').map(|(_, kind)| kind);
        kind.is_some_and(|kind| kind.starts_with(['q', 'r']))
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails if the key or the value has an unknown format.
    pub fn read(stored: StoredRecord) -> Result<Self, RecordError> {
        let Record { key, value } = stored.record;
        let wrong = |reason: &str| RecordError {
            key: key.clone(),
            reason: reason.to_owned(),
        };
        let (batch, kind) = key
            .rsplit_once('/')
            .ok_or_else(|| wrong("the key has no kind"))?;
        let batch = batch.to_owned();
        let Some(value) = value else {
            return Ok(if kind == END_KIND {
                Self::EndRemoved { batch }
            } else {
                Self::Removed { batch }
            });
        };
        let number = |digits: &str| {
            digits
                .parse::<u64>()
                .ok()
                .ok_or_else(|| wrong("the key has no valid number"))
        };
        match kind.split_at_checked(1) {
            Some(("b", digits)) => Ok(Self::Chunk {
                batch,
                index: number(digits)? as u32,
                bytes: value,
            }),
            Some(("c", "")) => {
                let chunk_count = value
                    .try_into()
                    .ok()
                    .ok_or_else(|| wrong("the value has no chunk count"))?;
                Ok(Self::Commit {
                    batch,
                    chunk_count: u32::from_be_bytes(chunk_count),
                })
            }
            Some((END_KIND, "")) => {
                let time = value.get(1..).and_then(|time| time.try_into().ok());
                Ok(Self::End {
                    batch,
                    ended_ms: time.map(u64::from_be_bytes),
                })
            }
            Some(("p", digits)) => Ok(Self::Progress {
                batch,
                item: number(digits)? as u32,
                progress: wire::decode_progress(&value).map_err(|error| wrong(&error))?,
            }),
            Some(("q", place)) => {
                let (position, index) = place
                    .split_once('.')
                    .ok_or_else(|| wrong("the key has no chunk index"))?;
                let (chunk_count, bytes) = value
                    .split_first_chunk()
                    .ok_or_else(|| wrong("the value has no chunk count"))?;
                Ok(Self::ResultChunk {
                    position: number(position)?,
                    index: number(index)? as u32,
                    chunk_count: u32::from_be_bytes(*chunk_count),
                    bytes: bytes.to_vec(),
                    batch,
                })
            }
            Some(("r", digits)) => Ok(Self::Result {
                batch,
                position: number(digits)?,
                result: wire::decode_result(&value).map_err(|error| wrong(&error))?,
            }),
            _ => Err(wrong("unknown kind of key")),
        }
    }
}

/// A submission as the store keeps it. It makes the records of one append at a time, since all of them
/// would be a second copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedSubmission {
    bounds: StoreBounds,
    bytes: Vec<u8>,
    id: String,
}

impl EncodedSubmission {
    /// Encodes a submission.
    pub fn new(submission: Submission, bounds: &StoreBounds) -> Self {
        Self {
            bounds: *bounds,
            id: submission.key().to_owned(),
            bytes: wire::encode_submission(submission),
        }
    }

    /// Returns the appends that store the submission, as [`BatchRecord::of_submission`] does.
    pub fn calls(&self) -> impl Iterator<Item = Vec<Record>> {
        let mut next = 0;
        std::iter::from_fn(move || {
            let mut call = Vec::new();
            let mut used = 0;
            // The closing record follows the last chunk.
            while next <= self.chunk_count() {
                let record = self.record(next);
                used += call_length(&record);
                if used > self.bounds.call_bytes && !call.is_empty() {
                    break;
                }
                call.push(record);
                next += 1;
            }
            (!call.is_empty()).then_some(call)
        })
    }

    fn record(&self, index: usize) -> Record {
        let value = self.bytes.chunks(chunk_bytes(&self.bounds)).nth(index);
        let count = (self.chunk_count() as u32).to_be_bytes();
        let key = chunk_key(&self.id, index, self.chunk_count());
        Record::new(key, value.unwrap_or(&count))
    }

    fn chunk_count(&self) -> usize {
        self.bytes.len().div_ceil(chunk_bytes(&self.bounds))
    }
}

/// Returns the key of the record that marks a batch as ended.
fn end_key(batch: &str) -> String {
    format!("{batch}/{END_KIND}")
}

fn chunk_bytes(bounds: &StoreBounds) -> usize {
    let size = bounds.record_bytes;
    size.saturating_sub(RECORD_OVERHEAD_BYTES).max(1)
}

/// Returns the key of a submission's record: of one of `count` chunks, or of the closing record behind them.
fn chunk_key(batch: &str, index: usize, count: usize) -> String {
    if index == count {
        format!("{batch}/c")
    } else {
        format!("{batch}/b{index:05}")
    }
}

/// Returns what a record counts towards [`StoreBounds::call_bytes`].
fn call_length(record: &Record) -> usize {
    record.value.as_ref().map_or(0, Vec::len) + RECORD_OVERHEAD_BYTES
}

/// Splits records into appends that stay within [`StoreBounds::call_bytes`].
pub fn split_calls(records: Vec<Record>, bounds: &StoreBounds) -> Vec<Vec<Record>> {
    let mut calls: Vec<Vec<Record>> = vec![Vec::new()];
    let mut used = 0;
    for record in records {
        let length = call_length(&record);
        if used + length > bounds.call_bytes {
            calls.push(Vec::new());
            used = 0;
        }
        used += length;
        if let Some(call) = calls.last_mut() {
            call.push(record);
        }
    }
    calls
}
