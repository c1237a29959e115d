//! What is left to do of an item before a run of it starts.

use std::sync::Arc;

use godwitspool_types::{Millis, ServiceName};

use super::{Batch, EVENT_TOKENS, RouteLengths};
use crate::{
    process::Shared,
    version::{Fleet, PlaceRequest, Work},
};

/// Discards the partial output of an item, given with the current time, if its version can't continue
/// it: no target serves that version any more, and there is a newer one.
pub(super) fn discard_stranded(
    shared: &Shared,
    fleet: &Fleet,
    service: &ServiceName,
    batch: &mut Batch,
    (index, now): (usize, Millis),
) {
    let submission = Arc::clone(&batch.submission);
    let model = &submission.model;
    if let Some(version) = batch.pinned_version(index)
        && !fleet.has_version(service, model, version, now)
        && shared.newest_version(model) > version
    {
        log::info!(
            batch:% = submission.id, item = submission.items.view(index).map(|item| item.id), version,
            events:? = batch.items[index].progress.last_event;
            "output discarded: no target has its version any more"
        );
        batch.discard_output(index);
    }
}

/// Returns whether an item is to be tried again later, since no target that serves the version of its partial output
/// has room, while one with another version has. Once it has waited for long enough, its output is discarded.
pub(super) fn awaits_version(
    fleet: &Fleet,
    batch: &mut Batch,
    index: usize,
    request: PlaceRequest<'_>,
) -> bool {
    let submission = Arc::clone(&batch.submission);
    let versions = submission.min_version..=u64::MAX;
    let Some(other) = fleet.place(&PlaceRequest {
        versions: &versions,
        ..request
    }) else {
        return false;
    };
    let done = batch.items[index].progress.last_event.unwrap_or_default();
    let redo_ms = other.speed.run_ms(done as f64);
    if !batch.await_version(index, Millis(redo_ms as u64), request.now) {
        log::info!(
            batch:% = submission.id, item = submission.items.view(index).map(|item| item.id), events = done,
            redo_ms = redo_ms.round();
            "output discarded: no target of its version has room"
        );
        batch.discard_output(index);
    }
    true
}

/// Returns the work that is left of an item.
pub(super) fn work_left(
    lengths: &RouteLengths,
    shared: &Shared,
    batch: &Batch,
    index: usize,
) -> Work {
    let submission = &batch.submission;
    let spec = submission.items.view(index).unwrap_or_default();
    let done = batch.items[index].progress.last_event.unwrap_or_default();
    let prompt = shared.dialect.prompt(&spec);
    Work {
        events: lengths.events_left(submission, spec.hint, done),
        tokens: prompt.tokens as f64 + done as f64 * EVENT_TOKENS,
        usual_events: lengths.usual(submission),
        ..Work::default()
    }
}
