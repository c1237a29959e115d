//! Requests that pass through to plain services.

use std::{collections::BTreeSet, sync::Arc};

use godwitspool_connection::{CallError, Header, PlainAnswer, PlainCall};
use godwitspool_request::Reason;
use godwitspool_types::{Ran, RequestId, ServiceName};
use serde::{Deserialize, Serialize};
use tiny_http::{Request, Response};

use crate::{
    connection::answer,
    process::{billing::Got, shared::Shared},
    request::{
        authorize::{self, OpenGuard},
        generation::read_body,
        journal::Step,
        keyed::{self, Claim, Claimed},
        refusal::Refusal,
        tries::{Failed, Tries},
        work::{self, Work},
    },
};

const KEY_HEADER: &str = "Idempotency-Key";

/// Passes a request through. `rest` is the service's alias, then the path and query.
pub(crate) fn handle(mut request: Request, rest: &str, shared: &Arc<Shared>) {
    let id = RequestId::random();
    match run(&mut request, rest, shared, id) {
        Ok(answer) => respond(request, answer, id),
        Err(refusal) => {
            shared.serving.refused(id, &refusal);
            answer::refuse_as(request, &refusal, id);
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
    let keyed = key.is_some();
    let prepared = prepare(request, rest, shared, id);
    // Before the homes have spoken, an earlier request with the key may have run.
    let prepared = prepared.map_err(|refusal| if keyed { refusal.for_keyed() } else { refusal })?;
    let Some(key) = key else {
        return call(&prepared, shared);
    };
    let workspace = &prepared.work.caller.workspace;
    let print = prepared.work.need.fingerprint;
    match keyed::claim(shared, workspace, &key, print) {
        Claimed::Answered(bytes) => decode(&bytes).ok_or_else(|| Reason::FateUnknown.into()),
        Claimed::Refused(reason) => Err(reason.into()),
        Claimed::New(claim) => call_claimed(&prepared, shared, claim),
    }
}

/// A request whose caller is known.
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
    serving.note(
        id,
        Step::Caller {
            service: caller.service.to_string(),
            workspace: caller.workspace.to_string(),
        },
    );
    let body = read_body(request, shared)?;
    let method = request.method().to_string();
    let print = work::fingerprint(&caller.service, &format!("{method} {path}"), &body);
    let work = Work::new(id, caller, print, &view.configuration, now);
    let call = PlainCall {
        body,
        headers: headers(request, id),
        idempotent: work.attempts.idempotent,
        method,
        path,
    };
    Ok(Prepared { call, open, work })
}

/// Parts the service's name from the path behind it.
///
/// A workspace's own names have no slash. An open route has no workspace, so it goes by its qualified
/// name, which has one.
fn split_alias<'a>(rest: &'a str, open_routes: &BTreeSet<ServiceName>) -> (&'a str, &'a str) {
    let ends = |at: usize| rest[at..].is_empty() || rest[at..].starts_with(['/', '?']);
    let open = open_routes.iter().map(ServiceName::as_str);
    let named = open.filter(|name| rest.starts_with(name) && ends(name.len()));
    let split = named.map(str::len).max();
    rest.split_at(split.unwrap_or_else(|| rest.find(['/', '?']).unwrap_or(rest.len())))
}

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
    let mut tries = Tries::begin(shared, prepared.work.clone())?;
    loop {
        if prepared.open.is_cut() {
            return Err(Reason::KeyWithdrawnMidway.into());
        }
        match attempt(prepared, shared, &mut tries) {
            Ok(answer) => {
                tries.answered();
                let got = Got {
                    request: prepared.work.id,
                    tokens: 0,
                };
                shared.billing.count(shared, &prepared.work.caller, got);
                shared
                    .serving
                    .note(prepared.work.id, Step::Whole { tokens: 0 });
                return Ok(answer);
            }
            Err(error) => {
                let caller = prepared.work.need.caller;
                tries.fail(Failed::new(&error, false, caller))?;
            }
        }
    }
}

fn attempt(
    prepared: &Prepared,
    shared: &Arc<Shared>,
    tries: &mut Tries,
) -> Result<PlainAnswer, CallError> {
    let serving = &shared.serving;
    let sent = serving.now();
    let mut paces = serving.dispatch.paces(&tries.on.target);
    let patience = tries.work.patience(sent);
    let client = shared.client(tries.on.address);
    let outcome = client.call(&prepared.call, paces.first.current().min(patience));
    match &outcome {
        Ok(_) => {
            paces.first.observe(serving.now() - sent);
            serving.dispatch.set_paces(&tries.on.target, paces);
        }
        Err(CallError::Silent { .. }) => client.condemn_pooled(),
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

// ---------------------------------------------------------------------------
// An answer as the homes of its key keep it

#[derive(Deserialize, Serialize)]
struct KeptAnswer {
    body: Vec<u8>,
    headers: Vec<KeptHeader>,
    status: u16,
}

#[derive(Deserialize, Serialize)]
struct KeptHeader {
    name: String,
    value: String,
}

fn encode(answer: &PlainAnswer) -> Vec<u8> {
    let headers = answer.headers.iter().map(|header| KeptHeader {
        name: header.name.clone(),
        value: header.value.clone(),
    });
    let kept = KeptAnswer {
        body: answer.body.clone(),
        headers: headers.collect(),
        status: answer.status,
    };
    postcard::to_stdvec(&kept).unwrap_or_default()
}

fn decode(bytes: &[u8]) -> Option<PlainAnswer> {
    let kept: KeptAnswer = postcard::from_bytes(bytes).ok()?;
    let headers = kept.headers.into_iter().map(|header| Header {
        name: header.name,
        value: header.value,
    });
    Some(PlainAnswer {
        body: kept.body,
        headers: headers.collect(),
        status: kept.status,
    })
}
