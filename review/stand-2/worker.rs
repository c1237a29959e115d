//! A stand-in of a worker, by "Workers" and "Requests" of the users' protocol.
//!
//! The path of an item says how many events it has and the time between two of them:
//! `/PREFIX/EVENTS/GAP_MS/NAME`. Any other request is answered with a short body.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    net::{Json, Peer, Request, Server},
    record::Record,
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LOAD_TIME: Duration = Duration::from_millis(900);

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// A run of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub id: String,
    pub began: Instant,
    pub ended: Option<Instant>,
    /// Whether the worker finished it.
    pub finished: bool,
}

#[derive(Clone, Debug)]
pub struct WorkerOptions {
    pub name: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Models with the version that is loaded at first.
    pub models: Vec<(String, u64)>,
}

pub struct Shared {
    pub options: WorkerOptions,
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    versions: Mutex<HashMap<String, u64>>,
    loading: Mutex<Option<(String, u64, Instant)>>,
    fence: AtomicU64,
    orders: AtomicU64,
    running: AtomicU32,
    beats: AtomicU64,
    born: AtomicU64,
    draining: AtomicBool,
    alive: AtomicBool,
    /// Number of the start; runs of an earlier one have crashed.
    start: AtomicU64,
}

pub struct Worker {
    pub shared: Arc<Shared>,
    server: Mutex<Option<Server>>,
}

impl Worker {
    pub fn start(
        options: WorkerOptions,
        store: &Arc<Store>,
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> io::Result<Arc<Self>> {
        let shared = Arc::new(Shared {
            versions: Mutex::new(options.models.iter().cloned().collect()),
            options,
            store: Arc::clone(store),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
            loading: Mutex::default(),
            fence: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            running: AtomicU32::new(0),
            beats: AtomicU64::new(0),
            born: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            alive: AtomicBool::new(false),
            start: AtomicU64::new(0),
        });
        let worker = Arc::new(Self {
            shared,
            server: Mutex::default(),
        });
        worker.boot()?;
        let own = Arc::clone(&worker.shared);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if own.alive.load(Ordering::SeqCst) {
                    own.beat();
                }
            }
        });
        Ok(worker)
    }

    fn boot(&self) -> io::Result<()> {
        let own = Arc::clone(&self.shared);
        own.start.fetch_add(1, Ordering::SeqCst);
        own.born.store(unix_ms(), Ordering::SeqCst);
        own.beats.store(0, Ordering::SeqCst);
        own.running.store(0, Ordering::SeqCst);
        own.fence.store(0, Ordering::SeqCst);
        own.orders.store(0, Ordering::SeqCst);
        *own.loading.lock().unwrap() = None;
        own.alive.store(true, Ordering::SeqCst);
        let handler = Arc::clone(&own);
        let server = Server::start(own.options.address, move |peer, request| {
            handler.serve(peer, &request)
        })?;
        *self.server.lock().unwrap() = Some(server);
        own.beat();
        Ok(())
    }

    /// Ends the worker with all that it runs, and starts it again under its name after some time.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        let shared = &self.shared;
        shared.record.line(&format!(
            "worker {} crashes, back after {} ms",
            shared.options.name,
            down.as_millis()
        ));
        shared.alive.store(false, Ordering::SeqCst);
        shared.start.fetch_add(1, Ordering::SeqCst);
        drop(self.server.lock().unwrap().take());
        let own = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(down);
            if let Err(error) = own.boot() {
                own.shared.record.line(&format!(
                    "worker {} can't start again: {error}",
                    own.shared.options.name
                ));
            } else {
                own.shared
                    .record
                    .line(&format!("worker {} is back", own.shared.options.name));
            }
        });
    }
}

