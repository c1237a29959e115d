use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use godwitspool_request::{Refusal, Repeat, Ticket};
use godwitspool_types::{Millis, RequestId, ServiceName, TargetName, Workspace};

use super::{Admitted, Arrival, may_begin};
use crate::{
    dialect::{Call, ForwardContext, Reply},
    http::{COVERED_BYTES, CallError, Caller, Exchange, Progress, Request, Response, wait},
    lease_clock,
    process::{Admission, RETRY_AFTER_END, Shared, SuspectRun, TargetStart, unix_ms},
    version::{
        Basis, CHOICE_LIFETIME, Departure, Fingerprint, Outcome, Payload, Route, RouteKind,
        Standing, TargetEntry,
    },
};

/// Part of the time until the caller's deadline that is reserved for delivering the response.
const DELIVERY_RESERVE: Duration = Duration::from_millis(15);
/// Timeout of a request if neither its route nor its caller sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum time that a request waits for newer entries of targets, if the known ones are too old to
/// choose by.
const MAX_ENTRY_WAIT: Duration = Duration::from_millis(300);
/// Interval at which it looks for them.
const ENTRY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Fraction of the route's latency goal after which an idempotent request without a response is
/// hedged, so that the second target can still respond within the goal.
const HEDGE_GOAL_FRACTION: f64 = 0.4;
/// Hedge delay on routes without a latency goal. A dropped attempt older than this counts as slow.
const HEDGE_DELAY: Duration = Duration::from_millis(100);
/// Number of hedge delays after which a late response counts as a target that may hang. The rest of the
/// caller's time must be enough for another target.
const HANG_FACTOR: u32 = 3;
/// Time after which a connection attempt is abandoned and another target is tried. It allows for
/// several round trips between close data centres; [`Trips`](crate::version::Trips) has longer ones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);
/// Retry delay sent to the caller after all targets refused or failed. By then, a target's pause
/// after a refusal has ended, or its replacement has started.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(150);
/// Retry delay sent to the caller if no target of its service is available.
const RETRY_AFTER_NO_TARGET: Duration = Duration::from_millis(500);
/// Maximum time that a suspected request waits until it may run on trial: several calls to the store, or
/// the duration of another copy.
const TRIAL_PATIENCE: Duration = Duration::from_millis(300);
/// Expected duration of a request on a route without a latency goal, before one was observed.
const DEFAULT_DURATION: Duration = Duration::from_millis(500);

/// Time after the end of a request's window after which it is counted if it is still in flight. The
/// window is reported soon after. A target that refuses a request rarely takes as long.
const COUNT_DELAY_MS: u64 = 1_000;

/// Outcome of a request, for logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// A response with this status was sent to the caller.
    Answered(u16),
    /// The caller disconnected.
    CallerLeft,
    /// The request was refused and has not run; the caller may retry it.
    Refused,
    /// The same, because the process ends before the request could be finished.
    RefusedAtEnd,
    /// The request timed out, its outcome is unknown, or its stream was cut off. The value is the
    /// status sent to the caller, 0 for a stream.
    Failed(u16),
}

/// A request while it is forwarded to targets.
struct Forward<'a> {
    shared: &'a Shared,
    route: &'a Route,
    /// The request without its body.
    request: &'a Request,
    /// Its body, which all attempts share.
    body: Arc<Vec<u8>>,
    call: &'a Call,
    workspace: Option<&'a Workspace>,
    /// Urgency; 0 is the most urgent.
    priority: u32,
    service: ServiceName,
    /// Place among the requests that may be sent to the service's targets.
    admitted: Option<Admitted<'a>>,
    /// How long the request waited for a target with room, if it did.
    waited: Option<Duration>,
    /// Why the queue refused the request.
    queue_refusal: Option<Refusal>,
    arrived: Instant,
    /// When the request times out.
    due: Instant,
    in_flight: Vec<Attempt<'a>>,
    tried: Vec<TargetName>,
    /// Number of finished attempts whose target may have started to process the request.
    started: u32,
    /// Unix time at which a target may first have started to process it; decides the usage window.
    started_ms: Option<u64>,
    /// Whether the request has been counted for the usage report.
    counted: bool,
    /// Age of the targets' entries at the last choice, in milliseconds.
    entries_ms: Option<u64>,
    /// Claim of the request's trial, if it is on trial.
    trial: Option<u64>,
    /// How long the request is withheld from targets, if it is suspected of ending them.
    withheld: Option<Duration>,
    /// Whether no further target was tried because the process ends too soon.
    ends_first: bool,
    /// Number of hedge delays after which a sent attempt counts as stalled: 1, or [`HANG_FACTOR`] once
    /// a hedge was denied.
    hedge_delays: u32,
    /// Whether a repeat has been taken from the budgets and not been sent.
    repeat_taken: bool,
    /// A server error from a target, returned to the caller if no later attempt succeeds.
    fallback: Option<Response>,
}

