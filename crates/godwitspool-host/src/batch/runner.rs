mod start;

use std::{collections::HashMap, io, iter, net::SocketAddr, sync::Arc, time::Duration};

use godwitspool_request::stable_hash;
use godwitspool_types::{Millis, ModelName, ServiceName, TargetName};

use super::{
    Batch, EventBuffer, ItemView, Move, OwnedPartition, Pace, RouteLengths, RunFailure, RunView,
    Submission, Verdict, claimant, decide_move, item_work::work_left, reward::RewardCall,
};
use crate::{
    http::{CallError, Connection, Exchange, Interest, Progress, Reservation, wait},
    lease_clock,
    process::{RunClaim, Shared, TargetStart},
    store::Topic,
    version::{Assignments, Basis, Outcome, PlaceRequest},
};

/// Idle timeout of a run whose response has begun. A target stops sending for about a second while
/// it loads weights, and for longer while several targets load.
const EVENT_TIMEOUT: Millis = Millis(3_000);
/// Timeout for the head of the response: the time within which a target works off a full queue.
const HEAD_TIMEOUT: Millis = Millis(4_000);
/// Maximum number of bytes without a numbered event, far above the size of the events of the models. It
/// bounds the work that noise makes in one step of a run.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Timeout for connecting to a target: several round trips between data centres.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// A run moves only to a target whose interval between events is below this multiple of the median,
/// or unknown.
const MOVE_PACE_FACTOR: f64 = 1.5;
/// Interval between checks for stalled runs, and for targets for the waiting items.
const CHECK_INTERVAL: Millis = Millis(100);

/// Runs the items of the owned partitions in a single thread.
#[derive(Debug)]
pub struct Runner {
    shared: Arc<Shared>,
    runs: Vec<Run>,
    /// Reward calls in progress.
    calls: Vec<RewardCall>,
    /// Lengths of completed items, from which those of others are estimated.
    lengths: RouteLengths,
    /// Time of the last check for stalled and slow runs.
    last_check: Millis,
    /// Number of batches that wait for a newer configuration.
    held: usize,
    assignments: Assignments,
}

/// A run: one attempt to run an item at a target.
#[derive(Debug)]
struct Run {
    part: u32,
    epoch: u64,
    submission: Arc<Submission>,
    item: usize,
    model: ModelName,
    target: TargetName,
    address: SocketAddr,
    /// Start of the target.
    born: u64,
    exchange: Exchange,
    buffer: EventBuffer,
    /// Whether the body has ended, so far, in text that is no event of a stream.
    ended_in_noise: bool,
    began: Millis,
    last_data: Millis,
    head_read: bool,
    /// Whether the connection broke off behind the request.
    broke_off: bool,
    pace: Pace,
    /// Claim by which the item runs, if it is suspected of ending its targets.
    claim: Option<RunClaim>,
    service: ServiceName,
    /// Version that the target should have loaded, if nothing had confirmed it.
    expected: Option<u64>,
    /// Memory that the request takes.
    _memory: Reservation,
}

/// The state of a run after its socket was served.
enum Step {
    Active,
    Ended(RunEnd),
}

enum RunEnd {
    Completed,
    Failed(RunFailure, Outcome),
}

/// Returns whether callers may have ended batches of a partition without this host's knowledge: it
/// hasn't read the partition lately, nor failed to. In an outage of the store its items run on.
///
/// Load pattern: reads hang behind a cut that has healed, or the host was suspended, while trainers
/// end their batches through other hosts.
fn is_stale(shared: &Shared, number: u32, part: &mut OwnedPartition) -> bool {
    let failed = shared.store.last_direct_failure(Topic::Batches, number);
    part.freshness.advance(lease_clock(), failed);
    part.freshness.basis() == Basis::Stale
}

