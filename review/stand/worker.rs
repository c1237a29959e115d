//! Stand-in for a model worker: item streams, load orders, registration in the store.

use std::{
    collections::BTreeMap,
    io::{ErrorKind, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    log::Log,
    net::{Json, Message, read_message, respond},
    store::Store,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct Options {
    pub name: String,
    pub service: String,
    pub slots: usize,
    /// Versions of its models.
    pub models: BTreeMap<String, u64>,
    /// Time from an event to the next.
    pub interval: Duration,
    /// Whether a request with the body [`POISON`] crashes it.
    pub crashes: bool,
}

/// Body of the request that crashes each worker that begins to run it.
pub const POISON: &[u8] = b"crashes each worker that begins to run it";

/// Number of events of a plain stream.
pub const ADVICE_EVENTS: u64 = 5;

pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    slots: usize,
    service: String,
    interval: Duration,
    spoiled: AtomicU64,
    answers: AtomicU64,
    /// Whether its streams have no length, and end with their connection.
    unframed: AtomicBool,
    crashes: bool,
    /// The request that has crashed it, and when.
    crashed: Mutex<Option<(String, Instant)>>,
    dead: AtomicBool,
    /// Whether no machine of the system reaches it; it still reaches the store.
    unreachable: AtomicBool,
    born: u64,
    seq: AtomicU64,
    state: Mutex<State>,
    store: Arc<Store>,
    log: Arc<Log>,
}

#[derive(Default)]
struct State {
    models: BTreeMap<String, u64>,
    /// The order that is being carried out.
    loading: Option<(String, u64)>,
    orders: Vec<(String, u64, Instant)>,
    fence: u64,
    running: usize,
    at_work: Vec<String>,
    /// When each item was last at this worker, and whether its stream was sent to its end.
    items: BTreeMap<String, (Instant, bool)>,
    connections: Vec<TcpStream>,
}

impl Worker {
    pub fn start(options: Options, store: &Arc<Store>, log: &Arc<Log>) -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let worker = Arc::new(Self {
            name: options.name,
            address: listener.local_addr().expect("an address"),
            slots: options.slots,
            service: options.service,
            interval: options.interval,
            spoiled: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            unframed: AtomicBool::new(false),
            crashes: options.crashes,
            crashed: Mutex::new(None),
            dead: AtomicBool::new(false),
            unreachable: AtomicBool::new(false),
            born: born.as_millis() as u64,
            seq: AtomicU64::new(0),
            state: Mutex::new(State {
                models: options.models,
                ..State::default()
            }),
            store: Arc::clone(store),
            log: Arc::clone(log),
        });
        let own = Arc::clone(&worker);
        thread::spawn(move || own.accept(listener));
        let own = Arc::clone(&worker);
        thread::spawn(move || own.beat());
        worker.register();
        worker
    }

    /// The worker is lost for good: its connections end, and its entry goes after three silent intervals.
    pub fn crash(&self) {
        self.dead.store(true, Ordering::SeqCst);
        for connection in self.state.lock().unwrap().connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Cuts the worker off from all machines of the system, or ends the cut: its connections are reset
    /// and new ones are refused. It goes on to register in the store.
    pub fn cut(&self, on: bool) {
        self.unreachable.store(on, Ordering::SeqCst);
        if on {
            for connection in self.state.lock().unwrap().connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        let what = if on {
            "is cut off from all machines"
        } else {
            "is reached again"
        };
        self.log.line(&format!("{} {what}", self.name));
    }

    /// From now on, one in this many of its answers to items is a valid head and then line ends without
    /// end; none for 0.
    pub fn spoil(&self, one_in: u64) {
        self.spoiled.store(one_in, Ordering::SeqCst);
    }

    /// From now on its streams have no length, and one in this many is broken off by a reset; none for 0.
    pub fn break_off(&self, one_in: u64) {
        self.unframed.store(true, Ordering::SeqCst);
        self.spoiled.store(one_in, Ordering::SeqCst);
    }

    /// Returns which request has crashed the worker, and when.
    pub fn crashed(&self) -> Option<(String, Instant)> {
        self.crashed.lock().unwrap().clone()
    }

    /// Returns the version of a model.
    pub fn version(&self, model: &str) -> u64 {
        self.state
            .lock()
            .unwrap()
            .models
            .get(model)
            .copied()
            .unwrap_or_default()
    }

    /// Returns whether an order to load this version was accepted, carried out or not.
    pub fn was_ordered(&self, model: &str, version: u64) -> bool {
        let state = self.state.lock().unwrap();
        state
            .orders
            .iter()
            .any(|(of, to, _)| of == model && *to == version)
    }

    /// Returns when each item was last at the worker and whether its stream was sent to its end.
    pub fn items(&self) -> BTreeMap<String, (Instant, bool)> {
        self.state.lock().unwrap().items.clone()
    }

    /// Returns the number of running items whose id begins with a text.
    pub fn running_of(&self, text: &str) -> usize {
        let state = self.state.lock().unwrap();
        state
            .at_work
            .iter()
            .filter(|id| id.starts_with(text))
            .count()
    }

    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running
    }

    fn is_dead(&self) -> bool {
        self.dead.load(Ordering::SeqCst)
    }

    fn beat(&self) {
        loop {
            thread::sleep(HEARTBEAT);
            if self.is_dead() {
                thread::sleep(2 * HEARTBEAT);
                self.store.put("keyed.servers", &self.name, "");
                self.log
                    .line(&format!("store: entry of {} expired", self.name));
                return;
            }
            self.register();
        }
    }

    fn register(&self) {
        let state = self.state.lock().unwrap();
        let models: Vec<String> = state
            .models
            .iter()
            .map(|(name, version)| {
                format!("{{\"name\":\"{name}\",\"version\":{version},\"adapters\":[]}}")
            })
            .collect();
        drop(state);
        if self.is_dead() {
            return;
        }
        let seq = self.seq.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"tbilisi-depot\",\"version\":1,\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\"stage\":\"both\",\"models\":[{}],\"born\":{}}}",
            self.service,
            self.address,
            self.slots,
            models.join(","),
            self.born
        );
        self.store.put("keyed.servers", &self.name, &entry);
    }

    fn accept(self: &Arc<Self>, first: TcpListener) {
        let mut listener = Some(first);
        while !self.is_dead() {
            if self.unreachable.load(Ordering::SeqCst) {
                listener = None;
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.state.lock().unwrap().connections.push(copy);
                    }
                    let own = Arc::clone(self);
                    thread::spawn(move || own.serve(stream));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(2))
                }
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        loop {
            let _ = stream.set_read_timeout(None);
            if self.answers_early(&mut stream) {
                return;
            }
            let Ok(Some(request)) = read_message(&mut stream, &mut buffer) else {
                return;
            };
            if self.is_dead() {
                return;
            }
            let id = request.header("Request-Id").unwrap_or_default().to_owned();
            let echoed = [("Request-Id", id.clone())];
            let instance = request.header("Expect-Instance");
            if instance.is_some_and(|instance| instance != self.name) {
                if respond(&mut stream, 421, &echoed, b"").is_err() {
                    return;
                }
                continue;
            }
            let kept = if request.path() == "/api/order" {
                self.order(&mut stream, &request)
            } else if request.header("Model").is_some() {
                self.item(&mut stream, &request, &id)
            } else if request.path().starts_with("/advice/") {
                return self.advise(stream, &id);
            } else if request.body == POISON && self.crashes {
                self.log
                    .line(&format!("{}: request {id} crashes the worker", self.name));
                *self.crashed.lock().unwrap() = Some((id, Instant::now()));
                self.crash();
                return;
            } else {
                if request.body == POISON {
                    self.log.line(&format!("{}: request {id} runs", self.name));
                }
                let stamp = [
                    ("Request-Id", id),
                    ("Server-Stamp", format!("stamp.{}", self.name)),
                ];
                respond(&mut stream, 200, &stamp, b"body").is_ok()
            };
            if !kept {
                return;
            }
        }
    }

    /// A faulty worker answers one in some long requests before it has read their body, without a length,
    /// and breaks the answer off by a reset. Returns whether it did.
    fn answers_early(&self, stream: &mut TcpStream) -> bool {
        let one_in = self.spoiled.load(Ordering::SeqCst);
        let mut bytes = [0; 4096];
        let Ok(read) = stream.peek(&mut bytes) else {
            return false;
        };
        let head = String::from_utf8_lossy(&bytes[..read]).into_owned();
        if !head.starts_with("POST /long/") {
            return false;
        }
        let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        if one_in == 0 || !number.is_multiple_of(one_in) {
            return false;
        }
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("Request-Id: "))
            .unwrap_or_default();
        let peer = stream.peer_addr().ok();
        let mut state = self.state.lock().unwrap();
        state
            .connections
            .retain(|copy| copy.peer_addr().ok() != peer);
        drop(state);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp.{}\r\n\r\nbo",
            self.name
        );
        self.log.line(&format!(
            "{}: request {id}: answers early and breaks off by a reset after 2 of 4 bytes",
            self.name
        ));
        set_reset(stream);
        let _ = stream.write_all(answer.as_bytes());
        true
    }

    /// Answers with a stream of [`ADVICE_EVENTS`] events, the first one together with the head. A stream
    /// that is broken off ends with a reset after one of its events.
    fn advise(&self, mut stream: TcpStream, id: &str) {
        let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let one_in = self.spoiled.load(Ordering::SeqCst);
        let broken = one_in > 0 && number.is_multiple_of(one_in);
        // Broken off after 1, 2, 3 and so on events.
        let last = if broken {
            1 + (number / one_in - 1) % (ADVICE_EVENTS - 1)
        } else {
            ADVICE_EVENTS
        };
        let unframed = self.unframed.load(Ordering::SeqCst);
        let framing = if unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let mut bytes = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp.{}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n\r\n",
            self.name
        );
        // The connection ends with the last descriptor.
        let peer = stream.peer_addr().ok();
        let mut state = self.state.lock().unwrap();
        state
            .connections
            .retain(|copy| copy.peer_addr().ok() != peer);
        drop(state);
        for event in 1..=last {
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            if unframed {
                bytes.push_str(&text);
            } else {
                bytes.push_str(&format!("{:x}\r\n{text}\r\n", text.len()));
            }
            if event == ADVICE_EVENTS && !unframed {
                bytes.push_str("0\r\n\r\n");
            }
            if event > 1 {
                thread::sleep(self.interval);
            }
            if stream.write_all(bytes.as_bytes()).is_err() {
                return;
            }
            bytes.clear();
        }
        if broken {
            reset(stream);
            self.log.line(&format!(
                "{}: request {id}: broken off by a reset after event {last} of {ADVICE_EVENTS}",
                self.name
            ));
        }
    }

    fn order(self: &Arc<Self>, stream: &mut TcpStream, request: &Message) -> bool {
        let body = Json::parse(&request.body);
        let model = body.get("model").text().to_owned();
        let version = body.get("version").number();
        let fence = body.get("fence_token").number();
        let waits = body.get("mode").text() == "wait";
        let mut state = self.state.lock().unwrap();
        let known = state.models.get(&model).copied();
        let status = if fence < state.fence {
            412
        } else if state.loading.is_some() {
            409
        } else if known.is_none() {
            400
        } else if known == Some(version) {
            200
        } else {
            state.loading = Some((model.clone(), version));
            state.orders.push((model.clone(), version, Instant::now()));
            202
        };
        state.fence = state.fence.max(fence);
        drop(state);
        self.log.line(&format!(
            "{}: order version {version} of {model}, mode {}, fence {fence} -> {status}",
            self.name,
            body.get("mode").text()
        ));
        if status == 202 {
            let own = Arc::clone(self);
            thread::spawn(move || {
                while waits && own.state.lock().unwrap().running > 0 {
                    thread::sleep(Duration::from_millis(5));
                }
                thread::sleep(Duration::from_millis(900));
                if own.is_dead() {
                    return;
                }
                let mut state = own.state.lock().unwrap();
                state.models.insert(model.clone(), version);
                state.loading = None;
                drop(state);
                own.log
                    .line(&format!("{}: {model} is at version {version}", own.name));
                own.register();
            });
        }
        respond(stream, status, &[], b"").is_ok()
    }

    fn item(&self, stream: &mut TcpStream, request: &Message, id: &str) -> bool {
        let model = request.header("Model").unwrap_or_default().to_owned();
        let mut state = self.state.lock().unwrap();
        let version = state.models.get(&model).copied().unwrap_or_default();
        let expected: Option<u64> = request
            .header("Expect-Version")
            .and_then(|text| text.parse().ok());
        let loads = state.loading.as_ref().is_some_and(|(of, _)| *of == model);
        let refusal = if expected.is_some_and(|expected| expected != version) {
            Some(421)
        } else if loads || state.running >= self.slots {
            Some(503)
        } else {
            state.running += 1;
            state.at_work.push(id.to_owned());
            None
        };
        drop(state);
        let events: u64 = request
            .header("Token-Counts")
            .and_then(|text| text.split(',').nth(1))
            .and_then(|text| text.trim().parse().ok())
            .unwrap_or(10);
        let last: u64 = request
            .header("Last-Event-Id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if let Some(status) = refusal {
            self.log.refused(&format!(
                "{}: item {id} after event {last}, version {version}, expected {expected:?} -> {status}",
                self.name
            ));
            let headers = [("Request-Id", id.to_owned()), ("Not-Run", "1".to_owned())];
            return respond(stream, status, &headers, b"").is_ok();
        }
        self.log.line(&format!(
            "{}: item {id} begins after event {last} under version {version}",
            self.name
        ));
        let ended = self.stream(stream, id, version, last, events);
        let mut state = self.state.lock().unwrap();
        state.running -= 1;
        if let Some(at) = state.at_work.iter().position(|own| own == id) {
            state.at_work.remove(at);
        }
        let done = ended == events;
        state.items.insert(id.to_owned(), (Instant::now(), done));
        drop(state);
        self.log.line(&format!(
            "{}: item {id} ends after event {ended} of {events}",
            self.name
        ));
        done
    }

    /// Sends the events and returns the last one that was sent.
    fn stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        version: u64,
        last: u64,
        events: u64,
    ) -> u64 {
        let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let spoiled = self.spoiled.load(Ordering::SeqCst);
        let endless = spoiled > 0 && number.is_multiple_of(spoiled);
        let framing = if endless {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp.{}\r\nWeight-Versions: {version}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n\r\n",
            self.name
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return last;
        }
        if endless {
            // Bytes that are no answer, until the caller closes.
            let noise = vec![b'\n'; 64 * 1024];
            let mut sent = 0_u64;
            self.log.line(&format!(
                "{}: item {id}: answered with line ends without end",
                self.name
            ));
            while !self.is_dead() && stream.write_all(&noise).is_ok() {
                sent += noise.len() as u64;
            }
            self.log.line(&format!(
                "{}: item {id}: {sent} line ends sent until the caller closed",
                self.name
            ));
            return last;
        }
        let mut at = last;
        let _ = stream.set_read_timeout(Some(self.interval));
        while at < events {
            // Waits for the interval, and notices if the caller closes.
            let mut byte = [0];
            match stream.read(&mut byte) {
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                _ => return at,
            }
            if self.is_dead() {
                return at;
            }
            let event = format!("id: {}\ndata: {id} {}\n\n", at + 1, at + 1);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return at;
            }
            at += 1;
            let mut state = self.state.lock().unwrap();
            state.items.insert(id.to_owned(), (Instant::now(), false));
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return at - 1;
        }
        at
    }
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
}

/// Closes a connection with a reset instead of a normal end.
fn reset(stream: TcpStream) {
    set_reset(&stream);
}

/// Has a connection end with a reset when it is closed.
fn set_reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    // SAFETY: the descriptor is open, and the value is a `struct linger` of two integers.
    let set = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &[1, 0], 8) };
    assert_eq!(set, 0, "the connection can be reset");
}
