use std::collections::VecDeque;

use godwitspool_types::{Millis, ModelName, TargetName};

use crate::version::LOAD_TIME;

/// Time after an order by which a target's entry has shown the load if loads don't slow each other
/// down: the load itself, the interval between entries, and the delay until they are read.
const ON_TIME: Millis = Millis(3_500);
/// Time after which a load that wasn't shown counts as failed.
const GIVEN_UP: Millis = Millis(14_000);
/// Time over which finished loads are counted.
const RATE_WINDOW: Millis = Millis(4_000);
/// Limit with which a fleet starts, however many targets it has: if the operators' storage of weights
/// serves fewer, the first loads take too long only once.
const INITIAL_LIMIT: usize = 10;
/// Number of targets per concurrent load. The operators' sheets state that more slow each other down.
const TARGETS_PER_LOAD: usize = 5;
/// Number of concurrent loads that is always allowed.
const MIN_LIMIT: usize = 2;
/// Weight of the newest load in the share of loads that are late.
const LATE_SMOOTHING: f64 = 0.2;
/// Share of late loads from which on the limit falls. Targets that crash are late too, so it is above the
/// share of them that operators report from bad days.
const MAX_LATE: f64 = 0.6;
/// Share of late loads below which the limit grows.
const FEW_LATE: f64 = 0.3;
/// Part of the observed rate to which the limit falls, so that the loads in progress are worked off.
const DRAIN_FRACTION: f64 = 0.9;
/// Minimum part of the limit that is left when it falls: loads that share the storage end together, so the
/// rate may be observed as too low.
const MAX_FALL: f64 = 0.5;
/// Growth of the limit with each load in time, before it has fallen for the first time.
const FIRST_GROWTH: f64 = 0.5;

/// A load that was ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Pending {
    target: TargetName,
    model: ModelName,
    version: u64,
    since: Millis,
    /// Whether the limit was used up when the load began; only such loads tell whether it may grow.
    at_limit: bool,
    /// Whether it has been counted as late or in time.
    judged: bool,
}

/// Limits how many targets of a service begin to load a version within the time of one load.
///
/// Load pattern: targets read weights from a storage that serves only some of them at full speed. How many
/// isn't announced, and with more all take longer, so that no target gets a version before the next one
/// is named. The limit grows slowly while loads are shown in time. While most are late, it falls to the
/// rate at which loads are finished, which is what the storage bears.
///
/// ```
/// use godwitspool_host::duty::LoadLimit;
/// use godwitspool_types::Millis;
///
/// let mut limit = LoadLimit::default();
/// assert_eq!(limit.most(45), 9);
/// assert_eq!(limit.most(1_000), 10);
/// for number in 0..10 {
///     limit.begin(format!("t-{number}").into(), "model".into(), 2, Millis(0));
/// }
/// limit.update(Millis(4_000), |_, _| Some(1));
/// assert_eq!(limit.most(1_000), 5);
/// ```
#[derive(Clone, Debug)]
pub struct LoadLimit {
    limit: f64,
    late: f64,
    pending: VecDeque<Pending>,
    /// Times at which finished loads were first seen.
    finished: VecDeque<Millis>,
    /// Loads that began before this time don't count: they were slowed by those of a higher limit.
    counted_from: Millis,
    /// Whether the limit has fallen before.
    has_fallen: bool,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT as f64,
            late: 0.0,
            pending: VecDeque::new(),
            finished: VecDeque::new(),
            counted_from: Millis::ZERO,
            has_fallen: false,
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

    /// Returns whether the storage of weights bears fewer loads than a service with this number of targets
    /// would begin.
    pub fn is_scarce(&self, targets: usize) -> bool {
        self.most(targets) < targets / TARGETS_PER_LOAD
    }

    /// Records an order.
    pub fn begin(&mut self, target: TargetName, model: ModelName, version: u64, now: Millis) {
        let recent = self.pending.iter().rev();
        let recent = recent.filter(|load| now - load.since < LOAD_TIME);
        let at_limit = recent.count() + 1 >= self.limit as usize;
        self.pending.push_back(Pending {
            target,
            model,
            version,
            since: now,
            at_limit,
            judged: false,
        });
    }

    /// Leaves the loads of the past out of account: targets' entries couldn't be read, so no load was shown.
    pub fn disregard(&mut self, now: Millis) {
        self.counted_from = self.counted_from.max(now);
    }

    /// Counts the loads that are finished or due. `shown` returns the version of a model that a target's
    /// entry shows, `None` if the target is gone or hasn't accepted the order.
    pub fn update(&mut self, now: Millis, shown: impl Fn(&TargetName, &ModelName) -> Option<u64>) {
        while self
            .finished
            .front()
            .is_some_and(|at| now - *at >= RATE_WINDOW)
        {
            self.finished.pop_front();
        }
        let mut open = VecDeque::with_capacity(self.pending.len());
        for mut load in std::mem::take(&mut self.pending) {
            let age = now - load.since;
            let Some(version) = shown(&load.target, &load.model) else {
                continue;
            };
            let is_finished = version >= load.version;
            if is_finished {
                self.finished.push_back(now);
            }
            if !load.judged && (is_finished || age >= ON_TIME) {
                load.judged = true;
                if load.since >= self.counted_from {
                    self.judge(age >= ON_TIME, load.at_limit, now);
                }
            }
            if !is_finished && age < GIVEN_UP {
                open.push_back(load);
            }
        }
        self.pending = open;
    }

    fn judge(&mut self, late: bool, at_limit: bool, now: Millis) {
        self.late += LATE_SMOOTHING * (f64::from(u8::from(late)) - self.late);
        if self.late > MAX_LATE {
            let before = self.limit;
            let rate = self.finished.len() as f64 * LOAD_TIME.seconds() / RATE_WINDOW.seconds();
            let bearable = (rate * DRAIN_FRACTION).max(before * MAX_FALL);
            self.limit = bearable.clamp(MIN_LIMIT as f64, before);
            self.has_fallen = true;
            self.late = FEW_LATE;
            // The loads in progress delay those of the next seconds too.
            self.counted_from = now + ON_TIME;
            log::info!(before, limit = self.limit, rate; "loads are late, fewer at a time");
        } else if !late && at_limit && self.late < FEW_LATE {
            self.limit += if self.has_fallen {
                1.0 / self.limit
            } else {
                FIRST_GROWTH
            };
        }
    }
}
