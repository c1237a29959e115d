//! The scaling policy, compared with a fixed fleet and a simple threshold.

use godwitspool_types::{Millis, Offset, RequestId, Term};
use godwitspool_version::{
    ClassRules, Configuration, DcRules, ObservedTarget, OrderId, OrderIntent, OrderOutcome,
    OrderTable, Scaling, ScalingOrder, ScalingRules, ScalingView, ServiceLoad, ServiceRules,
    TargetAction, TargetPhase,
};

use super::fleet::{Fleet, PRICES_PER_HOUR, START_DELAY, TARGET_SLOTS, TICK, Totals};
use crate::{Options, Table};

const CLASSES: [&str; 2] = ["kept", "reclaimable"];
/// Size of the fixed fleet, upper limit of the threshold fleet, and upper limit per class of the
/// break-even fleet.
const MAX_TARGETS: u32 = 16;
/// Initial size and lower limit of the fleets that scale, in non-reclaimable targets.
const MIN_TARGETS: u32 = 3;
const RUN_TIME: Millis = Millis(4 * 3_600_000);
const DECISION_INTERVAL: Millis = Millis(1_000);
/// Number of seeds that each policy runs with.
const SEEDS: u64 = 3;

/// Simulates each policy on the same workload and reports costs and wait times.
pub(crate) fn run(options: &Options) -> Vec<Table> {
    let columns = [
        "policy",
        "seed",
        "cost",
        "interactive_p99_ms",
        "interactive_max_ms",
        "step_p50_s",
        "step_max_s",
        "steps",
        "moves",
    ];
    let mut table = Table::new("scaling", &columns);
    for seed in options.seed..options.seed + SEEDS {
        for (name, policy) in [
            ("fixed", Policy::Fixed),
            (
                "threshold",
                Policy::Threshold {
                    last_change: Millis(0),
                },
            ),
            ("break-even", Policy::break_even()),
        ] {
            table.push_row(row(name, seed, simulate(policy, seed)));
        }
    }
    vec![table]
}

fn row(name: &str, seed: u64, mut totals: Totals) -> [String; 9] {
    totals.wait_times_ms.sort_unstable();
    totals.step_times_ms.sort_unstable();
    let (wait_times_ms, step_times_ms) = (&totals.wait_times_ms, &totals.step_times_ms);
    [
        name.to_owned(),
        seed.to_string(),
        format!("{:.0}", totals.cost),
        quantile(wait_times_ms, 0.99).to_string(),
        quantile(wait_times_ms, 1.0).to_string(),
        format!("{:.0}", quantile(step_times_ms, 0.5) as f64 / 1_000.0),
        format!("{:.0}", quantile(step_times_ms, 1.0) as f64 / 1_000.0),
        totals.step_times_ms.len().to_string(),
        totals.target_changes.to_string(),
    ]
}

fn quantile(sorted: &[u64], q: f64) -> u64 {
    let rank = (sorted.len() as f64 * q) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(rank.min(last)).copied().unwrap_or(0)
}

enum Policy {
    Fixed,
    Threshold { last_change: Millis },
    BreakEven(Box<BreakEven>),
}

struct BreakEven {
    order_table: OrderTable,
    configuration: Configuration,
    offset: u64,
    scaling: Scaling,
}

impl Policy {
    fn break_even() -> Self {
        Self::BreakEven(Box::new(BreakEven {
            order_table: OrderTable::default(),
            configuration: configuration(),
            offset: 0,
            scaling: Scaling::new(ScalingRules::default()),
        }))
    }

    fn decide(&mut self, fleet: &mut Fleet) {
        match self {
            Self::Fixed => {}
            Self::Threshold { last_change } => apply_threshold(fleet, last_change),
            Self::BreakEven(policy) => policy.decide(fleet),
        }
    }
}

