//! Requests with an idempotency key run at most once, whichever entry host receives them.
//!
//! Each key has two home hosts, found by rendezvous hashing. Both must confirm that the key is new
//! before its request runs. When the members change, the homes hand their records over to the new
//! homes.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_types::{HostName, Millis, Workspace};

use crate::{homes, stable_hash};

/// Number of home hosts of a key.
pub const KEY_HOMES: usize = 2;

/// An idempotency key of a workspace.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct IdempotencyKey {
    /// Text of the key, chosen by the caller.
    pub key: String,
    /// Workspace of the caller; equal keys of different workspaces are distinct.
    pub workspace: Workspace,
}

impl IdempotencyKey {
    /// Returns the hash that determines the key's home hosts.
    ///
    /// ```
    /// use godwitspool_request::IdempotencyKey;
    ///
    /// assert_eq!(IdempotencyKey::default().hash(), IdempotencyKey::default().hash());
    /// ```
    pub fn hash(&self) -> u64 {
        let text = format!("{}\0{}", self.workspace, self.key);
        stable_hash(text.as_bytes())
    }

    /// Returns the key's home hosts among the members.
    pub fn homes<'a>(&self, members: &'a [HostName]) -> Vec<&'a HostName> {
        homes(self.hash(), members, HostName::as_str, KEY_HOMES)
    }
}

/// The outcome of the request with which a key was first used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fate {
    /// The request was answered with these bytes.
    Done(Vec<u8>),
    /// The request is in progress on this entry host.
    Running(HostName),
    /// The request may have run, but its outcome isn't known.
    Unknown,
}

/// The answer of a home host to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAnswer {
    /// The request was answered before, with these bytes.
    Done(Vec<u8>),
    /// A request with the key is in progress.
    InProgress,
    /// The key was used before with a different request.
    Mismatch,
    /// The key is new to this home.
    New,
    /// A request with the key may have run.
    Unknown,
}

impl ClaimAnswer {
    /// Combines the answers of both homes: the request may run only if the key is new to both.
    ///
    /// ```
    /// use godwitspool_request::ClaimAnswer;
    ///
    /// let both = ClaimAnswer::New.join(ClaimAnswer::InProgress);
    /// assert_eq!(both, ClaimAnswer::InProgress);
    /// ```
    pub fn join(self, other: Self) -> Self {
        use ClaimAnswer::{Done, InProgress, Mismatch, New, Unknown};
        match (self, other) {
            (Mismatch, _) | (_, Mismatch) => Mismatch,
            (Done(answer), _) | (_, Done(answer)) => Done(answer),
            (Unknown, _) | (_, Unknown) => Unknown,
            (InProgress, _) | (_, InProgress) => InProgress,
            (New, New) => New,
        }
    }
}

/// A home's record of a key, as it is handed over to another home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyRecord {
    /// Outcome of the request.
    pub fate: Fate,
    /// Key that the record is about.
    pub key: IdempotencyKey,
    /// Remaining time until the record expires.
    pub remaining: Millis,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

#[derive(Clone, Debug)]
struct StoredKey {
    fate: Fate,
    fingerprint: u64,
    until: Millis,
}

/// The loss of several members within a short time. The records of keys whose homes were all among
/// them are lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyLoss {
    /// Members before the loss.
    pub before: Vec<HostName>,
    /// Members that were lost.
    pub gone: BTreeSet<HostName>,
    /// Remaining time until all records that were lost would have expired.
    pub remaining: Millis,
}

/// An item that a home hands over to another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HandoverItem {
    /// A loss, sent to a host that has just joined.
    Loss(KeyLoss),
    /// A record of a key, sent to its new home.
    Record(KeyRecord),
}

