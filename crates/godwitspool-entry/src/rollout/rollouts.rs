//! Every trainer's steps on this host, and the carrying out of what they decide.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::Ordering,
        mpsc::{self, Sender},
    },
    time::Duration,
};

use godwitspool_connection::messages::{
    EntryAnswer, EntryRequest, Portion, RolloutAnswer, RolloutRequest, TargetLoad, View,
};
use godwitspool_process::Clock;
use godwitspool_request::{Caller, TrainingShare};
use godwitspool_rollout::{
    AcknowledgedBatch, Answer, Refusal, Request, Sample, SampleId, Scoring, Shares, StepAction,
    StepEvent, StepNumber, StepRules, StragglerRules, Stragglers, TrainerSteps,
};
use godwitspool_types::{
    HostName, Millis, RequestId, ServiceName, TargetName, TrainerName, WeightVersion,
};
use godwitspool_version::TrainerRules;

use super::{
    journal::Journal,
    outbox::Outbox,
    portions::Portions,
    ranking,
    running::{Job, Running},
};
use crate::process::{billing::Got, demand::Loads, shared::Shared};

/// Time without a token after which a sample is hedged.
const SILENT_MS: Millis = Millis(1_500);
/// Time in which a home answers, its replica's confirmation included.
const ANSWER_BOUND: Duration = Duration::from_millis(2_500);

/// All trainers' steps on this host.
#[derive(Debug)]
pub(crate) struct Rollouts {
    changed: Condvar,
    pub(super) clock: Clock,
    outbox: Outbox,
    state: Mutex<State>,
}

/// What the parts of the rollouts share, under one lock that is never held over I/O.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) journal: Journal,
    pub(super) portions: Portions,
    replies: HashMap<u64, Sender<Answer>>,
    reply: u64,
    pub(super) attempt: u64,
    pub(super) running: HashMap<u64, Arc<Running>>,
    pub(super) scoring: Scoring,
    pub(super) unscored: HashMap<String, (u64, Sample)>,
    pub(super) shares: Shares,
    pub(super) targets: HashMap<TargetName, TargetState>,
    pub(super) trainers: BTreeMap<TrainerName, Trainer>,
}

/// A trainer on this host.
#[derive(Debug)]
pub(super) struct Trainer {
    pub(super) queue: VecDeque<Job>,
    ranked: Vec<HostName>,
    version: Option<WeightVersion>,
    pub(super) rules: TrainerRules,
    /// Streams that run.
    pub(super) runs: u32,
    pub(super) since: Millis,
    pub(super) steps: TrainerSteps,
    pub(super) stragglers: Stragglers,
}

/// A target that makes samples.
#[derive(Debug)]
pub(super) struct TargetState {
    /// Milliseconds that a token takes on it, smoothed.
    pub(super) pace_ms: f64,
    pub(super) service: ServiceName,
    pub(super) share: TrainingShare,
    pub(super) training: u32,
}

