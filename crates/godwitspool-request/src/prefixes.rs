//! Which targets hold which prompt prefixes, by cache events that come late and with gaps.

use std::collections::{BTreeMap, HashMap};

use godwitspool_types::TargetName;

/// A cache event of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixEvent {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Sequence number on the target; a gap means lost events.
    pub sequence: u64,
    /// Whether the prefix was stored or evicted.
    pub stored: bool,
}

/// What one target holds, as far as its events tell.
#[derive(Clone, Debug, Default)]
struct Held {
    next: u64,
    /// Prefixes by the sequence number that stored them.
    order: BTreeMap<u64, u64>,
    sequences: HashMap<u64, u64>,
}

/// Prefixes by target. What it says is a hint: a wrong one costs a prefill and nothing else.
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
    targets: HashMap<TargetName, Held>,
}

impl Prefixes {
    /// Prefixes that are remembered of a target.
    pub const MOST: usize = 4_096;

    /// Folds events of a target; `next` is the sequence number of its next event.
    ///
    /// After a gap nothing that was known of the target is trusted. Events that were folded before
    /// are skipped. A target whose numbers start again has lost its cache.
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

    /// Returns the sequence number to ask a target's events from.
    pub fn next(&self, target: &TargetName) -> u64 {
        self.targets.get(target).map_or(0, |held| held.next)
    }

    /// Returns the targets that are thought to hold a prefix.
    pub fn holders(&self, prefix: u64) -> &[TargetName] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    /// Forgets what a target holds.
    pub fn forget(&mut self, target: &TargetName) {
        if let Some(held) = self.targets.remove(target) {
            for &prefix in held.sequences.keys() {
                self.drop_holder(prefix, target);
            }
        }
    }

    fn apply(&mut self, target: &TargetName, event: &PrefixEvent) {
        let held = self.targets.entry(target.clone()).or_default();
        held.next = event.sequence + 1;
        let before = held.sequences.remove(&event.prefix);
        if let Some(sequence) = before {
            held.order.remove(&sequence);
        }
        if event.stored {
            held.sequences.insert(event.prefix, event.sequence);
            held.order.insert(event.sequence, event.prefix);
        }
        let mut evicted = Vec::new();
        while held.order.len() > Self::MOST
            && let Some((_, prefix)) = held.order.pop_first()
        {
            held.sequences.remove(&prefix);
            evicted.push(prefix);
        }
        match (before, event.stored) {
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
