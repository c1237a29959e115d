use std::{
    collections::HashMap,
    fmt, io,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use godwitspool_process::{Clock, Histogram, Metrics, Reasons};
use godwitspool_types::{Millis, ModelName};
use rustix::time::{ClockId, clock_gettime};

use super::{Relay, UsageBook, peers::Peers, relay::RelayMetrics, reports::Reports};
use crate::{
    Settings,
    batch::BatchRegistry,
    dialect::{Dialect, Duties},
    http::Pool,
    store::Store,
    version::{Configuration, Fleet, Mirror},
};

/// The process's edges.
#[derive(Clone)]
pub struct Edges {
    /// What the platform's messages mean.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's calls of one host at a time.
    pub duties: Arc<dyn Duties>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
}

impl fmt::Debug for Edges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Edges").finish_non_exhaustive()
    }
}

/// What the process's threads share.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Steady clock.
    pub clock: Clock,
    /// What the platform's messages mean.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's calls of one host at a time.
    pub duties: Arc<dyn Duties>,
    /// The platform's store, directly or through another host.
    pub store: Arc<Relay>,
    /// Idle connections to targets and hosts.
    pub pool: Arc<Pool>,
    /// Batches of the owned partitions.
    pub owned_batches: Arc<BatchRegistry>,
    /// Requests counted for usage.
    pub usage: UsageBook,
    /// Other hosts.
    pub peers: Peers,
    /// Reports of runs between hosts.
    pub reports: Reports,
    /// Tells this start of the host from others.
    pub incarnation: u32,
    /// Name of this start of the host in the hosts' group: where it is reached, and a random part.
    pub member: String,
    /// Metrics.
    pub metrics: Metrics,
    /// Requests by how they ended.
    pub answers: Reasons,
    /// Times of requests.
    pub answer_seconds: Histogram,
    /// Runs of items by how they ended.
    pub runs: Reasons,
    /// Times of completed runs.
    pub run_seconds: Histogram,
    /// Orders to targets by what came of them.
    pub orders: Reasons,
    /// Copies of the operators' and the targets' records.
    pub mirrors: Mutex<[Mirror; 2]>,
    configuration: RwLock<Option<Arc<Configuration>>>,
    fleet: Mutex<Fleet>,
    named: Mutex<HashMap<ModelName, u64>>,
    /// Signals that named versions or targets have changed.
    pub news: Condvar,
    news_count: Mutex<u64>,
    draining: AtomicBool,
}

impl fmt::Debug for dyn Dialect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Dialect")
    }
}

impl fmt::Debug for dyn Duties {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Duties")
    }
}

impl fmt::Debug for dyn Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}

impl Shared {
    /// Creates the state of a process that knows nothing yet.
    ///
    /// # Errors
    ///
    /// When no pipe can be opened.
    pub fn new(settings: Settings, edges: Edges) -> io::Result<Self> {
        let metrics = Metrics::default();
        let answers = metrics.reasons("answers", "Requests by how they ended");
        let answer_seconds = metrics.seconds("answer_seconds", "Times from request to answer");
        let runs = metrics.reasons("runs", "Runs of items by how they ended");
        let run_seconds = metrics.seconds("run_seconds", "Times of completed runs");
        let orders = metrics.reasons("orders", "Orders to targets by what came of them");
        let calls = metrics.reasons("store_calls", "Calls to the store by way and outcome");
        let call_seconds = metrics.seconds("store_seconds", "Times of calls to the store");
        let own = [Some(settings.peer), settings.seed]
            .into_iter()
            .flatten()
            .collect();
        let incarnation = rand::random::<u32>();
        let member = format!("{}#{incarnation:08x}", settings.peer);
        Ok(Self {
            owned_batches: Arc::new(BatchRegistry::new(settings.store.parts)?),
            clock: Clock::start(),
            configuration: RwLock::default(),
            dialect: edges.dialect,
            draining: AtomicBool::new(false),
            duties: edges.duties,
            fleet: Mutex::default(),
            incarnation,
            member,
            reports: Reports::open(settings.peer),
            metrics,
            answers,
            answer_seconds,
            runs,
            run_seconds,
            orders,
            mirrors: Mutex::default(),
            named: Mutex::default(),
            news: Condvar::new(),
            news_count: Mutex::default(),
            peers: Peers::default(),
            pool: Arc::default(),
            store: Arc::new(Relay::new(
                edges.store,
                &settings.seeds,
                own,
                RelayMetrics {
                    calls,
                    seconds: call_seconds,
                },
            )),
            usage: UsageBook::new(settings.window),
            settings,
        })
    }

    /// Returns the configuration in force, if one is known.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let configuration = self.configuration.read();
        configuration
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a configuration into force unless a newer one is.
    pub fn configure(&self, configuration: Configuration) -> bool {
        let current = self.configuration.write();
        let mut current = current.unwrap_or_else(PoisonError::into_inner);
        if current
            .as_ref()
            .is_some_and(|current| current.version >= configuration.version)
        {
            return false;
        }
        *current = Some(Arc::new(configuration));
        true
    }

    /// Gives access to the targets.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the newest version of each model.
    pub fn named(&self) -> HashMap<ModelName, u64> {
        self.named
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Takes over a model's newest version; older ones are left out.
    pub fn name_version(&self, model: &ModelName, version: u64) -> bool {
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        let known = named.entry(model.clone()).or_default();
        let newer = version > *known;
        *known = version.max(*known);
        newer
    }

    /// Records a version of which a batch or another host tells, before the operators' record of it
    /// has arrived.
    pub fn learn_version(&self, model: &ModelName, version: u64, source: &str) {
        if self.name_version(model, version) {
            log::info!(model:%, version, source; "version heard of");
            self.announce();
        }
    }

    /// Tells the duties that named versions or targets have changed.
    pub fn announce(&self) {
        *self
            .news_count
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += 1;
        self.news.notify_all();
        self.owned_batches.waker.wake();
    }

    /// Waits for news, up to a time.
    pub fn await_news(&self, seen: &mut u64, timeout: Duration) {
        let count = self
            .news_count
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let unchanged = |count: &mut u64| *count == *seen;
        let waited = self.news.wait_timeout_while(count, timeout, unchanged);
        *seen = *waited.unwrap_or_else(PoisonError::into_inner).0;
    }

    /// Tells whether the process is about to end.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Lets the process report that it isn't ready, and give up what it owns.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.announce();
    }

    /// Tells whether callers can be served: a configuration and targets are known.
    pub fn is_ready(&self) -> bool {
        let mirrors = self.mirrors.lock().unwrap_or_else(PoisonError::into_inner);
        let known = mirrors.iter().all(|mirror| mirror.confirmed.is_some());
        drop(mirrors);
        known && !self.is_draining() && self.configuration().is_some()
    }
}

/// Returns the time of day in milliseconds from 1970.
pub fn unix_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.unwrap_or_default().as_millis() as u64
}

/// Returns the time since the machine's start, pauses of the machine included: what leases count.
pub fn lease_clock() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
