//! Admission and routing of this entry's requests, behind one lock.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        PoisonError,
        mpsc::{self, Sender},
    },
};

use godwitspool_connection::{
    messages::{TargetLoad, View},
    platform::{TargetEntry, TargetState},
};
use godwitspool_request::{
    Admission, AdmissionAction, AdmissionEvent, AttemptOutcome, Choice, IdleTimeout, LoadReport,
    Need, Reason, Refusal, RetryBudget, RetryDecision, RetryReason, TargetFacts, TargetId, Targets,
    Ticket, Wait,
};
use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::{ClassName, Dc, Millis, RequestId, ServiceName, TargetName, Workspace};

use crate::{
    process::demand::{Load, Loads},
    request::work::Work,
};

/// Slots of each target of a service without rules in the configuration.
const DEFAULT_SLOTS: u32 = 16;

/// The target to which a request is assigned.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(crate) address: SocketAddr,
    pub(crate) class: ClassName,
    pub(crate) id: TargetId,
    pub(crate) target: TargetName,
}

/// Adaptive idle timeouts of reads from one target.
#[derive(Clone, Debug)]
pub(crate) struct IdleTimeouts {
    /// Timeout for the first byte of an answer.
    pub(crate) first: IdleTimeout,
    /// Timeout for each further byte.
    pub(crate) next: IdleTimeout,
}

impl Default for IdleTimeouts {
    fn default() -> Self {
        Self {
            first: IdleTimeout::new(Wait::FirstByte),
            next: IdleTimeout::new(Wait::NextByte),
        }
    }
}

/// A request that waits in the queue.
#[derive(Debug)]
struct Waiter {
    need: Need,
    sender: Sender<Result<Assignment, Refusal>>,
    workspace: Workspace,
}

#[derive(Debug)]
struct State {
    addresses: HashMap<TargetName, SocketAddr>,
    admissions: BTreeMap<ServiceName, Admission>,
    /// Retry budgets by workspace.
    budgets: BTreeMap<Workspace, RetryBudget>,
    /// Retry budgets by target class.
    classes: BTreeMap<ClassName, RetryBudget>,
    /// Fingerprints of the requests in flight, by target.
    in_flight: HashMap<TargetId, Vec<u64>>,
    idle_timeouts: HashMap<TargetName, IdleTimeouts>,
    targets: Targets,
    waiters: HashMap<RequestId, Waiter>,
}

/// Admission and routing of this entry's requests.
#[derive(Debug)]
pub(crate) struct Dispatch(Mutex<State>);

