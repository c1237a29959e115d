//! A worker of a model that crashes on demand and comes back.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_message, response},
    system::{Record, System, entry, is_meant, stamp, unix_ms},
    text::Json,
};

/// Time in which a worker loads a version.
const LOAD_TIME: Duration = Duration::from_millis(900);
/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What workers run, as they see it.
#[derive(Clone, Default)]
pub struct Floor {
    /// Workers at which each item is now, with the time at which it came there.
    now: Arc<Mutex<BTreeMap<String, Vec<(String, Instant)>>>>,
    /// When each item was last at a worker.
    last: Arc<Mutex<BTreeMap<String, Instant>>>,
    finished: Arc<Mutex<Vec<String>>>,
    /// Number of events of each item, set by the worker that runs it first.
    lengths: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Floor {
    fn enter(&self, item: &str, worker: &str) {
        let mut now = self.now.lock().unwrap();
        now.entry(item.to_owned())
            .or_default()
            .push((worker.to_owned(), Instant::now()));
    }

    fn leave(&self, item: &str, worker: &str) {
        let mut now = self.now.lock().unwrap();
        let at = now.entry(item.to_owned()).or_default();
        if let Some(index) = at.iter().position(|(name, _)| name == worker) {
            at.remove(index);
        }
        self.last
            .lock()
            .unwrap()
            .insert(item.to_owned(), Instant::now());
    }

    /// Returns the worker at which an item is, and for how long it has been there.
    pub fn place(&self, item: &str) -> Option<(String, Duration)> {
        let now = self.now.lock().unwrap();
        let (name, since) = now.get(item)?.last()?;
        Some((name.clone(), since.elapsed()))
    }

    /// Returns since when an item has been at no worker, if it is at none now. An item that was never at one
    /// has been at none since its submission.
    pub fn idle_since(&self, item: &str, submitted: Instant) -> Option<Instant> {
        if self.place(item).is_some() {
            return None;
        }
        Some(
            self.last
                .lock()
                .unwrap()
                .get(item)
                .copied()
                .unwrap_or(submitted),
        )
    }

    /// Returns the number of items that are at a worker.
    pub fn busy_at(&self, worker: &str) -> usize {
        let now = self.now.lock().unwrap();
        now.values()
            .flatten()
            .filter(|(name, _)| name == worker)
            .count()
    }

    /// Returns the number of items that are at workers.
    pub fn busy(&self) -> usize {
        self.now.lock().unwrap().values().map(Vec::len).sum()
    }

    pub fn has_finished(&self, item: &str) -> bool {
        self.finished
            .lock()
            .unwrap()
            .iter()
            .any(|done| done == item)
    }

    pub fn finished(&self) -> usize {
        self.finished.lock().unwrap().len()
    }
}

#[derive(Clone)]
pub struct Worker {
    pub name: String,
    events: u64,
    gap: Duration,
    floor: Floor,
    record: Record,
    version: Arc<AtomicU64>,
    /// Version that it was last ordered to load.
    ordered: Arc<AtomicU64>,
    alive: Arc<Mutex<Arc<AtomicBool>>>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

impl Worker {
    pub fn new(name: &str, events: u64, gap: Duration, floor: &Floor, record: &Record) -> Self {
        Self {
            name: name.to_owned(),
            events,
            gap,
            floor: floor.clone(),
            record: record.clone(),
            version: Arc::new(AtomicU64::new(1)),
            ordered: Arc::default(),
            alive: Arc::default(),
            sockets: Arc::default(),
        }
    }

