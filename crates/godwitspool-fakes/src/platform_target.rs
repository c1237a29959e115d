use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_host::http::{Bounds, Caller, Request, Response, Server};
use serde_json::{Value, json};

/// Time until the connection of an unanswered request is closed.
const HANG_DURATION: Duration = Duration::from_secs(20);

/// Time between two bytes of a stream that has stalled.
const DRIP_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a delayed response looks whether its target has ended.
const CRASH_INTERVAL: Duration = Duration::from_millis(2);

/// Number of bytes in a chunk of a body without end.
const ENDLESS_BYTES: usize = 64 * 1024;

/// Fault of a request to a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetFault {
    /// No fault.
    #[default]
    None,
    /// The target responds with status 503 and the header `Not-Run`, and doesn't run the request.
    Refuse,
    /// The target runs the request and responds with this status.
    Fail(u16),
    /// The target closes the connection after the stream's event with this number; with 0, before
    /// the first event.
    CutAfter(u64),
    /// The target runs the request and sends no response.
    Hang,
    /// The target ends after this many milliseconds, with all that it runs.
    Crash(u64),
    /// The target closes the connection without a response.
    Abort,
    /// The target delays the response by this many milliseconds.
    Slow(u64),
    /// After the stream's event with this number, the target sends a byte every 0.5 s and no event.
    DripAfter(u64),
    /// The target responds with a stream, and sends this piece without end after its head.
    Endless(&'static str),
    /// The `Request-Id` of the response is that of another request.
    WrongId,
    /// The target sends the response twice. Has no effect on a stream.
    Extra,
    /// The response has no `Server-Stamp` header. Has no effect on a stream.
    Unsigned,
    /// The stream reports this weight version of the model.
    Version(u64),
}

/// Options of a [`PlatformTarget`].
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Name of the target, which it sends and expects as the instance.
    pub name: String,
    /// Service in the target's entry.
    pub service: String,
    /// Data centre in the target's entry.
    pub dc: String,
    /// Number of slots in the target's entry.
    pub slots: u32,
    /// Number of events in a stream; 0 responds with a plain body instead.
    pub events: u64,
    /// Delay after each event.
    pub gap: Duration,
    /// Initial weight versions by model.
    pub models: Vec<(String, u64)>,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            name: "t-1".to_owned(),
            service: "service".to_owned(),
            dc: "north".to_owned(),
            slots: 8,
            events: 0,
            gap: Duration::from_millis(2),
            models: Vec::new(),
        }
    }
}

/// A fake target that speaks the platform's protocol for workers.
#[derive(Debug)]
pub struct PlatformTarget {
    server: Arc<Server>,
    shared: Arc<Shared>,
}

type FaultFn = Box<dyn Fn(&Request) -> TargetFault + Send>;

