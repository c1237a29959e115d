//! What one host does to get, keep and use a lease.

use std::collections::VecDeque;

use godwitspool_types::{Millis, Offset, RequestId, Term};
use rapidhash::v3::rapidhash_v3;

use crate::{HostLife, Lease, LeaseKind, LeaseRecord, LeaseStep, RecordId};

const MAX_PENDING: usize = 8;

/// Times of a lease.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseRules {
    /// How long others wait beyond the term, for clocks that run at different rates.
    pub clock_margin: Millis,
    /// Longest time from the last check before an order to the order's effect.
    pub order_timeout: Millis,
    /// Time between renewals.
    pub renewal_interval: Millis,
    /// How long a claim or renewal is good for, from before it was sent.
    pub duration: Millis,
}

impl Default for LeaseRules {
    fn default() -> Self {
        Self {
            clock_margin: Millis(150),
            order_timeout: Millis(1_000),
            renewal_interval: Millis(700),
            duration: Millis(2_500),
        }
    }
}

/// Something that a candidate learns.
#[derive(Clone, Copy, Debug)]
pub enum LeaseEvent<'a> {
    /// A record of the log was read.
    Read {
        /// The record's identity.
        id: RecordId,
        /// Its offset.
        offset: Offset,
        /// What it says.
        record: &'a LeaseRecord,
    },
    /// Time has passed; `ready` tells whether the host may stand as a candidate now.
    Tick {
        /// Set when the log has been read to its end lately.
        ready: bool,
    },
    /// The host leaves and gives the lease up.
    Leave,
}

/// What a candidate wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Appends the record. When the answer is lost, the same record may be sent again.
    Append {
        /// The record's identity.
        id: RecordId,
        /// What it says.
        record: LeaseRecord,
    },
    /// Tells that a term began on this host.
    Began(Term),
    /// Tells that this host's term ended.
    Ended(Term),
}

/// One host's part in a lease.
///
/// The holder counts its validity from before it sent the claim or renewal, and only once it has
/// read that record back. Others wait the term and the margin from when they read the last record.
/// A new holder waits out the life of its predecessor's orders before it acts, so targets that
/// ignore the fencing token are safe too.
///
/// ```
/// use godwitspool_types::{Millis, Offset, Term};
/// use godwitspool_version::{
///     HostLife, LeaseAction, LeaseCandidate, LeaseEvent, LeaseKind, LeaseRules,
/// };
///
/// let rules = LeaseRules::default();
/// let mut candidate = LeaseCandidate::new(LeaseKind::Orders, HostLife::default(), rules);
/// let mut now = Millis(100);
/// let actions = candidate.decide(LeaseEvent::Tick { ready: true }, now);
/// let [LeaseAction::Append { id, record }] = &actions[..] else { panic!("no claim") };
/// candidate.decide(LeaseEvent::Read { id: *id, offset: Offset(9), record }, now);
/// assert_eq!(candidate.may_act(now), None);
/// now = now + rules.order_timeout + rules.clock_margin;
/// assert_eq!(candidate.may_act(now), Some(Term(9)));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseCandidate {
    kind: LeaseKind,
    leaving: bool,
    lease: Lease,
    life: HostLife,
    pending: VecDeque<Pending>,
    quiet_until: Millis,
    claim_delay: Millis,
    read_at: Millis,
    rules: LeaseRules,
    sequence: u64,
    valid_until: Millis,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Pending {
    id: RecordId,
    sent: Millis,
}

impl LeaseCandidate {
    /// Makes a candidate that knows nothing of the lease yet.
    pub fn new(kind: LeaseKind, life: HostLife, rules: LeaseRules) -> Self {
        Self {
            kind,
            leaving: false,
            lease: Lease::default(),
            life,
            pending: VecDeque::new(),
            quiet_until: Millis::ZERO,
            claim_delay: Millis::ZERO,
            read_at: Millis::ZERO,
            rules,
            sequence: 0,
            valid_until: Millis::ZERO,
        }
    }

    /// Goes on from a lease that a snapshot gave, which counts as read now.
    pub fn restore(&mut self, lease: Lease, now: Millis) {
        self.lease = lease;
        self.read_at = now;
    }

    /// Sets how much longer than the first in line this candidate waits, so that not all claim at
    /// once.
    pub fn set_claim_delay(&mut self, wait: Millis) {
        self.claim_delay = wait;
    }

