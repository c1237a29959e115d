//! HTTP client for callers and trainers.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    time::Duration,
};

use godwitspool_connection::engine::{Chunk, Finish, Generate};
use godwitspool_types::{Key, Ran};
use serde::Deserialize;
use ureq::{
    Agent, Body,
    http::{Request, Response},
};

/// Prefix of the reason in [`Reply::Broken`] when a stream ended with an error event. The reason in
/// the event follows.
pub(crate) const ERROR_EVENT_PREFIX: &str = "stream ended with an error event: ";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a request, including the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Result of a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply<T> {
    /// The connection failed or the answer ended early, for this reason.
    Broken(String),
    /// The answer was received to its end. Its content is not checked yet.
    Complete(T),
    /// The system refused the request.
    Refused(Refusal),
}

/// A refusal by the system.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Machine-readable reason.
    pub(crate) reason: String,
    /// Whether the request ran, according to the system.
    pub(crate) ran: Ran,
    /// HTTP status, or 0 if no connection was opened.
    pub(crate) status: u16,
}

impl Refusal {
    /// Returns whether the request was refused because of its key.
    pub(crate) fn is_key_refusal(&self) -> bool {
        matches!(self.status, 401 | 403)
    }
}

/// The answer to a generation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tokens {
    /// Finish reason, if the answer has one.
    pub(crate) finish: Option<Finish>,
    /// Text of each token.
    pub(crate) texts: Vec<String>,
}

/// The answer of a plain service.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlainAnswer {
    pub(crate) body: String,
    /// HTTP status.
    pub(crate) status: u16,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall<'a> {
    pub(crate) body: String,
    /// Path and query after the service's name.
    pub(crate) path: String,
    /// The workspace's alias of the service.
    pub(crate) service: &'a str,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Deserialize)]
struct ErrorFields {
    ran: Ran,
    reason: String,
}

/// A client for the system's HTTP interface.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    agent: Agent,
}

impl Client {
    pub(crate) fn new() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
        }
    }

    /// Sends a request. Reads the body of the response only if it is a refusal.
    pub(crate) fn send(
        &self,
        mut request: ureq::http::request::Builder,
        key: Option<&Key>,
        body: Vec<u8>,
    ) -> Reply<Response<Body>> {
        if let Some(key) = key {
            request = request.header("authorization", format!("Bearer {}", key.expose()));
        }
        let request: Request<Vec<u8>> = match request.body(body) {
            Ok(request) => request,
            Err(error) => return Reply::Broken(error.to_string()),
        };
        match self.agent.run(request) {
            Err(error) => classify_error(&error),
            Ok(response) => match parse_refusal(response) {
                Ok(response) => Reply::Complete(response),
                Err(refused) => refused,
            },
        }
    }

    /// Requests a generation and reads the stream to its end. Calls `progress` for each event.
    pub(crate) fn generate(
        &self,
        host: SocketAddr,
        key: Option<&Key>,
        generation: &Generate,
        mut progress: impl FnMut(),
    ) -> Reply<Tokens> {
        let request = Request::post(format!("http://{host}/v1/chat/completions"))
            .header("content-type", "application/json");
        let body = serde_json::to_vec(generation).unwrap_or_default();
        let response = match self.send(request, key, body) {
            Reply::Complete(response) => response,
            Reply::Broken(reason) => return Reply::Broken(reason),
            Reply::Refused(refusal) => return Reply::Refused(refusal),
        };
        let mut tokens = Tokens::default();
        for line in BufReader::new(response.into_body().into_reader()).lines() {
            let line = match line {
                Ok(line) => line,
                Err(error) => return Reply::Broken(error.to_string()),
            };
            let Some(event) = line.strip_prefix("data: ") else {
                continue;
            };
            if event == "[DONE]" {
                return Reply::Complete(tokens);
            }
            progress();
            if let Err(reply) = push_event(event, &mut tokens) {
                return reply;
            }
        }
        Reply::Broken("stream ended without [DONE]".to_owned())
    }

    /// Sends a call to a plain service and reads the complete answer.
    pub(crate) fn call(
        &self,
        host: SocketAddr,
        key: Option<&Key>,
        call: &PlainCall<'_>,
    ) -> Reply<PlainAnswer> {
        let url = format!("http://{host}/services/{}/{}", call.service, call.path);
        let sent = self.send(Request::post(url), key, call.body.clone().into_bytes());
        let mut response = match sent {
            Reply::Complete(response) => response,
            Reply::Broken(reason) => return Reply::Broken(reason),
            Reply::Refused(refusal) => return Reply::Refused(refusal),
        };
        let status = response.status().as_u16();
        match response.body_mut().read_to_string() {
            Ok(body) => Reply::Complete(PlainAnswer { body, status }),
            Err(error) => Reply::Broken(error.to_string()),
        }
    }
}

/// Returns a refusal if no connection was opened, since the request can't have run.
fn classify_error<T>(error: &ureq::Error) -> Reply<T> {
    let refused = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if refused {
        let reason = "connection-refused".to_owned();
        return Reply::Refused(Refusal {
            reason,
            ran: Ran::NotRun,
            status: 0,
        });
    }
    Reply::Broken(error.to_string())
}

/// Returns responses with a status below 400, and converts others to a [`Reply`].
///
/// Refusals by the system are recognized by the JSON format of their body. Other error responses
/// are [`Reply::Broken`].
fn parse_refusal<T>(mut response: Response<Body>) -> Result<Response<Body>, Reply<T>> {
    let status = response.status().as_u16();
    if status < 400 {
        return Ok(response);
    }
    let body = match response.body_mut().read_to_string() {
        Ok(body) => body,
        Err(error) => return Err(Reply::Broken(error.to_string())),
    };
    let Ok(parsed) = serde_json::from_str::<ErrorBody>(&body) else {
        return Err(Reply::Broken(format!(
            "status {status} without a machine-readable reason: {body}"
        )));
    };
    let ErrorFields { ran, reason } = parsed.error;
    Err(Reply::Refused(Refusal {
        reason,
        ran,
        status,
    }))
}

/// Adds the tokens of a stream event. Returns [`Reply::Broken`] for an error event and for an event
/// that can't be parsed.
fn push_event(event: &str, tokens: &mut Tokens) -> Result<(), Reply<Tokens>> {
    if let Ok(error) = serde_json::from_str::<ErrorBody>(event) {
        let reason = error.error.reason;
        return Err(Reply::Broken(format!("{ERROR_EVENT_PREFIX}{reason}")));
    }
    let chunk = serde_json::from_str::<Chunk>(event)
        .map_err(|error| Reply::Broken(format!("can't parse event {event:?}: {error}")))?;
    for choice in chunk.choices {
        if !choice.delta.content.is_empty() {
            tokens.texts.push(choice.delta.content);
        }
        if choice.finish_reason.is_some() {
            tokens.finish = choice.finish_reason;
        }
    }
    Ok(())
}
