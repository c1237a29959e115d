//! Trainers' HTTP requests.
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/trainers/T/steps/S/groups` | progress, once the home and its replica, if any, hold the groups |
//! | `GET /v1/trainers/T/steps/S/batch?page=N&digest=D&wait_ms=M` | a page, or 202 with the progress |
//! | `POST /v1/trainers/T/steps/S/ack` | the digest |
//! | `POST /v1/trainers/T/steps/S/rewind` | the step and all later ones are dropped |
//! | `GET /v1/trainers/T/steps/S/samples/GROUP/INDEX` | what happened to a sample on this host |

use std::{
    io::Read,
    sync::Arc,
    time::{Duration, Instant},
};

use godwitspool_connection::messages::View;
use godwitspool_rollout::{
    Answer, Digest, Refusal as StepRefusal, Request as StepRequest, SampleId, StepNumber,
};
use godwitspool_types::{Key, TrainerName};
use godwitspool_version::UnconfirmedKeys;
use serde::{Serialize, de::DeserializeOwned};
use tiny_http::{Method, Request, Response};

use super::wire::{AckBody, GroupsBody, PageBody, ProgressBody, RewindBody};
use crate::{connection::answer, process::shared::Shared, request::refusal::Refusal};

const BEARER: &str = "Bearer ";
const MAX_BODY_BYTES: u64 = 32 << 20;
const MAX_WAIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which a request is repeated while its steps move between hosts.
const MOVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The parts of a trainer's path.
#[derive(Debug)]
struct Route<'a> {
    action: &'a str,
    query: &'a str,
    step: StepNumber,
    trainer: TrainerName,
}

/// Serves a trainer's request. `rest` is the path after `/v1/trainers/`.
pub(crate) fn handle(mut request: Request, rest: &str, shared: &Arc<Shared>) {
    match serve(&mut request, rest, shared) {
        Ok(answer) => respond(request, &answer),
        Err(refusal) => answer::refuse(request, &refusal),
    }
}

/// An HTTP status and a JSON body.
struct Reply {
    body: String,
    status: u16,
}

impl Reply {
    fn new(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_string(body).unwrap_or_default();
        Self { body, status }
    }
}

fn serve(request: &mut Request, rest: &str, shared: &Arc<Shared>) -> Result<Reply, Refusal> {
    let view = shared.view();
    if view.revision == 0 {
        return Err(Refusal::NotReady);
    }
    let route = route(rest, &view).ok_or(Refusal::UnknownPath)?;
    check_key(request, &route.trainer, &view)?;
    let step = route.step;
    let step_request = match (request.method(), route.action) {
        (Method::Post, "groups") => {
            let body: GroupsBody = read_json(request)?;
            let total = body.total;
            StepRequest::Submit {
                groups: body.groups(),
                step,
                total,
            }
        }
        (Method::Get, "batch") => return fetch(&route, shared),
        (Method::Post, "ack") => StepRequest::Acknowledge {
            digest: parse_digest(&read_json::<AckBody>(request)?.digest)?,
            step,
        },
        (Method::Post, "rewind") => StepRequest::Rewind {
            number: read_json::<RewindBody>(request)?.number,
            step,
        },
        (Method::Get, action) => return explain(action, &route, shared),
        _ => return Err(Refusal::UnknownPath),
    };
    Ok(reply(&ask_with_retry(
        shared,
        &route.trainer,
        &step_request,
    )))
}

/// Parses a path. A trainer may be named without its party where that is unambiguous.
fn route<'a>(rest: &'a str, view: &View) -> Option<Route<'a>> {
    let (path, query) = rest.split_once('?').unwrap_or((rest, ""));
    let (trainer, path) = path.split_once("/steps/")?;
    let (step, action) = path.split_once('/')?;
    let trainers = view.configuration.trainers.keys();
    let suffix = format!("/{trainer}");
    let mut named =
        trainers.filter(|name| name.as_str() == trainer || name.as_str().ends_with(&suffix));
    let found = named.next()?.clone();
    // A short name that two parties use is ambiguous and names neither.
    if named.next().is_some() && found.as_str() != trainer {
        return None;
    }
    Some(Route {
        action,
        query,
        step: StepNumber(step.parse().ok()?),
        trainer: found,
    })
}

/// Checks that the key belongs to the workspace that pays for the trainer.
fn check_key(request: &Request, trainer: &TrainerName, view: &View) -> Result<(), Refusal> {
    let header = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("Authorization"));
    let text = header.and_then(|header| header.value.as_str().strip_prefix(BEARER));
    let digest = Key::from(text.ok_or(Refusal::KeyUnknown)?.trim()).digest();
    let configuration = &view.configuration;
    let rules = configuration.trainers.get(trainer);
    let workspace = rules.and_then(|rules| configuration.workspaces.get(&rules.workspace));
    let workspace = workspace.ok_or(Refusal::KeyUnknown)?;
    let is_confirmed = match workspace.unconfirmed_keys {
        UnconfirmedKeys::Serve => true,
        UnconfirmedKeys::RefuseAfterS(seconds) => view.age_ms <= u64::from(seconds) * 1_000,
    };
    let mut is_known = false;
    for key in &workspace.keys {
        // All digests are compared, so that the time taken doesn't reveal which one matched.
        is_known |= key.digest.matches(&digest) && !key.withdrawn;
    }
    if is_known && is_confirmed {
        Ok(())
    } else {
        Err(Refusal::KeyUnknown)
    }
}

fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Refusal> {
    let bad = |message: String| Refusal::BadBody { message };
    let mut body = Vec::new();
    request
        .as_reader()
        .take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut body)
        .map_err(|error| bad(error.to_string()))?;
    if body.len() as u64 > MAX_BODY_BYTES {
        return Err(bad(format!("longer than {MAX_BODY_BYTES} bytes")));
    }
    serde_json::from_slice(&body).map_err(|error| bad(error.to_string()))
}

fn parse_digest(text: &str) -> Result<Digest, Refusal> {
    let parsed = u64::from_str_radix(text, 16);
    parsed.map(Digest).map_err(|error| Refusal::BadBody {
        message: format!("digest \"{text}\": {error}"),
    })
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value)
        .next()
}

/// Fetches a page of a batch. If the trainer asks for it, this waits until the batch is complete.
fn fetch(route: &Route<'_>, shared: &Arc<Shared>) -> Result<Reply, Refusal> {
    let number = |name| parameter(route.query, name).and_then(|text| text.parse::<u64>().ok());
    let step_request = StepRequest::Fetch {
        digest: parameter(route.query, "digest")
            .map(parse_digest)
            .transpose()?,
        page: number("page").unwrap_or(0) as u32,
        step: route.step,
    };
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
    let end = Instant::now() + wait;
    loop {
        let answer = ask_with_retry(shared, &route.trainer, &step_request);
        let left = end.saturating_duration_since(Instant::now());
        if !matches!(answer, Answer::Waiting(_)) || left.is_zero() || shared.draining() {
            return Ok(reply(&answer));
        }
        shared.rollouts.wait(POLL_INTERVAL.min(left));
    }
}

/// Repeats a request while the steps move between hosts.
fn ask_with_retry(
    shared: &Arc<Shared>,
    trainer: &TrainerName,
    step_request: &StepRequest,
) -> Answer {
    let end = Instant::now() + MOVE_TIMEOUT;
    loop {
        let answer = shared.rollouts.ask(shared, trainer, step_request.clone());
        let is_moving = matches!(answer, Answer::Refused(StepRefusal::Moving(_)));
        if !is_moving || Instant::now() >= end {
            return answer;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn explain(action: &str, route: &Route<'_>, shared: &Arc<Shared>) -> Result<Reply, Refusal> {
    let numbers = action
        .strip_prefix("samples/")
        .and_then(|rest| rest.split_once('/'));
    let (group, index) = numbers.ok_or(Refusal::UnknownPath)?;
    let parse = |text: &str| text.parse().map_err(|_error| Refusal::UnknownPath);
    let id = SampleId {
        trainer: route.trainer.clone(),
        step: route.step,
        group: parse(group)?,
        index: parse(index)?,
    };
    Ok(Reply::new(200, &shared.rollouts.sample_events(&id)))
}

fn reply(answer: &Answer) -> Reply {
    match answer {
        Answer::Acknowledged(digest) => {
            let body = serde_json::json!({ "digest": digest.to_string(), "state": "acknowledged" });
            Reply::new(200, &body)
        }
        Answer::Page(page) => Reply::new(200, &PageBody::from(page)),
        Answer::Refused(refusal) => refuse(refusal),
        Answer::Rewound => Reply::new(200, &serde_json::json!({ "state": "rewound" })),
        Answer::Submitted(progress) => Reply::new(200, &ProgressBody::new("submitted", *progress)),
        Answer::Waiting(progress) => Reply::new(202, &ProgressBody::new("waiting", *progress)),
    }
}

fn refuse(refusal: &StepRefusal) -> Reply {
    log::info!(reason = refusal.as_str(); "trainer request refused");
    let status = match refusal {
        StepRefusal::Acknowledged(_) | StepRefusal::Conflict(_) | StepRefusal::WrongBatch(_) => 409,
        StepRefusal::Full { .. } => 429,
        StepRefusal::Gone { .. } => 410,
        StepRefusal::Invalid(_) => 400,
        StepRefusal::Moving(_) => 503,
        StepRefusal::NoSuchPage | StepRefusal::UnknownStep => 404,
    };
    let body = serde_json::json!({ "error": {
        "detail": refusal,
        "ran": "not-run",
        "reason": refusal.as_str(),
    }});
    Reply::new(status, &body)
}

fn respond(request: Request, reply: &Reply) {
    let mut response = Response::from_string(reply.body.as_str())
        .with_status_code(reply.status)
        .with_header(answer::header("Content-Type", "application/json"));
    if matches!(reply.status, 429 | 503) {
        response.add_header(answer::header("Retry-After", "1"));
    }
    if let Err(error) = request.respond(response) {
        log::debug!("trainer disconnected before its answer was sent: {error}");
    }
}