impl Runner {
    /// Creates a runner without runs.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            assignments: Assignments::default(),
            held: 0,
            last_check: Millis::ZERO,
            lengths: RouteLengths::default(),
            runs: Vec::new(),
            calls: Vec::new(),
        }
    }

    /// Runs items until the process ends.
    ///
    /// # Errors
    ///
    /// Fails if polling the sockets fails.
    pub fn run(mut self) -> io::Result<()> {
        loop {
            let waiting = self.start_calls() | self.start_items();
            let report_due = self.report();
            let active = !self.runs.is_empty() || !self.calls.is_empty();
            let check_due = (waiting || active).then_some(CHECK_INTERVAL);
            let due = [check_due, report_due].into_iter().flatten().min();
            let ready = self.wait(due.map(Millis::duration))?;
            self.advance(&ready);
            self.advance_calls();
        }
    }

    /// Reports the number of runs and reward calls per target to the other hosts. Returns the time until
    /// a report that is held back is due.
    fn report(&self) -> Option<Millis> {
        let running = || {
            let mut running: HashMap<TargetName, u32> = HashMap::new();
            let runs = self.runs.iter().map(|run| &run.target);
            for target in runs.chain(self.calls.iter().map(|call| &call.target)) {
                *running.entry(target.clone()).or_default() += 1;
            }
            running
        };
        let shared = &self.shared;
        shared.reports.send(shared, shared.incarnation, running)
    }

    /// Waits until a socket is ready, and returns for each run whether its socket is.
    fn wait(&self, timeout: Option<Duration>) -> io::Result<Vec<bool>> {
        let mut sockets = vec![self.shared.owned_batches.waker.socket()];
        sockets.extend(self.runs.iter().map(|run| run.exchange.socket()));
        sockets.extend(self.calls.iter().map(|call| call.exchange().socket()));
        let activity = &self.shared.runner_activity;
        let events = activity.wait(|| wait(&sockets, timeout))?;
        self.shared.owned_batches.waker.clear();
        let runs = events.into_iter().skip(1).take(self.runs.len());
        Ok(runs.map(|event| event != Interest::default()).collect())
    }

    /// Starts the reward calls that may start now; returns whether any is left waiting.
    fn start_calls(&mut self) -> bool {
        let shared = Arc::clone(&self.shared);
        let Some(configuration) = shared.configuration() else {
            return false;
        };
        let now = shared.clock.now();
        let mut waiting = false;
        let mut parts = shared.owned_batches.lock();
        for (number, part) in &mut *parts {
            if is_stale(&shared, *number, part) {
                waiting = true;
                continue;
            }
            let ownership = (*number, part.epoch);
            for batch in part
                .batches
                .loaded
                .values_mut()
                .filter(|batch| batch.is_open())
            {
                if !batch.submission.runs_under(configuration.version) {
                    waiting = true;
                    continue;
                }
                let (calls, others) = batch.next_calls(now);
                waiting |= others;
                for item in calls {
                    let claimant = claimant(&shared, batch.submission.key());
                    let pause = batch.submission.items.call(item).and_then(|call| {
                        let print = || call.fingerprint();
                        shared.suspicion.pause(print, &claimant)
                    });
                    if let Some(pause) = pause {
                        batch.postpone(item, now + pause);
                        waiting = true;
                        continue;
                    }
                    let started =
                        RewardCall::start(&shared, &configuration, batch, item, ownership);
                    let Some(call) = started else {
                        waiting = true;
                        break;
                    };
                    batch.items[item].state = super::ItemState::Running;
                    self.calls.push(call);
                }
            }
        }
        waiting
    }

    /// Serves the sockets of all reward calls, and drops the calls whose batch has ended or whose
    /// partition this host no longer owns.
    fn advance_calls(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let now = shared.clock.now();
        let mut parts = shared.owned_batches.lock();
        let mut active = Vec::with_capacity(self.calls.len());
        for mut call in std::mem::take(&mut self.calls) {
            let (number, epoch) = call.ownership;
            let part = parts.get_mut(&number).filter(|part| part.epoch == epoch);
            let batch = part.and_then(|part| part.batches.loaded.get_mut(call.submission.key()));
            let Some(batch) = batch.filter(|batch| !batch.ended) else {
                call.drop_call(&shared, now);
                continue;
            };
            let Some(outcome) = call.step(&shared, now) else {
                active.push(call);
                continue;
            };
            let finished = call.end(&shared, batch, outcome, now);
            if let (Some(finished), Some(part)) = (finished, parts.get_mut(&number)) {
                part.send_result(finished);
            }
            call.release(&shared);
        }
        drop(parts);
        self.calls = active;
    }

    /// Serves the sockets of the runs that are `ready`, and drops the runs whose batch has ended or whose
    /// partition this host no longer owns. All runs are served when their stalls are checked.
    fn advance(&mut self, ready: &[bool]) {
        let now = self.shared.clock.now();
        let shared = Arc::clone(&self.shared);
        let mut parts = shared.owned_batches.lock();
        let check_due = now - self.last_check >= CHECK_INTERVAL;
        if check_due {
            self.last_check = now;
        }
        let mut active = Vec::with_capacity(self.runs.len());
        let ready = ready.iter().chain(iter::repeat(&true));
        for (mut run, is_ready) in std::mem::take(&mut self.runs).into_iter().zip(ready) {
            let part = parts
                .get_mut(&run.part)
                .filter(|part| part.epoch == run.epoch);
            let batch = part.and_then(|part| part.batches.loaded.get_mut(run.submission.key()));
            let Some(batch) = batch.filter(|batch| !batch.ended) else {
                shared.fleet().finish(&run.target, Outcome::Dropped, now);
                run.record_end(&shared, false);
                continue;
            };
            // Each event of one run would otherwise cost a read of every other run's socket.
            if !is_ready && !check_due {
                active.push(run);
                continue;
            }
            let end = match run.step(&shared, &self.lengths, batch, check_due, now) {
                Step::Active => {
                    active.push(run);
                    continue;
                }
                Step::Ended(end) => end,
            };
            if matches!(end, RunEnd::Completed) {
                let events = batch.items[run.item].progress.last_event;
                let hint = run.spec().hint;
                let events = events.unwrap_or_default();
                self.lengths.record(&run.submission, hint, events);
            }
            let finished = run.end(&shared, batch, &end, now);
            if let (Some(finished), Some(part)) = (finished, parts.get_mut(&run.part)) {
                part.send_result(finished);
            }
            run.release(&shared);
        }
        drop(parts);
        self.runs.extend(active);
    }
}

