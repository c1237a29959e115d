//! Whose a request is, and which of the open requests are cut when a key is withdrawn.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

use godwitspool_connection::messages::View;
use godwitspool_request::{Caller, KeyTable, Reason};
use godwitspool_types::{Key, KeyDigest, Millis, RequestId, ServiceName};
use tiny_http::Request;

const BEARER: &str = "Bearer ";

/// The keys in force and the requests that are open under them.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    known: RwLock<Known>,
    open: Mutex<HashMap<RequestId, Open>>,
}

#[derive(Clone, Debug, Default)]
struct Known {
    /// Time at which the configuration was last confirmed, on this host's clock.
    confirmed: Millis,
    ready: bool,
    table: Arc<KeyTable>,
}

#[derive(Debug)]
struct Open {
    cut: Arc<AtomicBool>,
    digest: KeyDigest,
}

impl Keys {
    /// Takes the keys of a view.
    pub(crate) fn learn(&self, view: &View, now: Millis) {
        let table = Arc::new(KeyTable::from(&*view.configuration));
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        *known = Known {
            confirmed: now - Millis(view.age_ms),
            ready: true,
            table,
        };
    }

    /// Takes the age of the configuration.
    pub(crate) fn confirm(&self, age: Millis, now: Millis) {
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        known.confirmed = known.confirmed.max(now - age);
    }

    /// Finds the caller of a request.
    pub(crate) fn check(
        &self,
        digest: Option<&KeyDigest>,
        service: &ServiceName,
        now: Millis,
    ) -> Result<Caller, Reason> {
        let known = self.known();
        if !known.ready {
            return Err(Reason::NotReady);
        }
        known.table.check(digest, service, now - known.confirmed)
    }

    /// Watches an open request; the guard tells when it is cut.
    pub(crate) fn open(self: &Arc<Self>, id: RequestId, digest: Option<KeyDigest>) -> OpenGuard {
        let cut = Arc::new(AtomicBool::new(false));
        if let Some(digest) = digest {
            let open = Open {
                cut: Arc::clone(&cut),
                digest,
            };
            self.open_requests().insert(id, open);
        }
        OpenGuard {
            cut,
            id,
            keys: Arc::clone(self),
        }
    }

    /// Cuts the open requests whose key doesn't hold any more.
    pub(crate) fn cut_withdrawn(&self, now: Millis) {
        let known = self.known();
        let open = self.open_requests();
        let listed: Vec<_> = open.iter().map(|(&id, open)| (id, open.digest)).collect();
        for id in known.table.unauthorized(&listed, now - known.confirmed) {
            if let Some(open) = open.get(&id) {
                open.cut.store(true, Ordering::Release);
            }
        }
    }

    fn known(&self) -> Known {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        known.clone()
    }

    fn open_requests(&self) -> std::sync::MutexGuard<'_, HashMap<RequestId, Open>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Watches an open request while it lives.
#[derive(Debug)]
pub(crate) struct OpenGuard {
    cut: Arc<AtomicBool>,
    id: RequestId,
    keys: Arc<Keys>,
}

impl OpenGuard {
    /// Tells whether the request's key was withdrawn.
    pub(crate) fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Acquire)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.keys.open_requests().remove(&self.id);
    }
}

/// Returns the digest of the key that came with a request.
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
