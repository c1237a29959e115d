//! Saves the partial output of unfinished items, so that a new owner of the partition can resume
//! them if this host is lost.

use std::{thread, time::Duration};

use super::record::split_calls;
use crate::{
    StoreBounds,
    process::Shared,
    store::{Record, Store, Topic},
};

/// Time between two saves. It is a fraction of the time until a lost host's partitions are assigned
/// to others, so that little output has to be generated again.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum number of new events for which a record is written: about as many as an item generates
/// between two saves.
const MIN_SAVE_EVENTS: u64 = 20;

/// Saves the partial output of the items in the owned partitions periodically until the process
/// drains.
pub fn save_running(shared: &Shared) {
    let bounds = shared.settings.store;
    while !shared.is_draining() {
        thread::sleep(SAVE_INTERVAL);
        for (part, records) in shared.owned_batches.unsaved(MIN_SAVE_EVENTS, &bounds) {
            save_progress(shared.store.as_ref(), part, records, &bounds);
        }
    }
}

/// Appends records of partial output. Returns whether all appends succeeded.
///
/// The appends carry no epoch, so an earlier owner is not fenced off: any owner may continue from
/// partial output, whoever generated it. A failed append is not retried: a later save covers the
/// output, or it is generated again.
pub fn save_progress(
    store: &dyn Store,
    part: u32,
    records: Vec<Record>,
    bounds: &StoreBounds,
) -> bool {
    split_calls(records, bounds)
        .iter()
        .filter(|call| !call.is_empty())
        .all(|call| {
            let appended = store.append(Topic::Results, part, call, None);
            if let Err(error) = &appended {
                log::info!(partition = part, items = call.len(), error:%; "progress not saved");
            }
            appended.is_ok()
        })
}
