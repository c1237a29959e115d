//! Chooses the target of a request.

use std::collections::HashMap;

use godwitspool_types::{Dc, Millis, ServiceName, TargetName, WeightVersion};
use rand::Rng;

use crate::{
    AttemptOutcome, LoadReport, TargetFacts, TargetId,
    pool::Pool,
    rendezvous::{stable_hash, weight},
    target::Target,
};

/// Fill in thousandths up to which a pool is preferred over dearer or farther ones.
const COMFORTABLE: u32 = 750;
/// Fill in thousandths at which a target takes nothing more.
const FULL: u32 = 1_000;
/// Part of a nearly full service that a host may use, in hundredths of an even share.
const SHARE_SLACK: u64 = 125;
/// How much fuller the target of an affinity may be than its alternative, in thousandths.
const AFFINITY_SLACK: u32 = 250;

/// What a request needs of its target.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// Hash of the prefix or group whose requests stay together, when there is one.
    pub affinity: Option<u64>,
    /// Hash of the workspace.
    pub caller: u64,
    /// Fingerprint: copies of one request meet the same two targets on every host.
    pub fingerprint: u64,
    /// Targets that are thought to hold the request's prefix.
    pub holders: Vec<TargetId>,
    /// Whether the request can go on elsewhere, so that a reclaimable target serves as well.
    pub resumable: bool,
    /// Service, qualified.
    pub service: ServiceName,
    /// Targets that were tried already.
    pub tried: Vec<TargetId>,
    /// Weight version that the target must run.
    pub version: Option<WeightVersion>,
}

/// What a choice has come upon so far.
#[derive(Default)]
struct Seen {
    /// Whether any target fits, full or not.
    fits: bool,
    /// A target with room, though not comfortable.
    room: Option<u32>,
}

/// Sums over the targets of a service.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    others: u64,
    own: u64,
    slots: u64,
}

/// The choice of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Targets fit, but all are full.
    Full,
    /// No target fits.
    None,
    /// The target.
    Target(TargetId),
}

/// The targets that a process knows, with their load.
///
/// ```
/// use godwitspool_request::{Choice, Need, TargetFacts, Targets};
/// use godwitspool_types::{Dc, Millis, ServiceName};
///
/// let mut targets = Targets::new(Dc::from("gori"));
/// let facts = TargetFacts {
///     service: ServiceName::from("desk"),
///     slots: 1,
///     accepts_work: true,
///     ..TargetFacts::default()
/// };
/// let id = targets.put(facts);
/// let need = Need { service: ServiceName::from("desk"), ..Need::default() };
/// assert_eq!(targets.choose(&need, Millis::ZERO), Choice::Target(id));
/// targets.begin(id);
/// assert_eq!(targets.choose(&need, Millis::ZERO), Choice::Full);
/// ```
#[derive(Clone, Debug)]
pub struct Targets {
    dc: Dc,
    free: Vec<u32>,
    hosts: u32,
    ids: HashMap<TargetName, u32>,
    pools: HashMap<ServiceName, Vec<Pool>>,
    table: Vec<Target>,
    totals: HashMap<ServiceName, Total>,
}

impl Targets {
    /// Starts with no targets, for a host in a data centre.
    pub fn new(dc: Dc) -> Self {
        Self {
            dc,
            free: Vec::new(),
            hosts: 1,
            ids: HashMap::new(),
            pools: HashMap::new(),
            table: Vec::new(),
            totals: HashMap::new(),
        }
    }

    // -----------------------------------------------------------------------
    // What is known

