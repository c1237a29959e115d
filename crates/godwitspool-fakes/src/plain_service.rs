//! A fake plain service that echoes calls and counts them.

use std::{
    fmt, io,
    io::Write,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use godwitspool_types::TargetName;
use serde::{Deserialize, Serialize};
use tiny_http::{Request, Response};

use crate::{
    relay::Relay,
    server::{HttpServer, find_key, leave_unanswered, lock, read_body, respond_json, wall_ms},
};

const HTTP_WORKERS: usize = 16;

/// Options of a [`PlainService`].
///
/// ```
/// use godwitspool_fakes::PlainOptions;
///
/// let options = PlainOptions { delay_ms: 20, ..PlainOptions::default() };
/// assert_eq!(options.listen.port(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct PlainOptions {
    /// Time that a call takes before the response, in milliseconds.
    pub delay_ms: u64,
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// A call whose URL or body contains this text crashes the service; empty for none.
    pub poison: String,
    /// Target name in history records.
    pub target: TargetName,
}

impl Default for PlainOptions {
    fn default() -> Self {
        Self {
            delay_ms: 3,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            poison: "poison-prompt".to_owned(),
            target: TargetName::from("plain"),
        }
    }
}

/// Fault of responses.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlainFault {
    /// The call runs, and all connections are closed in the middle of its response.
    Cut,
    /// The call runs, but no response is sent.
    Lost,
    /// No fault.
    #[default]
    None,
}

/// History record of a call that ran on a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlainCall {
    /// Wall clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Body of the request; invalid UTF-8 is replaced.
    pub body: String,
    /// Identifier from the query parameter `call`; empty if there is none.
    pub call: String,
    /// Where the request contained a caller's API key; `None` if it contained none.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Name of the service, as set in [`PlainOptions::target`].
    pub target: TargetName,
    /// Path and query.
    pub url: String,
}

/// A fake plain service. The query parameter `call` identifies a call for counting, and `status`
/// sets the status of the response.
///
/// ```
/// use godwitspool_fakes::{PlainOptions, PlainService};
///
/// let service = PlainService::start(PlainOptions::default())?;
/// let answer = ureq::get(format!("http://{}/a?call=1", service.address())).call();
/// assert_eq!(answer.map(|answer| answer.status().as_u16()).ok(), Some(200));
/// assert_eq!(service.calls("1"), 1);
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct PlainService {
    relay: Arc<Relay>,
    shared: Arc<Shared>,
    // Dropped last: the relay has then closed the connections to this server.
    _server: HttpServer,
}

struct Shared {
    options: PlainOptions,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    crashed: bool,
    fault: PlainFault,
    history: Vec<PlainCall>,
    relay: Option<Arc<Relay>>,
}

impl PlainService {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub fn start(options: PlainOptions) -> io::Result<Self> {
        let listen = options.listen;
        let shared = Arc::new(Shared {
            options,
            state: Mutex::default(),
        });
        let server = {
            let shared = Arc::clone(&shared);
            let local = SocketAddr::from(([127, 0, 0, 1], 0));
            HttpServer::start(local, HTTP_WORKERS, move |request| handle(request, &shared))?
        };
        let relay = Arc::new(Relay::start(listen, server.address())?);
        lock(&shared.state).relay = Some(Arc::clone(&relay));
        Ok(Self {
            relay,
            shared,
            _server: server,
        })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Returns the target name, as set in [`PlainOptions::target`].
    pub fn target(&self) -> &TargetName {
        &self.shared.options.target
    }

    /// Returns the relay in front of the service, which can close or silence connections.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Returns the calls that ran.
    pub fn history(&self) -> Vec<PlainCall> {
        lock(&self.shared.state).history.clone()
    }

    /// Returns the number of calls that ran with this identifier.
    pub fn calls(&self, call: &str) -> usize {
        let state = lock(&self.shared.state);
        state
            .history
            .iter()
            .filter(|seen| seen.call == call)
            .count()
    }

    /// Sets the fault of all further responses.
    pub fn set_fault(&self, fault: PlainFault) {
        lock(&self.shared.state).fault = fault;
    }

    /// Closes all connections and refuses new ones until [`restart`](Self::restart).
    pub fn crash(&self) {
        lock(&self.shared.state).crashed = true;
        self.relay.set_down(true);
    }

    /// Returns whether the service is down, after a poison call or a call of
    /// [`crash`](Self::crash).
    pub fn is_crashed(&self) -> bool {
        lock(&self.shared.state).crashed
    }

    /// Serves again after a crash.
    pub fn restart(&self) {
        lock(&self.shared.state).crashed = false;
        self.relay.set_down(false);
    }
}

impl fmt::Debug for PlainService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlainService")
            .field("address", &self.address())
            .field("target", self.target())
            .finish_non_exhaustive()
    }
}

impl Drop for PlainService {
    fn drop(&mut self) {
        lock(&self.shared.state).relay = None;
        self.relay.cut();
    }
}

/// JSON body of a response.
#[derive(Serialize)]
struct Echo<'a> {
    body: &'a str,
    call: &'a str,
    method: &'a str,
    url: &'a str,
}

fn handle(mut request: Request, shared: &Shared) {
    let body = read_body(&mut request);
    let call = PlainCall {
        at_ms: wall_ms(),
        body: String::from_utf8_lossy(&body).into_owned(),
        call: query_value(request.url(), "call")
            .unwrap_or_default()
            .to_owned(),
        key: find_key(&request, &body),
        method: request.method().to_string(),
        target: shared.options.target.clone(),
        url: request.url().to_owned(),
    };
    if request.url() == "/history" {
        return respond_json(request, &lock(&shared.state).history.clone());
    }
    let (fault, relay) = {
        let mut state = lock(&shared.state);
        if state.crashed {
            return;
        }
        state.history.push(call.clone());
        (state.fault, state.relay.clone())
    };
    let poison = &shared.options.poison;
    if !poison.is_empty() && (call.url.contains(poison) || call.body.contains(poison)) {
        lock(&shared.state).crashed = true;
        if let Some(relay) = relay {
            relay.set_down(true);
        }
        return;
    }
    thread::sleep(Duration::from_millis(shared.options.delay_ms));
    match fault {
        PlainFault::Cut => cut_response(request, relay.as_deref()),
        PlainFault::Lost => leave_unanswered(request),
        PlainFault::None => respond_echo(request, &call),
    }
}

fn respond_echo(request: Request, call: &PlainCall) {
    let status = query_value(&call.url, "status").and_then(|text| text.parse().ok());
    let echo = Echo {
        body: &call.body,
        call: &call.call,
        method: &call.method,
        url: &call.url,
    };
    match serde_json::to_vec(&echo) {
        Ok(body) => {
            let response = Response::from_data(body).with_status_code(status.unwrap_or(200u16));
            drop(request.respond(response));
        }
        Err(_) => leave_unanswered(request),
    }
}

/// Sends a part of a response and closes all connections.
fn cut_response(request: Request, relay: Option<&Relay>) {
    let mut writer = request.into_writer();
    drop(writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf"));
    drop(writer.flush());
    if let Some(relay) = relay {
        relay.cut();
    }
}

fn query_value<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
