use std::{
    collections::HashMap,
    fmt, io,
    sync::{
        Arc, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use godwitspool_process::{Clock, CounterByReason, Histogram, Metrics};
use godwitspool_sync::{Condvar, Mutex, MutexGuard, RwLock};
use godwitspool_types::{ModelName, TargetName};

use super::{
    Activity, Ending, PlaceMetrics, Relay, TripMetrics, UsageCounts,
    caller_reads::CallerReads,
    clients::{ClientShare, max_idle_connections},
    is_standby,
    peers::Peers,
    permits::Permits,
    relay::RelayMetrics,
    reports::Reports,
    standby::standby_name,
    suspicion::Suspicion,
};
use crate::{
    Settings,
    batch::BatchRegistry,
    dialect::{Dialect, Duties, Reply},
    http::{MemoryBudget, Pool},
    lease_clock,
    request::{DurationEstimates, Queues, Repeats},
    store::{Store, Topic},
    version::{ColdRule, Configuration, Fleet, Freshness, Leaving, Mirror},
};

/// Fraction of the time for which a leaving target serves on up to which its entry may be old when it
/// is chosen.
const ENTRY_AGE_FRACTION: f64 = 0.75;

/// Fraction of the time from an evacuation until no request may reach a target there up to which the
/// operators' records may be old when a target is chosen. The rest is for connecting and sending.
const OPERATOR_AGE_FRACTION: f64 = 0.9;

/// Fraction of the time from the end of a batch until no item of it may reach a target up to which
/// what is known of its partition may be old when an item starts. It covers two reads that each wait
/// for news.
const BATCH_AGE_FRACTION: f64 = 0.8;

/// Implementations of the interfaces to the platform.
#[derive(Clone)]
pub struct Adapters {
    /// Translation of the platform's messages.
    pub dialect: Arc<dyn Dialect>,
    /// Calls to the platform that one host at a time makes.
    pub duties: Arc<dyn Duties>,
    /// Store of the platform, without relaying.
    pub store: Arc<dyn Store>,
}

impl fmt::Debug for Adapters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Adapters").finish_non_exhaustive()
    }
}

