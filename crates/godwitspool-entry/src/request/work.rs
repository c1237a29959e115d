//! A caller's request with what routing, admission and retries need of it.

use godwitspool_request::{Attempts, Caller, Need, stable_hash};
use godwitspool_types::{Millis, RequestId, ServiceName};
use godwitspool_version::{Configuration, ServiceRules};

/// An attempt that another one may follow waits at most the remaining time divided by this.
const FIRST_BYTE_DIVISOR: u64 = 3;

/// A caller's request with what routing, admission and retries need of it.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) attempts: Attempts,
    pub(crate) caller: Caller,
    pub(crate) deadline: Millis,
    pub(crate) id: RequestId,
    pub(crate) need: Need,
    pub(crate) share: u32,
}

impl Work {
    /// Returns how long an attempt may wait for its first byte. An idempotent request gives one
    /// target only a part of the remaining time, so that another attempt can follow.
    pub(crate) fn first_byte_timeout(&self, now: Millis) -> Millis {
        let remaining = self.attempts.deadline - now;
        let timeout = if self.attempts.idempotent {
            remaining.0 / FIRST_BYTE_DIVISOR
        } else {
            remaining.0
        };
        Millis(timeout.max(1))
    }

    /// Prepares a caller's request with the rules of its service and workspace.
    pub(crate) fn new(
        id: RequestId,
        caller: Caller,
        request_fingerprint: u64,
        configuration: &Configuration,
        now: Millis,
    ) -> Self {
        let default = ServiceRules::default();
        let rules = configuration.services.get(&caller.service);
        let rules = rules.unwrap_or(&default);
        let deadline = now + Millis(rules.deadline_ms);
        let share = configuration
            .workspaces
            .get(&caller.workspace)
            .map_or(1, |workspace| workspace.share);
        let need = Need {
            caller: stable_hash(caller.workspace.as_str().as_bytes()),
            fingerprint: request_fingerprint,
            resumable: rules.idempotent,
            service: caller.service.clone(),
            ..Need::default()
        };
        let attempts = Attempts {
            deadline,
            idempotent: rules.idempotent,
            ..Attempts::default()
        };
        Self {
            attempts,
            caller,
            deadline,
            id,
            need,
            share,
        }
    }
}

/// Returns the fingerprint of a request. All copies that a caller sends have the same one.
pub(crate) fn fingerprint(service: &ServiceName, path: &str, body: &[u8]) -> u64 {
    let mut text = Vec::with_capacity(body.len() + path.len() + service.as_str().len() + 2);
    text.extend_from_slice(service.as_str().as_bytes());
    text.push(0);
    text.extend_from_slice(path.as_bytes());
    text.push(0);
    text.extend_from_slice(body);
    stable_hash(&text)
}
