//! Workers: one that answers plain requests, or one that generates events. Each registers itself in the store.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, Wire, serve},
    store::Store,
    text::Json,
};

/// Interval between two entries, as `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that a worker began to run, or an order that it took.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    /// Whether it was answered to the end.
    pub done: bool,
    /// Body of an order.
    pub order: Option<Json>,
}

/// What a worker is and does.
#[derive(Clone)]
pub struct Plan {
    pub name: String,
    pub service: String,
    pub slots: usize,
    /// Number of events, 0 for plain requests.
    pub events: u64,
    /// Time between two events, or that a plain request takes.
    pub pace: Duration,
    pub models: Vec<(String, u64)>,
}

#[derive(Clone)]
pub struct Worker {
    pub plan: Plan,
    pub address: SocketAddr,
    born: u128,
    store: Store,
    state: Arc<Shared>,
}

struct Shared {
    arrivals: Mutex<Vec<Arrival>>,
    models: Mutex<BTreeMap<String, u64>>,
    running: AtomicUsize,
}

pub fn unix_ms() -> u128 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| age.as_millis())
}

impl Worker {
    pub fn start(store: &Store, plan: Plan) -> io::Result<Self> {
        let state = Arc::new(Shared {
            arrivals: Mutex::default(),
            models: Mutex::new(plan.models.iter().cloned().collect()),
            running: AtomicUsize::new(0),
        });
        let mut worker = Self {
            plan,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            born: unix_ms(),
            store: store.clone(),
            state,
        };
        let own = worker.clone();
        worker.address = serve(worker.address, move |wire, request| {
            own.handle(wire, &request)
        })?;
        let own = worker.clone();
        thread::spawn(move || {
            let mut seq = 0;
            loop {
                seq += 1;
                own.store
                    .put("keyed.servers", &own.plan.name, &own.entry(seq));
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    fn entry(&self, seq: u64) -> String {
        let models = self.models();
        let models = models.iter().map(|(name, version)| {
            format!("{{\"name\":\"{name}\",\"version\":{version},\"adapters\":[]}}")
        });
        let models: Vec<String> = models.collect();
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{}],\"seq\":{seq},\"born\":{}}}",
            self.plan.service,
            self.address,
            self.plan.slots,
            models.join(","),
            self.born
        )
    }

    fn models(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.state
            .models
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn log(&self) -> MutexGuard<'_, Vec<Arrival>> {
        self.state
            .arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.log().clone()
    }

    fn handle(&self, wire: &mut Wire, request: &Message) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let own = [
            ("Request-Id", id.as_str()),
            ("Instance-Id", self.plan.name.as_str()),
        ];
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.plan.name) {
            return wire.respond(421, &own, b"");
        }
        match request.path() {
            "/health" => return wire.respond(200, &own, b""),
            "/api/order" => return self.order(wire, request),
            _ => {}
        }
        if id.is_empty() {
            return wire.respond(400, &[("Not-Run", "1")], b"");
        }
        let model = request.header("model").unwrap_or("").to_owned();
        let version = self.models().get(&model).copied();
        let wanted = request
            .header("expect-version")
            .and_then(|text| text.parse().ok());
        if wanted.is_some() && wanted != version {
            return wire.respond(421, &own, b"");
        }
        if self.state.running.fetch_add(1, Ordering::SeqCst) >= self.plan.slots {
            self.state.running.fetch_sub(1, Ordering::SeqCst);
            let full = [own[0], ("Not-Run", "1")];
            return wire.respond(503, &full, b"");
        }
        let resume = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let place = {
            let mut log = self.log();
            log.push(Arrival {
                at: Instant::now(),
                id: id.clone(),
                done: false,
                order: None,
            });
            log.len() - 1
        };
        let ran = if self.plan.events > 0 {
            self.generate(wire, &id, resume, version.unwrap_or(1))
        } else {
            self.work(wire, request, &id)
        };
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        self.log()[place].done = ran.is_ok();
        ran
    }

    /// Waits, and fails as soon as the caller has gone.
    fn pause(wire: &Wire, time: Duration) -> io::Result<()> {
        let due = Instant::now() + time;
        loop {
            if wire.is_closed() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(Duration::from_millis(20)));
        }
    }

    fn work(&self, wire: &mut Wire, request: &Message, id: &str) -> io::Result<()> {
        Self::pause(wire, self.plan.pace)?;
        let headers = [("Request-Id", id), ("Server-Stamp", "stamp")];
        let mut body = format!("{}:", self.plan.name).into_bytes();
        body.extend_from_slice(&request.body);
        wire.respond(200, &headers, &body)
    }

    fn generate(
        &self,
        wire: &mut Wire,
        id: &str,
        resume: Option<u64>,
        version: u64,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp\r\nWeight-Versions: {version}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        wire.stream.write_all(head.as_bytes())?;
        let first = resume.map_or(1, |last| last + 1);
        for number in first..=self.plan.events {
            Self::pause(wire, self.plan.pace)?;
            let event = format!("id: {number}\ndata: e{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            wire.stream.write_all(chunk.as_bytes())?;
        }
        wire.stream.write_all(b"0\r\n\r\n")
    }

    fn order(&self, wire: &mut Wire, request: &Message) -> io::Result<()> {
        let order = Json::read(&request.body);
        let fence = |order: &Json| order.get("fence_token").number();
        let mut log = self.log();
        let orders = log.iter().filter_map(|arrival| arrival.order.as_ref());
        let highest = orders.map(fence).max().unwrap_or_default();
        if fence(&order) < highest {
            drop(log);
            return wire.respond(412, &[], b"");
        }
        log.push(Arrival {
            at: Instant::now(),
            id: order.get("owner").text().to_owned(),
            done: true,
            order: Some(order.clone()),
        });
        drop(log);
        let (model, version) = (order.get("model").text(), order.get("version").number());
        let known = self.models().insert(model.to_owned(), version);
        let status = if known == Some(version) { 200 } else { 202 };
        wire.respond(status, &[], b"")
    }
}