impl Run {
    fn spec(&self) -> ItemView<'_> {
        self.submission.items.view(self.item).unwrap_or_default()
    }

    fn step(
        &mut self,
        shared: &Shared,
        lengths: &RouteLengths,
        batch: &mut Batch,
        check_due: bool,
        now: Millis,
    ) -> Step {
        let failed = |failure, outcome| Step::Ended(RunEnd::Failed(failure, outcome));
        if shared.is_withheld(&self.target, &self.exchange) {
            return failed(RunFailure::NotRun, Outcome::Dropped);
        }
        if let Some(claim) = self.claim.filter(|_| check_due) {
            shared.suspicion.extend(claim);
        }
        let progress = self.exchange.advance();
        if !self.head_read
            && let Some(head) = self.exchange.head()
        {
            self.head_read = true;
            self.last_data = now;
            let reply = shared.dialect.reply(head);
            shared.observe_reply(&self.target, self.born, &reply, "item");
            shared.observe_exchange(&self.target, &self.exchange, None);
            let spec = self.spec();
            if reply.id.as_deref() != Some(spec.id) {
                log::warn!(item:% = spec.id, target_name:% = self.target, answered:? = reply.id; "response belongs to another request");
                return failed(RunFailure::Broken, Outcome::Failed);
            }
            if head.status == 200
                && let Some(version) = reply.version
            {
                shared
                    .fleet()
                    .observe_version(&self.target, &self.model, version);
                batch.items[self.item].progress.version = Some(version);
            }
        }
        let status = self.exchange.head().map(|head| head.status);
        // The body of a failure isn't kept either.
        let bytes = self.exchange.take_body();
        if status == Some(200) && !bytes.is_empty() {
            self.buffer.push(&bytes);
            match self.read_events(shared, batch) {
                // Bytes without an event don't count as progress: a stalled target may send
                // some now and then.
                Ok(0) => {}
                Ok(events) => {
                    let since_last = now - self.last_data;
                    if self.pace.events > 0 {
                        let interval_ms = since_last.0 as f64 / f64::from(events);
                        shared.fleet().record_pace(&self.target, interval_ms, now);
                    }
                    self.pace.push(events, since_last);
                    self.last_data = now;
                }
                Err(failure) => return failed(failure, Outcome::Failed),
            }
        }
        match progress {
            Ok(Progress::Pending) if !check_due => Step::Active,
            Ok(Progress::Pending) => self.check_stall(shared, lengths, batch, now),
            Ok(Progress::Done) => self.done(shared, batch, now),
            Err(error) => {
                let spec = self.spec();
                log::info!(item:% = spec.id, target_name:% = self.target, error:%; "connection of a run failed");
                self.broke_off = error.was_closed();
                let failure = match error {
                    CallError::Connect { .. } => RunFailure::NotRun,
                    _ => RunFailure::Broken,
                };
                failed(failure, Outcome::Failed)
            }
        }
    }

    fn check_stall(
        &self,
        shared: &Shared,
        lengths: &RouteLengths,
        batch: &Batch,
        now: Millis,
    ) -> Step {
        let silent = now - self.last_data;
        if let Some(reason) = self.check_move(shared, lengths, batch, now) {
            let spec = self.spec();
            log::info!(
                item:% = spec.id, target_name:% = self.target, reason:?, silent_ms = silent.0,
                between_ms = self.pace.interval_ms, events = self.pace.events;
                "run moves"
            );
            let outcome = match reason {
                Move::Slow => Outcome::Dropped,
                Move::Queued | Move::Silent => Outcome::Stalled,
            };
            if reason == Move::Queued {
                self.close_idle(shared);
            }
            return Step::Ended(RunEnd::Failed(RunFailure::Moved, outcome));
        }
        let bound = match (self.head_read, self.exchange.was_sent()) {
            (true, _) => EVENT_TIMEOUT,
            (false, true) => HEAD_TIMEOUT,
            (false, false) => CONNECT_TIMEOUT,
        };
        if silent < bound {
            return Step::Active;
        }
        let spec = self.spec();
        log::info!(item:% = spec.id, target_name:% = self.target, silent_ms = silent.0, head = self.head_read; "run timed out");
        self.close_idle(shared);
        Step::Ended(RunEnd::Failed(RunFailure::Broken, Outcome::Failed))
    }

    /// Closes the idle connections to the target if it hasn't answered on one of them at all: they may all have stopped
    /// answering, while new ones work.
    fn close_idle(&self, shared: &Shared) {
        if self.exchange.is_reused() && !self.head_read {
            shared.pool.close(self.address);
        }
    }

    /// Returns why the run should move to another target; `None` if it should stay, no fast enough
    /// target has a free slot, or its output must come from a single version.
    fn check_move(
        &self,
        shared: &Shared,
        lengths: &RouteLengths,
        batch: &Batch,
        now: Millis,
    ) -> Option<Move> {
        let fleet = shared.fleet();
        let view = RunView {
            answering: self.head_read,
            silent: now - self.last_data,
            pace: self.pace,
            median_ms: fleet.median_pace(&self.service, now),
            moves: batch.items[self.item].moves,
        };
        let reason = decide_move(&view)?;
        // It is slow for a short time only, and a move would read the prompt again.
        let target = fleet.get(&self.target);
        let is_cold = target.is_some_and(|target| target.cold.is_cold(now));
        if is_cold && reason == Move::Slow {
            return None;
        }
        let versions = self.submission.min_version..=u64::MAX;
        let assigned = HashMap::new();
        let other = fleet.place(&PlaceRequest {
            assigned: &assigned,
            dc: &shared.settings.dc,
            excluded: Some(&self.target),
            host: stable_hash(shared.settings.host.as_str().as_bytes()),
            model: &self.model,
            now,
            service: &self.service,
            versions: &versions,
            work: work_left(lengths, shared, batch, self.item),
        })?;
        let median = view.median_ms.unwrap_or(f64::MAX);
        let faster = other.speed.recent_ms < median * MOVE_PACE_FACTOR;
        (faster && !self.submission.single_version).then_some(reason)
    }

    /// Appends the complete events in the buffer to the item's output; returns their number.
    fn read_events(&mut self, shared: &Shared, batch: &mut Batch) -> Result<u32, RunFailure> {
        let submission = Arc::clone(&self.submission);
        let spec = submission.items.view(self.item).unwrap_or_default();
        let mut events = 0;
        while let Some(lines) = self.buffer.next_event() {
            let progress = &mut batch.items[self.item].progress;
            let event = shared.dialect.event(lines);
            if let Some(version) = event.version {
                progress.version = Some(version);
                shared
                    .fleet()
                    .observe_version(&self.target, &self.model, version);
            }
            let Some(number) = event.number else {
                self.ended_in_noise |= is_text(lines);
                if self.buffer.skipped() > MAX_EVENT_BYTES {
                    break;
                }
                continue;
            };
            let expected = progress.last_event.map(|last| last + 1);
            if expected.is_some_and(|expected| expected != number) {
                log::warn!(item:% = spec.id, target_name:% = self.target, number, expected; "event number out of order");
                return Err(RunFailure::Broken);
            }
            let stale = progress
                .version
                .is_some_and(|version| version < self.submission.min_version);
            let mixed = self.submission.single_version
                && progress
                    .versions
                    .last()
                    .is_some_and(|last| Some(*last) != progress.version);
            if stale || mixed {
                log::warn!(item:% = spec.id, target_name:% = self.target, version:? = progress.version, min_version = self.submission.min_version; "unusable model version: too old, or mixed within one result");
                return Err(RunFailure::Unusable);
            }
            progress.push(number, &event.data);
            if !batch.items[self.item].reserve_output(&shared.memory) {
                log::warn!(item:% = spec.id, target_name:% = self.target, number; "no memory for an output");
                return Err(RunFailure::Unusable);
            }
            let progress = &mut batch.items[self.item].progress;
            if progress.text.len() > shared.settings.store.max_output() {
                log::warn!(item:% = spec.id, target_name:% = self.target, number; "output exceeds what the store takes");
                return Err(RunFailure::Unusable);
            }
            self.buffer.accept();
            self.ended_in_noise = false;
            events += 1;
        }
        if self.buffer.skipped().max(self.buffer.pending()) > MAX_EVENT_BYTES {
            log::warn!(item:% = spec.id, target_name:% = self.target; "too many bytes without an event");
            return Err(RunFailure::Broken);
        }
        Ok(events)
    }

    fn done(&mut self, shared: &Shared, batch: &mut Batch, now: Millis) -> Step {
        let Some(head) = self.exchange.head() else {
            return Step::Active;
        };
        let (status, reply) = (head.status, shared.dialect.reply(head));
        let failed = |failure, outcome| Step::Ended(RunEnd::Failed(failure, outcome));
        let answered = Outcome::Answered((now - self.began).0 as f64);
        if let Some(version) = self.expected.filter(|_| reply.not_run || status == 421) {
            shared.fleet().defer_load(&self.target, version, now);
        }
        if reply.not_run {
            return failed(RunFailure::NotRun, Outcome::Refused);
        }
        match status {
            200 if !self.buffer.is_empty() || self.ended_in_noise => {
                failed(RunFailure::Broken, Outcome::Failed)
            }
            200 if batch.items[self.item].progress.last_event.is_none() => {
                failed(RunFailure::Broken, Outcome::Failed)
            }
            200 => Step::Ended(RunEnd::Completed),
            422 => failed(RunFailure::Rejected, answered),
            421 => failed(RunFailure::NotRun, Outcome::Refused),
            500 => failed(RunFailure::Failed, answered),
            _ => failed(RunFailure::Broken, Outcome::Failed),
        }
    }

    /// Records how the run ended; returns the result if the item has ended too.
    fn end(
        &self,
        shared: &Shared,
        batch: &mut Batch,
        end: &RunEnd,
        now: Millis,
    ) -> Option<super::Finished> {
        let spec = self.spec();
        self.record_end(shared, matches!(end, RunEnd::Completed));
        let took_ms = (now - self.began).0;
        match *end {
            RunEnd::Completed => {
                shared.runs.count("completed");
                shared.run_seconds.observe((now - self.began).seconds());
                shared
                    .fleet()
                    .finish(&self.target, Outcome::Answered(took_ms as f64), now);
                let (events, moves) = (self.pace.events, batch.items[self.item].moves);
                if self.submission.items.call(self.item).is_some() {
                    batch.complete_text(self.item, now);
                    log::info!(
                        batch:% = self.submission.id, item:% = spec.id, target_name:% = self.target,
                        took_ms, events, moves, between_ms = self.pace.interval_ms;
                        "output complete, reward call due"
                    );
                    return None;
                }
                let finished = batch.finish(self.item, true);
                log::info!(
                    batch:% = self.submission.id, item:% = spec.id, target_name:% = self.target,
                    took_ms, events, moves, between_ms = self.pace.interval_ms,
                    versions:? = finished.result.versions;
                    "item completed"
                );
                Some(finished)
            }
            RunEnd::Failed(failure, outcome) => {
                shared.fleet().finish(&self.target, outcome, now);
                shared.runs.count(failure.as_str());
                let verdict = batch.fail(self.item, failure, now);
                log::info!(
                    batch:% = self.submission.id, item:% = spec.id, target_name:% = self.target,
                    took_ms, failure:?, verdict:?, events:? = batch.items[self.item].progress.last_event;
                    "run failed"
                );
                (verdict == Verdict::GiveUp).then(|| batch.finish(self.item, false))
            }
        }
    }

    /// Records what the end of the run says of the target.
    fn record_end(&self, shared: &Shared, completed: bool) {
        let submission = &self.submission;
        let spec = self.spec();
        let target = TargetStart {
            name: self.target.clone(),
            born: self.born,
            address: self.address,
        };
        shared.suspicion.record_end(
            || spec.fingerprint(&submission.workspace, &submission.host),
            &claimant(shared, submission.key()),
            completed,
            self.broke_off.then_some(target),
        );
    }

    /// Returns the connection to the pool if it can be reused.
    fn release(self, shared: &Shared) {
        let connection: Option<Connection> = self.exchange.finish().1;
        if let Some(connection) = connection {
            shared.pool.put(self.address, connection);
        }
    }
}

/// Returns whether lines without an event hold anything but comments.
fn is_text(lines: &[u8]) -> bool {
    let mut lines = lines.split(|byte| *byte == b'\n');
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}
