//! Removal of batches whose time is over.

use super::{TTL_MARGIN, Task, calls};
use crate::{
    batch::{BatchChange, BatchRecord, Expired, batch_id},
    process::unix_ms,
    store::{Record, Topic},
};

impl Task {
    /// Removes the records of expired batches, and of ends whose batch never came; returns `None` once the
    /// partition is lost or closed.
    pub(super) fn expire(&self) -> Option<()> {
        let ttl = self.ttl + TTL_MARGIN;
        let Expired { kept, stored, ends } = self.registry.expired(self.part, unix_ms(), ttl);
        let tombstones = ends.iter().map(|key| BatchRecord::of_removed_end(key));
        self.remove_records(Topic::Batches, tombstones.collect())?;
        for key in ends {
            self.apply(BatchChange::EndRemoved(key));
        }
        // The submission goes last, so that an owner that is lost in between leaves nothing that no
        // owner would remove.
        for (submission, results) in kept {
            let (batch, results) = BatchRecord::of_removal(&submission, &results, &self.bounds);
            self.remove_records(Topic::Results, results)?;
            self.remove_records(Topic::Batches, batch)?;
            self.forget(submission.key());
        }
        for key in stored {
            for topic in [Topic::Results, Topic::Batches] {
                let after = Some(BatchRecord::key_prefix(&key));
                self.each_page(topic, after, |records| {
                    let count = records.len();
                    let keys = records.into_iter().map(|stored| stored.record.key);
                    let own = keys.take_while(|stored| BatchRecord::belongs(stored, &key));
                    let tombstones: Vec<Record> = own.map(Record::tombstone).collect();
                    let goes_on = tombstones.len() == count;
                    self.remove_records(topic, tombstones)?;
                    Some(goes_on)
                })?;
            }
            self.forget(&key);
        }
        Some(())
    }

    /// Appends tombstones; returns `None` once the partition is lost or closed.
    fn remove_records(&self, topic: Topic, tombstones: Vec<Record>) -> Option<()> {
        for call in calls(tombstones, &self.bounds) {
            if topic == Topic::Results {
                self.append_results("remove results", &call)?;
            } else {
                let append = || self.store.append(topic, self.part, &call, None);
                self.retry_call("remove batch", append)?;
            }
        }
        Some(())
    }

    fn forget(&self, key: &str) {
        log::info!(batch = batch_id(key), partition = self.part; "batch removed: its TTL is over");
        self.apply(BatchChange::Removed(key.to_owned()));
        self.positions().remove(key);
    }
}
