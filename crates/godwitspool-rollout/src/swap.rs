//! Rollout of new weights over the targets of a service.
//!
//! A target's answer to a swap order is not proof that it uses the new weights. Samples are
//! labelled by the version in each chunk, and a target counts as current only once a chunk or a
//! load report names the version.

use std::collections::BTreeMap;

use godwitspool_types::{Millis, TargetName, WeightVersion};

/// Limits of a weight rollout over one service's targets.
#[derive(Clone, Debug, PartialEq)]
pub struct SwapRules {
    /// Number of failed swaps after which a target is taken out.
    pub max_attempts: u32,
    /// Maximum fraction of the service's targets that swap at the same time. One target always may.
    pub max_fraction: f64,
    /// Maximum time between swaps while the weight store rate-limits them, and the retry delay of a
    /// swap that was fenced.
    pub max_spacing_ms: Millis,
    /// Time between swaps after the weight store has rate-limited one for the first time, and the
    /// retry delay of a failed swap.
    ///
    /// Each further rate-limited swap doubles the time between swaps, each successful one reduces
    /// it by a tenth.
    pub initial_spacing_ms: Millis,
    /// Time after which an unanswered swap has failed.
    pub timeout_ms: Millis,
    /// Time after a swap's answer from which another version in a chunk or load report disproves
    /// it. Earlier ones may predate the swap.
    pub verify_ms: Millis,
}

impl Default for SwapRules {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            max_fraction: 0.25,
            max_spacing_ms: Millis(2_000),
            initial_spacing_ms: Millis(50),
            timeout_ms: Millis(30_000),
            verify_ms: Millis(3_000),
        }
    }
}

/// Why a swap failed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SwapFailure {
    /// The target rejected the fencing token because another process holds the lease.
    Fenced,
    /// The target reported an error, timed out, or answered with or was seen with another version.
    Failed,
    /// The weight store rejected the request because of its rate limit.
    RateLimited,
}

/// An event in a weight rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum SwapEvent {
    /// A target answered a swap order with the version that it claims to use.
    Answered(TargetName, WeightVersion),
    /// The version that all targets must load.
    Desired(WeightVersion),
    /// A swap failed.
    Failed(TargetName, SwapFailure),
    /// A chunk or a load report names the version that a target uses.
    Seen(TargetName, WeightVersion),
    /// All targets of the service, each with its number of running interactive requests.
    Targets(Vec<(TargetName, u32)>),
    /// Time has passed.
    Tick,
}

/// An action of a weight rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapAction {
    /// Lets the target receive work again.
    Restore(TargetName),
    /// Orders the target to load a version.
    Swap(TargetName, WeightVersion),
    /// Gives the target no work until it uses the version.
    TakeOut(TargetName),
}

/// Progress of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapState {
    /// It answered the swap order at this time, and no chunk or load report has confirmed it yet.
    Claimed(Millis),
    /// A chunk or a load report has shown the desired version.
    Current,
    /// It was ordered to load the version at this time and has not answered yet.
    Swapping(Millis),
    /// It failed too often and is taken out.
    Out,
    /// It must swap, but not before this time.
    Waiting(Millis),
}

/// State of a weight rollout over one service's targets.
#[derive(Debug, Default)]
pub struct SwapPlan {
    desired: Option<WeightVersion>,
    next_at: Millis,
    rules: SwapRules,
    spacing: Millis,
    targets: BTreeMap<TargetName, Target>,
}

#[derive(Debug)]
struct Target {
    failures: u32,
    interactive: u32,
    is_out: bool,
    observed: Option<WeightVersion>,
    state: SwapState,
}

