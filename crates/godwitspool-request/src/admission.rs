//! Decides which interactive request of a service starts next, and which is refused immediately.

use std::collections::{BTreeMap, VecDeque};

use godwitspool_types::{Millis, RequestId, Workspace};

use crate::{Reason, Refusal};

/// An interactive request that asks for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Time by which the answer must be complete.
    pub deadline: Millis,
    /// Identifier by which the actions refer to the request.
    pub request: RequestId,
    /// Weight of the workspace in fair queueing; 0 counts as 1.
    pub share: u32,
    /// Workspace to which the request is charged.
    pub workspace: Workspace,
}

/// An event to which admission reacts.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEvent {
    /// A request arrived.
    Arrive(Ticket),
    /// A started request ended.
    Done {
        /// How long the request held its slot.
        held: Millis,
        /// Workspace of the request.
        workspace: Workspace,
    },
    /// The caller of a waiting request disconnected.
    Withdraw(RequestId),
    /// Time passed, or a slot became free.
    Tick,
}

/// An action that the caller of [`Admission::decide`] executes.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionAction {
    /// Refuse the request, which has not run.
    Refuse(RequestId, Refusal),
    /// Send the request to a target.
    Start(RequestId),
}

/// The waiting and running requests of one workspace.
#[derive(Clone, Debug, Default)]
struct Flow {
    queue: VecDeque<Ticket>,
    running: u32,
    /// Slot time received, in milliseconds divided by the share; it decays with [`HALF_LIFE`].
    served: f64,
    /// When the decay was last applied to `served`.
    settled: Millis,
    share: u32,
}

/// Half-life of the slot time that a workspace has received.
const HALF_LIFE: Millis = Millis(10_000);
/// Weight of a new value in a moving mean.
const MEAN_SMOOTHING: f64 = 0.1;

/// Admission of the interactive requests of one service.
///
/// The next request to start is taken from the workspace with the least slot time for its share. A
/// request is refused immediately if the estimated wait leaves too little time before its deadline.
///
/// ```
/// use godwitspool_request::{Admission, AdmissionAction, AdmissionEvent, Ticket};
/// use godwitspool_types::{Millis, RequestId, Workspace};
///
/// let mut admission = Admission::default();
/// let ticket = Ticket {
///     deadline: Millis(1_000),
///     request: RequestId(1),
///     share: 1,
///     workspace: Workspace::from("weddings"),
/// };
/// let actions = admission.decide(AdmissionEvent::Arrive(ticket), 1, Millis(0));
/// assert_eq!(actions, [AdmissionAction::Start(RequestId(1))]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Admission {
    flows: BTreeMap<Workspace, Flow>,
    /// Mean time for which a request holds its slot.
    held_ms: f64,
    /// Mean time between starts while requests wait.
    interval_ms: f64,
    /// Time of the last start, if requests have been waiting since.
    started: Option<Millis>,
    waiting: usize,
}

impl Admission {
    /// Maximum number of waiting requests.
    pub const MAX_WAITING: usize = 8_192;

