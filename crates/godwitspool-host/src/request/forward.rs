use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use godwitspool_types::{Millis, ServiceName, TargetName, Workspace};

use crate::{
    dialect::{Call, ForwardContext, Reply},
    http::{Caller, Exchange, Progress, Request, Response, wait},
    process::{Shared, unix_ms},
    version::{Outcome, Route, RouteKind},
};

/// Time that an answer needs to reach the caller before its deadline.
const DELIVERY: Duration = Duration::from_millis(15);
/// Bound on a request whose route and caller state none.
const TIMEOUT_UNSTATED: Duration = Duration::from_mins(1);
/// Share of the goal after which an idempotent request that got no answer is sent to a second
/// target as well, so that the second still answers within the goal.
const HEDGE_SHARE: f64 = 0.4;
/// Hedge delay of routes without a goal.
const HEDGE_DELAY: Duration = Duration::from_millis(100);
/// A target that doesn't take a connection for so long is passed over; several round trips between
/// data centres.
const CONNECT_STALL: Duration = Duration::from_millis(40);
/// When a caller may come back after all targets refused or failed: a target's pause, or the start
/// of its successor, is over.
const AGAIN_FULL: Duration = Duration::from_millis(150);
/// When a caller may come back if no target of its service is known.
const AGAIN_NONE: Duration = Duration::from_millis(500);

/// How a request ended, for logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// A target's answer was passed on.
    Answered(u16),
    /// The caller left.
    CallerLeft,
    /// No target could take it; it has not run.
    Refused,
    /// The time ran out, or what came of it is unknown.
    Failed(u16),
}

/// A request on its way through targets.
struct Forward<'a> {
    shared: &'a Shared,
    route: &'a Route,
    request: &'a Request,
    call: &'a Call,
    workspace: Option<&'a Workspace>,
    service: ServiceName,
    arrived: Instant,
    due: Instant,
    tries: Vec<Try>,
    tried: Vec<TargetName>,
    /// Targets that may have begun to work on it.
    begun: u32,
    /// Time of day at which the first of them got it.
    begun_ms: Option<u64>,
    fallback: Option<Response>,
}

struct Try {
    target: TargetName,
    address: SocketAddr,
    exchange: Exchange,
    began: Instant,
    stalled: bool,
}

/// Sends a request to targets of its route's service until one answers.
///
/// # Errors
///
/// When the caller is gone, or the operating system refuses to wait.
pub fn forward(
    shared: &Shared,
    route: &Route,
    request: &Request,
    call: &Call,
    workspace: Option<&Workspace>,
    caller: &mut Caller,
) -> io::Result<Ended> {
    let arrived = Instant::now();
    let bounds = [
        call.deadline.map(|left| left.saturating_sub(DELIVERY)),
        route.timeout,
    ];
    let bound = bounds
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(TIMEOUT_UNSTATED);
    let Some(service) = route.service(rand::random()).cloned() else {
        caller.respond(&shared.dialect.refusal(AGAIN_NONE))?;
        return Ok(Ended::Refused);
    };
    let mut forward = Forward {
        shared,
        route,
        request,
        call,
        workspace,
        service,
        arrived,
        due: arrived + bound,
        tries: Vec::new(),
        tried: Vec::new(),
        begun: 0,
        begun_ms: None,
        fallback: None,
    };
    let ended = forward.run(caller);
    forward.drop_tries();
    if !matches!(ended, Ok(Ended::Answered(200))) {
        let left_ms = forward
            .due
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        log::info!(
            request = call.request(), route = route.name, service:% = forward.service,
            tried:? = forward.tried, begun = forward.begun,
            took_ms = forward.arrived.elapsed().as_millis() as u64, left_ms, ended:?;
            "request not served"
        );
    }
    if let (Some(workspace), Some(begun)) = (workspace, forward.begun_ms) {
        shared.usage.count(workspace, begun);
    }
    ended
}

