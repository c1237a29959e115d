//! A simulated fleet: engines with continuous batching, and hosts that choose among them.

use std::collections::{BTreeMap, VecDeque};

use godwitspool_request::{
    Admission, AdmissionAction, AdmissionEvent, Choice, LoadReport, Need, TargetFacts, TargetId,
    Targets, Ticket, TrainingShare,
};
use godwitspool_types::{Dc, Millis, RequestId, TargetName, Workspace};
use rand::{Rng, rngs::StdRng};

/// Duration of an engine step without requests.
const ENGINE_STEP_MS: f64 = 8.0;
/// Time that each running request adds to an engine step.
const MS_PER_REQUEST: f64 = 0.2;
const SERVICE: &str = "party/chat";

/// How hosts choose among engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Policy {
    /// Admission, choice of target and training shares of this project.
    Godwitspool,
    /// The engine with the lowest reported load.
    LeastReported,
    /// A random engine.
    Random,
    /// Each engine in turn, separately on each host.
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

/// An interactive request or a training stream.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// Arrival time in milliseconds.
    pub(super) arrived: u64,
    pub(super) host: usize,
    /// Time of the assignment to an engine, in milliseconds.
    pub(super) started: u64,
    /// Remaining tokens.
    pub(super) tokens: f64,
    /// Index of the workspace; `None` for training.
    pub(super) workspace: Option<usize>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    pub(super) running: Vec<Job>,
    /// Loads that the hosts have not received yet, oldest first.
    delayed_loads: VecDeque<u32>,
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
    next_engine: usize,
    targets: Targets,
    /// Requests that wait for admission.
    pending: BTreeMap<RequestId, Job>,
}

/// Size of a fleet and delay of its load reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetParams {
    pub(super) engines: usize,
    pub(super) hosts: usize,
    /// Delay between a load and its report to the hosts.
    pub(super) lag_ms: u64,
    pub(super) slots: u32,
}

/// A simulated fleet, which advances in steps of one millisecond.
pub(super) struct Fleet {
    pub(super) engines: Vec<Engine>,
    hosts: Vec<Host>,
    /// Remaining tokens of training streams that were cut and are to be resumed.
    cut_tokens: Vec<f64>,
    ids: Vec<TargetId>,
    pub(super) now: u64,
    policy: Policy,
    /// Newest load of each engine that the hosts have received.
    reported_loads: Vec<u32>,
    last_id: u128,
    params: FleetParams,
    shares: Vec<TrainingShare>,
}

/// A job that ended. `done` is true if it was completed, and false if it was refused without
/// running or is past its deadline when the run ends.
pub(super) struct EndedJob {
    pub(super) done: bool,
    pub(super) job: Job,
}

impl Fleet {
    pub(super) fn new(params: FleetParams, policy: Policy) -> Self {
        let mut ids = Vec::new();
        let hosts = (0..params.hosts).map(|_| {
            let mut targets = Targets::new(Dc::from("north"));
            targets.set_hosts(params.hosts as u32);
            ids = (0..params.engines)
                .map(|index| targets.put(target_facts(index, params.slots)))
                .collect();
            Host {
                admission: Admission::default(),
                next_engine: 0,
                targets,
                pending: BTreeMap::new(),
            }
        });
        let hosts = hosts.collect();
        Self {
            engines: vec![Engine::default(); params.engines],
            hosts,
            cut_tokens: Vec::new(),
            ids,
            now: 0,
            policy,
            reported_loads: vec![0; params.engines],
            last_id: 0,
            params,
            shares: vec![TrainingShare::new(params.slots); params.engines],
        }
    }

    /// Adds an interactive request on its host. Returns the jobs that ended through it.
    pub(super) fn arrive(&mut self, job: Job, deadline_ms: u64, rng: &mut StdRng) -> Vec<EndedJob> {
        let host = job.host;
        if self.policy != Policy::Godwitspool {
            let engine = self.choose_engine(host, rng);
            self.engines[engine].waiting.push_back(job);
            return Vec::new();
        }
        self.last_id += 1;
        let request = RequestId(self.last_id);
        let workspace = job.workspace.unwrap_or_default();
        self.hosts[host].pending.insert(request, job);
        let ticket = Ticket {
            deadline: Millis(self.now + deadline_ms),
            rank: 0,
            request,
            share: 1,
            workspace: Workspace::from(format!("w{workspace}")),
        };
        self.run_admission(host, AdmissionEvent::Arrive(ticket))
    }

