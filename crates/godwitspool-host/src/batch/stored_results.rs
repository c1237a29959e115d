use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{BatchRecord, ItemProgress, ItemResult};
use crate::store::StoredRecord;

/// Results and progress of batches, put together from a partition's records.
#[derive(Debug, Default)]
pub struct StoredResults {
    progress: HashMap<String, Vec<(u32, ItemProgress)>>,
    results: HashMap<String, BTreeMap<u64, Arc<ItemResult>>>,
    chunks: HashMap<(String, u64), BTreeMap<u32, Vec<u8>>>,
}

impl StoredResults {
    /// Puts records together; unreadable ones are left out.
    pub fn read(part: u32, records: Vec<StoredRecord>) -> Self {
        let mut listed = Self::default();
        for stored in records {
            let added = BatchRecord::read(stored)
                .map_err(|error| error.to_string())
                .and_then(|record| listed.add(record));
            if let Err(reason) = added {
                log::warn!(partition = part, reason:%; "result record left out");
            }
        }
        listed
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
                    let result = postcard::from_bytes(&bytes);
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

    /// Takes a batch's results out, in their positions up to the first that isn't there: a read that
    /// overlaps an append may lack its last ones.
    pub fn take_results(&mut self, batch: &str) -> Vec<Arc<ItemResult>> {
        let results = self.results.remove(batch).unwrap_or_default();
        let whole = results.into_iter().enumerate();
        let whole = whole.take_while(|(index, (position, _))| *index as u64 == *position);
        whole.map(|(_, (_, result))| result).collect()
    }

    /// Takes out what was saved of a batch's items.
    pub fn take_progress(&mut self, batch: &str) -> Vec<(u32, ItemProgress)> {
        self.progress.remove(batch).unwrap_or_default()
    }
}
