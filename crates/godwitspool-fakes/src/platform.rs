//! The platform on real sockets: log, lists, orders, usage reports and weight store.

use std::{
    collections::BTreeMap,
    fmt, io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use godwitspool_connection::platform::{
    HostEntry, HostList, LogRecord, TargetEntry, TargetList, UsageReport,
};
use godwitspool_types::{ClassName, Dc, Offset, TargetName};

use crate::{
    engine::Engine,
    fleet::{Fleet, Target},
    plain_service::PlainService,
    platform_event::{PlatformEvent, PlatformRecord},
    platform_http,
    platform_log::{Lagging, Log, RateLimit},
    platform_options::PlatformOptions,
    relay::Relay,
    server::{HttpServer, lock, wall_ms},
};

const HTTP_WORKERS: usize = 16;
const VIEW_WORKERS: usize = 8;
const TICK: Duration = Duration::from_millis(10);

/// The platform.
///
/// ```
/// use godwitspool_fakes::{Platform, PlatformOptions};
///
/// let platform = Platform::start(PlatformOptions::default())?;
/// platform.set_outage(true);
/// let answer = ureq::get(format!("http://{}/log?from=0&max=1", platform.address())).call();
/// assert!(answer.is_err());
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct Platform {
    server: HttpServer,
    shared: Arc<Shared>,
    ticker: Option<JoinHandle<()>>,
    views: Mutex<BTreeMap<Dc, View>>,
}

/// A listener of its own for a data centre, which can be cut off.
struct View {
    relay: Relay,
    // Dropped after the relay, so that its connections have ended.
    _server: HttpServer,
}

/// What the threads of the platform share.
pub(crate) struct Shared {
    pub(crate) options: PlatformOptions,
    pub(crate) state: Mutex<State>,
    stopped: AtomicBool,
}

/// What the platform holds.
pub(crate) struct State {
    pub(crate) appends: RateLimit,
    pub(crate) downloads: RateLimit,
    pub(crate) fleet: Fleet,
    pub(crate) history: Vec<PlatformRecord>,
    pub(crate) hosts: BTreeMap<Option<Dc>, Lagging<HostList>>,
    pub(crate) log: Log,
    pub(crate) lost_answers: u32,
    pub(crate) others: Vec<TargetEntry>,
    pub(crate) outage: bool,
    pub(crate) reports: BTreeMap<u64, UsageReport>,
    pub(crate) slow_ms: u64,
    pub(crate) targets: Lagging<TargetList>,
}

impl Platform {
    /// Starts the platform and the targets that run from the start.
    ///
    /// # Errors
    ///
    /// Returns the error of binding an address.
    pub fn start(options: PlatformOptions) -> io::Result<Self> {
        let now = wall_ms();
        let mut state = State {
            appends: RateLimit::new(options.append_rate),
            downloads: RateLimit::new(options.weight_rate),
            fleet: Fleet::start(options.classes.clone(), now)?,
            history: Vec::new(),
            hosts: BTreeMap::new(),
            log: Log::new(options.retention),
            lost_answers: 0,
            others: Vec::new(),
            outage: false,
            reports: BTreeMap::new(),
            slow_ms: 0,
            targets: Lagging::new(options.lag_ms),
        };
        state.set_hosts(None, options.hosts.clone(), options.lag_ms);
        state.tick(now);
        let listen = options.listen;
        let stopped = AtomicBool::new(false);
        let shared = Arc::new(Shared {
            options,
            state: Mutex::new(state),
            stopped,
        });
        let server = {
            let shared = Arc::clone(&shared);
            HttpServer::start(listen, HTTP_WORKERS, move |request| {
                platform_http::handle(request, &shared, None);
            })?
        };
        let ticker = {
            let shared = Arc::clone(&shared);
            thread::spawn(move || {
                while !shared.stopped.load(Ordering::Relaxed) {
                    lock(&shared.state).tick(wall_ms());
                    thread::sleep(TICK);
                }
            })
        };
        Ok(Self {
            server,
            shared,
            ticker: Some(ticker),
            views: Mutex::default(),
        })
    }

    /// Returns the address that it serves on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what it recorded.
    pub fn history(&self) -> Vec<PlatformRecord> {
        lock(&self.shared.state).history.clone()
    }

    /// Returns the log's records from an offset on.
    pub fn log(&self, from: Offset) -> Vec<LogRecord> {
        lock(&self.shared.state).log.page(from, usize::MAX).records
    }

    /// Appends a record as an operator does.
    pub fn append(&self, body: impl Into<String>) -> Offset {
        lock(&self.shared.state).log.append(vec![body.into()])
    }

    /// Sets the hosts; readers see them later.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        let lag_ms = self.shared.options.lag_ms;
        lock(&self.shared.state).set_hosts(None, hosts, lag_ms);
    }

    /// Opens an address for one data centre, where hosts may have addresses of their own.
    ///
    /// # Errors
    ///
    /// Returns the error of binding an address.
    pub fn open_view(&self, dc: &Dc, hosts: Vec<HostEntry>) -> io::Result<SocketAddr> {
        self.set_view_hosts(dc, hosts);
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let shared = Arc::clone(&self.shared);
        let seen_by = dc.clone();
        let server = HttpServer::start(local, VIEW_WORKERS, move |request| {
            platform_http::handle(request, &shared, Some(&seen_by));
        })?;
        let relay = Relay::start(local, server.address())?;
        let address = relay.address();
        let view = View {
            relay,
            _server: server,
        };
        lock(&self.views).insert(dc.clone(), view);
        Ok(address)
    }

    /// Sets the hosts as one data centre is to see them.
    pub fn set_view_hosts(&self, dc: &Dc, hosts: Vec<HostEntry>) {
        let lag_ms = self.shared.options.lag_ms;
        lock(&self.shared.state).set_hosts(Some(dc), hosts, lag_ms);
    }

    /// Cuts a data centre's view off until unset: connections stay open and say nothing.
    pub fn set_view_partition(&self, dc: &Dc, on: bool) {
        if let Some(view) = lock(&self.views).get(dc) {
            view.relay.set_partition(on);
        }
    }

    /// Keeps the platform's answers to a data centre back until unset.
    pub fn set_view_held(&self, dc: &Dc, on: bool) {
        if let Some(view) = lock(&self.views).get(dc) {
            view.relay.set_held(on);
        }
    }

    /// Lists targets that run elsewhere, beside those that the platform started.
    pub fn set_targets(&self, targets: Vec<TargetEntry>) {
        lock(&self.shared.state).others = targets;
    }

    // ---- Faults ----

    /// Makes the log refuse all calls until unset.
    pub fn set_outage(&self, on: bool) {
        lock(&self.shared.state).outage = on;
    }

    /// Loses the answers to this many appends, orders and reports, which take effect.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.shared.state).lost_answers = count;
    }

    /// Delays every answer by this time, in milliseconds.
    pub fn set_slow(&self, delay_ms: u64) {
        lock(&self.shared.state).slow_ms = delay_ms;
    }

    /// Gives notice to the reclaimable targets of a data centre and returns their names.
    pub fn reclaim(&self, dc: &Dc, notice_ms: u64) -> Vec<TargetName> {
        lock(&self.shared.state)
            .fleet
            .reclaim(dc, notice_ms, wall_ms())
    }

    /// Answers orders to start with "none available" until unset.
    pub fn set_unavailable(&self, on: bool) {
        lock(&self.shared.state).fleet.set_unavailable(on);
    }

    // ---- Targets ----

    /// Returns the targets as they are now, without the lag.
    pub fn targets(&self) -> Vec<TargetEntry> {
        lock(&self.shared.state).fleet.list().targets
    }

    /// Returns all engines there were, those that ended included.
    pub fn engines(&self) -> Vec<Arc<Engine>> {
        let state = lock(&self.shared.state);
        let engines = state.fleet.all().filter_map(|target| match target {
            Target::Engine(engine) => Some(Arc::clone(engine)),
            Target::Plain(_) => None,
        });
        engines.collect()
    }

    /// Returns the engines that run.
    pub fn running_engines(&self) -> Vec<Arc<Engine>> {
        let state = lock(&self.shared.state);
        let engines = state
            .fleet
            .running()
            .filter_map(|(_, target)| match target {
                Target::Engine(engine) => Some(Arc::clone(engine)),
                Target::Plain(_) => None,
            });
        engines.collect()
    }

    /// Returns the plain services that run.
    pub fn running_plain_services(&self) -> Vec<Arc<PlainService>> {
        let state = lock(&self.shared.state);
        let services = state
            .fleet
            .running()
            .filter_map(|(_, target)| match target {
                Target::Engine(_) => None,
                Target::Plain(plain) => Some(Arc::clone(plain)),
            });
        services.collect()
    }

    /// Returns all plain services there were, those that ended included.
    pub fn plain_services(&self) -> Vec<Arc<PlainService>> {
        let state = lock(&self.shared.state);
        let services = state.fleet.all().filter_map(|target| match target {
            Target::Engine(_) => None,
            Target::Plain(plain) => Some(Arc::clone(plain)),
        });
        services.collect()
    }

    /// Returns the time paid for, by class, in milliseconds.
    pub fn billed_ms(&self) -> BTreeMap<ClassName, u64> {
        lock(&self.shared.state).fleet.cost(wall_ms())
    }
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        if let Some(ticker) = self.ticker.take() {
            drop(ticker.join());
        }
    }
}

impl State {
    /// Adds an event to the history.
    pub(crate) fn record(&mut self, event: PlatformEvent) {
        self.history.push(PlatformRecord {
            at_ms: wall_ms(),
            event,
        });
    }

    /// Sets the hosts as a view sees them.
    fn set_hosts(&mut self, view: Option<&Dc>, hosts: Vec<HostEntry>, lag_ms: u64) {
        let seen = self
            .hosts
            .entry(view.cloned())
            .or_insert_with(|| Lagging::new(lag_ms));
        seen.set(HostList { hosts }, wall_ms());
    }

    /// Returns the hosts as a view sees them now.
    pub(crate) fn hosts(&mut self, view: Option<&Dc>) -> HostList {
        let hosts = self.hosts.get_mut(&view.cloned());
        hosts.map(|hosts| hosts.get(wall_ms())).unwrap_or_default()
    }

    /// Moves targets on and publishes their list.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        self.fleet.tick(now_ms);
        for event in self.fleet.take_events() {
            self.record(event);
        }
        let mut list = self.fleet.list();
        list.targets.extend(self.others.iter().cloned());
        self.targets.set(list, now_ms);
    }
}
