//! Tests the scaling policy with floors, bursts, idle targets, reclaims and unavailable targets.

use godwitspool_types::{ClassName, Dc, Millis, Offset, RequestId, TargetName, Term};
use godwitspool_version::{
    ClassRules, Configuration, DcRules, ObservedTarget, OrderId, OrderIntent, OrderOutcome,
    OrderReason, OrderTable, Scaling, ScalingOrder, ScalingRules, ScalingView, ServiceLoad,
    ServiceRules, TargetAction, TargetPhase,
};
use rstest::rstest;

const SLOTS: u32 = 4;
const START_TIME: Millis = Millis(20_000);
const DECISION_INTERVAL: Millis = Millis(500);

/// A simulated fleet that executes each order immediately.
struct Fleet {
    table: OrderTable,
    configuration: Configuration,
    /// Whether the platform's list omits all targets.
    is_list_empty: bool,
    loads: Vec<ServiceLoad>,
    /// Orders so far, with their times.
    order_log: Vec<(Millis, ScalingOrder)>,
    next: u64,
    now: Millis,
    /// Outcome of every order instead of executing it.
    outcome: Option<OrderOutcome>,
    scaling: Scaling,
    targets: Vec<ObservedTarget>,
}

impl Fleet {
    fn new(floor: u32, orders_per_minute: u32) -> Self {
        let mut configuration = Configuration::default();
        for (class, reclaimable, cost) in [("kept", false, 1_000), ("cheap", true, 300)] {
            let rules = ClassRules {
                cost_per_hour: cost,
                reclaimable,
                service: "s".into(),
                start_ms: START_TIME.0,
                ..ClassRules::default()
            };
            configuration.classes.insert(class.into(), rules);
        }
        let service = ServiceRules {
            slots: SLOTS,
            ..ServiceRules::default()
        };
        configuration.services.insert("s".into(), service);
        let dc = DcRules {
            ceiling: [("kept".into(), 10), ("cheap".into(), 10)].into(),
            floor: [("kept".into(), floor)].into(),
            orders_per_minute,
        };
        configuration.dcs.insert("d".into(), dc);
        Self {
            table: OrderTable::default(),
            configuration,
            is_list_empty: false,
            loads: Vec::new(),
            order_log: Vec::new(),
            next: 0,
            now: Millis(0),
            outcome: None,
            scaling: Scaling::new(ScalingRules::default()),
            targets: Vec::new(),
        }
    }

    fn load(&mut self, interactive: u32, training: u32) {
        self.loads = vec![ServiceLoad {
            dc: "d".into(),
            service: "s".into(),
            interactive,
            training,
        }];
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + DECISION_INTERVAL;
            let view = ScalingView {
                configuration: &self.configuration,
                loads: &self.loads,
                orders: &self.table,
                targets: if self.is_list_empty {
                    &[]
                } else {
                    &self.targets
                },
            };
            for order in self.scaling.decide(view, self.now) {
                self.execute(&order);
                self.order_log.push((self.now, order));
            }
        }
    }

    fn execute(&mut self, order: &ScalingOrder) {
        self.next += 1;
        let id = OrderId(RequestId(u128::from(self.next)));
        let intent = OrderIntent {
            action: order.action.clone(),
            class: order.class.clone(),
            dc: order.dc.clone(),
            order: id,
            reason: order.reason,
            term: Term(1),
        };
        assert!(self.table.open(Offset(self.next), &intent, Some(Term(1))));
        let outcome = match self.outcome.clone() {
            Some(outcome) => outcome,
            None => OrderOutcome::Done(self.apply(order)),
        };
        self.next += 1;
        assert!(self.table.close(Offset(self.next), id, &outcome));
    }

    fn apply(&mut self, order: &ScalingOrder) -> Vec<TargetName> {
        match &order.action {
            TargetAction::Start(targets) => {
                let names = (0..*targets).map(|index| format!("t{}-{index}", self.next).into());
                let names = names.collect::<Vec<TargetName>>();
                self.targets.extend(names.iter().map(|name| ObservedTarget {
                    class: order.class.clone(),
                    dc: order.dc.clone(),
                    phase: TargetPhase::Active,
                    target: name.clone(),
                }));
                names
            }
            TargetAction::Stop(names) => {
                self.targets.retain(|seen| !names.contains(&seen.target));
                names.clone()
            }
        }
    }

    fn count(&self, class: &str) -> usize {
        let class = ClassName::from(class);
        self.targets
            .iter()
            .filter(|seen| seen.class == class)
            .count()
    }
}

#[test]
fn the_floor_is_kept_without_work() {
    let mut fleet = Fleet::new(3, 10);
    fleet.run(Millis(300_000));
    assert_eq!(fleet.count("kept"), 3);
    assert_eq!(fleet.order_log.len(), 1);
}

