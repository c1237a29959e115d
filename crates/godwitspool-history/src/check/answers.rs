//! Checks of what callers were told.

use std::collections::HashMap;

use godwitspool_types::{HostName, Millis, Ran};

use crate::{Answer, Event, History, Line, Promise, Violation, index::Index};

/// Reasons that an entry gives when targets failed a request too often.
const TARGETS_REASONS: [&str; 2] = ["quarantined", "retries-spent"];

/// A caller gets the whole answer to its own request.
pub(crate) fn whole(history: &History) -> Vec<Violation> {
    let broken = history.lines().iter().filter_map(|line| {
        let answer = match &line.event {
            Event::Answered { answer, .. } | Event::Delivered { answer, .. } => *answer,
            _ => return None,
        };
        let reason = match answer {
            Answer::Cut => "an answer that was told to be complete is cut",
            Answer::Foreign => "an answer belongs to another request",
            Answer::Whole => return None,
        };
        Some(Violation::new(Promise::WholeAnswer, reason, [line]))
    });
    broken.collect()
}

/// A refusal that says "not run" is true.
pub(crate) fn not_run(index: &Index<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for sent in &index.sent {
        let Event::Sent { request, work, .. } = &sent.event else {
            continue;
        };
        let refusal = index.outcomes(*request).iter().find(|line| {
            matches!(
                line.event,
                Event::Refused {
                    ran: Ran::NotRun,
                    ..
                }
            )
        });
        let Some(refusal) = refusal else {
            continue;
        };
        // A caller may send the same again, and the earlier sending may have run.
        let ran = index.received_after(*work, sent.at);
        if !ran.is_empty() {
            let lines = [*sent, *refusal].into_iter().chain(ran.iter().copied());
            let reason = "a target got a request that was refused as not run";
            violations.push(Violation::new(Promise::NotRun, reason, lines));
        }
    }
    violations
}

/// A non-idempotent request runs at most once.
pub(crate) fn runs_once(index: &Index<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for sent in &index.sent {
        let Event::Sent {
            repeatable: false,
            work,
            ..
        } = &sent.event
        else {
            continue;
        };
        let ran = index.received(*work);
        if ran.len() > 1 {
            let lines = [*sent].into_iter().chain(ran.iter().copied());
            let reason = format!("targets got it {} times", ran.len());
            violations.push(Violation::new(Promise::RunsOnce, reason, lines));
        }
    }
    violations
}

/// A graceful shutdown cuts no request.
pub(crate) fn shutdown(history: &History, index: &Index<'_>) -> Vec<Violation> {
    let shutdowns = shutdowns(history);
    let mut violations = Vec::new();
    for sent in &index.sent {
        let Event::Sent {
            host, key, request, ..
        } = &sent.event
        else {
            continue;
        };
        let outcomes = index.outcomes(*request);
        // An answer whose key is being withdrawn is to be cut.
        let withdrawing = key.and_then(|key| index.withdrawing.get(&key));
        let broken = outcomes
            .iter()
            .find(|line| matches!(line.event, Event::Broken(_)));
        let (Some(broken), Some(shutdowns)) = (broken, shutdowns.get(host)) else {
            continue;
        };
        if withdrawing.is_some_and(|withdrawing| withdrawing.at <= broken.at) {
            continue;
        }
        if outcomes.iter().any(|line| is_of_targets(&line.event)) {
            continue;
        }
        let cut = shutdowns.iter().find(|shutdown| {
            sent.at < shutdown.line.at && (shutdown.line.at..=shutdown.end).contains(&broken.at)
        });
        if let Some(shutdown) = cut {
            let reason = format!("a request was cut while {host} was shutting down");
            let lines = [*sent, shutdown.line, *broken];
            violations.push(Violation::new(Promise::Shutdown, reason, lines));
        }
    }
    violations
}

/// Tells whether an answer was ended for what its targets did, which no shutdown brings about.
fn is_of_targets(event: &Event) -> bool {
    let Event::Explained { reason, .. } = event else {
        return false;
    };
    TARGETS_REASONS.contains(&reason.as_str())
}

struct Shutdown<'a> {
    end: Millis,
    line: &'a Line,
}

fn shutdowns(history: &History) -> HashMap<&HostName, Vec<Shutdown<'_>>> {
    let mut shutdowns = HashMap::<_, Vec<Shutdown<'_>>>::new();
    for line in history.lines() {
        match &line.event {
            Event::Stopping(host) => {
                let shutdown = Shutdown {
                    end: Millis::MAX,
                    line,
                };
                shutdowns.entry(host).or_default().push(shutdown);
            }
            Event::Started(host) => {
                let last = shutdowns
                    .get_mut(host)
                    .and_then(|shutdowns| shutdowns.last_mut());
                if let Some(last) = last {
                    last.end = line.at;
                }
            }
            _ => {}
        }
    }
    shutdowns
}
