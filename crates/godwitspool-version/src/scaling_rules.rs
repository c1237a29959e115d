//! Weights of the scaling policy.

use godwitspool_types::Millis;

/// Weights of the scaling policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScalingRules {
    /// First wait after none were available; it doubles with each further time.
    pub backoff: Millis,
    /// Longest wait after none were available.
    pub backoff_most: Millis,
    /// Shortest time between orders for a class in a data centre that follow the work.
    pub cooling: Millis,
    /// Slots kept free for interactive requests, in percent of those in use.
    pub headroom_percent: u32,
    /// How many times its target's price a waiting interactive request is worth.
    pub interactive_worth: u64,
    /// Time in which a peak of interactive work is forgotten.
    pub peak_decay: Millis,
    /// Most of a service's slots in reclaimable classes, in percent.
    pub reclaimable_percent: u32,
    /// Shortest time between orders for a class in a data centre that restore a bound or replace
    /// reclaimed targets: an order is read back from the log within it.
    pub settle: Millis,
    /// Time in which the platform's list shows what was started or stopped.
    pub list_lag: Millis,
    /// Time of a sample, until it is learnt.
    pub sample: Millis,
    /// Time in which waiting samples are to be done.
    pub training_horizon: Millis,
    /// Added to a class's price for each reclaim remembered, in percent.
    pub reclaim_percent: u64,
}

impl Default for ScalingRules {
    fn default() -> Self {
        Self {
            backoff: Millis(5_000),
            backoff_most: Millis(300_000),
            cooling: Millis(10_000),
            headroom_percent: 25,
            interactive_worth: 20,
            reclaimable_percent: 70,
            settle: Millis(2_000),
            list_lag: Millis(30_000),
            peak_decay: Millis(1_800_000),
            sample: Millis(20_000),
            training_horizon: Millis(180_000),
            reclaim_percent: 50,
        }
    }
}
