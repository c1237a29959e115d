//! How many targets of which class each data centre is to have.
//!
//! Both directions follow the break-even rule: targets are started once the work that waits has lost
//! as much worth as a start costs, and stopped once their idle time has cost as much as the next
//! start would. So neither a short burst nor a short pause moves anything.

mod service_memory;
mod shares;

use std::collections::{BTreeMap, VecDeque};

use godwitspool_types::{ClassName, Dc, Millis, Offset, ServiceName};

use self::service_memory::ServiceMemory;
use crate::{
    ClassRules, OrderOutcome, OrderReason, OrderTable, ScalingRules, ScalingView, TargetAction,
    TargetPhase,
    awaited_targets::AwaitedTargets,
    scaling_view::{
        bounds, capacity, classes_of, count, has_reclaimed, idle_names, kept_capacity, room,
        starting,
    },
};

const MINUTE: Millis = Millis(60_000);

/// An order that the policy wants given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScalingOrder {
    /// What to do.
    pub action: TargetAction,
    /// Class.
    pub class: ClassName,
    /// Data centre.
    pub dc: Dc,
    /// Why.
    pub reason: OrderReason,
}

/// The policy's memory.
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
    last: Option<Millis>,
    noted: Offset,
    ordered: BTreeMap<Dc, VecDeque<Millis>>,
    places: BTreeMap<Place, Memory>,
    rules: ScalingRules,
    services: BTreeMap<(Dc, ServiceName), ServiceMemory>,
}

type Place = (Dc, ClassName);

#[derive(Clone, Copy, Debug, Default)]
struct Memory {
    idle_cost: u64,
    none: u32,
    ordered: Option<Millis>,
    reclaims: u32,
    reclaimed: u32,
    shut_until: Millis,
}

/// What a data centre needs for a service, in slots.
struct Shortage<'a> {
    dc: &'a Dc,
    /// Lacking for interactive requests.
    interactive: u32,
    /// Needed for interactive requests.
    needed: u32,
    service: &'a ServiceName,
    slots: u32,
    /// Lacking for training.
    training: u32,
    /// In use or wanted at once by training.
    wished: u32,
}

impl Scaling {
    /// Makes a policy that remembers nothing.
    pub fn new(rules: ScalingRules) -> Self {
        Self {
            awaited: AwaitedTargets::default(),
            last: None,
            noted: Offset::default(),
            ordered: BTreeMap::new(),
            places: BTreeMap::new(),
            rules,
            services: BTreeMap::new(),
        }
    }

    /// Says which orders to give now. Every candidate follows along, so that a successor remembers
    /// what its predecessor knew.
    pub fn decide(&mut self, view: ScalingView<'_>, now: Millis) -> Vec<ScalingOrder> {
        let span = self.last.map_or(Millis::ZERO, |last| now - last);
        self.last = Some(now);
        self.note_outcomes(view.orders, now);
        let targets = self.awaited.expected(view.targets, now);
        let view = ScalingView {
            targets: &targets,
            ..view
        };
        self.note_reclaims(view);
        let mut orders = Vec::new();
        for dc in view.configuration.dcs.keys() {
            self.keep_bounds(view, dc, now, &mut orders);
            for service in view.configuration.services.keys() {
                self.balance(view, dc, service, (span, now), &mut orders);
            }
        }
        orders
    }

    // --- Memory

    fn note_outcomes(&mut self, book: &OrderTable, now: Millis) {
        let rules = self.rules;
        for closed in book
            .closed
            .iter()
            .filter(|closed| closed.offset.next() > self.noted)
        {
            let place = (closed.intent.dc.clone(), closed.intent.class.clone());
            let memory = self.places.entry(place).or_default();
            match &closed.outcome {
                OrderOutcome::NoneAvailable => {
                    let doubled = rules.backoff.0 << memory.none.min(16);
                    memory.none += 1;
                    memory.shut_until = now + Millis(doubled).min(rules.backoff_most);
                }
                OrderOutcome::Done(names) => {
                    memory.none = 0;
                    self.awaited
                        .note(&closed.intent, names, now + rules.list_lag);
                }
                OrderOutcome::Fenced(_) | OrderOutcome::Revoked => {}
            }
        }
        if let Some(last) = book.closed.back() {
            self.noted = last.offset.next();
        }
    }

