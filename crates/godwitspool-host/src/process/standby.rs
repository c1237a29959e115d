use std::collections::{HashMap, HashSet};

use godwitspool_types::Millis;

use crate::{
    Resources, StoreBounds,
    store::{Holding, Topic},
};

/// Processor time, in cores, from which on a host owns partitions whatever others do. The owner of a
/// partition decodes some thousand events per second, which the smallest hosts (0.09 cores) can't do
/// beside their callers' requests.
const MIN_CORES: f64 = 0.2;
/// Writes per second of the store from which on there are standbys. Smaller stores are those of small
/// deployments, in which all hosts own partitions.
const MIN_WRITES: u32 = 1_000;
/// Number of partitions that each standby is left with while only standbys own partitions. One that
/// joined to own less would mostly cause others to hand their partitions over.
const MAX_SHARE: usize = 2;
/// End of the names under which standbys join the hosts' group.
const SUFFIX: &str = "-standby";

/// Returns whether a host owns partitions only while no other host does.
///
/// Load pattern: more than half of the hosts have a tenth of a core. Partitions that are assigned to them
/// are run several times slower than the rest, and each step waits for its slowest partition.
///
/// ```
/// use godwitspool_host::{Resources, StoreBounds, process::is_standby};
///
/// let store = StoreBounds { max_writes: 1_500, ..StoreBounds::default() };
/// let resources = |cores| Resources { cores, ..Resources::default() };
/// assert!(is_standby(&resources(0.09), &store));
/// assert!(!is_standby(&resources(0.2), &store));
/// assert!(!is_standby(&resources(0.09), &StoreBounds::default()));
/// ```
pub fn is_standby(resources: &Resources, store: &StoreBounds) -> bool {
    resources.cores < MIN_CORES && store.max_writes >= MIN_WRITES
}

/// Returns the name under which a standby joins the hosts' group, so that others can tell it from
/// hosts that always own partitions.
pub fn standby_name(member: &str) -> String {
    format!("{member}{SUFFIX}")
}

/// A list of the holders of partitions, as the store returned it.
#[derive(Clone, Copy, Debug)]
pub struct Listing<'a> {
    /// When the store was asked.
    pub asked: Millis,
    /// When the answer was complete.
    pub answered: Millis,
    /// The partitions that are held.
    pub holdings: &'a [Holding],
}

/// Why a standby joins or leaves the hosts' group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StandbyChange {
    /// Joins: a partition has had no holder.
    Unheld,
    /// Joins: only standbys hold partitions, and one of them more than its share.
    Crowded,
    /// Leaves: other hosts hold partitions, and each partition is held.
    Relieved,
    /// Leaves: it was assigned no partition.
    Unneeded,
}

impl StandbyChange {
    /// Returns the reason as a label of logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unheld => "unheld",
            Self::Crowded => "crowded",
            Self::Relieved => "relieved",
            Self::Unneeded => "unneeded",
        }
    }
}

/// Decides when a standby is a member of the hosts' group. It joins once something has been wrong in
/// every list for longer than a membership lasts, and leaves once it hasn't been needed for as long. Without
/// a list it stays as it is.
///
/// Load pattern: all large hosts end at once, for example with their data centre, and the small ones must
/// run the batches. A host that is only restarted, or a list that comes late, must not make dozens of small
/// hosts join: each one that joins or leaves has partitions handed over.
#[derive(Clone, Debug)]
pub struct Standby {
    /// Name under which it joins.
    own: String,
    /// Number of partitions of results.
    parts: u32,
    /// Time for which a membership lasts without a renewal.
    ttl: Millis,
    is_member: bool,
    /// Whether it left because the store assigned it nothing. It doesn't join again to share partitions
    /// until other hosts have held some: the store may assign whole topics, whatever the shares.
    was_unneeded: bool,
    /// When the first list of an unbroken series was answered that gave a reason to join or leave.
    since: Option<Millis>,
    /// When the newest list was answered.
    answered: Millis,
}

impl Standby {
    /// Creates a standby that isn't a member, for a store with `parts` partitions of results and memberships
    /// that last for `ttl`.
    pub fn new(own: impl Into<String>, parts: u32, ttl: Millis) -> Self {
        Self {
            own: own.into(),
            parts,
            ttl,
            is_member: false,
            was_unneeded: false,
            since: None,
            answered: Millis::ZERO,
        }
    }

    /// Returns whether it is a member, or has to become one.
    pub fn is_member(&self) -> bool {
        self.is_member
    }

    /// Applies a list of holders; returns why it joins or leaves now, if it does.
    ///
    /// ```
    /// use godwitspool_host::process::{Listing, Standby, StandbyChange};
    /// use godwitspool_types::Millis;
    ///
    /// let mut standby = Standby::new("10.0.0.1:7660#01-standby", 8, Millis(2_000));
    /// let nobody = |at| Listing { asked: Millis(at), answered: Millis(at), holdings: &[] };
    /// assert_eq!(standby.observe(&nobody(100)), None);
    /// assert_eq!(standby.observe(&nobody(2_000)), None);
    /// assert_eq!(standby.observe(&nobody(2_200)), Some(StandbyChange::Unheld));
    /// assert!(standby.is_member());
    /// ```
    pub fn observe(&mut self, listing: &Listing<'_>) -> Option<StandbyChange> {
        // What was true before a time without lists may have changed and changed back.
        if listing.asked - self.answered > self.ttl {
            self.since = None;
        }
        self.answered = self.answered.max(listing.answered);
        let Some(reason) = self.reason(listing.holdings) else {
            self.since = None;
            return None;
        };
        let since = *self.since.get_or_insert(listing.answered);
        if listing.asked - since <= self.ttl {
            return None;
        }
        self.since = None;
        self.is_member = !self.is_member;
        self.was_unneeded = reason == StandbyChange::Unneeded;
        Some(reason)
    }

    /// Returns why it should join or leave by a list, if it should.
    fn reason(&mut self, holdings: &[Holding]) -> Option<StandbyChange> {
        // The duties are done by the holder of partition 0 of their topic.
        let needed = holdings.iter().filter(|held| match held.topic {
            Topic::Results => held.part < self.parts,
            topic => topic == Topic::Duty && held.part == 0,
        });
        let mut held = HashSet::new();
        let mut shares: HashMap<&str, usize> = HashMap::new();
        for holding in needed {
            held.insert((holding.topic, holding.part));
            *shares.entry(&holding.member).or_default() += 1;
        }
        let is_whole = held.len() > self.parts as usize;
        let only_standbys = shares.keys().all(|member| member.ends_with(SUFFIX));
        self.was_unneeded &= only_standbys;
        let is_crowded = only_standbys && shares.values().any(|share| *share > MAX_SHARE);
        if self.is_member {
            if is_whole && !only_standbys {
                Some(StandbyChange::Relieved)
            } else {
                let is_holder = shares.contains_key(self.own.as_str());
                (is_whole && !is_holder).then_some(StandbyChange::Unneeded)
            }
        } else if is_whole {
            (is_crowded && !self.was_unneeded).then_some(StandbyChange::Crowded)
        } else {
            Some(StandbyChange::Unheld)
        }
    }
}
