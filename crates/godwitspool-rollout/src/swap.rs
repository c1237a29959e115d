//! Which target loads new weights next.
//!
//! A swap's answer is only a claim: samples are labelled by the version in each chunk, and a target
//! counts as swapped for good once a chunk or a load report shows the version.

use std::collections::BTreeMap;

use godwitspool_types::{Millis, TargetName, WeightVersion};

/// Bounds of a rollout of weights over one service's targets.
#[derive(Clone, Debug, PartialEq)]
pub struct SwapRules {
    /// Failed swaps after which a target is taken out.
    pub max_attempts: u32,
    /// Part of the service's targets that may swap at once; at least one always may.
    pub max_fraction: f64,
    /// Longest spacing of swaps while the weight store refuses.
    pub max_spacing_ms: Millis,
    /// First spacing of swaps once the weight store has refused one.
    pub min_spacing_ms: Millis,
    /// Time in which a swap is to be answered.
    pub timeout_ms: Millis,
    /// Time after a swap's answer from which other versions prove it false.
    pub verify_ms: Millis,
}

impl Default for SwapRules {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            max_fraction: 0.25,
            max_spacing_ms: Millis(2_000),
            min_spacing_ms: Millis(50),
            timeout_ms: Millis(30_000),
            verify_ms: Millis(3_000),
        }
    }
}

/// Why a swap failed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SwapFailure {
    /// The target refused the fencing token: another process is in charge.
    Fenced,
    /// The target failed or didn't answer.
    Failed,
    /// The weight store is over its rate.
    RateLimited,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum SwapEvent {
    /// A target answered that it uses a version.
    Answered(TargetName, WeightVersion),
    /// The version that all targets are to use.
    Desired(WeightVersion),
    /// A swap failed.
    Failed(TargetName, SwapFailure),
    /// A chunk or a load report shows a target's version.
    Seen(TargetName, WeightVersion),
    /// The service's targets with the interactive requests that each runs.
    Targets(Vec<(TargetName, u32)>),
    /// Time has passed.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapAction {
    /// The target may take work again.
    Restore(TargetName),
    /// Orders the target to load the version.
    Swap(TargetName, WeightVersion),
    /// The target takes no work until it has the version.
    TakeOut(TargetName),
}

/// How far a target is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapState {
    /// It answered that it has the version, which no chunk has shown yet.
    Claimed(Millis),
    /// It has the version.
    Current,
    /// It was ordered to load the version.
    Swapping(Millis),
    /// It failed too often.
    Out,
    /// It is to swap, not before this time.
    Waiting(Millis),
}

/// The rollout of weights over one service's targets.
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
    seen: Option<WeightVersion>,
    state: SwapState,
}

impl SwapPlan {
    /// Creates a rollout under the given bounds.
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

    /// Decides what follows from an event.
    pub fn decide(&mut self, event: SwapEvent, now: Millis) -> Vec<SwapAction> {
        let mut actions = Vec::new();
        match event {
            SwapEvent::Answered(target, version) => {
                self.answer(&target, &version, now, &mut actions);
            }
            SwapEvent::Desired(version) => self.desire(version),
            SwapEvent::Failed(target, why) => self.fail(&target, why, now, &mut actions),
            SwapEvent::Seen(target, version) => self.see(&target, version, now, &mut actions),
            SwapEvent::Targets(targets) => self.list(targets),
            SwapEvent::Tick => self.expire(now, &mut actions),
        }
        self.start(now, &mut actions);
        actions
    }

    /// Returns how far a target is.
    pub fn state(&self, target: &TargetName) -> Option<SwapState> {
        self.targets.get(target).map(|target| target.state)
    }

    /// Counts the targets that have or claim the version, and all targets.
    pub fn progress(&self) -> (usize, usize) {
        let has =
            |target: &&Target| matches!(target.state, SwapState::Claimed(_) | SwapState::Current);
        (
            self.targets.values().filter(has).count(),
            self.targets.len(),
        )
    }

    fn desire(&mut self, version: WeightVersion) {
        if self.desired.as_ref() == Some(&version) {
            return;
        }
        for target in self.targets.values_mut() {
            target.failures = 0;
            target.state = if target.seen.as_ref() == Some(&version) {
                SwapState::Current
            } else {
                SwapState::Waiting(Millis::ZERO)
            };
        }
        self.desired = Some(version);
    }

    fn list(&mut self, targets: Vec<(TargetName, u32)>) {
        let listed: BTreeMap<_, _> = targets.into_iter().collect();
        self.targets.retain(|name, _| listed.contains_key(name));
        for (name, interactive) in listed {
            let target = self.targets.entry(name).or_insert_with(|| Target {
                failures: 0,
                interactive,
                is_out: false,
                seen: None,
                state: SwapState::Waiting(Millis::ZERO),
            });
            target.interactive = interactive;
        }
    }

    fn answer(
        &mut self,
        name: &TargetName,
        version: &WeightVersion,
        now: Millis,
        actions: &mut Vec<SwapAction>,
    ) {
        let is_right = self.desired.as_ref() == Some(version);
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if !matches!(target.state, SwapState::Swapping(_)) {
            return;
        }
        if is_right {
            target.state = SwapState::Claimed(now);
            let faster = self.spacing.0 * 9 / 10;
            self.spacing = Millis(faster);
        } else {
            self.fail(name, SwapFailure::Failed, now, actions);
        }
    }

    fn see(
        &mut self,
        name: &TargetName,
        version: WeightVersion,
        now: Millis,
        actions: &mut Vec<SwapAction>,
    ) {
        let is_right = self.desired.as_ref() == Some(&version);
        let verify = self.rules.verify_ms;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.seen = Some(version);
        if is_right {
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
            // The engine went back, as after a restart.
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
                let slower = Millis(self.spacing.0 * 2).max(rules.min_spacing_ms);
                self.spacing = slower.min(rules.max_spacing_ms);
                self.next_at = now + self.spacing;
                target.state = SwapState::Waiting(now + self.spacing);
            }
            SwapFailure::Failed => {
                target.failures += 1;
                if target.failures < rules.max_attempts {
                    target.state = SwapState::Waiting(now + rules.min_spacing_ms);
                    return;
                }
                target.state = SwapState::Out;
                if !std::mem::replace(&mut target.is_out, true) {
                    actions.push(SwapAction::TakeOut(name.clone()));
                }
            }
        }
    }

    fn expire(&mut self, now: Millis, actions: &mut Vec<SwapAction>) {
        let timeout = self.rules.timeout_ms;
        let is_expired = |target: &Target| matches!(target.state, SwapState::Swapping(at) if now - at >= timeout);
        let expired = self.targets.iter().filter(|(_, target)| is_expired(target));
        let expired: Vec<_> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.fail(&name, SwapFailure::Failed, now, actions);
        }
    }

    /// Starts as many swaps as headroom and the weight store's rate allow, least loaded first.
    fn start(&mut self, now: Millis, actions: &mut Vec<SwapAction>) {
        let Some(desired) = &self.desired else {
            return;
        };
        let swapping = self.targets.values();
        let swapping = swapping.filter(|target| matches!(target.state, SwapState::Swapping(_)));
        let most = (self.targets.len() as f64 * self.rules.max_fraction)
            .floor()
            .max(1.0) as usize;
        let mut free = most.saturating_sub(swapping.count());
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
