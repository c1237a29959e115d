//! The daemon: starts its threads and stops them.

use std::{
    fmt, io,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::{
        Arc,
        mpsc::{self, Receiver, Sender},
    },
    thread::{self, JoinHandle},
    time::{SystemTime, UNIX_EPOCH},
};

use godwitspool_connection::{
    http::Platform,
    peer::{ServeBounds, Server},
    platform::HostEntry,
};
use godwitspool_process::{
    Clock, Metrics, OperatorHttp, StewardSettings, Tick, Timer,
    log_reader::{LogReader, LogReaderOptions},
    membership::{Gossip, MemberRecord, MembershipRules},
    settings::PeerSettings,
};
use godwitspool_types::{Incarnation, Millis};
use godwitspool_version::{HostLife, LeaseRules};
use serde_json::Value;

use crate::{
    connection::answers,
    process::{
        operators::{self, OperatorPages},
        outbox,
        shared::{Parts, Shared},
    },
    version::{leases, lists, orders, usage, weights},
};

const APPEND_INTERVAL: Millis = Millis(20);
const LEASE_INTERVAL: Millis = Millis(50);
const LIST_INTERVAL: Millis = Millis(200);
const ORDER_INTERVAL: Millis = Millis(200);
const USAGE_INTERVAL: Millis = Millis(200);
const WEIGHT_INTERVAL: Millis = Millis(50);
/// Number of times that another system-assigned port is tried.
const MAX_BIND_RETRIES: usize = 16;
/// Renewals per term: with 4, two consecutive ones may be lost.
const RENEWALS_PER_TERM: u64 = 4;

/// A running steward daemon.
///
/// Dropping it stops its threads without notifying other hosts, as a crash would. [`Steward::stop`]
/// releases the leases first.
pub struct Steward {
    address: SocketAddr,
    events: Sender<leases::Event>,
    operators: OperatorHttp,
    server: Option<Server>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    timer: Option<Timer>,
}

impl fmt::Debug for Steward {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Steward")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Steward {
    /// Binds the steward's addresses and starts its threads.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or a thread can't be started.
    pub fn start(settings: StewardSettings) -> io::Result<Self> {
        let (listener, socket) = bind(settings.steward)?;
        let address = listener.local_addr()?;
        let operators = TcpListener::bind(settings.operators)?;
        let clock = Clock::start();
        let timer = Timer::start(clock)?;
        let life = HostLife {
            host: settings.host.clone(),
            incarnation: incarnation(),
        };
        let (events, event_receiver) = mpsc::channel::<leases::Event>();
        timer.every(LEASE_INTERVAL, events.clone());
        let own = MemberRecord::default()
            .with_host(settings.host.clone(), settings.dc.clone())
            .with_addresses(settings.entry, address)
            .with_life(life.incarnation);
        let rules = MembershipRules::default();
        let gossip = Arc::new(Gossip::start(socket, own, rules, clock, events.clone())?);
        gossip.set_host_list(settings.peers.iter().map(host_entry).collect());
        let platform = Platform::new(settings.platform.clone());
        let reader = LogReader::start(
            reader_options(&settings),
            platform.clone(),
            Arc::clone(&gossip),
            clock,
            events.clone(),
        )?;
        let metrics = Arc::new(Metrics::default());
        gossip.register(&metrics);
        reader.register(&metrics);
        let shared = Arc::new(Shared::new(Parts {
            clock,
            gossip,
            leases: leases::Leases::new(&life, lease_rules(&settings), clock),
            metrics: &metrics,
            platform,
            reader,
            settings,
        }));
        let server = {
            let shared = Arc::clone(&shared);
            let handler = move |request| answers::answer(&shared, request);
            Server::start(listener, ServeBounds::default(), handler)?
        };
        let pages = Arc::new(OperatorPages(Arc::clone(&shared)));
        let operators = OperatorHttp::start(operators, metrics, pages)?;
        let mut steward = Self {
            address,
            events,
            operators,
            server: Some(server),
            shared,
            threads: Vec::new(),
            timer: Some(timer),
        };
        steward.spawn("leases", move |shared| leases::run(shared, &event_receiver))?;
        steward.spawn_ticked("append", APPEND_INTERVAL, outbox::run)?;
        steward.spawn_ticked("lists", LIST_INTERVAL, lists::run)?;
        steward.spawn_ticked("orders", ORDER_INTERVAL, orders::run)?;
        steward.spawn_ticked("usage", USAGE_INTERVAL, usage::run)?;
        steward.spawn_ticked("weights", WEIGHT_INTERVAL, weights::run)?;
        Ok(steward)
    }

    /// Returns the address at which entries and other stewards connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the operators' pages.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the steward's state, as shown on its status page.
    pub fn status(&self) -> Value {
        operators::status(&self.shared)
    }

    /// Notifies the other hosts, releases the leases and stops.
    pub fn stop(self) {
        self.shared.gossip.leave();
        leases::leave(&self.shared);
        outbox::flush(&self.shared);
    }

    fn spawn(
        &mut self,
        name: &str,
        run: impl FnOnce(&Arc<Shared>) + Send + 'static,
    ) -> io::Result<()> {
        let shared = Arc::clone(&self.shared);
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(&shared))?;
        self.threads.push(thread);
        Ok(())
    }

    fn spawn_ticked(
        &mut self,
        name: &str,
        period: Millis,
        run: impl FnOnce(&Arc<Shared>, &Receiver<Tick>) + Send + 'static,
    ) -> io::Result<()> {
        let (sender, ticks) = mpsc::channel();
        if let Some(timer) = &self.timer {
            timer.every(period, sender);
        }
        self.spawn(name, move |shared| run(shared, &ticks))
    }
}

impl Drop for Steward {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            server.stop();
        }
        // Threads that wait for ticks end when their timer is dropped.
        drop(self.timer.take());
        // Sending fails only if the lease thread has already ended.
        drop(self.events.send(leases::Event::Stop));
        for thread in self.threads.drain(..) {
            // An error means that the thread panicked, so it has ended too.
            drop(thread.join());
        }
    }
}

/// Binds TCP and UDP to the same address. With port 0 the system chooses a free TCP port, which may
/// be in use for UDP; then another port is tried.
fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempt = 0;
    loop {
        let listener = TcpListener::bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if address.port() != 0 || attempt == MAX_BIND_RETRIES => return Err(error),
            Err(_) => attempt += 1,
        }
    }
}

/// Returns the start time in milliseconds since 1970, which is higher than in earlier runs on this
/// host unless its clock was set back.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(0, |since| since.as_millis() as u64))
}

fn lease_rules(settings: &StewardSettings) -> LeaseRules {
    let term = settings.term;
    // Over a term, each of two clocks may deviate by the drift.
    let margin = term.0 * u64::from(settings.drift_permille) * 2 / 1_000;
    LeaseRules {
        clock_margin: Millis(margin.max(1)),
        order_timeout: Millis(term.0 / 3),
        renewal_interval: Millis(term.0 / RENEWALS_PER_TERM),
        duration: term,
    }
}

fn reader_options(settings: &StewardSettings) -> LogReaderOptions {
    LogReaderOptions {
        dc: settings.dc.clone(),
        host: settings.host.clone(),
        ..LogReaderOptions::default()
    }
}

fn host_entry(peer: &PeerSettings) -> HostEntry {
    HostEntry {
        address: peer.steward.ip(),
        dc: peer.dc.clone(),
        entry_port: peer.entry.port(),
        host: peer.host.clone(),
        leaving: false,
        steward_port: peer.steward.port(),
    }
}
