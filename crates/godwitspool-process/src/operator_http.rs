//! The HTTP server for operators: `/metrics`, `/healthz`, `/readyz`, `/status` and a daemon's own
//! pages.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
};

use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response};

use crate::{HttpListener, Metrics};

const OPEN_METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON_TYPE: &str = "application/json";

/// Whether a daemon is ready to serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// The daemon is not ready, with the reason. `/readyz` responds with status 503.
    NotReady(String),
    /// The daemon is ready. `/readyz` responds with status 200.
    Ready,
}

/// What a daemon provides to its operators.
pub trait OperatorApi: Send + Sync + 'static {
    /// Returns whether the daemon is ready to serve.
    fn readiness(&self) -> Readiness;

    /// Returns the contents of `/status`.
    fn status(&self) -> Value;

    /// Answers a GET request for a further page, such as `/explain/ID`; `None` if there is no such
    /// page.
    fn page(&self, _path: &str) -> Option<Value> {
        None
    }

    /// Performs the action of a POST request, such as `/drain`; `None` if there is no such action.
    fn act(&self, _path: &str) -> Option<Value> {
        None
    }
}

/// Serves a daemon's pages in a thread until it is stopped or dropped.
#[derive(Debug)]
pub struct OperatorHttp {
    listener: Arc<HttpListener>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorHttp {
    /// Starts serving on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be configured, or the server or its thread can't be started.
    pub fn start(
        listener: TcpListener,
        metrics: Arc<Metrics>,
        api: Arc<impl OperatorApi>,
    ) -> io::Result<Self> {
        let listener = Arc::new(HttpListener::new(listener)?);
        let own = Arc::clone(&listener);
        let thread = thread::Builder::new()
            .name("operator-http".to_owned())
            .spawn(move || {
                while let Some(request) = own.next() {
                    answer(request, &metrics, &*api);
                }
            })?;
        Ok(Self {
            listener,
            thread: Some(thread),
        })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops serving and waits for the thread to end.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.listener.stop();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

impl Drop for OperatorHttp {
    fn drop(&mut self) {
        self.end();
    }
}

struct Page {
    status: u16,
    content_type: &'static str,
    text: String,
}

impl Page {
    fn json(status: u16, value: &Value) -> Self {
        Self {
            status,
            content_type: JSON_TYPE,
            text: value.to_string(),
        }
    }
}

fn answer(request: Request, metrics: &Metrics, api: &impl OperatorApi) {
    let page = page(&request, metrics, api);
    let mut response = Response::from_string(page.text).with_status_code(page.status);
    if let Ok(header) = Header::from_bytes("Content-Type", page.content_type) {
        response.add_header(header);
    }
    if let Err(error) = request.respond(response) {
        log::debug!("can't send a page to an operator: {error}");
    }
}

fn page(request: &Request, metrics: &Metrics, api: &impl OperatorApi) -> Page {
    let path = request.url().split('?').next().unwrap_or_default();
    let found = match (request.method(), path) {
        (Method::Get, "/metrics") => {
            return Page {
                status: 200,
                content_type: OPEN_METRICS_TYPE,
                text: metrics.text(),
            };
        }
        (Method::Get, "/healthz") => Some(json!({ "healthy": true })),
        (Method::Get, "/readyz") => return readiness(api),
        (Method::Get, "/status") => Some(api.status()),
        (Method::Get, path) => api.page(path),
        (Method::Post, path) => api.act(path),
        (method, _) => {
            let error = format!("method {method} is not served");
            return Page::json(405, &json!({ "error": error }));
        }
    };
    match found {
        Some(value) => Page::json(200, &value),
        None => Page::json(404, &json!({ "error": format!("nothing at {path}") })),
    }
}

fn readiness(api: &impl OperatorApi) -> Page {
    match api.readiness() {
        Readiness::Ready => Page::json(200, &json!({ "ready": true })),
        Readiness::NotReady(reason) => {
            Page::json(503, &json!({ "ready": false, "reason": reason }))
        }
    }
}