/// The target that was chosen for an attempt.
struct Chosen {
    entry: TargetEntry,
    /// Whether the service has other sound targets; only looked up for suspected requests.
    others: bool,
    /// Why the request leaves the data centre, and the time that it saves, in milliseconds.
    departure: Option<(Departure, f64)>,
}

/// An attempt at one target.
struct Attempt<'a> {
    target: TargetName,
    /// Start of the target.
    born: u64,
    address: SocketAddr,
    exchange: Exchange,
    began: Instant,
    /// Time after which the attempt is abandoned if it has sent nothing.
    connect_timeout: Duration,
    /// Whether the attempt took so long that another one has been allowed.
    stalled: bool,
    /// Whether the attempt repeats one that another target may be running.
    repeat: bool,
    /// Mark of the target while a suspected request runs there.
    _suspect: Option<SuspectRun<'a>>,
}

/// Sends a request to targets of its route's service until one responds, and passes the response to
/// the caller. While no target has room, the request waits according to its `priority`, 0 being the most
/// urgent, and to what its workspace has been served.
///
/// # Errors
///
/// Fails if the caller has disconnected or `poll` fails.
pub fn forward(
    shared: &Shared,
    route: &Route,
    mut request: Request,
    call: &Call,
    workspace: Option<&Workspace>,
    priority: u32,
    caller: &mut Caller,
) -> io::Result<Ended> {
    let arrived = Instant::now();
    let body = Arc::new(std::mem::take(&mut request.body));
    let bounds = [
        call.deadline
            .map(|left| left.saturating_sub(DELIVERY_RESERVE)),
        route.timeout,
    ];
    let bound = bounds
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(DEFAULT_TIMEOUT);
    let Some(service) = route.service(rand::random()).cloned() else {
        caller.respond(&shared.dialect.refusal(RETRY_AFTER_NO_TARGET))?;
        return Ok(Ended::Refused);
    };
    let mut forward = Forward {
        shared,
        route,
        request: &request,
        body,
        call,
        workspace,
        priority,
        service,
        admitted: None,
        waited: None,
        queue_refusal: None,
        arrived,
        due: arrived + bound,
        in_flight: Vec::new(),
        tried: Vec::new(),
        started: 0,
        started_ms: None,
        counted: false,
        entries_ms: None,
        ends_first: false,
        trial: None,
        withheld: None,
        hedge_delays: 1,
        repeat_taken: false,
        fallback: None,
    };
    let ended = forward.run(caller);
    forward.abandon_attempts();
    if forward.repeat_taken {
        let workspace = forward.charged();
        shared.repeats.refund(&forward.service, &workspace);
    }
    if let Some(claim) = forward.trial.take() {
        shared.suspicion.end_trial(forward.fingerprint(), claim);
    }
    if let Some(mut admitted) = forward.admitted.take() {
        admitted.ran = forward.started > 0;
    }
    if forward.started > 0 {
        shared.observe_duration(&route.name, arrived.elapsed());
    }
    if !matches!(ended, Ok(Ended::Answered(200))) {
        let left_ms = forward
            .due()
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        log::info!(
            request = call.request(), route = route.name, service:% = forward.service,
            tried:? = forward.tried, begun = forward.started, withheld:? = forward.withheld,
            entries_ms = forward.entries_ms, waited_ms = forward.waited.map(as_ms),
            queue:? = forward.queue_refusal.map(|refusal| refusal.reason.code()),
            workspace:? = workspace, priority,
            took_ms = forward.arrived.elapsed().as_millis() as u64, left_ms, ended:?;
            "request not served"
        );
    }
    forward.count_usage();
    ended
}

