use std::{
    collections::HashMap,
    fmt,
    os::fd::BorrowedFd,
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use godwitspool_process::{CounterByReason, Histogram, Metrics};
use godwitspool_request::{Admission, AdmissionAction, AdmissionEvent, Reason, Refusal, Ticket};
use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::{Millis, RequestId, ServiceName, Workspace};

use crate::{
    http::{Interest, Waker},
    process::Shared,
};

/// Interval at which a waiting request looks whether a target has room. It covers what isn't told to
/// the queue: new targets, ends of pauses and reports of other hosts.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest delay that a refused caller is told: the pause of a target that has refused a request.
const MIN_RETRY_AFTER: Millis = Millis(150);

/// The queues of callers' requests in front of the targets, one for each service.
///
/// A request waits only if no target of its service has room, as far as this host knows. Which one
/// starts next and which one is refused is decided by [`Admission`].
pub struct Queues {
    /// Held while the room at the targets is read. Otherwise two threads could start requests for the
    /// same room.
    services: Mutex<HashMap<ServiceName, Queue>>,
    /// Number of requests that waited or were refused, by what became of them.
    outcomes: CounterByReason,
    /// Times in the queue in seconds, of requests that waited.
    seconds: Histogram,
}

impl fmt::Debug for Queues {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Queues").finish_non_exhaustive()
    }
}

/// The queue of one service.
#[derive(Default)]
struct Queue {
    admission: Admission,
    /// Number of requests that were started and haven't been sent to a target.
    pending: u32,
    /// When the queue was last advanced because of the time.
    ticked: Millis,
    waiters: HashMap<RequestId, Waiter>,
}

/// A request that waits.
struct Waiter {
    /// What was decided, until its thread has seen it.
    decision: Option<Result<(), Refusal>>,
    waker: Arc<Waker>,
}

/// What becomes of a request that arrives.
#[derive(Debug)]
pub enum Arrival<'a> {
    /// It is refused and has not run.
    Refused(Refusal),
    /// It may be sent to a target.
    Started(Admitted<'a>),
    /// It waits until a target has room.
    Waiting(Waiting<'a>),
}

/// A request that may be sent to targets. It holds a place until it is dropped.
pub struct Admitted<'a> {
    shared: &'a Shared,
    service: ServiceName,
    workspace: Workspace,
    began: Instant,
    /// Whether the request has been sent to a target.
    sent: bool,
    /// Whether a target may have run it.
    pub ran: bool,
}

impl fmt::Debug for Admitted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Admitted").finish_non_exhaustive()
    }
}

/// A request that waits. It is withdrawn when this is dropped.
pub struct Waiting<'a> {
    shared: &'a Shared,
    service: ServiceName,
    workspace: Workspace,
    request: RequestId,
    waker: Arc<Waker>,
    began: Instant,
    /// Whether the queue still holds the request.
    queued: bool,
}

impl fmt::Debug for Waiting<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Waiting").finish_non_exhaustive()
    }
}

impl Queues {
    /// Creates empty queues and registers their metrics.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            services: Mutex::default(),
            outcomes: metrics.counter_by_reason(
                "queued_requests",
                "Requests that waited for a target or were refused by the queue, by what became of them",
            ),
            seconds: metrics.seconds_histogram(
                "queue_seconds",
                "Times in the queue of requests that waited for a target",
            ),
        }
    }

    /// Handles a request that arrives.
    pub fn arrive<'a>(
        &self,
        shared: &'a Shared,
        service: &ServiceName,
        ticket: Ticket,
    ) -> Arrival<'a> {
        let (request, workspace) = (ticket.request, ticket.workspace.clone());
        let mut queues = self.lock();
        let queue = queue(&mut queues, service);
        let room = shared.fleet().room(service, shared.clock.now());
        let arrive = AdmissionEvent::Arrive(ticket);
        match queue.decide(arrive, Some(request), room, shared.clock.now()) {
            Some(Ok(())) => {
                drop(queues);
                Arrival::Started(Admitted::new(shared, service.clone(), workspace))
            }
            Some(Err(refusal)) => {
                self.outcomes.count(refusal.reason.code());
                Arrival::Refused(refusal)
            }
            None => match Waker::new() {
                Ok(waker) => {
                    let waker = Arc::new(waker);
                    let waiter = Waiter {
                        decision: None,
                        waker: Arc::clone(&waker),
                    };
                    queue.waiters.insert(request, waiter);
                    Arrival::Waiting(Waiting {
                        shared,
                        service: service.clone(),
                        workspace,
                        request,
                        waker,
                        began: Instant::now(),
                        queued: true,
                    })
                }
                Err(error) => {
                    log::warn!(error:%; "request can't wait for a target");
                    let withdraw = AdmissionEvent::Withdraw(request);
                    queue.decide(withdraw, None, room, shared.clock.now());
                    self.outcomes.count(Reason::QueueFull.code());
                    Arrival::Refused(delayed(Reason::QueueFull.into()))
                }
            },
        }
    }

    /// Returns whether requests wait for a target of a service.
    pub fn is_waiting(&self, service: &ServiceName) -> bool {
        let queues = self.lock();
        queues
            .get(service)
            .is_some_and(|queue| queue.admission.waiting() > 0)
    }

    /// Passes an event to the queue of a service.
    fn advance(&self, shared: &Shared, service: &ServiceName, event: AdmissionEvent) {
        let mut queues = self.lock();
        let queue = queue(&mut queues, service);
        // Without a waiting request nothing can start, and the room doesn't matter.
        let room = if queue.admission.waiting() > 0 {
            shared.fleet().room(service, shared.clock.now())
        } else {
            Some(0)
        };
        queue.decide(event, None, room, shared.clock.now());
    }

    /// Advances the queue of a service after some time has passed, for all its requests together.
    fn tick(&self, shared: &Shared, service: &ServiceName) {
        let now = shared.clock.now();
        let mut queues = self.lock();
        let queue = queue(&mut queues, service);
        let due = now - queue.ticked >= Millis::from(TICK_INTERVAL);
        if due {
            queue.ticked = now;
        }
        drop(queues);
        if due {
            self.advance(shared, service, AdmissionEvent::Tick);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, Queue>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn queue<'a>(queues: &'a mut HashMap<ServiceName, Queue>, service: &ServiceName) -> &'a mut Queue {
    if !queues.contains_key(service) {
        queues.insert(service.clone(), Queue::default());
    }
    queues.entry(service.clone()).or_default()
}

