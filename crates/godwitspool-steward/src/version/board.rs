//! The view that entries wait for.

use std::{
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use godwitspool_connection::messages::View;

/// The current view, with a wake-up for those that wait for its next revision.
#[derive(Debug, Default)]
pub(crate) struct Board {
    changed: Condvar,
    view: Mutex<Posted>,
}

/// The view and when the log's end was last confirmed.
#[derive(Debug, Default)]
struct Posted {
    confirmed: Option<Instant>,
    view: View,
}

impl Board {
    /// Changes the view; counts a revision if anything differs.
    pub(crate) fn update(&self, change: impl FnOnce(&mut View)) {
        let mut posted = self.lock();
        let before = posted.view.clone();
        change(&mut posted.view);
        if posted.view != before {
            posted.view.revision += 1;
            self.changed.notify_all();
        }
    }

    /// Notes that the log's end was read just now.
    pub(crate) fn confirm(&self) {
        let mut posted = self.lock();
        if posted.confirmed.is_none() {
            posted.view.revision += 1;
            self.changed.notify_all();
        }
        posted.confirmed = Some(Instant::now());
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

    fn lock(&self) -> MutexGuard<'_, Posted> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
