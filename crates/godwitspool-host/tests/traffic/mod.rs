//! Replays callers' requests in several data centres against targets that queue, in virtual time, with the
//! choices of a `Fleet` per host or one of the simpler rules it is compared with.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    fmt,
};

use godwitspool_host::{
    process::RunReport,
    version::{Fleet, Outcome, Payload, Target, TargetEntry},
};
use godwitspool_types::{Dc, Millis, ServiceName, TargetName};

/// Response time from which on a caller has given up.
const DEADLINE_MS: u64 = 2_000;
/// Time that a request takes in a slot, on average.
const WORK_MS: f64 = 40.0;
/// Number of requests that a target runs concurrently.
const SLOTS: u32 = 4;
/// Sizes of a request and of its response.
const BYTES: (usize, usize) = (4_000, 36_000);

/// How hosts choose a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Remote targets count as 1.5 times slower.
    Constant,
    /// Only targets of the own data centre.
    Never,
    /// The least loaded target by own requests and reports, wherever it is.
    LeastLoaded,
    /// The decision of `version/trip.rs`.
    Decided,
}

/// A load pattern.
pub struct Pattern {
    /// Number of hosts per data centre.
    pub hosts: usize,
    /// Number of targets with four slots in each data centre.
    pub targets: Vec<usize>,
    /// Requests per second in each data centre at a time in milliseconds.
    pub rates: fn(u64) -> Vec<f64>,
    /// Round trip between data centres.
    pub round_trip_ms: u64,
    /// Age of the reports of other hosts' requests as they arrive.
    pub report_ms: u64,
    /// Milliseconds of a caller's time that a megabyte is worth.
    pub price: f64,
    /// Length of the run.
    pub length_ms: u64,
}

impl Default for Pattern {
    fn default() -> Self {
        Self {
            hosts: 10,
            targets: vec![2; 3],
            rates: |_| vec![60.0; 3],
            round_trip_ms: 3,
            report_ms: 2_000,
            price: 0.0,
            length_ms: 16_000,
        }
    }
}

/// What callers saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Mean time of a response in the data centre where it is worst; callers that have given up count
    /// with their deadline.
    pub worst_ms: f64,
    /// Mean time of a response.
    pub mean_ms: f64,
    /// Time that 19 of 20 responses don't exceed.
    pub p95_ms: f64,
    /// Share of requests that were answered in time.
    pub served: f64,
    /// Share of requests that left their data centre.
    pub left: f64,
    /// Megabytes between data centres.
    pub megabytes: f64,
    /// Mean time of a response in each data centre.
    pub by_dc: Vec<f64>,
    /// Requests that left in each second.
    pub left_in_second: Vec<u32>,
}

impl fmt::Display for Seen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.0} | {:.0} | {:.0} | {:.3} | {:.2} | {:.1}",
            self.mean_ms, self.p95_ms, self.worst_ms, self.served, self.left, self.megabytes
        )
    }
}

/// A reproducible sequence of numbers in `0.0..1.0`.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// A request at a target.
#[derive(Clone, Copy)]
struct Run {
    host: usize,
    target: usize,
    began: u64,
    trip_ms: u64,
    work_ms: u64,
}

#[derive(Default)]
struct Queue {
    running: u32,
    waiting: VecDeque<usize>,
}

/// Running requests by target, of all hosts and of each, as they are reported later.
struct Snapshot {
    due: u64,
    total: Vec<u32>,
    own: Vec<Vec<u32>>,
}

struct World<'a> {
    pattern: &'a Pattern,
    service: ServiceName,
    entries: Vec<TargetEntry>,
    fleets: Vec<Fleet>,
    queues: Vec<Queue>,
    runs: Vec<Run>,
    arriving: BinaryHeap<Reverse<(u64, usize)>>,
    ending: BinaryHeap<Reverse<(u64, usize)>>,
    /// Running requests by host and target.
    own: Vec<Vec<u32>>,
    snapshots: VecDeque<Snapshot>,
    draws: Draws,
    /// Times of responses by the caller's data centre.
    times: Vec<Vec<u64>>,
    requests: u32,
    left: u32,
    left_in_second: Vec<u32>,
}

fn dc(number: usize) -> Dc {
    Dc::from(format!("dc{number}").as_str())
}

/// Replays a pattern under a policy.
pub fn replay(pattern: &Pattern, policy: Policy) -> Seen {
    let mut world = World::new(pattern);
    for now in 0..pattern.length_ms + DEADLINE_MS {
        world.report(now);
        let freed = [world.end(now), world.arrive(now)].concat();
        world.begin(&freed, now);
        if now < pattern.length_ms {
            world.send(policy, now);
        }
    }
    world.seen()
}

