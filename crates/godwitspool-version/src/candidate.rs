//! The state machine by which a host claims, renews and uses a lease.

use std::collections::VecDeque;

use godwitspool_types::{Millis, Offset, RequestId, Term};
use rapidhash::v3::rapidhash_v3;

use crate::{HostLife, Lease, LeaseKind, LeaseRecord, LeaseStep, RecordId};

const MAX_PENDING_APPENDS: usize = 8;

/// Durations that a lease depends on.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseRules {
    /// Time that other hosts wait beyond the duration, because clocks run at different rates.
    pub clock_margin: Millis,
    /// Longest time from the last check before an order until the order has taken effect.
    pub order_timeout: Millis,
    /// Time between renewals.
    pub renewal_interval: Millis,
    /// How long a claim or renewal is valid, counted from before it was sent.
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

/// An input of [`LeaseCandidate::decide`].
#[derive(Clone, Copy, Debug)]
pub enum LeaseEvent<'a> {
    /// A record of the log was read.
    Read {
        /// Identifier of the record.
        id: RecordId,
        /// Offset of the record in the log.
        offset: Offset,
        /// Content of the record.
        record: &'a LeaseRecord,
    },
    /// Time has passed.
    Tick {
        /// Whether the host has read the log to its end recently. The candidate claims and renews
        /// the lease only if this is set.
        ready: bool,
    },
    /// The host shuts down and releases the lease.
    Leave,
}

/// An output of [`LeaseCandidate::decide`], which the caller executes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Append the record. If the result of the append is unknown, the same record may be appended
    /// again.
    Append {
        /// Identifier of the record.
        id: RecordId,
        /// Content of the record.
        record: LeaseRecord,
    },
    /// A term of this host began.
    Began(Term),
    /// The term of this host ended.
    Ended(Term),
}

/// One host's state machine for one lease.
///
/// The holder counts the validity from before it sent the claim or renewal, but relies on it only
/// after it has read that record back. Other hosts wait for the lease's duration and the clock
/// margin from when they read the last record. A new holder doesn't act until the orders of its
/// predecessor have timed out, so targets that ignore the fencing token are safe too.
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
    act_from: Millis,
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
    /// Creates a candidate that has read no lease record yet.
    pub fn new(kind: LeaseKind, life: HostLife, rules: LeaseRules) -> Self {
        Self {
            kind,
            leaving: false,
            lease: Lease::default(),
            life,
            pending: VecDeque::new(),
            act_from: Millis::ZERO,
            claim_delay: Millis::ZERO,
            read_at: Millis::ZERO,
            rules,
            sequence: 0,
            valid_until: Millis::ZERO,
        }
    }

    /// Replaces the lease by the one from a snapshot, which counts as read now.
    pub fn restore(&mut self, lease: Lease, now: Millis) {
        self.lease = lease;
        self.read_at = now;
    }

    /// Sets how much longer this candidate waits before it claims an expired lease, so that hosts
    /// don't all claim at the same time.
    pub fn set_claim_delay(&mut self, delay: Millis) {
        self.claim_delay = delay;
    }

    /// Returns the lease as this host has read it.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Handles an event and returns what to do.
    pub fn decide(&mut self, event: LeaseEvent<'_>, now: Millis) -> Vec<LeaseAction> {
        match event {
            LeaseEvent::Read { id, offset, record } => self.read(id, offset, record, now),
            LeaseEvent::Tick { ready } if !self.leaving => self.tick(ready, now),
            LeaseEvent::Tick { .. } => Vec::new(),
            LeaseEvent::Leave => self.leave(now),
        }
    }

    /// Returns the term if this host may act under the lease now.
    ///
    /// This is the last check before an order is written. It fails after a pause of the process
    /// that outlasts the lease, because `now` is past the end of the validity.
    pub fn may_act(&self, now: Millis) -> Option<Term> {
        let own = self.own_term()?;
        (!self.leaving && now >= self.act_from && now < self.valid_until).then_some(own)
    }

    /// Returns the timeout for an order that is sent now, or zero if this host may not act.
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
        self.act_from = now + self.rules.order_timeout + self.rules.clock_margin;
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
        if self.pending.len() == MAX_PENDING_APPENDS {
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