    /// Returns the lease as this host has read it.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Takes in an event and says what to do.
    pub fn decide(&mut self, event: LeaseEvent<'_>, now: Millis) -> Vec<LeaseAction> {
        match event {
            LeaseEvent::Read { id, offset, record } => self.read(id, offset, record, now),
            LeaseEvent::Tick { ready } if !self.leaving => self.tick(ready, now),
            LeaseEvent::Tick { .. } => Vec::new(),
            LeaseEvent::Leave => self.leave(now),
        }
    }

    /// Returns the term if the host may act under it now.
    ///
    /// This is the last check before the write of an order: after a pause of the process it fails,
    /// since the time that is passed in has moved on.
    pub fn may_act(&self, now: Millis) -> Option<Term> {
        let own = self.own_term()?;
        (!self.leaving && now >= self.quiet_until && now < self.valid_until).then_some(own)
    }

    /// Returns how long an order that is sent now may take at most.
    pub fn order_timeout(&self, now: Millis) -> Millis {
        match self.may_act(now) {
            Some(_) => self.rules.order_timeout,
            None => Millis::ZERO,
        }
    }

    fn read(
        &mut self,
        id: RecordId,
        offset: Offset,
        record: &LeaseRecord,
        now: Millis,
    ) -> Vec<LeaseAction> {
        if record.lease != self.kind || self.lease.last.is_some_and(|last| offset <= last) {
            return Vec::new();
        }
        let before = self.own_term();
        let sent = self.take_pending(id);
        if !self.lease.apply(offset, record) {
            return Vec::new();
        }
        self.read_at = now;
        let own = self.own_term();
        if let (Some(_), Some(sent)) = (own, sent) {
            self.valid_until = self.valid_until.max(sent + self.rules.duration);
        }
        match (before, own) {
            (before, Some(term)) if before != Some(term) => {
                self.begin(sent, now);
                vec![LeaseAction::Began(term)]
            }
            (Some(term), None) => {
                self.valid_until = Millis::ZERO;
                vec![LeaseAction::Ended(term)]
            }
            _ => Vec::new(),
        }
    }

    fn begin(&mut self, sent: Option<Millis>, now: Millis) {
        self.valid_until = sent.map_or(Millis::ZERO, |sent| sent + self.rules.duration);
        self.quiet_until = now + self.rules.order_timeout + self.rules.clock_margin;
    }

    fn tick(&mut self, ready: bool, now: Millis) -> Vec<LeaseAction> {
        if !ready || !self.is_send_due(now) {
            return Vec::new();
        }
        let step = match (&self.lease.holder, self.own_term()) {
            (_, Some(term)) => LeaseStep::Renew(term),
            (Some(_), None) if now < self.claimable_at() => return Vec::new(),
            _ => LeaseStep::Claim {
                after: self.lease.last,
            },
        };
        vec![self.append(step, now)]
    }

    fn leave(&mut self, now: Millis) -> Vec<LeaseAction> {
        self.leaving = true;
        match self.own_term() {
            Some(term) => vec![self.append(LeaseStep::Release(term), now)],
            None => Vec::new(),
        }
    }

    fn claimable_at(&self) -> Millis {
        self.read_at + self.rules.duration + self.rules.clock_margin + self.claim_delay
    }

    fn is_send_due(&self, now: Millis) -> bool {
        self.pending
            .back()
            .is_none_or(|last| now >= last.sent + self.rules.renewal_interval)
            && (self.own_term().is_none()
                || now + self.rules.duration >= self.valid_until + self.rules.renewal_interval)
    }

    fn append(&mut self, step: LeaseStep, now: Millis) -> LeaseAction {
        self.sequence += 1;
        let id = self.record_id();
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending { id, sent: now });
        LeaseAction::Append {
            id,
            record: LeaseRecord {
                step,
                lease: self.kind,
                holder: self.life.clone(),
            },
        }
    }

    fn record_id(&self) -> RecordId {
        let source = format!("{}/{}", self.kind.as_str(), self.life.host);
        let host = rapidhash_v3(source.as_bytes()) ^ self.life.incarnation.0.rotate_left(17);
        RecordId(RequestId(
            u128::from(host) << 64 | u128::from(self.sequence),
        ))
    }

    fn take_pending(&mut self, id: RecordId) -> Option<Millis> {
        let index = self.pending.iter().position(|pending| pending.id == id)?;
        self.pending.remove(index).map(|pending| pending.sent)
    }

    fn own_term(&self) -> Option<Term> {
        self.lease
            .holder
            .as_ref()
            .filter(|holder| holder.life == self.life)
            .map(|holder| holder.term)
    }
}
