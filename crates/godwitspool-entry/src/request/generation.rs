//! Generation requests: streamed from an engine to the caller.

use std::{io::Read, sync::Arc};

use godwitspool_connection::{
    CallError, TokenStream, engine::Generate, messages::View, platform::TargetEntry,
};
use godwitspool_types::{Millis, RequestId, ServiceName};
use tiny_http::Request;

use crate::{
    connection::answer::{self, EventWriter},
    process::shared::{OnTarget, Shared},
    request::{authorize, refusal::Refusal, route},
};

const FIRST_TOKEN_IDLE: Millis = Millis(2_000);
const MAX_ATTEMPTS: usize = 3;
const MAX_BODY_BYTES: u64 = 4 << 20;

/// Answers a generation request.
pub(crate) fn handle(mut request: Request, shared: &Arc<Shared>) {
    let id = RequestId::random();
    match start(&mut request, shared, id) {
        Ok(started) => stream(request, started, id),
        Err(refusal) => answer::refuse_as(request, &refusal, id),
    }
}

/// A stream that an engine has accepted.
struct Started {
    guard: OnTarget,
    stream: TokenStream,
}

fn start(request: &mut Request, shared: &Arc<Shared>, id: RequestId) -> Result<Started, Refusal> {
    if shared.draining() {
        return Err(Refusal::Draining);
    }
    let mut generate = read_body(request)?;
    let view = shared.view();
    let authorized = authorize::authorize(request, generate.model.as_str(), &view)?;
    if let Some(rules) = view.configuration.services.get(&authorized.service) {
        generate.model = rules.model.clone();
    }
    generate.request = id.to_string();
    generate.stream = true;
    log::debug!(request:% = id, workspace:? = authorized.workspace; "generation starts");
    attempt(shared, &view, &authorized.service, &generate)
}

fn attempt(
    shared: &Arc<Shared>,
    view: &View,
    service: &ServiceName,
    generate: &Generate,
) -> Result<Started, Refusal> {
    let mut tried: Vec<&TargetEntry> = Vec::new();
    let mut last: Option<CallError> = None;
    while tried.len() < MAX_ATTEMPTS {
        let Some(target) = route::pick(shared, view, service, &tried) else {
            break;
        };
        let guard = shared.enter_target(&target.target);
        match shared
            .client(target.address)
            .generate(generate, FIRST_TOKEN_IDLE)
        {
            Ok(stream) => return Ok(Started { guard, stream }),
            Err(error) => last = Some(error),
        }
        tried.push(target);
    }
    Err(
        last.map_or(Refusal::NoTarget, |error| Refusal::TargetFailed {
            message: error.to_string(),
            ran: error.ran(),
        }),
    )
}

fn read_body(request: &mut Request) -> Result<Generate, Refusal> {
    let mut body = Vec::new();
    request
        .as_reader()
        .take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut body)
        .map_err(|error| Refusal::BadBody {
            message: error.to_string(),
        })?;
    if body.len() as u64 > MAX_BODY_BYTES {
        let message = format!("longer than {MAX_BODY_BYTES} bytes");
        return Err(Refusal::BadBody { message });
    }
    serde_json::from_slice(&body).map_err(|error| Refusal::BadBody {
        message: error.to_string(),
    })
}

fn stream(request: Request, started: Started, id: RequestId) {
    let Started { guard, mut stream } = started;
    let result = EventWriter::start(request, id).and_then(|mut writer| {
        loop {
            match stream.next_chunk() {
                Ok(Some(chunk)) => writer.send(&chunk)?,
                Ok(None) => return writer.finish(),
                Err(error) => {
                    let event = serde_json::json!({ "error": {
                        "message": error.to_string(),
                        "ran": error.ran(),
                        "reason": "target-failed",
                        "request": id,
                    }});
                    return writer.send(&event);
                }
            }
        }
    });
    if let Err(error) = result {
        log::debug!(request:% = id; "caller left: {error}");
    }
    drop(guard);
}
