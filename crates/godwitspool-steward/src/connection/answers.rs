//! Answers requests of entries and other stewards.

use std::{sync::Arc, time::Duration};

use godwitspool_connection::messages::{StewardAnswer, StewardRequest};
use godwitspool_types::Millis;

use crate::{
    process::shared::Shared,
    version::{orders, usage},
};

/// Longest time that a view request waits for a change.
const MAX_VIEW_WAIT: Duration = Duration::from_secs(1);
/// Longest time that a request for the log's next records waits for one.
const MAX_TAIL_WAIT: Millis = Millis(1_000);

/// Answers one request. A view or tail request may block for up to a second.
pub(crate) fn answer(shared: &Arc<Shared>, request: StewardRequest) -> StewardAnswer {
    match request {
        StewardRequest::View(known) => match shared.current_view.wait(known, MAX_VIEW_WAIT) {
            Some(view) => StewardAnswer::View(Box::new(view)),
            None => StewardAnswer::NotReady,
        },
        StewardRequest::Demand(demand) => {
            orders::record_demand(shared, demand);
            StewardAnswer::Done
        }
        StewardRequest::HeldUsage => StewardAnswer::Usage(usage::held(shared)),
        StewardRequest::HoldUsage(records) => {
            usage::hold(shared, records);
            StewardAnswer::Done
        }
        StewardRequest::Snapshot => shared.reader.snapshot(),
        StewardRequest::Tail(from) => shared.reader.tail(from, MAX_TAIL_WAIT),
    }
}
