//! Parameters of the scaling policy.

use godwitspool_types::Millis;

/// Parameters of the scaling policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScalingRules {
    /// Backoff for a class in a data centre after an order for which no targets were available. It
    /// doubles with each further such order.
    pub min_backoff: Millis,
    /// Upper bound of the backoff.
    pub max_backoff: Millis,
    /// Minimum time between orders for a class in a data centre that follow the demand. Targets
    /// also stay idle for at least this time before they are stopped.
    pub cooldown: Millis,
    /// Slots kept free for interactive requests, as a percentage of those needed at the peak.
    pub headroom_percent: u32,
    /// Value of a waiting interactive request, in multiples of the price of the slot that it needs.
    /// A waiting training sample has a value of 1.
    pub interactive_weight: u64,
    /// Time constant with which the peak of interactive requests decays.
    pub peak_decay: Millis,
    /// Maximum percentage of a service's targets in reclaimable classes.
    pub max_reclaimable_percent: u32,
    /// Minimum time between orders for a class in a data centre that enforce the floor or ceiling
    /// or replace reclaimed targets. An order is read back from the log within this time.
    pub restore_interval: Millis,
    /// Maximum time until the platform's list shows targets that were started or stopped.
    pub max_list_lag: Millis,
    /// Time of a training sample that is assumed before one was observed.
    pub initial_sample_time: Millis,
    /// Time in which all waiting training samples should be done.
    pub training_horizon: Millis,
    /// Percentage by which each reclaim of a target raises the price of its class.
    pub reclaim_surcharge_percent: u64,
}

impl Default for ScalingRules {
    fn default() -> Self {
        Self {
            min_backoff: Millis(5_000),
            max_backoff: Millis(300_000),
            cooldown: Millis(10_000),
            headroom_percent: 25,
            interactive_weight: 20,
            max_reclaimable_percent: 70,
            restore_interval: Millis(2_000),
            max_list_lag: Millis(30_000),
            peak_decay: Millis(1_800_000),
            initial_sample_time: Millis(20_000),
            training_horizon: Millis(180_000),
            reclaim_surcharge_percent: 50,
        }
    }
}
