//! Weighted fair sharing: which trainer's sample starts next.

use std::collections::BTreeMap;

use godwitspool_types::{Millis, TrainerName};

/// A trainer's share and its current demand.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrainerDemand {
    /// Weight relative to other trainers.
    pub share: u32,
    /// When the step is due, or `None` if no step is open.
    pub deadline: Option<Millis>,
    /// Time that the remainder of the step takes at the current rate.
    pub remaining: Millis,
    /// Number of samples waiting to start.
    pub waiting: u32,
}

/// A work-conserving fair queue that divides sample starts among trainers in proportion to their
/// shares.
///
/// Each start advances its trainer's virtual time by cost divided by share, and the trainer with
/// the lowest virtual time is served next. An idle trainer accumulates no credit. A step that is
/// about to miss its deadline may exceed its share by a bounded amount, which is deducted from
/// later starts.
///
/// ```
/// use godwitspool_rollout::{Shares, TrainerDemand};
/// use godwitspool_types::Millis;
///
/// let mut shares = Shares::default();
/// let demand = TrainerDemand { share: 1, waiting: 2, ..TrainerDemand::default() };
/// shares.set("a".into(), demand.clone());
/// shares.set("b".into(), TrainerDemand { share: 2, ..demand });
/// let first = shares.next(Millis(0), 1.0, |_| true);
/// assert!(first.is_some());
/// ```
#[derive(Debug, Default)]
pub struct Shares {
    trainers: BTreeMap<TrainerName, Account>,
    virtual_time: f64,
}

#[derive(Debug, Default)]
struct Account {
    demand: TrainerDemand,
    spent: f64,
    /// Virtual time of the trainer.
    time: f64,
}

/// Maximum lead of an urgent step over its share, in starts of the current cost.
const MAX_LEAD_STARTS: f64 = 32.0;

impl Shares {
    /// Sets the share and the demand of a trainer.
    pub fn set(&mut self, trainer: TrainerName, demand: TrainerDemand) {
        let account = self.trainers.entry(trainer).or_default();
        if account.demand.waiting == 0 {
            account.time = account.time.max(self.virtual_time);
        }
        account.demand = demand;
    }

    /// Removes a trainer. The others divide its share.
    pub fn remove(&mut self, trainer: &TrainerName) {
        self.trainers.remove(trainer);
    }

    /// Returns the total cost charged to a trainer, net of refunds, or 0.0 for an unknown trainer.
    pub fn spent(&self, trainer: &TrainerName) -> f64 {
        self.trainers
            .get(trainer)
            .map_or(0.0, |account| account.spent)
    }

    /// Chooses the trainer whose sample of the given cost starts next, and charges the cost to it.
    ///
    /// `is_ready` is `false` for trainers whose targets have no capacity. These trainers are
    /// skipped and keep their virtual time. Returns `None` if no ready trainer has waiting samples.
    pub fn next(
        &mut self,
        now: Millis,
        cost: f64,
        is_ready: impl Fn(&TrainerName) -> bool,
    ) -> Option<TrainerName> {
        let candidates = self.trainers.iter_mut();
        let candidates =
            candidates.filter(|(name, account)| account.demand.waiting > 0 && is_ready(name));
        let (name, account) =
            candidates.min_by(|a, b| a.1.rank(now, cost).total_cmp(&b.1.rank(now, cost)))?;
        self.virtual_time = self.virtual_time.max(account.time);
        account.demand.waiting -= 1;
        account.spent += cost;
        account.time += cost / account.weight();
        Some(name.clone())
    }

    /// Refunds the cost of a start that did not happen and counts the sample as waiting again.
    pub fn refund(&mut self, trainer: &TrainerName, cost: f64) {
        if let Some(account) = self.trainers.get_mut(trainer) {
            account.demand.waiting += 1;
            account.spent -= cost;
            account.time -= cost / account.weight();
        }
    }
}

impl Account {
    fn weight(&self) -> f64 {
        f64::from(self.demand.share.max(1))
    }

    fn rank(&self, now: Millis, cost: f64) -> f64 {
        self.time - self.urgency(now) * MAX_LEAD_STARTS * cost / self.weight()
    }

    /// Returns how late the step is expected to be, relative to its remaining time: from 0.0 (in
    /// time) to 1.0 (the deadline has already passed).
    fn urgency(&self, now: Millis) -> f64 {
        let Some(deadline) = self.demand.deadline else {
            return 0.0;
        };
        let late = (now + self.demand.remaining) - deadline;
        if late == Millis::ZERO {
            return 0.0;
        }
        (late.0 as f64 / self.demand.remaining.0.max(1) as f64).min(1.0)
    }
}
