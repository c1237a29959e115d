use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use godwitspool_types::Workspace;

use super::{
    Drained, RETRY_AFTER_END, Shared,
    forwarded_caller::{Access, ForwardedCaller, is_final, passed_on, with_version},
    peers,
    permits::PERMIT_PATH,
    relay::RELAY_PATH,
    room::{self, ROOM_PATH},
    unix_ms,
};
use crate::{
    batch::{
        BatchRecord, EncodedSubmission, LoadError, Lookup, ResultList, ResultPage, Submission,
        batch_key, page, partition_of, read_results, read_submission,
    },
    dialect::{Call, CallKind, SubmissionError},
    http::{Caller, MemoryBudget, Request, Response},
    request::{Ended, forward, may_begin},
    store::{Store, StoreError, Topic},
    version::{Configuration, RouteKind},
};

/// Retry delay sent to the caller if this host has no configuration yet, or the store is
/// unreachable.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(500);
/// Retry delay sent to the caller if there is no memory for a batch. Memory is given back when a batch ends, which
/// takes seconds.
const RETRY_AFTER_MEMORY: Duration = Duration::from_secs(1);
/// Retry delay sent to the caller if the store has no room, which lasts for seconds at least.
const RETRY_AFTER_ROOM: Duration = Duration::from_secs(1);
/// Time for which the appends of a request about a batch are retried; a shorter deadline of the
/// caller applies instead. Callers wait 1.5 s longer than the deadline that they send.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time allowed for a peer's response in addition to the time that the peer itself may wait.
const PEER_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// Expected duration of a call about a batch before one of its kind was observed.
const DEFAULT_DURATION: Duration = Duration::from_millis(100);
/// Delay before a failed append is repeated.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sender of a request. It is derived from the listener that accepted the request, never from the
/// request's content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    Caller,
    /// Another host on behalf of a caller. If this host doesn't know the batch, the other one reads
    /// the store itself.
    Host,
}

/// Handles a request of a caller.
///
/// # Errors
///
/// Fails if the caller has disconnected.
pub fn serve(shared: &Arc<Shared>, caller: &mut Caller, request: Request) -> io::Result<()> {
    serve_from(shared, caller, request, Origin::Caller)
}

/// Handles a request of another host.
///
/// # Errors
///
/// Fails if the other host has disconnected.
pub fn serve_peer(shared: &Arc<Shared>, caller: &mut Caller, request: Request) -> io::Result<()> {
    if request.path() == RELAY_PATH {
        return caller.respond(&shared.store.serve(&request));
    }
    if request.path() == PERMIT_PATH {
        return caller.respond(&shared.permits.serve(shared, &request));
    }
    if request.path() == ROOM_PATH {
        return caller.respond(&room::serve(shared, &request));
    }
    serve_from(shared, caller, request, Origin::Host)
}

fn serve_from(
    shared: &Arc<Shared>,
    caller: &mut Caller,
    request: Request,
    origin: Origin,
) -> io::Result<()> {
    let began = Instant::now();
    let call = shared.dialect.call(&request);
    let ended = answer(shared, caller, request, &call, origin);
    let took_ms = began.elapsed().as_millis() as u64;
    // What the server has answered itself is counted there.
    if shared.is_draining() && origin == Origin::Caller && !caller.is_answered() {
        shared.drained.count(Drained::from(&ended).as_str());
    }
    let reason = match &ended {
        Ok(Ended::Answered(status)) if *status < 400 => "answered",
        Ok(Ended::Answered(_)) => "answered with an error",
        Ok(Ended::CallerLeft) => "caller left",
        Ok(Ended::Refused) => "refused",
        Ok(Ended::RefusedAtEnd) => "refused, process ends",
        Ok(Ended::Failed(_)) => "failed",
        Err(_) => "caller gone",
    };
    shared.answers.count(reason);
    shared.answer_seconds.observe(began.elapsed().as_secs_f64());
    if reason != "answered" || call.kind == CallKind::Routed {
        let configuration = shared
            .configuration()
            .map(|configuration| configuration.version);
        log::info!(
            request = call.request(), kind:? = call.kind, configuration:?, ended:?, took_ms;
            "request ended"
        );
    }
    match ended? {
        Ended::CallerLeft => Err(io::ErrorKind::ConnectionAborted.into()),
        _ => Ok(()),
    }
}

