//! Records on their way to the log.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, mpsc::Receiver},
};

use godwitspool_connection::http::PlatformApi;
use godwitspool_process::Tick;
use godwitspool_version::{AppendBudget, AppendCounts, Record, Stream};

use crate::process::shared::{Shared, lock};

/// Records that wait to be appended, each stream within its budget.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    budget: Mutex<AppendBudget>,
}

impl Outbox {
    /// Queues a record; false when too many of its stream wait.
    pub(crate) fn offer(&self, record: Record) -> bool {
        lock(&self.budget).offer(record)
    }

    /// Returns what became of each stream's records.
    pub(crate) fn counts(&self) -> BTreeMap<Stream, AppendCounts> {
        lock(&self.budget).counts()
    }
}

/// Appends what the budget lets go, until the timer ends.
pub(crate) fn run(shared: &Arc<Shared>, ticks: &Receiver<Tick>) {
    while ticks.recv().is_ok() {
        flush(shared);
    }
}

/// Appends what the budget lets go now.
pub(crate) fn flush(shared: &Shared) {
    let batch = lock(&shared.outbox.budget).take_batch(shared.clock.now());
    if batch.is_empty() {
        return;
    }
    let texts = batch.iter().map(Record::encode).collect::<Vec<_>>();
    match shared.platform.append(&texts) {
        Ok(_) => {
            for record in &batch {
                shared
                    .counts
                    .appends
                    .count(Stream::of(&record.body).as_str());
            }
        }
        Err(error) => {
            shared.counts.append_errors.count(match error.ran() {
                godwitspool_types::Ran::NotRun => "refused",
                _ => "answer-lost",
            });
            log::warn!(records = batch.len(); "not appended: {error}");
            offer_again(shared, batch);
        }
    }
}

/// Queues records again under the same identities, so a second copy is harmless. Lease steps and
/// snapshots are made anew by those who want them.
fn offer_again(shared: &Shared, batch: Vec<Record>) {
    for record in batch {
        match Stream::of(&record.body) {
            Stream::Lease | Stream::Snapshot => {}
            Stream::Configuration | Stream::Order | Stream::Usage | Stream::Weights => {
                shared.append_record(record);
            }
        }
    }
}
