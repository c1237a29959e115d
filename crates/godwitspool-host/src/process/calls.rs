use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use godwitspool_types::Workspace;

use super::{Shared, peers, relay::RELAY_PATH};
use crate::{
    batch::{BatchRecord, Lookup, ResultPage, Submission, page, partition_of, read_stored},
    dialect::{Call, CallKind},
    http::{Caller, Request, Response},
    request::{Ended, forward},
    store::{Store, StoreError, Topic},
    version::{Configuration, RouteKind},
};

/// When a caller may come back if this host knows no configuration yet, or the store is away.
const AGAIN_STORE: Duration = Duration::from_millis(500);
/// Bound on a call about a batch whose caller states none; callers wait 1.5 s longer than they allow.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Bound on a peer's answer beyond the time that it may wait itself.
const PEER_SLACK: Duration = Duration::from_millis(600);
/// Pause before an append whose outcome is unknown is repeated.
const APPEND_PAUSE: Duration = Duration::from_millis(50);

/// Who sent a request: told by the address at which it arrived, never by what it says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    /// A caller.
    Caller,
    /// Another host on a caller's behalf; it reads the store itself if this one doesn't know.
    Host,
}

/// Answers a caller's request.
///
/// # Errors
///
/// When the caller is gone.
pub fn serve(shared: &Arc<Shared>, caller: &mut Caller, request: &Request) -> io::Result<()> {
    serve_from(shared, caller, request, Origin::Caller)
}

/// Answers a request of another host.
///
/// # Errors
///
/// When the host is gone.
pub fn serve_peer(shared: &Arc<Shared>, caller: &mut Caller, request: &Request) -> io::Result<()> {
    if request.path() == RELAY_PATH {
        return caller.respond(&shared.store.serve(request));
    }
    serve_from(shared, caller, request, Origin::Host)
}

fn serve_from(
    shared: &Arc<Shared>,
    caller: &mut Caller,
    request: &Request,
    origin: Origin,
) -> io::Result<()> {
    let began = Instant::now();
    let call = shared.dialect.call(request);
    let ended = answer(shared, caller, request, &call, origin);
    let took_ms = began.elapsed().as_millis() as u64;
    let reason = match &ended {
        Ok(Ended::Answered(status)) if *status < 400 => "answered",
        Ok(Ended::Answered(_)) => "answered with an error",
        Ok(Ended::CallerLeft) => "caller left",
        Ok(Ended::Refused) => "refused",
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
    request: &Request,
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
    let Some(configuration) = shared.configuration() else {
        return respond(caller, shared.dialect.refusal(AGAIN_STORE));
    };
    let status = |status| Response::new(status, Vec::new());
    if call.kind != CallKind::Routed {
        let Ok(workspace) = configuration.workspace(None, call.key.as_ref()) else {
            return respond(caller, status(401));
        };
        let batch_call = BatchCall {
            shared,
            call,
            origin,
            request,
            workspace,
        };
        return respond(caller, batch_call.answer());
    }
    let Some(route) = configuration.route(&call.host, request.path()) else {
        return respond(caller, status(404));
    };
    let Ok(workspace) = configuration.workspace(Some(route), call.key.as_ref()) else {
        return respond(caller, status(401));
    };
    if route.kind != RouteKind::Batch {
        return forward(shared, route, request, call, workspace.as_ref(), caller);
    }
    let workspace = workspace.unwrap_or_default();
    match shared.dialect.submission(request, call, route, &workspace) {
        Ok(submission) => {
            let batch_call = BatchCall {
                shared,
                call,
                origin,
                request,
                workspace: Some(workspace),
            };
            respond(caller, batch_call.submit(&configuration, &submission))
        }
        Err(reason) => {
            log::info!(request = call.request(), reason:%; "submission can't be read");
            respond(caller, Response::new(400, reason))
        }
    }
}

/// Answers one call about a batch.
struct BatchCall<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    origin: Origin,
    request: &'a Request,
    workspace: Option<Workspace>,
}

