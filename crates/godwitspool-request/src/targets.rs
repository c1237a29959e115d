//! Chooses the target for a request.

use std::collections::HashMap;

use godwitspool_types::{Dc, Millis, ServiceName, TargetName, WeightVersion};
use rand::Rng;

use crate::{
    AttemptOutcome, LoadReport, TargetFacts, TargetId,
    pool::Pool,
    rendezvous::{stable_hash, weight},
    target::Target,
};

/// Load in thousandths of the slots below which a target is preferred over costlier or farther
/// ones.
const PREFERRED_FILL_PERMILLE: u32 = 750;
/// Load in thousandths of the slots from which a target gets no more requests.
const MAX_FILL_PERMILLE: u32 = 1_000;
/// Part of a nearly full service that one host may use, in percent of an even share.
const MAX_SHARE_PERCENT: u64 = 125;
/// How much more loaded the preferred target of an affinity may be than its alternative, in
/// thousandths of the slots.
const AFFINITY_SLACK_PERMILLE: u32 = 250;

/// What a request needs of its target.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// Hash of the prefix or group whose requests should run on the same target, if any.
    pub affinity: Option<u64>,
    /// Hash of the caller's workspace, for the circuit breaker.
    pub caller: u64,
    /// Fingerprint, which gives copies of a request the same two candidates on every host.
    pub fingerprint: u64,
    /// Targets that probably hold the request's prefix.
    pub holders: Vec<TargetId>,
    /// Whether the request can be resumed on another target, so that reclaimable targets are used
    /// like any others.
    pub resumable: bool,
    /// Qualified name of the service.
    pub service: ServiceName,
    /// Targets that were already tried and are not chosen again.
    pub tried: Vec<TargetId>,
    /// Weight version that the target must serve; `None` accepts any.
    pub version: Option<WeightVersion>,
}

/// Results of the search so far, which are used if no target has a preferred load.
#[derive(Default)]
struct Fallback {
    /// Whether any target meets the requirements, even if it is full.
    fits: bool,
    /// A target that isn't full, although its load is above the preferred one.
    room: Option<u32>,
}

/// Sums over the targets of a service that accept work.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    others: u64,
    own: u64,
    slots: u64,
}

/// The result of choosing a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Targets meet the requirements, but all are full.
    Full,
    /// No target meets the requirements.
    None,
    /// The chosen target.
    Target(TargetId),
}

