//! Follows the stewards' view: the own host's steward first, another while that one is silent.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use godwitspool_connection::{
    messages::{StewardAnswer, StewardRequest},
    peer::{Link, LinkBounds},
};
use godwitspool_types::Millis;

use crate::process::shared::Shared;

/// Longer than a steward holds a view request back.
const ANSWER_TIMEOUT: Millis = Millis(2_500);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Follows the stewards until the entry stops.
pub(crate) fn follow(shared: &Arc<Shared>) {
    let mut next = 0;
    while !shared.stopped() {
        let stewards = stewards(shared);
        let address = stewards[next % stewards.len()];
        let bounds = LinkBounds::default().with_answer_timeout(ANSWER_TIMEOUT);
        follow_one(shared, &Link::new(address, bounds));
        next += 1;
        if !shared.stopped() {
            thread::sleep(RETRY_PAUSE);
        }
    }
}

/// Lists the own steward, then the others of the data centre.
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

fn follow_one(shared: &Arc<Shared>, link: &Link<StewardRequest, StewardAnswer>) {
    let mut known = 0;
    while !shared.stopped() {
        match link.call(&StewardRequest::View(known)) {
            Ok(StewardAnswer::View(view)) => {
                known = view.revision;
                shared.replace_view(*view);
            }
            Ok(answer) => {
                log::info!("steward {} gave no view: {answer:?}", link.address());
                return;
            }
            Err(error) => {
                log::warn!("steward {} is not reached: {error}", link.address());
                return;
            }
        }
    }
}