fn answer(
    shared: &Arc<Shared>,
    caller: &mut Caller,
    mut request: Request,
    call: &Call,
    origin: Origin,
) -> io::Result<Ended> {
    let respond = |caller: &mut Caller, response: Response| {
        caller.respond(&response)?;
        let refused = matches!(response.status, 429 | 503);
        Ok(if refused {
            Ended::Refused
        } else {
            Ended::Answered(response.status)
        })
    };
    let configuration = shared.configuration();
    if !matches!(call.kind, CallKind::Routed | CallKind::TargetOrder) {
        let response = answer_batch_call(shared, configuration.as_deref(), &request, call, origin);
        return respond(caller, response);
    }
    let Some(configuration) = configuration else {
        return respond(caller, shared.dialect.refusal(RETRY_AFTER_UNAVAILABLE));
    };
    let status = |status| Response::new(status, Vec::new());
    if call.kind == CallKind::TargetOrder {
        return respond(caller, status(404));
    }
    let Some(route) = configuration.route(&call.host, request.path()) else {
        return respond(caller, status(404));
    };
    let Ok(workspace) = configuration.workspace(Some(route), call.key.as_ref()) else {
        return respond(caller, status(401));
    };
    if route.kind != RouteKind::Batch {
        let priority = configuration.priority(route, workspace.as_ref());
        let workspace = workspace.as_ref();
        return forward(shared, route, request, call, workspace, priority, caller);
    }
    // Only a key of the workspace can read a batch, so it can't be submitted without one either.
    let Ok(workspace) = configuration.workspace(None, call.key.as_ref()) else {
        return respond(caller, status(401));
    };
    let owner = workspace.clone().unwrap_or_default();
    let text = request.body.capacity();
    let mut reserve = |bytes| caller.hold(text + bytes);
    let submission = shared
        .dialect
        .submission(&request, call, route, &owner, &mut reserve);
    request.body = Vec::new();
    match submission {
        Ok(mut submission) => {
            // The items take the place of the text.
            caller.release_to(submission.items.memory_to_encode());
            submission.configuration = configuration.version;
            let batch_call = BatchCall {
                shared,
                call,
                origin,
                request: &request,
                version: configuration.version,
                workspace,
            };
            let submit = |call: &BatchCall<'_>| call.submit(&configuration, submission);
            respond(caller, batch_call.timed(&route.name, submit))
        }
        Err(SubmissionError::Invalid { reason }) => {
            log::info!(request = call.request(), reason:%; "invalid batch submission");
            respond(caller, Response::new(400, reason))
        }
        Err(SubmissionError::NoMemory) => {
            log::info!(request = call.request(), text; "batch refused: no memory for its items");
            respond(caller, shared.dialect.refusal(RETRY_AFTER_MEMORY))
        }
    }
}

/// Handles a read or the end of a batch.
fn answer_batch_call(
    shared: &Arc<Shared>,
    configuration: Option<&Configuration>,
    request: &Request,
    call: &Call,
    origin: Origin,
) -> Response {
    let key = call.key.as_ref();
    let access = match origin {
        Origin::Caller => Access::of_key(configuration, key),
        Origin::Host => {
            let caller = ForwardedCaller::read(&request.headers);
            Access::of_forwarded(configuration, key, caller)
        }
    };
    let version = configuration.map_or(0, |configuration| configuration.version);
    let workspace = match access {
        Access::Granted(workspace) => workspace,
        Access::Denied => {
            let refusal = Response::new(401, Vec::new());
            return match origin {
                Origin::Caller => refusal,
                Origin::Host => with_version(refusal, version),
            };
        }
        Access::Undecided => return shared.dialect.refusal(RETRY_AFTER_UNAVAILABLE),
    };
    let batch_call = BatchCall {
        shared,
        call,
        origin,
        request,
        version,
        workspace,
    };
    let kind = match call.kind {
        CallKind::EndBatch { .. } => "end of a batch",
        _ => "read of a batch",
    };
    batch_call.timed(kind, BatchCall::answer)
}

