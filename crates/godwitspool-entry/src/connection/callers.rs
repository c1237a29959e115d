//! The callers' HTTP listener.

use std::{
    io,
    net::TcpListener,
    sync::Arc,
    thread::{self, JoinHandle},
};

use godwitspool_process::HttpListener;
use godwitspool_request::Reason;
use tiny_http::Request;

use crate::{
    connection::answer,
    process::shared::Shared,
    request::{generation, plain, refusal::Refusal},
    rollout::trainers,
};

/// Maximum number of requests in progress. Further ones are refused with `queue-full`.
const MAX_IN_PROGRESS: usize = 2_000;

/// The listener's thread. Dropping this value stops the listener and joins the thread.
#[derive(Debug)]
pub(crate) struct Callers {
    listener: Arc<HttpListener>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.listener.stop();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// Serves callers until the returned value is dropped.
pub(crate) fn listen(listener: TcpListener, shared: Arc<Shared>) -> io::Result<Callers> {
    let listener = Arc::new(HttpListener::new(listener)?);
    let own = Arc::clone(&listener);
    let thread = thread::Builder::new()
        .name("callers".to_owned())
        .spawn(move || {
            while let Some(request) = own.next() {
                start(request, &shared);
            }
            refuse_late(own);
        })?;
    Ok(Callers {
        listener,
        thread: Some(thread),
    })
}

/// Refuses requests that arrive on open connections after the listener has stopped, for a bounded
/// time.
///
/// The thread isn't joined. It matters only where the process outlives its entry.
fn refuse_late(listener: Arc<HttpListener>) {
    let refuse = move || {
        while let Some(request) = listener.next_after_stop() {
            answer::refuse(request, &Refusal::from(Reason::Draining));
        }
    };
    let spawned = thread::Builder::new()
        .name("late-callers".to_owned())
        .spawn(refuse);
    if let Err(error) = spawned {
        log::debug!("can't start the thread that refuses late callers: {error}");
    }
}

fn start(request: Request, shared: &Arc<Shared>) {
    if shared.in_progress() >= MAX_IN_PROGRESS {
        answer::refuse(request, &Refusal::from(Reason::QueueFull));
        return;
    }
    let guard = shared.track_request();
    let shared = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("request".to_owned())
        .spawn(move || {
            handle(request, &shared);
            drop(guard);
        });
    if let Err(error) = spawned {
        log::error!("can't start a thread for a request: {error}");
    }
}

fn handle(request: Request, shared: &Arc<Shared>) {
    let path = request.url().to_owned();
    if path == "/v1/chat/completions" {
        generation::handle(request, shared);
    } else if let Some(rest) = path.strip_prefix("/services/") {
        plain::handle(request, rest, shared);
    } else if let Some(rest) = path.strip_prefix("/v1/trainers/") {
        trainers::handle(request, rest, shared);
    } else {
        answer::refuse(request, &Refusal::UnknownPath);
    }
}
