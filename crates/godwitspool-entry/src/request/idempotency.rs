//! Requests with an idempotency key. The two home hosts of a key keep its state.

use std::sync::{Arc, PoisonError};

use godwitspool_connection::messages::{
    ClaimReply, KeyFate, KeyItem, KeyName, ServingAnswer, ServingRequest,
};
use godwitspool_request::{
    ClaimAnswer, Fate, HandoverItem, IdempotencyKey, KeyHome, KeyLoss, KeyRecord, Reason,
};
use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::{HostName, Millis, Workspace};

use crate::process::{serving, shared::Shared};

const MAX_KEY_BYTES: usize = 256;

/// The idempotency keys whose home is this host.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyKeys(Mutex<KeyHome>);

impl IdempotencyKeys {
    fn lock(&self) -> MutexGuard<'_, KeyHome> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A claimed key, whose request may run. When it is dropped without a result, the fate of the
/// request becomes unknown.
#[derive(Debug)]
pub(crate) struct Claim {
    key: IdempotencyKey,
    settled: bool,
    shared: Arc<Shared>,
}

/// The result of a claim.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// The request was answered before, with these bytes.
    Answered(Vec<u8>),
    /// The request may run.
    New(Claim),
    /// The request must not run.
    Refused(Reason),
}

/// Claims a key at both of its home hosts. A claim that only one of them grants is released there.
pub(crate) fn claim(
    shared: &Arc<Shared>,
    workspace: &Workspace,
    key: &str,
    fingerprint: u64,
) -> Claimed {
    if key.len() > MAX_KEY_BYTES {
        return Claimed::Refused(Reason::RequestInvalid);
    }
    let key = IdempotencyKey {
        key: key.to_owned(),
        workspace: workspace.clone(),
    };
    let host = shared.settings.host.clone();
    let members = shared.serving.members();
    let mut merged = ClaimAnswer::New;
    let mut granted = Vec::new();
    for home in key.homes(&members) {
        let request = ServingRequest::Claim {
            host: host.clone(),
            key: key_to_wire(&key),
            print: fingerprint,
        };
        let Some(ServingAnswer::Claim(reply)) = serving::call(shared, home, request) else {
            release(shared, &key, &granted);
            return Claimed::Refused(Reason::HomeUnreachable);
        };
        if reply == ClaimReply::New {
            granted.push(home.clone());
        }
        merged = merged.join(answer_from_wire(reply));
        if merged != ClaimAnswer::New {
            break;
        }
    }
    if merged != ClaimAnswer::New {
        release(shared, &key, &granted);
    }
    match merged {
        ClaimAnswer::Done(bytes) => Claimed::Answered(bytes),
        ClaimAnswer::InProgress => Claimed::Refused(Reason::KeyInProgress),
        ClaimAnswer::Mismatch => Claimed::Refused(Reason::KeyMismatch),
        ClaimAnswer::Unknown => Claimed::Refused(Reason::FateUnknown),
        ClaimAnswer::New => Claimed::New(Claim {
            key,
            settled: false,
            shared: Arc::clone(shared),
        }),
    }
}

impl Claim {
    /// Records the answer at the home hosts. This is done before the caller gets it.
    pub(crate) fn answer(mut self, bytes: Vec<u8>) {
        self.settled = true;
        self.settle(&KeyFate::Done(bytes));
    }

    /// Releases the key of a request that is known not to have run.
    pub(crate) fn release(mut self) {
        self.settled = true;
        let members = self.shared.serving.members();
        let homes: Vec<HostName> = self.key.homes(&members).into_iter().cloned().collect();
        release(&self.shared, &self.key, &homes);
    }

