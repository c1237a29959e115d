//! What other entries ask on the interactive path.

use std::sync::Arc;

use godwitspool_connection::messages::{ServingAnswer, ServingRequest};
use godwitspool_request::{LimitDemand, SuspectEvent};

use crate::{
    process::shared::Shared,
    request::{keyed, quota, suspicion},
};

/// Answers another entry, or this one where it is itself the home.
pub(crate) fn answer(shared: &Arc<Shared>, message: ServingRequest) -> ServingAnswer {
    match message {
        ServingRequest::AskTrial { host, known } => {
            ServingAnswer::Trial(suspicion::answer_trial(shared, host, known))
        }
        ServingRequest::Claim { host, key, print } => {
            ServingAnswer::Claim(keyed::answer_claim(shared, key, print, &host))
        }
        ServingRequest::Limits {
            arrived,
            host,
            running,
            workspace,
        } => {
            let want = LimitDemand { arrived, running };
            ServingAnswer::Grant(quota::answer(shared, &workspace, &host, want))
        }
        ServingRequest::Probe => ServingAnswer::Here,
        told => {
            take(shared, told);
            ServingAnswer::Done
        }
    }
}

/// Takes what needs no answer.
fn take(shared: &Arc<Shared>, told: ServingRequest) {
    match told {
        ServingRequest::Announce(_) | ServingRequest::Clear(_) => suspicion::hear(shared, &told),
        ServingRequest::Blame {
            part,
            print,
            target,
        } => suspicion::settle(shared, suspicion::blame(part, print, target)),
        ServingRequest::EndTrial { answered, print } => {
            suspicion::settle(
                shared,
                SuspectEvent::TrialEnded {
                    answered,
                    fingerprint: print,
                },
            );
        }
        ServingRequest::HandOver(items) => keyed::take_items(shared, items),
        ServingRequest::Lift(print) => suspicion::settle(shared, SuspectEvent::Lift(print)),
        ServingRequest::Loads(loads) => {
            shared.serving.dispatch.report(&loads);
            shared.rollouts.report(&loads);
        }
        ServingRequest::Release { host, key } => keyed::take_release(shared, key, &host),
        ServingRequest::Settle { fate, key } => keyed::take_fate(shared, key, fate),
        ServingRequest::AskTrial { .. }
        | ServingRequest::Claim { .. }
        | ServingRequest::Limits { .. }
        | ServingRequest::Probe => {}
    }
}
