//! A simulated fleet: engines that batch continuously and hosts that choose among them.

use std::collections::{BTreeMap, VecDeque};

use godwitspool_request::{
    Admission, AdmissionAction, AdmissionEvent, Choice, LoadReport, Need, TargetFacts, TargetId,
    Targets, Ticket, TrainingShare,
};
use godwitspool_types::{Dc, Millis, RequestId, TargetName, Workspace};
use rand::{Rng, rngs::StdRng};

/// Time of a step of an engine with nothing to do, in milliseconds.
const STEP_MS: f64 = 8.0;
/// Time that each running request adds to a step, in milliseconds.
const REQUEST_MS: f64 = 0.2;
const SERVICE: &str = "party/chat";

/// How hosts choose among engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Policy {
    /// This project's.
    Godwitspool,
    /// The engine with the least reported load.
    LeastReported,
    /// Any engine.
    Random,
    /// Each in turn.
    RoundRobin,
}

impl Policy {
    pub(super) const ALL: [Self; 4] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastReported,
        Self::Godwitspool,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Godwitspool => "godwitspool",
            Self::LeastReported => "least-reported",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
        }
    }
}

/// Work on an engine.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) arrived: u64,
    pub(super) host: usize,
    pub(super) started: u64,
    pub(super) tokens: f64,
    /// Workspace; none for training.
    pub(super) workspace: Option<usize>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    pub(super) running: Vec<Job>,
    reports: VecDeque<u32>,
    pub(super) waiting: VecDeque<Job>,
}

impl Engine {
    pub(super) fn busy(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    pub(super) fn training(&self) -> u32 {
        let jobs = self.running.iter().chain(&self.waiting);
        jobs.filter(|job| job.workspace.is_none()).count() as u32
    }
}

struct Host {
    admission: Admission,
    next: usize,
    targets: Targets,
    tickets: BTreeMap<RequestId, Job>,
}

/// Size and load of a fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shape {
    pub(super) engines: usize,
    pub(super) hosts: usize,
    /// Age of load reports, in milliseconds.
    pub(super) lag_ms: u64,
    pub(super) slots: u32,
}

/// A simulated fleet, in steps of a millisecond.
pub(super) struct Fleet {
    pub(super) engines: Vec<Engine>,
    hosts: Vec<Host>,
    /// Tokens left of training streams that were cut.
    cut: Vec<f64>,
    ids: Vec<TargetId>,
    pub(super) now: u64,
    policy: Policy,
    reported: Vec<u32>,
    serial: u128,
    shape: Shape,
    shares: Vec<TrainingShare>,
}

/// A job that ended: done, or refused and not run.
pub(super) struct Ended {
    pub(super) done: bool,
    pub(super) job: Job,
}

impl Fleet {
    pub(super) fn new(shape: Shape, policy: Policy) -> Self {
        let mut ids = Vec::new();
        let hosts = (0..shape.hosts).map(|_| {
            let mut targets = Targets::new(Dc::from("north"));
            targets.set_hosts(shape.hosts as u32);
            ids = (0..shape.engines)
                .map(|index| targets.put(facts(index, shape.slots)))
                .collect();
            Host {
                admission: Admission::default(),
                next: 0,
                targets,
                tickets: BTreeMap::new(),
            }
        });
        let hosts = hosts.collect();
        Self {
            engines: vec![Engine::default(); shape.engines],
            hosts,
            cut: Vec::new(),
            ids,
            now: 0,
            policy,
            reported: vec![0; shape.engines],
            serial: 0,
            shape,
            shares: vec![TrainingShare::new(shape.slots); shape.engines],
        }
    }

    /// Brings an interactive request to a host.
    pub(super) fn arrive(&mut self, job: Job, deadline_ms: u64, rng: &mut StdRng) -> Vec<Ended> {
        let host = job.host;
        if self.policy != Policy::Godwitspool {
            let engine = self.pick(host, rng);
            self.engines[engine].waiting.push_back(job);
            return Vec::new();
        }
        self.serial += 1;
        let request = RequestId(self.serial);
        let workspace = job.workspace.unwrap_or_default();
        self.hosts[host].tickets.insert(request, job);
        let ticket = Ticket {
            deadline: Millis(self.now + deadline_ms),
            request,
            share: 1,
            workspace: Workspace::from(format!("w{workspace}")),
        };
        self.pump(host, AdmissionEvent::Arrive(ticket))
    }

    /// Gives training as much as the policy lets it have; `wanted` is what it would like to run.
    pub(super) fn train(&mut self, wanted: u32, tokens: f64, rng: &mut StdRng) {
        let running: u32 = self.engines.iter().map(Engine::training).sum();
        for _ in running..wanted {
            let engine = match self.policy {
                Policy::Godwitspool => {
                    let room = |index: &usize| {
                        self.shares[*index].room(self.engines[*index].training()) > 0
                    };
                    let Some(index) = (0..self.engines.len()).find(room) else {
                        return;
                    };
                    index
                }
                _ => self.pick(rng.random_range(0..self.shape.hosts), rng),
            };
            let host = engine % self.shape.hosts;
            if self.policy == Policy::Godwitspool {
                self.hosts[host].targets.begin(self.ids[engine]);
            }
            self.engines[engine].waiting.push_back(Job {
                arrived: self.now,
                host,
                started: self.now,
                tokens: self.cut.pop().unwrap_or(tokens),
                workspace: None,
            });
        }
    }

