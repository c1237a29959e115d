//! Records that wait to be appended to the log.

use std::{
    collections::BTreeMap,
    sync::{Arc, mpsc::Receiver},
};

use godwitspool_connection::http::PlatformApi;
use godwitspool_process::Tick;
use godwitspool_sync::Mutex;
use godwitspool_version::{AppendBudget, AppendCounts, Record, Stream};

use crate::process::shared::{Shared, lock};

/// Queues of records to append, one per stream, each with an append budget.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    budget: Mutex<AppendBudget>,
}

impl Outbox {
    /// Queues a record. Returns false if the queue of its stream is full.
    pub(crate) fn offer(&self, record: Record) -> bool {
        lock(&self.budget).offer(record)
    }

    /// Returns the numbers of appended, refused and waiting records of each stream.
    pub(crate) fn counts(&self) -> BTreeMap<Stream, AppendCounts> {
        lock(&self.budget).counts()
    }
}

/// Appends queued records at each tick until the timer stops.
pub(crate) fn run(shared: &Arc<Shared>, ticks: &Receiver<Tick>) {
    while ticks.recv().is_ok() {
        flush(shared);
    }
}

/// Appends the queued records that the budget allows now, in one call.
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
            log::warn!(records = batch.len(); "can't append records to the log: {error}");
            requeue(shared, batch);
        }
    }
}

/// Queues records again after a failed append. They keep their identities, so a second copy has no
/// effect. Lease and snapshot records are dropped, because their authors create new ones.
fn requeue(shared: &Shared, batch: Vec<Record>) {
    for record in batch {
        match Stream::of(&record.body) {
            Stream::Lease | Stream::Snapshot => {}
            Stream::Configuration | Stream::Order | Stream::Usage | Stream::Weights => {
                shared.append_record(record);
            }
        }
    }
}
