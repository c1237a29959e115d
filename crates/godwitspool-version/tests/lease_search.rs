//! Searches the states of a lease with three processes exhaustively.
//!
//! The search covers all orders of reads, appends (lost, late and duplicated), pauses and ticks of
//! clocks that run at different rates, up to a bound. An outage is a schedule in which no append is
//! delivered, and a pause is one in which a process takes no step.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

use godwitspool_types::{Incarnation, Millis, Offset};
use godwitspool_version::{
    HostLife, Lease, LeaseAction, LeaseCandidate, LeaseEvent, LeaseKind, LeaseRecord, LeaseRules,
    RecordId,
};
use rstest::rstest;

const MAX_IN_FLIGHT: usize = 2;
const MAX_STATES: usize = 3_000_000;
const PROCESSES: usize = 3;
/// Clock units by which each process's clock advances in one tick: 10% slow, exact, 10% fast.
const CLOCK_RATES: [u64; PROCESSES] = [9, 10, 11];
const SAFE: LeaseRules = LeaseRules {
    clock_margin: Millis(5),
    order_timeout: Millis(10),
    renewal_interval: Millis(12),
    duration: Millis(20),
};

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    /// For each process, the true time in ticks until which an order that it may have sent can take
    /// effect.
    busy_until: [u64; PROCESSES],
    candidates: [LeaseCandidate; PROCESSES],
    in_flight: Vec<(RecordId, LeaseRecord)>,
    lease: Lease,
    /// Records that take effect. Others don't change the state of any reader, so they are left out.
    log: Vec<(RecordId, LeaseRecord)>,
    read: [usize; PROCESSES],
    ticks: u64,
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
            busy_until: [0; PROCESSES],
            candidates: std::array::from_fn(candidate),
            in_flight: Vec::new(),
            lease: Lease::default(),
            log: Vec::new(),
            read: [0; PROCESSES],
            ticks: 0,
        }
    }

    fn clock(&self, process: usize) -> Millis {
        Millis(self.ticks * CLOCK_RATES[process])
    }

    /// Lets a process act if it may, and returns whether an order of another process can still take
    /// effect.
    fn act(&mut self, process: usize, order_ticks: u64) -> bool {
        if self.candidates[process]
            .may_act(self.clock(process))
            .is_none()
        {
            return false;
        }
        let others = (0..PROCESSES).filter(|other| *other != process);
        let clash = others
            .into_iter()
            .any(|other| self.busy_until[other] >= self.ticks);
        self.busy_until[process] = self.ticks + order_ticks;
        clash
    }

    fn successors(&self, max_records: usize, max_ticks: u64) -> Vec<Self> {
        let mut next = Vec::new();
        if self.ticks < max_ticks {
            let mut world = self.clone();
            world.ticks += 1;
            for busy in &mut world.busy_until {
                if *busy < world.ticks {
                    *busy = 0;
                }
            }
            next.push(world);
        }
        for process in 0..PROCESSES {
            next.extend(self.step(process));
            next.extend(self.read(process));
        }
        for index in 0..self.in_flight.len() {
            next.extend(self.deliver(index, max_records));
        }
        next
    }

    fn step(&self, process: usize) -> Option<Self> {
        let mut world = self.clone();
        let now = world.clock(process);
        let actions = world.candidates[process].decide(LeaseEvent::Tick { ready: true }, now);
        for action in actions {
            if let LeaseAction::Append { id, record } = action {
                world.in_flight.push((id, record));
            }
        }
        let sent = world.in_flight.len() > self.in_flight.len();
        (sent && world.in_flight.len() <= MAX_IN_FLIGHT && world.all_can_take_effect())
            .then_some(world)
    }

    /// Returns whether each append in flight could still take effect. A world in which one can't is
    /// equivalent to the world in which it was never sent, which is searched as well.
    fn all_can_take_effect(&self) -> bool {
        let end = Offset(self.log.len() as u64);
        self.in_flight
            .iter()
            .all(|(_, record)| self.lease.clone().apply(end, record))
    }

    fn read(&self, process: usize) -> Option<Self> {
        let at = self.read[process];
        let (id, record) = self.log.get(at)?;
        let mut world = self.clone();
        let now = world.clock(process);
        let offset = Offset(at as u64);
        let event = LeaseEvent::Read {
            id: *id,
            offset,
            record,
        };
        world.candidates[process].decide(event, now);
        world.read[process] += 1;
        Some(world)
    }

    /// Delivers an append, and returns the worlds without and with a copy that stays in flight. The
    /// loss of an append needs no separate step, because the other processes can't distinguish it
    /// from an append that was never sent.
    fn deliver(&self, index: usize, max_records: usize) -> impl Iterator<Item = Self> {
        let mut again = self.clone();
        let (id, record) = again.in_flight[index].clone();
        if again.log.len() < max_records {
            again.lease.apply(Offset(again.log.len() as u64), &record);
            again.log.push((id, record));
        }
        let mut once = again.clone();
        once.in_flight.remove(index);
        let delivered = again.log.len() > self.log.len();
        [once, again]
            .into_iter()
            .filter(move |world| delivered && world.all_can_take_effect())
    }
}

#[derive(Debug)]
struct SearchResult {
    clash: bool,
    acted: HashSet<usize>,
    states: usize,
}

/// Searches all reachable states up to the bounds. An order can take effect until `order_ticks`
/// after the last check.
fn search(rules: LeaseRules, max_records: usize, max_ticks: u64, order_ticks: u64) -> SearchResult {
    let mut found = SearchResult {
        clash: false,
        acted: HashSet::new(),
        states: 0,
    };
    let mut seen = HashSet::new();
    let mut open = vec![World::new(rules)];
    while let Some(mut world) = open.pop() {
        for process in 0..PROCESSES {
            if world.candidates[process]
                .may_act(world.clock(process))
                .is_some()
            {
                found.acted.insert(process);
            }
            found.clash |= world.act(process, order_ticks);
        }
        if found.clash || seen.len() >= MAX_STATES {
            break;
        }
        for next in world.successors(max_records, max_ticks) {
            let mut hasher = DefaultHasher::new();
            next.hash(&mut hasher);
            if seen.insert(hasher.finish()) {
                open.push(next);
            }
        }
    }
    found.states = seen.len();
    found
}

#[rstest]
#[case::handover(2, 5)]
#[case::renewal_then_handover(3, 5)]
fn no_two_processes_act_at_once(#[case] max_records: usize, #[case] max_ticks: u64) {
    let found = search(SAFE, max_records, max_ticks, 1);
    assert!(!found.clash, "two processes acted at the same time");
    assert!(found.states < MAX_STATES, "the search was cut off");
    assert_eq!(found.acted.len(), PROCESSES, "a process never acted");
}

#[rstest]
#[case::no_margin_for_clock_rates(LeaseRules { clock_margin: Millis(0), ..SAFE }, 1)]
#[case::orders_not_waited_out(LeaseRules { order_timeout: Millis(0), ..SAFE }, 2)]
#[case::neither(LeaseRules { clock_margin: Millis(0), order_timeout: Millis(0), ..SAFE }, 1)]
fn search_finds_unsafe_rules(#[case] rules: LeaseRules, #[case] order_ticks: u64) {
    assert!(search(rules, 3, 6, order_ticks).clash);
}
