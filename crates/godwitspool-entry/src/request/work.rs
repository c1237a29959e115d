//! One request on its way.

use godwitspool_request::{Attempts, Caller, Need, stable_hash};
use godwitspool_types::{Millis, RequestId, ServiceName};
use godwitspool_version::{Configuration, ServiceRules};

/// Attempts that the time left is parted among.
const PATIENCE_PART: u64 = 3;

/// One request on its way.
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
    /// Returns how long a first byte may take: where another attempt may follow, the time left
    /// isn't all given to one target.
    pub(crate) fn first_byte_timeout(&self, now: Millis) -> Millis {
        let left = self.attempts.deadline - now;
        let part = if self.attempts.idempotent {
            left.0 / PATIENCE_PART
        } else {
            left.0
        };
        Millis(part.max(1))
    }

    /// Prepares a request of a caller. `print` is its fingerprint.
    pub(crate) fn new(
        id: RequestId,
        caller: Caller,
        print: u64,
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
            fingerprint: print,
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

/// Returns the fingerprint of a request: the same for each copy that its caller sends.
pub(crate) fn fingerprint(service: &ServiceName, path: &str, body: &[u8]) -> u64 {
    let mut text = Vec::with_capacity(body.len() + path.len() + service.as_str().len() + 2);
    text.extend_from_slice(service.as_str().as_bytes());
    text.push(0);
    text.extend_from_slice(path.as_bytes());
    text.push(0);
    text.extend_from_slice(body);
    stable_hash(&text)
}
