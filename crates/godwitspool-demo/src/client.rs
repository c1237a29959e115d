//! The callers' side of the HTTP interface.

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

/// Begins the reason of an answer that ended with an error event; the event's reason follows.
pub(crate) const BROKE_OFF: &str = "the answer broke off: ";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// What came of a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply<T> {
    /// The connection or the answer broke off.
    Broken(String),
    /// The answer was told to be complete.
    Complete(T),
    /// The request was refused.
    Refused(Refusal),
}

/// A refusal.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Machine-readable reason.
    pub(crate) reason: String,
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// HTTP status.
    pub(crate) status: u16,
}

impl Refusal {
    /// Returns whether the key was refused.
    pub(crate) fn is_of_key(&self) -> bool {
        matches!(self.status, 401 | 403)
    }
}

/// An answer of tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tokens {
    /// Why the answer ended.
    pub(crate) finish: Option<Finish>,
    /// The tokens.
    pub(crate) texts: Vec<String>,
}

/// An answer of a plain service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plain {
    /// Body.
    pub(crate) body: String,
    /// Status.
    pub(crate) status: u16,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall<'a> {
    /// Body.
    pub(crate) body: String,
    /// Path and query, behind the service's name.
    pub(crate) path: String,
    /// Name of the service, as the workspace sees it.
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

/// A client of the system's hosts.
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

    /// Sends any request; the body of a refusal is read.
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
            Err(error) => unsent(&error),
            Ok(response) => match refusal(response) {
                Ok(response) => Reply::Complete(response),
                Err(refused) => refused,
            },
        }
    }

    /// Asks for a generation. `progress` is called at each token.
    pub(crate) fn generate(
        &self,
        host: SocketAddr,
        key: Option<&Key>,
        asked: &Generate,
        mut progress: impl FnMut(),
    ) -> Reply<Tokens> {
        let request = Request::post(format!("http://{host}/v1/chat/completions"))
            .header("content-type", "application/json");
        let body = serde_json::to_vec(asked).unwrap_or_default();
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
            if let Err(reply) = add(event, &mut tokens) {
                return reply;
            }
        }
        Reply::Broken("the answer ended without its end mark".to_owned())
    }

    /// Calls a plain service.
    pub(crate) fn call(
        &self,
        host: SocketAddr,
        key: Option<&Key>,
        call: &PlainCall<'_>,
    ) -> Reply<Plain> {
        let url = format!("http://{host}/services/{}/{}", call.service, call.path);
        let sent = self.send(Request::post(url), key, call.body.clone().into_bytes());
        let mut response = match sent {
            Reply::Complete(response) => response,
            Reply::Broken(reason) => return Reply::Broken(reason),
            Reply::Refused(refusal) => return Reply::Refused(refusal),
        };
        let status = response.status().as_u16();
        match response.body_mut().read_to_string() {
            Ok(body) => Reply::Complete(Plain { body, status }),
            Err(error) => Reply::Broken(error.to_string()),
        }
    }
}

/// A request that no connection was opened for has not run.
fn unsent<T>(error: &ureq::Error) -> Reply<T> {
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

/// Tells the system's own refusals from answers of services by the shape of their body.
fn refusal<T>(mut response: Response<Body>) -> Result<Response<Body>, Reply<T>> {
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
            "status {status} without a reason: {body}"
        )));
    };
    let ErrorFields { ran, reason } = parsed.error;
    Err(Reply::Refused(Refusal {
        reason,
        ran,
        status,
    }))
}

fn add(event: &str, tokens: &mut Tokens) -> Result<(), Reply<Tokens>> {
    if let Ok(error) = serde_json::from_str::<ErrorBody>(event) {
        let reason = error.error.reason;
        return Err(Reply::Broken(format!("{BROKE_OFF}{reason}")));
    }
    let chunk = serde_json::from_str::<Chunk>(event)
        .map_err(|error| Reply::Broken(format!("{error} in {event:?}")))?;
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
