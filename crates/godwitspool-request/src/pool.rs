//! Pools of interchangeable targets: same service, data centre, cost and reclaimability.

use godwitspool_types::Dc;

use crate::{rendezvous::weight, target::Target};

/// Number of buckets into which members are hashed; large pools are ranked by bucket first.
const BUCKETS: usize = 64;
/// Size up to which all members of a pool are ranked and searched.
const MAX_FULLY_RANKED: usize = 128;
/// Number of members that a search visits in a larger pool.
const MAX_SEARCHED: usize = 32;
/// Number of candidates that a ranking returns.
pub(crate) const CANDIDATES: usize = 4;

/// A member with its hash, so that ranking doesn't read the target itself.
#[derive(Clone, Copy, Debug)]
struct Member {
    hash: u64,
    id: u32,
}

/// Interchangeable targets of a service.
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

    /// Returns usable members by descending rendezvous weight for a key.
    ///
    /// In a large pool the buckets are ranked first and only the members of the best ones are
    /// compared, so the cost grows with a 64th of the members.
    pub(crate) fn rank(
        &self,
        key: u64,
        targets: &[Target],
        usable: impl Fn(u32, &Target) -> bool,
    ) -> Ranking {
        let weighted = |member: &Member| (weight(key, member.hash), member.id);
        let usable = |member: &Member| usable(member.id, &targets[member.id as usize]);
        if self.members.len() <= MAX_FULLY_RANKED {
            let mut ranking = Ranking::default();
            self.members
                .iter()
                .map(weighted)
                .for_each(|entry| ranking.push(entry));
            if ranking.ids().all(|id| usable(&Member { hash: 0, id })) {
                return ranking;
            }
            let mut ranking = Ranking::default();
            let usable_members = self.members.iter().filter(|member| usable(member));
            usable_members
                .map(weighted)
                .for_each(|entry| ranking.push(entry));
            return ranking;
        }
        let mut buckets = Ranking::default();
        for (index, _) in non_empty(&self.buckets) {
            buckets.push((weight(key, index as u64 + 1), index as u32));
        }
        let mut ranking = Ranking::default();
        for index in buckets.ids() {
            let members = &self.buckets[index as usize];
            let first = members.iter().max_by_key(|member| weighted(member));
            // The others are checked only if the first isn't usable.
            let best = first.filter(|member| usable(member)).or_else(|| {
                let usable_members = members.iter().filter(|member| usable(member));
                usable_members.max_by_key(|member| weighted(member))
            });
            if let Some(member) = best {
                ranking.append(member.id);
            }
        }
        ranking
    }

    /// Searches for a usable member, starting at a position derived from the key.
    pub(crate) fn search(&self, key: u64, usable: impl Fn(u32) -> bool) -> Option<u32> {
        let count = self.members.len();
        let start = (key % count.max(1) as u64) as usize;
        let max_visited = if count <= MAX_FULLY_RANKED {
            count
        } else {
            MAX_SEARCHED
        };
        (0..max_visited)
            .map(|step| self.members[(start + step) % count].id)
            .find(|&id| usable(id))
    }
}

fn non_empty(buckets: &[Vec<Member>]) -> impl Iterator<Item = (usize, &Vec<Member>)> {
    buckets
        .iter()
        .enumerate()
        .filter(|(_, members)| !members.is_empty())
}

/// The members or buckets with the highest weights in descending order, without allocation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ranking {
    count: usize,
    entries: [(u64, u32); CANDIDATES],
}

impl Ranking {
    fn push(&mut self, entry: (u64, u32)) {
        let slot = self.entries[..self.count]
            .iter()
            .position(|other| entry > *other)
            .unwrap_or(self.count);
        if slot == CANDIDATES {
            return;
        }
        self.count = (self.count + 1).min(CANDIDATES);
        self.entries[slot..self.count].rotate_right(1);
        self.entries[slot] = entry;
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
