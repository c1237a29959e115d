//! A fake model engine on real sockets.

use std::{
    collections::VecDeque,
    fmt, io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use godwitspool_connection::engine::Load;
use godwitspool_types::{TargetName, Term, WeightVersion};

use crate::{
    batch::Batch,
    engine_event::{EngineEvent, EngineRecord},
    engine_http,
    engine_options::{EngineOptions, SwapFault},
    prefix_cache::PrefixCache,
    relay::Relay,
    server::{HttpServer, lock, wall_ms},
};

const HTTP_WORKERS: usize = 4;
const IDLE_WAIT: Duration = Duration::from_millis(50);

/// A fake model engine with continuous batching that streams deterministic tokens.
///
/// ```
/// use godwitspool_fakes::{Engine, EngineOptions};
///
/// let engine = Engine::start(EngineOptions::default())?;
/// engine.crash();
/// assert!(engine.is_crashed());
/// engine.restart();
/// assert!(!engine.is_crashed());
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct Engine {
    relay: Arc<Relay>,
    shared: Arc<Shared>,
    stepper: Option<JoinHandle<()>>,
    // Dropped last: the relay has then closed the connections to this server.
    _server: HttpServer,
}

/// State that the threads of an engine share.
pub(crate) struct Shared {
    pub(crate) options: EngineOptions,
    pub(crate) state: Mutex<State>,
    pub(crate) wake: Condvar,
    stopped: AtomicBool,
}

/// Mutable part of [`Shared`].
pub(crate) struct State {
    pub(crate) batch: Batch,
    pub(crate) cache: PrefixCache,
    pub(crate) crashed: bool,
    pub(crate) history: Vec<EngineRecord>,
    /// Load reports with their wall clock time in milliseconds, oldest first.
    pub(crate) loads: VecDeque<(u64, Load)>,
    pub(crate) paused: bool,
    pub(crate) swap_fault: SwapFault,
    pub(crate) term: Term,
    pub(crate) weights: WeightVersion,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let listen = options.listen;
        let state = State {
            batch: Batch::new(options.kv_blocks),
            cache: PrefixCache::new(options.loss_interval),
            crashed: false,
            history: Vec::new(),
            loads: VecDeque::new(),
            paused: false,
            swap_fault: SwapFault::None,
            term: Term(0),
            weights: options.weights.clone(),
        };
        let shared = Arc::new(Shared {
            options,
            state: Mutex::new(state),
            wake: Condvar::new(),
            stopped: AtomicBool::new(false),
        });
        let server = {
            let shared = Arc::clone(&shared);
            let local = SocketAddr::from(([127, 0, 0, 1], 0));
            HttpServer::start(local, HTTP_WORKERS, move |request| {
                engine_http::handle(request, &shared);
            })?
        };
        let relay = Arc::new(Relay::start(listen, server.address())?);
        let stepper = {
            let shared = Arc::clone(&shared);
            let relay = Arc::clone(&relay);
            thread::spawn(move || run(&shared, &relay))
        };
        Ok(Self {
            relay,
            shared,
            stepper: Some(stepper),
            _server: server,
        })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Returns the target name, as set in [`EngineOptions::target`].
    pub fn target(&self) -> &TargetName {
        &self.shared.options.target
    }

    /// Returns the relay in front of the engine, which can close or silence connections.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Returns all records, and an [`EngineEvent::Ended`] without a finish for each running stream.
    pub fn history(&self) -> Vec<EngineRecord> {
        lock(&self.shared.state).full_history(self.target())
    }

    /// Returns the weight version in use.
    pub fn weights(&self) -> WeightVersion {
        lock(&self.shared.state).weights.clone()
    }

    /// Closes all connections and refuses new ones until [`restart`](Self::restart).
    pub fn crash(&self) {
        self.shared.crash();
        self.relay.set_down(true);
    }

    /// Returns whether the engine is down, after a poison prompt or a call of
    /// [`crash`](Self::crash).
    pub fn is_crashed(&self) -> bool {
        lock(&self.shared.state).crashed
    }

    /// Serves again after a crash, with an empty cache and the initial weight version.
    pub fn restart(&self) {
        {
            let mut state = lock(&self.shared.state);
            state.crashed = false;
            state.weights = self.shared.options.weights.clone();
        }
        self.relay.set_down(false);
    }

    /// Stops all traffic on the open connections without closing them; new connections work.
    pub fn silence(&self) {
        self.relay.silence();
    }

    /// While set, produces no tokens and keeps all connections open.
    pub fn set_paused(&self, on: bool) {
        lock(&self.shared.state).paused = on;
        self.shared.wake.notify_all();
    }

    /// Sets the fault of all further weight swaps.
    pub fn set_swap_fault(&self, fault: SwapFault) {
        lock(&self.shared.state).swap_fault = fault;
    }
}

impl fmt::Debug for Engine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Engine")
            .field("address", &self.address())
            .field("target", self.target())
            .finish_non_exhaustive()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.shared.wake.notify_all();
        if let Some(stepper) = self.stepper.take() {
            drop(stepper.join());
        }
        lock(&self.shared.state).batch.clear();
        self.relay.cut();
    }
}

