//! A fake platform on real sockets: log, host and target lists, orders, usage reports and weight
//! store.

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
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// A fake platform that serves the protocol of [`godwitspool_connection::platform`] and runs fake
/// targets.
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

/// A separate listener for one data centre, behind a relay that can silence or delay it.
struct View {
    relay: Relay,
    // Dropped last: the relay has then closed the connections to this server.
    _server: HttpServer,
}

/// State that the threads of the platform share.
pub(crate) struct Shared {
    pub(crate) options: PlatformOptions,
    pub(crate) state: Mutex<State>,
    stopped: AtomicBool,
}

/// Mutable part of [`Shared`].
pub(crate) struct State {
    pub(crate) appends: RateLimit,
    pub(crate) downloads: RateLimit,
    pub(crate) fleet: Fleet,
    pub(crate) history: Vec<PlatformRecord>,
    /// Host list by view; `None` is the common address.
    pub(crate) hosts: BTreeMap<Option<Dc>, Lagging<HostList>>,
    pub(crate) log: Log,
    /// Number of further answers to lose.
    pub(crate) lost_answers: u32,
    /// Targets listed in addition to those of `fleet`.
    pub(crate) external_targets: Vec<TargetEntry>,
    pub(crate) outage: bool,
    /// First usage report of each window.
    pub(crate) reports: BTreeMap<u64, UsageReport>,
    /// Delay of every request in milliseconds.
    pub(crate) latency_ms: u64,
    pub(crate) targets: Lagging<TargetList>,
}

impl Platform {
    /// Starts the platform and the initial targets of each class.
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
            external_targets: Vec::new(),
            outage: false,
            reports: BTreeMap::new(),
            latency_ms: 0,
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
                    thread::sleep(TICK_INTERVAL);
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

    /// Returns the common address, which all data centres can use.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns all history records.
    pub fn history(&self) -> Vec<PlatformRecord> {
        lock(&self.shared.state).history.clone()
    }

    /// Returns the retained log records from an offset on.
    pub fn log(&self, from: Offset) -> Vec<LogRecord> {
        lock(&self.shared.state).log.page(from, usize::MAX).records
    }

    /// Appends a record as an operator does, without the rate limit and without a history record.
    pub fn append(&self, body: impl Into<String>) -> Offset {
        lock(&self.shared.state).log.append(vec![body.into()])
    }

    /// Sets the host list. Readers see it after [`PlatformOptions::lag_ms`].
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        let lag_ms = self.shared.options.lag_ms;
        lock(&self.shared.state).set_hosts(None, hosts, lag_ms);
    }

    /// Opens a separate address for one data centre, with its own host list. Host addresses in it can
    /// differ from those in the common list.
    ///
    /// # Errors
    ///
    /// Returns the error of binding an address.
    pub fn open_view(&self, dc: &Dc, hosts: Vec<HostEntry>) -> io::Result<SocketAddr> {
        self.set_view_hosts(dc, hosts);
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let shared = Arc::clone(&self.shared);
        let view_dc = dc.clone();
        let server = HttpServer::start(local, VIEW_WORKERS, move |request| {
            platform_http::handle(request, &shared, Some(&view_dc));
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

    /// Sets the host list at the address of one data centre. Readers see it after
    /// [`PlatformOptions::lag_ms`].
    pub fn set_view_hosts(&self, dc: &Dc, hosts: Vec<HostEntry>) {
        let lag_ms = self.shared.options.lag_ms;
        lock(&self.shared.state).set_hosts(Some(dc), hosts, lag_ms);
    }

    /// Silences all open connections to the address of a data centre, and new ones while set, without
    /// closing them.
    pub fn set_view_partition(&self, dc: &Dc, on: bool) {
        if let Some(view) = lock(&self.views).get(dc) {
            view.relay.set_partition(on);
        }
    }

    /// Holds back the responses at the address of a data centre while set, and sends them afterwards.
    pub fn set_view_held(&self, dc: &Dc, on: bool) {
        if let Some(view) = lock(&self.views).get(dc) {
            view.relay.set_held(on);
        }
    }

    /// Sets targets to list in addition to those that the platform started.
    pub fn set_targets(&self, targets: Vec<TargetEntry>) {
        lock(&self.shared.state).external_targets = targets;
    }

    /// While set, log reads and appends fail with status 503.
    pub fn set_outage(&self, on: bool) {
        lock(&self.shared.state).outage = on;
    }

    /// Sends no response to the next `count` appends, orders and usage reports, which still take
    /// effect.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.shared.state).lost_answers = count;
    }

    /// Delays every request by this time before it is handled.
    pub fn set_slow(&self, delay_ms: u64) {
        lock(&self.shared.state).latency_ms = delay_ms;
    }

    /// Reclaims the reclaimable targets of a data centre: they end after `notice_ms`. Returns their
    /// names.
    pub fn reclaim(&self, dc: &Dc, notice_ms: u64) -> Vec<TargetName> {
        lock(&self.shared.state)
            .fleet
            .reclaim(dc, notice_ms, wall_ms())
    }

    /// While set, start orders are answered with `OrderAnswer::NoneAvailable`.
    pub fn set_unavailable(&self, on: bool) {
        lock(&self.shared.state).fleet.set_unavailable(on);
    }

    /// Returns the current targets that the platform started, without the lag of the list.
    pub fn targets(&self) -> Vec<TargetEntry> {
        lock(&self.shared.state).fleet.list().targets
    }

    /// Returns all engines started so far, including those that have ended.
    pub fn engines(&self) -> Vec<Arc<Engine>> {
        let state = lock(&self.shared.state);
        let engines = state.fleet.all().filter_map(|target| match target {
            Target::Engine(engine) => Some(Arc::clone(engine)),
            Target::Plain(_) => None,
        });
        engines.collect()
    }

    /// Returns the engines that have not ended.
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

    /// Returns the plain services that have not ended.
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

    /// Returns all plain services started so far, including those that have ended.
    pub fn plain_services(&self) -> Vec<Arc<PlainService>> {
        let state = lock(&self.shared.state);
        let services = state.fleet.all().filter_map(|target| match target {
            Target::Engine(_) => None,
            Target::Plain(plain) => Some(Arc::clone(plain)),
        });
        services.collect()
    }

    /// Returns the total time from launch to end of all targets, by class, in milliseconds.
    pub fn billed_ms(&self) -> BTreeMap<ClassName, u64> {
        lock(&self.shared.state).fleet.billed_ms(wall_ms())
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

    /// Sets the host list of a view; `None` is the common address.
    fn set_hosts(&mut self, view: Option<&Dc>, hosts: Vec<HostEntry>, lag_ms: u64) {
        let host_list = self
            .hosts
            .entry(view.cloned())
            .or_insert_with(|| Lagging::new(lag_ms));
        host_list.set(HostList { hosts }, wall_ms());
    }

    /// Returns the host list that a view serves now; `None` is the common address.
    pub(crate) fn hosts(&mut self, view: Option<&Dc>) -> HostList {
        let hosts = self.hosts.get_mut(&view.cloned());
        hosts.map(|hosts| hosts.get(wall_ms())).unwrap_or_default()
    }

    /// Updates the targets that are due and publishes the target list.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        self.fleet.tick(now_ms);
        for event in self.fleet.take_events() {
            self.record(event);
        }
        let mut list = self.fleet.list();
        list.targets.extend(self.external_targets.iter().cloned());
        self.targets.set(list, now_ms);
    }
}
