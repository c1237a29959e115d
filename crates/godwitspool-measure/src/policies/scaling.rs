//! The scaling policy against a fixed fleet and a simple threshold.

use godwitspool_types::{Millis, Offset, RequestId, Term};
use godwitspool_version::{
    ClassRules, Configuration, DcRules, ObservedTarget, OrderId, OrderIntent, OrderOutcome,
    OrderTable, Scaling, ScalingOrder, ScalingRules, ScalingView, ServiceLoad, ServiceRules,
    TargetAction, TargetPhase,
};

use super::fleet::{Fleet, PRICES, Record, SLOTS, START, STEP};
use crate::{Options, Table};

const CLASSES: [&str; 2] = ["kept", "reclaimable"];
const FIXED: u32 = 16;
const FLOOR: u32 = 3;
const SPAN: Millis = Millis(4 * 3_600_000);
const DECIDE: Millis = Millis(1_000);
const SEEDS: u64 = 3;

/// Runs each policy over the same work and tells cost and waits.
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
            ("threshold", Policy::Threshold { moved: Millis(0) }),
            ("break-even", Policy::break_even()),
        ] {
            table.push_row(row(name, seed, simulate(policy, seed)));
        }
    }
    vec![table]
}

fn row(name: &str, seed: u64, mut record: Record) -> [String; 9] {
    record.waits.sort_unstable();
    record.steps.sort_unstable();
    let (waits, steps) = (&record.waits, &record.steps);
    [
        name.to_owned(),
        seed.to_string(),
        format!("{:.0}", record.cost),
        quantile(waits, 0.99).to_string(),
        quantile(waits, 1.0).to_string(),
        format!("{:.0}", quantile(steps, 0.5) as f64 / 1_000.0),
        format!("{:.0}", quantile(steps, 1.0) as f64 / 1_000.0),
        record.steps.len().to_string(),
        record.moves.to_string(),
    ]
}

fn quantile(sorted: &[u64], q: f64) -> u64 {
    let at = (sorted.len() as f64 * q) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(at.min(last)).copied().unwrap_or(0)
}

enum Policy {
    Fixed,
    Threshold { moved: Millis },
    BreakEven(Box<BreakEven>),
}

struct BreakEven {
    book: OrderTable,
    configuration: Configuration,
    offset: u64,
    scaling: Scaling,
}

impl Policy {
    fn break_even() -> Self {
        Self::BreakEven(Box::new(BreakEven {
            book: OrderTable::default(),
            configuration: configuration(),
            offset: 0,
            scaling: Scaling::new(ScalingRules::default()),
        }))
    }

    fn decide(&mut self, fleet: &mut Fleet) {
        match self {
            Self::Fixed => {}
            Self::Threshold { moved } => threshold(fleet, moved),
            Self::BreakEven(policy) => policy.decide(fleet),
        }
    }
}

fn simulate(mut policy: Policy, seed: u64) -> Record {
    let mut fleet = Fleet::new(seed);
    let first = match policy {
        Policy::Fixed => FIXED,
        Policy::Threshold { .. } | Policy::BreakEven(_) => FLOOR,
    };
    fleet.start(first, false, Millis(0));
    while fleet.now < SPAN {
        fleet.pass();
        if fleet.now.0.is_multiple_of(DECIDE.0.max(STEP.0)) {
            policy.decide(&mut fleet);
        }
    }
    fleet.record
}

/// Starts a target above 80% of the slots in use and stops one below 40%, every half minute.
fn threshold(fleet: &mut Fleet, moved: &mut Millis) {
    const PAUSE: Millis = Millis(30_000);
    if fleet.now - *moved < PAUSE {
        return;
    }
    let slots = fleet.targets.len() as u32 * SLOTS;
    let used = fleet.interactive() + fleet.training();
    if used * 100 > slots * 80 && fleet.targets.len() < FIXED as usize {
        fleet.start(1, false, START);
        *moved = fleet.now;
    } else if used * 100 < slots * 40 && fleet.targets.len() > FLOOR as usize {
        let last = fleet.targets.last().map(|target| target.number);
        if let Some(number) = last {
            fleet.stop(number);
        }
        *moved = fleet.now;
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
            orders: &self.book,
            targets: &targets,
        };
        for order in self.scaling.decide(view, fleet.now) {
            self.carry_out(fleet, order);
        }
    }

    fn carry_out(&mut self, fleet: &mut Fleet, order: ScalingOrder) {
        let before = fleet.targets.len();
        let names = match &order.action {
            TargetAction::Start(targets) => {
                fleet.start(*targets, order.class.as_str() == CLASSES[1], START);
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
        self.book.open(Offset(self.offset), &intent, Some(Term(1)));
        let outcome = OrderOutcome::Done(names);
        self.book.close(Offset(self.offset + 1), id, &outcome);
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    for (index, class) in CLASSES.into_iter().enumerate() {
        let rules = ClassRules {
            cost_per_hour: PRICES[index],
            reclaimable: index == 1,
            service: "s".into(),
            start_ms: START.0,
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
        ceiling: CLASSES.map(|class| (class.into(), FIXED)).into(),
        floor: [(CLASSES[0].into(), FLOOR)].into(),
        orders_per_minute: 20,
    };
    configuration.dcs.insert("d".into(), dc);
    configuration
}
