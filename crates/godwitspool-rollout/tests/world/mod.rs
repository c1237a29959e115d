//! A simulation of three hosts, a lossy network that duplicates and reorders messages, engines, and
//! one trainer.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_rollout::{
    Answer, Digest, GroupSpec, Message, Page, PeerMessage, Refusal, Request, Sample, SampleId,
    StepAction, StepEvent, StepNumber, StepRules, TrainerSteps,
};
use godwitspool_types::{HostName, Millis, WeightVersion};

const GROUPS: u32 = 2;
const SAMPLES: u32 = 2;
const HOSTS: usize = 3;

#[derive(Clone, Copy, Debug)]
pub enum Op {
    Deliver(usize),
    Duplicate(usize),
    Finish(usize),
    /// Restarts a host without its state. The flag says whether the others notice.
    Kill(usize, bool),
    Lose(usize),
    Publish,
    /// Gives the first host a ranking in which the second one is down.
    Rank(usize, usize),
    Tick,
    /// The trainer sends a request to a host. The flag says whether the answer is lost.
    Trainer(usize, bool),
}

#[derive(Debug, Default)]
pub struct Trainer {
    pub batches: BTreeMap<StepNumber, Vec<Page>>,
    pub digests: BTreeMap<StepNumber, BTreeSet<Digest>>,
    pub lost_steps: u32,
    last_request: u64,
    pages: Vec<Page>,
    phase: Phase,
    step: StepNumber,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Phase {
    Acknowledge,
    Fetch,
    #[default]
    Submit,
}

pub struct World {
    pub hosts: Vec<TrainerSteps>,
    pub trainer: Trainer,
    frozen: Vec<u64>,
    restarts: u64,
    lost_replies: BTreeSet<u64>,
    network: Vec<(HostName, HostName, PeerMessage)>,
    now: Millis,
    running: Vec<(usize, u64, u64, SampleId)>,
    version: u32,
}

fn name(host: usize) -> HostName {
    format!("h{host}").as_str().into()
}

fn rules() -> StepRules {
    StepRules {
        page_samples: 1,
        ..StepRules::default()
    }
}

impl World {
    pub fn new() -> Self {
        let hosts = (0..HOSTS).map(|host| TrainerSteps::new("t".into(), name(host), rules()));
        let mut world = Self {
            hosts: hosts.collect(),
            trainer: Trainer::default(),
            frozen: vec![0; HOSTS],
            restarts: 0,
            lost_replies: BTreeSet::new(),
            network: Vec::new(),
            now: Millis(0),
            running: Vec::new(),
            version: 0,
        };
        world.run(Op::Publish);
        world.heal();
        world
    }

    pub fn run(&mut self, op: Op) {
        match op {
            Op::Deliver(at) => self.deliver(at, true),
            Op::Duplicate(at) => self.deliver(at, false),
            Op::Finish(at) => self.finish(at),
            Op::Kill(host, is_noticed) => self.kill(host, is_noticed),
            Op::Lose(at) => {
                if !self.network.is_empty() {
                    let at = at % self.network.len();
                    self.network.swap_remove(at);
                }
            }
            Op::Publish => {
                self.version += 1;
                for host in 0..HOSTS {
                    let version = self.current();
                    self.send_event(host, StepEvent::Published(version));
                }
            }
            Op::Rank(host, down) => {
                let live = (0..HOSTS).filter(|other| *other == host || other != &down);
                let ranked = live.map(name).collect();
                self.send_event(host, StepEvent::Ranked(ranked));
            }
            Op::Tick => {
                self.now = self.now + Millis(600);
                (0..HOSTS).for_each(|host| self.send_event(host, StepEvent::Tick));
            }
            Op::Trainer(host, is_lost) => self.send_request(host, is_lost),
        }
    }

