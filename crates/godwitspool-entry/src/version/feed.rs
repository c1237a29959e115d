//! Follows the stewards' view. This host's own steward comes first; when a steward doesn't answer,
//! the feed moves on to the next one of the data centre.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use godwitspool_connection::{
    messages::{StewardAnswer, StewardRequest},
    peer::{Link, LinkBounds},
};
use godwitspool_types::Millis;

use crate::process::shared::Shared;

/// A steward delays its answer until the view changes; this is longer than its longest delay.
const ANSWER_TIMEOUT: Millis = Millis(2_500);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Follows the stewards in turn until the entry stops.
pub(crate) fn follow(shared: &Arc<Shared>) {
    let mut next = 0;
    while !shared.stopped() {
        let stewards = stewards(shared);
        let address = stewards[next % stewards.len()];
        let bounds = LinkBounds::default().with_answer_timeout(ANSWER_TIMEOUT);
        follow_one(shared, &Link::new(address, bounds));
        next += 1;
        if !shared.stopped() {
            thread::sleep(RETRY_DELAY);
        }
    }
}

/// Lists this host's steward, then the others of the data centre.
fn stewards(shared: &Shared) -> Vec<SocketAddr> {
    let own = shared.settings.steward;
    let view = shared.view();
    let others = view
        .members
        .iter()
        .filter(|member| member.dc == shared.settings.dc);
    let others = others
        .map(|member| member.steward)
        .filter(|&steward| steward != own);
    [own].into_iter().chain(others).collect()
}

/// Follows one steward until it fails or the entry stops.
fn follow_one(shared: &Arc<Shared>, link: &Link<StewardRequest, StewardAnswer>) {
    let mut known_revision = 0;
    while !shared.stopped() {
        match link.call(&StewardRequest::View(known_revision)) {
            Ok(StewardAnswer::View(view)) => {
                known_revision = view.revision;
                shared.replace_view(*view);
            }
            Ok(answer) => {
                log::info!(
                    "steward {} didn't answer with a view: {answer:?}",
                    link.address()
                );
                return;
            }
            Err(error) => {
                log::warn!(
                    "can't get the view from steward {}: {error}",
                    link.address()
                );
                return;
            }
        }
    }
}
