//! Every trainer's steps on this host, and the execution of the actions that they decide.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{
        Arc, PoisonError,
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
use godwitspool_sync::{Condvar, Mutex, MutexGuard};
use godwitspool_types::{
    HostName, Millis, RequestId, ServiceName, TargetName, TrainerName, WeightVersion,
};
use godwitspool_version::TrainerRules;

use super::{
    journal::Journal,
    outbox::Outbox,
    portions::Portions,
    ranking,
    running::{Job, RunningStream},
};
use crate::process::{billing::AnswerUsage, demand::Loads, shared::Shared};

/// Time without a token after which a sample is hedged.
const HEDGE_IDLE_TIMEOUT: Millis = Millis(1_500);
/// Longest wait for an answer of the steps, which includes the replica's confirmation.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// All trainers' steps on this host.
#[derive(Debug)]
pub(crate) struct Rollouts {
    changed: Condvar,
    pub(super) clock: Clock,
    outbox: Outbox,
    state: Mutex<State>,
}

/// State behind one lock, which is never held during I/O.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) journal: Journal,
    pub(super) portions: Portions,
    /// Channels of the requests that wait for an answer, by reply number.
    replies: HashMap<u64, Sender<Answer>>,
    /// Last reply number given out.
    last_reply: u64,
    /// Last stream number given out.
    pub(super) last_attempt: u64,
    /// Streams by number.
    pub(super) running: HashMap<u64, Arc<RunningStream>>,
    pub(super) scoring: Scoring,
    /// Complete samples that wait for their score, with their generation.
    pub(super) unscored: HashMap<String, (u64, Sample)>,
    pub(super) shares: Shares,
    pub(super) targets: HashMap<TargetName, TargetState>,
    pub(super) trainers: BTreeMap<TrainerName, Trainer>,
}

/// A trainer on this host.
#[derive(Debug)]
pub(super) struct Trainer {
    pub(super) queue: VecDeque<Job>,
    /// Hosts by their rank for the trainer, as last reported to the steps.
    ranked_hosts: Vec<HostName>,
    /// Published weights, as last reported to the steps.
    version: Option<WeightVersion>,
    pub(super) rules: TrainerRules,
    /// Number of this trainer's running streams.
    pub(super) running_streams: u32,
    /// Time since which the queue has not been empty.
    pub(super) queued_since: Millis,
    pub(super) steps: TrainerSteps,
    pub(super) stragglers: Stragglers,
}

/// Training on one target.
#[derive(Debug)]
pub(super) struct TargetState {
    /// Milliseconds per token, measured on the running streams. Ended streams are averaged in.
    pub(super) token_ms: f64,
    pub(super) service: ServiceName,
    pub(super) share: TrainingShare,
    /// Number of this host's training streams on the target.
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

    /// Waits until a step's state changes, at most for `timeout`.
    pub(super) fn wait(&self, timeout: Duration) {
        drop(self.changed.wait_timeout(self.lock(), timeout));
    }

    /// Sends a request to the home host of a trainer's steps, which may be this one.
    pub(crate) fn ask(
        &self,
        shared: &Arc<Shared>,
        trainer: &TrainerName,
        request: Request,
    ) -> Answer {
        let answer = self.ask_local(shared, trainer, request.clone());
        let Answer::Refused(Refusal::Moving(Some(home))) = &answer else {
            return answer;
        };
        let message = RolloutRequest::Ask {
            trainer: trainer.clone(),
            request,
        };
        ask_remote(shared, home, message).unwrap_or(answer)
    }

    /// Passes a request to the steps on this host. They answer once the replica holds the state
    /// that the answer depends on.
    pub(crate) fn ask_local(
        &self,
        shared: &Arc<Shared>,
        trainer: &TrainerName,
        request: Request,
    ) -> Answer {
        let (sender, receiver) = mpsc::channel();
        let reply = {
            let mut state = self.lock();
            state.last_reply += 1;
            let reply = state.last_reply;
            state.replies.insert(reply, sender);
            reply
        };
        self.handle_event(shared, trainer, StepEvent::Request { reply, request });
        let answer = receiver.recv_timeout(ANSWER_TIMEOUT);
        self.lock().replies.remove(&reply);
        answer.unwrap_or(Answer::Refused(Refusal::Moving(None)))
    }

