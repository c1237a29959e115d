use std::collections::VecDeque;

use godwitspool_types::{Millis, ModelName, TargetName};

use crate::version::LOAD_TIME;

/// Time after an order by which a target's entry has shown the load if loads don't slow each other
/// down: the load itself, the interval between entries, and the delay until they are read.
const ON_TIME: Millis = Millis(3_500);
/// Limit with which a fleet starts, however many targets it has: if the operators' weight storage serves
/// fewer, the first loads take too long only once.
const INITIAL_LIMIT: usize = 16;
/// Number of targets per concurrent load. The operators' sheets state that more slow each other down.
const TARGETS_PER_LOAD: usize = 5;
/// Number of concurrent loads that is always allowed.
const MIN_LIMIT: usize = 2;
/// Weight of the newest load in the share of loads that are late.
const LATE_SMOOTHING: f64 = 0.2;
/// Share of late loads from which on the limit is halved. Targets that crash are late too, so it is above
/// the share of them that operators report from bad days.
const MAX_LATE: f64 = 0.6;
/// Share of late loads below which the limit grows.
const FEW_LATE: f64 = 0.3;

/// A load that was ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Pending {
    target: TargetName,
    model: ModelName,
    version: u64,
    since: Millis,
    /// Whether the limit was used up when the load began; only such loads tell whether it may grow.
    at_limit: bool,
}

/// Limits how many targets of a service begin to load a version within the time of one load.
///
/// Load pattern: targets read weights from a storage that serves only some of them at full speed. How many
/// isn't announced, and with more all take longer, so that no target gets a version before the next one
/// is named. The limit grows while loads are shown in time, and is halved while most are late, as a
/// congestion window.
///
/// ```
/// use godwitspool_host::duty::LoadLimit;
/// use godwitspool_types::Millis;
///
/// let mut limit = LoadLimit::default();
/// assert_eq!(limit.most(45), 9);
/// assert_eq!(limit.most(1_000), 16);
/// for number in 0..10 {
///     limit.begin(format!("t-{number}").into(), "model".into(), 2, Millis(0));
/// }
/// limit.update(Millis(4_000), |_, _| Some(1));
/// assert_eq!(limit.most(1_000), 8);
/// ```
#[derive(Clone, Debug)]
pub struct LoadLimit {
    limit: f64,
    late: f64,
    pending: VecDeque<Pending>,
    /// Loads that began before this time don't count: they were slowed by those of a higher limit.
    counted_from: Millis,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT as f64,
            late: 0.0,
            pending: VecDeque::new(),
            counted_from: Millis::ZERO,
        }
    }
}

impl LoadLimit {
    /// Returns the maximum number of loads that a service with this number of targets begins within the
    /// time of one load.
    pub fn most(&self, targets: usize) -> usize {
        (targets / TARGETS_PER_LOAD)
            .min(self.limit as usize)
            .max(MIN_LIMIT)
    }

    /// Records an order.
    pub fn begin(&mut self, target: TargetName, model: ModelName, version: u64, now: Millis) {
        let recent = self.pending.iter().rev();
        let recent = recent.take_while(|load| now - load.since < LOAD_TIME);
        self.pending.push_back(Pending {
            target,
            model,
            version,
            since: now,
            at_limit: recent.count() + 1 >= self.limit as usize,
        });
    }

    /// Counts the loads that are due. `shown` returns the version of a model that a target's entry shows,
    /// `None` if the target is gone or hasn't accepted the order.
    pub fn update(&mut self, now: Millis, shown: impl Fn(&TargetName, &ModelName) -> Option<u64>) {
        while let Some(load) = self.pending.front() {
            if now - load.since < ON_TIME {
                return;
            }
            let version = shown(&load.target, &load.model);
            let (counts, at_limit) = (load.since >= self.counted_from, load.at_limit);
            let late = version.is_some_and(|version| version < load.version);
            self.pending.pop_front();
            if version.is_some() && counts {
                self.count(late, at_limit, now);
            }
        }
    }

    fn count(&mut self, late: bool, at_limit: bool, now: Millis) {
        self.late += LATE_SMOOTHING * (f64::from(u8::from(late)) - self.late);
        if self.late > MAX_LATE {
            let before = self.limit;
            self.limit = (self.limit / 2.0).max(MIN_LIMIT as f64);
            self.late = FEW_LATE;
            // The loads in progress delay those of the next seconds too.
            self.counted_from = now + ON_TIME;
            log::info!(before, limit = self.limit; "loads are late, fewer at a time");
        } else if !late && at_limit && self.late < FEW_LATE {
            self.limit += 1.0 / self.limit;
        }
    }
}