    fn settle(&self, fate: &KeyFate) {
        let members = self.shared.serving.members();
        for home in self.key.homes(&members) {
            let request = ServingRequest::Settle {
                fate: fate.clone(),
                key: key_to_wire(&self.key),
            };
            if serving::call(&self.shared, home, request).is_none() {
                log::warn!(home:%; "can't record the fate of an idempotency key");
            }
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.settled {
            self.settle(&KeyFate::Unknown);
        }
    }
}

fn release(shared: &Arc<Shared>, key: &IdempotencyKey, homes: &[HostName]) {
    for home in homes {
        let request = ServingRequest::Release {
            host: shared.settings.host.clone(),
            key: key_to_wire(key),
        };
        serving::call(shared, home, request);
    }
}

/// Answers a claim of a key whose home is this host.
pub(crate) fn answer_claim(
    shared: &Arc<Shared>,
    key: KeyName,
    fingerprint: u64,
    host: &HostName,
) -> ClaimReply {
    let now = shared.serving.now();
    let answer =
        shared
            .serving
            .idempotency
            .lock()
            .claim(&key_from_wire(key), fingerprint, host, now);
    match answer {
        ClaimAnswer::Done(bytes) => ClaimReply::Done(bytes),
        ClaimAnswer::InProgress => ClaimReply::InProgress,
        ClaimAnswer::Mismatch => ClaimReply::Mismatch,
        ClaimAnswer::New => ClaimReply::New,
        ClaimAnswer::Unknown => ClaimReply::Unknown,
    }
}

/// Releases the claim of a host.
pub(crate) fn release_claim(shared: &Arc<Shared>, key: KeyName, host: &HostName) {
    shared
        .serving
        .idempotency
        .lock()
        .release(&key_from_wire(key), host);
}

/// Records the fate of a request.
pub(crate) fn record_fate(shared: &Arc<Shared>, key: KeyName, fate: KeyFate) {
    shared
        .serving
        .idempotency
        .lock()
        .settle(&key_from_wire(key), fate_from_wire(fate));
}

/// Accepts items that another home host hands over.
pub(crate) fn accept_items(shared: &Arc<Shared>, items: Vec<KeyItem>) {
    let now = shared.serving.now();
    let mut home = shared.serving.idempotency.lock();
    for item in items {
        home.accept(item_from_wire(item), now);
    }
}

/// Replaces the members, and hands over the keys whose home has moved.
pub(crate) fn update_members(shared: &Arc<Shared>, members: Vec<HostName>, lost: &[HostName]) {
    let now = shared.serving.now();
    let own = &shared.settings.host;
    let handovers = shared
        .serving
        .idempotency
        .lock()
        .set_members(own, members, lost, now);
    send_items(shared, handovers);
}

/// Hands over all keys before this host leaves.
pub(crate) fn hand_over(shared: &Arc<Shared>) {
    let now = shared.serving.now();
    let handovers = shared
        .serving
        .idempotency
        .lock()
        .hand_over(&shared.settings.host, now);
    send_items(shared, handovers);
}

fn send_items(shared: &Arc<Shared>, handovers: Vec<(HostName, HandoverItem)>) {
    for (home, item) in handovers {
        let request = ServingRequest::HandOver(vec![item_to_wire(item)]);
        if serving::call(shared, &home, request).is_none() {
            log::warn!(home:%; "can't hand over the record of an idempotency key");
        }
    }
}

fn key_to_wire(key: &IdempotencyKey) -> KeyName {
    KeyName {
        key: key.key.clone(),
        workspace: key.workspace.clone(),
    }
}

fn key_from_wire(name: KeyName) -> IdempotencyKey {
    IdempotencyKey {
        key: name.key,
        workspace: name.workspace,
    }
}

fn answer_from_wire(reply: ClaimReply) -> ClaimAnswer {
    match reply {
        ClaimReply::Done(bytes) => ClaimAnswer::Done(bytes),
        ClaimReply::InProgress => ClaimAnswer::InProgress,
        ClaimReply::Mismatch => ClaimAnswer::Mismatch,
        ClaimReply::New => ClaimAnswer::New,
        ClaimReply::Unknown => ClaimAnswer::Unknown,
    }
}

fn fate_from_wire(fate: KeyFate) -> Fate {
    match fate {
        KeyFate::Done(bytes) => Fate::Done(bytes),
        KeyFate::Running(host) => Fate::Running(host),
        KeyFate::Unknown => Fate::Unknown,
    }
}

fn item_from_wire(item: KeyItem) -> HandoverItem {
    match item {
        KeyItem::Loss {
            before,
            gone,
            left_ms,
        } => HandoverItem::Loss(KeyLoss {
            before,
            gone: gone.into_iter().collect(),
            remaining: Millis(left_ms),
        }),
        KeyItem::Record {
            fate,
            key,
            left_ms,
            print: fingerprint,
        } => HandoverItem::Record(KeyRecord {
            fate: fate_from_wire(fate),
            key: key_from_wire(key),
            remaining: Millis(left_ms),
            fingerprint,
        }),
    }
}

fn item_to_wire(handover: HandoverItem) -> KeyItem {
    match handover {
        HandoverItem::Loss(loss) => KeyItem::Loss {
            before: loss.before,
            gone: loss.gone.into_iter().collect(),
            left_ms: loss.remaining.0,
        },
        HandoverItem::Record(record) => KeyItem::Record {
            fate: match record.fate {
                Fate::Done(bytes) => KeyFate::Done(bytes),
                Fate::Running(host) => KeyFate::Running(host),
                Fate::Unknown => KeyFate::Unknown,
            },
            key: key_to_wire(&record.key),
            left_ms: record.remaining.0,
            print: record.fingerprint,
        },
    }
}