    /// Starts the worker, and writes its entry.
    pub fn start(&self, system: &System, slots: u32) -> io::Result<()> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let alive = Arc::new(AtomicBool::new(true));
        *self.alive.lock().unwrap() = Arc::clone(&alive);
        let (own, beats) = (self.clone(), Arc::clone(&alive));
        thread::spawn(move || {
            while alive.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((socket, _)) => own.accept(socket, &alive),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        // It checks in until it ends.
        let (own, store, born) = (self.clone(), system.store.clone(), unix_ms());
        thread::spawn(move || {
            while beats.load(Ordering::SeqCst) {
                let version = own.version.load(Ordering::SeqCst);
                let text = entry("engine", address, slots, Some(version), born);
                store.put("keyed.servers", &own.name, &text);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(())
    }

    fn accept(&self, socket: TcpStream, alive: &Arc<AtomicBool>) {
        let (own, alive) = (self.clone(), Arc::clone(alive));
        let _ = socket.set_nonblocking(false);
        let _ = socket.set_nodelay(true);
        if let Ok(socket) = socket.try_clone() {
            self.sockets.lock().unwrap().push(socket);
        }
        thread::spawn(move || {
            let Ok(reader) = socket.try_clone() else {
                return;
            };
            let (mut reader, mut writer) = (BufReader::new(reader), socket);
            while let Ok(Some(request)) = read_message(&mut reader) {
                if own.answer(&request, &mut writer, &alive).is_err() {
                    return;
                }
            }
        });
    }

    fn answer(
        &self,
        request: &Message,
        socket: &mut TcpStream,
        alive: &AtomicBool,
    ) -> io::Result<()> {
        if !is_meant(&self.name, request, socket)? {
            return Ok(());
        }
        let version = self.version.load(Ordering::SeqCst);
        if request.path() == "/api/order" {
            return self.order(request, socket);
        }
        let id = request.get("Request-Id").unwrap_or("").to_owned();
        let expected = request
            .get("Expect-Version")
            .and_then(|text| text.parse::<u64>().ok());
        let refusal = if self.ordered.load(Ordering::SeqCst) > version {
            Some(503)
        } else {
            expected
                .filter(|expected| *expected != version)
                .map(|_| 421)
        };
        if let Some(status) = refusal {
            let fields = [("Request-Id", id), ("Not-Run", "1".to_owned())];
            return socket.write_all(&response(status, &fields, b""));
        }
        let from = request
            .get("Last-Event-Id")
            .and_then(|last| last.parse::<u64>().ok());
        self.record.add(format!(
            "worker {} runs {id} after event {from:?}",
            self.name
        ));
        self.floor.enter(&id, &self.name);
        let ended = self.stream(request, socket, alive, from);
        self.floor.leave(&id, &self.name);
        if ended.is_ok() {
            self.floor.finished.lock().unwrap().push(id);
        }
        ended
    }

    /// Takes an order to load a version: runs finish first, and nothing starts until then.
    fn order(&self, request: &Message, socket: &mut TcpStream) -> io::Result<()> {
        let body = Json::parse(&request.body);
        let version = body.get("version").number();
        self.record.add(format!(
            "worker {} is ordered to load version {version}",
            self.name
        ));
        if version == self.version.load(Ordering::SeqCst) {
            return socket.write_all(&response(200, &[], b""));
        }
        if self.ordered.swap(version, Ordering::SeqCst) > self.version.load(Ordering::SeqCst) {
            return socket.write_all(&response(409, &[], b""));
        }
        let own = self.clone();
        thread::spawn(move || {
            while own.floor.busy_at(&own.name) > 0 {
                thread::sleep(Duration::from_millis(10));
            }
            thread::sleep(LOAD_TIME);
            own.version.store(version, Ordering::SeqCst);
            own.record
                .add(format!("worker {} has loaded version {version}", own.name));
        });
        socket.write_all(&response(202, &[], b""))
    }

    fn stream(
        &self,
        request: &Message,
        socket: &mut TcpStream,
        alive: &AtomicBool,
        from: Option<u64>,
    ) -> io::Result<()> {
        let mut head = String::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
        head.push_str(&format!(
            "Weight-Versions: {}\r\n",
            self.version.load(Ordering::SeqCst)
        ));
        for (field, value) in stamp(request) {
            head.push_str(&format!("{field}: {value}\r\n"));
        }
        head.push_str("\r\n");
        socket.write_all(head.as_bytes())?;
        let id = request.get("Request-Id").unwrap_or("").to_owned();
        let events = *self
            .floor
            .lengths
            .lock()
            .unwrap()
            .entry(id)
            .or_insert(self.events);
        for number in from.map_or(1, |last| last + 1)..=events {
            thread::sleep(self.gap);
            if !alive.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {number}\ndata: {number}\n\n");
            socket.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        socket.write_all(b"0\r\n\r\n")
    }

    /// Ends the worker with all that it runs. Nobody listens at its address any more.
    pub fn crash(&self) {
        self.record.add(format!("worker {} crashes", self.name));
        self.alive.lock().unwrap().store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}
