//! Requests with an idempotency key, through the key's two home hosts.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use godwitspool_connection::messages::{
    ClaimReply, KeyFate, KeyItem, KeyName, ServingAnswer, ServingRequest,
};
use godwitspool_request::{
    ClaimAnswer, Fate, HandoverItem, IdempotencyKey, KeyHome, KeyLoss, KeyRecord, Reason,
};
use godwitspool_types::{HostName, Millis, Workspace};

use crate::process::{serving, shared::Shared};

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The idempotency keys whose home this host is.
#[derive(Debug, Default)]
pub(crate) struct Keyed(Mutex<KeyHome>);

impl Keyed {
    fn lock(&self) -> MutexGuard<'_, KeyHome> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A claimed key, whose request may run. Unless it is settled, its fate becomes unknown.
#[derive(Debug)]
pub(crate) struct Claim {
    key: IdempotencyKey,
    settled: bool,
    shared: Arc<Shared>,
}

/// What a claim leads to.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// The request was answered before; the answer's bytes.
    Answered(Vec<u8>),
    /// The request may run.
    New(Claim),
    /// The request isn't run.
    Refused(Reason),
}

/// Claims a key at both of its homes.
pub(crate) fn claim(shared: &Arc<Shared>, workspace: &Workspace, key: &str, print: u64) -> Claimed {
    if key.len() > MAX_KEY_BYTES {
        return Claimed::Refused(Reason::RequestInvalid);
    }
    let key = IdempotencyKey {
        key: key.to_owned(),
        workspace: workspace.clone(),
    };
    let host = shared.settings.host.clone();
    let members = shared.serving.members();
    let mut joined = ClaimAnswer::New;
    let mut claimed = Vec::new();
    for home in key.homes(&members) {
        let request = ServingRequest::Claim {
            host: host.clone(),
            key: name(&key),
            print,
        };
        let Some(ServingAnswer::Claim(reply)) = serving::call(shared, home, request) else {
            release(shared, &key, &claimed);
            return Claimed::Refused(Reason::HomeUnreachable);
        };
        if reply == ClaimReply::New {
            claimed.push(home.clone());
        }
        joined = joined.join(answer_of(reply));
        if joined != ClaimAnswer::New {
            break;
        }
    }
    if joined != ClaimAnswer::New {
        release(shared, &key, &claimed);
    }
    match joined {
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
    /// Records the answer, before the caller gets it.
    pub(crate) fn answer(mut self, bytes: Vec<u8>) {
        self.settled = true;
        self.settle(&KeyFate::Done(bytes));
    }

    /// Releases the key, since its request is known not to have run.
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
                key: name(&self.key),
            };
            if serving::call(&self.shared, home, request).is_none() {
                log::warn!(home:%; "fate of an idempotency key is not told");
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
            key: name(key),
        };
        serving::call(shared, home, request);
    }
}

// ---------------------------------------------------------------------------
// As a home

/// Answers a claim.
pub(crate) fn answer_claim(
    shared: &Arc<Shared>,
    key: KeyName,
    print: u64,
    host: &HostName,
) -> ClaimReply {
    let now = shared.serving.now();
    let answer = shared
        .serving
        .keyed
        .lock()
        .claim(&key_of(key), print, host, now);
    match answer {
        ClaimAnswer::Done(bytes) => ClaimReply::Done(bytes),
        ClaimAnswer::InProgress => ClaimReply::InProgress,
        ClaimAnswer::Mismatch => ClaimReply::Mismatch,
        ClaimAnswer::New => ClaimReply::New,
        ClaimAnswer::Unknown => ClaimReply::Unknown,
    }
}

/// Releases a claim.
pub(crate) fn take_release(shared: &Arc<Shared>, key: KeyName, host: &HostName) {
    shared.serving.keyed.lock().release(&key_of(key), host);
}

/// Records what became of a request.
pub(crate) fn take_fate(shared: &Arc<Shared>, key: KeyName, fate: KeyFate) {
    shared
        .serving
        .keyed
        .lock()
        .settle(&key_of(key), fate_of(fate));
}

/// Takes what another home hands over.
pub(crate) fn take_items(shared: &Arc<Shared>, items: Vec<KeyItem>) {
    let now = shared.serving.now();
    let mut home = shared.serving.keyed.lock();
    for item in items {
        home.accept(handed_of(item), now);
    }
}

/// Takes the members of a new view and hands over what moves to other homes.
pub(crate) fn learn_members(shared: &Arc<Shared>, members: Vec<HostName>, lost: &[HostName]) {
    let now = shared.serving.now();
    let own = &shared.settings.host;
    let handed = shared
        .serving
        .keyed
        .lock()
        .set_members(own, members, lost, now);
    send(shared, handed);
}

/// Hands over everything, before this host leaves.
pub(crate) fn hand_over(shared: &Arc<Shared>) {
    let now = shared.serving.now();
    let handed = shared
        .serving
        .keyed
        .lock()
        .hand_over(&shared.settings.host, now);
    send(shared, handed);
}

fn send(shared: &Arc<Shared>, handed: Vec<(HostName, HandoverItem)>) {
    for (home, item) in handed {
        let request = ServingRequest::HandOver(vec![item_of(item)]);
        if serving::call(shared, &home, request).is_none() {
            log::warn!(home:%; "record of an idempotency key is not handed over");
        }
    }
}

// ---------------------------------------------------------------------------

fn name(key: &IdempotencyKey) -> KeyName {
    KeyName {
        key: key.key.clone(),
        workspace: key.workspace.clone(),
    }
}

fn key_of(name: KeyName) -> IdempotencyKey {
    IdempotencyKey {
        key: name.key,
        workspace: name.workspace,
    }
}

fn answer_of(reply: ClaimReply) -> ClaimAnswer {
    match reply {
        ClaimReply::Done(bytes) => ClaimAnswer::Done(bytes),
        ClaimReply::InProgress => ClaimAnswer::InProgress,
        ClaimReply::Mismatch => ClaimAnswer::Mismatch,
        ClaimReply::New => ClaimAnswer::New,
        ClaimReply::Unknown => ClaimAnswer::Unknown,
    }
}

fn fate_of(fate: KeyFate) -> Fate {
    match fate {
        KeyFate::Done(bytes) => Fate::Done(bytes),
        KeyFate::Running(host) => Fate::Running(host),
        KeyFate::Unknown => Fate::Unknown,
    }
}

fn handed_of(item: KeyItem) -> HandoverItem {
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
            print,
        } => HandoverItem::Record(KeyRecord {
            fate: fate_of(fate),
            key: key_of(key),
            remaining: Millis(left_ms),
            fingerprint: print,
        }),
    }
}

fn item_of(handed: HandoverItem) -> KeyItem {
    match handed {
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
            key: name(&record.key),
            left_ms: record.remaining.0,
            print: record.fingerprint,
        },
    }
}
