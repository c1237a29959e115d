//! Targets that are alike: same service, data centre and cost.

use godwitspool_types::Dc;

use crate::{rendezvous::weight, target::Target};

/// Buckets that a large pool is ranked by.
const BUCKETS: usize = 64;
/// Members up to which a pool is ranked whole.
const RANKED_WHOLE: usize = 128;
/// Members that a search visits in a large pool.
const SEARCHED: usize = 32;
/// Candidates that a ranking returns.
pub(crate) const CANDIDATES: usize = 4;

/// Targets that are alike, in the order in which pools are tried.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) cost: u64,
    pub(crate) dc: Dc,
    buckets: Vec<Vec<u32>>,
    members: Vec<u32>,
    pub(crate) reclaimable: bool,
}

impl Pool {
    pub(crate) fn new(dc: Dc, cost: u64, reclaimable: bool) -> Self {
        Self {
            cost,
            dc,
            buckets: vec![Vec::new(); BUCKETS],
            members: Vec::new(),
            reclaimable,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    pub(crate) fn add(&mut self, id: u32, hash: u64) {
        self.members.push(id);
        self.buckets[hash as usize % BUCKETS].push(id);
    }

    pub(crate) fn remove(&mut self, id: u32, hash: u64) {
        self.members.retain(|&member| member != id);
        self.buckets[hash as usize % BUCKETS].retain(|&member| member != id);
    }

    /// Returns usable members in order of their rendezvous weight for a key.
    ///
    /// A large pool is ranked by buckets first, so the cost grows with a 64th of the members.
    pub(crate) fn rank(
        &self,
        key: u64,
        targets: &[Target],
        usable: impl Fn(u32, &Target) -> bool,
    ) -> Ranking {
        let mut ranking = Ranking::default();
        let weigh = |&id: &u32| (weight(key, targets[id as usize].hash), id);
        let usable = |&id: &u32| usable(id, &targets[id as usize]);
        if self.members.len() <= RANKED_WHOLE {
            let members = self.members.iter().filter(|id| usable(id)).map(weigh);
            members.for_each(|member| ranking.push(member));
            return ranking;
        }
        let mut buckets = Ranking::default();
        for (index, _) in filled(&self.buckets) {
            buckets.push((weight(key, index as u64 + 1), index as u32));
        }
        for index in buckets.ids() {
            let members = self.buckets[index as usize].iter();
            if let Some((_, id)) = members.filter(|id| usable(id)).map(weigh).max() {
                ranking.append(id);
            }
        }
        ranking
    }

    /// Searches for a usable member, from a place that the key gives.
    pub(crate) fn search(&self, key: u64, usable: impl Fn(u32) -> bool) -> Option<u32> {
        let count = self.members.len();
        let start = (key % count.max(1) as u64) as usize;
        let most = if count <= RANKED_WHOLE {
            count
        } else {
            SEARCHED
        };
        (0..most)
            .map(|step| self.members[(start + step) % count])
            .find(|&id| usable(id))
    }
}

fn filled(buckets: &[Vec<u32>]) -> impl Iterator<Item = (usize, &Vec<u32>)> {
    buckets
        .iter()
        .enumerate()
        .filter(|(_, members)| !members.is_empty())
}

/// The highest weights, the highest first, held in place.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ranking {
    count: usize,
    entries: [(u64, u32); CANDIDATES],
}

impl Ranking {
    fn push(&mut self, entry: (u64, u32)) {
        let place = self.entries[..self.count]
            .iter()
            .position(|other| entry > *other)
            .unwrap_or(self.count);
        if place == CANDIDATES {
            return;
        }
        self.count = (self.count + 1).min(CANDIDATES);
        self.entries[place..self.count].rotate_right(1);
        self.entries[place] = entry;
    }

    fn append(&mut self, id: u32) {
        self.entries[self.count] = (0, id);
        self.count += 1;
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = u32> + use<> {
        let Self { count, entries } = *self;
        entries.into_iter().take(count).map(|(_, id)| id)
    }
}