fn simulate(mut policy: Policy, seed: u64) -> Totals {
    let mut fleet = Fleet::new(seed);
    let initial_targets = match policy {
        Policy::Fixed => MAX_TARGETS,
        Policy::Threshold { .. } | Policy::BreakEven(_) => MIN_TARGETS,
    };
    fleet.start(initial_targets, false, Millis(0));
    while fleet.now < RUN_TIME {
        fleet.tick();
        if fleet.now.0.is_multiple_of(DECISION_INTERVAL.0.max(TICK.0)) {
            policy.decide(&mut fleet);
        }
    }
    fleet.totals
}

/// Starts a target if more than 80% of the slots are in use and stops one below 40%, at most once
/// per half minute.
fn apply_threshold(fleet: &mut Fleet, last_change: &mut Millis) {
    const CHANGE_INTERVAL: Millis = Millis(30_000);
    if fleet.now - *last_change < CHANGE_INTERVAL {
        return;
    }
    let slots = fleet.targets.len() as u32 * TARGET_SLOTS;
    let used = fleet.interactive() + fleet.training();
    if used * 100 > slots * 80 && fleet.targets.len() < MAX_TARGETS as usize {
        fleet.start(1, false, START_DELAY);
        *last_change = fleet.now;
    } else if used * 100 < slots * 40 && fleet.targets.len() > MIN_TARGETS as usize {
        let last = fleet.targets.last().map(|target| target.number);
        if let Some(number) = last {
            fleet.stop(number);
        }
        *last_change = fleet.now;
    }
}

impl BreakEven {
    fn decide(&mut self, fleet: &mut Fleet) {
        let targets = fleet.targets.iter().map(|target| ObservedTarget {
            class: CLASSES[usize::from(target.reclaimable)].into(),
            dc: "d".into(),
            phase: TargetPhase::Active,
            target: target.number.to_string().into(),
        });
        let targets = targets.collect::<Vec<_>>();
        let loads = [ServiceLoad {
            dc: "d".into(),
            service: "s".into(),
            interactive: fleet.interactive(),
            training: fleet.training(),
        }];
        let view = ScalingView {
            configuration: &self.configuration,
            loads: &loads,
            orders: &self.order_table,
            targets: &targets,
        };
        for order in self.scaling.decide(view, fleet.now) {
            self.execute(fleet, order);
        }
    }

    fn execute(&mut self, fleet: &mut Fleet, order: ScalingOrder) {
        let before = fleet.targets.len();
        let names = match &order.action {
            TargetAction::Start(targets) => {
                fleet.start(*targets, order.class.as_str() == CLASSES[1], START_DELAY);
                let started = fleet.targets[before..].iter();
                started
                    .map(|target| target.number.to_string().into())
                    .collect()
            }
            TargetAction::Stop(names) => {
                let numbers = names.iter().filter_map(|name| name.as_str().parse().ok());
                numbers.for_each(|number| fleet.stop(number));
                names.clone()
            }
        };
        self.offset += 2;
        let id = OrderId(RequestId(u128::from(self.offset)));
        let intent = OrderIntent {
            action: order.action,
            class: order.class,
            dc: order.dc,
            order: id,
            reason: order.reason,
            term: Term(1),
        };
        self.order_table
            .open(Offset(self.offset), &intent, Some(Term(1)));
        let outcome = OrderOutcome::Done(names);
        self.order_table
            .close(Offset(self.offset + 1), id, &outcome);
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    for (index, class) in CLASSES.into_iter().enumerate() {
        let rules = ClassRules {
            cost_per_hour: PRICES_PER_HOUR[index],
            reclaimable: index == 1,
            service: "s".into(),
            start_ms: START_DELAY.0,
            ..ClassRules::default()
        };
        configuration.classes.insert(class.into(), rules);
    }
    let service = ServiceRules {
        slots: TARGET_SLOTS,
        ..ServiceRules::default()
    };
    configuration.services.insert("s".into(), service);
    let dc = DcRules {
        ceiling: CLASSES.map(|class| (class.into(), MAX_TARGETS)).into(),
        floor: [(CLASSES[0].into(), MIN_TARGETS)].into(),
        orders_per_minute: 20,
    };
    configuration.dcs.insert("d".into(), dc);
    configuration
}