impl BatchCall<'_> {
    fn answer(&self) -> Response {
        match &self.call.kind {
            CallKind::ReadBatch { batch, after } => self.read(batch, *after),
            CallKind::ReadItem { batch, item } => self.body(batch, item),
            CallKind::EndBatch { batch } => self.end(batch),
            CallKind::Routed => Response::new(404, Vec::new()),
        }
    }

    fn due(&self) -> Instant {
        Instant::now() + self.call.deadline.unwrap_or(CALL_TIMEOUT).min(CALL_TIMEOUT)
    }

    /// Stores a batch and accepts it.
    fn submit(&self, configuration: &Configuration, submission: &Submission) -> Response {
        let parts = self.shared.settings.store.parts;
        let calls = BatchRecord::of_submission(submission, &self.shared.settings.store);
        let part = partition_of(&submission.id, parts);
        let stored = self.store(part, &calls);
        log::info!(
            batch:% = submission.id, step = submission.step, model:% = submission.model,
            items = submission.items.len(), min_version = submission.min_version, partition = part, stored:?,
            configuration = configuration.version;
            "batch submitted"
        );
        self.acknowledge(&stored, 202)
    }

    /// Stores the end of a batch.
    fn end(&self, batch: &str) -> Response {
        let part = partition_of(batch, self.shared.settings.store.parts);
        let stored = self.store(part, &[vec![BatchRecord::of_end(batch)]]);
        log::info!(batch, partition = part, stored:?; "end of a batch asked for");
        self.acknowledge(&stored, 200)
    }

    fn acknowledge(&self, stored: &Result<(), StoreError>, status: u16) -> Response {
        match stored {
            Ok(()) => Response::new(status, Vec::new()),
            Err(StoreError::NotDone { .. }) => self.shared.dialect.refusal(AGAIN_STORE),
            // It may take effect yet, so nothing is promised.
            Err(_) => Response::new(504, Vec::new()),
        }
    }

    /// Appends records of a batch. They never differ, so an append that is repeated does no harm.
    fn store(&self, part: u32, calls: &[Vec<crate::store::Record>]) -> Result<(), StoreError> {
        let due = self.due();
        let mut unknown = None;
        for records in calls {
            loop {
                let append = self
                    .shared
                    .store
                    .append(Topic::Batches, part, records, None);
                let Err(error) = append else {
                    break;
                };
                log::info!(request = self.call.request(), partition = part, error:%; "append failed");
                if !matches!(error, StoreError::NotDone { .. }) {
                    unknown = Some(error.clone());
                }
                if Instant::now() + APPEND_PAUSE >= due {
                    return Err(unknown.unwrap_or(error));
                }
                std::thread::sleep(APPEND_PAUSE);
            }
        }
        Ok(())
    }

    /// Reads results: from this host, its owner, or the store.
    fn read(&self, batch: &str, after: u64) -> Response {
        let shared = self.shared;
        let wait = self.call.wait.unwrap_or_default();
        let found = shared
            .owned_batches
            .read(batch, self.workspace.as_ref(), after, wait);
        let lookup = match found {
            Lookup::Found(page) => return shared.dialect.results(&page),
            other => other,
        };
        if let Some(answer) = self.ask_owner(batch, &lookup, wait) {
            return answer;
        }
        let total_wanted = |stored: &ResultPage| stored.total > 0;
        self.answer_stored(batch, |submission, results| {
            let page = page(submission, results, after);
            if total_wanted(&page) && (after as usize) <= results.len() {
                return shared.dialect.results(&page);
            }
            // The position was read before, so this copy is behind.
            shared.dialect.refusal(AGAIN_STORE)
        })
    }

    fn body(&self, batch: &str, item: &str) -> Response {
        let found = self
            .shared
            .owned_batches
            .body(batch, self.workspace.as_ref(), item);
        let lookup = match found {
            Lookup::Found(body) => return Response::new(200, body),
            other => other,
        };
        if let Some(answer) = self.ask_owner(batch, &lookup, Duration::ZERO) {
            return answer;
        }
        self.answer_stored(batch, |submission, _| {
            let mut items = submission.items.iter();
            match items.find(|spec| spec.id == item) {
                Some(spec) => Response::new(200, spec.body.clone()),
                None => Response::new(404, Vec::new()),
            }
        })
    }

    /// Passes the call on to the owner of the batch's partition; `None` if it doesn't know.
    fn ask_owner<T>(&self, batch: &str, lookup: &Lookup<T>, wait: Duration) -> Option<Response> {
        if self.origin == Origin::Host || !matches!(lookup, Lookup::NotOwned) {
            return None;
        }
        let shared = self.shared;
        let part = partition_of(batch, shared.settings.store.parts);
        let owner = shared.peers.holder(shared, Topic::Results, part)?;
        match peers::call(shared, owner, self.request, wait + PEER_SLACK) {
            Ok(mut answer) if answer.status < 500 => {
                answer.headers.remove_hop_by_hop();
                Some(answer)
            }
            Ok(answer) => {
                log::info!(batch, owner:%, status = answer.status; "owner doesn't know");
                shared.peers.suspect();
                None
            }
            Err(error) => {
                log::info!(batch, owner:%, error:%; "owner doesn't answer");
                shared.peers.suspect();
                None
            }
        }
    }

    /// Answers from the store. A host that asks on a caller's behalf does so itself.
    fn answer_stored(
        &self,
        batch: &str,
        answer: impl FnOnce(&Submission, &[Arc<crate::batch::ItemResult>]) -> Response,
    ) -> Response {
        if self.origin == Origin::Host {
            return self.shared.dialect.refusal(AGAIN_STORE);
        }
        let part = partition_of(batch, self.shared.settings.store.parts);
        match read_stored(self.shared.store.as_ref(), part, batch) {
            Ok(Some((submission, results))) => {
                let own = self.workspace.as_ref();
                if own.is_some_and(|own| *own != submission.workspace) {
                    return Response::new(404, Vec::new());
                }
                answer(&submission, &results)
            }
            Ok(None) => Response::new(404, Vec::new()),
            Err(error) => {
                log::info!(batch, error:%; "batch can't be read now");
                self.shared.dialect.refusal(AGAIN_STORE)
            }
        }
    }
}
