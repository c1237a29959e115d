//! The scaling policy: how many targets of each class a data centre should have.
//!
//! Both directions follow the break-even rule. Targets are started once the waiting work has lost
//! as much value as a start costs, and stopped once their idle time has cost as much as another
//! start would. A short burst of work or a short pause therefore causes no order.

mod service_state;
mod shares;

use std::collections::{BTreeMap, VecDeque};

use godwitspool_types::{ClassName, Dc, Millis, Offset, ServiceName};

use self::service_state::ServiceState;
use crate::{
    ClassRules, OrderOutcome, OrderReason, OrderTable, ScalingRules, ScalingView, TargetAction,
    TargetPhase,
    awaited_targets::AwaitedTargets,
    scaling_view::{
        active_names, bounds, capacity, classes_of, count_starting, count_targets, has_reclaimed,
        interactive_capacity, room_below_ceiling,
    },
};

const MINUTE: Millis = Millis(60_000);

/// A target order that the policy decided on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScalingOrder {
    /// Whether to start or stop targets, and how many or which ones.
    pub action: TargetAction,
    /// Class of the targets.
    pub class: ClassName,
    /// Data centre of the targets.
    pub dc: Dc,
    /// Rule that led to the order.
    pub reason: OrderReason,
}

/// The scaling policy with its state.
///
/// ```
/// use godwitspool_types::Millis;
/// use godwitspool_version::{
///     ClassRules, Configuration, DcRules, OrderTable, OrderReason, Scaling, ScalingRules,
///     ScalingView,
/// };
///
/// let mut configuration = Configuration::default();
/// configuration.classes.insert("reserved".into(), ClassRules::default());
/// let dc = DcRules {
///     floor: [("reserved".into(), 2)].into(),
///     orders_per_minute: 10,
///     ..DcRules::default()
/// };
/// configuration.dcs.insert("north".into(), dc);
/// let view = ScalingView {
///     configuration: &configuration,
///     loads: &[],
///     orders: &OrderTable::default(),
///     targets: &[],
/// };
/// let orders = Scaling::new(ScalingRules::default()).decide(view, Millis(0));
/// assert_eq!(orders[0].reason, OrderReason::Floor);
/// ```
#[derive(Clone, Debug)]
pub struct Scaling {
    awaited: AwaitedTargets,
    last_decision: Option<Millis>,
    /// Offset from which order outcomes have not been applied yet.
    next_outcome: Offset,
    /// Times of the orders in the last minute.
    recent_orders: BTreeMap<Dc, VecDeque<Millis>>,
    class_states: BTreeMap<ClassKey, ClassState>,
    rules: ScalingRules,
    service_states: BTreeMap<(Dc, ServiceName), ServiceState>,
}

type ClassKey = (Dc, ClassName);

#[derive(Clone, Copy, Debug, Default)]
struct ClassState {
    /// Cost of idle time since the last order or shortage, in price units times milliseconds.
    idle_cost: u64,
    /// Consecutive orders for which no targets were available.
    unavailable: u32,
    last_order: Option<Millis>,
    /// Reclaimed targets so far.
    reclaims: u32,
    /// Reclaimed targets in the list at the last decision.
    last_reclaimed: u32,
    /// End of the backoff after an order for which no targets were available.
    backoff_until: Millis,
}

/// A data centre's demand for a service, in slots.
struct SlotDemand<'a> {
    dc: &'a Dc,
    /// Missing slots for interactive requests.
    interactive_shortage: u32,
    /// Slots needed for interactive requests.
    interactive_needed: u32,
    service: &'a ServiceName,
    slots_per_target: u32,
    /// Missing slots for training.
    training_shortage: u32,
    /// Slots with which all training samples would run concurrently.
    training_wanted: u32,
}

impl Scaling {
    /// Creates a policy without any observations.
    pub fn new(rules: ScalingRules) -> Self {
        Self {
            awaited: AwaitedTargets::default(),
            last_decision: None,
            next_outcome: Offset::default(),
            recent_orders: BTreeMap::new(),
            class_states: BTreeMap::new(),
            rules,
            service_states: BTreeMap::new(),
        }
    }

    /// Returns the orders to send now. Every lease candidate calls this, so that a new lease holder
    /// has made the same observations as its predecessor.
    pub fn decide(&mut self, view: ScalingView<'_>, now: Millis) -> Vec<ScalingOrder> {
        let elapsed = self.last_decision.map_or(Millis::ZERO, |last| now - last);
        self.last_decision = Some(now);
        self.apply_outcomes(view.orders, now);
        let targets = self.awaited.expected(view.targets, now);
        let view = ScalingView {
            targets: &targets,
            ..view
        };
        self.count_reclaims(view);
        let mut orders = Vec::new();
        for dc in view.configuration.dcs.keys() {
            self.enforce_bounds(view, dc, now, &mut orders);
            for service in view.configuration.services.keys() {
                self.scale_service(view, dc, service, (elapsed, now), &mut orders);
            }
        }
        orders
    }