/// Returns a refusal with a delay of at least [`MIN_RETRY_AFTER`], spread over callers.
fn delayed(refusal: Refusal) -> Refusal {
    let after = refusal.retry_after.unwrap_or_default().max(MIN_RETRY_AFTER);
    refusal.with_retry(after).spread(rand::random())
}

impl Queue {
    /// Handles an event, and wakes the requests that it decides on. Returns what it decides on the
    /// request `arriving`, which has no waiter yet.
    fn decide(
        &mut self,
        event: AdmissionEvent,
        arriving: Option<RequestId>,
        room: Option<u32>,
        now: Millis,
    ) -> Option<Result<(), Refusal>> {
        let free = room.map_or(u32::MAX, |room| room.saturating_sub(self.pending));
        let mut decided = None;
        for action in self.admission.decide(event, free, now) {
            let (request, decision) = match action {
                AdmissionAction::Start(request) => {
                    self.pending += 1;
                    (request, Ok(()))
                }
                AdmissionAction::Refuse(request, refusal) => (request, Err(delayed(refusal))),
            };
            if Some(request) == arriving {
                decided = Some(decision);
            } else if let Some(waiter) = self.waiters.get_mut(&request) {
                waiter.decision = Some(decision);
                waiter.waker.wake();
            }
        }
        decided
    }
}

impl<'a> Admitted<'a> {
    fn new(shared: &'a Shared, service: ServiceName, workspace: Workspace) -> Self {
        Self {
            shared,
            service,
            workspace,
            began: Instant::now(),
            sent: false,
            ran: false,
        }
    }

    /// Records that the request is sent to a target, whose load counts it from now on.
    pub fn record_sent(&mut self) {
        if !self.sent {
            self.sent = true;
            let mut queues = self.shared.queues.lock();
            let queue = queue(&mut queues, &self.service);
            queue.pending = queue.pending.saturating_sub(1);
        }
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        self.record_sent();
        let held = self.ran.then(|| Millis::from(self.began.elapsed()));
        let done = AdmissionEvent::Done {
            held,
            workspace: self.workspace.clone(),
        };
        self.shared.queues.advance(self.shared, &self.service, done);
    }
}

impl<'a> Waiting<'a> {
    /// Returns how long the request has waited.
    pub fn waited(&self) -> Duration {
        self.began.elapsed()
    }

    /// Returns a socket that becomes readable when the request has been decided on.
    pub fn socket(&self) -> (BorrowedFd<'_>, Interest) {
        self.waker.socket()
    }

    /// Returns how long to wait for the socket until [`Self::decision`] is asked again.
    pub fn interval(&self) -> Duration {
        TICK_INTERVAL
    }

    /// Returns what was decided on the request, once.
    pub fn decision(&mut self) -> Option<Result<Admitted<'a>, Refusal>> {
        let queues = &self.shared.queues;
        queues.tick(self.shared, &self.service);
        let mut locked = queues.lock();
        let queue = queue(&mut locked, &self.service);
        let waiter = queue.waiters.get_mut(&self.request)?;
        let decision = waiter.decision.take()?;
        queue.waiters.remove(&self.request);
        drop(locked);
        self.queued = false;
        queues.seconds.observe(self.began.elapsed().as_secs_f64());
        Some(match decision {
            Ok(()) => {
                queues.outcomes.count("waited");
                let (service, workspace) = (self.service.clone(), self.workspace.clone());
                Ok(Admitted::new(self.shared, service, workspace))
            }
            Err(refusal) => {
                queues.outcomes.count(refusal.reason.code());
                Err(refusal)
            }
        })
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.queued {
            return;
        }
        let queues = &self.shared.queues;
        queues.outcomes.count("withdrawn");
        let mut locked = queues.lock();
        let waiter = queue(&mut locked, &self.service)
            .waiters
            .remove(&self.request);
        drop(locked);
        let started = waiter.is_some_and(|waiter| waiter.decision == Some(Ok(())));
        if started {
            drop(Admitted::new(
                self.shared,
                self.service.clone(),
                self.workspace.clone(),
            ));
        } else {
            let withdraw = AdmissionEvent::Withdraw(self.request);
            queues.advance(self.shared, &self.service, withdraw);
        }
    }
}
