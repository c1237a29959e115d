//! Finds the caller of a request by its key, and ends open requests whose key is withdrawn.

use std::{
    collections::HashMap,
    sync::{
        Arc, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use godwitspool_connection::messages::View;
use godwitspool_request::{Caller, KeyTable, Reason};
use godwitspool_sync::{Mutex, RwLock};
use godwitspool_types::{Key, KeyDigest, Millis, RequestId, ServiceName};
use tiny_http::Request;

const BEARER: &str = "Bearer ";

/// The keys in force and the open requests that use them.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    state: RwLock<KeyState>,
    open: Mutex<HashMap<RequestId, OpenRequest>>,
}

#[derive(Clone, Debug, Default)]
struct KeyState {
    /// Time on this host's clock at which the configuration was last confirmed.
    confirmed: Millis,
    ready: bool,
    table: Arc<KeyTable>,
}

#[derive(Debug)]
struct OpenRequest {
    withdrawn: Arc<AtomicBool>,
    digest: KeyDigest,
}

impl Keys {
    /// Replaces the keys with those of a view.
    pub(crate) fn update(&self, view: &View, now: Millis) {
        let table = Arc::new(KeyTable::from(&*view.configuration));
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        *state = KeyState {
            confirmed: now - Millis(view.age_ms),
            ready: true,
            table,
        };
    }

    /// Updates the time of confirmation from the age of an unchanged configuration.
    pub(crate) fn confirm(&self, age: Millis, now: Millis) {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        state.confirmed = state.confirmed.max(now - age);
    }

    /// Returns the caller of a request, or why it is refused.
    pub(crate) fn check(
        &self,
        digest: Option<&KeyDigest>,
        service: &ServiceName,
        now: Millis,
    ) -> Result<Caller, Reason> {
        let state = self.state();
        if !state.ready {
            return Err(Reason::NotReady);
        }
        state.table.check(digest, service, now - state.confirmed)
    }

    /// Registers an open request. Its guard shows when the key is withdrawn.
    pub(crate) fn open(self: &Arc<Self>, id: RequestId, digest: Option<KeyDigest>) -> OpenGuard {
        let withdrawn = Arc::new(AtomicBool::new(false));
        if let Some(digest) = digest {
            let open = OpenRequest {
                withdrawn: Arc::clone(&withdrawn),
                digest,
            };
            self.open_requests().insert(id, open);
        }
        OpenGuard {
            withdrawn,
            id,
            keys: Arc::clone(self),
        }
    }

    /// Marks the open requests whose key is no longer in force, so that they end.
    pub(crate) fn cancel_withdrawn(&self, now: Millis) {
        let state = self.state();
        let open = self.open_requests();
        let requests: Vec<_> = open.iter().map(|(&id, open)| (id, open.digest)).collect();
        for id in state.table.unauthorized(&requests, now - state.confirmed) {
            if let Some(open) = open.get(&id) {
                open.withdrawn.store(true, Ordering::Release);
            }
        }
    }

    fn state(&self) -> KeyState {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        state.clone()
    }

    fn open_requests(&self) -> godwitspool_sync::MutexGuard<'_, HashMap<RequestId, OpenRequest>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps an open request registered.
#[derive(Debug)]
pub(crate) struct OpenGuard {
    withdrawn: Arc<AtomicBool>,
    id: RequestId,
    keys: Arc<Keys>,
}

impl OpenGuard {
    /// Returns whether the request's key was withdrawn.
    pub(crate) fn is_withdrawn(&self) -> bool {
        self.withdrawn.load(Ordering::Acquire)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.keys.open_requests().remove(&self.id);
    }
}

/// Returns the digest of the key in a request's `Authorization` header.
pub(crate) fn digest_of(request: &Request) -> Option<KeyDigest> {
    let text = header_of(request, "Authorization")?;
    let key = Key::from(text.strip_prefix(BEARER)?.trim());
    Some(key.digest())
}

/// Returns the value of a request's header.
pub(crate) fn header_of(request: &Request, name: &'static str) -> Option<String> {
    let headers = request.headers().iter();
    let found = headers.into_iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.to_string())
}