struct Shared {
    /// Number of streams whose caller disconnected before the end.
    disconnects: AtomicUsize,
    options: TargetOptions,
    fault: Mutex<Option<FaultFn>>,
    /// Requests that were run, and when each arrived.
    executed: Mutex<Vec<(Instant, Request)>>,
    /// Times at which requests arrived, with those that were refused and without orders.
    arrivals: Mutex<Vec<Instant>>,
    /// Limit in requests a second that responses name.
    limit: Mutex<Option<f64>>,
    /// Whether responses say that the target leaves.
    leaving: AtomicBool,
    orders: Mutex<Vec<Value>>,
    /// When a request has ended the target, if one has.
    crashed: OnceLock<Instant>,
    server: OnceLock<Weak<Server>>,
    /// Weight versions by model.
    models: Mutex<HashMap<String, u64>>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl PlatformTarget {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub fn start(options: TargetOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            disconnects: AtomicUsize::new(0),
            fault: Mutex::default(),
            models: Mutex::new(options.models.iter().cloned().collect()),
            options,
            orders: Mutex::default(),
            executed: Mutex::default(),
            arrivals: Mutex::default(),
            limit: Mutex::default(),
            leaving: AtomicBool::new(false),
            crashed: OnceLock::new(),
            server: OnceLock::new(),
        });
        let own = Arc::clone(&shared);
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let handle = move |caller: &mut Caller, request: Request| own.serve(caller, &request);
        let server = Arc::new(Server::start(address, Bounds::default, handle)?);
        // A new target has no server yet.
        let _ = shared.server.set(Arc::downgrade(&server));
        Ok(Self { server, shared })
    }

    /// Returns the target's entry for the store, with the given state.
    pub fn entry(&self, state: &str) -> Value {
        let models = lock(&self.shared.models);
        let models = models
            .iter()
            .map(|(name, version)| json!({ "name": name, "version": version }));
        let options = &self.shared.options;
        json!({
            "service": options.service, "address": self.server.address().to_string(),
            "zone": options.dc, "version": "v1", "slots": options.slots, "state": state,
            "cold_left_ms": 0, "models": models.collect::<Vec<_>>(), "seq": 1, "born": 1,
        })
    }

    /// Returns the name, as set in [`TargetOptions::name`].
    pub fn name(&self) -> &str {
        &self.shared.options.name
    }

    /// Sets the function that returns the fault of each further request.
    pub fn set_fault(&self, decide: impl Fn(&Request) -> TargetFault + Send + 'static) {
        *lock(&self.shared.fault) = Some(Box::new(decide));
    }

    /// Sets the limit in requests a second that responses name, or none. Responses to requests beyond it
    /// are as usual.
    pub fn set_limit(&self, limit: Option<f64>) {
        *lock(&self.shared.limit) = limit;
    }

    /// Sets whether responses say that the target leaves. It serves on, and its entry isn't changed.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Returns the times at which requests arrived, with those that were refused and without orders.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.shared.arrivals).clone()
    }

    /// Returns the requests that the target ran. Refused requests and those for another instance are
    /// not included.
    pub fn executed(&self) -> Vec<Request> {
        let executed = lock(&self.shared.executed);
        executed.iter().map(|(_, run)| run.clone()).collect()
    }

    /// Returns the identifier of each request that the target ran, and when it arrived.
    pub fn runs(&self) -> Vec<(String, Instant)> {
        let executed = lock(&self.shared.executed);
        let id = |run: &Request| run.headers.get("Request-Id").unwrap_or_default().to_owned();
        executed.iter().map(|(at, run)| (id(run), *at)).collect()
    }

    /// Returns when a request has ended the target, if one has.
    pub fn crashed(&self) -> Option<Instant> {
        self.shared.crashed.get().copied()
    }

    /// Ends the target, with all that it runs.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns the number of streams whose caller disconnected before the end.
    pub fn disconnects(&self) -> usize {
        self.shared.disconnects.load(Ordering::SeqCst)
    }

    /// Returns the accepted orders, without those that were fenced.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.shared.orders).clone()
    }
}