/// The idempotency keys whose home is this host.
///
/// ```
/// use godwitspool_request::{ClaimAnswer, IdempotencyKey, KeyHome};
/// use godwitspool_types::{HostName, Millis};
///
/// let mut home = KeyHome::default();
/// let (key, host) = (IdempotencyKey::default(), HostName::from("a"));
/// assert_eq!(home.claim(&key, 7, &host, Millis(0)), ClaimAnswer::New);
/// assert_eq!(home.claim(&key, 7, &host, Millis(1)), ClaimAnswer::InProgress);
/// home.host_lost(&host);
/// assert_eq!(home.claim(&key, 7, &host, Millis(2)), ClaimAnswer::Unknown);
/// ```
#[derive(Clone, Debug, Default)]
pub struct KeyHome {
    keys: BTreeMap<IdempotencyKey, StoredKey>,
    losses: Vec<(KeyLoss, Millis)>,
    members: Vec<HostName>,
    recently_lost: Vec<(HostName, Millis)>,
}

impl KeyHome {
    /// How long the record of a key is kept after its claim.
    pub const RETENTION: Millis = Millis(3_600_000);
    /// Members lost within this time are treated as lost together: the records of the first ones
    /// may not have been handed over before the others were lost.
    const HANDOVER_TIME: Millis = Millis(10_000);
    /// Longest answer that is kept, in bytes. The outcome of a longer one becomes unknown.
    pub const MAX_ANSWER_BYTES: usize = 64 << 10;

    /// Claims a key for a request with this fingerprint that runs on `host`.
    pub fn claim(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: u64,
        host: &HostName,
        now: Millis,
    ) -> ClaimAnswer {
        self.keys.retain(|_, stored| now < stored.until);
        self.losses.retain(|(_, until)| now < *until);
        if let Some(stored) = self.keys.get(key) {
            return stored.answer(fingerprint);
        }
        if self.losses.iter().any(|(loss, _)| loss.may_have_held(key)) {
            return ClaimAnswer::Unknown;
        }
        let fate = Fate::Running(host.clone());
        let until = now + Self::RETENTION;
        let stored = StoredKey {
            fate,
            fingerprint,
            until,
        };
        self.keys.insert(key.clone(), stored);
        ClaimAnswer::New
    }

    /// Releases a host's claim if the request is known not to have run.
    pub fn release(&mut self, key: &IdempotencyKey, host: &HostName) {
        let running = Fate::Running(host.clone());
        if self
            .keys
            .get(key)
            .is_some_and(|stored| stored.fate == running)
        {
            self.keys.remove(key);
        }
    }

    /// Records the outcome of a request. An answer that is already recorded stays.
    pub fn settle(&mut self, key: &IdempotencyKey, fate: Fate) {
        if let Some(stored) = self.keys.get_mut(key)
            && !matches!(stored.fate, Fate::Done(_))
        {
            stored.fate = match fate {
                Fate::Done(answer) if answer.len() > Self::MAX_ANSWER_BYTES => Fate::Unknown,
                fate => fate,
            };
        }
    }

    /// Records that a host crashed or is unreachable: the outcome of its requests in progress
    /// becomes unknown.
    pub fn host_lost(&mut self, host: &HostName) {
        for stored in self.keys.values_mut() {
            if stored.fate == Fate::Running(host.clone()) {
                stored.fate = Fate::Unknown;
            }
        }
    }

    /// Stores an item that another home hands over.
    pub fn accept(&mut self, item: HandoverItem, now: Millis) {
        match item {
            HandoverItem::Loss(loss) => {
                let until = now + loss.remaining;
                self.losses.push((loss, until));
            }
            HandoverItem::Record(record) => self.accept_record(record, now),
        }
    }

    fn accept_record(&mut self, record: KeyRecord, now: Millis) {
        let stored = StoredKey {
            fate: record.fate,
            fingerprint: record.fingerprint,
            until: now + record.remaining,
        };
        match self.keys.get_mut(&record.key) {
            // The records of a key differ if its homes were cut off from each other. The one with
            // the most certain outcome is kept.
            Some(own) if own.fate.rank() >= stored.fate.rank() => {}
            Some(own) => *own = stored,
            None => {
                self.keys.insert(record.key, stored);
            }
        }
    }