impl SwapPlan {
    /// Creates a rollout without targets or a desired version.
    ///
    /// ```
    /// use godwitspool_rollout::{SwapAction, SwapEvent, SwapPlan, SwapRules};
    /// use godwitspool_types::Millis;
    ///
    /// let mut plan = SwapPlan::new(SwapRules::default());
    /// plan.decide(SwapEvent::Targets(vec![("e1".into(), 0)]), Millis(0));
    /// let actions = plan.decide(SwapEvent::Desired("v2".into()), Millis(0));
    /// assert_eq!(actions, [SwapAction::Swap("e1".into(), "v2".into())]);
    /// ```
    pub fn new(rules: SwapRules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Applies an event and returns the resulting actions, including swaps that can start now.
    pub fn decide(&mut self, event: SwapEvent, now: Millis) -> Vec<SwapAction> {
        let mut actions = Vec::new();
        match event {
            SwapEvent::Answered(target, version) => {
                self.handle_answer(&target, &version, now, &mut actions);
            }
            SwapEvent::Desired(version) => self.set_desired(version),
            SwapEvent::Failed(target, why) => self.fail(&target, why, now, &mut actions),
            SwapEvent::Seen(target, version) => self.observe(&target, version, now, &mut actions),
            SwapEvent::Targets(targets) => self.set_targets(targets),
            SwapEvent::Tick => self.time_out(now, &mut actions),
        }
        self.start_swaps(now, &mut actions);
        actions
    }

    /// Returns a target's progress, or `None` for an unknown target.
    pub fn state(&self, target: &TargetName) -> Option<SwapState> {
        self.targets.get(target).map(|target| target.state)
    }

    /// Returns the number of targets that use or claim the version, and the number of all targets.
    pub fn progress(&self) -> (usize, usize) {
        let is_swapped =
            |target: &&Target| matches!(target.state, SwapState::Claimed(_) | SwapState::Current);
        (
            self.targets.values().filter(is_swapped).count(),
            self.targets.len(),
        )
    }

    fn set_desired(&mut self, version: WeightVersion) {
        if self.desired.as_ref() == Some(&version) {
            return;
        }
        for target in self.targets.values_mut() {
            target.failures = 0;
            target.state = if target.observed.as_ref() == Some(&version) {
                SwapState::Current
            } else {
                SwapState::Waiting(Millis::ZERO)
            };
        }
        self.desired = Some(version);
    }

    fn set_targets(&mut self, targets: Vec<(TargetName, u32)>) {
        let listed: BTreeMap<_, _> = targets.into_iter().collect();
        self.targets.retain(|name, _| listed.contains_key(name));
        for (name, interactive) in listed {
            let target = self.targets.entry(name).or_insert_with(|| Target {
                failures: 0,
                interactive,
                is_out: false,
                observed: None,
                state: SwapState::Waiting(Millis::ZERO),
            });
            target.interactive = interactive;
        }
    }

    fn handle_answer(
        &mut self,
        name: &TargetName,
        version: &WeightVersion,
        now: Millis,
        actions: &mut Vec<SwapAction>,
    ) {
        let is_desired = self.desired.as_ref() == Some(version);
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if !matches!(target.state, SwapState::Swapping(_)) {
            return;
        }
        if is_desired {
            target.state = SwapState::Claimed(now);
            let reduced_spacing = self.spacing.0 * 9 / 10;
            self.spacing = Millis(reduced_spacing);
        } else {
            self.fail(name, SwapFailure::Failed, now, actions);
        }
    }

    fn observe(
        &mut self,
        name: &TargetName,
        version: WeightVersion,
        now: Millis,
        actions: &mut Vec<SwapAction>,
    ) {
        let is_desired = self.desired.as_ref() == Some(&version);
        let verify = self.rules.verify_ms;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.observed = Some(version);
        if is_desired {
            target.state = SwapState::Current;
            target.failures = 0;
            if std::mem::take(&mut target.is_out) {
                actions.push(SwapAction::Restore(name.clone()));
            }
            return;
        }
        match target.state {
            SwapState::Claimed(at) if now - at >= verify => {
                target.state = SwapState::Swapping(at);
                self.fail(name, SwapFailure::Failed, now, actions);
            }
            // The engine runs old weights again, for example after a restart.
            SwapState::Current => target.state = SwapState::Waiting(now),
            _ => {}
        }
    }

    fn fail(
        &mut self,
        name: &TargetName,
        why: SwapFailure,
        now: Millis,
        actions: &mut Vec<SwapAction>,
    ) {
        let rules = &self.rules;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if !matches!(target.state, SwapState::Swapping(_)) {
            return;
        }
        match why {
            SwapFailure::Fenced => target.state = SwapState::Waiting(now + rules.max_spacing_ms),
            SwapFailure::RateLimited => {
                let doubled_spacing = Millis(self.spacing.0 * 2).max(rules.initial_spacing_ms);
                self.spacing = doubled_spacing.min(rules.max_spacing_ms);
                self.next_at = now + self.spacing;
                target.state = SwapState::Waiting(now + self.spacing);
            }
            SwapFailure::Failed => {
                target.failures += 1;
                if target.failures < rules.max_attempts {
                    target.state = SwapState::Waiting(now + rules.initial_spacing_ms);
                    return;
                }
                target.state = SwapState::Out;
                if !std::mem::replace(&mut target.is_out, true) {
                    actions.push(SwapAction::TakeOut(name.clone()));
                }
            }
        }
    }

    fn time_out(&mut self, now: Millis, actions: &mut Vec<SwapAction>) {
        let timeout = self.rules.timeout_ms;
        let is_expired = |target: &Target| matches!(target.state, SwapState::Swapping(at) if now - at >= timeout);
        let expired = self.targets.iter().filter(|(_, target)| is_expired(target));
        let expired: Vec<_> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.fail(&name, SwapFailure::Failed, now, actions);
        }
    }

    /// Starts as many swaps as `max_fraction` and the spacing allow, least loaded targets first.
    fn start_swaps(&mut self, now: Millis, actions: &mut Vec<SwapAction>) {
        let Some(desired) = &self.desired else {
            return;
        };
        let swapping = self.targets.values();
        let swapping = swapping.filter(|target| matches!(target.state, SwapState::Swapping(_)));
        let max_swapping = (self.targets.len() as f64 * self.rules.max_fraction)
            .floor()
            .max(1.0) as usize;
        let mut free = max_swapping.saturating_sub(swapping.count());
        let mut ready: Vec<_> = self
            .targets
            .iter_mut()
            .filter(|(_, target)| matches!(target.state, SwapState::Waiting(at) if at <= now))
            .collect();
        ready.sort_by_key(|(_, target)| target.interactive);
        for (name, target) in ready {
            if free == 0 || now < self.next_at {
                return;
            }
            free -= 1;
            target.state = SwapState::Swapping(now);
            self.next_at = now + self.spacing;
            actions.push(SwapAction::Swap(name.clone(), desired.clone()));
        }
    }
}