impl Drop for PlatformTarget {
    fn drop(&mut self) {
        self.server.stop();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn serve(&self, caller: &mut Caller, request: &Request) -> io::Result<()> {
        let id = request
            .headers
            .get("Request-Id")
            .unwrap_or_default()
            .to_owned();
        if request.path() == "/api/order" {
            return self.order(caller, request);
        }
        let arrived = Instant::now();
        lock(&self.arrivals).push(arrived);
        let limit = *lock(&self.limit);
        let named = |answer: Response| self.describe(answer, limit);
        let expected = request.headers.get("Expect-Instance");
        if expected.is_some_and(|expected| expected != self.options.name) {
            let answer = named(Response::new(421, Vec::new())).with("Request-Id", &id);
            return caller.respond(&answer.with("Instance-Id", &self.options.name));
        }
        let model = request.headers.get("Model").unwrap_or_default();
        let version = lock(&self.models).get(model).copied();
        let expected = request.headers.get("Expect-Version");
        let expected = expected.and_then(|text| text.parse().ok());
        if expected.is_some() && version.is_some() && expected != version {
            let answer = named(Response::new(421, Vec::new())).with("Request-Id", &id);
            return caller.respond(&answer);
        }
        let fault = lock(&self.fault)
            .as_ref()
            .map(|decide| decide(request))
            .unwrap_or_default();
        if fault == TargetFault::Refuse {
            let answer = named(Response::new(503, Vec::new())).with("Request-Id", &id);
            return caller.respond(&answer.with("Not-Run", "1"));
        }
        lock(&self.executed).push((arrived, request.clone()));
        let id = if fault == TargetFault::WrongId {
            "another".to_owned()
        } else {
            id
        };
        match fault {
            TargetFault::Hang => {
                thread::sleep(HANG_DURATION);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            TargetFault::Slow(ms) => self.delay(ms)?,
            TargetFault::Crash(ms) => {
                self.delay(ms)?;
                self.crash();
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            TargetFault::Abort => return Err(io::ErrorKind::ConnectionAborted.into()),
            TargetFault::Fail(status) => {
                let answer = named(Response::new(status, "failed")).with("Request-Id", &id);
                return caller.respond(&answer.with("Server-Stamp", format!("stamp-{id}")));
            }
            _ => {}
        }
        if self.options.events > 0 || matches!(fault, TargetFault::Endless(_)) {
            return self.stream(caller, request, &id, fault, limit);
        }
        let body = format!(
            "{}:{}",
            self.options.name,
            String::from_utf8_lossy(&request.body)
        );
        let mut answer = named(Response::new(200, body)).with("Request-Id", &id);
        if fault != TargetFault::Unsigned {
            answer = answer.with("Server-Stamp", format!("stamp-{id}"));
        }
        caller.respond(&answer)?;
        if fault == TargetFault::Extra {
            caller.respond(&answer)?;
        }
        Ok(())
    }

    /// Waits, and fails if the target ends meanwhile.
    fn delay(&self, ms: u64) -> io::Result<()> {
        let until = Instant::now() + Duration::from_millis(ms);
        while self.crashed.get().is_none() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(CRASH_INTERVAL.min(left));
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Closes the listener first, so that nobody connects once the connections are closed.
    fn crash(&self) {
        if self.crashed.set(Instant::now()).is_err() {
            return;
        }
        if let Some(server) = self.server.get().and_then(Weak::upgrade) {
            server.stop();
        }
    }

    /// Adds what the target says of itself in all its responses.
    fn describe(&self, mut answer: Response, limit: Option<f64>) -> Response {
        if let Some(limit) = limit {
            answer = answer.with("Server-Limit", limit);
        }
        if self.leaving.load(Ordering::SeqCst) {
            answer = answer.with("Server-Leaving", 1);
        }
        answer
    }

    fn stream(
        &self,
        caller: &mut Caller,
        request: &Request,
        id: &str,
        fault: TargetFault,
        limit: Option<f64>,
    ) -> io::Result<()> {
        let model = request.headers.get("Model").unwrap_or_default();
        let version = match fault {
            TargetFault::Version(version) => version,
            _ => lock(&self.models).get(model).copied().unwrap_or(1),
        };
        let head = Response::new(200, Vec::new())
            .with("Content-Type", "text/event-stream")
            .with("Request-Id", id)
            .with("Server-Stamp", format!("stamp-{id}"))
            .with("Weight-Versions", version);
        caller.begin(&self.describe(head, limit))?;
        if let TargetFault::Endless(piece) = fault {
            let piece = piece.repeat(ENDLESS_BYTES / piece.len());
            loop {
                caller.chunk(piece.as_bytes())?;
            }
        }
        let last = request
            .headers
            .get("Last-Event-Id")
            .and_then(|text| text.parse::<u64>().ok());
        for number in last.map_or(1, |last| last + 1)..=self.options.events {
            if fault == TargetFault::CutAfter(number - 1) {
                caller.close = true;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if fault == TargetFault::DripAfter(number - 1) {
                let began = Instant::now();
                while began.elapsed() < HANG_DURATION {
                    if let Err(error) = caller.chunk(b":") {
                        self.disconnects.fetch_add(1, Ordering::SeqCst);
                        return Err(error);
                    }
                    thread::sleep(DRIP_INTERVAL);
                }
            }
            if self.crashed.get().is_some() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {number}\ndata: e{number}\n\n");
            if let Err(error) = caller.chunk(event.as_bytes()) {
                self.disconnects.fetch_add(1, Ordering::SeqCst);
                return Err(error);
            }
            thread::sleep(self.options.gap);
        }
        caller.end()
    }

    fn order(&self, caller: &mut Caller, request: &Request) -> io::Result<()> {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let fence = |order: &Value| order["fence_token"].as_u64().unwrap_or_default();
        let mut orders = lock(&self.orders);
        let highest = orders.iter().map(fence).max().unwrap_or_default();
        if fence(&order) < highest {
            return caller.respond(&self.describe(Response::new(412, Vec::new()), None));
        }
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let version = order["version"].as_u64().unwrap_or_default();
        orders.push(order);
        drop(orders);
        let old = lock(&self.models).insert(model, version);
        let status = if old == Some(version) { 200 } else { 202 };
        caller.respond(&self.describe(Response::new(status, Vec::new()), None))
    }
}