impl State {
    /// Returns the history, and a record of the tokens sent so far for each running stream.
    pub(crate) fn full_history(&self, target: &TargetName) -> Vec<EngineRecord> {
        let at_ms = wall_ms();
        let unfinished = self.batch.running_records().map(|event| EngineRecord {
            at_ms,
            event,
            target: target.clone(),
        });
        self.history.iter().cloned().chain(unfinished).collect()
    }
}

impl Shared {
    /// Ends all streams and runs no new requests.
    pub(crate) fn crash(&self) {
        let mut state = lock(&self.state);
        if state.crashed {
            return;
        }
        state.crashed = true;
        let ended = state.batch.clear();
        state.cache.clear();
        state.loads.clear();
        for event in ended {
            self.record(&mut state, event);
        }
        self.record(&mut state, EngineEvent::Crashed);
    }

    /// Adds an event to the history.
    pub(crate) fn record(&self, state: &mut State, event: EngineEvent) {
        let target = self.options.target.clone();
        state.history.push(EngineRecord {
            at_ms: wall_ms(),
            event,
            target,
        });
    }

    fn step_time(&self, running: usize) -> Duration {
        let work = Duration::from_micros(self.options.request_us * running as u64);
        Duration::from_millis(self.options.step_ms) + work
    }
}

/// Runs steps until the engine is stopped.
fn run(shared: &Shared, relay: &Relay) {
    let mut due = Instant::now();
    while !shared.stopped.load(Ordering::Relaxed) {
        let state = lock(&shared.state);
        if state.paused || state.crashed || state.batch.is_idle() {
            drop(shared.wake.wait_timeout(state, IDLE_WAIT));
            due = Instant::now();
            continue;
        }
        drop(state);
        let now = Instant::now();
        if due > now {
            thread::sleep(due - now);
        }
        let crash = step(shared, &mut due);
        if crash {
            shared.crash();
            relay.set_down(true);
        }
    }
}

/// Runs one step and sets when the next one is due. Returns true if a poison prompt crashes the
/// engine.
fn step(shared: &Shared, due: &mut Instant) -> bool {
    let mut state = lock(&shared.state);
    let state = &mut *state;
    let weights = state.weights.clone();
    let stepped = state.batch.step(&weights);
    for event in stepped.events {
        shared.record(state, event);
    }
    let now = wall_ms();
    state.loads.push_back((now, state.batch.load(&weights)));
    let oldest = now.saturating_sub(2 * shared.options.load_lag_ms);
    while state.loads.front().is_some_and(|(at, _)| *at < oldest) && state.loads.len() > 1 {
        state.loads.pop_front();
    }
    let time = shared.step_time(state.batch.len());
    // Steps don't catch up after a late one.
    *due = (*due + time).max(Instant::now());
    stepped.crash
}
