//! Checks a history against every promise.

mod answers;
mod configuration;
mod control;
mod keys;
mod samples;

use crate::{Bounds, History, Violation, index::Index};

/// Returns every violation of a promise that the history shows.
///
/// ```
/// use godwitspool_history::{Bounds, History, check};
///
/// assert!(check(&History::default(), &Bounds::default()).is_empty());
/// ```
pub fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(history);
    let mut violations = Vec::new();
    violations.extend(samples::versions(history));
    violations.extend(samples::staleness(history, bounds, &index));
    violations.extend(samples::once(history));
    violations.extend(keys::isolation(bounds, &index));
    violations.extend(keys::hidden(history));
    violations.extend(keys::withdrawn(bounds, &index));
    violations.extend(control::orders(history));
    violations.extend(control::windows(history));
    violations.extend(control::leaving(history, bounds, &index));
    violations.extend(answers::whole(history));
    violations.extend(answers::not_run(&index));
    violations.extend(answers::runs_once(&index));
    violations.extend(answers::shutdown(history, &index));
    violations.extend(configuration::in_force(bounds, &index));
    violations.extend(configuration::kept(history, &index));
    violations
}