    /// Sets how many hosts send work to the targets.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts;
    }

    /// Adds a target, or changes what is known of it.
    pub fn put(&mut self, facts: TargetFacts) -> TargetId {
        if let Some(&id) = self.ids.get(&facts.target) {
            if self.table[id as usize].facts != facts {
                self.withdraw(id);
                self.table[id as usize].facts = facts;
                self.offer(id);
            }
            return TargetId(id);
        }
        let id = self.free.pop().unwrap_or_else(|| {
            self.table.push(Target::default());
            self.table.len() as u32 - 1
        });
        self.ids.insert(facts.target.clone(), id);
        self.table[id as usize] = Target {
            hash: stable_hash(facts.target.as_str().as_bytes()),
            facts,
            ..Target::default()
        };
        self.offer(id);
        TargetId(id)
    }

    /// Removes a target that is no longer listed; its requests in flight go on.
    pub fn remove(&mut self, name: &TargetName) {
        if let Some(id) = self.ids.remove(name) {
            self.withdraw(id);
            self.table[id as usize].gone = true;
            self.release(id);
        }
    }

    /// Takes the load report of a target.
    pub fn report(&mut self, name: &TargetName, report: &LoadReport) {
        if let Some(&id) = self.ids.get(name) {
            self.count(id, false);
            self.table[id as usize].report(report);
            self.count(id, true);
        }
    }

    /// Finds a target by its name.
    pub fn find(&self, name: &TargetName) -> Option<TargetId> {
        self.ids.get(name).copied().map(TargetId)
    }

    /// Returns what is known of a target.
    pub fn facts(&self, id: TargetId) -> &TargetFacts {
        &self.table[id.0 as usize].facts
    }

    /// Returns the estimated load of a target.
    pub fn load(&self, id: TargetId) -> u32 {
        self.table[id.0 as usize].load()
    }

    /// Returns the names of the targets that are known.
    pub fn names(&self) -> impl Iterator<Item = &TargetName> {
        self.ids.keys()
    }

    // -----------------------------------------------------------------------
    // Work

    /// Counts a request that is handed to a target.
    pub fn begin(&mut self, id: TargetId) {
        self.count(id.0, false);
        self.table[id.0 as usize].own += 1;
        self.count(id.0, true);
    }

    /// Counts a request that left a target.
    pub fn end(&mut self, id: TargetId) {
        self.count(id.0, false);
        let target = &mut self.table[id.0 as usize];
        target.own = target.own.saturating_sub(1);
        self.count(id.0, true);
        self.release(id.0);
    }

    /// Records how an attempt on a target went, for its breaker.
    pub fn record(
        &mut self,
        id: TargetId,
        health: AttemptOutcome,
        now: Millis,
        rng: &mut impl Rng,
    ) {
        self.table[id.0 as usize].breaker.record(health, now, rng);
    }

    /// Chooses a target for a request.
    ///
    /// Pools are tried in order: the own data centre first, the cheapest first. In a pool the
    /// request's fingerprint names two candidates by rendezvous, and the less loaded one is taken.
    pub fn choose(&self, need: &Need, now: Millis) -> Choice {
        let Some(pools) = self.pools.get(&need.service) else {
            return Choice::None;
        };
        if let Some(holder) = self.choose_holder(need, now) {
            return Choice::Target(holder);
        }
        if self.is_over_share(&need.service) {
            return Choice::Full;
        }
        let mut seen = Seen::default();
        for reclaimable in [false, true] {
            for pool in pools {
                if (pool.reclaimable && !need.resumable) != reclaimable {
                    continue;
                }
                if let Some(id) = self.choose_within(pool, need, &mut seen, now) {
                    return Choice::Target(TargetId(id));
                }
            }
            // What can't go on elsewhere takes a reclaimable target only when all others are full.
            if let Some(id) = seen.room {
                return Choice::Target(TargetId(id));
            }
        }
        if seen.fits {
            Choice::Full
        } else {
            Choice::None
        }
    }

    /// Tells whether this host has more than its part of a service whose targets are nearly full.
    ///
    /// Reports lag, so hosts that all see the same room would fill it several times over.
    fn is_over_share(&self, service: &ServiceName) -> bool {
        let Some(total) = self.totals.get(service) else {
            return false;
        };
        let busy = (total.others + total.own) * 1_000 >= total.slots * u64::from(COMFORTABLE);
        let part = total.slots * SHARE_SLACK / 100 / u64::from(self.hosts.max(1));
        self.hosts > 1 && busy && total.own > part
    }

    /// Returns the least loaded target of the own data centre that holds the prefix and has room.
    fn choose_holder(&self, need: &Need, now: Millis) -> Option<TargetId> {
        let fits = |&id: &TargetId| {
            let target = &self.table[id.0 as usize];
            let facts = &target.facts;
            let near = facts.dc == self.dc && facts.service == need.service;
            let kind = facts.accepts_work && !target.gone && (need.resumable || !facts.reclaimable);
            near && kind && target.fill() < COMFORTABLE && usable(id.0, target, need, now)
        };
        let holders = need.holders.iter().copied().filter(fits);
        holders.min_by_key(|id| self.table[id.0 as usize].fill())
    }

    /// Returns a member with comfortable room, and notes one with room at all.
    fn choose_within(&self, pool: &Pool, need: &Need, seen: &mut Seen, now: Millis) -> Option<u32> {
        let key = need.affinity.unwrap_or(need.fingerprint);
        let usable = |id: u32, target: &Target| usable(id, target, need, now);
        let fill = |id: u32| self.table[id as usize].fill();
        let ranking = pool.rank(key, &self.table, usable);
        let mut ids = ranking.ids();
        let slack = need.affinity.map_or(0, |_| AFFINITY_SLACK);
        let best = match (ids.next(), ids.next()) {
            (Some(first), Some(second)) if fill(first) > fill(second) + slack => Some(second),
            (first, _) => first,
        };
        seen.fits |= best.is_some();
        let ranked = best.into_iter().chain(ranking.ids());
        if let Some(id) = ranked.clone().find(|&id| fill(id) < COMFORTABLE) {
            return Some(id);
        }
        if seen.room.is_none() {
            seen.room = ranked.clone().find(|&id| fill(id) < FULL);
        }
        if seen.room.is_none() {
            seen.room = pool.search(key, |id| {
                fill(id) < FULL && usable(id, &self.table[id as usize])
            });
            seen.fits |= seen.room.is_some();
        }
        None
    }

    // -----------------------------------------------------------------------

    /// Counts a target that takes work into the sums of its service, or out of them.
    fn count(&mut self, id: u32, into: bool) {
        let target = &self.table[id as usize];
        if !target.facts.accepts_work || target.gone {
            return;
        }
        let Some(total) = self.totals.get_mut(&target.facts.service) else {
            return;
        };
        let part = [target.others, target.own, target.facts.slots].map(u64::from);
        let sums = [&mut total.others, &mut total.own, &mut total.slots];
        for (sum, part) in sums.into_iter().zip(part) {
            *sum = if into { *sum + part } else { *sum - part };
        }
    }

    fn offer(&mut self, id: u32) {
        let target = &self.table[id as usize];
        if !target.facts.accepts_work {
            return;
        }
        let service = target.facts.service.clone();
        self.totals.entry(service).or_default();
        self.count(id, true);
        let target = &self.table[id as usize];
        let TargetFacts {
            cost,
            dc,
            reclaimable,
            ..
        } = target.facts.clone();
        let pools = self.pools.entry(target.facts.service.clone()).or_default();
        let alike =
            |pool: &Pool| pool.dc == dc && pool.cost == cost && pool.reclaimable == reclaimable;
        if let Some(pool) = pools.iter_mut().find(|pool| alike(pool)) {
            pool.add(id, target.hash);
            return;
        }
        let mut pool = Pool::new(dc, cost, reclaimable);
        pool.add(id, target.hash);
        pools.push(pool);
        let own = stable_hash(self.dc.as_str().as_bytes());
        // Each data centre overflows into the others in an order of its own.
        let distance = |dc: &Dc| weight(own, stable_hash(dc.as_str().as_bytes()));
        pools.sort_by_key(|pool| (pool.dc != self.dc, distance(&pool.dc), pool.cost));
    }

    fn withdraw(&mut self, id: u32) {
        self.count(id, false);
        let target = &self.table[id as usize];
        if let Some(pools) = self.pools.get_mut(&target.facts.service) {
            pools
                .iter_mut()
                .filter(|pool| pool.dc == target.facts.dc)
                .for_each(|pool| pool.remove(id, target.hash));
            pools.retain(|pool| !pool.is_empty());
        }
    }

    fn release(&mut self, id: u32) {
        let target = &mut self.table[id as usize];
        if target.gone && target.own == 0 {
            target.gone = false;
            self.free.push(id);
        }
    }
}

fn usable(id: u32, target: &Target, need: &Need, now: Millis) -> bool {
    let version = need
        .version
        .as_ref()
        .is_none_or(|version| *version == target.weights);
    version && !need.tried.contains(&TargetId(id)) && target.breaker.allows(need.caller, now)
}
