//! Tracks which targets hold which prompt prefixes, from cache events that arrive late and may be
//! lost.

use std::collections::{BTreeMap, HashMap};

use godwitspool_types::TargetName;

/// A cache event of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixEvent {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Sequence number given by the target; a gap means that events were lost.
    pub sequence: u64,
    /// `true` if the prefix was stored, `false` if it was evicted.
    pub stored: bool,
}

/// The prefixes that one target holds according to its events.
#[derive(Clone, Debug, Default)]
struct TargetCache {
    /// Sequence number of the target's next event.
    next: u64,
    /// Prefixes by the sequence number of the event that stored them.
    by_sequence: BTreeMap<u64, u64>,
    by_prefix: HashMap<u64, u64>,
}

/// The prefixes held by each target. They are hints: a wrong one only costs a prefill.
///
/// ```
/// use godwitspool_request::{PrefixEvent, Prefixes};
/// use godwitspool_types::TargetName;
///
/// let mut prefixes = Prefixes::default();
/// let target = TargetName::from("t1");
/// prefixes.fold(&target, &[PrefixEvent { prefix: 7, sequence: 0, stored: true }], 1);
/// assert_eq!(prefixes.holders(7), [target]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    holders: HashMap<u64, Vec<TargetName>>,
    targets: HashMap<TargetName, TargetCache>,
}

impl Prefixes {
    /// Maximum number of prefixes kept for each target.
    pub const MAX_PER_TARGET: usize = 4_096;

    /// Applies events of a target; `next` is the sequence number of the target's next event.
    ///
    /// Events that were applied before are skipped. After a gap, everything known of the target is
    /// discarded. The same happens if the sequence numbers start over, since the target has then
    /// lost its cache.
    pub fn fold(&mut self, target: &TargetName, events: &[PrefixEvent], next: u64) {
        if next < self.next(target) {
            self.forget(target);
        }
        for event in events {
            let expected = self.next(target);
            if event.sequence < expected {
                continue;
            }
            if event.sequence > expected {
                self.forget(target);
            }
            self.apply(target, event);
        }
        if next > self.next(target) {
            self.forget(target);
            self.targets.entry(target.clone()).or_default().next = next;
        }
    }

    /// Returns the sequence number from which to request a target's events.
    pub fn next(&self, target: &TargetName) -> u64 {
        self.targets.get(target).map_or(0, |cache| cache.next)
    }

    /// Returns the targets that probably hold a prefix.
    pub fn holders(&self, prefix: u64) -> &[TargetName] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    /// Discards everything known of a target.
    pub fn forget(&mut self, target: &TargetName) {
        if let Some(cache) = self.targets.remove(target) {
            for &prefix in cache.by_prefix.keys() {
                self.drop_holder(prefix, target);
            }
        }
    }

    fn apply(&mut self, target: &TargetName, event: &PrefixEvent) {
        let cache = self.targets.entry(target.clone()).or_default();
        cache.next = event.sequence + 1;
        let previous = cache.by_prefix.remove(&event.prefix);
        if let Some(sequence) = previous {
            cache.by_sequence.remove(&sequence);
        }
        if event.stored {
            cache.by_prefix.insert(event.prefix, event.sequence);
            cache.by_sequence.insert(event.sequence, event.prefix);
        }
        let mut evicted = Vec::new();
        while cache.by_sequence.len() > Self::MAX_PER_TARGET
            && let Some((_, prefix)) = cache.by_sequence.pop_first()
        {
            cache.by_prefix.remove(&prefix);
            evicted.push(prefix);
        }
        match (previous, event.stored) {
            (None, true) => self
                .holders
                .entry(event.prefix)
                .or_default()
                .push(target.clone()),
            (Some(_), false) => evicted.push(event.prefix),
            _ => {}
        }
        for prefix in evicted {
            self.drop_holder(prefix, target);
        }
    }

    fn drop_holder(&mut self, prefix: u64, target: &TargetName) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder != target);
            if holders.is_empty() {
                self.holders.remove(&prefix);
            }
        }
    }
}