#[rstest]
#[case::interactive(40, 0)]
#[case::training(0, 400)]
fn no_more_orders_than_the_operators_allow(#[case] interactive: u32, #[case] training: u32) {
    let mut fleet = Fleet::new(0, 2);
    fleet.outcome = Some(OrderOutcome::Revoked);
    fleet.load(interactive, training);
    fleet.run(Millis(240_000));
    for (at, _) in &fleet.order_log {
        let window = fleet
            .order_log
            .iter()
            .filter(|(other, _)| *other <= *at && *at - *other < Millis(60_000));
        assert!(window.count() <= 2, "{:?}", fleet.order_log);
    }
    assert!(!fleet.order_log.is_empty());
}

#[test]
fn a_wrong_signal_stops_no_more_than_the_floor_allows() {
    let mut fleet = Fleet::new(2, 60);
    fleet.load(24, 0);
    fleet.run(Millis(120_000));
    assert!(fleet.count("kept") > 2);
    fleet.load(0, 0);
    // The peak of interactive requests decays over half an hour.
    for _ in 0..20_000 {
        fleet.run(DECISION_INTERVAL);
        assert!(fleet.count("kept") >= 2);
    }
    assert_eq!(fleet.count("kept"), 2);
}

#[test]
fn a_burst_below_break_even_causes_no_order() {
    let mut fleet = Fleet::new(1, 60);
    fleet.run(DECISION_INTERVAL);
    let before = fleet.order_log.len();
    for _ in 0..20 {
        fleet.load(0, SLOTS + 1);
        fleet.run(Millis(4_000));
        fleet.load(0, 0);
        fleet.run(Millis(4_000));
    }
    assert_eq!(fleet.order_log.len(), before, "{:?}", fleet.order_log);
}

#[test]
fn a_load_that_swings_does_not_flap_the_fleet() {
    let mut fleet = Fleet::new(1, 60);
    for _ in 0..30 {
        fleet.load(20, 0);
        fleet.run(Millis(10_000));
        fleet.load(4, 0);
        fleet.run(Millis(5_000));
    }
    let stops = fleet
        .order_log
        .iter()
        .filter(|(_, order)| order.reason == OrderReason::Idle);
    assert_eq!(stops.count(), 0, "{:?}", fleet.order_log);
}

#[test]
fn training_uses_reclaimable_targets_but_not_only_those() {
    let mut fleet = Fleet::new(1, 60);
    fleet.load(0, 324);
    fleet.run(Millis(600_000));
    let (cheap, kept) = (fleet.count("cheap"), fleet.count("kept"));
    assert!(cheap > 0 && kept > 0, "{cheap} cheap, {kept} kept");
    assert!(
        cheap * 100 <= (cheap + kept) * 70,
        "{cheap} cheap, {kept} kept"
    );
}

#[test]
fn interactive_work_uses_no_reclaimable_targets() {
    let mut fleet = Fleet::new(0, 60);
    fleet.load(30, 0);
    fleet.run(Millis(120_000));
    assert_eq!(fleet.count("cheap"), 0);
    assert!(fleet.count("kept") * SLOTS as usize >= 30);
}

#[test]
fn orders_back_off_while_no_targets_are_available() {
    let mut fleet = Fleet::new(1, 60);
    fleet.outcome = Some(OrderOutcome::NoneAvailable);
    fleet.run(Millis(600_000));
    let times = fleet
        .order_log
        .iter()
        .map(|(at, _)| *at)
        .collect::<Vec<_>>();
    let gaps = times
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect::<Vec<_>>();
    assert!(gaps.len() >= 4, "{gaps:?}");
    assert!(
        gaps.windows(2).skip(1).all(|pair| pair[1] > pair[0]),
        "{gaps:?}"
    );
}

#[test]
fn a_reclaimed_data_centre_is_replaced_at_once() {
    let mut fleet = Fleet::new(2, 60);
    fleet.load(0, 180);
    fleet.run(Millis(300_000));
    let before = fleet.order_log.len();
    for seen in &mut fleet.targets {
        if seen.class == ClassName::from("cheap") {
            seen.phase = TargetPhase::Reclaimed;
        }
    }
    fleet.run(DECISION_INTERVAL);
    let order = &fleet.order_log[before].1;
    assert_eq!(order.reason, OrderReason::Reclaimed);
    assert!(matches!(order.action, TargetAction::Start(targets) if targets > 0));
    assert_eq!(order.dc, Dc::from("d"));
}

#[test]
fn a_lagging_list_causes_no_duplicate_order() {
    let mut fleet = Fleet::new(3, 60);
    fleet.is_list_empty = true;
    fleet.run(Millis(20_000));
    assert_eq!(fleet.order_log.len(), 1, "{:?}", fleet.order_log);
}
