//! Requests to plain services: HTTP services that aren't engines.

use std::{collections::BTreeSet, sync::Arc};

use godwitspool_connection::{CallError, Header, PlainAnswer, PlainCall};
use godwitspool_request::Reason;
use godwitspool_types::{Ran, RequestId, ServiceName};
use serde::{Deserialize, Serialize};
use tiny_http::{Request, Response};

use crate::{
    connection::answer,
    process::{billing::AnswerUsage, shared::Shared},
    request::{
        admitted::{AdmittedRequest, FailedAttempt},
        authorize::{self, OpenGuard},
        generation::read_body,
        idempotency::{self, Claim, Claimed},
        journal::Step,
        refusal::Refusal,
        work::{self, Work},
    },
};

const KEY_HEADER: &str = "Idempotency-Key";

/// Serves a request to a plain service. `rest` is the service's alias, then the path and query.
pub(crate) fn handle(mut request: Request, rest: &str, shared: &Arc<Shared>) {
    let id = RequestId::random();
    match run(&mut request, rest, shared, id) {
        Ok(answer) => respond(request, answer, id),
        Err(refusal) => {
            shared.serving.record_refusal(id, &refusal);
            answer::refuse_with_id(request, &refusal, id);
        }
    }
}

fn run(
    request: &mut Request,
    rest: &str,
    shared: &Arc<Shared>,
    id: RequestId,
) -> Result<PlainAnswer, Refusal> {
    let key = authorize::header_of(request, KEY_HEADER);
    let has_key = key.is_some();
    let prepared = prepare(request, rest, shared, id);
    // Until the home hosts are asked, it is unknown whether an earlier request with the key ran.
    let prepared = prepared.map_err(|refusal| {
        if has_key {
            refusal.for_keyed()
        } else {
            refusal
        }
    })?;
    let Some(key) = key else {
        return call(&prepared, shared);
    };
    let workspace = &prepared.work.caller.workspace;
    let request_fingerprint = prepared.work.need.fingerprint;
    match idempotency::claim(shared, workspace, &key, request_fingerprint) {
        Claimed::Answered(bytes) => decode(&bytes).ok_or_else(|| Reason::FateUnknown.into()),
        Claimed::Refused(reason) => Err(reason.into()),
        Claimed::New(claim) => call_claimed(&prepared, shared, claim),
    }
}

/// A request that is authorized and read.
struct Prepared {
    call: PlainCall,
    open: OpenGuard,
    work: Work,
}

fn prepare(
    request: &mut Request,
    rest: &str,
    shared: &Arc<Shared>,
    id: RequestId,
) -> Result<Prepared, Refusal> {
    if shared.draining() {
        return Err(Reason::Draining.into());
    }
    let view = shared.view();
    let (alias, path) = split_alias(rest, &view.configuration.open_routes);
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let serving = &shared.serving;
    let now = serving.now();
    let digest = authorize::digest_of(request);
    let caller = serving.keys.check(digest.as_ref(), &alias.into(), now)?;
    let open = serving.keys.open(id, digest);
    serving.record_step(
        id,
        Step::Caller {
            service: caller.service.to_string(),
            workspace: caller.workspace.to_string(),
        },
    );
    let body = read_body(request, shared)?;
    let method = request.method().to_string();
    let request_fingerprint =
        work::fingerprint(&caller.service, &format!("{method} {path}"), &body);
    let work = Work::new(id, caller, request_fingerprint, &view.configuration, now);
    let call = PlainCall {
        body,
        headers: headers(request, id),
        idempotent: work.attempts.idempotent,
        method,
        path,
    };
    Ok(Prepared { call, open, work })
}

/// Splits the service's name from the path behind it.
///
/// A workspace's own names have no slash. An open route has no workspace, so it is called by its
/// qualified name, which has one.
fn split_alias<'a>(rest: &'a str, open_routes: &BTreeSet<ServiceName>) -> (&'a str, &'a str) {
    let ends = |at: usize| rest[at..].is_empty() || rest[at..].starts_with(['/', '?']);
    let open = open_routes.iter().map(ServiceName::as_str);
    let named = open.filter(|name| rest.starts_with(name) && ends(name.len()));
    let split = named.map(str::len).max();
    rest.split_at(split.unwrap_or_else(|| rest.find(['/', '?']).unwrap_or(rest.len())))
}

