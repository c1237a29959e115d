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
        operators::{self, Pages},
        outbox,
        shared::{Parts, Shared},
    },
    version::{leases, lists, orders, usage, weights},
};

const APPEND_PERIOD: Millis = Millis(20);
const LEASE_PERIOD: Millis = Millis(50);
const LIST_PERIOD: Millis = Millis(200);
const ORDER_PERIOD: Millis = Millis(200);
const USAGE_PERIOD: Millis = Millis(200);
const WEIGHT_PERIOD: Millis = Millis(50);
const BIND_ATTEMPTS: usize = 16;
/// Renewals in a term, so that two may be lost.
const RENEWALS_IN_TERM: u64 = 4;

/// A running steward daemon.
///
/// Dropping it ends it without a word to others, as a process that dies. [`Steward::stop`] gives up
/// what it holds first.
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
    /// Binds the steward's addresses and starts to follow the platform.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or no thread can be started.
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
        let (events, heard) = mpsc::channel::<leases::Event>();
        timer.every(LEASE_PERIOD, events.clone());
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
        let pages = Arc::new(Pages(Arc::clone(&shared)));
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
        steward.spawn("leases", move |shared| leases::run(shared, &heard))?;
        steward.spawn_ticked("append", APPEND_PERIOD, outbox::run)?;
        steward.spawn_ticked("lists", LIST_PERIOD, lists::run)?;
        steward.spawn_ticked("orders", ORDER_PERIOD, orders::run)?;
        steward.spawn_ticked("usage", USAGE_PERIOD, usage::run)?;
        steward.spawn_ticked("weights", WEIGHT_PERIOD, weights::run)?;
        Ok(steward)
    }

    /// Returns the address on which entries and other stewards are answered.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the operators' pages.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Tells the steward's state, as on its status page.
    pub fn status(&self) -> Value {
        operators::status(&self.shared)
    }

    /// Gives up the leases, tells the other hosts and ends.
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
        // The ticking threads end with their timer.
        drop(self.timer.take());
        // A lease thread that has ended already needs no word.
        drop(self.events.send(leases::Event::Stop));
        for thread in self.threads.drain(..) {
            // A panicked thread has nothing left to stop.
            drop(thread.join());
        }
    }
}

// ---

/// Binds TCP and UDP to the same address; a port that is left to the system may be taken for one of
/// them.
fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempt = 0;
    loop {
        let listener = TcpListener::bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if address.port() != 0 || attempt == BIND_ATTEMPTS => return Err(error),
            Err(_) => attempt += 1,
        }
    }
}

/// Tells this life from earlier ones of the host, which began earlier.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(0, |since| since.as_millis() as u64))
}

fn lease_rules(settings: &StewardSettings) -> LeaseRules {
    let term = settings.term;
    // Two clocks, each off by the drift, over the longest wait.
    let margin = term.0 * u64::from(settings.drift_permille) * 2 / 1_000;
    LeaseRules {
        clock_margin: Millis(margin.max(1)),
        order_timeout: Millis(term.0 / 3),
        renewal_interval: Millis(term.0 / RENEWALS_IN_TERM),
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
