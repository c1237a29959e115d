//! Checks of target orders, usage reports and leaving targets.

use std::collections::{BTreeMap, HashMap};

use godwitspool_types::{HostName, TargetName, Term};

use crate::{Bounds, Event, History, Line, Promise, Violation, index::Index};

/// The lease holder that acted last.
struct Holder<'a> {
    host: &'a HostName,
    line: &'a Line,
    term: Term,
}

impl<'a> Holder<'a> {
    /// Records an action under a lease. Returns the earlier line and the reason if the action shows
    /// two lease holders at the same time.
    fn observe(
        last: &mut Option<Self>,
        host: &'a HostName,
        term: Term,
        line: &'a Line,
    ) -> Option<(&'a Line, String)> {
        let broken = last.as_ref().and_then(|last| {
            if term < last.term {
                let reason = format!("{host} acted under term {term} after term {}", last.term);
                return Some((last.line, reason));
            }
            (term == last.term && host != last.host).then(|| {
                let reason = format!("{host} and {} both acted under term {term}", last.host);
                (last.line, reason)
            })
        });
        if last.as_ref().is_none_or(|last| term >= last.term) {
            *last = Some(Self { host, line, term });
        }
        broken
    }
}

/// The platform never gets target orders from two processes that both act as the lease holder.
pub(crate) fn orders(history: &History) -> Vec<Violation> {
    let mut last = None;
    let mut violations = Vec::new();
    for line in history.lines() {
        let Event::Ordered { host, term, .. } = &line.event else {
            continue;
        };
        if let Some((earlier, reason)) = Holder::observe(&mut last, host, *term, line) {
            let lines = [earlier, line];
            violations.push(Violation::new(Promise::OneOrderHolder, reason, lines));
        }
    }
    violations
}

/// No usage window is reported with different figures, or by two processes that both act as the
/// lease holder.
pub(crate) fn windows(history: &History) -> Vec<Violation> {
    let mut last = None;
    let mut first = BTreeMap::new();
    let mut violations = Vec::new();
    for line in history.lines() {
        let Event::Reported {
            figures,
            host,
            term,
            window,
        } = &line.event
        else {
            continue;
        };
        if let Some((earlier, reason)) = Holder::observe(&mut last, host, *term, line) {
            violations.push(Violation::new(Promise::OneWindow, reason, [earlier, line]));
        }
        let (earlier, known) = *first.entry(*window).or_insert((line, *figures));
        if known != *figures {
            let reason = format!("window {window} was reported with different figures");
            violations.push(Violation::new(Promise::OneWindow, reason, [earlier, line]));
        }
    }
    violations
}

/// A leaving target gets no new work after a time limit.
pub(crate) fn leaving(history: &History, bounds: &Bounds, index: &Index<'_>) -> Vec<Violation> {
    let mut leaving_since = HashMap::<&TargetName, &Line>::new();
    let mut violations = Vec::new();
    for line in history.lines() {
        match &line.event {
            Event::Leaving(target) => {
                leaving_since.entry(target).or_insert(line);
            }
            Event::Received { target, .. } => {
                let leaving = leaving_since.get(target);
                let late = leaving.filter(|left| line.at > index.deadline(left.at, bounds.leaving));
                if let Some(left) = late {
                    let reason = format!(
                        "{target} received work {} after it started to leave",
                        line.at - left.at
                    );
                    let lines = [*left, line];
                    violations.push(Violation::new(Promise::LeavingTarget, reason, lines));
                }
            }
            _ => {}
        }
    }
    violations
}