    /// Heals the network and runs the simulation until the trainer has `steps` batches.
    pub fn finish_all(&mut self, steps: usize) {
        self.heal();
        for round in 0..4_000 {
            if self.trainer.batches.len() >= steps {
                return;
            }
            self.deliver_all();
            while !self.running.is_empty() {
                self.run(Op::Finish(0));
            }
            self.run(Op::Tick);
            self.run(Op::Trainer(round % HOSTS, false));
        }
        panic!(
            "the trainer got {} of {steps} batches",
            self.trainer.batches.len()
        );
    }

    /// Gives a host a ranking in which it is the only live host.
    pub fn isolate(&mut self, host: usize) {
        self.send_event(host, StepEvent::Ranked(vec![name(host)]));
    }

    /// Delivers all messages in order, including those that result from the delivery.
    pub fn deliver_all(&mut self) {
        while !self.network.is_empty() {
            self.run(Op::Deliver(0));
        }
    }

    /// Drops all messages in flight to a host.
    pub fn lose_to(&mut self, host: usize) {
        self.network.retain(|(_, to, _)| *to != name(host));
    }

    /// Gives all hosts a ranking in which all hosts are live.
    pub fn heal(&mut self) {
        for host in 0..HOSTS {
            self.send_event(host, StepEvent::Ranked((0..HOSTS).map(name).collect()));
        }
    }

    fn current(&self) -> WeightVersion {
        format!("v{}", self.version).as_str().into()
    }

    fn kill(&mut self, host: usize, is_noticed: bool) {
        self.restarts += 1;
        self.hosts[host] = TrainerSteps::new("t".into(), name(host), rules());
        self.frozen[host] = 0;
        self.network
            .retain(|(from, to, _)| *from != name(host) && *to != name(host));
        self.running.retain(|(home, ..)| *home != host);
        let version = self.current();
        self.send_event(host, StepEvent::Published(version));
        if is_noticed {
            for other in (0..HOSTS).filter(|other| *other != host) {
                self.run(Op::Rank(other, host));
            }
            self.deliver_all();
        }
        self.heal();
    }

    fn deliver(&mut self, at: usize, is_removed: bool) {
        if self.network.is_empty() {
            return;
        }
        let at = at % self.network.len();
        let (from, to, message) = if is_removed {
            self.network.remove(at)
        } else {
            self.network[at].clone()
        };
        let host = (0..HOSTS)
            .find(|host| name(*host) == to)
            .expect("message to an unknown host");
        self.send_event(host, StepEvent::Peer { from, message });
    }

    fn finish(&mut self, at: usize) {
        if self.running.is_empty() {
            return;
        }
        let at = at % self.running.len();
        let (host, restart, generation, id) = self.running.swap_remove(at);
        let version = self.current();
        let mut sample = Sample::new(id);
        sample.push(
            &format!("{host}/{restart}/{generation}/{version}"),
            &version,
        );
        self.send_event(host, StepEvent::Finished { generation, sample });
    }

    fn send_request(&mut self, host: usize, is_lost: bool) {
        self.trainer.last_request += 1;
        let reply = self.trainer.last_request;
        if is_lost {
            self.lost_replies.insert(reply);
        }
        let request = self.trainer.request();
        self.send_event(host % HOSTS, StepEvent::Request { reply, request });
    }

    fn send_event(&mut self, host: usize, event: StepEvent) {
        let actions = self.hosts[host].decide(event, self.now);
        self.check_freshness(host);
        for action in actions {
            match action {
                StepAction::Answer { reply, answer } => {
                    if !self.lost_replies.contains(&reply) {
                        self.trainer.handle_answer(reply, answer);
                    }
                }
                // The stream is not cancelled, so its late sample must be dropped by generation.
                StepAction::Cancel { .. } | StepAction::Count(_) => {}
                StepAction::Send { to, message } => self.network.push((name(host), to, message)),
                StepAction::Start { generation, id, .. } => {
                    self.running.push((host, self.restarts, generation, id));
                }
            }
        }
    }

