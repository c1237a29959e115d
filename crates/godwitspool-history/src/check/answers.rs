//! Checks of the answers and refusals that callers got.

use std::collections::HashMap;

use godwitspool_types::{HostName, Millis, Ran};

use crate::{Answer, Event, History, Line, Promise, Violation, index::Index};

/// Reasons that an entry gives when a request failed on too many targets.
const TARGET_FAILURE_REASONS: [&str; 2] = ["quarantined", "retries-spent"];

/// An answer that ends as complete is complete and belongs to the caller's request.
pub(crate) fn whole(history: &History) -> Vec<Violation> {
    let broken = history.lines().iter().filter_map(|line| {
        let answer = match &line.event {
            Event::Answered { answer, .. } | Event::Delivered { answer, .. } => *answer,
            _ => return None,
        };
        let reason = match answer {
            Answer::Cut => "an answer that ended as complete is truncated",
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
        // A caller may send the same request several times, and another sending may have run. Only
        // runs between this sending and the next one count.
        let ran = index.received_after(*work, sent.at);
        if !ran.is_empty() {
            let lines = [*sent, *refusal].into_iter().chain(ran.iter().copied());
            let reason = "a target received a request that was refused as not run";
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
            let reason = format!(
                "targets received a non-idempotent request {} times",
                ran.len()
            );
            violations.push(Violation::new(Promise::RunsOnce, reason, lines));
        }
    }
    violations
}

/// A graceful shutdown interrupts no request.
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
        // An answer is interrupted on purpose when its key is withdrawn.
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
        if outcomes.iter().any(|line| is_target_failure(&line.event)) {
            continue;
        }
        let during = shutdowns.iter().find(|shutdown| {
            sent.at < shutdown.line.at && (shutdown.line.at..=shutdown.end).contains(&broken.at)
        });
        if let Some(shutdown) = during {
            let reason = format!("a request was interrupted while {host} was shutting down");
            let lines = [*sent, shutdown.line, *broken];
            violations.push(Violation::new(Promise::Shutdown, reason, lines));
        }
    }
    violations
}

/// Returns whether an answer ended because of failures of its targets, which a shutdown doesn't
/// cause.
fn is_target_failure(event: &Event) -> bool {
    let Event::Explained { reason, .. } = event else {
        return false;
    };
    TARGET_FAILURE_REASONS.contains(&reason.as_str())
}

/// A graceful shutdown of a host, from the recorded line until the host starts again.
struct Shutdown<'a> {
    end: Millis,
    line: &'a Line,
}

/// Returns the graceful shutdowns of each host, in order of time.
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