impl<'a> World<'a> {
    fn new(pattern: &'a Pattern) -> Self {
        let service = ServiceName::from("desk");
        let dcs = pattern.targets.len();
        let numbered = pattern.targets.iter().enumerate();
        let entries = numbered.flat_map(|(number, count)| {
            (0..*count).map(move |target| TargetEntry {
                name: TargetName::from(format!("t{number}-{target}").as_str()),
                service: ServiceName::from("desk"),
                address: ([127, 0, 0, 1], 80).into(),
                dc: dc(number),
                slots: SLOTS,
                draining: false,
                models: HashMap::new(),
                born: 1,
                cold_left: Millis::ZERO,
            })
        });
        let entries: Vec<TargetEntry> = entries.collect();
        let fleets = (0..dcs * pattern.hosts).map(|host| {
            let mut fleet = Fleet::default();
            fleet.trips.seed = host as u64 + 1;
            fleet.trips.price = pattern.price;
            for entry in &entries {
                fleet.apply(entry.clone());
            }
            for number in 0..dcs {
                let away = if number == host % dcs {
                    0
                } else {
                    pattern.round_trip_ms
                };
                let connect_ms = 0.2 + away as f64;
                fleet
                    .trips
                    .observe_connect(&dc(number), connect_ms, Millis(0));
            }
            fleet
        });
        Self {
            fleets: fleets.collect(),
            queues: entries.iter().map(|_| Queue::default()).collect(),
            own: vec![vec![0; entries.len()]; dcs * pattern.hosts],
            times: vec![Vec::new(); dcs],
            pattern,
            service,
            entries,
            runs: Vec::new(),
            arriving: BinaryHeap::new(),
            ending: BinaryHeap::new(),
            snapshots: VecDeque::new(),
            draws: Draws(0x9e37_79b9_7f4a_7c15),
            requests: 0,
            left: 0,
            left_in_second: vec![0; (pattern.length_ms / 1_000) as usize + 1],
        }
    }

    /// Takes a report of all running requests every 100 ms, and delivers those that are due.
    fn report(&mut self, now: u64) {
        if now.is_multiple_of(100) {
            let total = |target: usize| self.own.iter().map(|own| own[target]).sum();
            self.snapshots.push_back(Snapshot {
                due: now + self.pattern.report_ms,
                total: (0..self.entries.len()).map(total).collect(),
                own: self.own.clone(),
            });
        }
        let Some(snapshot) = self.snapshots.pop_front_if(|first| first.due <= now) else {
            return;
        };
        for (fleet, own) in self.fleets.iter_mut().zip(&snapshot.own) {
            let others = self.entries.iter().zip(snapshot.total.iter().zip(own));
            let running = others.map(|(entry, (total, own))| (entry.name.clone(), total - own));
            let report = RunReport {
                sender: 1,
                number: now + 1,
                running: running.collect(),
                ..RunReport::default()
            };
            fleet.apply_report(&report, Millis(now));
        }
    }

    /// Ends the runs that are complete, and returns their targets.
    fn end(&mut self, now: u64) -> Vec<usize> {
        let mut freed = Vec::new();
        while let Some(number) = pop_due(&mut self.ending, now) {
            let run = self.runs[number];
            let took = (now - run.began + run.trip_ms / 2).min(DEADLINE_MS);
            self.times[run.host % self.pattern.targets.len()].push(took);
            let name = &self.entries[run.target].name;
            let outcome = Outcome::Answered(took as f64);
            self.fleets[run.host].finish(name, outcome, Millis(now));
            self.own[run.host][run.target] -= 1;
            self.queues[run.target].running -= 1;
            freed.push(run.target);
        }
        freed
    }

    /// Queues the requests that reach their targets, and returns these.
    fn arrive(&mut self, now: u64) -> Vec<usize> {
        let mut reached = Vec::new();
        while let Some(number) = pop_due(&mut self.arriving, now) {
            let target = self.runs[number].target;
            self.queues[target].waiting.push_back(number);
            reached.push(target);
        }
        reached
    }

    /// Begins queued requests where slots are free. Those whose callers have given up take no time.
    fn begin(&mut self, targets: &[usize], now: u64) {
        for target in targets {
            let queue = &mut self.queues[*target];
            while queue.running < SLOTS {
                let Some(number) = queue.waiting.pop_front() else {
                    break;
                };
                queue.running += 1;
                let run = self.runs[number];
                let is_late = now - run.began >= DEADLINE_MS;
                let work_ms = if is_late { 0 } else { run.work_ms };
                self.ending.push(Reverse((now + work_ms, number)));
            }
        }
    }

