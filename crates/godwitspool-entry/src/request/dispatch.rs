//! Admission and routing of the requests of this entry, behind one lock.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
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
use godwitspool_types::{ClassName, Dc, Millis, RequestId, ServiceName, TargetName, Workspace};

use crate::{
    process::demand::{Load, Loads},
    request::work::Work,
};

/// Slots of a target whose service isn't configured.
const DEFAULT_SLOTS: u32 = 16;

/// A target that a request was given.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(crate) address: SocketAddr,
    pub(crate) class: ClassName,
    pub(crate) id: TargetId,
    pub(crate) target: TargetName,
}

/// Paces of the reads from one target.
#[derive(Clone, Debug)]
pub(crate) struct Paces {
    pub(crate) first: IdleTimeout,
    pub(crate) next: IdleTimeout,
}

impl Default for Paces {
    fn default() -> Self {
        Self {
            first: IdleTimeout::new(Wait::FirstByte),
            next: IdleTimeout::new(Wait::NextByte),
        }
    }
}

/// A request that waits for its start.
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
    budgets: BTreeMap<Workspace, RetryBudget>,
    classes: BTreeMap<ClassName, RetryBudget>,
    flying: HashMap<TargetId, Vec<u64>>,
    paces: HashMap<TargetName, Paces>,
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
            flying: HashMap::new(),
            paces: HashMap::new(),
            targets: Targets::new(dc),
            waiters: HashMap::new(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // -----------------------------------------------------------------------
    // What is known of targets

    /// Takes the targets of a view.
    pub(crate) fn learn(&self, view: &View) {
        let mut state = self.lock();
        let hosts = view.members.iter().filter(|member| !member.leaving);
        state.targets.set_hosts(hosts.count() as u32);
        let known: Vec<TargetName> = state.targets.names().cloned().collect();
        for name in known {
            if !view.targets.iter().any(|entry| entry.target == name) {
                state.targets.remove(&name);
                state.addresses.remove(&name);
                state.paces.remove(&name);
            }
        }
        for entry in &view.targets {
            state.addresses.insert(entry.target.clone(), entry.address);
            state.targets.put(facts(entry, view));
        }
    }

    /// Takes load reports.
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

    /// Returns the paces of a target's reads.
    pub(crate) fn paces(&self, target: &TargetName) -> Paces {
        self.lock().paces.get(target).cloned().unwrap_or_default()
    }

    /// Keeps the paces that a stream has shown.
    pub(crate) fn set_paces(&self, target: &TargetName, paces: Paces) {
        self.lock().paces.insert(target.clone(), paces);
    }

    // -----------------------------------------------------------------------
    // Admission

    /// Waits until a request may start and returns its target.
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
            request: work.id,
            share: work.share,
            workspace: work.caller.workspace.clone(),
        };
        state.pump(&work.caller.service, AdmissionEvent::Arrive(ticket), now);
        drop(state);
        let patience = (work.deadline - now).duration();
        answer.recv_timeout(patience).unwrap_or_else(|_| {
            let mut state = self.lock();
            state.waiters.remove(&work.id);
            let withdrawn = AdmissionEvent::Withdraw(work.id);
            state.pump(&work.caller.service, withdrawn, now);
            // The start may have been decided while the lock was waited for.
            answer
                .try_recv()
                .unwrap_or(Err(Reason::QueueExpired.into()))
        })
    }

    /// Chooses another target for a request that was admitted before.
    pub(crate) fn choose(&self, need: &Need, now: Millis) -> Result<Assignment, Reason> {
        let mut state = self.lock();
        match state.targets.choose(need, now) {
            Choice::Target(id) => state.assign(id, need).ok_or(Reason::NoTarget),
            Choice::Full => Err(Reason::QueueFull),
            Choice::None => Err(Reason::NoTarget),
        }
    }

    /// Ends a request that was admitted.
    pub(crate) fn finish(&self, work: &Work, held: Millis, now: Millis) {
        let workspace = work.caller.workspace.clone();
        let done = AdmissionEvent::Done { held, workspace };
        self.lock().pump(&work.caller.service, done, now);
    }

    /// Looks at every queue again.
    pub(crate) fn tick(&self, now: Millis) {
        let mut state = self.lock();
        let waiting: Vec<ServiceName> = state
            .admissions
            .iter()
            .filter(|(_, admission)| admission.waiting() > 0)
            .map(|(service, _)| service.clone())
            .collect();
        for service in waiting {
            state.pump(&service, AdmissionEvent::Tick, now);
        }
    }

    // -----------------------------------------------------------------------
    // Work on targets

    /// Counts work on a target that was chosen by others than this.
    pub(crate) fn begin(&self, target: &TargetName) -> Option<TargetId> {
        let mut state = self.lock();
        let id = state.targets.find(target)?;
        state.targets.begin(id);
        Some(id)
    }

    /// Counts work off a target.
    pub(crate) fn end(&self, id: TargetId) {
        self.lock().targets.end(id);
    }

    /// Counts a fingerprint off a target.
    pub(crate) fn land(&self, id: TargetId, print: u64) {
        let mut state = self.lock();
        if let Some(prints) = state.flying.get_mut(&id) {
            if let Some(index) = prints.iter().position(|other| *other == print) {
                prints.swap_remove(index);
            }
            if prints.is_empty() {
                state.flying.remove(&id);
            }
        }
    }

    /// Returns the fingerprints of this entry's requests in flight on a target.
    pub(crate) fn flying(&self, id: TargetId) -> Vec<u64> {
        self.lock().flying.get(&id).cloned().unwrap_or_default()
    }

    /// Records how an attempt went.
    pub(crate) fn record(&self, work: &Work, on: &Assignment, health: AttemptOutcome, now: Millis) {
        let mut state = self.lock();
        state.targets.record(on.id, health, now, &mut rand::rng());
        if health == AttemptOutcome::Answered {
            let State {
                budgets, classes, ..
            } = &mut *state;
            let workspace = work.caller.workspace.clone();
            budgets.entry(workspace).or_default().succeed();
            classes.entry(on.class.clone()).or_default().succeed();
        }
    }

    /// Decides what follows a failed attempt.
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
        let both = [
            budgets.entry(workspace).or_default(),
            classes.entry(class.clone()).or_default(),
        ];
        work.attempts
            .fail(reason, after, both, now, &mut rand::rng())
    }

    /// Returns how much runs and waits, by service.
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

    /// Returns requests that run and wait, by service.
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
    /// Carries an event through admission, and starts what may start as long as there is room.
    fn pump(&mut self, service: &ServiceName, event: AdmissionEvent, now: Millis) {
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
                    AdmissionAction::Refuse(id, refusal) => self.tell(id, Err(refusal)),
                    AdmissionAction::Start(id) => {
                        next = Some(self.start(id, room, now));
                    }
                }
            }
        }
    }

    /// Gives a request its target, and returns the event that follows.
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
        let lost = assigned.is_none();
        self.tell(request, assigned.ok_or(Reason::NoTarget.into()));
        if lost {
            let held = Millis::ZERO;
            return AdmissionEvent::Done { held, workspace };
        }
        AdmissionEvent::Tick
    }

    fn assign(&mut self, id: TargetId, need: &Need) -> Option<Assignment> {
        let facts = self.targets.facts(id);
        let (class, target) = (facts.class.clone(), facts.target.clone());
        let address = *self.addresses.get(&target)?;
        self.targets.begin(id);
        self.flying.entry(id).or_default().push(need.fingerprint);
        Some(Assignment {
            address,
            class,
            id,
            target,
        })
    }

    fn tell(&mut self, request: RequestId, outcome: Result<Assignment, Refusal>) {
        let Some(waiter) = self.waiters.remove(&request) else {
            return;
        };
        if let Err(mpsc::SendError(Ok(lost))) = waiter.sender.send(outcome) {
            self.targets.end(lost.id);
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
