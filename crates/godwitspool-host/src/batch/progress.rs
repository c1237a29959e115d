//! Saves what items have generated, so that another owner goes on where this one was lost.

use std::{thread, time::Duration};

use super::record::split_calls;
use crate::{
    StoreBounds,
    process::Shared,
    store::{Keyed, Store, Topic},
};

/// Time between two saves: a part of the time until a lost host's partitions are dealt to others,
/// so that what is generated again is small beside it.
const SAVE_PERIOD: Duration = Duration::from_secs(1);
/// Events that are worth a record: about as many as an item generates between two saves.
const SAVE_EVENTS: u64 = 20;

/// Saves what the items of the owned partitions generate until the process drains.
pub fn save_running(shared: &Shared) {
    let bounds = shared.settings.store;
    while !shared.is_draining() {
        thread::sleep(SAVE_PERIOD);
        for (part, records) in shared.owned_batches.unsaved(SAVE_EVENTS, &bounds) {
            save_progress(shared.store.as_ref(), part, records, &bounds);
        }
    }
}

/// Appends what items have generated; tells whether all of it was.
///
/// No epoch shuts out an earlier owner here: whoever generated it, it is the beginning of a text
/// with which any owner may go on. It isn't repeated either: what fails is saved with what follows,
/// or generated again.
pub fn save_progress(
    store: &dyn Store,
    part: u32,
    records: Vec<Keyed>,
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
