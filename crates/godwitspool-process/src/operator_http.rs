//! What a daemon tells its operators over HTTP: `/metrics`, `/healthz`, `/readyz`, `/status` and
//! pages of its own.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
};

use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response};

use crate::{HttpListener, Metrics};

const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON: &str = "application/json";

/// Whether a daemon can do its work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// It can't, and why.
    NotReady(String),
    /// It can.
    Ready,
}

/// What operators ask of a daemon.
pub trait OperatorApi: Send + Sync + 'static {
    /// Tells whether the daemon can do its work.
    fn readiness(&self) -> Readiness;

    /// Tells the daemon's state.
    fn status(&self) -> Value;

    /// Answers a further page, such as `/explain/ID`; nothing when there is none.
    fn page(&self, _path: &str) -> Option<Value> {
        None
    }

    /// Carries out an action, such as `/drain`; nothing when there is none.
    fn act(&self, _path: &str) -> Option<Value> {
        None
    }
}

/// Serves a daemon's pages until it is stopped or dropped.
#[derive(Debug)]
pub struct OperatorHttp {
    listener: Arc<HttpListener>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorHttp {
    /// Starts to serve.
    ///
    /// # Errors
    ///
    /// When the listener can't be served or no thread can be started.
    pub fn start(
        listener: TcpListener,
        metrics: Arc<Metrics>,
        operated: Arc<impl OperatorApi>,
    ) -> io::Result<Self> {
        let listener = Arc::new(HttpListener::new(listener)?);
        let own = Arc::clone(&listener);
        let thread = thread::Builder::new()
            .name("operator-http".to_owned())
            .spawn(move || {
                while let Some(request) = own.next() {
                    answer(request, &metrics, &*operated);
                }
            })?;
        Ok(Self {
            listener,
            thread: Some(thread),
        })
    }

    /// Returns the address served.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Ends the service.
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

// ---

struct Page {
    status: u16,
    kind: &'static str,
    text: String,
}

impl Page {
    fn json(status: u16, value: &Value) -> Self {
        Self {
            status,
            kind: JSON,
            text: value.to_string(),
        }
    }
}

fn answer(request: Request, metrics: &Metrics, operated: &impl OperatorApi) {
    let page = page(&request, metrics, operated);
    let mut response = Response::from_string(page.text).with_status_code(page.status);
    if let Ok(kind) = Header::from_bytes("Content-Type", page.kind) {
        response.add_header(kind);
    }
    if let Err(error) = request.respond(response) {
        log::debug!("operator went away: {error}");
    }
}

fn page(request: &Request, metrics: &Metrics, operated: &impl OperatorApi) -> Page {
    let path = request.url().split('?').next().unwrap_or_default();
    let found = match (request.method(), path) {
        (Method::Get, "/metrics") => {
            return Page {
                status: 200,
                kind: OPEN_METRICS,
                text: metrics.text(),
            };
        }
        (Method::Get, "/healthz") => Some(json!({ "healthy": true })),
        (Method::Get, "/readyz") => return readiness(operated),
        (Method::Get, "/status") => Some(operated.status()),
        (Method::Get, path) => operated.page(path),
        (Method::Post, path) => operated.act(path),
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

fn readiness(operated: &impl OperatorApi) -> Page {
    match operated.readiness() {
        Readiness::Ready => Page::json(200, &json!({ "ready": true })),
        Readiness::NotReady(reason) => {
            Page::json(503, &json!({ "ready": false, "reason": reason }))
        }
    }
}
