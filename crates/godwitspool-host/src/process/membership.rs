use std::{collections::HashMap, sync::Arc, thread, time::Duration};

use godwitspool_types::Millis;

use super::{Shared, duties::Desk, shared::lease_clock};
use crate::{
    batch::Owner,
    store::{Assignment, Store, Topic},
};

/// A member that has sent nothing for so long loses its partitions: short beside the seconds in
/// which a batch's results are due, long beside the store's slow answers.
const MEMBER_TTL: Duration = Duration::from_secs(2);
/// Renewals within that time.
const RENEWALS: u32 = 3;
/// Bits of an epoch that are drawn at random, so that no two owners ever share one.
const EPOCH_RANDOM_BITS: u32 = 16;

/// Stays in the hosts' group and owns the partitions that the store deals to this host.
pub struct Membership {
    shared: Arc<Shared>,
    desk: Arc<Desk>,
    owners: HashMap<u32, Held>,
    generation: u64,
}

struct Held {
    owner: Owner,
    generation: u64,
}

impl Membership {
    /// Creates a member that holds nothing.
    pub fn new(shared: Arc<Shared>, desk: Arc<Desk>) -> Self {
        Self {
            desk,
            generation: 0,
            owners: HashMap::new(),
            shared,
        }
    }

    /// Renews the membership until the process drains, then gives everything up.
    pub fn run(mut self) {
        let ttl = MEMBER_TTL.max(self.shared.settings.store.member_ttl);
        let mut failing = false;
        while !self.shared.is_draining() {
            let mut given_up = false;
            let sent = lease_clock();
            match self
                .shared
                .store
                .join(&self.shared.member, self.generation, ttl)
            {
                Ok(assignment) => {
                    if failing {
                        log::info!(generation = assignment.generation; "membership renewed again");
                    }
                    failing = false;
                    given_up = self.take(&assignment, sent + Millis::from(ttl));
                    // Other hosts must be known before the store turns this one away.
                    self.shared.peers.refresh(&self.shared);
                }
                Err(error) => {
                    if !failing {
                        log::warn!(error:%, generation = self.generation; "membership not renewed");
                    }
                    failing = true;
                }
            }
            // The store deals what was given up to others at the next renewal.
            if !given_up {
                thread::sleep(ttl / RENEWALS);
            }
        }
        self.desk.release();
        hand_over(self.owners.values());
        match self.shared.store.leave(&self.shared.member) {
            Ok(()) => log::info!("left the hosts' group"),
            Err(error) => log::warn!(error:%; "leaving the hosts' group not confirmed"),
        }
    }

    /// Takes over what the store has dealt; tells whether partitions were given up.
    fn take(&mut self, assignment: &Assignment, until: Millis) -> bool {
        let changed = assignment.generation != self.generation;
        self.generation = assignment.generation;
        if changed {
            log::info!(generation = assignment.generation, parts:? = assignment.parts; "partitions dealt");
            self.shared.peers.suspect();
        }
        let dealt = |topic| {
            let parts = assignment
                .parts
                .iter()
                .filter(move |(held, _)| *held == topic);
            parts.map(|(_, part)| *part)
        };
        if dealt(Topic::Duty).next().is_some() {
            self.desk.hold(epoch(assignment.generation), until);
        } else {
            self.desk.release();
        }
        let parts: Vec<u32> = dealt(Topic::Results).collect();
        let (kept, lost): (HashMap<u32, Held>, HashMap<u32, Held>) =
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
                self.own(part, assignment.generation);
            }
        }
        !lost.is_empty()
    }

    fn own(&mut self, part: u32, generation: u64) {
        let started = Owner::start(
            Arc::clone(&self.shared.store) as Arc<dyn Store>,
            Arc::clone(&self.shared.owned_batches),
            self.shared.settings.store,
            self.shared.settings.batch_ttl,
            (part, epoch(generation)),
        );
        match started {
            Ok(owner) => {
                self.owners.insert(part, Held { owner, generation });
            }
            Err(error) => log::error!(error:%, partition = part; "no thread for a partition"),
        }
    }
}

/// Gives partitions up, all at once: each takes a few calls to the store.
fn hand_over<'a>(held: impl Iterator<Item = &'a Held>) {
    thread::scope(|scope| {
        for held in held {
            scope.spawn(|| held.owner.hand_over());
        }
    });
}

/// Returns an epoch that is higher than those of earlier generations and unlike any other.
fn epoch(generation: u64) -> u64 {
    let random = rand::random::<u64>() & ((1 << EPOCH_RANDOM_BITS) - 1);
    (generation << EPOCH_RANDOM_BITS) | random
}
