use std::{collections::HashMap, process, sync::Arc, thread, time::Duration};

use godwitspool_process::{CounterByReason, Gauge};
use godwitspool_types::Millis;

use super::{Activity, Listing, Shared, StallDetector, Standby, duties::DutyLease, is_standby};
use crate::{
    batch::{Owner, next_epoch},
    lease_clock,
    store::{Assignment, Store, Topic},
};

/// Time without a renewal after which a member loses its partitions. It is short compared to the
/// seconds within which batch results are due, and long compared to slow responses of the store.
const MEMBER_TTL: Duration = Duration::from_secs(2);
/// Number of renewals attempted within the TTL.
const RENEWALS_PER_TTL: u32 = 3;
/// The process ends once a worker has stood still for this multiple of the lease. A blocked thread
/// doesn't come loose, and callers and partitions are better served by a process that is restarted.
const EXIT_FACTOR: u64 = 3;
/// Exit status of a process that ends because a worker stands still.
const STALLED_STATUS: i32 = 102;

/// Keeps this host in the hosts' group and owns the partitions that the store assigns to it.
pub struct Membership {
    shared: Arc<Shared>,
    duty_lease: Arc<DutyLease>,
    owners: HashMap<u32, Owner>,
    generation: u64,
    /// Time for which the membership lasts without a renewal.
    ttl: Duration,
    /// When a host with little processor time is a member; `None` for other hosts, which always are.
    standby: Option<Standby>,
    /// Number of times that this host joined or left the group as a standby, by reason.
    standby_changes: CounterByReason,
    /// Number of owned partitions.
    owned_parts: Gauge,
    /// Number of partitions that are read only for lack of room in the store.
    copies: Gauge,
    duties: StallDetector,
    runner: StallDetector,
}

impl Membership {
    /// Creates a member that owns no partitions.
    pub fn new(shared: Arc<Shared>, duty_lease: Arc<DutyLease>) -> Self {
        let store = &shared.settings.store;
        let ttl = MEMBER_TTL.max(store.member_ttl);
        let standby = is_standby(&shared.settings.resources, store)
            .then(|| Standby::new(shared.member.clone(), store.parts, ttl.into()));
        let metrics = &shared.metrics;
        let standby_changes = metrics.counter_by_reason(
            "standby_changes",
            "Times that a small host joined or left the hosts' group, by reason",
        );
        let owned_parts = metrics.gauge("partitions", "Partitions of batches that the host owns");
        let copies = metrics.gauge(
            "partition_copies",
            "Partitions that the host serves read only, as the store has no room",
        );
        Self {
            ttl,
            standby,
            standby_changes,
            owned_parts,
            copies,
            duty_lease,
            duties: StallDetector::default(),
            generation: 0,
            owners: HashMap::new(),
            runner: StallDetector::default(),
            shared,
        }
    }

    /// Renews the membership until the process drains, then hands over all partitions and leaves
    /// the group.
    pub fn run(mut self) {
        let ttl = self.ttl;
        let (mut failing, mut out) = (false, false);
        while !self.shared.is_draining() {
            let stalled = self.is_stalled();
            if stalled && !out {
                self.withdraw();
            }
            out = stalled;
            if out || !self.takes_part() {
                thread::sleep(ttl / RENEWALS_PER_TTL);
                continue;
            }
            let mut released = false;
            let sent = lease_clock();
            match self
                .shared
                .store
                .join(&self.shared.member, self.generation, ttl)
            {
                Ok(assignment) => {
                    if failing {
                        log::info!(generation = assignment.generation; "membership renewed after failures");
                    }
                    failing = false;
                    released = self.apply_assignment(&assignment, sent + Millis::from(ttl));
                    // Kept partitions are doubtful by now, if they have to be.
                    self.shared.owned_batches.lease().renew(sent, ttl.into());
                    // The addresses of other hosts must be known before the store becomes
                    // unreachable, so that calls can be relayed.
                    self.shared.peers.refresh(&self.shared);
                }
                Err(error) => {
                    if !failing {
                        log::warn!(error:%, generation = self.generation; "membership renewal failed");
                    }
                    failing = true;
                    let mut lease = self.shared.owned_batches.lease();
                    lease.fail(sent, lease_clock(), ttl.into());
                }
            }
            // The store reassigns released partitions at the next renewal, which therefore follows
            // immediately.
            if !released {
                thread::sleep(ttl / RENEWALS_PER_TTL);
            }
        }
        if self.standby.as_ref().is_none_or(Standby::is_member) {
            self.leave();
        }
    }

    /// Hands over all partitions and leaves the group.
    fn leave(&mut self) {
        self.duty_lease.release();
        hand_over(self.owners.values());
        self.owners.clear();
        self.owned_parts.set(0);
        match self.shared.store.leave(&self.shared.member) {
            Ok(()) => log::info!("left the hosts' group"),
            Err(error) => log::warn!(error:%; "leaving the hosts' group not confirmed"),
        }
    }

