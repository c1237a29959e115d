//! Decides which interactive request of a service starts next, and which is refused immediately.

use std::collections::{BTreeMap, VecDeque};

use godwitspool_types::{Millis, RequestId, Workspace};

use crate::{Reason, Refusal};

/// An interactive request that asks for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Time by which the answer must be complete.
    pub deadline: Millis,
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
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
        /// How long the request held its slot; `None` if it reached no target.
        held: Option<Millis>,
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
    /// Waiting requests by rank, and by arrival within a rank.
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
/// A workspace whose slot time for its share is below the mean divided by this goes before more urgent
/// ones, so that no rank starves.
const GUARANTEE_DIVISOR: f64 = 4.0;
/// Number of mean times of a request without a start after which the queue counts as stalled. Slots that
/// were taken together become free together, and requests take unequal times.
const STALL_FACTOR: f64 = 2.0;
/// Maximum delay that a refusal names. The pace of the last seconds says nothing about later ones.
const MAX_RETRY_AFTER: Millis = HALF_LIFE;
/// Weight of a new value in a moving mean.
const MEAN_SMOOTHING: f64 = 0.1;

/// Admission of the interactive requests of one service.
///
/// The next request to start is one of the most urgent rank, of the workspace with the least slot time
/// for its share. Workspaces with less than a quarter of the mean slot time for their share go before
/// more urgent ones. A request is refused immediately if the estimated wait leaves too little time before
/// its deadline.
///
/// Load patterns: one workspace sends many times its share; urgent workspaces send more than there are
/// slots for; a burst that exceeds what can be served in time; targets that never get free.
///
/// ```
/// use godwitspool_request::{Admission, AdmissionAction, AdmissionEvent, Ticket};
/// use godwitspool_types::{Millis, RequestId, Workspace};
///
/// let mut admission = Admission::default();
/// let ticket = Ticket {
///     deadline: Millis(1_000),
///     rank: 0,
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
    /// Since when requests have been waiting without a start.
    stuck_since: Option<Millis>,
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
        // A request that finds a free slot starts. The mean time of earlier requests doesn't refuse it,
        // as no later one could correct that mean.
        let shortage = self.waiting > 0 || free == 0;
        match event {
            AdmissionEvent::Arrive(ticket) => self.arrive(ticket, free, now, &mut actions),
            AdmissionEvent::Done { held, workspace } => self.finish(held, &workspace, now),
            AdmissionEvent::Withdraw(request) => self.withdraw(request),
            AdmissionEvent::Tick => {}
        }
        if shortage {
            self.expire(now, &mut actions);
        }
        for _ in 0..free {
            let Some(request) = self.start(now) else {
                break;
            };
            actions.push(AdmissionAction::Start(request));
        }
        if self.waiting == 0 {
            self.started = None;
            self.stuck_since = None;
            // The next queue may have another cause and another pace.
            self.interval_ms = 0.0;
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
        if self.waiting >= Self::MAX_WAITING {
            let refusal = refuse(Reason::QueueFull, self.drain_time(now));
            return actions.push(AdmissionAction::Refuse(request, refusal));
        }
        if (self.waiting as u32) >= free {
            let wait = self.estimate(&ticket, now);
            if now + wait + Millis(self.held_ms as u64) > ticket.deadline {
                let refusal = refuse(Reason::DeadlineUnreachable, wait);
                return actions.push(AdmissionAction::Refuse(request, refusal));
            }
        }
        let flow = self.flows.entry(ticket.workspace.clone()).or_default();
        flow.share = ticket.share.max(1);
        let behind = flow.count_urgent(ticket.rank);
        flow.queue.insert(behind, ticket);
        self.waiting += 1;
        self.stuck_since.get_or_insert(now);
    }

    /// Estimates how long the next request of a workspace would wait.
    ///
    /// Ahead of it are the waiting requests of its own workspace, the more urgent ones of the others,
    /// and those of the same rank whose workspaces are served less for their share until then. It waits no
    /// longer than the guarantee of a quarter of the mean share allows.
    fn estimate(&self, ticket: &Ticket, now: Millis) -> Millis {
        let flow = self.flows.get(&ticket.workspace);
        let own = flow.map_or(0, |flow| flow.count_urgent(ticket.rank)) as f64 + 1.0;
        // What the workspace will have been served, for its share, when its turn has come.
        let held_ms = self.held_ms.max(1.0);
        let share = f64::from(ticket.share.max(1));
        let served = flow.map_or(0.0, |flow| flow.decayed(now)) + own * held_ms / share;
        let others = self
            .flows
            .iter()
            .filter(|(name, flow)| **name != ticket.workspace && !flow.queue.is_empty());
        let (mut ahead, mut competing) = (own, 1.0);
        for (_, flow) in others {
            let not_later = flow.count_urgent(ticket.rank);
            let earlier = ticket.rank.checked_sub(1);
            let earlier = earlier.map_or(0, |rank| flow.count_urgent(rank));
            let equal = (not_later - earlier) as f64;
            let turns = (served - flow.decayed(now)) * f64::from(flow.share) / held_ms;
            ahead += earlier as f64 + turns.clamp(0.0, equal);
            competing += 1.0;
        }
        let guaranteed = own * competing * GUARANTEE_DIVISOR;
        Millis((ahead.min(guaranteed) * self.pace(now)) as u64)
    }

    /// Returns how long the waiting requests take to start.
    fn drain_time(&self, now: Millis) -> Millis {
        Millis((self.waiting as f64 * self.pace(now)) as u64)
    }

    /// Returns the expected time between two starts, in milliseconds. A queue that has stalled is
    /// expected to stand for as long again.
    fn pace(&self, now: Millis) -> f64 {
        self.start_interval().max(self.stalled_ms(now))
    }

    /// Returns for how long the queue has stood still, 0 if a gap of that length is usual.
    fn stalled_ms(&self, now: Millis) -> f64 {
        let stuck = self.stuck_since.map_or(0, |since| (now - since).0) as f64;
        if stuck > STALL_FACTOR * self.start_interval().max(self.held_ms) {
            stuck
        } else {
            0.0
        }
    }

    /// Returns the mean time between two starts, in milliseconds.
    fn start_interval(&self) -> f64 {
        if self.interval_ms > 0.0 {
            self.interval_ms
        } else {
            self.held_ms / f64::from(self.running().max(1))
        }
    }

    fn finish(&mut self, held: Option<Millis>, workspace: &Workspace, now: Millis) {
        let held_ms = held.unwrap_or_default().0 as f64;
        let expected = self.held_ms;
        if held.is_some() {
            update_mean(&mut self.held_ms, held_ms);
        }
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
        let latest = now + Millis((self.held_ms + self.stalled_ms(now)) as u64);
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            flow.queue.retain(|ticket| {
                let alive = ticket.deadline > latest;
                if !alive {
                    expired.push(ticket.request);
                }
                alive
            });
        }
        if expired.is_empty() {
            return;
        }
        // The last of those that stay starts after this time, and one that comes back after it.
        let drain_time = self.drain_time(now);
        self.waiting -= expired.len();
        let refusal = refuse(Reason::QueueExpired, drain_time);
        let refusals = expired
            .into_iter()
            .map(|request| AdmissionAction::Refuse(request, refusal));
        actions.extend(refusals);
    }

    fn start(&mut self, now: Millis) -> Option<RequestId> {
        if self.waiting == 0 {
            return None;
        }
        let least = self.least_served(now)?;
        let flow = self.flows.get_mut(&least)?;
        let ticket = flow.queue.pop_front()?;
        flow.settle(now);
        flow.served += self.held_ms.max(1.0) / f64::from(flow.share);
        flow.running += 1;
        self.waiting -= 1;
        self.stuck_since = Some(now);
        if let Some(before) = self.started.replace(now) {
            update_mean(&mut self.interval_ms, (now - before).0 as f64);
        }
        Some(ticket.request)
    }

    /// Returns the workspace whose request starts next.
    fn least_served(&self, now: Millis) -> Option<Workspace> {
        let mut waiting = self.flows.iter().filter(|(_, flow)| !flow.queue.is_empty());
        if self.waiting == 1 {
            return waiting.next().map(|(name, _)| name.clone());
        }
        let competing = self.flows.values();
        let competing = competing.filter(|flow| flow.running > 0 || !flow.queue.is_empty());
        let (count, total) = competing.fold((0.0, 0.0), |(count, total), flow| {
            (count + 1.0, total + flow.decayed(now))
        });
        let guaranteed = total / f64::max(count, 1.0) / GUARANTEE_DIVISOR;
        let order = |flow: &Flow| {
            let served = flow.decayed(now);
            let rank = flow.queue.front().map(|ticket| ticket.rank);
            (served >= guaranteed, rank, served)
        };
        let ordered = waiting.map(|(name, flow)| (order(flow), name));
        let least = ordered.min_by(|((met, rank, served), _), (other, _)| {
            let ranks = (met, rank).cmp(&(&other.0, &other.1));
            ranks.then(served.total_cmp(&other.2))
        });
        least.map(|(_, name)| name.clone())
    }
}

impl Flow {
    /// Returns the number of waiting requests of this rank or a more urgent one.
    fn count_urgent(&self, rank: u32) -> usize {
        self.queue.partition_point(|ticket| ticket.rank <= rank)
    }

    fn decayed(&self, now: Millis) -> f64 {
        let halvings = (now - self.settled).0 as f64 / HALF_LIFE.0 as f64;
        self.served * 0.5_f64.powf(halvings)
    }

    fn settle(&mut self, now: Millis) {
        self.served = self.decayed(now);
        self.settled = now;
    }
}

/// Returns a refusal whose delay is the time until the queue has room, if that is known.
fn refuse(reason: Reason, wait: Millis) -> Refusal {
    let refusal = Refusal::from(reason);
    if wait == Millis::ZERO {
        return refusal;
    }
    refusal.with_retry(wait.min(MAX_RETRY_AFTER))
}

fn update_mean(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    } else {
        *mean += (value - *mean) * MEAN_SMOOTHING;
    }
}
