//! The current view, which entries poll for changes.

use std::{
    collections::BTreeSet,
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use godwitspool_connection::{
    messages::{Member, View},
    platform::{TargetEntry, TargetState},
};
use godwitspool_sync::{Condvar, Mutex, MutexGuard};
use godwitspool_types::TargetName;
use godwitspool_version::{Fold, TargetAction};

/// The current view. Threads can wait for its next revision.
#[derive(Debug, Default)]
pub(crate) struct CurrentView {
    changed: Condvar,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Last time at which the fold was known to include all of the log.
    confirmed: Option<Instant>,
    /// Targets as the platform lists them, before those in `stopping` are marked.
    listed: Vec<TargetEntry>,
    /// Whether the platform's list has named a host so far.
    hosts_listed: bool,
    /// Targets that an open order is to stop.
    stopping: BTreeSet<TargetName>,
    view: View,
}

impl CurrentView {
    /// Sets the configuration, the quarantine and the targets to stop from a fold, unless the view
    /// already includes its records.
    pub(crate) fn set_fold(&self, fold: &Fold) {
        self.update(|inner| {
            if inner.view.offset >= fold.next() {
                return;
            }
            inner.view.configuration = Arc::clone(fold.configuration());
            inner.view.offset = fold.next();
            inner.view.quarantined = fold.quarantine().keys().copied().collect();
            inner.stopping = stopping(fold);
        });
    }

    /// Sets the targets that the platform lists.
    pub(crate) fn set_targets(&self, targets: Vec<TargetEntry>) {
        self.update(|inner| inner.listed = targets);
    }

    /// Sets the members that entries see. They see none until the platform's list has named a host: a
    /// host that knows no other would take itself for the only one, and keep the steps of trainers
    /// without a replica.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        self.update(|inner| {
            if inner.hosts_listed {
                inner.view.members = members;
            }
        });
    }

    /// Records that the platform's list has named a host.
    pub(crate) fn set_hosts_listed(&self) {
        self.lock().hosts_listed = true;
    }

    /// Returns the targets as the view shows them.
    pub(crate) fn targets(&self) -> Vec<TargetEntry> {
        self.lock().view.targets.clone()
    }

    /// Records that the fold included all of the log `age` ago. The first call makes the view
    /// available.
    pub(crate) fn confirm(&self, age: godwitspool_types::Millis) {
        let mut inner = self.lock();
        if inner.confirmed.is_none() {
            inner.view.revision += 1;
            self.changed.notify_all();
        }
        inner.confirmed = Instant::now().checked_sub(age.duration());
    }

    /// Returns the time since the fold was last known to include all of the log, or `None` if it
    /// never was.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.lock().confirmed.map(|at| at.elapsed())
    }

    /// Waits until the revision differs from `known`, at most for `max_wait`, and returns the view.
    ///
    /// Returns `None` until the log has been folded up to its end, since a configuration that lacks
    /// records would reject valid keys.
    pub(crate) fn wait(&self, known: u64, max_wait: Duration) -> Option<View> {
        let same = |inner: &mut Inner| inner.view.revision == known;
        let (inner, _) = self
            .changed
            .wait_timeout_while(self.lock(), max_wait, same)
            .unwrap_or_else(PoisonError::into_inner);
        let confirmed = inner.confirmed?;
        let age_ms = confirmed.elapsed().as_millis() as u64;
        Some(View {
            age_ms,
            ..inner.view.clone()
        })
    }

    /// Applies a change, and increments the revision and wakes the waiting threads if the view
    /// differs.
    fn update(&self, change: impl FnOnce(&mut Inner)) {
        let mut inner = self.lock();
        let before = inner.view.clone();
        change(&mut inner);
        inner.view.targets = inner
            .listed
            .iter()
            .map(|listed| mark_stopping(listed, &inner.stopping))
            .collect();
        if inner.view != before {
            inner.view.revision += 1;
            self.changed.notify_all();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
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

/// Marks a live target as leaving if an order is to stop it, so that it gets no new requests even
/// before the platform's list shows it as leaving.
fn mark_stopping(listed: &TargetEntry, stopping: &BTreeSet<TargetName>) -> TargetEntry {
    let mut entry = listed.clone();
    if entry.state == TargetState::Live && stopping.contains(&entry.target) {
        entry.state = TargetState::Leaving;
    }
    entry
}
