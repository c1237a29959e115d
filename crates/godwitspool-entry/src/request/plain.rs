//! Requests that pass through to plain services.

use std::{io::Read, sync::Arc};

use godwitspool_connection::{Header, PlainAnswer, PlainCall};
use godwitspool_types::{Millis, RequestId};
use tiny_http::{Request, Response};

use crate::{
    connection::answer,
    process::shared::Shared,
    request::{authorize, refusal::Refusal, route},
};

const ANSWER_IDLE: Millis = Millis(5_000);
const MAX_BODY_BYTES: u64 = 4 << 20;

/// Passes a request through. `rest` is the service's alias, then the path and query.
pub(crate) fn handle(mut request: Request, rest: &str, shared: &Arc<Shared>) {
    let id = RequestId::random();
    match run(&mut request, rest, shared, id) {
        Ok(answer) => respond(request, answer, id),
        Err(refusal) => answer::refuse_as(request, &refusal, id),
    }
}

fn run(
    request: &mut Request,
    rest: &str,
    shared: &Arc<Shared>,
    id: RequestId,
) -> Result<PlainAnswer, Refusal> {
    if shared.draining() {
        return Err(Refusal::Draining);
    }
    let (alias, path) = rest.split_once('/').unwrap_or((rest, ""));
    let view = shared.view();
    let authorized = authorize::authorize(request, alias, &view)?;
    let rules = view.configuration.services.get(&authorized.service);
    let mut call = PlainCall {
        body: Vec::new(),
        headers: headers(request, id),
        idempotent: rules.is_some_and(|rules| rules.idempotent),
        method: request.method().to_string(),
        path: format!("/{path}"),
    };
    request
        .as_reader()
        .take(MAX_BODY_BYTES)
        .read_to_end(&mut call.body)
        .map_err(|error| Refusal::BadBody {
            message: error.to_string(),
        })?;
    let target = route::pick(shared, &view, &authorized.service, &[]).ok_or(Refusal::NoTarget)?;
    let _guard = shared.enter_target(&target.target);
    shared
        .client(target.address)
        .call(&call, ANSWER_IDLE)
        .map_err(|error| Refusal::TargetFailed {
            message: error.to_string(),
            ran: error.ran(),
        })
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