impl Shared {
    /// Writes the worker's entry to the store.
    fn beat(&self) {
        let seq = self.beats.fetch_add(1, Ordering::SeqCst) + 1;
        let options = &self.options;
        let models: Vec<String> = self
            .versions
            .lock()
            .unwrap()
            .iter()
            .map(|(name, version)| {
                format!("{{\"name\":\"{name}\",\"version\":{version},\"adapters\":[]}}")
            })
            .collect();
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1.0\",\"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\"stage\":\"both\",\"models\":[{}],\"born\":{}}}",
            options.service,
            options.address,
            options.zone,
            options.slots,
            models.join(","),
            self.born.load(Ordering::SeqCst),
        );
        self.store.put("keyed.servers", &options.name, &entry);
    }

    fn serve(&self, peer: &mut Peer, request: &Request) -> io::Result<()> {
        let id = request
            .fields
            .get("Request-Id")
            .unwrap_or_default()
            .to_owned();
        let echo = ("Request-Id", id.clone());
        let name = ("Instance-Id", self.options.name.clone());
        if request.path() == "/health" {
            return peer.respond(200, &[name], b"");
        }
        if request
            .fields
            .get("Expect-Instance")
            .is_some_and(|expected| expected != self.options.name)
        {
            return peer.respond(421, &[echo, ("Not-Run", "1".to_owned())], b"");
        }
        if request.path() == "/api/order" {
            return self.order(peer, request);
        }
        let not_run = [echo.clone(), ("Not-Run", "1".to_owned())];
        let model = request.fields.get("Model").unwrap_or_default().to_owned();
        let version = self.versions.lock().unwrap().get(&model).copied();
        let expected = request
            .fields
            .get("Expect-Version")
            .and_then(|text| text.parse::<u64>().ok());
        if expected.is_some() && version.is_some() && expected != version {
            return peer.respond(421, &not_run, b"");
        }
        if self
            .loading
            .lock()
            .unwrap()
            .as_ref()
            .is_some_and(|(loaded, _, _)| *loaded == model)
        {
            return peer.respond(503, &not_run, b"");
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.options.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return peer.respond(503, &not_run, b"");
        }
        let start = self.start.load(Ordering::SeqCst);
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                worker: self.options.name.clone(),
                id: id.clone(),
                began: Instant::now(),
                ended: None,
                finished: false,
            });
            runs.len() - 1
        };
        let from = request
            .fields
            .get("Last-Event-Id")
            .unwrap_or("-")
            .to_owned();
        self.record.run_line(&format!(
            "worker {} runs {id} {} after event {from}",
            self.options.name,
            request.path()
        ));
        let served = self.run(peer, request, &id, &model, start);
        if self.start.load(Ordering::SeqCst) == start {
            self.running.fetch_sub(1, Ordering::SeqCst);
        }
        let mut runs = self.runs.lock().unwrap();
        runs[index].ended = Some(Instant::now());
        runs[index].finished = served.is_ok();
        drop(runs);
        let how = if served.is_ok() {
            "finished"
        } else {
            "broke off"
        };
        self.record
            .run_line(&format!("worker {} {how} {id}", self.options.name));
        served
    }

    fn run(
        &self,
        peer: &mut Peer,
        request: &Request,
        id: &str,
        model: &str,
        start: u64,
    ) -> io::Result<()> {
        let stamp = ("Server-Stamp", format!("stamp.{}.{id}", self.options.name));
        let echo = ("Request-Id", id.to_owned());
        let mut parts = request.path().trim_matches('/').split('/').skip(1);
        let number = |text: Option<&str>| text.and_then(|text| text.parse::<u64>().ok());
        let (events, gap) = (number(parts.next()), number(parts.next()));
        let (Some(events), Some(gap)) = (events, gap) else {
            thread::sleep(Duration::from_millis(10));
            return peer.respond(200, &[echo, stamp], format!("answer to {id}").as_bytes());
        };
        let version = || {
            self.versions
                .lock()
                .unwrap()
                .get(model)
                .copied()
                .unwrap_or(1)
        };
        let mut current = version();
        let head = [
            echo,
            stamp,
            ("Content-Type", "text/event-stream".to_owned()),
            ("Weight-Versions", current.to_string()),
        ];
        peer.begin(200, &head)?;
        let from = request
            .fields
            .get("Last-Event-Id")
            .and_then(|text| text.parse::<u64>().ok());
        for number in from.unwrap_or(0) + 1..=events {
            thread::sleep(Duration::from_millis(gap));
            if self.start.load(Ordering::SeqCst) != start || peer.is_closed() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let mut event = String::new();
            if version() != current {
                current = version();
                event.push_str(&format!("weight-versions: {current}\n"));
            }
            event.push_str(&format!("id: {number}\ndata: {id} event {number}\n\n"));
            peer.chunk(event.as_bytes())?;
        }
        peer.stream_end()
    }

    /// Returns the newest version of a model that a trainer has named.
    fn named(&self, model: &str) -> u64 {
        let value = self.store.value("keyed.op", &format!("version/{model}"));
        let value = value.and_then(|value| Json::parse(&value));
        value.map_or(1, |value| value.get("version").number() as u64)
    }

    fn order(&self, peer: &mut Peer, request: &Request) -> io::Result<()> {
        let order = Json::parse(&request.body).unwrap_or(Json::Null);
        let fence = order.get("fence_token").number() as u64;
        let (model, version) = (
            order.get("model").text().to_owned(),
            order.get("version").number() as u64,
        );
        let highest = self.fence.fetch_max(fence, Ordering::SeqCst);
        let mut loading = self.loading.lock().unwrap();
        let status = if fence < highest {
            412
        } else if version > self.named(&model) {
            400
        } else if self.versions.lock().unwrap().get(&model) == Some(&version) {
            200
        } else if loading.is_some() {
            409
        } else {
            *loading = Some((model.clone(), version, Instant::now()));
            self.orders.fetch_add(1, Ordering::SeqCst);
            202
        };
        drop(loading);
        let owner = order.get("owner").text().to_owned();
        self.record.line(&format!(
            "worker {} is ordered {model} {version} by {owner} with fence {fence}: {status}",
            self.options.name
        ));
        peer.respond(status, &[], b"")?;
        if status == 202 {
            let start = self.start.load(Ordering::SeqCst);
            thread::sleep(LOAD_TIME);
            if self.start.load(Ordering::SeqCst) == start {
                self.versions.lock().unwrap().insert(model, version);
                *self.loading.lock().unwrap() = None;
                self.beat();
            }
        }
        Ok(())
    }
}

impl Peer {
    /// Ends a body in chunks.
    pub fn stream_end(&mut self) -> io::Result<()> {
        io::Write::write_all(&mut self.stream, b"0\r\n\r\n")
    }
}