impl Dispatch {
    pub(crate) fn new(dc: Dc) -> Self {
        Self(Mutex::new(State {
            addresses: HashMap::new(),
            admissions: BTreeMap::new(),
            budgets: BTreeMap::new(),
            classes: BTreeMap::new(),
            in_flight: HashMap::new(),
            idle_timeouts: HashMap::new(),
            targets: Targets::new(dc),
            waiters: HashMap::new(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the targets from a view.
    pub(crate) fn update_targets(&self, view: &View) {
        let mut state = self.lock();
        let hosts = view.members.iter().filter(|member| !member.leaving);
        state.targets.set_hosts(hosts.count() as u32);
        let known_names: Vec<TargetName> = state.targets.names().cloned().collect();
        for name in known_names {
            if !view.targets.iter().any(|entry| entry.target == name) {
                state.targets.remove(&name);
                state.addresses.remove(&name);
                state.idle_timeouts.remove(&name);
            }
        }
        for entry in &view.targets {
            state.addresses.insert(entry.target.clone(), entry.address);
            state.targets.put(facts(entry, view));
        }
    }

    /// Updates the targets' loads and weights from reports.
    pub(crate) fn report(&self, loads: &[TargetLoad]) {
        let mut state = self.lock();
        for load in loads {
            let report = LoadReport {
                busy: load.busy,
                weights: load.weights.clone(),
            };
            state.targets.report(&load.target, &report);
        }
    }

    /// Returns the idle timeouts of reads from a target.
    pub(crate) fn idle_timeouts(&self, target: &TargetName) -> IdleTimeouts {
        self.lock()
            .idle_timeouts
            .get(target)
            .cloned()
            .unwrap_or_default()
    }

    /// Stores a target's idle timeouts after a read has updated them.
    pub(crate) fn set_idle_timeouts(&self, target: &TargetName, idle_timeouts: IdleTimeouts) {
        self.lock()
            .idle_timeouts
            .insert(target.clone(), idle_timeouts);
    }

    /// Queues a request until it may start, and returns its target.
    pub(crate) fn admit(&self, work: &Work, now: Millis) -> Result<Assignment, Refusal> {
        let (sender, answer) = mpsc::channel();
        let mut state = self.lock();
        if state.targets.choose(&work.need, now) == Choice::None {
            return Err(Reason::NoTarget.into());
        }
        let waiter = Waiter {
            need: work.need.clone(),
            sender,
            workspace: work.caller.workspace.clone(),
        };
        state.waiters.insert(work.id, waiter);
        let ticket = Ticket {
            deadline: work.deadline,
            rank: 0,
            request: work.id,
            share: work.share,
            workspace: work.caller.workspace.clone(),
        };
        state.handle_event(&work.caller.service, AdmissionEvent::Arrive(ticket), now);
        drop(state);
        let queue_timeout = (work.deadline - now).duration();
        answer.recv_timeout(queue_timeout).unwrap_or_else(|_| {
            let mut state = self.lock();
            state.waiters.remove(&work.id);
            let withdrawn = AdmissionEvent::Withdraw(work.id);
            state.handle_event(&work.caller.service, withdrawn, now);
            // The request may have been started while this thread waited for the lock.
            answer
                .try_recv()
                .unwrap_or(Err(Reason::QueueExpired.into()))
        })
    }

    /// Assigns another target to a request that was admitted before.
    pub(crate) fn choose(&self, need: &Need, now: Millis) -> Result<Assignment, Reason> {
        let mut state = self.lock();
        match state.targets.choose(need, now) {
            Choice::Target(id) => state.assign(id, need).ok_or(Reason::NoTarget),
            Choice::Full => Err(Reason::QueueFull),
            Choice::None => Err(Reason::NoTarget),
        }
    }

    /// Ends an admitted request, which held its slot for `held`.
    pub(crate) fn finish(&self, work: &Work, held: Millis, now: Millis) {
        let workspace = work.caller.workspace.clone();
        let held = Some(held);
        let done = AdmissionEvent::Done { held, workspace };
        self.lock().handle_event(&work.caller.service, done, now);
    }

    /// Starts or expires waiting requests in every queue.
    pub(crate) fn tick(&self, now: Millis) {
        let mut state = self.lock();
        let waiting: Vec<ServiceName> = state
            .admissions
            .iter()
            .filter(|(_, admission)| admission.waiting() > 0)
            .map(|(service, _)| service.clone())
            .collect();
        for service in waiting {
            state.handle_event(&service, AdmissionEvent::Tick, now);
        }
    }

    /// Adds a sample that the rollouts placed on a target to the target's load.
    pub(crate) fn begin(&self, target: &TargetName) -> Option<TargetId> {
        let mut state = self.lock();
        let id = state.targets.find(target)?;
        state.targets.begin(id);
        Some(id)
    }

    /// Removes a request or sample from a target's load.
    pub(crate) fn end(&self, id: TargetId) {
        self.lock().targets.end(id);
    }

    /// Removes a request from those in flight on a target.
    pub(crate) fn remove_in_flight(&self, id: TargetId, request_fingerprint: u64) {
        let mut state = self.lock();
        if let Some(fingerprints) = state.in_flight.get_mut(&id) {
            if let Some(index) = fingerprints
                .iter()
                .position(|other| *other == request_fingerprint)
            {
                fingerprints.swap_remove(index);
            }
            if fingerprints.is_empty() {
                state.in_flight.remove(&id);
            }
        }
    }

    /// Returns the fingerprints of this entry's requests in flight on a target.
    pub(crate) fn in_flight(&self, id: TargetId) -> Vec<u64> {
        self.lock().in_flight.get(&id).cloned().unwrap_or_default()
    }

    /// Records the outcome of an attempt in the target's health and, on success, in the retry
    /// budgets.
    pub(crate) fn record(
        &self,
        work: &Work,
        assignment: &Assignment,
        outcome: AttemptOutcome,
        now: Millis,
    ) {
        let mut state = self.lock();
        state
            .targets
            .record(assignment.id, outcome, now, &mut rand::rng());
        if outcome == AttemptOutcome::Answered {
            let State {
                budgets, classes, ..
            } = &mut *state;
            let workspace = work.caller.workspace.clone();
            budgets.entry(workspace).or_default().succeed();
            classes
                .entry(assignment.class.clone())
                .or_default()
                .succeed();
        }
    }

    /// Decides whether a request is retried after a failed attempt.
    pub(crate) fn fail(
        &self,
        work: &mut Work,
        class: &ClassName,
        reason: RetryReason,
        after: Option<Millis>,
        now: Millis,
    ) -> RetryDecision {
        let mut state = self.lock();
        let State {
            budgets, classes, ..
        } = &mut *state;
        let workspace = work.caller.workspace.clone();
        let retry_budgets = [
            budgets.entry(workspace).or_default(),
            classes.entry(class.clone()).or_default(),
        ];
        work.attempts
            .fail(reason, after, retry_budgets, now, &mut rand::rng())
    }

    /// Returns the number of running and waiting requests by service.
    pub(crate) fn loads(&self) -> Loads {
        let state = self.lock();
        let load = |admission: &Admission| Load {
            running: admission.running(),
            waiting: admission.waiting() as u32,
        };
        let services = state.admissions.iter();
        services
            .map(|(service, admission)| (service.clone(), load(admission)))
            .collect()
    }

    /// Returns the number of running and waiting requests by service, for operators.
    pub(crate) fn status(&self) -> serde_json::Value {
        let state = self.lock();
        let services = state.admissions.iter().map(|(service, admission)| {
            let counts = serde_json::json!({
                "running": admission.running(),
                "waiting": admission.waiting(),
            });
            (service.to_string(), counts)
        });
        serde_json::Value::Object(services.collect())
    }
}

impl State {
    /// Passes an event to admission, and starts requests as long as targets have room.
    fn handle_event(&mut self, service: &ServiceName, event: AdmissionEvent, now: Millis) {
        let probe = Need {
            resumable: true,
            service: service.clone(),
            ..Need::default()
        };
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let room = self.targets.choose(&probe, now);
            let free = u32::from(matches!(room, Choice::Target(_)));
            let admission = self.admissions.entry(service.clone()).or_default();
            for action in admission.decide(event, free, now) {
                match action {
                    AdmissionAction::Refuse(id, refusal) => {
                        self.notify(id, Err(refusal.spread(rand::random())));
                    }
                    AdmissionAction::Start(id) => {
                        next = Some(self.start(id, room, now));
                    }
                }
            }
        }
    }

    /// Assigns a target to an admitted request, and returns the next event for admission.
    fn start(&mut self, request: RequestId, room: Choice, now: Millis) -> AdmissionEvent {
        let Some(waiter) = self.waiters.get(&request) else {
            return AdmissionEvent::Tick;
        };
        let (need, workspace) = (waiter.need.clone(), waiter.workspace.clone());
        let chosen = match self.targets.choose(&need, now) {
            Choice::Full => room,
            chosen => chosen,
        };
        let assigned = match chosen {
            Choice::Target(id) => self.assign(id, &need),
            _ => None,
        };
        let unassigned = assigned.is_none();
        self.notify(request, assigned.ok_or(Reason::NoTarget.into()));
        if unassigned {
            let held = None;
            return AdmissionEvent::Done { held, workspace };
        }
        AdmissionEvent::Tick
    }

    fn assign(&mut self, id: TargetId, need: &Need) -> Option<Assignment> {
        let facts = self.targets.facts(id);
        let (class, target) = (facts.class.clone(), facts.target.clone());
        let address = *self.addresses.get(&target)?;
        self.targets.begin(id);
        self.in_flight.entry(id).or_default().push(need.fingerprint);
        Some(Assignment {
            address,
            class,
            id,
            target,
        })
    }

    /// Wakes the thread of a waiting request. If that thread no longer waits, the target's load is
    /// reduced again.
    fn notify(&mut self, request: RequestId, outcome: Result<Assignment, Refusal>) {
        let Some(waiter) = self.waiters.remove(&request) else {
            return;
        };
        if let Err(mpsc::SendError(Ok(unassigned))) = waiter.sender.send(outcome) {
            self.targets.end(unassigned.id);
        }
    }
}

fn facts(entry: &TargetEntry, view: &View) -> TargetFacts {
    let class = view.configuration.classes.get(&entry.class);
    let service = view.configuration.services.get(&entry.service);
    TargetFacts {
        class: entry.class.clone(),
        cost: class.map_or(0, |class| class.cost_per_hour),
        dc: entry.dc.clone(),
        model: entry.model.clone(),
        reclaimable: class.is_some_and(|class| class.reclaimable),
        service: entry.service.clone(),
        slots: service.map_or(DEFAULT_SLOTS, |service| service.slots),
        accepts_work: entry.state == TargetState::Live,
        target: entry.target.clone(),
    }
}