    /// Handles an event and returns the resulting actions. `free` is the number of requests that
    /// may start now.
    pub fn decide(
        &mut self,
        event: AdmissionEvent,
        free: u32,
        now: Millis,
    ) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Arrive(ticket) => self.arrive(ticket, free, now, &mut actions),
            AdmissionEvent::Done { held, workspace } => self.finish(held, &workspace, now),
            AdmissionEvent::Withdraw(request) => self.withdraw(request),
            AdmissionEvent::Tick => {}
        }
        self.expire(now, &mut actions);
        for _ in 0..free {
            let Some(request) = self.start(now) else {
                break;
            };
            actions.push(AdmissionAction::Start(request));
        }
        if self.waiting == 0 {
            self.started = None;
        }
        actions
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of requests that have started and not ended.
    pub fn running(&self) -> u32 {
        self.flows.values().map(|flow| flow.running).sum()
    }

    fn arrive(
        &mut self,
        ticket: Ticket,
        free: u32,
        now: Millis,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let request = ticket.request;
        let mut refuse = |reason: Reason, after: Option<Millis>| {
            let mut refusal = Refusal::from(reason);
            refusal.retry_after = after.or(refusal.retry_after);
            actions.push(AdmissionAction::Refuse(request, refusal));
        };
        if self.waiting >= Self::MAX_WAITING {
            return refuse(Reason::QueueFull, None);
        }
        if (self.waiting as u32) >= free {
            let wait = self.estimate(&ticket.workspace, ticket.share);
            if now + wait + Millis(self.held_ms as u64) > ticket.deadline {
                return refuse(Reason::DeadlineUnreachable, Some(wait));
            }
        }
        let flow = self.flows.entry(ticket.workspace.clone()).or_default();
        flow.share = ticket.share.max(1);
        flow.queue.push_back(ticket);
        self.waiting += 1;
    }

    /// Estimates how long the next request of a workspace would wait.
    ///
    /// Ahead of it are the waiting requests of its own workspace, and those of other workspaces
    /// that start in the meantime according to their shares.
    fn estimate(&self, workspace: &Workspace, share: u32) -> Millis {
        let own = self.flows.get(workspace).map_or(0, |flow| flow.queue.len()) as f64 + 1.0;
        let share = f64::from(share.max(1));
        let others: f64 = self
            .flows
            .iter()
            .filter(|(name, _)| *name != workspace)
            .map(|(_, flow)| (flow.queue.len() as f64).min(own * f64::from(flow.share) / share))
            .sum();
        Millis(((own + others) * self.start_interval()) as u64)
    }

    /// Returns the expected time between two starts, in milliseconds.
    fn start_interval(&self) -> f64 {
        if self.interval_ms > 0.0 {
            self.interval_ms
        } else {
            self.held_ms / f64::from(self.running().max(1))
        }
    }

    fn finish(&mut self, held: Millis, workspace: &Workspace, now: Millis) {
        let held_ms = held.0 as f64;
        let expected = self.held_ms;
        update_mean(&mut self.held_ms, held_ms);
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.running = flow.running.saturating_sub(1);
            flow.settle(now);
            // The mean time was charged at the start, so only the difference is charged here.
            flow.served = (flow.served + (held_ms - expected) / f64::from(flow.share)).max(0.0);
        }
        self.flows.retain(|_, flow| {
            flow.running > 0 || !flow.queue.is_empty() || flow.decayed(now) > 1.0
        });
    }

    fn withdraw(&mut self, request: RequestId) {
        for flow in self.flows.values_mut() {
            let before = flow.queue.len();
            flow.queue.retain(|ticket| ticket.request != request);
            self.waiting -= before - flow.queue.len();
        }
    }

    /// Refuses waiting requests that can no longer be answered before their deadline.
    fn expire(&mut self, now: Millis, actions: &mut Vec<AdmissionAction>) {
        let latest = now + Millis(self.held_ms as u64);
        for flow in self.flows.values_mut() {
            flow.queue.retain(|ticket| {
                let alive = ticket.deadline > latest;
                if !alive {
                    let refusal = Refusal::from(Reason::QueueExpired);
                    actions.push(AdmissionAction::Refuse(ticket.request, refusal));
                    self.waiting -= 1;
                }
                alive
            });
        }
    }

    fn start(&mut self, now: Millis) -> Option<RequestId> {
        let waiting = self
            .flows
            .values_mut()
            .filter(|flow| !flow.queue.is_empty());
        let flow = waiting.min_by(|one, other| one.decayed(now).total_cmp(&other.decayed(now)))?;
        let ticket = flow.queue.pop_front()?;
        flow.settle(now);
        flow.served += self.held_ms.max(1.0) / f64::from(flow.share);
        flow.running += 1;
        self.waiting -= 1;
        if let Some(before) = self.started.replace(now) {
            update_mean(&mut self.interval_ms, (now - before).0 as f64);
        }
        Some(ticket.request)
    }
}

impl Flow {
    fn decayed(&self, now: Millis) -> f64 {
        let halvings = (now - self.settled).0 as f64 / HALF_LIFE.0 as f64;
        self.served * 0.5_f64.powf(halvings)
    }

    fn settle(&mut self, now: Millis) {
        self.served = self.decayed(now);
        self.settled = now;
    }
}

fn update_mean(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    } else {
        *mean += (value - *mean) * MEAN_SMOOTHING;
    }
}
