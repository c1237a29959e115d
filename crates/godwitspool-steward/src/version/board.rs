//! The view that entries wait for.

use std::{
    collections::BTreeSet,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use godwitspool_connection::{
    messages::{Member, View},
    platform::{TargetEntry, TargetState},
};
use godwitspool_types::TargetName;
use godwitspool_version::{Fold, TargetAction};

/// The current view, with a wake-up for those that wait for its next revision.
#[derive(Debug, Default)]
pub(crate) struct Board {
    changed: Condvar,
    posted: Mutex<Posted>,
}

#[derive(Debug, Default)]
struct Posted {
    /// When the log's end was last confirmed.
    confirmed: Option<Instant>,
    /// Targets as the platform lists them.
    listed: Vec<TargetEntry>,
    /// Targets that an order is about to stop.
    stopping: BTreeSet<TargetName>,
    view: View,
}

impl Board {
    /// Takes over what the log's records have put in force.
    pub(crate) fn set_fold(&self, fold: &Fold) {
        self.update(|posted| {
            if posted.view.offset >= fold.next() {
                return;
            }
            posted.view.configuration = Arc::clone(fold.configuration());
            posted.view.offset = fold.next();
            posted.view.quarantined = fold.quarantine().keys().copied().collect();
            posted.stopping = stopping(fold);
        });
    }

    /// Takes over the platform's list of targets.
    pub(crate) fn set_targets(&self, targets: Vec<TargetEntry>) {
        self.update(|posted| posted.listed = targets);
    }

    /// Takes over the members.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        self.update(|posted| posted.view.members = members);
    }

    /// Returns the targets as entries see them.
    pub(crate) fn targets(&self) -> Vec<TargetEntry> {
        self.lock().view.targets.clone()
    }

    /// Notes how long ago all of the log was in force.
    pub(crate) fn confirm(&self, age: godwitspool_types::Millis) {
        let mut posted = self.lock();
        if posted.confirmed.is_none() {
            posted.view.revision += 1;
            self.changed.notify_all();
        }
        posted.confirmed = Instant::now().checked_sub(age.duration());
    }

    /// Returns the time since all of the log was in force; none before the first time.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.lock().confirmed.map(|at| at.elapsed())
    }

    /// Waits until the revision differs from `known`, at most for `bound`.
    ///
    /// None until the log has been folded up to its end: a configuration that lacks records would
    /// refuse keys that are in force.
    pub(crate) fn wait(&self, known: u64, bound: Duration) -> Option<View> {
        let same = |posted: &mut Posted| posted.view.revision == known;
        let (posted, _) = self
            .changed
            .wait_timeout_while(self.lock(), bound, same)
            .unwrap_or_else(PoisonError::into_inner);
        let confirmed = posted.confirmed?;
        let age_ms = confirmed.elapsed().as_millis() as u64;
        Some(View {
            age_ms,
            ..posted.view.clone()
        })
    }

    /// Changes what is posted; counts a revision if the view differs.
    fn update(&self, change: impl FnOnce(&mut Posted)) {
        let mut posted = self.lock();
        let before = posted.view.clone();
        change(&mut posted);
        posted.view.targets = posted
            .listed
            .iter()
            .map(|listed| drained(listed, &posted.stopping))
            .collect();
        if posted.view != before {
            posted.view.revision += 1;
            self.changed.notify_all();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Posted> {
        self.posted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn stopping(fold: &Fold) -> BTreeSet<TargetName> {
    let stops = fold
        .orders()
        .open
        .iter()
        .filter_map(|open| match &open.intent.action {
            TargetAction::Start(_) => None,
            TargetAction::Stop(names) => Some(names),
        });
    stops.flatten().cloned().collect()
}

/// A target that is about to be stopped takes no new work, whatever the platform's list says yet.
fn drained(listed: &TargetEntry, stopping: &BTreeSet<TargetName>) -> TargetEntry {
    let mut entry = listed.clone();
    if entry.state == TargetState::Live && stopping.contains(&entry.target) {
        entry.state = TargetState::Leaving;
    }
    entry
}