    /// Sets the new members and returns the items to hand over, each with its receiver.
    ///
    /// `lost` contains the members that left without handing over their records.
    pub fn set_members(
        &mut self,
        own: &HostName,
        members: Vec<HostName>,
        lost: &[HostName],
        now: Millis,
    ) -> Vec<(HostName, HandoverItem)> {
        self.recently_lost
            .retain(|(_, when)| now < *when + Self::HANDOVER_TIME);
        let before = std::mem::replace(&mut self.members, members);
        for host in lost {
            self.host_lost(host);
            self.recently_lost.push((host.clone(), now));
        }
        if !lost.is_empty() && self.recently_lost.len() >= KEY_HOMES {
            self.record_loss(before.clone(), now);
        }
        let mut items = self.losses_for_joined(&before, now);
        for (key, stored) in &self.keys {
            let old = key.homes(&before);
            for home in key.homes(&self.members) {
                if home != own && !old.contains(&home) {
                    let record = stored.record(key, now);
                    items.push((home.clone(), HandoverItem::Record(record)));
                }
            }
        }
        items
    }

    /// Returns all records of a host that leaves, each with a home among the remaining members.
    pub fn hand_over(&self, own: &HostName, now: Millis) -> Vec<(HostName, HandoverItem)> {
        let staying: Vec<HostName> = self
            .members
            .iter()
            .filter(|host| *host != own)
            .cloned()
            .collect();
        let mut items = Vec::new();
        for (key, stored) in &self.keys {
            for home in key.homes(&staying) {
                let record = stored.record(key, now);
                items.push((home.clone(), HandoverItem::Record(record)));
            }
        }
        items
    }

    fn losses_for_joined(&self, before: &[HostName], now: Millis) -> Vec<(HostName, HandoverItem)> {
        let joined = self.members.iter().filter(|host| !before.contains(host));
        joined
            .flat_map(|host| {
                self.losses.iter().map(|(loss, until)| {
                    let remaining = *until - now;
                    let loss = KeyLoss {
                        remaining,
                        ..loss.clone()
                    };
                    (host.clone(), HandoverItem::Loss(loss))
                })
            })
            .collect()
    }

    fn record_loss(&mut self, mut before: Vec<HostName>, now: Millis) {
        let gone: BTreeSet<HostName> = self
            .recently_lost
            .iter()
            .map(|(host, _)| host.clone())
            .collect();
        for host in &gone {
            if !before.contains(host) {
                before.push(host.clone());
            }
        }
        let remaining = Self::RETENTION;
        self.losses.push((
            KeyLoss {
                before,
                gone,
                remaining,
            },
            now + remaining,
        ));
    }
}

impl KeyLoss {
    fn may_have_held(&self, key: &IdempotencyKey) -> bool {
        key.homes(&self.before)
            .into_iter()
            .all(|home| self.gone.contains(home))
    }
}

impl StoredKey {
    fn answer(&self, fingerprint: u64) -> ClaimAnswer {
        if self.fingerprint != fingerprint {
            return ClaimAnswer::Mismatch;
        }
        match &self.fate {
            Fate::Done(answer) => ClaimAnswer::Done(answer.clone()),
            Fate::Running(_) => ClaimAnswer::InProgress,
            Fate::Unknown => ClaimAnswer::Unknown,
        }
    }

    fn record(&self, key: &IdempotencyKey, now: Millis) -> KeyRecord {
        KeyRecord {
            fate: self.fate.clone(),
            key: key.clone(),
            remaining: self.until - now,
            fingerprint: self.fingerprint,
        }
    }
}

impl Fate {
    fn rank(&self) -> u8 {
        match self {
            Self::Running(_) => 0,
            Self::Unknown => 1,
            Self::Done(_) => 2,
        }
    }
}