/// One request that concerns a batch.
struct BatchCall<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    origin: Origin,
    request: &'a Request,
    /// Version of the configuration that allows it.
    version: u64,
    workspace: Option<Workspace>,
}

/// Returns why the reward calls of a submission can't be served. A newer configuration may have
/// what is missing, so this isn't the caller's error.
fn check_scorers(configuration: &Configuration, submission: &Submission) -> Option<String> {
    submission.items.calls().iter().find_map(|(item, call)| {
        let path = call.path.split('?').next().unwrap_or_default();
        let unknown = configuration.route(&call.host, path).is_none();
        let item = submission.items.view(*item as usize).unwrap_or_default();
        unknown.then(|| format!("item {}: no route for its reward call", item.id))
    })
}

impl BatchCall<'_> {
    fn answer(&self) -> Response {
        match &self.call.kind {
            CallKind::ReadBatch { batch, after } => {
                self.find_stored(batch, |key| self.read_results(key, *after))
            }
            CallKind::ReadItem { batch, item } => {
                self.find_stored(batch, |key| self.read_item(key, item))
            }
            CallKind::EndBatch { batch } => self.end_batch(batch),
            CallKind::Routed | CallKind::TargetOrder | CallKind::UnknownBatch => {
                Response::new(404, Vec::new())
            }
        }
    }

    /// Reads a batch under its key, or else under its identifier, which is the key of a batch that an earlier
    /// build stored.
    fn find_stored(&self, batch: &str, read: impl Fn(&str) -> Response) -> Response {
        let key = batch_key(self.workspace.as_ref(), batch);
        let found = read(&key);
        if found.status == 404 && key != batch {
            return read(batch);
        }
        found
    }

    /// Handles the call and records how long it took; refuses it if the process ends before it could
    /// be finished.
    fn timed(&self, kind: &str, handle: impl FnOnce(&Self) -> Response) -> Response {
        let began = Instant::now();
        let last_answer = self.shared.ending.last_answer();
        let expected = self.shared.expected_duration(kind);
        let expected = expected.unwrap_or(DEFAULT_DURATION);
        if !may_begin(began, last_answer, began + CALL_TIMEOUT, expected) {
            return self.shared.dialect.refusal(RETRY_AFTER_END);
        }
        let response = handle(self);
        // A read without results waits for them on purpose.
        let took = began.elapsed();
        let worked = took.saturating_sub(self.call.wait.unwrap_or_default());
        self.shared.observe_duration(kind, worked);
        response
    }

    fn due(&self) -> Instant {
        let due = Instant::now() + self.call.deadline.unwrap_or(CALL_TIMEOUT).min(CALL_TIMEOUT);
        let last_answer = self.shared.ending.last_answer();
        last_answer.map_or(due, |last| last.min(due))
    }

    /// Returns how long a read may wait for results: as long as the caller allows and the process
    /// runs.
    fn wait(&self) -> Duration {
        let wait = self.call.wait.unwrap_or_default();
        let last_answer = self.shared.ending.last_answer();
        last_answer.map_or(wait, |last| {
            let left = last.saturating_duration_since(Instant::now());
            wait.min(left.saturating_sub(DEFAULT_DURATION))
        })
    }

    /// Stores a batch and acknowledges it with 202.
    fn submit(&self, configuration: &Configuration, mut submission: Submission) -> Response {
        if let Some(reason) = check_scorers(configuration, &submission) {
            log::info!(batch:% = submission.id, configuration = configuration.version, reason; "batch refused");
            return self.shared.dialect.refusal(RETRY_AFTER_UNAVAILABLE);
        }
        let parts = self.shared.settings.store.parts;
        let key = batch_key(self.workspace.as_ref(), &submission.id);
        let part = partition_of(&key, parts);
        let (items, bytes) = (submission.items.len(), submission.items.memory_to_load());
        if !room::has_room(self.shared, part, &key, bytes) {
            log::info!(batch:% = submission.id, items, bytes, partition = part; "batch refused: its owner has no memory for it");
            return self.shared.dialect.refusal(RETRY_AFTER_MEMORY);
        }
        submission.stored_key = Some(key);
        let head = submission.without_items();
        let encoded = EncodedSubmission::new(submission, &self.shared.settings.store);
        let stored = self.append_records(part, encoded.calls());
        log::info!(
            batch:% = head.id, step = head.step, model:% = head.model,
            items, min_version = head.min_version, partition = part, stored:?,
            configuration = configuration.version;
            "batch submitted"
        );
        self.acknowledge(&stored, 202)
    }

    /// Stores a record that ends a batch, and acknowledges it with 200.
    fn end_batch(&self, batch: &str) -> Response {
        let key = batch_key(self.workspace.as_ref(), batch);
        let part = partition_of(&key, self.shared.settings.store.parts);
        let stored = self.append_records(part, [vec![BatchRecord::of_end(&key, unix_ms())]]);
        log::info!(batch, partition = part, stored:?; "batch end requested");
        self.acknowledge(&stored, 200)
    }

    fn acknowledge(&self, stored: &Result<(), StoreError>, status: u16) -> Response {
        match stored {
            Ok(()) => Response::new(status, Vec::new()),
            Err(StoreError::NotDone { .. }) => self.shared.dialect.refusal(RETRY_AFTER_UNAVAILABLE),
            Err(StoreError::NoRoom { .. }) => self.shared.dialect.refusal(RETRY_AFTER_ROOM),
            // The append may still take effect, so the response must not say that nothing was
            // stored.
            Err(_) => Response::new(504, Vec::new()),
        }
    }

    /// Appends records of a batch, and retries failed appends until the deadline. Repeated appends
    /// are harmless because they write identical records.
    ///
    /// An error with an unknown outcome takes precedence over `NotDone` and `NoRoom`, since the records
    /// may have been stored.
    fn append_records(
        &self,
        part: u32,
        calls: impl IntoIterator<Item = Vec<crate::store::Record>>,
    ) -> Result<(), StoreError> {
        let due = self.due();
        let mut unknown = None;
        for records in calls {
            loop {
                let append = self
                    .shared
                    .store
                    .append(Topic::Batches, part, &records, None);
                let Err(error) = append else {
                    break;
                };
                log::info!(request = self.call.request(), partition = part, error:%; "append failed");
                let no_room = matches!(error, StoreError::NoRoom { .. });
                if !no_room && !matches!(error, StoreError::NotDone { .. }) {
                    unknown = Some(error.clone());
                }
                if no_room || Instant::now() + APPEND_RETRY_DELAY >= due {
                    return Err(unknown.unwrap_or(error));
                }
                std::thread::sleep(APPEND_RETRY_DELAY);
            }
        }
        Ok(())
    }

    /// Reads results from this host, from the owner of the batch's partition, or from the store, in
    /// this order.
    fn read_results(&self, batch: &str, after: u64) -> Response {
        let shared = self.shared;
        let wait = self.wait();
        let found = shared
            .owned_batches
            .read(batch, self.workspace.as_ref(), after, wait);
        let lookup = match found {
            Lookup::Found(page) => return self.respond_page(&page),
            other => other,
        };
        if let Some(answer) = self.ask_owner(batch, &lookup, wait) {
            return answer;
        }
        self.respond_from_store(batch, |submission| {
            if submission.items.is_empty() {
                return Ok(shared.dialect.refusal(RETRY_AFTER_UNAVAILABLE));
            }
            // With the result before, so that a copy that is stale is told from one without further results.
            let from = after.saturating_sub(1);
            let part = partition_of(batch, shared.settings.store.parts);
            let results = read_results(shared.store.as_ref(), part, batch, from)?;
            let before = (after - from) as usize;
            if results.len() < before {
                // The caller has read up to `after` before, so this copy is stale.
                return Ok(shared.dialect.refusal(RETRY_AFTER_UNAVAILABLE));
            }
            Ok(self.respond_page(&page(submission, &results[before..], after)))
        })
    }

    /// Responds with a page of results, or with a refusal if there is no memory for it.
    fn respond_page(&self, page: &ResultPage) -> Response {
        let results = page.results.iter();
        let bytes: usize = results
            .map(|(_, result)| ResultList::memory_of(result))
            .sum();
        // The results, and what is made of them.
        match MemoryBudget::reserve(&self.shared.memory, 2 * bytes) {
            Some(_memory) => self.shared.dialect.results(page),
            None => self.shared.dialect.refusal(RETRY_AFTER_MEMORY),
        }
    }

    fn read_item(&self, batch: &str, item: &str) -> Response {
        let found = self
            .shared
            .owned_batches
            .body(batch, self.workspace.as_ref(), item);
        let lookup = match found {
            Lookup::Found(body) => return Response::new(200, body),
            Lookup::NoMemory => return self.shared.dialect.refusal(RETRY_AFTER_MEMORY),
            other => other,
        };
        if let Some(answer) = self.ask_owner(batch, &lookup, Duration::ZERO) {
            return answer;
        }
        self.respond_from_store(batch, |submission| {
            let mut items = submission.items.iter();
            Ok(match items.find(|spec| spec.id == item) {
                Some(spec) => match MemoryBudget::reserve(&self.shared.memory, spec.body.len()) {
                    Some(_memory) => Response::new(200, spec.body.to_owned()),
                    None => self.shared.dialect.refusal(RETRY_AFTER_MEMORY),
                },
                None => Response::new(404, Vec::new()),
            })
        })
    }

    /// Forwards the request to the owner of the batch's partition. Returns `None` if the request
    /// came from another host, if this host owns the partition, if no owner is known, or if the
    /// owner can't respond.
    fn ask_owner<T>(&self, batch: &str, lookup: &Lookup<T>, wait: Duration) -> Option<Response> {
        if self.origin == Origin::Host || !matches!(lookup, Lookup::NotOwned) {
            return None;
        }
        let shared = self.shared;
        let part = partition_of(batch, shared.settings.store.parts);
        let owner = shared.peers.holder(shared, Topic::Results, part)?;
        let mut memory = MemoryBudget::reserve(&shared.memory, 0).unwrap_or_default();
        let timeout = wait + PEER_TIMEOUT_MARGIN;
        let mut request = self.request.clone();
        request.headers.remove_hop_by_hop();
        let caller = ForwardedCaller {
            version: self.version,
            workspace: self.workspace.clone(),
        };
        caller.write(&mut request.headers);
        match peers::call(shared, owner, &request, timeout, &mut memory) {
            Ok(answer) if is_final(&answer, self.version) => Some(passed_on(answer)),
            Ok(answer) => {
                log::info!(batch, owner:%, status = answer.status; "owner can't answer for the batch");
                if answer.status >= 500 {
                    shared.peers.mark_stale();
                }
                None
            }
            Err(error) => {
                log::info!(batch, owner:%, error:%; "can't call the owner of a batch");
                shared.peers.mark_stale();
                None
            }
        }
    }

    /// Responds from the store. Requests of other hosts are refused, since those read the store
    /// themselves.
    fn respond_from_store(
        &self,
        batch: &str,
        answer: impl FnOnce(&Submission) -> Result<Response, LoadError>,
    ) -> Response {
        if self.origin == Origin::Host {
            return self.shared.dialect.refusal(RETRY_AFTER_UNAVAILABLE);
        }
        let part = partition_of(batch, self.shared.settings.store.parts);
        let mut place = match self.shared.caller_reads.enter(self.due()) {
            Ok(place) => place,
            Err(retry_after) => return self.shared.dialect.refusal(retry_after),
        };
        let mut memory = MemoryBudget::reserve(&self.shared.memory, 0).unwrap_or_default();
        let store = self.shared.store.as_ref();
        let answered = read_submission(store, part, batch, None, &mut memory).and_then(|found| {
            let Some(submission) = found else {
                return Ok(Response::new(404, Vec::new()));
            };
            let own = self.workspace.as_ref();
            if own.is_some_and(|own| *own != submission.workspace) {
                return Ok(Response::new(404, Vec::new()));
            }
            answer(&submission)
        });
        if !matches!(&answered, Err(error) if error.is_outage()) {
            place.succeed();
        }
        drop(place);
        match answered {
            Ok(response) => response,
            Err(error) => {
                log::info!(batch, error:%; "can't read a batch from the store");
                let retry_after = match error {
                    LoadError::Store { .. } => RETRY_AFTER_UNAVAILABLE,
                    LoadError::NoMemory { .. } => RETRY_AFTER_MEMORY,
                };
                self.shared.dialect.refusal(retry_after)
            }
        }
    }
}
