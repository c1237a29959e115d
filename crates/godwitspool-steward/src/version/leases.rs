//! This host's part in each lease.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, mpsc::Receiver},
};

use godwitspool_process::{
    Clock, Tick,
    log_reader::{Applied, LogEvent, Replica},
    membership::GossipEvent,
};
use godwitspool_types::{Millis, Term};
use godwitspool_version::{
    Change, HostLife, Lease, LeaseAction, LeaseCandidate, LeaseEvent, LeaseKind, LeaseRules,
    Record, RecordBody,
};
use rapidhash::v3::rapidhash_v3;

use crate::process::shared::{Shared, lock};

const MAX_RANK_WAIT: u64 = 400;

/// This host's candidates, one for each lease.
#[derive(Debug)]
pub(crate) struct Leases {
    candidates: Mutex<BTreeMap<LeaseKind, LeaseCandidate>>,
    clock: Clock,
    pub(crate) rules: LeaseRules,
}

impl Leases {
    pub(crate) fn new(life: &HostLife, rules: LeaseRules, clock: Clock) -> Self {
        let candidate = |kind: LeaseKind| {
            let mut candidate = LeaseCandidate::new(kind, life.clone(), rules);
            let text = format!("{}/{}/{}", kind.as_str(), life.host, life.incarnation.0);
            let rank = rapidhash_v3(text.as_bytes()) % MAX_RANK_WAIT;
            candidate.set_claim_delay(Millis(rank));
            (kind, candidate)
        };
        Self {
            candidates: Mutex::new(LeaseKind::ALL.map(candidate).into()),
            clock,
            rules,
        }
    }

    /// Returns the term if this host may act under the lease at this moment. Call it last before the
    /// act.
    pub(crate) fn may_act(&self, kind: LeaseKind) -> Option<Term> {
        let candidates = lock(&self.candidates);
        // The time is read behind the lock, since waiting for the lock takes time too.
        candidates[&kind].may_act(self.clock.now())
    }

    /// Returns a lease as this host has read it.
    pub(crate) fn lease(&self, kind: LeaseKind) -> Lease {
        lock(&self.candidates)[&kind].lease().clone()
    }

    /// Takes an event to every candidate and returns what they want done.
    fn decide(&self, event: LeaseEvent<'_>, now: Millis) -> Vec<(LeaseKind, LeaseAction)> {
        let mut candidates = lock(&self.candidates);
        candidates
            .iter_mut()
            .flat_map(|(kind, candidate)| {
                let actions = candidate.decide(event, now);
                actions.into_iter().map(|action| (*kind, action))
            })
            .collect()
    }

    fn restart_from(&self, replica: &Replica, now: Millis) {
        for (kind, candidate) in lock(&self.candidates).iter_mut() {
            candidate.restore(replica.fold().lease(*kind), now);
        }
    }
}

/// Something that the lease thread hears.
#[derive(Debug)]
pub(crate) enum Event {
    Log(LogEvent),
    Members,
    Stop,
    Tick,
}

impl From<GossipEvent> for Event {
    fn from(_: GossipEvent) -> Self {
        Self::Members
    }
}

impl From<LogEvent> for Event {
    fn from(event: LogEvent) -> Self {
        Self::Log(event)
    }
}

impl From<Tick> for Event {
    fn from(_: Tick) -> Self {
        Self::Tick
    }
}

/// Feeds the candidates and the board from the log, until told to stop.
pub(crate) fn run(shared: &Arc<Shared>, events: &Receiver<Event>) {
    let mut confirmed = None;
    while let Ok(event) = events.recv() {
        let now = shared.clock.now();
        match event {
            Event::Stop => return,
            Event::Members => shared.board.set_members(shared.gossip.members()),
            Event::Log(LogEvent::Applied(applied)) => read(shared, &applied, now),
            Event::Log(LogEvent::Restored) => {
                shared
                    .reader
                    .read(|replica| shared.leases.restart_from(replica, now));
                refresh(shared);
            }
            Event::Log(LogEvent::Confirmed(at)) => {
                confirmed = Some(at);
                refresh(shared);
                shared.board.confirm(now - at);
            }
            Event::Tick => {
                // A host that doesn't read the log can't know whether it would be the next holder.
                let ready = confirmed.is_some_and(|at| now - at < shared.leases.rules.duration);
                carry_out(
                    shared,
                    shared.leases.decide(LeaseEvent::Tick { ready }, now),
                );
            }
        }
    }
}

/// Gives up what is held, so that others needn't wait for the terms' end.
pub(crate) fn leave(shared: &Shared) {
    let actions = shared.leases.decide(LeaseEvent::Leave, shared.clock.now());
    carry_out(shared, actions);
}

fn read(shared: &Shared, applied: &[Applied], now: Millis) {
    for Applied { change, offset } in applied {
        if let Change::Lease { id, record } = change {
            let event = LeaseEvent::Read {
                id: *id,
                offset: *offset,
                record,
            };
            carry_out(shared, shared.leases.decide(event, now));
        }
    }
    refresh(shared);
}

fn refresh(shared: &Shared) {
    shared
        .reader
        .read(|replica| shared.board.set_fold(replica.fold()));
}

fn carry_out(shared: &Shared, actions: Vec<(LeaseKind, LeaseAction)>) {
    for (kind, action) in actions {
        match action {
            LeaseAction::Append { id, record } => shared.append_record(Record {
                id,
                body: RecordBody::Lease(record),
            }),
            LeaseAction::Began(term) => {
                shared.counts.lease_steps.count("began");
                log::info!(lease = kind.as_str(), term:% = term; "term began");
            }
            LeaseAction::Ended(term) => {
                shared.counts.lease_steps.count("ended");
                log::info!(lease = kind.as_str(), term:% = term; "term ended");
            }
        }
    }
}