impl Forward<'_> {
    fn run(&mut self, caller: &mut Caller) -> io::Result<Ended> {
        if let Some(ended) = self.enter_queue(caller)? {
            return Ok(ended);
        }
        let repeatable = self.route.kind == RouteKind::Idempotent;
        let wait_until = self.due().min(Instant::now() + MAX_ENTRY_WAIT);
        loop {
            if self.in_flight.is_empty() && !self.start_attempt(repeatable) {
                let stale = self.shared.fleet().basis() == Basis::Stale;
                if stale && self.withheld.is_none() && Instant::now() < wait_until {
                    if wait(&[caller.socket()], Some(ENTRY_POLL_INTERVAL))?[0].hangup {
                        return Ok(Ended::CallerLeft);
                    }
                    continue;
                }
                return self.respond_unserved(caller);
            }
            // The response may have arrived while the request was being sent.
            if self.route.kind == RouteKind::Stream {
                if let Some(ended) = self.advance_stream(caller)? {
                    return Ok(ended);
                }
            } else if let Some(answer) = self.advance() {
                caller.respond(&answer)?;
                return Ok(Ended::Answered(answer.status));
            }
            let held: usize = self
                .in_flight
                .iter()
                .map(|attempt| attempt.exchange.held())
                .sum();
            if held > COVERED_BYTES && !caller.hold(self.body.capacity() + held) {
                log::info!(request = self.call.request(), held; "no memory for a response");
                caller.respond(&Response::new(502, Vec::new()))?;
                return Ok(Ended::Failed(502));
            }
            if self.in_flight.is_empty() {
                continue;
            }
            let now = Instant::now();
            if now >= self.due() {
                return self.respond_timeout(caller);
            }
            let stall = self.stall_deadline(repeatable);
            if stall.is_some_and(|at| now >= at) {
                if self.is_hedge_denied(repeatable) {
                    self.hedge_delays = HANG_FACTOR;
                    continue;
                }
                self.mark_stalled();
                self.start_attempt(repeatable);
                continue;
            }
            let due = self.due();
            let until = stall.map_or(due, |at| at.min(due));
            let counted_in = self.count_delay();
            if counted_in.is_some_and(|left| left.is_zero()) {
                self.count_usage();
                continue;
            }
            let until = counted_in.map_or(until, |left| until.min(now + left));
            let mut sockets = vec![caller.socket()];
            // The drain may end before the request's own deadline.
            sockets.extend(self.shared.ending.socket());
            sockets.extend(
                self.in_flight
                    .iter()
                    .map(|attempt| attempt.exchange.socket()),
            );
            let ready = wait(&sockets, Some(until.saturating_duration_since(now)))?;
            if ready[0].hangup {
                return Ok(Ended::CallerLeft);
            }
        }
    }

    /// Waits until a target has room for the request. Returns how the request ended if it may not be sent
    /// to any target.
    fn enter_queue(&mut self, caller: &mut Caller) -> io::Result<Option<Ended>> {
        let left = self.due().saturating_duration_since(Instant::now());
        let ticket = Ticket {
            deadline: self.shared.clock.now() + left.into(),
            rank: self.priority,
            request: RequestId::random(),
            share: 1,
            workspace: self.charged(),
        };
        let shared = self.shared;
        let mut waiting = match shared.queues.arrive(shared, &self.service, ticket) {
            Arrival::Started(admitted) => {
                self.admitted = Some(admitted);
                return Ok(None);
            }
            Arrival::Refused(refusal) => return self.respond_refused(caller, refusal).map(Some),
            Arrival::Waiting(waiting) => waiting,
        };
        loop {
            let decision = waiting.decision();
            self.waited = Some(waiting.waited());
            match decision {
                Some(Ok(admitted)) => {
                    log::info!(
                        request = self.call.request(), service:% = self.service, workspace:? = self.workspace,
                        priority = self.priority, waited_ms = self.waited.map(as_ms);
                        "request waited for a target"
                    );
                    self.admitted = Some(admitted);
                    return Ok(None);
                }
                Some(Err(refusal)) => return self.respond_refused(caller, refusal).map(Some),
                None => {}
            }
            let last_answer = shared.ending.last_answer();
            self.ends_first = !may_begin(
                Instant::now(),
                last_answer,
                self.due,
                self.expected_duration(),
            );
            if self.ends_first {
                return self.respond_unserved(caller).map(Some);
            }
            let mut sockets = vec![caller.socket(), waiting.socket()];
            sockets.extend(shared.ending.socket());
            if wait(&sockets, Some(waiting.interval()))?[0].hangup {
                return Ok(Some(Ended::CallerLeft));
            }
        }
    }

    fn respond_refused(&mut self, caller: &mut Caller, refusal: Refusal) -> io::Result<Ended> {
        self.queue_refusal = Some(refusal);
        let retry_after = refusal.retry_after.unwrap_or_default().duration();
        caller.respond(&self.shared.dialect.refusal(retry_after))?;
        Ok(Ended::Refused)
    }

    /// Returns how long a request of the route is expected to take.
    fn expected_duration(&self) -> Duration {
        let expected = self.shared.expected_duration(&self.route.name);
        expected.or(self.route.goal).unwrap_or(DEFAULT_DURATION)
    }

    /// Returns when the newest attempt counts as stalled and another target is tried, if ever. An
    /// attempt that has sent nothing stalls after the connect timeout; a sent one only if the
    /// request may be repeated, after the hedge delay.
    fn stall_deadline(&self, repeatable: bool) -> Option<Instant> {
        let newest = self.in_flight.last().filter(|newest| !newest.stalled)?;
        if !newest.exchange.was_sent() {
            return Some(newest.began + newest.connect_timeout);
        }
        let goal = self
            .route
            .goal
            .map(|goal| goal.mul_f64(HEDGE_GOAL_FRACTION));
        let delay = goal.unwrap_or(HEDGE_DELAY) * self.hedge_delays;
        (repeatable && newest.exchange.head().is_none()).then(|| newest.began + delay)
    }

    /// Takes a hedge from the budgets if the newest attempt was sent. Returns whether that was denied:
    /// the budget is used up, or requests wait for room at the service's targets.
    fn is_hedge_denied(&mut self, repeatable: bool) -> bool {
        let newest = self.in_flight.last();
        let sent = newest.is_some_and(|newest| newest.exchange.was_sent());
        let hangs = self.hedge_delays > 1;
        if !sent || hangs || self.repeat_taken || !self.may_send(repeatable) {
            return false;
        }
        let crowded = self.shared.queues.is_waiting(&self.service);
        crowded || !self.take_repeat(Repeat::Hedge)
    }

    /// Takes a repeat from the budgets if none is taken yet. Returns false if the budgets don't allow it.
    fn take_repeat(&mut self, repeat: Repeat) -> bool {
        if !self.repeat_taken {
            let workspace = self.charged();
            let repeats = &self.shared.repeats;
            self.repeat_taken = repeats.take(&self.service, &workspace, repeat);
        }
        self.repeat_taken
    }

    /// Returns the number of attempts whose target may have started to process the request.
    fn count_started(&self) -> u32 {
        let sent = self
            .in_flight
            .iter()
            .filter(|attempt| attempt.exchange.was_sent())
            .count();
        self.started + sent as u32
    }

    /// Returns whether the request may be sent to a further target, as far as its route is concerned.
    fn may_send(&self, repeatable: bool) -> bool {
        let started = self.count_started();
        started == 0 || (repeatable && started < self.route.attempts.max(1))
    }

    /// Returns the workspace to which the request is charged.
    fn charged(&self) -> Workspace {
        self.workspace.cloned().unwrap_or_default()
    }

    /// Marks the attempts in flight as stalled. Those that have sent nothing are closed, so that
    /// they can't run later.
    fn mark_stalled(&mut self) {
        let mut pending = Vec::with_capacity(self.in_flight.len());
        for mut attempt in std::mem::take(&mut self.in_flight) {
            if attempt.exchange.was_sent() {
                attempt.stalled = true;
                pending.push(attempt);
            } else {
                log::info!(request = self.call.request(), target_name:% = attempt.target; "connecting to a target timed out");
                self.repeat_taken |= attempt.repeat;
                self.record_outcome(&attempt, Outcome::Failed);
            }
        }
        self.in_flight = pending;
    }

    /// Sends the request to another target. Returns false if no target is left, or if the request
    /// may not be repeated or has used up its attempts.
    fn start_attempt(&mut self, repeatable: bool) -> bool {
        let expected = self.expected_duration();
        loop {
            let last_answer = self.shared.ending.last_answer();
            self.ends_first = !may_begin(Instant::now(), last_answer, self.due, expected);
            if self.ends_first {
                return false;
            }
            if !self.may_send(repeatable) {
                return false;
            }
            let standing = self.shared.suspicion.standing(|| self.fingerprint());
            if standing != Standing::Clear && !self.in_flight.is_empty() {
                return false;
            }
            let now = self.shared.clock.now();
            let Some(chosen) = self.choose(standing, now) else {
                return false;
            };
            let Chosen {
                entry,
                others,
                departure,
            } = chosen;
            if standing != Standing::Clear {
                if !self.admit(&entry.name, others) {
                    return false;
                }
                if self.shared.clock.now() - now > CHOICE_LIFETIME {
                    continue;
                }
            }
            if self.count_started() > 0 && !self.take_repeat(Repeat::Retry) {
                return false;
            }
            if !self.shared.fleet().take_permit(&entry.name, now) {
                self.shared.permits.acquire(self.shared, &entry.name);
                continue;
            }
            let suspected = standing != Standing::Clear;
            if self.start_attempt_at(entry, departure, suspected, now) {
                return true;
            }
        }
    }

    /// Sends the request to a target for which it has a permit if one is needed. Returns false if the
    /// target can't be connected to.
    fn start_attempt_at(
        &mut self,
        entry: TargetEntry,
        departure: Option<(Departure, f64)>,
        suspected: bool,
        now: Millis,
    ) -> bool {
        let TargetEntry {
            name: target,
            address,
            born,
            dc,
            ..
        } = entry;
        self.tried.push(target.clone());
        let mut fleet = self.shared.fleet();
        self.entries_ms = self.shared.observe_entry_age(&fleet);
        fleet.start_request(&target);
        let home = &self.shared.settings.dc;
        let connect_timeout = fleet.trips.connect_timeout(home, &dc, CONNECT_TIMEOUT);
        drop(fleet);
        if let Some(admitted) = &mut self.admitted {
            admitted.record_sent();
        }
        if let Some((reason, saved_ms)) = departure {
            self.shared.count_departure(reason, saved_ms);
        }
        let suspect = suspected.then(|| self.shared.suspicion.start_run(&target));
        let context = ForwardContext {
            target: &target,
            workspace: self.workspace,
            remaining: Some(self.due().saturating_duration_since(Instant::now())),
            resume_after: None,
            version: None,
        };
        let request = self.shared.dialect.forward_request(self.request, &context);
        match self.shared.request_pool.connect(address) {
            Ok(connection) => {
                let body = Arc::clone(&self.body);
                let mut exchange = Exchange::with_body(connection, &request, body)
                    .begin_by(lease_clock() + CHOICE_LIFETIME);
                // On a pooled connection this sends the request immediately.
                let failed = exchange.advance().is_err();
                if failed && !exchange.was_sent() {
                    self.shared
                        .fleet()
                        .finish_request(&target, Outcome::Failed, now);
                    return false;
                }
                self.in_flight.push(Attempt {
                    target,
                    born,
                    address,
                    exchange,
                    began: Instant::now(),
                    connect_timeout,
                    stalled: false,
                    repeat: std::mem::take(&mut self.repeat_taken),
                    _suspect: suspect,
                });
                self.record_start();
                true
            }
            Err(error) => {
                log::info!(request = self.call.request(), target_name:% = target, error:%; "can't connect to a target");
                self.shared
                    .fleet()
                    .finish_request(&target, Outcome::Failed, now);
                false
            }
        }
    }

    /// Chooses the target of the next attempt, if possible apart from suspected requests.
    fn choose(&self, standing: Standing, now: Millis) -> Option<Chosen> {
        let (service, dc) = (&self.service, &self.shared.settings.dc);
        let avoided = self.shared.suspicion.avoided(standing);
        let mut fleet = self.shared.fleet();
        self.shared.update_spill(&mut fleet, service);
        let payload = Payload {
            bytes_out: self.request.body.len() as f64,
            ..fleet.trips.mean_payload(service)
        };
        let apart = (!avoided.is_empty())
            .then(|| [&self.tried[..], &avoided[..]].concat())
            .and_then(|left_out| fleet.choose_for(service, dc, &left_out, &payload, now));
        let chosen = apart.or_else(|| fleet.choose_for(service, dc, &self.tried, &payload, now))?;
        let others = standing != Standing::Clear
            && fleet.has_sound_besides(service, &chosen.target.entry.name, now);
        Some(Chosen {
            entry: chosen.target.entry.clone(),
            others,
            departure: chosen.departure,
        })
    }

    /// Returns whether the request, which is suspected, may run on a target now. Waits for its trial.
    fn admit(&mut self, target: &TargetName, others: bool) -> bool {
        let patience = self.due().min(Instant::now() + TRIAL_PATIENCE);
        let print = self.fingerprint();
        let suspicion = &self.shared.suspicion;
        match suspicion.admit(print, self.trial, target, others, self.due(), patience) {
            Admission::Free | Admission::Watched => true,
            Admission::Trial(claim) => {
                self.trial = Some(claim);
                true
            }
            Admission::Withheld(retry) => {
                self.withheld = Some(retry);
                false
            }
        }
    }

    /// Sets the start time as soon as any attempt has sent a byte.
    fn record_start(&mut self) {
        let sent = self
            .in_flight
            .iter()
            .filter(|attempt| attempt.exchange.was_sent())
            .count();
        if sent > 0 {
            self.started_ms.get_or_insert_with(unix_ms);
        }
    }

    /// Advances the attempts in flight. Returns the response for the caller once there is one.
    fn advance(&mut self) -> Option<Response> {
        let mut pending = Vec::with_capacity(self.in_flight.len());
        let mut answer = None;
        for mut attempt in std::mem::take(&mut self.in_flight) {
            if answer.is_some() {
                pending.push(attempt);
                continue;
            }
            if self.shared.is_withheld(&attempt.target, &attempt.exchange) {
                self.record_outcome(&attempt, Outcome::Dropped);
                continue;
            }
            let mut progress = attempt.exchange.advance();
            // A duplicate response to an earlier request may precede the one to this request.
            if matches!(progress, Ok(Progress::Done))
                && !self.is_own_response(&attempt)
                && attempt.exchange.skip_response()
            {
                log::warn!(request = self.call.request(), target_name:% = attempt.target; "response to another request discarded");
                progress = attempt.exchange.advance();
            }
            match progress {
                Ok(Progress::Pending) => pending.push(attempt),
                Ok(Progress::Done) => answer = self.take_response(attempt),
                Err(error) => {
                    if error.was_sent() {
                        self.started += 1;
                        self.started_ms.get_or_insert_with(unix_ms);
                    } else {
                        self.repeat_taken |= attempt.repeat;
                    }
                    self.record_failure(&attempt, &error);
                }
            }
        }
        self.in_flight = pending;
        self.record_start();
        answer
    }

    /// Returns whether the response of an attempt carries this request's identifier.
    fn is_own_response(&self, attempt: &Attempt) -> bool {
        let head = attempt.exchange.head();
        head.is_some_and(|head| self.shared.dialect.reply(head).id == self.call.id)
    }

    /// Records the outcome of an attempt with a complete response. Returns the response unless it
    /// belongs to another request, is successful but unsigned, is a refusal, or is a server error
    /// after which another attempt is allowed.
    fn take_response(&mut self, attempt: Attempt) -> Option<Response> {
        let took = attempt.began.elapsed().as_secs_f64() * 1_000.0;
        let reply = attempt
            .exchange
            .head()
            .map(|head| self.shared.dialect.reply(head));
        let reply: Reply = reply.unwrap_or_default();
        self.shared
            .observe_reply(&attempt.target, attempt.born, &reply, "request");
        if reply.id != self.call.id {
            log::warn!(request = self.call.request(), target_name:% = attempt.target, answered:? = reply.id; "response belongs to another request");
            self.started += 1;
            self.record_outcome(&attempt, Outcome::Failed);
            return None;
        }
        let status = attempt.exchange.head().map_or(0, |head| head.status);
        if (200..300).contains(&status) && reply.signature.is_none() {
            log::warn!(request = self.call.request(), target_name:% = attempt.target, status; "successful response without a signature");
            self.started += 1;
            self.record_outcome(&attempt, Outcome::Failed);
            return None;
        }
        let refused = reply.not_run || status == 421;
        self.record_outcome(
            &attempt,
            if refused {
                Outcome::Refused
            } else {
                Outcome::Answered(took)
            },
        );
        let repeat = attempt.repeat;
        let received = attempt.exchange.head().map_or(0, |head| head.body.len());
        let sizes = (self.body.len(), received);
        self.shared.observe_exchange(
            &attempt.target,
            &attempt.exchange,
            (!refused).then_some(sizes),
        );
        let (response, connection) = attempt.exchange.finish();
        if let Some(connection) = connection {
            self.shared.request_pool.put(attempt.address, connection);
        }
        if refused {
            log::info!(request = self.call.request(), target_name:% = attempt.target, status; "target refused");
            self.repeat_taken |= repeat;
            return None;
        }
        self.started += 1;
        self.started_ms.get_or_insert_with(unix_ms);
        self.record_answer();
        if status < 500 {
            self.record_success(repeat);
        }
        let response = without_hop_by_hop(response);
        let repeatable = self.route.kind == RouteKind::Idempotent;
        if status >= 500 && repeatable && self.started < self.route.attempts.max(1) {
            self.fallback = Some(response);
            return None;
        }
        Some(response)
    }

    /// Advances the newest attempt of a streaming request. Once its response head has arrived,
    /// relays the stream to the caller until it ends.
    fn advance_stream(&mut self, caller: &mut Caller) -> io::Result<Option<Ended>> {
        let Some(mut attempt) = self.in_flight.pop() else {
            return Ok(None);
        };
        if self.shared.is_withheld(&attempt.target, &attempt.exchange) {
            self.record_outcome(&attempt, Outcome::Dropped);
            return Ok(None);
        }
        // With a head, `relay_stream` gets an error of this call once more, behind the bytes before it.
        let progress = attempt.exchange.advance();
        let Some(head) = attempt.exchange.head() else {
            if let Err(error) = progress {
                self.started += u32::from(error.was_sent());
                self.record_failure(&attempt, &error);
            } else {
                self.in_flight.push(attempt);
            }
            return Ok(None);
        };
        let (status, reply) = (head.status, self.shared.dialect.reply(head));
        if reply.id != self.call.id || reply.not_run || status != 200 {
            self.in_flight.push(attempt);
            let Some(answer) = self.advance() else {
                return Ok(None);
            };
            caller.respond(&answer)?;
            return Ok(Some(Ended::Answered(answer.status)));
        }
        self.shared
            .observe_reply(&attempt.target, attempt.born, &reply, "stream");
        if reply.signature.is_none() {
            log::warn!(request = self.call.request(), target_name:% = attempt.target; "stream without a signature");
            self.started += 1;
            self.started_ms.get_or_insert_with(unix_ms);
            self.record_outcome(&attempt, Outcome::Failed);
            return Ok(None);
        }
        let head = without_hop_by_hop(head.clone());
        self.started += 1;
        self.started_ms.get_or_insert_with(unix_ms);
        // The stream may last longer than its window can be reported.
        self.count_usage();
        caller.begin(&head)?;
        let mut received = 0;
        let ended = self.relay_stream(caller, &mut attempt, &mut received);
        let sizes = (self.request.body.len(), received);
        self.shared
            .observe_exchange(&attempt.target, &attempt.exchange, Some(sizes));
        let whole = matches!(ended, Ok(Ended::Answered(_)));
        let outcome = if whole {
            Outcome::Answered(attempt.began.elapsed().as_secs_f64() * 1_000.0)
        } else {
            Outcome::Dropped
        };
        self.record_outcome(&attempt, outcome);
        if whole {
            self.record_answer();
            self.record_success(attempt.repeat);
            caller.end()?;
            let connection = attempt.exchange.finish().1;
            if let Some(connection) = connection {
                self.shared.request_pool.put(attempt.address, connection);
            }
        } else {
            // Closing the connection without the last chunk shows the caller that the stream is
            // incomplete.
            caller.close = true;
        }
        ended.map(Some)
    }

    /// Relays the chunks of a stream as they arrive, and adds their sizes to `received`.
    fn relay_stream(
        &mut self,
        caller: &mut Caller,
        attempt: &mut Attempt,
        received: &mut usize,
    ) -> io::Result<Ended> {
        loop {
            let progress = attempt.exchange.advance();
            let chunk = attempt.exchange.take_body();
            *received += chunk.len();
            caller.chunk(&chunk)?;
            match progress {
                Ok(Progress::Done) => return Ok(Ended::Answered(200)),
                Ok(Progress::Pending) => {}
                Err(error) => {
                    log::info!(request = self.call.request(), target_name:% = attempt.target, error:%; "stream broke off");
                    if error.was_closed() {
                        self.record_break(attempt);
                    }
                    return Ok(Ended::Failed(0));
                }
            }
            let left = self.due().saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(Ended::Failed(0));
            }
            let mut sockets = vec![caller.socket(), attempt.exchange.socket()];
            sockets.extend(self.shared.ending.socket());
            if wait(&sockets, Some(left))?[0].hangup {
                return Ok(Ended::CallerLeft);
            }
        }
    }

    /// Returns how long it takes until the request is counted although no response has come; `None` if
    /// it is counted or isn't billed.
    fn count_delay(&self) -> Option<Duration> {
        let started = self.started_ms.filter(|_| !self.counted)?;
        self.workspace?;
        let usage = &self.shared.usage;
        let due_ms = usage.end_ms(usage.window(started)) + COUNT_DELAY_MS;
        Some(Duration::from_millis(due_ms.saturating_sub(unix_ms())))
    }

    /// Counts the request in the window in which it started, once.
    fn count_usage(&mut self) {
        if let (Some(workspace), Some(started), false) =
            (self.workspace, self.started_ms, self.counted)
        {
            self.counted = true;
            self.shared.usage.count(workspace, started);
        }
    }

    /// Returns when the request must be answered: at its deadline, or before the process ends.
    fn due(&self) -> Instant {
        let last_answer = self.shared.ending.last_answer();
        last_answer.map_or(self.due, |last| last.min(self.due))
    }

    /// Records that an attempt ended without a complete response.
    fn record_failure(&mut self, attempt: &Attempt, error: &CallError) {
        let closed = error.was_closed();
        let fingerprint = closed.then(|| self.fingerprint().to_string());
        log::info!(
            request = self.call.request(), target_name:% = attempt.target, error:%, fingerprint;
            "try failed"
        );
        if closed {
            self.record_break(attempt);
        }
        self.record_outcome(attempt, Outcome::Failed);
    }

    /// Records that the connection of an attempt broke off while the target had the request.
    fn record_break(&mut self, attempt: &Attempt) {
        let target = TargetStart {
            name: attempt.target.clone(),
            born: attempt.born,
            address: attempt.address,
        };
        let print = self.fingerprint();
        let trial = self.trial.take();
        self.shared.suspicion.record_break(target, print, trial);
    }

    /// Records that a target has answered the request, so that it doesn't end its targets.
    fn record_answer(&mut self) {
        self.trial = None;
        self.shared.suspicion.record_answer(|| self.fingerprint());
    }

    /// Records that the request was served, which earns budget for repeats.
    fn record_success(&self, repeated: bool) {
        let now = self.shared.clock.now();
        let workspace = self.charged();
        self.shared
            .repeats
            .succeed(&self.service, &workspace, repeated, now);
    }

    fn fingerprint(&self) -> Fingerprint {
        let Request { method, target, .. } = self.request;
        Fingerprint::new(self.workspace, method, &self.call.host, target, &self.body)
    }

    fn record_outcome(&self, attempt: &Attempt, outcome: Outcome) {
        let now = self.shared.clock.now();
        self.shared
            .fleet()
            .finish_request(&attempt.target, outcome, now);
    }

    /// Responds when the request can't be sent to any further target.
    fn respond_unserved(&mut self, caller: &mut Caller) -> io::Result<Ended> {
        if let Some(answer) = self.fallback.take() {
            caller.respond(&answer)?;
            return Ok(Ended::Answered(answer.status));
        }
        if self.started > 0 {
            caller.respond(&Response::new(502, Vec::new()))?;
            return Ok(Ended::Failed(502));
        }
        if self.ends_first {
            caller.respond(&self.shared.dialect.refusal(RETRY_AFTER_END))?;
            return Ok(Ended::RefusedAtEnd);
        }
        let now = self.shared.clock.now();
        let fleet = self.shared.fleet();
        let limited = fleet.opens_in(&self.service, now);
        let is_evacuated = fleet.is_service_evacuated(&self.service);
        drop(fleet);
        if is_evacuated {
            self.shared.places.evacuations.count("request refused");
        }
        let retry_after = match limited {
            _ if self.withheld.is_some() => self.withheld.unwrap_or_default(),
            _ if !self.tried.is_empty() => RETRY_AFTER_FULL,
            Some(opens_in) => opens_in.duration().max(RETRY_AFTER_FULL),
            None => RETRY_AFTER_NO_TARGET,
        };
        caller.respond(&self.shared.dialect.refusal(retry_after))?;
        Ok(Ended::Refused)
    }

    /// Responds when the request has timed out. If nothing was sent to a target, the caller may
    /// retry.
    fn respond_timeout(&mut self, caller: &mut Caller) -> io::Result<Ended> {
        let sent = self
            .in_flight
            .iter()
            .any(|attempt| attempt.exchange.was_sent());
        if self.started == 0 && !sent {
            return self.respond_unserved(caller);
        }
        let status = 504;
        caller.respond(&Response::new(status, Vec::new()))?;
        Ok(Ended::Failed(status))
    }

    /// Drops the attempts still in flight and records their outcomes, so that slow targets are
    /// chosen less often.
    fn abandon_attempts(&mut self) {
        let now: Millis = self.shared.clock.now();
        for attempt in self.in_flight.drain(..) {
            self.started += u32::from(attempt.exchange.was_sent());
            let slow = attempt.stalled || attempt.began.elapsed() > HEDGE_DELAY;
            let outcome = if slow && !attempt.exchange.was_sent() {
                Outcome::Failed
            } else if slow {
                Outcome::Answered(attempt.began.elapsed().as_secs_f64() * 1_000.0)
            } else {
                Outcome::Dropped
            };
            self.shared
                .fleet()
                .finish_request(&attempt.target, outcome, now);
        }
    }
}

fn as_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Returns a target's response without its hop-by-hop fields.
fn without_hop_by_hop(mut response: Response) -> Response {
    response.headers.remove_hop_by_hop();
    response
}