    /// Starts training streams until `wanted` streams run or the policy allows no more.
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
                _ => self.choose_engine(rng.random_range(0..self.params.hosts), rng),
            };
            let host = engine % self.params.hosts;
            if self.policy == Policy::Godwitspool {
                self.hosts[host].targets.begin(self.ids[engine]);
            }
            self.engines[engine].waiting.push_back(Job {
                arrived: self.now,
                host,
                started: self.now,
                tokens: self.cut_tokens.pop().unwrap_or(tokens),
                workspace: None,
            });
        }
    }

    /// Advances by one millisecond and returns the jobs that ended.
    pub(super) fn step(&mut self) -> Vec<EndedJob> {
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
                    ended.extend(self.run_admission(host, AdmissionEvent::Tick));
                }
            }
        }
        ended
    }

    fn run_engine(&mut self, index: usize) -> Vec<Job> {
        let engine = &mut self.engines[index];
        while engine.running.len() < self.params.slots as usize
            && let Some(job) = engine.waiting.pop_front()
        {
            engine.running.push(job);
        }
        let tokens_per_ms = 1.0 / (ENGINE_STEP_MS + MS_PER_REQUEST * engine.running.len() as f64);
        for job in &mut engine.running {
            job.tokens -= tokens_per_ms;
        }
        engine
            .running
            .extract_if(.., |job| job.tokens <= 0.0)
            .collect()
    }

    fn finish(&mut self, engine: usize, job: Job) -> Vec<EndedJob> {
        let mut ended = Vec::new();
        if self.policy == Policy::Godwitspool {
            self.hosts[job.host].targets.end(self.ids[engine]);
            if let Some(workspace) = job.workspace {
                let done = AdmissionEvent::Done {
                    held: Some(Millis(self.now - job.started)),
                    workspace: Workspace::from(format!("w{workspace}")),
                };
                ended = self.run_admission(job.host, done);
            }
        }
        ended.push(EndedJob { done: true, job });
        ended
    }

    /// Reports the loads to the hosts with the delay of `lag_ms`.
    fn report(&mut self) {
        let delay_in_reports = (self.params.lag_ms / 100) as usize;
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let (busy, interactive) = (engine.busy(), engine.busy() - engine.training());
            engine.delayed_loads.push_back(busy);
            if engine.delayed_loads.len() <= delay_in_reports {
                continue;
            }
            self.reported_loads[index] = engine.delayed_loads.pop_front().unwrap_or(0);
            self.shares[index].observe(interactive, Millis(self.now));
            let report = LoadReport {
                busy: self.reported_loads[index],
                ..LoadReport::default()
            };
            let name = TargetName::from(format!("t{index}"));
            for host in &mut self.hosts {
                host.targets.report(&name, &report);
            }
        }
    }

    /// Cuts the training streams above the share of each engine, waiting ones first.
    fn cut_training(&mut self) {
        for index in 0..self.engines.len() {
            let cuts = self.shares[index].cuts(self.engines[index].training());
            for _ in 0..cuts {
                let engine = &mut self.engines[index];
                let training = |job: &Job| job.workspace.is_none();
                let cut = if let Some(job_index) = engine.waiting.iter().position(training) {
                    engine.waiting.remove(job_index)
                } else if let Some(job_index) = engine.running.iter().rposition(training) {
                    Some(engine.running.remove(job_index))
                } else {
                    None
                };
                if let Some(job) = cut {
                    self.hosts[job.host].targets.end(self.ids[index]);
                    self.cut_tokens.push(job.tokens);
                }
            }
        }
    }

    /// Passes an event to the admission of a host, followed by a tick after each started request.
    fn run_admission(&mut self, host: usize, event: AdmissionEvent) -> Vec<EndedJob> {
        let mut ended = Vec::new();
        let mut next = Some(event);
        while let Some(event) = next.take() {
            self.last_id += 1;
            let need = Need {
                fingerprint: godwitspool_request::stable_hash(&self.last_id.to_le_bytes()),
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
                        if let Some(job) = state.pending.remove(&id) {
                            ended.push(EndedJob { done: false, job });
                        }
                    }
                    AdmissionAction::Start(id) => {
                        next = Some(AdmissionEvent::Tick);
                        let (Choice::Target(target), Some(mut job)) =
                            (room, state.pending.remove(&id))
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

    fn choose_engine(&mut self, host: usize, rng: &mut StdRng) -> usize {
        let count = self.engines.len();
        match self.policy {
            Policy::LeastReported => (0..count)
                .min_by_key(|&index| self.reported_loads[index])
                .unwrap_or(0),
            Policy::RoundRobin => {
                self.hosts[host].next_engine += 1;
                (self.hosts[host].next_engine + host) % count
            }
            Policy::Godwitspool | Policy::Random => rng.random_range(0..count),
        }
    }
}

fn target_facts(index: usize, slots: u32) -> TargetFacts {
    TargetFacts {
        dc: Dc::from("north"),
        service: SERVICE.into(),
        slots,
        accepts_work: true,
        target: TargetName::from(format!("t{index}")),
        ..TargetFacts::default()
    }
}

/// Draws the Poisson-distributed number of arrivals in one millisecond.
pub(super) fn arrivals(rate_per_s: f64, rng: &mut StdRng) -> u32 {
    let limit = (-rate_per_s / 1_000.0).exp();
    let (mut count, mut product) = (0, rng.random::<f64>());
    while product > limit {
        count += 1;
        product *= rng.random::<f64>();
    }
    count
}