    fn note_reclaims(&mut self, view: ScalingView<'_>) {
        for ((dc, class), memory) in &mut self.places {
            let reclaimed = count(view, dc, class, TargetPhase::Reclaimed);
            memory.reclaims += reclaimed.saturating_sub(memory.reclaimed);
            memory.reclaimed = reclaimed;
        }
    }

    // --- Bounds

    fn keep_bounds(
        &mut self,
        view: ScalingView<'_>,
        dc: &Dc,
        now: Millis,
        orders: &mut Vec<ScalingOrder>,
    ) {
        for class in view.configuration.classes.keys() {
            let counted = count(view, dc, class, TargetPhase::Active) + starting(view, dc, class);
            let (floor, ceiling) = bounds(view, dc, class);
            if counted < floor {
                let action = TargetAction::Start(floor - counted);
                self.order(view, dc, class, (action, OrderReason::Floor), now, orders);
            } else if counted > ceiling {
                let names = idle_names(view, dc, class, counted - ceiling);
                let action = TargetAction::Stop(names);
                self.order(view, dc, class, (action, OrderReason::Ceiling), now, orders);
            }
        }
    }

    // --- Balance

    fn balance(
        &mut self,
        view: ScalingView<'_>,
        dc: &Dc,
        service: &ServiceName,
        (span, now): (Millis, Millis),
        orders: &mut Vec<ScalingOrder>,
    ) {
        let Some(shortage) = self.shortage(view, dc, service, span) else {
            return;
        };
        let key = (dc.clone(), service.clone());
        if shortage.interactive + shortage.training == 0 {
            self.service(&key).waited = 0;
            self.stop_idle(view, &shortage, (span, now), orders);
            return;
        }
        for (class, _) in classes_of(view, service) {
            let memory = self.places.entry((dc.clone(), class.clone())).or_default();
            memory.idle_cost = 0;
        }
        let Some((class, rules)) = self.cheapest(view, &shortage, now) else {
            return;
        };
        let price = self.price(dc, class, rules);
        let worth = self.rules.interactive_worth;
        let weighed = u64::from(shortage.interactive) * worth + u64::from(shortage.training);
        let lost = weighed * price * span.0 / u64::from(shortage.slots);
        let memory = self.service(&key);
        memory.waited = memory.waited.saturating_add(lost);
        let is_worth = memory.waited >= price * rules.start_ms;
        let reclaimed = has_reclaimed(view, dc, service);
        if !reclaimed && !is_worth {
            return;
        }
        let reason = if reclaimed {
            OrderReason::Reclaimed
        } else {
            OrderReason::Worth
        };
        let wanted = if shortage.interactive > 0 {
            shortage.interactive.div_ceil(shortage.slots)
        } else {
            shortage.training.div_ceil(shortage.slots)
        };
        let most = if rules.reclaimable {
            self.reclaimable_room(view, service)
        } else if shortage.interactive == 0 && self.has_reclaimable(view, dc, service, now) {
            self.kept_share(view, service, wanted)
        } else {
            wanted
        };
        let action = TargetAction::Start(wanted.min(most).min(room(view, dc, class)));
        if self.order(view, dc, class, (action, reason), now, orders) {
            self.service(&key).waited = 0;
        }
    }