    /// Sends the requests of this millisecond.
    fn send(&mut self, policy: Policy, now: u64) {
        let dcs = self.pattern.targets.len();
        for (number, rate) in (self.pattern.rates)(now).into_iter().enumerate() {
            let mut budget = rate / 1_000.0;
            while self.draws.next() < budget {
                budget -= 1.0;
                self.requests += 1;
                let host = (self.draws.next() * self.pattern.hosts as f64) as usize * dcs + number;
                let work_ms = (WORK_MS * (0.5 + self.draws.next())) as u64;
                let (tie, home) = (self.draws.next(), dc(number));
                let fleet = &mut self.fleets[host];
                let Some(name) = choose(fleet, policy, &self.service, &home, tie, now) else {
                    self.times[number].push(DEADLINE_MS);
                    continue;
                };
                fleet.start(&name);
                fleet.observe_exchange(&name, None, Some(BYTES), Millis(now));
                let Some(target) = self.entries.iter().position(|entry| entry.name == name) else {
                    continue;
                };
                let is_remote = self.entries[target].dc != home;
                self.left += u32::from(is_remote);
                self.left_in_second[now as usize / 1_000] += u32::from(is_remote);
                self.own[host][target] += 1;
                let trip_ms = if is_remote {
                    self.pattern.round_trip_ms
                } else {
                    0
                };
                self.arriving
                    .push(Reverse((now + trip_ms / 2 + 1, self.runs.len())));
                self.runs.push(Run {
                    host,
                    target,
                    began: now,
                    trip_ms,
                    work_ms,
                });
            }
        }
    }

    fn seen(self) -> Seen {
        let mean = |times: &[u64]| times.iter().sum::<u64>() as f64 / times.len().max(1) as f64;
        let by_dc: Vec<f64> = self.times.iter().map(|times| mean(times)).collect();
        let worst_ms = by_dc.iter().copied().fold(0.0, f64::max);
        let mut all: Vec<u64> = self.times.concat();
        // What is still queued wasn't answered in time.
        all.resize(self.requests as usize, DEADLINE_MS);
        all.sort_unstable();
        let served = all.iter().filter(|took| **took < DEADLINE_MS).count();
        Seen {
            by_dc,
            left_in_second: self.left_in_second,
            worst_ms,
            mean_ms: mean(&all),
            p95_ms: all[all.len() * 19 / 20] as f64,
            served: served as f64 / all.len() as f64,
            left: f64::from(self.left) / f64::from(self.requests),
            megabytes: f64::from(self.left) * (BYTES.0 + BYTES.1) as f64 / 1_000_000.0,
        }
    }
}

/// Takes the first event if it is due.
fn pop_due(events: &mut BinaryHeap<Reverse<(u64, usize)>>, now: u64) -> Option<usize> {
    let is_due = events.peek().is_some_and(|Reverse((at, _))| *at <= now);
    is_due
        .then(|| events.pop())?
        .map(|Reverse((_, number))| number)
}

fn choose(
    fleet: &mut Fleet,
    policy: Policy,
    service: &ServiceName,
    home: &Dc,
    tie: f64,
    now: u64,
) -> Option<TargetName> {
    let now = Millis(now);
    if policy == Policy::Decided {
        fleet.update_spill(service, home, now);
        let payload = Payload {
            bytes_out: BYTES.0 as f64,
            ..fleet.trips.mean_payload(service)
        };
        let choice = fleet.choose_for(service, home, &[], &payload, now);
        return choice.map(|choice| choice.target.entry.name.clone());
    }
    let mut usable = fleet.usable(service);
    if policy == Policy::Never {
        usable.retain(|target| target.entry.dc == *home);
    }
    // Hosts start at different targets, so that equal ones aren't all chosen by their name.
    let start = (tie * usable.len() as f64) as usize;
    usable.rotate_left(start);
    let best = usable.into_iter().min_by(|a, b| {
        let rank = |target: &Target| {
            let slots = f64::from(target.entry.slots);
            let load = f64::from(target.running) / slots;
            let distance = if target.entry.dc == *home { 1.0 } else { 1.5 };
            match policy {
                Policy::LeastLoaded => f64::from(target.total_running(now)) / slots,
                _ => target.latency_ms * (1.0 + load) * distance,
            }
        };
        rank(a).total_cmp(&rank(b))
    });
    best.map(|target| target.entry.name.clone())
}
