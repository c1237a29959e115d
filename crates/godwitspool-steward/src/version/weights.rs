//! Rolls out weights: orders the engines of each service to load the version in force.
//!
//! Only the holder of the weights lease gives orders. What a swap answers is a claim; the load report
//! shows the version that the engine uses.

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

/// Time between looks at the versions that engines use.
const LOOK_PERIOD: Millis = Millis(1_000);
/// Time in which the first look at all engines is answered.
const FIRST_LOOK: Millis = Millis(500);
const SWAP_PATIENCE: Millis = Millis(25_000);

type Event = (ServiceName, SwapEvent);

/// The rollouts of one term.
struct Rollout {
    events: Sender<Event>,
    heard: Receiver<Event>,
    began: Millis,
    looked: Option<Millis>,
    plans: BTreeMap<ServiceName, SwapPlan>,
    term: Term,
}

/// Rolls out weights until the timer ends.
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
        let (events, heard) = mpsc::channel();
        Self {
            events,
            heard,
            began: now,
            looked: None,
            plans: BTreeMap::new(),
            term,
        }
    }

    fn step(&mut self, shared: &Arc<Shared>, now: Millis) {
        let configuration = shared
            .reader
            .read(|replica| Arc::clone(replica.fold().configuration()));
        let targets = shared.board.targets();
        if self.looked.is_none_or(|looked| now - looked >= LOOK_PERIOD) {
            self.looked = Some(now);
            self.look(&configuration, &targets);
        }
        let mut events: Vec<Event> = self.heard.try_iter().collect();
        for (service, version) in wanted(&configuration) {
            let own = own_targets(&targets, &service);
            let listed = own.iter().map(|entry| (entry.target.clone(), 0)).collect();
            let mut news = vec![SwapEvent::Targets(listed), SwapEvent::Tick];
            // What the first look shows comes before the first swap.
            if now - self.began >= FIRST_LOOK {
                news.push(SwapEvent::Desired(version));
            }
            events.extend(news.into_iter().map(|event| (service.clone(), event)));
        }
        for (service, event) in events {
            let plan = self.plans.entry(service.clone()).or_default();
            for action in plan.decide(event, now) {
                self.carry_out(shared, &configuration, &targets, &service, action);
            }
        }
    }

    fn carry_out(
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
                log::warn!(target_name:% = target; "weights failed too often, target is out");
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
                        // A rollout that has ended hears nothing.
                        events.send((service, event)).unwrap_or_default();
                    }
                });
            }
        }
    }

    /// Reads the versions that engines use.
    fn look(&self, configuration: &Configuration, targets: &[TargetEntry]) {
        for (service, _) in wanted(configuration) {
            for entry in own_targets(targets, &service) {
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

/// Orders a swap, if the lease still allows that.
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
    let failure = match client.swap(order, SWAP_PATIENCE) {
        Ok(answer) => {
            shared.counts.swaps.count("answered");
            return Some(SwapEvent::Answered(target.clone(), answer.weights));
        }
        Err(CallError::Status { status: 409, .. }) => SwapFailure::Fenced,
        Err(CallError::Status {
            status: 429 | 503, ..
        }) => SwapFailure::RateLimited,
        Err(error) => {
            log::warn!(target_name:% = target; "weights are not loaded: {error}");
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
        log::error!("no thread for weights: {error}");
    }
}

/// Lists the services of engines with the version that they are to use.
fn wanted(configuration: &Configuration) -> Vec<(ServiceName, WeightVersion)> {
    let engines = configuration
        .services
        .iter()
        .filter(|(_, rules)| rules.kind == ServiceKind::Engine);
    let wanted = engines.filter_map(|(service, rules)| {
        let version = configuration.weights.get(&rules.model)?;
        Some((service.clone(), version.clone()))
    });
    wanted.collect()
}

fn own_targets<'a>(targets: &'a [TargetEntry], service: &ServiceName) -> Vec<&'a TargetEntry> {
    let own = targets
        .iter()
        .filter(|entry| entry.service == *service && entry.state == TargetState::Live);
    own.collect()
}
