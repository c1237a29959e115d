//! Batches as the store holds them, read a page at a time into memory that was taken before.

use std::sync::Arc;

use snafu::Snafu;

use super::{
    BatchRecord, ItemResult, ResultList, StoredResults, Submission, registry::MAX_PAGE_BYTES, wire,
};
use crate::{
    http::Reservation,
    store::{Store, StoreError, StoredRecord, Topic},
};

/// A submission and its results by position.
pub type StoredBatch = (Arc<Submission>, Vec<Arc<ItemResult>>);

/// Why a submission wasn't read.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum LoadError {
    /// The store doesn't answer.
    #[snafu(display("{error}"))]
    Store {
        /// The store's error.
        error: StoreError,
    },
    /// There is no memory for it.
    #[snafu(display("no memory for {wanted} bytes"))]
    NoMemory {
        /// The submission without its items.
        head: Box<Submission>,
        /// Bytes that it needs at least.
        wanted: usize,
    },
}

impl LoadError {
    /// Returns whether the store hasn't answered, or has refused the read.
    ///
    /// ```
    /// use godwitspool_host::{batch::LoadError, store::StoreError};
    ///
    /// let reason = String::new();
    /// assert!(LoadError::from(StoreError::Unknown { reason: reason.clone() }).is_outage());
    /// assert!(!LoadError::from(StoreError::Unreadable { reason }).is_outage());
    /// ```
    pub fn is_outage(&self) -> bool {
        let outage = |error: &StoreError| {
            matches!(
                error,
                StoreError::NotDone { .. } | StoreError::Unknown { .. }
            )
        };
        matches!(self, Self::Store { error } if outage(error))
    }
}

impl From<StoreError> for LoadError {
    fn from(error: StoreError) -> Self {
        Self::Store { error }
    }
}

/// Returns the bytes that a submission takes while it is decoded and in a batch that runs, from its encoded
/// length and the first bytes.
pub(super) fn needed_bytes(first: &[u8], length: usize) -> Result<(Submission, usize), String> {
    let (head, count) = wire::decode_head(first)?;
    // More items than bytes are a lie, which decoding finds out.
    let items = count.min(length) * super::Items::bytes_per_item();
    Ok((head, length + items))
}

/// Reads a submission that the store has accepted; `None` if there is none. `chunks` is the number of its
/// chunks if that is known, and `memory` grows by what it takes.
///
/// # Errors
///
/// Fails if the store doesn't answer, or there is no memory.
pub fn read_submission(
    store: &dyn Store,
    part: u32,
    batch: &str,
    chunks: Option<u32>,
    memory: &mut Reservation,
) -> Result<Option<Submission>, LoadError> {
    let mut reader = SubmissionReader {
        batch,
        chunks,
        bytes: Vec::new(),
        head: Submission::default(),
        next: 0,
        whole: false,
    };
    let mut after = BatchRecord::key_prefix(batch);
    while !reader.whole {
        let page = store.newest(Topic::Batches, part, Some(&after))?;
        let last = page.records.last().map(|stored| stored.record.key.clone());
        for stored in page.records {
            if !BatchRecord::belongs(&stored.record.key, batch) {
                return Ok(None);
            }
            if !reader.add(stored, memory)? {
                return Ok(None);
            }
            if reader.whole {
                break;
            }
        }
        match last {
            Some(last) if page.more => after = last,
            _ => break,
        }
    }
    if !reader.whole {
        return Ok(None);
    }
    let mut wanted = memory.bytes();
    let decoded = wire::decode_submission(reader.bytes, &mut |bytes| {
        wanted += bytes;
        memory.grow_or_reclaim(bytes)
    });
    let mut submission = match decoded {
        Ok(Some(submission)) => submission,
        Ok(None) => {
            let head = Box::new(reader.head);
            return Err(LoadError::NoMemory { head, wanted });
        }
        Err(reason) => {
            log::warn!(partition = part, batch, reason:%; "stored submission can't be decoded");
            return Ok(None);
        }
    };
    submission.stored_key = (submission.id != batch).then(|| batch.to_owned());
    memory.resize(submission.items.memory_in_batch());
    Ok(Some(submission))
}

/// Puts the chunks of a submission together.
struct SubmissionReader<'a> {
    batch: &'a str,
    chunks: Option<u32>,
    bytes: Vec<u8>,
    head: Submission,
    /// Index of the next chunk.
    next: u32,
    /// Whether the closing record was read.
    whole: bool,
}

