//! Whose sample starts next.

use std::collections::BTreeMap;

use godwitspool_types::{Millis, TrainerName};

/// What a trainer is entitled to, and what it wants now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrainerDemand {
    /// Weight relative to other trainers.
    pub share: u32,
    /// When its step is due; none while no step is open.
    pub deadline: Option<Millis>,
    /// Time that the rest of its step takes at its present rate.
    pub remaining: Millis,
    /// Samples that wait to start.
    pub waiting: u32,
}

/// Divides starts among trainers by share, work-conserving.
///
/// Each start advances its trainer's virtual time by cost over share, and the trainer with the
/// least virtual time goes next. A trainer that wanted nothing saves nothing up. A step that is
/// about to miss its deadline runs ahead of its share by a bounded amount, which it pays back.
///
/// ```
/// use godwitspool_rollout::{TrainerDemand, Shares};
/// use godwitspool_types::Millis;
///
/// let mut shares = Shares::default();
/// let rules = TrainerDemand { share: 1, waiting: 2, ..TrainerDemand::default() };
/// shares.set("a".into(), rules.clone());
/// shares.set("b".into(), TrainerDemand { share: 2, ..rules });
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
    rules: TrainerDemand,
    spent: f64,
    time: f64,
}

/// Virtual time by which an urgent step may run ahead, in starts of mean cost at its share.
const AHEAD_STARTS: f64 = 32.0;

impl Shares {
    /// Sets what a trainer is entitled to and wants.
    pub fn set(&mut self, trainer: TrainerName, rules: TrainerDemand) {
        let account = self.trainers.entry(trainer).or_default();
        if account.rules.waiting == 0 {
            account.time = account.time.max(self.virtual_time);
        }
        account.rules = rules;
    }

    /// Forgets a trainer; its share goes to the others.
    pub fn remove(&mut self, trainer: &TrainerName) {
        self.trainers.remove(trainer);
    }

    /// Returns the cost of all starts of a trainer.
    pub fn spent(&self, trainer: &TrainerName) -> f64 {
        self.trainers
            .get(trainer)
            .map_or(0.0, |account| account.spent)
    }

    /// Chooses whose sample of the given cost starts next, and charges it. Trainers whose targets
    /// have no room aren't ready; they keep what they have saved up.
    pub fn next(
        &mut self,
        now: Millis,
        cost: f64,
        is_ready: impl Fn(&TrainerName) -> bool,
    ) -> Option<TrainerName> {
        let wanting = self.trainers.iter_mut();
        let wanting = wanting.filter(|(name, account)| account.rules.waiting > 0 && is_ready(name));
        let (name, account) =
            wanting.min_by(|a, b| a.1.rank(now, cost).total_cmp(&b.1.rank(now, cost)))?;
        self.virtual_time = self.virtual_time.max(account.time);
        account.rules.waiting -= 1;
        account.spent += cost;
        account.time += cost / account.weight();
        Some(name.clone())
    }

    /// Gives back the cost of work that was not done, and counts the sample as waiting again.
    pub fn refund(&mut self, trainer: &TrainerName, cost: f64) {
        if let Some(account) = self.trainers.get_mut(trainer) {
            account.rules.waiting += 1;
            account.spent -= cost;
            account.time -= cost / account.weight();
        }
    }
}

impl Account {
    fn weight(&self) -> f64 {
        f64::from(self.rules.share.max(1))
    }

    fn rank(&self, now: Millis, cost: f64) -> f64 {
        self.time - self.urgency(now) * AHEAD_STARTS * cost / self.weight()
    }

    /// Returns 0 for a step that is in time, up to 1 for one that is late by its whole rest.
    fn urgency(&self, now: Millis) -> f64 {
        let Some(deadline) = self.rules.deadline else {
            return 0.0;
        };
        let late = (now + self.rules.remaining) - deadline;
        if late == Millis::ZERO {
            return 0.0;
        }
        (late.0 as f64 / self.rules.remaining.0.max(1) as f64).min(1.0)
    }
}
