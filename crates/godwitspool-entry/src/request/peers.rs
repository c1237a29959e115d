//! Messages of other entries about callers' requests.

use std::sync::Arc;

use godwitspool_connection::messages::{ServingAnswer, ServingRequest};
use godwitspool_request::{LimitDemand, SuspectEvent};

use crate::{
    process::shared::Shared,
    request::{idempotency, quota, suspicion},
};

/// Answers a message of another entry, or of this one if it is itself the home host.
pub(crate) fn answer(shared: &Arc<Shared>, message: ServingRequest) -> ServingAnswer {
    match message {
        ServingRequest::AskTrial { host, known } => {
            ServingAnswer::Trial(suspicion::answer_trial(shared, host, known))
        }
        ServingRequest::Claim { host, key, print } => {
            ServingAnswer::Claim(idempotency::answer_claim(shared, key, print, &host))
        }
        ServingRequest::Limits {
            arrived,
            host,
            running,
            workspace,
        } => {
            let demand = LimitDemand { arrived, running };
            ServingAnswer::Grant(quota::answer(shared, &workspace, &host, demand))
        }
        ServingRequest::Probe => ServingAnswer::Here,
        notice => {
            handle_notification(shared, notice);
            ServingAnswer::Done
        }
    }
}

/// Handles a message that needs no answer.
fn handle_notification(shared: &Arc<Shared>, notice: ServingRequest) {
    match notice {
        ServingRequest::Announce(_) | ServingRequest::Clear(_) => suspicion::apply(shared, &notice),
        ServingRequest::Blame {
            part,
            print,
            target,
        } => suspicion::handle_event(shared, suspicion::blamed(part, print, target)),
        ServingRequest::EndTrial { answered, print } => {
            suspicion::handle_event(
                shared,
                SuspectEvent::TrialEnded {
                    answered,
                    fingerprint: print,
                },
            );
        }
        ServingRequest::HandOver(items) => idempotency::accept_items(shared, items),
        ServingRequest::Lift(print) => suspicion::handle_event(shared, SuspectEvent::Lift(print)),
        ServingRequest::Loads(loads) => {
            shared.serving.dispatch.report(&loads);
            shared.rollouts.report(&loads);
        }
        ServingRequest::Release { host, key } => idempotency::release_claim(shared, key, &host),
        ServingRequest::Settle { fate, key } => idempotency::record_fate(shared, key, fate),
        ServingRequest::AskTrial { .. }
        | ServingRequest::Claim { .. }
        | ServingRequest::Limits { .. }
        | ServingRequest::Probe => {}
    }
}
