//! The callers' HTTP listener.

use std::{
    io,
    net::TcpListener,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use tiny_http::{Request, Server};

use crate::{
    connection::answer,
    process::shared::Shared,
    request::{generation, plain, refusal::Refusal},
    rollout::trainers,
};

const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before the listener is opened again after accepting failed.
const REOPEN_PAUSE: Duration = Duration::from_millis(50);
/// Requests in progress at once.
const MAX_IN_PROGRESS: usize = 2_000;

/// The listener's thread. Dropping it joins the thread, once the shared state says stop.
#[derive(Debug)]
pub(crate) struct Callers {
    thread: Option<JoinHandle<()>>,
}

impl Drop for Callers {
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// Serves callers until the shared state says stop.
///
/// The library's accept loop ends for good at its first error, so a clone of the listener is kept
/// and a new server is opened on it.
pub(crate) fn listen(listener: TcpListener, shared: Arc<Shared>) -> io::Result<Callers> {
    let thread = thread::Builder::new()
        .name("callers".to_owned())
        .spawn(move || {
            while !shared.stopped() {
                if let Err(error) = serve(&listener, &shared) {
                    log::warn!("listener is opened again: {error}");
                    thread::sleep(REOPEN_PAUSE);
                }
            }
        })?;
    Ok(Callers {
        thread: Some(thread),
    })
}

fn serve(listener: &TcpListener, shared: &Arc<Shared>) -> io::Result<()> {
    let server = Server::from_listener(listener.try_clone()?, None).map_err(io::Error::other)?;
    while !shared.stopped() {
        if let Some(request) = server.recv_timeout(RECEIVE_TIMEOUT)? {
            start(request, shared);
        }
    }
    Ok(())
}

fn start(request: Request, shared: &Arc<Shared>) {
    if shared.in_progress() >= MAX_IN_PROGRESS {
        answer::refuse(request, &Refusal::Overloaded);
        return;
    }
    let guard = shared.enter_request();
    let shared = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("request".to_owned())
        .spawn(move || {
            handle(request, &shared);
            drop(guard);
        });
    if let Err(error) = spawned {
        log::error!("no thread for a request: {error}");
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
