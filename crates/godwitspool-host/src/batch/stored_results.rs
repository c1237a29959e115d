use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{BatchRecord, ItemProgress, ItemResult, ResultList, wire};
use crate::store::StoredRecord;

/// The item of a result, and the result if it is kept.
type Row = (u32, Option<Arc<ItemResult>>);

/// Results and partial output of batches, assembled from the records of a partition.
#[derive(Debug, Default)]
pub struct StoredResults {
    progress: HashMap<String, Vec<(u32, ItemProgress)>>,
    /// Results by position.
    results: HashMap<String, BTreeMap<u64, Row>>,
    chunks: HashMap<(String, u64), BTreeMap<u32, Vec<u8>>>,
}

/// The results of a batch that the store holds.
#[derive(Clone, Debug, Default)]
pub struct RestoredResults {
    /// The results.
    pub list: ResultList,
    /// The item of each result.
    pub items: Vec<u32>,
}

impl StoredResults {
    /// Assembles the records; those that can't be decoded are skipped with a warning.
    pub fn read(part: u32, records: Vec<StoredRecord>) -> Self {
        let mut assembled = Self::default();
        assembled.add(part, records, &mut |_, _| true);
        assembled
    }

    /// Adds records, in the order of their keys. `keep` is asked for the bytes of each output of a batch; what it
    /// refuses isn't kept.
    pub(super) fn add(
        &mut self,
        part: u32,
        records: impl IntoIterator<Item = StoredRecord>,
        keep: &mut dyn FnMut(&str, usize) -> bool,
    ) {
        for stored in records {
            let added = BatchRecord::read(stored)
                .map_err(|error| error.to_string())
                .and_then(|record| self.add_record(record, keep));
            if let Err(reason) = added {
                log::warn!(partition = part, reason:%; "result record skipped");
            }
        }
    }

    fn add_record(
        &mut self,
        record: BatchRecord,
        keep: &mut dyn FnMut(&str, usize) -> bool,
    ) -> Result<(), String> {
        match record {
            BatchRecord::Progress {
                batch,
                item,
                progress,
            } => {
                if keep(&batch, progress.text.len()) {
                    let known = self.progress.entry(batch).or_default();
                    known.push((item, progress));
                }
            }
            BatchRecord::Result {
                batch,
                position,
                result,
            } => self.put(batch, position, result, keep),
            BatchRecord::ResultChunk {
                batch,
                position,
                index,
                chunk_count,
                bytes,
            } => {
                let key = (batch, position);
                let chunks = self.chunks.entry(key.clone()).or_default();
                chunks.insert(index, bytes);
                if chunks.len() == chunk_count as usize {
                    let chunks = self.chunks.remove(&key).unwrap_or_default();
                    let bytes: Vec<u8> = chunks.into_values().flatten().collect();
                    let result = wire::decode_result(&bytes);
                    let result = result
                        .map_err(|error| format!("result {position} of {}: {error}", key.0))?;
                    self.put(key.0, position, result, keep);
                }
            }
            BatchRecord::End { .. }
            | BatchRecord::EndRemoved { .. }
            | BatchRecord::Chunk { .. }
            | BatchRecord::Removed { .. }
            | BatchRecord::Commit { .. } => {}
        }
        Ok(())
    }

    fn put(
        &mut self,
        batch: String,
        position: u64,
        result: ItemResult,
        keep: &mut dyn FnMut(&str, usize) -> bool,
    ) {
        let item = result.item;
        let kept = keep(&batch, ResultList::memory_of(&result)).then(|| Arc::new(result));
        let results = self.results.entry(batch).or_default();
        results.insert(position, (item, kept));
    }

    /// Removes and returns a batch's results by position, up to the first missing position, because
    /// a read that overlaps an append may lack some of its last results.
    pub fn take_results(&mut self, batch: &str) -> RestoredResults {
        let mut restored = RestoredResults::default();
        for (position, (item, result)) in self.results.remove(batch).unwrap_or_default() {
            if position != restored.items.len() as u64 {
                break;
            }
            restored.items.push(item);
            match result {
                Some(result) => restored.list.push(result),
                None => restored.list.push_stored(),
            }
        }
        restored
    }

    /// Removes and returns the result at a position of a batch, if it is kept.
    pub(super) fn take_at(&mut self, batch: &str, position: u64) -> Option<ItemResult> {
        let (_, result) = self.results.get_mut(batch)?.remove(&position)?;
        result.map(Arc::unwrap_or_clone)
    }

    /// Removes and returns the saved partial output of a batch's items.
    pub fn take_progress(&mut self, batch: &str) -> Vec<(u32, ItemProgress)> {
        self.progress.remove(batch).unwrap_or_default()
    }
}