    /// Lets a millisecond go by.
    pub(super) fn step(&mut self) -> Vec<Ended> {
        self.now += 1;
        let mut ended = Vec::new();
        for index in 0..self.engines.len() {
            let done = self.run_engine(index);
            for job in done {
                ended.extend(self.finish(index, job));
            }
        }
        if self.now.is_multiple_of(100) {
            self.report();
        }
        if self.policy == Policy::Godwitspool {
            self.cut_training();
            if self.now.is_multiple_of(20) {
                for host in 0..self.hosts.len() {
                    ended.extend(self.pump(host, AdmissionEvent::Tick));
                }
            }
        }
        ended
    }

    // -----------------------------------------------------------------------

    fn run_engine(&mut self, index: usize) -> Vec<Job> {
        let engine = &mut self.engines[index];
        while engine.running.len() < self.shape.slots as usize
            && let Some(job) = engine.waiting.pop_front()
        {
            engine.running.push(job);
        }
        let pace = 1.0 / (STEP_MS + REQUEST_MS * engine.running.len() as f64);
        for job in &mut engine.running {
            job.tokens -= pace;
        }
        engine
            .running
            .extract_if(.., |job| job.tokens <= 0.0)
            .collect()
    }

    fn finish(&mut self, engine: usize, job: Job) -> Vec<Ended> {
        let mut ended = Vec::new();
        if self.policy == Policy::Godwitspool {
            self.hosts[job.host].targets.end(self.ids[engine]);
            if let Some(workspace) = job.workspace {
                let done = AdmissionEvent::Done {
                    held: Millis(self.now - job.started),
                    workspace: Workspace::from(format!("w{workspace}")),
                };
                ended = self.pump(job.host, done);
            }
        }
        ended.push(Ended { done: true, job });
        ended
    }

    /// Publishes loads, each as old as the lag.
    fn report(&mut self) {
        let kept = (self.shape.lag_ms / 100) as usize;
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let (busy, interactive) = (engine.busy(), engine.busy() - engine.training());
            engine.reports.push_back(busy);
            if engine.reports.len() <= kept {
                continue;
            }
            self.reported[index] = engine.reports.pop_front().unwrap_or(0);
            self.shares[index].observe(interactive, Millis(self.now));
            let report = LoadReport {
                busy: self.reported[index],
                ..LoadReport::default()
            };
            let name = TargetName::from(format!("t{index}"));
            for host in &mut self.hosts {
                host.targets.report(&name, &report);
            }
        }
    }

    fn cut_training(&mut self) {
        for index in 0..self.engines.len() {
            let cuts = self.shares[index].cuts(self.engines[index].training());
            for _ in 0..cuts {
                let engine = &mut self.engines[index];
                let training = |job: &Job| job.workspace.is_none();
                let cut = if let Some(place) = engine.waiting.iter().position(training) {
                    engine.waiting.remove(place)
                } else if let Some(place) = engine.running.iter().rposition(training) {
                    Some(engine.running.remove(place))
                } else {
                    None
                };
                if let Some(job) = cut {
                    self.hosts[job.host].targets.end(self.ids[index]);
                    self.cut.push(job.tokens);
                }
            }
        }
    }

    fn pump(&mut self, host: usize, event: AdmissionEvent) -> Vec<Ended> {
        let mut ended = Vec::new();
        let mut next = Some(event);
        while let Some(event) = next.take() {
            self.serial += 1;
            let need = Need {
                fingerprint: godwitspool_request::stable_hash(&self.serial.to_le_bytes()),
                service: SERVICE.into(),
                ..Need::default()
            };
            let now = Millis(self.now);
            let state = &mut self.hosts[host];
            let room = state.targets.choose(&need, now);
            let free = u32::from(matches!(room, Choice::Target(_)));
            for action in state.admission.decide(event, free, now) {
                match action {
                    AdmissionAction::Refuse(id, _) => {
                        if let Some(job) = state.tickets.remove(&id) {
                            ended.push(Ended { done: false, job });
                        }
                    }
                    AdmissionAction::Start(id) => {
                        next = Some(AdmissionEvent::Tick);
                        let (Choice::Target(target), Some(mut job)) =
                            (room, state.tickets.remove(&id))
                        else {
                            continue;
                        };
                        state.targets.begin(target);
                        job.started = self.now;
                        let index = self.ids.iter().position(|id| *id == target);
                        self.engines[index.unwrap_or(0)].waiting.push_back(job);
                    }
                }
            }
        }
        ended
    }

    fn pick(&mut self, host: usize, rng: &mut StdRng) -> usize {
        let count = self.engines.len();
        match self.policy {
            Policy::LeastReported => (0..count)
                .min_by_key(|&index| self.reported[index])
                .unwrap_or(0),
            Policy::RoundRobin => {
                self.hosts[host].next += 1;
                (self.hosts[host].next + host) % count
            }
            Policy::Godwitspool | Policy::Random => rng.random_range(0..count),
        }
    }
}

fn facts(index: usize, slots: u32) -> TargetFacts {
    TargetFacts {
        dc: Dc::from("north"),
        service: SERVICE.into(),
        slots,
        accepts_work: true,
        target: TargetName::from(format!("t{index}")),
        ..TargetFacts::default()
    }
}

/// Draws the number of arrivals in a millisecond.
pub(super) fn arrivals(rate_per_s: f64, rng: &mut StdRng) -> u32 {
    let limit = (-rate_per_s / 1_000.0).exp();
    let (mut count, mut product) = (0, rng.random::<f64>());
    while product > limit {
        count += 1;
        product *= rng.random::<f64>();
    }
    count
}
