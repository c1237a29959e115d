use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{BatchRecord, ItemProgress, ItemResult, wire};
use crate::store::StoredRecord;

/// Results and partial output of batches, assembled from the records of a partition.
#[derive(Debug, Default)]
pub struct StoredResults {
    progress: HashMap<String, Vec<(u32, ItemProgress)>>,
    results: HashMap<String, BTreeMap<u64, Arc<ItemResult>>>,
    chunks: HashMap<(String, u64), BTreeMap<u32, Vec<u8>>>,
}

impl StoredResults {
    /// Assembles the records; those that can't be decoded are skipped with a warning.
    pub fn read(part: u32, records: Vec<StoredRecord>) -> Self {
        let mut assembled = Self::default();
        for stored in records {
            let added = BatchRecord::read(stored)
                .map_err(|error| error.to_string())
                .and_then(|record| assembled.add(record));
            if let Err(reason) = added {
                log::warn!(partition = part, reason:%; "result record skipped");
            }
        }
        assembled
    }

    fn add(&mut self, record: BatchRecord) -> Result<(), String> {
        match record {
            BatchRecord::Progress {
                batch,
                item,
                progress,
            } => {
                let known = self.progress.entry(batch).or_default();
                known.push((item, progress));
            }
            BatchRecord::Result {
                batch,
                position,
                result,
            } => self.put(batch, position, result),
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
                    self.put(key.0, position, result);
                }
            }
            BatchRecord::End { .. }
            | BatchRecord::Chunk { .. }
            | BatchRecord::Removed { .. }
            | BatchRecord::Commit { .. } => {}
        }
        Ok(())
    }

    fn put(&mut self, batch: String, position: u64, result: ItemResult) {
        let results = self.results.entry(batch).or_default();
        results.insert(position, Arc::new(result));
    }

    /// Removes and returns a batch's results by position, up to the first missing position, because
    /// a read that overlaps an append may lack some of its last results.
    pub fn take_results(&mut self, batch: &str) -> Vec<Arc<ItemResult>> {
        let results = self.results.remove(batch).unwrap_or_default();
        let complete = results.into_iter().enumerate();
        let complete = complete.take_while(|(index, (position, _))| *index as u64 == *position);
        complete.map(|(_, (_, result))| result).collect()
    }

    /// Removes and returns the saved partial output of a batch's items.
    pub fn take_progress(&mut self, batch: &str) -> Vec<(u32, ItemProgress)> {
        self.progress.remove(batch).unwrap_or_default()
    }
}
