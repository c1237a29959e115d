//! Rolls out weights: orders the engines of each service to load the configured version.
//!
//! Only the holder of the weights lease sends orders. The version in the answer to a swap is not
//! proof that the engine uses it; the engine's load report is.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        mpsc::{self, Receiver, Sender},
    },
    thread,
};

use godwitspool_connection::{
    CallError, TargetClient,
    engine::SwapOrder,
    platform::{TargetEntry, TargetState},
};
use godwitspool_process::Tick;
use godwitspool_rollout::{SwapAction, SwapEvent, SwapFailure, SwapPlan};
use godwitspool_types::{Millis, ServiceName, TargetName, Term, WeightVersion};
use godwitspool_version::{Configuration, LeaseKind, ServiceKind};

use crate::process::shared::Shared;

/// Time between polls of the versions that engines use.
const VERSION_POLL_INTERVAL: Millis = Millis(1_000);
/// Time after the start of a term until the first swap, in which engines answer the first poll.
const FIRST_SWAP_DELAY: Millis = Millis(500);
const SWAP_TIMEOUT: Millis = Millis(25_000);

type Event = (ServiceName, SwapEvent);

/// The rollouts of all services during one term.
struct Rollout {
    events: Sender<Event>,
    receiver: Receiver<Event>,
    started: Millis,
    last_poll: Option<Millis>,
    plans: BTreeMap<ServiceName, SwapPlan>,
    term: Term,
}

/// Rolls out weights at each tick until the timer stops. Each term starts a new rollout.
pub(crate) fn run(shared: &Arc<Shared>, ticks: &Receiver<Tick>) {
    let mut rollout: Option<Rollout> = None;
    while let Ok(Tick { now }) = ticks.recv() {
        let Some(term) = shared.leases.may_act(LeaseKind::Weights) else {
            rollout = None;
            continue;
        };
        let current = rollout.take().filter(|rollout| rollout.term == term);
        let current = rollout.insert(current.unwrap_or_else(|| Rollout::new(term, now)));
        current.step(shared, now);
    }
}

impl Rollout {
    fn new(term: Term, now: Millis) -> Self {
        let (events, receiver) = mpsc::channel();
        Self {
            events,
            receiver,
            started: now,
            last_poll: None,
            plans: BTreeMap::new(),
            term,
        }
    }

    fn step(&mut self, shared: &Arc<Shared>, now: Millis) {
        let configuration = shared
            .reader
            .read(|replica| Arc::clone(replica.fold().configuration()));
        let targets = shared.current_view.targets();
        if self
            .last_poll
            .is_none_or(|last| now - last >= VERSION_POLL_INTERVAL)
        {
            self.last_poll = Some(now);
            self.poll_versions(&configuration, &targets);
        }
        let mut events: Vec<Event> = self.receiver.try_iter().collect();
        for (service, version) in desired_versions(&configuration) {
            let own = live_targets(&targets, &service);
            let listed = own.iter().map(|entry| (entry.target.clone(), 0)).collect();
            let mut changes = vec![SwapEvent::Targets(listed), SwapEvent::Tick];
            // The first poll shows which version each engine uses before the first swap is decided.
            if now - self.started >= FIRST_SWAP_DELAY {
                changes.push(SwapEvent::Desired(version));
            }
            events.extend(changes.into_iter().map(|event| (service.clone(), event)));
        }
        for (service, event) in events {
            let plan = self.plans.entry(service.clone()).or_default();
            for action in plan.decide(event, now) {
                self.execute(shared, &configuration, &targets, &service, action);
            }
        }
    }

    fn execute(
        &self,
        shared: &Arc<Shared>,
        configuration: &Configuration,
        targets: &[TargetEntry],
        service: &ServiceName,
        action: SwapAction,
    ) {
        match action {
            SwapAction::Restore(target) => {
                shared.counts.swaps.count("restored");
                log::info!(target_name:% = target; "target has its weights again");
            }
            SwapAction::TakeOut(target) => {
                shared.counts.swaps.count("taken-out");
                log::warn!(target_name:% = target; "weights failed to load too often, target taken out");
            }
            SwapAction::Swap(target, version) => {
                let entry = targets.iter().find(|entry| entry.target == target);
                let rules = configuration.services.get(service);
                let (Some(entry), Some(rules)) = (entry, rules) else {
                    return;
                };
                let order = SwapOrder {
                    model: rules.model.clone(),
                    term: self.term,
                    version,
                };
                let client = TargetClient::new(entry.address);
                let (shared, events) = (Arc::clone(shared), self.events.clone());
                let service = service.clone();
                spawn(move || {
                    if let Some(event) = swap(&shared, &client, &target, &order) {
                        // Sending fails if the rollout has ended with its term.
                        events.send((service, event)).unwrap_or_default();
                    }
                });
            }
        }
    }

    /// Asks the engines for the versions that they use, each on a thread of its own.
    fn poll_versions(&self, configuration: &Configuration, targets: &[TargetEntry]) {
        for (service, _) in desired_versions(configuration) {
            for entry in live_targets(targets, &service) {
                let client = TargetClient::new(entry.address);
                let (target, events) = (entry.target.clone(), self.events.clone());
                let service = service.clone();
                spawn(move || {
                    if let Ok(load) = client.load() {
                        let event = SwapEvent::Seen(target, load.weights);
                        events.send((service, event)).unwrap_or_default();
                    }
                });
            }
        }
    }
}

/// Orders a target to swap its weights if this host still holds the lease. Returns `None`
/// otherwise.
fn swap(
    shared: &Shared,
    client: &TargetClient,
    target: &TargetName,
    order: &SwapOrder,
) -> Option<SwapEvent> {
    if shared.leases.may_act(LeaseKind::Weights) != Some(order.term) {
        shared.counts.swaps.count("withheld");
        return None;
    }
    let failure = match client.swap(order, SWAP_TIMEOUT) {
        Ok(answer) => {
            shared.counts.swaps.count("answered");
            return Some(SwapEvent::Answered(target.clone(), answer.weights));
        }
        Err(CallError::Status { status: 409, .. }) => SwapFailure::Fenced,
        Err(CallError::Status {
            status: 429 | 503, ..
        }) => SwapFailure::RateLimited,
        Err(error) => {
            log::warn!(target_name:% = target; "can't load weights: {error}");
            SwapFailure::Failed
        }
    };
    shared.counts.swaps.count(match failure {
        SwapFailure::Failed => "failed",
        SwapFailure::Fenced => "fenced",
        SwapFailure::RateLimited => "rate-limited",
    });
    Some(SwapEvent::Failed(target.clone(), failure))
}

fn spawn(work: impl FnOnce() + Send + 'static) {
    let spawned = thread::Builder::new()
        .name("weights".to_owned())
        .spawn(work);
    if let Err(error) = spawned {
        log::error!("can't start a thread for weights: {error}");
    }
}

/// Lists the engine services with the version that their targets are to use.
fn desired_versions(configuration: &Configuration) -> Vec<(ServiceName, WeightVersion)> {
    let engines = configuration
        .services
        .iter()
        .filter(|(_, rules)| rules.kind == ServiceKind::Engine);
    let versions = engines.filter_map(|(service, rules)| {
        let version = configuration.weights.get(&rules.model)?;
        Some((service.clone(), version.clone()))
    });
    versions.collect()
}

fn live_targets<'a>(targets: &'a [TargetEntry], service: &ServiceName) -> Vec<&'a TargetEntry> {
    let live = targets
        .iter()
        .filter(|entry| entry.service == *service && entry.state == TargetState::Live);
    live.collect()
}