    fn apply_outcomes(&mut self, table: &OrderTable, now: Millis) {
        let rules = self.rules;
        for closed in table
            .closed
            .iter()
            .filter(|closed| closed.offset.next() > self.next_outcome)
        {
            let class_key = (closed.intent.dc.clone(), closed.intent.class.clone());
            let state = self.class_states.entry(class_key).or_default();
            match &closed.outcome {
                OrderOutcome::NoneAvailable => {
                    let delay_ms = rules.min_backoff.0 << state.unavailable.min(16);
                    state.unavailable += 1;
                    state.backoff_until = now + Millis(delay_ms).min(rules.max_backoff);
                }
                OrderOutcome::Done(names) => {
                    state.unavailable = 0;
                    self.awaited
                        .add(&closed.intent, names, now + rules.max_list_lag);
                }
                OrderOutcome::Fenced(_) | OrderOutcome::Revoked => {}
            }
        }
        if let Some(last) = table.closed.back() {
            self.next_outcome = last.offset.next();
        }
    }

    fn count_reclaims(&mut self, view: ScalingView<'_>) {
        for ((dc, class), state) in &mut self.class_states {
            let reclaimed = count_targets(view, dc, class, TargetPhase::Reclaimed);
            state.reclaims += reclaimed.saturating_sub(state.last_reclaimed);
            state.last_reclaimed = reclaimed;
        }
    }

    fn enforce_bounds(
        &mut self,
        view: ScalingView<'_>,
        dc: &Dc,
        now: Millis,
        orders: &mut Vec<ScalingOrder>,
    ) {
        for class in view.configuration.classes.keys() {
            let total = count_targets(view, dc, class, TargetPhase::Active)
                + count_starting(view, dc, class);
            let (floor, ceiling) = bounds(view, dc, class);
            if total < floor {
                let action = TargetAction::Start(floor - total);
                self.try_order(view, dc, class, (action, OrderReason::Floor), now, orders);
            } else if total > ceiling {
                let names = active_names(view, dc, class, total - ceiling);
                let action = TargetAction::Stop(names);
                self.try_order(view, dc, class, (action, OrderReason::Ceiling), now, orders);
            }
        }
    }

    fn scale_service(
        &mut self,
        view: ScalingView<'_>,
        dc: &Dc,
        service: &ServiceName,
        (elapsed, now): (Millis, Millis),
        orders: &mut Vec<ScalingOrder>,
    ) {
        let Some(demand) = self.slot_demand(view, dc, service, elapsed) else {
            return;
        };
        let key = (dc.clone(), service.clone());
        if demand.interactive_shortage + demand.training_shortage == 0 {
            self.service_state(&key).lost_value = 0;
            self.stop_idle(view, &demand, (elapsed, now), orders);
            return;
        }
        for (class, _) in classes_of(view, service) {
            let state = self
                .class_states
                .entry((dc.clone(), class.clone()))
                .or_default();
            state.idle_cost = 0;
        }
        let Some((class, rules)) = self.cheapest(view, &demand, now) else {
            return;
        };
        let price = self.price(dc, class, rules);
        let weight = self.rules.interactive_weight;
        let weighted =
            u64::from(demand.interactive_shortage) * weight + u64::from(demand.training_shortage);
        let loss = weighted * price * elapsed.0 / u64::from(demand.slots_per_target);
        let state = self.service_state(&key);
        state.lost_value = state.lost_value.saturating_add(loss);
        let is_break_even = state.lost_value >= price * rules.start_ms;
        let reclaimed = has_reclaimed(view, dc, service);
        if !reclaimed && !is_break_even {
            return;
        }
        let reason = if reclaimed {
            OrderReason::Reclaimed
        } else {
            OrderReason::Worth
        };
        let wanted = if demand.interactive_shortage > 0 {
            demand
                .interactive_shortage
                .div_ceil(demand.slots_per_target)
        } else {
            demand.training_shortage.div_ceil(demand.slots_per_target)
        };
        let limit = if rules.reclaimable {
            self.reclaimable_room(view, service)
        } else if demand.interactive_shortage == 0 && self.has_reclaimable(view, dc, service, now) {
            self.non_reclaimable_share(view, service, wanted)
        } else {
            wanted
        };
        let action =
            TargetAction::Start(wanted.min(limit).min(room_below_ceiling(view, dc, class)));
        if self.try_order(view, dc, class, (action, reason), now, orders) {
            self.service_state(&key).lost_value = 0;
        }
    }