    /// Passes an event to a trainer's steps, and executes the actions that they decide.
    pub(crate) fn handle_event(
        &self,
        shared: &Arc<Shared>,
        trainer: &TrainerName,
        event: StepEvent,
    ) {
        let view = shared.view();
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(trainer_state) = state.trainer(shared, &view, trainer, now) else {
            return;
        };
        let mut actions =
            trainer_state.update_from_view(&view, trainer, &shared.settings.host, now);
        actions.extend(trainer_state.steps.decide(event, now));
        trainer_state.forget_old_steps();
        let messages = state.execute(shared, trainer, actions);
        // Messages are queued under the lock, so that they keep the order of the decisions.
        for (to, message) in messages {
            self.outbox.send(shared, &to, message);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Updates all trainers for the current view and time, and removes those that are no longer
    /// configured.
    pub(super) fn tick(&self, shared: &Arc<Shared>) {
        let view = shared.view();
        for trainer in view.configuration.trainers.keys() {
            self.handle_event(shared, trainer, StepEvent::Tick);
        }
        let mut state = self.lock();
        let known = &view.configuration.trainers;
        state.trainers.retain(|name, _| known.contains_key(name));
    }

    /// Stores load reports of engines.
    pub(crate) fn report(&self, loads: &[TargetLoad]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for load in loads {
            state.portions.report(load, now);
        }
    }

    /// Stores another host's report of its training.
    pub(crate) fn update_portion(&self, portion: Portion) {
        let now = self.clock.now();
        self.lock().portions.update(portion, now);
    }

    /// Reports this host's part of the training to the other hosts.
    pub(super) fn send_portion(&self, shared: &Arc<Shared>) {
        let own = &shared.settings.host;
        let portion = self.lock().portion(own);
        let view = shared.view();
        let others = view.members.iter().filter(|member| member.host != *own);
        for member in others {
            let message = RolloutRequest::Portion(portion.clone());
            self.outbox.send(shared, &member.host, message);
        }
    }

    /// Returns the number of running and waiting samples by service.
    pub(crate) fn loads(&self) -> Loads {
        let state = self.lock();
        let mut loads = Loads::new();
        for trainer in state.trainers.values() {
            let load = loads.entry(trainer.rules.service.clone()).or_default();
            load.running += trainer.running_streams;
            load.waiting += trainer.queue.len() as u32;
        }
        loads
    }
}

impl State {
    /// Returns the state of a trainer, which is created when the configuration has it.
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
                ranked_hosts: Vec::new(),
                version: None,
                rules: rules.clone(),
                running_streams: 0,
                queued_since: now,
                steps: TrainerSteps::new(name.clone(), host, StepRules::default()),
                stragglers: Stragglers::new(StragglerRules {
                    idle_timeout_ms: HEDGE_IDLE_TIMEOUT,
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

    fn execute(
        &mut self,
        shared: &Shared,
        trainer: &TrainerName,
        actions: Vec<StepAction>,
    ) -> Vec<(HostName, RolloutRequest)> {
        let own = &shared.settings.host;
        let mut messages = Vec::new();
        for action in actions {
            match action {
                StepAction::Answer { reply, answer } => {
                    if let Some(sender) = self.replies.remove(&reply) {
                        // The request may have timed out and dropped its receiver.
                        sender.send(answer).unwrap_or_default();
                    }
                }
                StepAction::Cancel { id } => self.cancel(&id),
                StepAction::Count(batch) => self.bill_batch(shared, trainer, batch),
                StepAction::Send { to, message } => {
                    let from = own.clone();
                    let trainer = trainer.clone();
                    let message = RolloutRequest::Tell {
                        from,
                        trainer,
                        message,
                    };
                    messages.push((to, message));
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
                    preferred: None,
                    avoid: None,
                }),
            }
        }
        messages
    }

    /// Bills an acknowledged batch to the trainer's workspace. This doesn't wait for a steward to
    /// hold the usage record.
    fn bill_batch(&self, shared: &Shared, trainer: &TrainerName, batch: AcknowledgedBatch) {
        let Some(trainer_state) = self.trainers.get(trainer) else {
            return;
        };
        let caller = Caller {
            service: trainer_state.rules.service.clone(),
            workspace: trainer_state.rules.workspace.clone(),
        };
        let request = RequestId::random();
        log::info!(request:%, trainer:%, step = batch.step.0; "batch billed");
        shared.billing.queue_record(
            shared,
            &caller,
            AnswerUsage {
                request,
                tokens: batch.tokens,
            },
        );
    }

    /// Queues a job. A sample that already has tokens or a KV cache goes to the front.
    pub(super) fn enqueue(&mut self, job: Job) {
        if let Some(trainer) = self.trainers.get_mut(&job.partial.id.trainer) {
            if job.partial.tokens.is_empty() && job.kv.is_none() {
                trainer.queue.push_back(job);
            } else {
                trainer.queue.push_front(job);
            }
        }
    }

    /// Stops all streams of a sample that is complete or no longer wanted.
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
    /// Drops the sample lengths of steps before the oldest open one.
    fn forget_old_steps(&mut self) {
        let oldest = self.steps.image().progress().next();
        if let Some(StepNumber(oldest)) = oldest.map(|(step, _)| step)
            && oldest > 0
        {
            self.stragglers.forget(StepNumber(oldest - 1));
        }
    }

    /// Reports changed host ranks and a newly published version in the view to the steps.
    fn update_from_view(
        &mut self,
        view: &View,
        name: &TrainerName,
        own: &HostName,
        now: Millis,
    ) -> Vec<StepAction> {
        let ranked = ranking::rank(view, name, &self.rules.dc, own);
        let mut actions = Vec::new();
        if ranked != self.ranked_hosts {
            self.ranked_hosts.clone_from(&ranked);
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

/// Sends a request to a trainer's home host. Returns `None` when there is no answer.
fn ask_remote(shared: &Arc<Shared>, home: &HostName, message: RolloutRequest) -> Option<Answer> {
    let view = shared.view();
    let member = view.members.iter().find(|member| member.host == *home)?;
    let answer = shared
        .links
        .to(member.entry)
        .call(&EntryRequest::Rollout(message));
    match answer {
        Ok(EntryAnswer::Rollout(RolloutAnswer::Answer(answer))) => Some(*answer),
        Ok(other) => {
            log::warn!(host:% = home; "unexpected answer from the home host: {other:?}");
            None
        }
        Err(error) => {
            log::debug!(host:% = home; "can't call the home host: {error}");
            None
        }
    }
}