/// The targets known to a process, with their load.
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
    /// Creates an empty set of targets for a host in this data centre.
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

    /// Sets how many hosts send requests to the targets.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts;
    }

    /// Adds a target or updates its facts.
    pub fn put(&mut self, facts: TargetFacts) -> TargetId {
        if let Some(&id) = self.ids.get(&facts.target) {
            if self.table[id as usize].facts != facts {
                self.remove_from_pool(id);
                self.table[id as usize].facts = facts;
                self.add_to_pool(id);
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
        self.add_to_pool(id);
        TargetId(id)
    }

    /// Removes a target that is no longer listed. Its requests in flight continue.
    pub fn remove(&mut self, name: &TargetName) {
        if let Some(id) = self.ids.remove(name) {
            self.remove_from_pool(id);
            self.table[id as usize].gone = true;
            self.free_if_unused(id);
        }
    }

    /// Applies a load report of a target.
    pub fn report(&mut self, name: &TargetName, report: &LoadReport) {
        if let Some(&id) = self.ids.get(name) {
            self.update_total(id, false);
            self.table[id as usize].report(report);
            self.update_total(id, true);
        }
    }

    /// Finds a target by its name.
    pub fn find(&self, name: &TargetName) -> Option<TargetId> {
        self.ids.get(name).copied().map(TargetId)
    }

    /// Returns the facts of a target.
    pub fn facts(&self, id: TargetId) -> &TargetFacts {
        &self.table[id.0 as usize].facts
    }

    /// Returns the estimated number of requests on a target, from all hosts.
    pub fn load(&self, id: TargetId) -> u32 {
        self.table[id.0 as usize].load()
    }

    /// Returns the names of the known targets.
    pub fn names(&self) -> impl Iterator<Item = &TargetName> {
        self.ids.keys()
    }

    /// Counts the start of a request on a target.
    pub fn begin(&mut self, id: TargetId) {
        self.update_total(id.0, false);
        self.table[id.0 as usize].own += 1;
        self.update_total(id.0, true);
    }

    /// Counts the end of a request on a target.
    pub fn end(&mut self, id: TargetId) {
        self.update_total(id.0, false);
        let target = &mut self.table[id.0 as usize];
        target.own = target.own.saturating_sub(1);
        self.update_total(id.0, true);
        self.free_if_unused(id.0);
    }

    /// Records the outcome of an attempt on a target in its circuit breaker.
    pub fn record(
        &mut self,
        id: TargetId,
        outcome: AttemptOutcome,
        now: Millis,
        rng: &mut impl Rng,
    ) {
        self.table[id.0 as usize].breaker.record(outcome, now, rng);
    }

    /// Chooses a target for a request.
    ///
    /// Targets that hold the request's prefix come first. Then pools are tried in order: those of
    /// the host's own data centre first, and the cheapest first in each data centre. In a pool,
    /// rendezvous hashing of the request's fingerprint gives two candidates, of which the less
    /// loaded one is chosen.
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
        let mut fallback = Fallback::default();
        for reclaimable in [false, true] {
            for pool in pools {
                if (pool.reclaimable && !need.resumable) != reclaimable {
                    continue;
                }
                if let Some(id) = self.choose_within(pool, need, &mut fallback, now) {
                    return Choice::Target(TargetId(id));
                }
            }
            // A request that can't be resumed uses a reclaimable target only if all others are
            // full.
            if let Some(id) = fallback.room {
                return Choice::Target(TargetId(id));
            }
        }
        if fallback.fits {
            Choice::Full
        } else {
            Choice::None
        }
    }

    /// Returns whether this host uses more than its part of a service that is nearly full.
    ///
    /// Reports lag, so without this check several hosts would each use the same free slots.
    fn is_over_share(&self, service: &ServiceName) -> bool {
        let Some(total) = self.totals.get(service) else {
            return false;
        };
        let nearly_full =
            (total.others + total.own) * 1_000 >= total.slots * u64::from(PREFERRED_FILL_PERMILLE);
        let part = total.slots * MAX_SHARE_PERCENT / 100 / u64::from(self.hosts.max(1));
        self.hosts > 1 && nearly_full && total.own > part
    }

    /// Returns the least loaded target that holds the prefix, is in the host's own data centre and
    /// has a preferred load.
    fn choose_holder(&self, need: &Need, now: Millis) -> Option<TargetId> {
        let fits = |&id: &TargetId| {
            let target = &self.table[id.0 as usize];
            let facts = &target.facts;
            let near = facts.dc == self.dc && facts.service == need.service;
            let kind = facts.accepts_work && !target.gone && (need.resumable || !facts.reclaimable);
            near && kind
                && target.fill() < PREFERRED_FILL_PERMILLE
                && usable(id.0, target, need, now)
        };
        let holders = need.holders.iter().copied().filter(fits);
        holders.min_by_key(|id| self.table[id.0 as usize].fill())
    }

    /// Returns a member with a preferred load. If there is none, records a member that isn't full
    /// in `fallback`.
    fn choose_within(
        &self,
        pool: &Pool,
        need: &Need,
        fallback: &mut Fallback,
        now: Millis,
    ) -> Option<u32> {
        let key = need.affinity.unwrap_or(need.fingerprint);
        let usable = |id: u32, target: &Target| usable(id, target, need, now);
        let fill = |id: u32| self.table[id as usize].fill();
        let ranking = pool.rank(key, &self.table, usable);
        let mut ids = ranking.ids();
        let slack = need.affinity.map_or(0, |_| AFFINITY_SLACK_PERMILLE);
        let best = match (ids.next(), ids.next()) {
            (Some(first), Some(second)) if fill(first) > fill(second) + slack => Some(second),
            (first, _) => first,
        };
        fallback.fits |= best.is_some();
        let ranked = best.into_iter().chain(ranking.ids());
        if let Some(id) = ranked
            .clone()
            .find(|&id| fill(id) < PREFERRED_FILL_PERMILLE)
        {
            return Some(id);
        }
        if fallback.room.is_none() {
            fallback.room = ranked.clone().find(|&id| fill(id) < MAX_FILL_PERMILLE);
        }
        if fallback.room.is_none() {
            fallback.room = pool.search(key, |id| {
                fill(id) < MAX_FILL_PERMILLE && usable(id, &self.table[id as usize])
            });
            fallback.fits |= fallback.room.is_some();
        }
        None
    }

    /// Adds a target that accepts work to the sums of its service, or subtracts it.
    fn update_total(&mut self, id: u32, include: bool) {
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
            *sum = if include { *sum + part } else { *sum - part };
        }
    }

    fn add_to_pool(&mut self, id: u32) {
        let target = &self.table[id as usize];
        if !target.facts.accepts_work {
            return;
        }
        let service = target.facts.service.clone();
        self.totals.entry(service).or_default();
        self.update_total(id, true);
        let target = &self.table[id as usize];
        let TargetFacts {
            cost,
            dc,
            reclaimable,
            ..
        } = target.facts.clone();
        let pools = self.pools.entry(target.facts.service.clone()).or_default();
        let same_pool =
            |pool: &Pool| pool.dc == dc && pool.cost == cost && pool.reclaimable == reclaimable;
        if let Some(pool) = pools.iter_mut().find(|pool| same_pool(pool)) {
            pool.add(id, target.hash);
            return;
        }
        let mut pool = Pool::new(dc, cost, reclaimable);
        pool.add(id, target.hash);
        pools.push(pool);
        let own = stable_hash(self.dc.as_str().as_bytes());
        // Hashing gives each data centre its own order in which it overflows into the others.
        let distance = |dc: &Dc| weight(own, stable_hash(dc.as_str().as_bytes()));
        pools.sort_by_key(|pool| (pool.dc != self.dc, distance(&pool.dc), pool.cost));
    }

    fn remove_from_pool(&mut self, id: u32) {
        self.update_total(id, false);
        let target = &self.table[id as usize];
        if let Some(pools) = self.pools.get_mut(&target.facts.service) {
            pools
                .iter_mut()
                .filter(|pool| pool.dc == target.facts.dc)
                .for_each(|pool| pool.remove(id, target.hash));
            pools.retain(|pool| !pool.is_empty());
        }
    }

    fn free_if_unused(&mut self, id: u32) {
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