impl Rollouts {
    pub(crate) fn new() -> Self {
        Self {
            changed: Condvar::new(),
            clock: Clock::start(),
            outbox: Outbox::default(),
            state: Mutex::default(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a step's state changes, at most for `bound`.
    pub(super) fn wait(&self, bound: Duration) {
        drop(self.changed.wait_timeout(self.lock(), bound));
    }

    // -----------------------------------------------------------------------------------------------
    // Requests

    /// Asks the home of a trainer's steps, wherever it is.
    pub(crate) fn ask(
        &self,
        shared: &Arc<Shared>,
        trainer: &TrainerName,
        request: Request,
    ) -> Answer {
        let answer = self.ask_here(shared, trainer, request.clone());
        let Answer::Refused(Refusal::Moving(Some(home))) = &answer else {
            return answer;
        };
        let message = RolloutRequest::Ask {
            trainer: trainer.clone(),
            request,
        };
        ask_there(shared, home, message).unwrap_or(answer)
    }

    /// Asks this host's state; answered once the replica holds what the answer rests on.
    pub(crate) fn ask_here(
        &self,
        shared: &Arc<Shared>,
        trainer: &TrainerName,
        request: Request,
    ) -> Answer {
        let (sender, receiver) = mpsc::channel();
        let reply = {
            let mut state = self.lock();
            state.reply += 1;
            let reply = state.reply;
            state.replies.insert(reply, sender);
            reply
        };
        self.tell(shared, trainer, StepEvent::Request { reply, request });
        let answer = receiver.recv_timeout(ANSWER_BOUND);
        self.lock().replies.remove(&reply);
        answer.unwrap_or(Answer::Refused(Refusal::Moving(None)))
    }

    // -----------------------------------------------------------------------------------------------
    // Events

    /// Lets a trainer's steps decide on an event, and carries out what they decide.
    pub(crate) fn tell(&self, shared: &Arc<Shared>, trainer: &TrainerName, event: StepEvent) {
        let view = shared.view();
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(held) = state.trainer(shared, &view, trainer, now) else {
            return;
        };
        let mut actions = held.introduce(&view, trainer, &shared.settings.host, now);
        actions.extend(held.steps.decide(event, now));
        held.forget_handed_over();
        let sends = state.carry_out(shared, trainer, actions);
        // Queued under the lock, so that messages leave in the order of the decisions.
        for (to, message) in sends {
            self.outbox.send(shared, &to, message);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Takes in the view and the time for all trainers.
    pub(super) fn tick(&self, shared: &Arc<Shared>) {
        let view = shared.view();
        for trainer in view.configuration.trainers.keys() {
            self.tell(shared, trainer, StepEvent::Tick);
        }
        let mut state = self.lock();
        let known = &view.configuration.trainers;
        state.trainers.retain(|name, _| known.contains_key(name));
    }

    /// Takes in how busy engines are.
    pub(crate) fn report(&self, loads: &[TargetLoad]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for load in loads {
            state.portions.report(load, now);
        }
    }

    /// Takes in another host's part of the training.
    pub(crate) fn learn_portion(&self, portion: Portion) {
        let now = self.clock.now();
        self.lock().portions.learn(portion, now);
    }

    /// Tells the other hosts of this one's part of the training.
    pub(super) fn tell_portion(&self, shared: &Arc<Shared>) {
        let own = &shared.settings.host;
        let portion = self.lock().portion(own);
        let view = shared.view();
        let others = view.members.iter().filter(|member| member.host != *own);
        for member in others {
            let message = RolloutRequest::Portion(portion.clone());
            self.outbox.send(shared, &member.host, message);
        }
    }

    /// Returns how many samples run and wait, by service.
    pub(crate) fn loads(&self) -> Loads {
        let state = self.lock();
        let mut loads = Loads::new();
        for trainer in state.trainers.values() {
            let load = loads.entry(trainer.rules.service.clone()).or_default();
            load.running += trainer.runs;
            load.waiting += trainer.queue.len() as u32;
        }
        loads
    }
}

impl State {
    fn trainer(
        &mut self,
        shared: &Arc<Shared>,
        view: &View,
        name: &TrainerName,
        now: Millis,
    ) -> Option<&mut Trainer> {
        let rules = view.configuration.trainers.get(name)?;
        let trainer = self.trainers.entry(name.clone()).or_insert_with(|| {
            let host = shared.settings.host.clone();
            Trainer {
                queue: VecDeque::new(),
                ranked: Vec::new(),
                version: None,
                rules: rules.clone(),
                runs: 0,
                since: now,
                steps: TrainerSteps::new(name.clone(), host, StepRules::default()),
                stragglers: Stragglers::new(StragglerRules {
                    idle_timeout_ms: SILENT_MS,
                    ..StragglerRules::default()
                }),
            }
        });
        trainer.rules = rules.clone();
        trainer.steps.set_rules(StepRules {
            staleness_versions: rules.staleness_versions,
            ..StepRules::default()
        });
        Some(trainer)
    }

    fn carry_out(
        &mut self,
        shared: &Shared,
        trainer: &TrainerName,
        actions: Vec<StepAction>,
    ) -> Vec<(HostName, RolloutRequest)> {
        let own = &shared.settings.host;
        let mut sends = Vec::new();
        for action in actions {
            match action {
                StepAction::Answer { reply, answer } => {
                    if let Some(sender) = self.replies.remove(&reply) {
                        // A caller that has left wants no answer.
                        sender.send(answer).unwrap_or_default();
                    }
                }
                StepAction::Cancel { id } => self.cancel(&id),
                StepAction::Count(handed) => self.count(shared, trainer, handed),
                StepAction::Send { to, message } => {
                    let from = own.clone();
                    let trainer = trainer.clone();
                    let message = RolloutRequest::Tell {
                        from,
                        trainer,
                        message,
                    };
                    sends.push((to, message));
                }
                StepAction::Start {
                    generation,
                    id,
                    spec,
                } => self.enqueue(Job {
                    generation,
                    hedge: false,
                    kv: None,
                    partial: Sample::new(id),
                    spec,
                    to: None,
                    avoid: None,
                }),
            }
        }
        sends
    }

    /// Counts a batch for the trainer's workspace; stewards hold the count soon after.
    fn count(&self, shared: &Shared, trainer: &TrainerName, handed: AcknowledgedBatch) {
        let Some(held) = self.trainers.get(trainer) else {
            return;
        };
        let caller = Caller {
            service: held.rules.service.clone(),
            workspace: held.rules.workspace.clone(),
        };
        let request = RequestId::random();
        log::info!(request:%, trainer:%, step = handed.step.0; "batch is billed");
        shared.billing.add(
            shared,
            &caller,
            Got {
                request,
                tokens: handed.tokens,
            },
        );
    }

    /// Queues a job; what was begun goes first.
    pub(super) fn enqueue(&mut self, job: Job) {
        if let Some(trainer) = self.trainers.get_mut(&job.partial.id.trainer) {
            if job.partial.tokens.is_empty() && job.kv.is_none() {
                trainer.queue.push_back(job);
            } else {
                trainer.queue.push_front(job);
            }
        }
    }

    /// Stops all streams of a sample that is whole or no longer wanted.
    pub(super) fn cancel(&mut self, id: &SampleId) {
        for running in self.running.values().filter(|running| running.id == *id) {
            running.cancelled.store(true, Ordering::Release);
        }
        if let Some(trainer) = self.trainers.get_mut(&id.trainer) {
            trainer.queue.retain(|job| job.partial.id != *id);
        }
    }
}

impl Trainer {
    /// Forgets the lengths of groups in steps before the oldest open one.
    fn forget_handed_over(&mut self) {
        let oldest = self.steps.image().progress().next();
        if let Some(StepNumber(oldest)) = oldest.map(|(step, _)| step)
            && oldest > 0
        {
            self.stragglers.forget(StepNumber(oldest - 1));
        }
    }

    /// Tells the steps of the hosts and of the version in the view.
    fn introduce(
        &mut self,
        view: &View,
        name: &TrainerName,
        own: &HostName,
        now: Millis,
    ) -> Vec<StepAction> {
        let ranked = ranking::rank(view, name, &self.rules.dc, own);
        let mut actions = Vec::new();
        if ranked != self.ranked {
            self.ranked.clone_from(&ranked);
            actions = self.steps.decide(StepEvent::Ranked(ranked), now);
        }
        let configuration = &view.configuration;
        let service = configuration.services.get(&self.rules.service);
        let version = service.and_then(|service| configuration.weights.get(&service.model));
        if let Some(version) = version.filter(|version| self.version.as_ref() != Some(version)) {
            self.version = Some(version.clone());
            actions.extend(
                self.steps
                    .decide(StepEvent::Published(version.clone()), now),
            );
        }
        actions
    }
}

fn ask_there(shared: &Arc<Shared>, home: &HostName, message: RolloutRequest) -> Option<Answer> {
    let view = shared.view();
    let member = view.members.iter().find(|member| member.host == *home)?;
    let answer = shared
        .links
        .to(member.entry)
        .call(&EntryRequest::Rollout(message));
    match answer {
        Ok(EntryAnswer::Rollout(RolloutAnswer::Answer(answer))) => Some(*answer),
        Ok(other) => {
            log::warn!(host:% = home; "unexpected answer: {other:?}");
            None
        }
        Err(error) => {
            log::debug!(host:% = home; "home is not reached: {error}");
            None
        }
    }
}