/// State shared by the threads of the process.
#[derive(Debug)]
pub struct Shared {
    /// Settings given at the start.
    pub settings: Settings,
    /// Monotonic clock, which starts with the process.
    pub clock: Clock,
    /// Translation of the platform's messages.
    pub dialect: Arc<dyn Dialect>,
    /// Calls to the platform that one host at a time makes.
    pub duties: Arc<dyn Duties>,
    /// Store of the platform, called directly or through another host.
    pub store: Arc<Relay>,
    /// Reads of the store on behalf of callers.
    pub caller_reads: CallerReads,
    /// Idle connections to targets and other hosts, for exchanges with timeouts of their own.
    pub pool: Arc<Pool>,
    /// Idle connections to targets for callers' requests, which may take as long as the caller allows.
    pub request_pool: Pool,
    /// Batches of the owned partitions.
    pub owned_batches: Arc<BatchRegistry>,
    /// Counts of requests for usage reports.
    pub usage: UsageCounts,
    /// Other hosts and the partitions they hold.
    pub peers: Peers,
    /// Permits for requests to targets that have named a limit.
    pub permits: Permits,
    /// Queues of callers' requests.
    pub queues: Queues,
    /// Budgets for hedges and retries of callers' requests.
    pub repeats: Repeats,
    /// Requests that are suspected of ending their targets.
    pub suspicion: Suspicion,
    /// Reports of runs, sent to and received from other hosts.
    pub reports: Reports,
    /// Random number that distinguishes this start of the process from others of the same host.
    pub incarnation: u32,
    /// Member name in the hosts' group, unique for each start: peer address, incarnation, and a suffix for
    /// standbys.
    pub member: String,
    /// Registry of the process's metrics.
    pub metrics: Metrics,
    /// Number of requests by outcome.
    pub answers: CounterByReason,
    /// Durations of requests in seconds.
    pub answer_seconds: Histogram,
    /// Number of connections that a limit on clients has ended, by limit.
    pub limited: CounterByReason,
    /// Number of requests that ended while the process drained, by outcome.
    pub drained: CounterByReason,
    /// The end of the process.
    pub ending: Ending,
    durations: Mutex<DurationEstimates>,
    /// Number of runs of batch items by outcome.
    pub runs: CounterByReason,
    /// Durations of completed runs in seconds.
    pub run_seconds: Histogram,
    /// Number of reward calls by outcome.
    pub calls: CounterByReason,
    /// Times from an item's complete output to its score in seconds.
    pub score_seconds: Histogram,
    /// Ages of the targets' entries at the time that a target was chosen, in seconds.
    pub entry_age: Histogram,
    /// Number of targets that have said that they leave, by the kind of response that said it first.
    pub leavings: CounterByReason,
    /// Metrics of evacuated data centres and cold targets.
    pub places: PlaceMetrics,
    /// Metrics of work that leaves the data centre.
    pub trips: TripMetrics,
    /// Memory for requests, responses and batches.
    pub memory: Arc<MemoryBudget>,
    /// Number of load orders to targets by outcome.
    pub orders: CounterByReason,
    /// Number of times that a worker was found standing still, by worker.
    pub stalls: CounterByReason,
    /// Activity of the thread that performs the duties.
    pub duties_activity: Activity,
    /// Activity of the thread that runs batches.
    pub runner_activity: Activity,
    /// Local copies of the operators' records and of the targets' entries, in this order.
    pub mirrors: Mutex<[Mirror; 2]>,
    configuration: RwLock<Option<Arc<Configuration>>>,
    fleet: Mutex<Fleet>,
    versions: Mutex<HashMap<ModelName, u64>>,
    /// Notified when versions or targets have changed, or when the process drains.
    pub changed: Condvar,
    /// Number of changes so far.
    change_count: Mutex<u64>,
    draining: AtomicBool,
    /// Whether a worker stands still, so that this host can't be relied on.
    stalled: AtomicBool,
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
    /// Creates the state of a process that has read nothing from the store yet.
    ///
    /// # Errors
    ///
    /// Fails if no pipe can be created.
    pub fn new(settings: Settings, adapters: Adapters) -> io::Result<Self> {
        let metrics = Metrics::default();
        let answers = metrics.counter_by_reason("answers", "Requests by how they ended");
        let answer_seconds =
            metrics.seconds_histogram("answer_seconds", "Times from request to answer");
        let drained = metrics.counter_by_reason(
            "drained_requests",
            "Requests that ended while the process drained, by how they ended",
        );
        let limited = metrics.counter_by_reason(
            "limited_clients",
            "Connections that a limit on clients has ended, by limit",
        );
        let runs = metrics.counter_by_reason("runs", "Runs of items by how they ended");
        let run_seconds = metrics.seconds_histogram("run_seconds", "Times of completed runs");
        let leavings = metrics.counter_by_reason(
            "targets_leaving",
            "Targets that said in a response that they leave, by the kind of request",
        );
        let orders = metrics.counter_by_reason("orders", "Orders to targets by what came of them");
        let permit_answers =
            metrics.counter_by_reason("permits", "Permits for limited targets by outcome");
        let breaks = metrics.counter_by_reason(
            "broken_requests",
            "Requests whose connection broke off, by what became of the target",
        );
        let suspects = metrics.counter_by_reason(
            "suspects",
            "Decisions about requests that are suspected of ending their targets",
        );
        let calls = metrics.counter_by_reason("reward_calls", "Reward calls by how they ended");
        let score_seconds =
            metrics.seconds_histogram("score_seconds", "Times from a complete output to its score");
        let entry_age = metrics.seconds_histogram(
            "entry_age_seconds",
            "Ages of the targets' entries when a target was chosen",
        );
        let own_addresses = [Some(settings.peer), settings.seed]
            .into_iter()
            .flatten()
            .collect();
        let incarnation = rand::random::<u32>();
        let mut member = format!("{}#{incarnation:08x}", settings.peer);
        if is_standby(&settings.resources, &settings.store) {
            member = standby_name(&member);
        }
        let (owned_batches, memory) = new_batches(&settings)?;
        // Two pools share it.
        let max_idle = max_idle_connections(&settings.resources) / 2;
        Ok(Self {
            owned_batches,
            memory,
            caller_reads: CallerReads::new(incarnation, &metrics),
            clock: Clock::start(),
            configuration: RwLock::default(),
            dialect: adapters.dialect,
            draining: AtomicBool::new(false),
            stalled: AtomicBool::new(false),
            stalls: metrics.counter_by_reason("stalls", "Workers found standing still, by worker"),
            duties_activity: Activity::default(),
            runner_activity: Activity::default(),
            duties: adapters.duties,
            fleet: Mutex::new(new_fleet(&settings, incarnation)),
            incarnation,
            member,
            reports: Reports::open(settings.peer),
            places: PlaceMetrics::new(&metrics),
            trips: TripMetrics::new(&metrics),
            queues: Queues::new(&metrics),
            repeats: Repeats::new(&metrics),
            answers,
            answer_seconds,
            drained,
            limited,
            ending: Ending::new()?,
            durations: Mutex::default(),
            runs,
            run_seconds,
            calls,
            score_seconds,
            entry_age,
            leavings,
            orders,
            mirrors: Mutex::default(),
            versions: Mutex::default(),
            changed: Condvar::new(),
            change_count: Mutex::default(),
            peers: Peers::default(),
            permits: Permits::new(permit_answers),
            suspicion: Suspicion::new(breaks, suspects),
            pool: Arc::new(Pool::default().with_limit(max_idle)),
            request_pool: Pool::default().with_kernel_timeouts().with_limit(max_idle),
            store: Arc::new(Relay::new(
                adapters.store,
                &settings.seeds,
                own_addresses,
                RelayMetrics::new(&metrics),
            )),
            usage: UsageCounts::new(settings.usage_window),
            metrics,
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

    /// Applies a configuration. Returns false and ignores it if the current one has the same or a
    /// higher version.
    pub fn apply_configuration(&self, configuration: Configuration) -> bool {
        let current = self.configuration.write();
        let mut current = current.unwrap_or_else(PoisonError::into_inner);
        if current
            .as_ref()
            .is_some_and(|current| current.version >= configuration.version)
        {
            return false;
        }
        let rules = ColdRule::of_services(&configuration.services, &self.settings.cold);
        *current = Some(Arc::new(configuration));
        drop(current);
        self.fleet().set_cold_rules(rules);
        true
    }

    /// Locks and returns the known targets, with the age of their entries as of now.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        let failed = self.store.last_failure(Topic::Targets, 0);
        let is_bounded = self.settings.evacuate.is_some();
        let operator_failed = is_bounded
            .then(|| self.store.last_failure(Topic::Operator, 0))
            .flatten();
        let mut fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        let now = lease_clock();
        fleet.freshness.advance(now, failed);
        fleet.operator_freshness.advance(now, operator_failed);
        fleet
    }

    /// Observes the age of the targets' entries by which a target was chosen, and returns it in
    /// milliseconds.
    pub fn observe_entry_age(&self, fleet: &Fleet) -> Option<u64> {
        let age = fleet.freshness.age()?;
        self.entry_age.observe(age.seconds());
        Some(age.0)
    }

    /// Records what a response says of its target besides the request: its limit, and whether it
    /// leaves. `born` is the start of the target that the request was sent to, and `kind` that of the
    /// request, for the log and metrics.
    pub fn observe_reply(&self, target: &TargetName, born: u64, reply: &Reply, kind: &'static str) {
        self.permits.observe(self, target, reply.limit);
        if reply.leaving {
            self.observe_leaving(target, born, kind);
        }
        if let Some(left) = reply.cold_left {
            let now = self.clock.now();
            if self.fleet().observe_cold(target, born, left, now) {
                self.report_cold(target, "response");
            }
        }
    }

    /// Records that a target has said in a response that it leaves.
    pub fn observe_leaving(&self, target: &TargetName, born: u64, kind: &'static str) {
        let now = self.clock.now();
        if self.fleet().observe_leaving(target, born, now) {
            log::info!(target_name:% = target, born, kind; "target says that it leaves");
            self.leavings.count(kind);
            self.notify_change();
        }
    }

    /// Returns the newest known version of each model.
    pub fn newest_versions(&self) -> HashMap<ModelName, u64> {
        self.versions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the newest known version of a model, 0 if none is known.
    pub fn newest_version(&self, model: &ModelName) -> u64 {
        let named = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        named.get(model).copied().unwrap_or_default()
    }

    /// Records a version of a model if it is newer than the known one. Returns whether it was.
    pub fn update_version(&self, model: &ModelName, version: u64) -> bool {
        let mut named = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let known = named.entry(model.clone()).or_default();
        let newer = version > *known;
        *known = version.max(*known);
        newer
    }

    /// Records a version learned from a batch or another host, possibly before the operators'
    /// record of it has arrived.
    pub fn learn_version(&self, model: &ModelName, version: u64, source: &str) {
        if self.update_version(model, version) {
            log::info!(model:%, version, source; "version heard of");
            self.notify_change();
        }
    }

    /// Wakes the duties and the batch runner after a change of versions or targets.
    pub fn notify_change(&self) {
        *self
            .change_count
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += 1;
        self.changed.notify_all();
        self.owned_batches.waker.wake();
    }

    /// Waits until there was a change after the one numbered `seen`, or the timeout expires, and
    /// updates `seen`.
    pub fn wait_for_change(&self, seen: &mut u64, timeout: Duration) {
        let count = self
            .change_count
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let unchanged = |count: &mut u64| *count == *seen;
        let waited = self.changed.wait_timeout_while(count, timeout, unchanged);
        *seen = *waited.unwrap_or_else(PoisonError::into_inner).0;
    }

    /// Returns whether the process is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Records how long a request of a kind took.
    pub fn observe_duration(&self, kind: &str, took: Duration) {
        let durations = self.durations.lock();
        let mut durations = durations.unwrap_or_else(PoisonError::into_inner);
        durations.observe(kind, took);
    }

    /// Returns how long a request of a kind is expected to take, if one has been observed.
    pub fn expected_duration(&self, kind: &str) -> Option<Duration> {
        let durations = self.durations.lock();
        let durations = durations.unwrap_or_else(PoisonError::into_inner);
        durations.expected(kind)
    }

    /// Starts draining: the process reports that it isn't ready, hands over what it owns, and answers
    /// all requests by the given time.
    pub fn drain(&self, last_answer: Instant) {
        self.ending.announce(last_answer);
        self.draining.store(true, Ordering::SeqCst);
        self.notify_change();
    }

    /// Sets whether a worker stands still. Such a host reports that it isn't ready.
    pub fn set_stalled(&self, stalled: bool) {
        self.stalled.store(stalled, Ordering::SeqCst);
    }

    /// Returns whether callers can be served: both mirrors have been read, a configuration is
    /// known, no worker stands still, and the process isn't draining.
    pub fn is_ready(&self) -> bool {
        let mirrors = self.mirrors.lock().unwrap_or_else(PoisonError::into_inner);
        let known = mirrors.iter().all(|mirror| mirror.confirmed.is_some());
        drop(mirrors);
        let working = !self.stalled.load(Ordering::SeqCst);
        known && working && !self.is_draining() && self.configuration().is_some()
    }
}

/// Returns the maximum age of entries by which a target is chosen. The rest of the time for which a
/// leaving target serves on is for connecting and sending.
fn max_entry_age(drain: Duration) -> Duration {
    drain.mul_f64(ENTRY_AGE_FRACTION)
}

/// Returns the maximum age of the operators' records by which a target is chosen.
fn max_operator_age(evacuate: Duration) -> Duration {
    evacuate.mul_f64(OPERATOR_AGE_FRACTION)
}

/// Returns the maximum age of what is known of a partition at which its items start. The rest of the
/// time is for connecting and sending.
fn max_batch_age(end_timeout: Duration) -> Duration {
    end_timeout.mul_f64(BATCH_AGE_FRACTION)
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.unwrap_or_default().as_millis() as u64
}

/// Creates the registry of a process that owns no batches, and the memory that they share with requests.
fn new_batches(settings: &Settings) -> io::Result<(Arc<BatchRegistry>, Arc<MemoryBudget>)> {
    let share = ClientShare::of_callers(&settings.resources, &settings.clients);
    let memory = Arc::new(MemoryBudget::new(share.memory));
    let batches = BatchRegistry::new(settings.store.parts)?
        .with_max_age(max_batch_age(settings.end_timeout).into())
        .with_memory(Arc::clone(&memory));
    let batches = Arc::new(batches);
    let reclaimed = Arc::downgrade(&batches);
    memory.set_reclaim(reclaimed);
    Ok((batches, memory))
}

/// Creates the fleet of a process that knows no target yet.
fn new_fleet(settings: &Settings, incarnation: u32) -> Fleet {
    let mut fleet = Fleet::new(max_entry_age(settings.drain).into());
    if let Some(evacuate) = settings.evacuate {
        fleet.operator_freshness = Freshness::new(max_operator_age(evacuate).into());
    }
    fleet.leaving = Leaving::new(settings.drain.into());
    fleet.trips.seed = u64::from(incarnation);
    fleet.trips.price = settings.remote_price;
    fleet
}
