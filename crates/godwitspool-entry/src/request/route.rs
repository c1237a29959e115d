//! Which target a request goes to.

use std::sync::Arc;

use godwitspool_connection::{
    messages::View,
    platform::{TargetEntry, TargetState},
};
use godwitspool_types::ServiceName;

use crate::process::shared::Shared;

/// Picks the live target of a service with the fewest of this entry's requests in flight, in the
/// own data centre if there is one.
pub(crate) fn pick<'a>(
    shared: &Arc<Shared>,
    view: &'a View,
    service: &ServiceName,
    tried: &[&TargetEntry],
) -> Option<&'a TargetEntry> {
    view.targets
        .iter()
        .filter(|target| target.service == *service && target.state == TargetState::Live)
        .filter(|target| !tried.iter().any(|other| other.target == target.target))
        .min_by_key(|target| {
            (
                target.dc != shared.settings.dc,
                shared.in_flight(&target.target),
            )
        })
}