    fn shortage<'a>(
        &mut self,
        view: ScalingView<'a>,
        dc: &'a Dc,
        service: &'a ServiceName,
        span: Millis,
    ) -> Option<Shortage<'a>> {
        let rules = self.rules;
        let slots = view.configuration.services.get(service)?.slots.max(1);
        let load = view
            .loads
            .iter()
            .find(|load| load.dc == *dc && load.service == *service);
        let (interactive, training) = load.map_or((0, 0), |load| (load.interactive, load.training));
        let all = slots * capacity(view, dc, service);
        let kept = slots * kept_capacity(view, dc, service);
        let memory = self.service(&(dc.clone(), service.clone()));
        memory.note(interactive, training, (all, span), &rules);
        let peak = memory.peak.ceil() as u32;
        let needed = peak + peak * rules.headroom_percent / 100;
        let wished = memory.training_slots(training, &rules);
        Some(Shortage {
            dc,
            interactive: needed.saturating_sub(kept),
            needed,
            service,
            slots,
            training: wished.saturating_sub(all.saturating_sub(needed)),
            wished: training,
        })
    }

    fn service(&mut self, key: &(Dc, ServiceName)) -> &mut ServiceMemory {
        self.services.entry(key.clone()).or_default()
    }

    fn stop_idle(
        &mut self,
        view: ScalingView<'_>,
        spare: &Shortage<'_>,
        (span, now): (Millis, Millis),
        orders: &mut Vec<ScalingOrder>,
    ) {
        let used = (spare.needed + spare.wished).div_ceil(spare.slots);
        let idle = capacity(view, spare.dc, spare.service).saturating_sub(used);
        let interactive = spare.needed.div_ceil(spare.slots);
        let kept = kept_capacity(view, spare.dc, spare.service).saturating_sub(interactive);
        let surplus = |class: &ClassName, rules: &ClassRules| {
            let counted = count(view, spare.dc, class, TargetPhase::Active);
            let above = counted.saturating_sub(bounds(view, spare.dc, class).0);
            above.min(if rules.reclaimable {
                idle
            } else {
                idle.min(kept)
            })
        };
        let costliest = classes_of(view, spare.service)
            .filter(|(class, rules)| surplus(class, rules) > 0)
            .max_by_key(|(class, rules)| self.price(spare.dc, class, rules));
        let Some((class, rules)) = costliest else {
            return;
        };
        let place = (spare.dc.clone(), class.clone());
        let price = self.price(spare.dc, class, rules);
        let memory = self.places.entry(place).or_default();
        memory.idle_cost = memory.idle_cost.saturating_add(price * span.0);
        if memory.idle_cost < price * rules.start_ms.max(self.rules.cooling.0) {
            return;
        }
        let names = idle_names(view, spare.dc, class, surplus(class, rules));
        let change = (TargetAction::Stop(names), OrderReason::Idle);
        self.order(view, spare.dc, class, change, now, orders);
    }

    // --- Orders

    fn is_open(&self, dc: &Dc, class: &ClassName, pause: Millis, now: Millis) -> bool {
        self.places
            .get(&(dc.clone(), class.clone()))
            .is_none_or(|memory| {
                now >= memory.shut_until && memory.ordered.is_none_or(|at| now >= at + pause)
            })
    }

    /// Adds an order if the data centre's rate and the class's cooling allow it.
    fn order(
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
        let pause = match reason {
            OrderReason::Floor | OrderReason::Ceiling | OrderReason::Reclaimed => self.rules.settle,
            OrderReason::Idle | OrderReason::Worth => self.rules.cooling,
        };
        if is_empty || is_pending || !self.is_open(dc, class, pause, now) {
            return false;
        }
        let per_minute = view.configuration.dcs[dc].orders_per_minute as usize;
        let ordered = self.ordered.entry(dc.clone()).or_default();
        ordered.retain(|at| now - *at < MINUTE);
        if ordered.len() >= per_minute {
            return false;
        }
        ordered.push_back(now);
        let memory = self.places.entry((dc.clone(), class.clone())).or_default();
        memory.ordered = Some(now);
        memory.idle_cost = 0;
        orders.push(ScalingOrder {
            action,
            class: class.clone(),
            dc: dc.clone(),
            reason,
        });
        true
    }
}