    /// Returns whether this host is to be a member of the group now. A standby asks the store who holds
    /// partitions, and leaves the group once it isn't needed any more.
    fn takes_part(&mut self) -> bool {
        let Some(standby) = &mut self.standby else {
            return true;
        };
        let asked = lease_clock();
        if let Some(holdings) = self.shared.peers.reload(&self.shared) {
            let listing = Listing {
                asked,
                answered: lease_clock(),
                holdings: &holdings,
            };
            if let Some(change) = standby.observe(&listing) {
                let (reason, joins) = (change.as_str(), standby.is_member());
                log::info!(reason, joins; "standby changes");
                self.standby_changes.count(reason);
                if !joins {
                    self.leave();
                    return false;
                }
            }
        }
        self.standby.as_ref().is_none_or(Standby::is_member)
    }

    /// Returns whether a worker behind the duties or the partitions has stood still for longer than
    /// the lease. Ends the process if it has done so for several leases.
    fn is_stalled(&mut self) -> bool {
        let now = self.shared.clock.now();
        let lease = Millis::from(self.shared.settings.lease);
        let observe = |worker: &'static str, detector: &mut StallDetector, activity: &Activity| {
            let before = *detector;
            let stalled = detector.observe(activity.step(), now);
            if stalled >= lease && !before.is_stalled(lease) {
                self.shared.stalls.count(worker);
                log::error!(worker, stalled_ms = stalled.0; "worker stands still");
            }
            if stalled.0 >= lease.0 * EXIT_FACTOR {
                log::error!(worker, stalled_ms = stalled.0; "process exits: a worker stands still");
                process::exit(STALLED_STATUS);
            }
            stalled >= lease
        };
        let duties = observe("duties", &mut self.duties, &self.shared.duties_activity);
        let runner = observe("runner", &mut self.runner, &self.shared.runner_activity);
        self.shared.set_stalled(duties || runner);
        duties || runner
    }

    /// Gives up the duties and the partitions without waiting for the worker that stands still.
    fn withdraw(&mut self) {
        self.duty_lease.release();
        match self.shared.store.leave(&self.shared.member) {
            Ok(()) => log::info!("left the hosts' group"),
            Err(error) => log::warn!(error:%; "leaving the hosts' group not confirmed"),
        }
        // The next owners fence these off. Closing them takes locks that the worker may hold.
        let owners = std::mem::take(&mut self.owners);
        self.owned_parts.set(0);
        let closing = thread::Builder::new()
            .name("hand-over".to_owned())
            .spawn(move || hand_over(owners.values()));
        if let Err(error) = closing {
            log::error!(error:%; "can't start a thread for a hand-over");
        }
    }

    /// Applies the store's assignment. Returns whether partitions were released.
    fn apply_assignment(&mut self, assignment: &Assignment, until: Millis) -> bool {
        let changed = assignment.generation != self.generation;
        self.generation = assignment.generation;
        if changed {
            log::info!(generation = assignment.generation, parts:? = assignment.parts; "partitions dealt");
            self.shared.peers.mark_stale();
        }
        let assigned = |topic| {
            let parts = assignment
                .parts
                .iter()
                .filter(move |(held, _)| *held == topic);
            parts.map(|(_, part)| *part)
        };
        match next_epoch(assignment.generation, None, rand::random()) {
            Some(epoch) if assigned(Topic::Duty).next().is_some() => {
                self.duty_lease.renew(epoch, until);
            }
            _ => self.duty_lease.release(),
        }
        let parts: Vec<u32> = assigned(Topic::Results).collect();
        let (kept, lost): (HashMap<u32, Owner>, HashMap<u32, Owner>) =
            std::mem::take(&mut self.owners)
                .into_iter()
                .partition(|(part, _)| parts.contains(part));
        self.owners = kept;
        hand_over(lost.values());
        for part in parts {
            let held = self.owners.get(&part);
            if let Some(held) = held.filter(|held| !held.is_lost()) {
                held.observe_assignment(assignment.generation);
                continue;
            }
            let closed = held.map(|held| held.epoch);
            if let Some(epoch) = next_epoch(assignment.generation, closed, rand::random()) {
                self.start_owner(part, epoch);
            }
        }
        self.owned_parts.set(self.owners.len() as i64);
        self.copies.set(self.shared.owned_batches.copies() as i64);
        !lost.is_empty()
    }

    fn start_owner(&mut self, part: u32, epoch: u64) {
        let started = Owner::start(
            Arc::clone(&self.shared.store) as Arc<dyn Store>,
            Arc::clone(&self.shared.owned_batches),
            self.shared.settings.store,
            self.shared.settings.batch_ttl,
            (part, epoch),
        );
        match started {
            Ok(owner) => {
                self.owners.insert(part, owner);
            }
            Err(error) => log::error!(error:%, partition = part; "can't start a partition thread"),
        }
    }
}

/// Hands over partitions in parallel, since each takes several calls to the store.
fn hand_over<'a>(owners: impl Iterator<Item = &'a Owner>) {
    thread::scope(|scope| {
        for owner in owners {
            scope.spawn(|| owner.hand_over());
        }
    });
}