    fn check_freshness(&mut self, host: usize) {
        let frozen = self.hosts[host].counts().frozen;
        if std::mem::replace(&mut self.frozen[host], frozen) == frozen {
            return;
        }
        let step = self.hosts[host]
            .image()
            .progress()
            .find(|(step, _)| *step == self.trainer.step);
        let Some((step, _)) = step else {
            return;
        };
        for (group, index) in (0..GROUPS).flat_map(|group| (0..SAMPLES).map(move |i| (group, i))) {
            let trainer = "t".into();
            let id = SampleId {
                trainer,
                step,
                group,
                index,
            };
            let sample = self.hosts[host]
                .image()
                .sample(&id)
                .expect("frozen step lacks a sample");
            let version: u32 = sample.spans[0].version.as_str()[1..]
                .parse()
                .expect("version is not a number");
            let age = self.version - version;
            assert!(
                age <= rules().staleness_versions,
                "{id} is {age} versions old"
            );
        }
    }
}

impl Trainer {
    fn request(&self) -> Request {
        let step = self.step;
        match self.phase {
            Phase::Acknowledge => Request::Acknowledge {
                digest: self.pages[0].digest,
                step,
            },
            Phase::Fetch => Request::Fetch {
                digest: self.pages.first().map(|page| page.digest),
                page: self.pages.len() as u32,
                step,
            },
            Phase::Submit => Request::Submit {
                groups: (0..GROUPS).map(|group| spec(step, group)).collect(),
                step,
                total: GROUPS,
            },
        }
    }

    fn handle_answer(&mut self, reply: u64, answer: Answer) {
        if reply != self.last_request {
            return;
        }
        match answer {
            Answer::Acknowledged(_) => {
                let pages = std::mem::take(&mut self.pages);
                let before = self.batches.insert(self.step, pages);
                assert!(
                    before.is_none(),
                    "step {} was acknowledged twice",
                    self.step
                );
                self.step.0 += 1;
                self.phase = Phase::Submit;
            }
            Answer::Page(page) => {
                assert_eq!(page.page as usize, self.pages.len());
                self.digests
                    .entry(self.step)
                    .or_default()
                    .insert(page.digest);
                let is_complete = page.page + 1 == page.pages;
                self.pages.push(page);
                if is_complete {
                    self.phase = Phase::Acknowledge;
                }
            }
            Answer::Submitted(_) => self.phase = Phase::Fetch,
            Answer::Refused(Refusal::Moving(_)) | Answer::Waiting(_) => {}
            Answer::Refused(Refusal::UnknownStep) => {
                if self.phase == Phase::Acknowledge {
                    // The trainer already has the complete batch and continues with the next step.
                    self.handle_answer(reply, Answer::Acknowledged(Digest::default()));
                } else {
                    self.lost_steps += 1;
                    self.pages.clear();
                    self.phase = Phase::Submit;
                }
            }
            Answer::Refused(Refusal::WrongBatch(_)) => self.pages.clear(),
            answer => panic!("{answer:?} in {:?} of step {}", self.phase, self.step),
        }
    }

    /// Checks that every batch is complete, has a single digest and contains every sample once.
    pub fn check(&self) {
        for (step, pages) in &self.batches {
            assert!(pages.iter().all(|page| page.digest == pages[0].digest));
            let samples = pages.iter().flat_map(|page| &page.samples);
            let ids: Vec<_> = samples.clone().map(|sample| sample.id.clone()).collect();
            let expected: Vec<_> = (0..GROUPS)
                .flat_map(|group| (0..SAMPLES).map(move |index| (group, index)))
                .map(|(group, index)| SampleId {
                    trainer: "t".into(),
                    step: *step,
                    group,
                    index,
                })
                .collect();
            assert_eq!(ids, expected);
            for sample in samples {
                let version = sample.tokens.text().rsplit('/').next().unwrap_or_default();
                assert_eq!(version, sample.spans[0].version.as_str());
            }
        }
    }
}

fn spec(step: StepNumber, group: u32) -> GroupSpec {
    let message = Message {
        content: format!("step {step}, group {group}"),
        role: "user".to_owned(),
    };
    GroupSpec {
        group,
        max_tokens: 16,
        messages: [message].into(),
        samples: SAMPLES,
    }
}
