//! State that the daemon's threads share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use godwitspool_connection::{TargetClient, messages::View};
use godwitspool_process::EntrySettings;
use godwitspool_request::TargetId;
use godwitspool_sync::{Mutex, RwLock};
use godwitspool_types::TargetName;

use crate::{
    connection::peers::Links,
    process::{billing::Billing, serving::Serving},
    rollout::rollouts::Rollouts,
};

/// State that the daemon's threads share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) billing: Billing,
    clients: Mutex<HashMap<SocketAddr, TargetClient>>,
    draining: AtomicBool,
    leaving: AtomicBool,
    in_flight: Mutex<HashMap<TargetName, u32>>,
    in_progress: AtomicUsize,
    pub(crate) links: Links,
    pub(crate) rollouts: Rollouts,
    pub(crate) serving: Serving,
    pub(crate) settings: EntrySettings,
    stopped: AtomicBool,
    view: RwLock<Arc<View>>,
}

impl Shared {
    pub(crate) fn new(settings: EntrySettings) -> Self {
        Self {
            billing: Billing::default(),
            clients: Mutex::default(),
            draining: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            serving: Serving::new(&settings),
            in_flight: Mutex::default(),
            in_progress: AtomicUsize::new(0),
            links: Links::default(),
            rollouts: Rollouts::new(),
            settings,
            stopped: AtomicBool::new(false),
            view: RwLock::default(),
        }
    }

    /// Returns the latest view.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the view unless the new one is older. Another steward may be behind, and a
    /// configuration must never revert.
    pub(crate) fn replace_view(&self, view: View) {
        let mut current = self.view.write().unwrap_or_else(PoisonError::into_inner);
        if view.offset >= current.offset {
            *current = Arc::new(view);
        }
    }

    /// Returns the client of a target's address, which is created on first use.
    pub(crate) fn client(&self, address: SocketAddr) -> TargetClient {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients
            .entry(address)
            .or_insert_with(|| TargetClient::new(address))
            .clone()
    }

    /// Returns the number of this entry's requests in flight on a target.
    pub(crate) fn in_flight(&self, target: &TargetName) -> u32 {
        let counts = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        counts.get(target).copied().unwrap_or(0)
    }

    /// Counts a request as in flight on a target, and in the target's load for routing, until the
    /// guard is dropped.
    pub(crate) fn track_target(self: &Arc<Self>, target: &TargetName) -> TargetGuard {
        let id = self.serving.dispatch.begin(target);
        self.track_assigned(target, id)
    }

    /// Counts a request as in flight on a target until the guard is dropped. Routing already counts
    /// it in the load of `id`, which the guard also ends.
    pub(crate) fn track_assigned(
        self: &Arc<Self>,
        target: &TargetName,
        id: Option<TargetId>,
    ) -> TargetGuard {
        let mut counts = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *counts.entry(target.clone()).or_insert(0) += 1;
        TargetGuard {
            id,
            shared: Arc::clone(self),
            target: target.clone(),
        }
    }

    /// Counts a caller's request as in progress until the guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        RequestGuard {
            shared: Arc::clone(self),
        }
    }

    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Makes the readiness page report that the entry isn't ready. New requests are still served.
    pub(crate) fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    pub(crate) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Refuses new requests from now on.
    pub(crate) fn begin_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    pub(crate) fn stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}

/// Counts a request as in flight on a target until the guard is dropped.
#[derive(Debug)]
pub(crate) struct TargetGuard {
    id: Option<TargetId>,
    shared: Arc<Shared>,
    target: TargetName,
}

impl Drop for TargetGuard {
    fn drop(&mut self) {
        let mut counts = self
            .shared
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.target) {
            *count = count.saturating_sub(1);
        }
        drop(counts);
        if let Some(id) = self.id {
            self.shared.serving.dispatch.end(id);
        }
    }
}

/// Counts a caller's request as in progress until the guard is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    shared: Arc<Shared>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shared.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