    fn slot_demand<'a>(
        &mut self,
        view: ScalingView<'a>,
        dc: &'a Dc,
        service: &'a ServiceName,
        elapsed: Millis,
    ) -> Option<SlotDemand<'a>> {
        let rules = self.rules;
        let slots_per_target = view.configuration.services.get(service)?.slots.max(1);
        let load = view
            .loads
            .iter()
            .find(|load| load.dc == *dc && load.service == *service);
        let (interactive, training) = load.map_or((0, 0), |load| (load.interactive, load.training));
        let all_slots = slots_per_target * capacity(view, dc, service);
        let interactive_slots = slots_per_target * interactive_capacity(view, dc, service);
        let state = self.service_state(&(dc.clone(), service.clone()));
        state.observe(interactive, training, (all_slots, elapsed), &rules);
        let peak = state.peak.ceil() as u32;
        let interactive_needed = peak + peak * rules.headroom_percent / 100;
        let training_needed = state.training_slots(training, &rules);
        Some(SlotDemand {
            dc,
            interactive_shortage: interactive_needed.saturating_sub(interactive_slots),
            interactive_needed,
            service,
            slots_per_target,
            training_shortage: training_needed
                .saturating_sub(all_slots.saturating_sub(interactive_needed)),
            training_wanted: training,
        })
    }

    fn service_state(&mut self, key: &(Dc, ServiceName)) -> &mut ServiceState {
        self.service_states.entry(key.clone()).or_default()
    }

    fn stop_idle(
        &mut self,
        view: ScalingView<'_>,
        demand: &SlotDemand<'_>,
        (elapsed, now): (Millis, Millis),
        orders: &mut Vec<ScalingOrder>,
    ) {
        let used =
            (demand.interactive_needed + demand.training_wanted).div_ceil(demand.slots_per_target);
        let idle = capacity(view, demand.dc, demand.service).saturating_sub(used);
        let interactive_used = demand.interactive_needed.div_ceil(demand.slots_per_target);
        let interactive_idle =
            interactive_capacity(view, demand.dc, demand.service).saturating_sub(interactive_used);
        let surplus = |class: &ClassName, rules: &ClassRules| {
            let active = count_targets(view, demand.dc, class, TargetPhase::Active);
            let above_floor = active.saturating_sub(bounds(view, demand.dc, class).0);
            above_floor.min(if rules.reclaimable {
                idle
            } else {
                idle.min(interactive_idle)
            })
        };
        let costliest = classes_of(view, demand.service)
            .filter(|(class, rules)| surplus(class, rules) > 0)
            .max_by_key(|(class, rules)| self.price(demand.dc, class, rules));
        let Some((class, rules)) = costliest else {
            return;
        };
        let class_key = (demand.dc.clone(), class.clone());
        let price = self.price(demand.dc, class, rules);
        let state = self.class_states.entry(class_key).or_default();
        state.idle_cost = state.idle_cost.saturating_add(price * elapsed.0);
        if state.idle_cost < price * rules.start_ms.max(self.rules.cooldown.0) {
            return;
        }
        let names = active_names(view, demand.dc, class, surplus(class, rules));
        let change = (TargetAction::Stop(names), OrderReason::Idle);
        self.try_order(view, demand.dc, class, change, now, orders);
    }

    /// Returns whether the backoff has ended and the last order is at least `interval` ago.
    fn may_order(&self, dc: &Dc, class: &ClassName, interval: Millis, now: Millis) -> bool {
        self.class_states
            .get(&(dc.clone(), class.clone()))
            .is_none_or(|state| {
                now >= state.backoff_until && state.last_order.is_none_or(|at| now >= at + interval)
            })
    }

    /// Adds an order and returns true if the data centre's rate limit and the class's minimum
    /// interval allow it, and no order for the class is open.
    fn try_order(
        &mut self,
        view: ScalingView<'_>,
        dc: &Dc,
        class: &ClassName,
        (action, reason): (TargetAction, OrderReason),
        now: Millis,
        orders: &mut Vec<ScalingOrder>,
    ) -> bool {
        let is_empty = match &action {
            TargetAction::Start(targets) => *targets == 0,
            TargetAction::Stop(names) => names.is_empty(),
        };
        let is_pending = view
            .orders
            .open
            .iter()
            .any(|open| open.intent.dc == *dc && open.intent.class == *class);
        let interval = match reason {
            OrderReason::Floor | OrderReason::Ceiling | OrderReason::Reclaimed => {
                self.rules.restore_interval
            }
            OrderReason::Idle | OrderReason::Worth => self.rules.cooldown,
        };
        if is_empty || is_pending || !self.may_order(dc, class, interval, now) {
            return false;
        }
        let per_minute = view.configuration.dcs[dc].orders_per_minute as usize;
        let recent = self.recent_orders.entry(dc.clone()).or_default();
        recent.retain(|at| now - *at < MINUTE);
        if recent.len() >= per_minute {
            return false;
        }
        recent.push_back(now);
        let state = self
            .class_states
            .entry((dc.clone(), class.clone()))
            .or_default();
        state.last_order = Some(now);
        state.idle_cost = 0;
        orders.push(ScalingOrder {
            action,
            class: class.clone(),
            dc: dc.clone(),
            reason,
        });
        true
    }
}