impl SubmissionReader<'_> {
    /// Adds a record. Returns false if the submission isn't whole.
    fn add(&mut self, stored: StoredRecord, memory: &mut Reservation) -> Result<bool, LoadError> {
        match BatchRecord::read(stored) {
            Ok(BatchRecord::Chunk { index, bytes, .. }) if index == self.next => {
                self.next += 1;
                if !self.reserve(&bytes, memory)? {
                    return Ok(false);
                }
                self.bytes.extend_from_slice(&bytes);
                Ok(true)
            }
            Ok(BatchRecord::Commit { chunk_count, .. }) => {
                self.whole = true;
                Ok(chunk_count == self.next)
            }
            Ok(_) => Ok(false),
            Err(error) => {
                log::warn!(batch = self.batch, error:%; "batch record can't be decoded");
                Ok(false)
            }
        }
    }

    /// Takes the memory for a chunk: with the first one for all, if their number is known.
    fn reserve(&mut self, chunk: &[u8], memory: &mut Reservation) -> Result<bool, LoadError> {
        let mut wanted = memory.bytes();
        if self.bytes.is_empty() {
            let length = chunk.len() * self.chunks.unwrap_or(1).max(1) as usize;
            let Ok((head, needed)) = needed_bytes(chunk, length) else {
                return Ok(false);
            };
            self.head = head;
            self.head.stored_key = (self.head.id != self.batch).then(|| self.batch.to_owned());
            wanted = needed;
            if memory.grow_or_reclaim(needed) {
                self.bytes.reserve_exact(length);
                return Ok(true);
            }
        } else if self.bytes.len() + chunk.len() <= self.bytes.capacity() {
            return Ok(true);
        } else if memory.grow_or_reclaim(chunk.len()) {
            self.bytes.reserve_exact(chunk.len());
            return Ok(true);
        }
        Err(LoadError::NoMemory {
            head: Box::new(std::mem::take(&mut self.head)),
            wanted: wanted + chunk.len(),
        })
    }
}

/// Reads a page of a batch's results from a position on, at least one if there is one.
///
/// # Errors
///
/// Fails if the store doesn't answer.
pub fn read_results(
    store: &dyn Store,
    part: u32,
    batch: &str,
    from: u64,
) -> Result<Vec<Arc<ItemResult>>, StoreError> {
    let mut results = Vec::new();
    let mut used = 0;
    let mut add = |results: &mut Vec<Arc<ItemResult>>, result: ItemResult| {
        used += ResultList::memory_of(&result);
        results.push(Arc::new(result));
        used >= MAX_PAGE_BYTES
    };
    let mut after = BatchRecord::results_from(batch, from);
    loop {
        let page = store.newest(Topic::Results, part, Some(&after))?;
        let mut over = !page.more;
        for stored in page.records {
            if !BatchRecord::belongs(&stored.record.key, batch) {
                over = true;
                break;
            }
            after.clone_from(&stored.record.key);
            let Ok(BatchRecord::Result {
                position, result, ..
            }) = BatchRecord::read(stored)
            else {
                continue;
            };
            // Results that need several records are stored elsewhere.
            while from + (results.len() as u64) < position {
                let next = from + results.len() as u64;
                let Some(large) = read_large_result(store, part, batch, next)? else {
                    return Ok(results);
                };
                if add(&mut results, large) {
                    return Ok(results);
                }
            }
            if add(&mut results, result) {
                return Ok(results);
            }
        }
        if over {
            break;
        }
    }
    loop {
        let next = from + results.len() as u64;
        let Some(large) = read_large_result(store, part, batch, next)? else {
            return Ok(results);
        };
        if add(&mut results, large) {
            return Ok(results);
        }
    }
}

/// Reads a result that is stored in several records; `None` if there is none at the position.
fn read_large_result(
    store: &dyn Store,
    part: u32,
    batch: &str,
    position: u64,
) -> Result<Option<ItemResult>, StoreError> {
    let prefix = BatchRecord::result_chunks(batch, position);
    let mut after = prefix.clone();
    let mut stored = StoredResults::default();
    loop {
        let page = store.newest(Topic::Results, part, Some(&after))?;
        let count = page.records.len();
        let records = page.records.into_iter();
        let own: Vec<StoredRecord> = records
            .take_while(|stored| stored.record.key.starts_with(&prefix))
            .collect();
        let last = own.last().map(|stored| stored.record.key.clone());
        let over = !page.more || own.len() < count;
        stored.add(part, own, &mut |_, _| true);
        match last {
            Some(last) if !over => after = last,
            _ => return Ok(stored.take_at(batch, position)),
        }
    }
}
