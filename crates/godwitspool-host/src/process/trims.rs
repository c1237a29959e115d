use std::{
    collections::HashMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::Shared;
use crate::store::{Store, StoreError, Topic};

/// Interval at which the results of a partition are trimmed. What running items save meanwhile stays in the store.
const TRIM_INTERVAL: Duration = Duration::from_secs(20);
/// Interval at which it is checked what has to be trimmed.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Sorts behind the keys of all records.
const BEHIND_ALL_KEYS: &str = "\u{7f}";

/// A partition's last trim.
#[derive(Clone, Copy, Debug)]
struct Trim {
    before: u64,
    at: Instant,
}

/// Removes superseded records of results from the store, until the process drains.
///
/// Load pattern: the output of running items is saved each second, and a save supersedes the one before. The store
/// keeps what was superseded until it expires, minutes later, and a busy store has no room left before that. The
/// newest record of each key stays, whoever trims, so nothing that is read by keys is lost. Nobody
/// follows this topic by offsets but a copy, which is read anew if its next offset is gone. A partition of which
/// there is only a copy is trimmed at once, since the store has no room.
pub(super) fn trim_results(shared: &Arc<Shared>) {
    let mut trims: HashMap<u32, Trim> = HashMap::new();
    while !shared.is_draining() {
        thread::sleep(CHECK_INTERVAL);
        for (part, copied) in shared.owned_batches.served() {
            let last = trims.get(&part).copied();
            let due = last.is_none_or(|last| copied || last.at.elapsed() >= TRIM_INTERVAL);
            if !due {
                continue;
            }
            match trim(shared.store.as_ref(), part, last) {
                Ok(before) => {
                    let at = Instant::now();
                    trims.insert(part, Trim { before, at });
                }
                Err(error) => {
                    log::info!(partition = part, error:%; "superseded results not trimmed");
                }
            }
        }
    }
}

/// Trims a partition's results before their end, and returns the end.
fn trim(store: &dyn Store, part: u32, last: Option<Trim>) -> Result<u64, StoreError> {
    let end = store
        .newest(Topic::Results, part, Some(BEHIND_ALL_KEYS))?
        .end;
    if last.is_none_or(|last| last.before != end) {
        store.trim(Topic::Results, part, end)?;
    }
    Ok(end)
}
