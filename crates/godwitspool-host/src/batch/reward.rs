//! Reward calls, which score the complete outputs of items.
//!
//! Load pattern: the texts of a step become complete in bursts, and the service that scores them
//! serves interactive callers at the same targets. So a call takes a free place only while half of
//! a target's slots are free, calls of nearly complete groups start first, and calls that weren't
//! answered come back spread over time.

use std::{net::SocketAddr, sync::Arc};

use godwitspool_types::{Millis, ServiceName, TargetName};

use super::{Batch, Finished, Submission, claimant};
use crate::{
    dialect::ForwardContext,
    http::{CallError, Connection, Exchange, MemoryBudget, Progress, Reservation},
    lease_clock,
    process::{Shared, TargetStart},
    version::{CHOICE_LIFETIME, Configuration, Outcome, TargetEntry},
};

/// Time budget of a call if its route sets no shorter one. It is several times the time that a
/// loaded service needs, and leaves room for other calls before a step is due.
const CALL_TIMEOUT: Millis = Millis(1_000);
/// Timeout for connecting to a target: several round trips between data centres.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// Delay before the first repeat of a call.
const MIN_BACKOFF: Millis = Millis(50);
/// Maximum delay before a repeat of a call: a fraction of the seconds in which a step is due.
const MAX_BACKOFF: Millis = Millis(800);
/// Maximum number of doublings of [`MIN_BACKOFF`].
const MAX_DOUBLINGS: u32 = 6;

/// How a reward call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RewardOutcome {
    /// No valid response: the connection failed, the time ran out, or the response was unsigned,
    /// malformed or another request's.
    Broken,
    /// The target reported a failure, which counts as an attempt.
    Failed,
    /// The target didn't run the call.
    NotRun,
    /// The target responded with success; holds the signature.
    Scored(String),
}

impl RewardOutcome {
    /// Returns the label value in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Failed => "failed",
            Self::NotRun => "not run",
            Self::Scored(_) => "scored",
        }
    }
}

/// Returns the delay before a call is repeated after `tries` repeats. `draw` is a random number in
/// `0.0..1.0`, which spreads calls that failed together.
///
/// ```
/// use godwitspool_host::batch::call_backoff;
/// use godwitspool_types::Millis;
///
/// assert_eq!(call_backoff(0, 0.0), Millis(25));
/// assert_eq!(call_backoff(2, 0.5), Millis(150));
/// assert_eq!(call_backoff(40, 1.0), Millis(800));
/// ```
pub fn call_backoff(tries: u32, draw: f64) -> Millis {
    let longest = Millis(MIN_BACKOFF.0 << tries.min(MAX_DOUBLINGS)).min(MAX_BACKOFF);
    Millis((longest.0 as f64 * (0.5 + draw / 2.0)) as u64)
}

/// A reward call at a target.
#[derive(Debug)]
pub(super) struct RewardCall {
    /// Partition of the batch, and the epoch under which it is owned.
    pub ownership: (u32, u64),
    pub submission: Arc<Submission>,
    pub item: usize,
    pub target: TargetName,
    address: SocketAddr,
    /// Start of the target.
    born: u64,
    /// Number of failed calls after which the item is given up.
    attempts: u32,
    began: Millis,
    exchange: Exchange,
    timeout: Millis,
    /// Bytes of the response's body so far. They aren't kept: the score is in the head.
    received: usize,
    /// Whether the connection broke off behind the request.
    broke_off: bool,
    /// Memory that the request takes.
    _memory: Reservation,
}

impl RewardCall {
    /// Starts the call of an item; `None` if no target of its service has a free place, or no route
    /// leads there.
    pub fn start(
        shared: &Shared,
        configuration: &Configuration,
        batch: &Batch,
        item: usize,
        ownership: (u32, u64),
    ) -> Option<Self> {
        let submission = &batch.submission;
        let call = submission.items.call(item)?;
        let path = call.path.split('?').next().unwrap_or_default();
        let route = configuration.route(&call.host, path)?;
        let service: ServiceName = route.service(rand::random())?.clone();
        let now = shared.clock.now();
        let timeout = route.timeout.map_or(CALL_TIMEOUT, Millis::from);
        let timeout = timeout.min(CALL_TIMEOUT);
        let memory = MemoryBudget::reserve(&shared.memory, call.body.len())?;
        let mut fleet = shared.fleet();
        let waiting = || batch.next_calls(now).0.len();
        let payload = fleet.trips.mean_payload(&service);
        let placed = fleet.place_call_for(&service, &shared.settings.dc, waiting, &payload, now);
        let departure = placed.and_then(|choice| choice.departure);
        let placed = placed.map(|choice| choice.target.entry.clone());
        let Some(TargetEntry {
            name: target,
            address,
            born,
            ..
        }) = placed.filter(|entry| fleet.take_permit(&entry.name, now))
        else {
            let lacking = fleet.lacking_for_call(&service, waiting(), now);
            drop(fleet);
            shared.permits.want(lacking);
            return None;
        };
        shared.observe_entry_age(&fleet);
        fleet.start(&target);
        drop(fleet);
        if let Some((reason, saved_ms)) = departure {
            shared.count_departure(reason, saved_ms);
        }
        let context = ForwardContext {
            target: &target,
            workspace: None,
            remaining: Some(timeout.duration()),
            resume_after: None,
            version: None,
        };
        let mut request = shared.dialect.score_request(call, &context);
        let body = Arc::new(std::mem::take(&mut request.body));
        match shared.pool.connect(address) {
            Ok(connection) => Some(Self {
                ownership,
                submission: Arc::clone(submission),
                item,
                target,
                address,
                born,
                attempts: route.attempts.max(submission.attempts),
                began: now,
                exchange: Exchange::with_body(connection, &request, body)
                    .begin_by(lease_clock() + CHOICE_LIFETIME),
                timeout,
                received: 0,
                broke_off: false,
                _memory: memory,
            }),
            Err(error) => {
                log::warn!(target_name:% = target, error:%; "can't connect to a target");
                shared.fleet().finish(&target, Outcome::Failed, now);
                None
            }
        }
    }

