use std::{collections::HashMap, sync::Arc, thread, time::Duration};

use godwitspool_types::Millis;

use super::{Shared, duties::DutyLease, shared::lease_clock};
use crate::{
    batch::Owner,
    store::{Assignment, Store, Topic},
};

/// Time without a renewal after which a member loses its partitions. It is short compared to the
/// seconds within which batch results are due, and long compared to slow responses of the store.
const MEMBER_TTL: Duration = Duration::from_secs(2);
/// Number of renewals attempted within the TTL.
const RENEWALS_PER_TTL: u32 = 3;
/// Number of random low bits in an epoch, so that two owners don't share one.
const EPOCH_RANDOM_BITS: u32 = 16;

/// Keeps this host in the hosts' group and owns the partitions that the store assigns to it.
pub struct Membership {
    shared: Arc<Shared>,
    duty_lease: Arc<DutyLease>,
    owners: HashMap<u32, HeldPartition>,
    generation: u64,
}

/// A partition that the store has assigned to this host.
struct HeldPartition {
    owner: Owner,
    /// Generation of the group in which ownership started.
    generation: u64,
}

impl Membership {
    /// Creates a member that owns no partitions.
    pub fn new(shared: Arc<Shared>, duty_lease: Arc<DutyLease>) -> Self {
        Self {
            duty_lease,
            generation: 0,
            owners: HashMap::new(),
            shared,
        }
    }

    /// Renews the membership until the process drains, then hands over all partitions and leaves
    /// the group.
    pub fn run(mut self) {
        let ttl = MEMBER_TTL.max(self.shared.settings.store.member_ttl);
        let mut failing = false;
        while !self.shared.is_draining() {
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
                    // The addresses of other hosts must be known before the store becomes
                    // unreachable, so that calls can be relayed.
                    self.shared.peers.refresh(&self.shared);
                }
                Err(error) => {
                    if !failing {
                        log::warn!(error:%, generation = self.generation; "membership renewal failed");
                    }
                    failing = true;
                }
            }
            // The store reassigns released partitions at the next renewal, which therefore follows
            // immediately.
            if !released {
                thread::sleep(ttl / RENEWALS_PER_TTL);
            }
        }
        self.duty_lease.release();
        hand_over(self.owners.values());
        match self.shared.store.leave(&self.shared.member) {
            Ok(()) => log::info!("left the hosts' group"),
            Err(error) => log::warn!(error:%; "leaving the hosts' group not confirmed"),
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
        if assigned(Topic::Duty).next().is_some() {
            self.duty_lease.renew(epoch(assignment.generation), until);
        } else {
            self.duty_lease.release();
        }
        let parts: Vec<u32> = assigned(Topic::Results).collect();
        let (kept, lost): (HashMap<u32, HeldPartition>, HashMap<u32, HeldPartition>) =
            std::mem::take(&mut self.owners)
                .into_iter()
                .partition(|(part, _)| parts.contains(part));
        self.owners = kept;
        hand_over(lost.values());
        for part in parts {
            let held = self.owners.get(&part);
            let fenced = held.is_some_and(|held| {
                held.owner.is_lost() && held.generation != assignment.generation
            });
            if held.is_none() || fenced {
                self.start_owner(part, assignment.generation);
            }
        }
        !lost.is_empty()
    }

    fn start_owner(&mut self, part: u32, generation: u64) {
        let started = Owner::start(
            Arc::clone(&self.shared.store) as Arc<dyn Store>,
            Arc::clone(&self.shared.owned_batches),
            self.shared.settings.store,
            self.shared.settings.batch_ttl,
            (part, epoch(generation)),
        );
        match started {
            Ok(owner) => {
                self.owners
                    .insert(part, HeldPartition { owner, generation });
            }
            Err(error) => log::error!(error:%, partition = part; "can't start a partition thread"),
        }
    }
}

/// Hands over partitions in parallel, since each takes several calls to the store.
fn hand_over<'a>(held: impl Iterator<Item = &'a HeldPartition>) {
    thread::scope(|scope| {
        for held in held {
            scope.spawn(|| held.owner.hand_over());
        }
    });
}

/// Returns an epoch that is higher than those of earlier generations and, through its random bits,
/// differs from others of the same generation.
fn epoch(generation: u64) -> u64 {
    let random = rand::random::<u64>() & ((1 << EPOCH_RANDOM_BITS) - 1);
    (generation << EPOCH_RANDOM_BITS) | random
}