impl Forward<'_> {
    fn run(&mut self, caller: &mut Caller) -> io::Result<Ended> {
        let repeatable = self.route.kind == RouteKind::Idempotent;
        loop {
            if self.tries.is_empty() && !self.next_try(repeatable) {
                return self.give_up(caller);
            }
            // An answer may have come while the request was sent.
            if self.route.kind == RouteKind::Stream {
                if let Some(ended) = self.advance_stream(caller)? {
                    return Ok(ended);
                }
            } else if let Some(answer) = self.advance() {
                caller.respond(&answer)?;
                return Ok(Ended::Answered(answer.status));
            }
            if self.tries.is_empty() {
                continue;
            }
            let now = Instant::now();
            if now >= self.due {
                return self.time_out(caller);
            }
            let stall = self.stall(repeatable);
            if stall.is_some_and(|at| now >= at) {
                self.pass_stalled_over();
                self.next_try(repeatable);
                continue;
            }
            let until = stall.map_or(self.due, |at| at.min(self.due));
            let mut sockets = vec![caller.socket()];
            sockets.extend(self.tries.iter().map(|attempt| attempt.exchange.socket()));
            let ready = wait(&sockets, Some(until.saturating_duration_since(now)))?;
            if ready[0].hangup {
                return Ok(Ended::CallerLeft);
            }
        }
    }

    /// Returns when the newest try counts as stalled, so that another is worth a target's time.
    fn stall(&self, repeatable: bool) -> Option<Instant> {
        let newest = self.tries.last().filter(|newest| !newest.stalled)?;
        if !newest.exchange.was_sent() {
            return Some(newest.began + CONNECT_STALL);
        }
        let goal = self.route.goal.map(|goal| goal.mul_f64(HEDGE_SHARE));
        (repeatable && newest.exchange.head().is_none())
            .then(|| newest.began + goal.unwrap_or(HEDGE_DELAY))
    }

    /// Marks stalled tries, and closes those that have sent nothing: they must not run later.
    fn pass_stalled_over(&mut self) {
        let mut going = Vec::with_capacity(self.tries.len());
        for mut attempt in std::mem::take(&mut self.tries) {
            if attempt.exchange.was_sent() {
                attempt.stalled = true;
                going.push(attempt);
            } else {
                log::info!(request = self.call.request(), target_name:% = attempt.target; "target takes no connection");
                self.settle(&attempt, Outcome::Failed);
            }
        }
        self.tries = going;
    }

    /// Sends the request to another target; false if there is none, or none may get it.
    fn next_try(&mut self, repeatable: bool) -> bool {
        let most = self.route.attempts.max(1);
        loop {
            let sent = self
                .tries
                .iter()
                .filter(|attempt| attempt.exchange.was_sent())
                .count();
            let begun = self.begun + sent as u32;
            if begun > 0 && (!repeatable || begun >= most) {
                return false;
            }
            let now = self.shared.clock.now();
            let mut fleet = self.shared.fleet();
            let chosen = fleet.choose(&self.service, &self.shared.settings.dc, &self.tried, now);
            let Some((target, address)) =
                chosen.map(|target| (target.entry.name.clone(), target.entry.address))
            else {
                return false;
            };
            self.tried.push(target.clone());
            fleet.start(&target);
            drop(fleet);
            let context = ForwardContext {
                target: &target,
                workspace: self.workspace,
                remaining: Some(self.due.saturating_duration_since(Instant::now())),
                resume_after: None,
                version: None,
            };
            let request = self.shared.dialect.forward_request(self.request, &context);
            match self.shared.pool.connect(address) {
                Ok(connection) => {
                    let mut exchange = Exchange::new(connection, &request);
                    // Sends at once on a kept connection.
                    let failed = exchange.advance().is_err();
                    if failed && !exchange.was_sent() {
                        self.shared.fleet().finish(&target, Outcome::Failed, now);
                        continue;
                    }
                    self.tries.push(Try {
                        target,
                        address,
                        exchange,
                        began: Instant::now(),
                        stalled: false,
                    });
                    self.note_begun();
                    return true;
                }
                Err(error) => {
                    log::info!(request = self.call.request(), target_name:% = target, error:%; "cannot connect to a target");
                    self.shared.fleet().finish(&target, Outcome::Failed, now);
                }
            }
        }
    }

    fn note_begun(&mut self) {
        let sent = self
            .tries
            .iter()
            .filter(|attempt| attempt.exchange.was_sent())
            .count();
        if sent > 0 {
            self.begun_ms.get_or_insert_with(unix_ms);
        }
    }

    /// Serves the tries; returns the answer to pass on once there is one.
    fn advance(&mut self) -> Option<Response> {
        let mut going = Vec::with_capacity(self.tries.len());
        let mut answer = None;
        for mut attempt in std::mem::take(&mut self.tries) {
            if answer.is_some() {
                going.push(attempt);
                continue;
            }
            let mut progress = attempt.exchange.advance();
            // A second answer to an earlier request may stand before the own one.
            if matches!(progress, Ok(Progress::Done))
                && !self.is_answered(&attempt)
                && attempt.exchange.skip_answer()
            {
                log::warn!(request = self.call.request(), target_name:% = attempt.target; "answer to another request passed over");
                progress = attempt.exchange.advance();
            }
            match progress {
                Ok(Progress::Pending) => going.push(attempt),
                Ok(Progress::Done) => answer = self.take_answer(attempt),
                Err(error) => {
                    log::info!(request = self.call.request(), target_name:% = attempt.target, error:%; "try failed");
                    if error.was_sent() {
                        self.begun += 1;
                        self.begun_ms.get_or_insert_with(unix_ms);
                    }
                    self.settle(&attempt, Outcome::Failed);
                }
            }
        }
        self.tries = going;
        self.note_begun();
        answer
    }

    /// Tells whether the answer of a try names this request.
    fn is_answered(&self, attempt: &Try) -> bool {
        let head = attempt.exchange.head();
        head.is_some_and(|head| self.shared.dialect.reply(head).id == self.call.id)
    }

    fn take_answer(&mut self, attempt: Try) -> Option<Response> {
        let took = attempt.began.elapsed().as_secs_f64() * 1_000.0;
        let reply = attempt
            .exchange
            .head()
            .map(|head| self.shared.dialect.reply(head));
        let reply: Reply = reply.unwrap_or_default();
        if reply.id != self.call.id {
            log::warn!(request = self.call.request(), target_name:% = attempt.target, answered:? = reply.id; "answer belongs to another request");
            self.begun += 1;
            self.settle(&attempt, Outcome::Failed);
            return None;
        }
        let status = attempt.exchange.head().map_or(0, |head| head.status);
        if (200..300).contains(&status) && !reply.signed {
            log::warn!(request = self.call.request(), target_name:% = attempt.target, status; "answer isn't signed");
            self.begun += 1;
            self.settle(&attempt, Outcome::Failed);
            return None;
        }
        let refused = reply.not_run || status == 421;
        self.settle(
            &attempt,
            if refused {
                Outcome::Refused
            } else {
                Outcome::Answered(took)
            },
        );
        let (response, connection) = attempt.exchange.finish();
        if let Some(connection) = connection {
            self.shared.pool.put(attempt.address, connection);
        }
        if refused {
            log::info!(request = self.call.request(), target_name:% = attempt.target, status; "target refused");
            return None;
        }
        self.begun += 1;
        self.begun_ms.get_or_insert_with(unix_ms);
        let response = passed_on(response);
        let repeatable = self.route.kind == RouteKind::Idempotent;
        if status >= 500 && repeatable && self.begun < self.route.attempts.max(1) {
            self.fallback = Some(response);
            return None;
        }
        Some(response)
    }

    /// Passes a stream on as it arrives.
    fn advance_stream(&mut self, caller: &mut Caller) -> io::Result<Option<Ended>> {
        let Some(mut attempt) = self.tries.pop() else {
            return Ok(None);
        };
        let progress = attempt.exchange.advance();
        let Some(head) = attempt.exchange.head() else {
            if let Err(error) = progress {
                log::info!(request = self.call.request(), target_name:% = attempt.target, error:%; "try failed");
                self.begun += u32::from(error.was_sent());
                self.settle(&attempt, Outcome::Failed);
            } else {
                self.tries.push(attempt);
            }
            return Ok(None);
        };
        let (status, reply) = (head.status, self.shared.dialect.reply(head));
        if reply.id != self.call.id || reply.not_run || status != 200 {
            self.tries.push(attempt);
            let Some(answer) = self.advance() else {
                return Ok(None);
            };
            caller.respond(&answer)?;
            return Ok(Some(Ended::Answered(answer.status)));
        }
        self.begun += 1;
        self.begun_ms.get_or_insert_with(unix_ms);
        let head = passed_on(head.clone());
        caller.begin(&head)?;
        let ended = self.pass_stream(caller, &mut attempt);
        let whole = matches!(ended, Ok(Ended::Answered(_)));
        let outcome = if whole {
            Outcome::Answered(attempt.began.elapsed().as_secs_f64() * 1_000.0)
        } else {
            Outcome::Dropped
        };
        self.settle(&attempt, outcome);
        if whole {
            caller.end()?;
            let connection = attempt.exchange.finish().1;
            if let Some(connection) = connection {
                self.shared.pool.put(attempt.address, connection);
            }
        } else {
            // A stream that isn't whole must not look so.
            caller.close = true;
        }
        ended.map(Some)
    }

    fn pass_stream(&self, caller: &mut Caller, attempt: &mut Try) -> io::Result<Ended> {
        loop {
            let progress = attempt.exchange.advance();
            caller.chunk(&attempt.exchange.take_body())?;
            match progress {
                Ok(Progress::Done) => return Ok(Ended::Answered(200)),
                Ok(Progress::Pending) => {}
                Err(error) => {
                    log::info!(request = self.call.request(), target_name:% = attempt.target, error:%; "stream broke off");
                    return Ok(Ended::Failed(0));
                }
            }
            let left = self.due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(Ended::Failed(0));
            }
            let sockets = [caller.socket(), attempt.exchange.socket()];
            if wait(&sockets, Some(left))?[0].hangup {
                return Ok(Ended::CallerLeft);
            }
        }
    }

    fn settle(&self, attempt: &Try, outcome: Outcome) {
        let now = self.shared.clock.now();
        self.shared.fleet().finish(&attempt.target, outcome, now);
    }

    /// Answers when no target is left that may get the request.
    fn give_up(&mut self, caller: &mut Caller) -> io::Result<Ended> {
        if let Some(answer) = self.fallback.take() {
            caller.respond(&answer)?;
            return Ok(Ended::Answered(answer.status));
        }
        if self.begun > 0 {
            caller.respond(&Response::new(502, Vec::new()))?;
            return Ok(Ended::Failed(502));
        }
        let again = if self.tried.is_empty() {
            AGAIN_NONE
        } else {
            AGAIN_FULL
        };
        caller.respond(&self.shared.dialect.refusal(again))?;
        Ok(Ended::Refused)
    }

    fn time_out(&mut self, caller: &mut Caller) -> io::Result<Ended> {
        let sent = self.tries.iter().any(|attempt| attempt.exchange.was_sent());
        if self.begun == 0 && !sent {
            return self.give_up(caller);
        }
        let status = 504;
        caller.respond(&Response::new(status, Vec::new()))?;
        Ok(Ended::Failed(status))
    }

    fn drop_tries(&mut self) {
        let now: Millis = self.shared.clock.now();
        for attempt in self.tries.drain(..) {
            self.begun += u32::from(attempt.exchange.was_sent());
            let slow = attempt.stalled || attempt.began.elapsed() > HEDGE_DELAY;
            let outcome = if slow && !attempt.exchange.was_sent() {
                Outcome::Failed
            } else if slow {
                Outcome::Answered(attempt.began.elapsed().as_secs_f64() * 1_000.0)
            } else {
                Outcome::Dropped
            };
            self.shared.fleet().finish(&attempt.target, outcome, now);
        }
    }
}

/// Returns a target's answer without the fields of its connection.
fn passed_on(mut response: Response) -> Response {
    response.headers.remove_hop_by_hop();
    response
}
