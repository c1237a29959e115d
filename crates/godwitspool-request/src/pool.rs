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

/// A member with its hash, so that ranking touches nothing else.
#[derive(Clone, Copy, Debug)]
struct Member {
    hash: u64,
    id: u32,
}

/// Targets that are alike, in the order in which pools are tried.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) cost: u64,
    pub(crate) dc: Dc,
    buckets: Vec<Vec<Member>>,
    members: Vec<Member>,
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
        let member = Member { hash, id };
        self.members.push(member);
        self.buckets[hash as usize % BUCKETS].push(member);
    }

    pub(crate) fn remove(&mut self, id: u32, hash: u64) {
        self.members.retain(|member| member.id != id);
        self.buckets[hash as usize % BUCKETS].retain(|member| member.id != id);
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
        let weigh = |member: &Member| (weight(key, member.hash), member.id);
        let usable = |member: &Member| usable(member.id, &targets[member.id as usize]);
        if self.members.len() <= RANKED_WHOLE {
            let mut ranking = Ranking::default();
            self.members
                .iter()
                .map(weigh)
                .for_each(|entry| ranking.push(entry));
            if ranking.ids().all(|id| usable(&Member { hash: 0, id })) {
                return ranking;
            }
            let mut ranking = Ranking::default();
            let fit = self.members.iter().filter(|member| usable(member));
            fit.map(weigh).for_each(|entry| ranking.push(entry));
            return ranking;
        }
        let mut buckets = Ranking::default();
        for (index, _) in filled(&self.buckets) {
            buckets.push((weight(key, index as u64 + 1), index as u32));
        }
        let mut ranking = Ranking::default();
        for index in buckets.ids() {
            let members = &self.buckets[index as usize];
            let first = members.iter().max_by_key(|member| weigh(member));
            // Only when the first isn't usable are the others looked at.
            let best = first.filter(|member| usable(member)).or_else(|| {
                let fit = members.iter().filter(|member| usable(member));
                fit.max_by_key(|member| weigh(member))
            });
            if let Some(member) = best {
                ranking.append(member.id);
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
            .map(|step| self.members[(start + step) % count].id)
            .find(|&id| usable(id))
    }
}

fn filled(buckets: &[Vec<Member>]) -> impl Iterator<Item = (usize, &Vec<Member>)> {
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

    pub(crate) fn ids(&self) -> impl Clone + Iterator<Item = u32> + use<> {
        let Self { count, entries } = *self;
        entries.into_iter().take(count).map(|(_, id)| id)
    }
}
