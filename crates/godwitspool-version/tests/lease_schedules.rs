//! Tests the lease under random schedules, with more processes and a finer clock than the
//! exhaustive search in `lease_search.rs`.

use godwitspool_types::{Incarnation, Millis, Offset};
use godwitspool_version::{
    HostLife, LeaseAction, LeaseCandidate, LeaseEvent, LeaseKind, LeaseRecord, LeaseRules, RecordId,
};
use proptest::{collection::vec, prelude::*};

const PROCESSES: usize = 5;
/// Rates of the processes' clocks in thousandths of true time, within 1%.
const CLOCK_RATES_PERMILLE: [u64; PROCESSES] = [990, 995, 1_000, 1_005, 1_010];
const RULES: LeaseRules = LeaseRules {
    clock_margin: Millis(65),
    order_timeout: Millis(1_000),
    renewal_interval: Millis(750),
    duration: Millis(3_000),
};

#[derive(Clone, Copy, Debug)]
enum Op {
    /// A process handles a tick. What it appends is in flight.
    Step(usize),
    /// A process reads up to this many records.
    Read(usize, usize),
    /// An append in flight reaches the log. If set, a copy stays in flight.
    Arrive(usize, bool),
    /// This many milliseconds of true time pass.
    Pass(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..PROCESSES).prop_map(Op::Step),
        6 => (0..PROCESSES, 1..4_usize).prop_map(|(process, records)| Op::Read(process, records)),
        5 => (0..8_usize, prop::bool::weighted(0.2)).prop_map(|(index, twice)| Op::Arrive(index, twice)),
        4 => (1..400_u64).prop_map(Op::Pass),
        1 => (400..6_000_u64).prop_map(Op::Pass),
    ]
}

struct World {
    acted: usize,
    /// For each process, the true time until which an order that it may have sent can take effect.
    busy_until: [u64; PROCESSES],
    candidates: [LeaseCandidate; PROCESSES],
    log: Vec<(RecordId, LeaseRecord)>,
    now: u64,
    in_flight: Vec<(RecordId, LeaseRecord)>,
    read: [usize; PROCESSES],
}

impl World {
    fn new(rules: LeaseRules) -> Self {
        let candidate = |index: usize| {
            let life = HostLife {
                host: format!("h{index}").into(),
                incarnation: Incarnation(1),
            };
            LeaseCandidate::new(LeaseKind::Orders, life, rules)
        };
        Self {
            acted: 0,
            busy_until: [0; PROCESSES],
            candidates: std::array::from_fn(candidate),
            log: Vec::new(),
            now: 0,
            in_flight: Vec::new(),
            read: [0; PROCESSES],
        }
    }

    fn clock(&self, process: usize) -> Millis {
        Millis(self.now * CLOCK_RATES_PERMILLE[process] / 1_000)
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::Step(process) => {
                let now = self.clock(process);
                let event = LeaseEvent::Tick { ready: true };
                for action in self.candidates[process].decide(event, now) {
                    if let LeaseAction::Append { id, record } = action {
                        self.in_flight.push((id, record));
                    }
                }
            }
            Op::Read(process, records) => (0..records).for_each(|_| self.read(process)),
            Op::Arrive(index, twice) => self.arrive(index, twice),
            Op::Pass(span) => self.now += span,
        }
    }

    fn read(&mut self, process: usize) {
        let at = self.read[process];
        let now = self.clock(process);
        let Some((id, record)) = self.log.get(at) else {
            return;
        };
        let event = LeaseEvent::Read {
            id: *id,
            offset: Offset(at as u64),
            record,
        };
        self.candidates[process].decide(event, now);
        self.read[process] += 1;
    }

    fn arrive(&mut self, index: usize, twice: bool) {
        if index < self.in_flight.len() {
            let append = self.in_flight.remove(index);
            self.in_flight.extend(twice.then(|| append.clone()));
            self.log.push(append);
        }
    }

    /// Lets each process act that may, and returns whether two orders could take effect at the same
    /// time.
    fn clashes(&mut self) -> bool {
        let mut clash = false;
        for process in 0..PROCESSES {
            if self.candidates[process]
                .may_act(self.clock(process))
                .is_none()
            {
                continue;
            }
            self.acted += 1;
            let others = (0..PROCESSES).filter(|other| *other != process);
            clash |= others
                .into_iter()
                .any(|other| self.busy_until[other] > self.now);
            self.busy_until[process] = self.now + RULES.order_timeout.0;
        }
        clash
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn no_two_orders_take_effect_at_once(ops in vec(op(), 0..600)) {
        let mut world = World::new(RULES);
        for op in ops {
            world.run(op);
            prop_assert!(!world.clashes(), "two processes acted at the same time");
        }
    }
}

/// Checks that processes get to act at all, since the test above passes if none ever does.
#[test]
fn the_schedules_let_processes_act() {
    let mut world = World::new(RULES);
    for _ in 0..200 {
        for process in 0..PROCESSES {
            world.run(Op::Step(process));
            world.run(Op::Read(process, 3));
        }
        world.run(Op::Arrive(0, false));
        world.run(Op::Pass(50));
        assert!(!world.clashes());
    }
    assert!(world.acted > 0);
}