    /// Returns the exchange with the target.
    pub fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Serves the socket. Returns how the call ended, once it has.
    pub fn step(&mut self, shared: &Shared, now: Millis) -> Option<RewardOutcome> {
        if shared.is_withheld(&self.target, &self.exchange) {
            return Some(RewardOutcome::NotRun);
        }
        let mut progress = self.exchange.advance();
        // A duplicate response to an earlier request may precede the one to this call.
        if matches!(progress, Ok(Progress::Done))
            && !self.is_own_response(shared)
            && self.exchange.skip_response()
        {
            log::warn!(target_name:% = self.target; "response to another request discarded");
            self.received = 0;
            progress = self.exchange.advance();
        }
        self.received += self.exchange.take_body().len();
        match progress {
            Ok(Progress::Done) => Some(self.read_response(shared)),
            Ok(Progress::Pending) => {
                let limit = if self.exchange.was_sent() {
                    self.timeout
                } else {
                    CONNECT_TIMEOUT
                };
                let is_late = now - self.began >= limit;
                if is_late && self.exchange.is_reused() {
                    // The other idle connections to the target may have stopped answering as well.
                    shared.pool.close(self.address);
                }
                is_late.then_some(RewardOutcome::Broken)
            }
            Err(CallError::Connect { .. }) => Some(RewardOutcome::NotRun),
            Err(error) => {
                self.broke_off = error.was_closed();
                Some(RewardOutcome::Broken)
            }
        }
    }

    fn is_own_response(&self, shared: &Shared) -> bool {
        let call = self.submission.items.call(self.item);
        let answered = self
            .exchange
            .head()
            .map(|head| shared.dialect.reply(head).id);
        answered.flatten().as_deref() == call.map(|call| call.id.as_str())
    }

    fn read_response(&self, shared: &Shared) -> RewardOutcome {
        let Some(head) = self.exchange.head() else {
            return RewardOutcome::Broken;
        };
        let reply = shared.dialect.reply(head);
        shared.observe_reply(&self.target, self.born, &reply, "reward call");
        let call = self.submission.items.call(self.item);
        let sizes = call.map(|call| (call.body.len(), self.received));
        shared.observe_exchange(&self.target, &self.exchange, sizes);
        if !self.is_own_response(shared) {
            return RewardOutcome::Broken;
        }
        match (head.status, reply.signature) {
            _ if reply.not_run => RewardOutcome::NotRun,
            (421, _) => RewardOutcome::NotRun,
            (500, _) => RewardOutcome::Failed,
            (200..300, Some(signature)) => RewardOutcome::Scored(signature),
            _ => RewardOutcome::Broken,
        }
    }

    /// Records how the call ended; returns the item's result once it has one.
    pub fn end(
        &self,
        shared: &Shared,
        batch: &mut Batch,
        outcome: RewardOutcome,
        now: Millis,
    ) -> Option<Finished> {
        let took_ms = (now - self.began).0;
        self.record_end(shared, &outcome);
        shared.calls.count(outcome.as_str());
        let target_outcome = match outcome {
            RewardOutcome::Scored(_) | RewardOutcome::Failed => Outcome::Answered(took_ms as f64),
            RewardOutcome::NotRun => Outcome::Refused,
            RewardOutcome::Broken => Outcome::Failed,
        };
        shared.fleet().finish(&self.target, target_outcome, now);
        let call = self.submission.items.call(self.item);
        let call = call.map(|call| call.id.as_str());
        let spec = self.submission.items.view(self.item).unwrap_or_default();
        let item = &batch.items[self.item];
        let since_complete = item.complete_since.map(|at| now - at);
        let status = self.exchange.head().map(|head| head.status);
        log::info!(
            batch:% = self.submission.id, item:% = spec.id, call, target_name:% = self.target,
            took_ms, status, tries = item.call_tries, failures = item.call_failures, outcome:?,
            since_complete_ms = since_complete.map(|since| since.0);
            "reward call ended"
        );
        if let (RewardOutcome::Scored(_), Some(since)) = (&outcome, since_complete) {
            shared.score_seconds.observe(since.seconds());
        }
        batch.end_call(self.item, outcome, self.attempts, now, rand::random())
    }

    /// Records what the end of the call says of the target.
    fn record_end(&self, shared: &Shared, outcome: &RewardOutcome) {
        let Some(call) = self.submission.items.call(self.item) else {
            return;
        };
        let target = TargetStart {
            name: self.target.clone(),
            born: self.born,
            address: self.address,
        };
        let answered = matches!(outcome, RewardOutcome::Scored(_) | RewardOutcome::Failed);
        let claimant = claimant(shared, self.submission.key());
        let broke_off = self.broke_off.then_some(target);
        let suspicion = &shared.suspicion;
        suspicion.record_end(|| call.fingerprint(), &claimant, answered, broke_off);
    }

    /// Stops the call: its batch has ended, or its partition isn't owned any more.
    pub fn drop_call(&self, shared: &Shared, now: Millis) {
        shared.fleet().finish(&self.target, Outcome::Dropped, now);
    }

    /// Returns the connection to the pool if it can be reused.
    pub fn release(self, shared: &Shared) {
        let connection: Option<Connection> = self.exchange.finish().1;
        if let Some(connection) = connection {
            shared.pool.put(self.address, connection);
        }
    }
}
