//! Requests with an idempotency key run at most once, whichever host they are sent through.
//!
//! A key has two home hosts by rendezvous. Both have to say that the key is new before its request
//! runs. When the members change, homes pass what they hold to the new homes.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_types::{HostName, Millis, Workspace};

use crate::{homes, stable_hash};

/// Home hosts of a key.
pub const KEY_HOMES: usize = 2;

/// An idempotency key of a workspace.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct IdempotencyKey {
    /// Key, as the caller chose it.
    pub key: String,
    /// Workspace.
    pub workspace: Workspace,
}

impl IdempotencyKey {
    /// Returns the hash that finds the key's homes.
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

    /// Returns the key's home hosts.
    pub fn homes<'a>(&self, members: &'a [HostName]) -> Vec<&'a HostName> {
        homes(self.hash(), members, HostName::as_str, KEY_HOMES)
    }
}

/// What became of the request that a key was first used with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It was answered; the answer's bytes.
    Done(Vec<u8>),
    /// It runs through this host.
    Running(HostName),
    /// It isn't known.
    Unknown,
}

/// What a home says to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAnswer {
    /// The request was answered before.
    Done(Vec<u8>),
    /// A request with the key is in progress.
    InProgress,
    /// The key was used with another request.
    Mismatch,
    /// The key is new: as far as this home goes, the request may run.
    New,
    /// Whether a request with the key ran isn't known.
    Unknown,
}

impl ClaimAnswer {
    /// Joins the answers of both homes: the request runs only if the key is new to both.
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

/// What a home holds of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyRecord {
    /// What became of the request.
    pub fate: Fate,
    /// Key.
    pub key: IdempotencyKey,
    /// Time that the record is still kept.
    pub remaining: Millis,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

#[derive(Clone, Debug)]
struct Kept {
    fate: Fate,
    fingerprint: u64,
    until: Millis,
}

/// A loss of several members at once, which took with it the records of the keys that had both
/// homes among them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyLoss {
    /// Members before the loss.
    pub before: Vec<HostName>,
    /// Members that were lost.
    pub gone: BTreeSet<HostName>,
    /// Time that the loss still counts.
    pub remaining: Millis,
}

/// What a home hands over to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HandoverItem {
    /// A loss that a host which has just joined must know of.
    Loss(KeyLoss),
    /// A record of a key.
    Record(KeyRecord),
}

/// The idempotency keys of which a host is a home.
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
    kept: BTreeMap<IdempotencyKey, Kept>,
    losses: Vec<(KeyLoss, Millis)>,
    members: Vec<HostName>,
    recent: Vec<(HostName, Millis)>,
}

impl KeyHome {
    /// How long a key's record is kept.
    pub const KEPT: Millis = Millis(3_600_000);
    /// Members lost within this span may have held both records of a key.
    const HANDOVER: Millis = Millis(10_000);
    /// Bytes of an answer that are kept; of a longer one only the fate is.
    pub const MAX_ANSWER_BYTES: usize = 64 << 10;

    /// Claims a key for a request.
    pub fn claim(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: u64,
        host: &HostName,
        now: Millis,
    ) -> ClaimAnswer {
        self.kept.retain(|_, kept| now < kept.until);
        self.losses.retain(|(_, until)| now < *until);
        if let Some(kept) = self.kept.get(key) {
            return kept.answer(fingerprint);
        }
        if self.losses.iter().any(|(loss, _)| loss.may_have_held(key)) {
            return ClaimAnswer::Unknown;
        }
        let fate = Fate::Running(host.clone());
        let until = now + Self::KEPT;
        let kept = Kept {
            fate,
            fingerprint,
            until,
        };
        self.kept.insert(key.clone(), kept);
        ClaimAnswer::New
    }

    /// Releases a claim whose request is known not to have run.
    pub fn release(&mut self, key: &IdempotencyKey, host: &HostName) {
        let running = Fate::Running(host.clone());
        if self.kept.get(key).is_some_and(|kept| kept.fate == running) {
            self.kept.remove(key);
        }
    }

    /// Records what became of a request.
    pub fn settle(&mut self, key: &IdempotencyKey, fate: Fate) {
        if let Some(kept) = self.kept.get_mut(key)
            && !matches!(kept.fate, Fate::Done(_))
        {
            kept.fate = match fate {
                Fate::Done(answer) if answer.len() > Self::MAX_ANSWER_BYTES => Fate::Unknown,
                fate => fate,
            };
        }
    }

    /// Records that a host died or can't be asked: what ran through it has an unknown fate.
    pub fn host_lost(&mut self, host: &HostName) {
        for kept in self.kept.values_mut() {
            if kept.fate == Fate::Running(host.clone()) {
                kept.fate = Fate::Unknown;
            }
        }
    }

    /// Takes what another home hands over.
    pub fn accept(&mut self, handed: HandoverItem, now: Millis) {
        match handed {
            HandoverItem::Loss(loss) => {
                let until = now + loss.remaining;
                self.losses.push((loss, until));
            }
            HandoverItem::Record(record) => self.accept_record(record, now),
        }
    }

    fn accept_record(&mut self, record: KeyRecord, now: Millis) {
        let kept = Kept {
            fate: record.fate,
            fingerprint: record.fingerprint,
            until: now + record.remaining,
        };
        match self.kept.get_mut(&record.key) {
            // Two records of a key differ when its homes were cut off; the surest one is kept.
            Some(own) if own.fate.rank() >= kept.fate.rank() => {}
            Some(own) => *own = kept,
            None => {
                self.kept.insert(record.key, kept);
            }
        }
    }

    /// Takes the new members, and returns the records to hand over, each with its new home.
    ///
    /// Members that left in order have handed over what they held; `lost` names those that didn't.
    pub fn set_members(
        &mut self,
        own: &HostName,
        members: Vec<HostName>,
        lost: &[HostName],
        now: Millis,
    ) -> Vec<(HostName, HandoverItem)> {
        self.recent.retain(|(_, when)| now < *when + Self::HANDOVER);
        let before = std::mem::replace(&mut self.members, members);
        for host in lost {
            self.host_lost(host);
            self.recent.push((host.clone(), now));
        }
        if !lost.is_empty() && self.recent.len() >= KEY_HOMES {
            self.note_loss(before.clone(), now);
        }
        let mut handed = self.losses_for_joined(&before, now);
        for (key, kept) in &self.kept {
            let old = key.homes(&before);
            for home in key.homes(&self.members) {
                if home != own && !old.contains(&home) {
                    let record = kept.record(key, now);
                    handed.push((home.clone(), HandoverItem::Record(record)));
                }
            }
        }
        handed
    }

    /// Returns every record, each with a home of the members that stay; for a host that leaves.
    pub fn hand_over(&self, own: &HostName, now: Millis) -> Vec<(HostName, HandoverItem)> {
        let staying: Vec<HostName> = self
            .members
            .iter()
            .filter(|host| *host != own)
            .cloned()
            .collect();
        let mut handed = Vec::new();
        for (key, kept) in &self.kept {
            for home in key.homes(&staying) {
                let record = kept.record(key, now);
                handed.push((home.clone(), HandoverItem::Record(record)));
            }
        }
        handed
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

    fn note_loss(&mut self, mut before: Vec<HostName>, now: Millis) {
        let gone: BTreeSet<HostName> = self.recent.iter().map(|(host, _)| host.clone()).collect();
        for host in &gone {
            if !before.contains(host) {
                before.push(host.clone());
            }
        }
        let remaining = Self::KEPT;
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

impl Kept {
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
