//! This host's candidacy for each lease.

use std::{
    collections::BTreeMap,
    sync::{Arc, mpsc::Receiver},
};

use godwitspool_process::{
    Clock, Tick,
    log_reader::{Applied, LogEvent, Replica},
    membership::GossipEvent,
};
use godwitspool_sync::Mutex;
use godwitspool_types::{Millis, Term};
use godwitspool_version::{
    Change, HostLife, Lease, LeaseAction, LeaseCandidate, LeaseEvent, LeaseKind, LeaseRules,
    Record, RecordBody,
};
use rapidhash::v3::rapidhash_v3;

use crate::process::shared::{Shared, lock};

/// Upper bound of the time by which candidates spread their claims of an expired lease.
const MAX_CLAIM_DELAY_MS: u64 = 400;

/// This host's candidates, one per lease.
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
            let delay = rapidhash_v3(text.as_bytes()) % MAX_CLAIM_DELAY_MS;
            candidate.set_claim_delay(Millis(delay));
            (kind, candidate)
        };
        Self {
            candidates: Mutex::new(LeaseKind::ALL.map(candidate).into()),
            clock,
            rules,
        }
    }

    /// Returns the term if this host may act under the lease now. Callers must call this
    /// immediately before they act.
    pub(crate) fn may_act(&self, kind: LeaseKind) -> Option<Term> {
        let candidates = lock(&self.candidates);
        // Reads the clock after taking the lock, because waiting for the lock takes time.
        candidates[&kind].may_act(self.clock.now())
    }

    /// Returns the state of a lease according to the records that this host has read.
    pub(crate) fn lease(&self, kind: LeaseKind) -> Lease {
        lock(&self.candidates)[&kind].lease().clone()
    }

    /// Passes an event to every candidate and returns their actions.
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

    /// Sets every candidate's lease from a replica that was restored from a snapshot.
    fn restore_from(&self, replica: &Replica, now: Millis) {
        for (kind, candidate) in lock(&self.candidates).iter_mut() {
            candidate.restore(replica.fold().lease(*kind), now);
        }
    }
}

/// An input of the lease thread.
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

/// Passes log events and ticks to the candidates and keeps the view up to date until
/// [`Event::Stop`].
pub(crate) fn run(shared: &Arc<Shared>, events: &Receiver<Event>) {
    let mut confirmed = None;
    while let Ok(event) = events.recv() {
        let now = shared.clock.now();
        match event {
            Event::Stop => return,
            Event::Members => shared.current_view.set_members(shared.gossip.members()),
            Event::Log(LogEvent::Applied(applied)) => handle_records(shared, &applied, now),
            Event::Log(LogEvent::Restored) => {
                shared
                    .reader
                    .read(|replica| shared.leases.restore_from(replica, now));
                refresh_view(shared);
            }
            Event::Log(LogEvent::Confirmed(at)) => {
                confirmed = Some(at);
                refresh_view(shared);
                shared.current_view.confirm(now - at);
            }
            Event::Tick => {
                // A host that hasn't read the log recently can't know whether the lease is free.
                let ready = confirmed.is_some_and(|at| now - at < shared.leases.rules.duration);
                execute(
                    shared,
                    shared.leases.decide(LeaseEvent::Tick { ready }, now),
                );
            }
        }
    }
}

/// Releases the leases, so that other hosts needn't wait for the terms to expire.
pub(crate) fn leave(shared: &Shared) {
    let actions = shared.leases.decide(LeaseEvent::Leave, shared.clock.now());
    execute(shared, actions);
}

fn handle_records(shared: &Shared, applied: &[Applied], now: Millis) {
    for Applied { change, offset } in applied {
        if let Change::Lease { id, record } = change {
            let event = LeaseEvent::Read {
                id: *id,
                offset: *offset,
                record,
            };
            execute(shared, shared.leases.decide(event, now));
        }
    }
    refresh_view(shared);
}

fn refresh_view(shared: &Shared) {
    shared
        .reader
        .read(|replica| shared.current_view.set_fold(replica.fold()));
}

fn execute(shared: &Shared, actions: Vec<(LeaseKind, LeaseAction)>) {
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
