//! Checks of the configuration in force, derived from which keys work on which hosts.

use std::collections::HashMap;

use godwitspool_types::{HostName, KeyDigest};

use crate::{Bounds, Event, History, Line, Promise, Violation, index::Index};

/// An issued key works on every host within a time limit, until it is withdrawn.
pub(crate) fn in_force(bounds: &Bounds, index: &Index<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (sent, key, outcome) in key_outcomes(index) {
        let Event::Refused { key: true, .. } = outcome.event else {
            continue;
        };
        let Some(issued) = index.issued.get(&key) else {
            continue;
        };
        // A withdrawal may take effect long before its answer arrives, or its answer may be lost.
        // So both the request and the answer count.
        let withdrawals = [index.withdrawing.get(&key), index.withdrawn.get(&key)];
        let valid = withdrawals
            .into_iter()
            .flatten()
            .all(|line| outcome.at < line.at);
        if valid && sent.at > index.deadline(issued.at, bounds.in_force) {
            let reason = format!("a key was refused {} after its issue", sent.at - issued.at);
            let lines = [*issued, sent, outcome];
            violations.push(Violation::new(Promise::ConfigurationInForce, reason, lines));
        }
    }
    violations
}

/// A host never applies a configuration older than one that it has applied before.
pub(crate) fn kept(history: &History, index: &Index<'_>) -> Vec<Violation> {
    let mut violations = reverted_offsets(history);
    violations.extend(reverted_keys(index));
    violations
}

fn reverted_offsets(history: &History) -> Vec<Violation> {
    let mut last = HashMap::<(&HostName, u64), (&Line, _)>::new();
    let mut violations = Vec::new();
    for line in history.lines() {
        let Event::InForce { host, life, offset } = &line.event else {
            continue;
        };
        if let Some((earlier, known)) = last.get(&(host, *life))
            && known > offset
        {
            let reason = format!("{host} reverted from offset {known} to offset {offset}");
            let lines = [*earlier, line];
            violations.push(Violation::new(Promise::ConfigurationKept, reason, lines));
        }
        last.insert((host, *life), (line, *offset));
    }
    violations
}

/// A withdrawn key that a host has refused must not work on that host again.
fn reverted_keys(index: &Index<'_>) -> Vec<Violation> {
    let mut refused = HashMap::<(&HostName, KeyDigest), &Line>::new();
    let mut violations = Vec::new();
    for (sent, key, outcome) in key_outcomes(index) {
        let Event::Sent { host, .. } = &sent.event else {
            continue;
        };
        let Some(withdrawn) = index.withdrawn.get(&key) else {
            continue;
        };
        match &outcome.event {
            Event::Refused { key: true, .. } if outcome.at >= withdrawn.at => {
                refused.entry((host, key)).or_insert(outcome);
            }
            Event::Answered { .. } => {
                let earlier = refused
                    .get(&(host, key))
                    .filter(|earlier| earlier.at < sent.at);
                if let Some(earlier) = earlier {
                    let reason = format!("{host} refused a withdrawn key and accepted it again");
                    let lines = [*withdrawn, *earlier, sent, outcome];
                    violations.push(Violation::new(Promise::ConfigurationKept, reason, lines));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Returns each request that was sent with a key, the key, and each outcome of the request, in
/// order of sending.
fn key_outcomes<'a>(index: &'a Index<'a>) -> impl Iterator<Item = (&'a Line, KeyDigest, &'a Line)> {
    index.sent.iter().flat_map(|sent| {
        let (key, request) = match &sent.event {
            Event::Sent {
                key: Some(key),
                open: false,
                request,
                ..
            } => (Some(*key), *request),
            _ => (None, godwitspool_types::RequestId(0)),
        };
        let outcomes = index.outcomes(request).iter();
        outcomes.filter_map(move |outcome| key.map(|key| (*sent, key, *outcome)))
    })
}