/// Calls the service under a claimed idempotency key, and records the answer under the key.
fn call_claimed(
    prepared: &Prepared,
    shared: &Arc<Shared>,
    claim: Claim,
) -> Result<PlainAnswer, Refusal> {
    match call(prepared, shared) {
        Ok(answer) => {
            claim.answer(encode(&answer));
            Ok(answer)
        }
        Err(refusal) => {
            if refusal.ran() == Ran::NotRun {
                claim.release();
            }
            Err(refusal)
        }
    }
}

fn call(prepared: &Prepared, shared: &Arc<Shared>) -> Result<PlainAnswer, Refusal> {
    let mut admitted = AdmittedRequest::begin(shared, prepared.work.clone())?;
    loop {
        if prepared.open.is_withdrawn() {
            return Err(Reason::KeyWithdrawnMidway.into());
        }
        match attempt(prepared, shared, &mut admitted) {
            Ok(answer) => {
                admitted.answered();
                let usage = AnswerUsage {
                    request: prepared.work.id,
                    tokens: 0,
                };
                shared
                    .billing
                    .record_and_wait(shared, &prepared.work.caller, usage);
                shared
                    .serving
                    .record_step(prepared.work.id, Step::Whole { tokens: 0 });
                return Ok(answer);
            }
            Err(error) => {
                let caller = prepared.work.need.caller;
                admitted.fail(FailedAttempt::new(&error, false, caller))?;
            }
        }
    }
}

fn attempt(
    prepared: &Prepared,
    shared: &Arc<Shared>,
    admitted: &mut AdmittedRequest,
) -> Result<PlainAnswer, CallError> {
    let serving = &shared.serving;
    let sent = serving.now();
    let mut idle_timeouts = serving.dispatch.idle_timeouts(&admitted.assignment.target);
    let first_timeout = admitted.work.first_byte_timeout(sent);
    let client = shared.client(admitted.assignment.address);
    let outcome = client.call(
        &prepared.call,
        idle_timeouts.first.current().min(first_timeout),
    );
    match &outcome {
        Ok(_) => {
            idle_timeouts.first.observe(serving.now() - sent);
            serving
                .dispatch
                .set_idle_timeouts(&admitted.assignment.target, idle_timeouts);
        }
        Err(CallError::Silent { .. }) => client.clear_pool(),
        Err(_) => {}
    }
    outcome
}

fn headers(request: &Request, id: RequestId) -> Vec<Header> {
    let own = Header {
        name: "x-request-id".to_owned(),
        value: id.to_string(),
    };
    let passed = request.headers().iter().map(|header| Header {
        name: header.field.as_str().as_str().to_ascii_lowercase(),
        value: header.value.to_string(),
    });
    passed
        .filter(|header| header.name != own.name)
        .chain([own.clone()])
        .collect()
}

fn respond(request: Request, answer: PlainAnswer, id: RequestId) {
    let mut response = Response::from_data(answer.body)
        .with_status_code(answer.status)
        .with_header(answer::header("X-Request-Id", &id.to_string()));
    for header in answer.headers {
        if let Ok(header) = tiny_http::Header::from_bytes(header.name, header.value) {
            response.add_header(header);
        }
    }
    if let Err(error) = request.respond(response) {
        log::debug!(request:% = id; "caller left: {error}");
    }
}

/// An answer as the home hosts of its idempotency key store it. The encoding reads fields by
/// position.
#[derive(Deserialize, Serialize)]
struct StoredAnswer {
    body: Vec<u8>,
    headers: Vec<StoredHeader>,
    status: u16,
}

#[derive(Deserialize, Serialize)]
struct StoredHeader {
    name: String,
    value: String,
}

fn encode(answer: &PlainAnswer) -> Vec<u8> {
    let headers = answer.headers.iter().map(|header| StoredHeader {
        name: header.name.clone(),
        value: header.value.clone(),
    });
    let stored = StoredAnswer {
        body: answer.body.clone(),
        headers: headers.collect(),
        status: answer.status,
    };
    postcard::to_stdvec(&stored).unwrap_or_default()
}

fn decode(bytes: &[u8]) -> Option<PlainAnswer> {
    let stored: StoredAnswer = postcard::from_bytes(bytes).ok()?;
    let headers = stored.headers.into_iter().map(|header| Header {
        name: header.name,
        value: header.value,
    });
    Some(PlainAnswer {
        body: stored.body,
        headers: headers.collect(),
        status: stored.status,
    })
}
