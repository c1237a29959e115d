use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::{Arc, PoisonError},
    thread,
    time::Duration,
};

use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::{Millis, ServiceName, TargetName, Workspace};

use super::{LoadNotice, Shared, shared::unix_ms};
use crate::{
    dialect::{DutyError, Fence, LoadMode, LoadOrder, Ordered, WindowReport},
    duty::{Lease, LoadLimit, LoadView, Loading, TermStart, next_load, plan_loads},
    http::Exchange,
    lease_clock,
    store::{Record, Store, StoreError, Topic, Writer, read_all},
    version::Outcome,
};

/// Maximum interval between two checks for due work.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of an order to a target.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Age of the targets' entries from which on they don't tell whether loads take too long. They are read
/// several times per second.
const MAX_ENTRY_AGE: Millis = Millis(1_500);
/// Delay from the end of a window until its counts are frozen. Hosts append their counts within a
/// second after the end.
const FREEZE_DELAY_MS: u64 = 3_000;
/// Interval between two reads of the counts that hosts append.
const USAGE_POLL_INTERVAL_MS: u64 = 1_000;
/// Interval between two attempts to report a window.
const REPORT_RETRY_INTERVAL_MS: u64 = 1_000;
/// Delay before a failed append of counts is retried.
const USAGE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// This host's lease on the duties, which one host at a time performs.
#[derive(Debug, Default)]
pub struct DutyLease(Mutex<Option<Lease>>);

impl DutyLease {
    fn lock(&self) -> MutexGuard<'_, Option<Lease>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Acquires the lease, or extends it if it is still valid.
    pub fn renew(&self, epoch: u64, until: Millis) {
        let mut held = self.lock();
        let renewed = Lease::renew(*held, epoch, until, lease_clock());
        if held.is_none_or(|held| held.epoch != renewed.epoch) {
            log::info!(epoch = renewed.epoch, expired = held.map(|held| held.epoch); "duties taken over");
        }
        *held = Some(renewed);
    }

    /// Releases the lease if it is held.
    pub fn release(&self) {
        if let Some(held) = self.lock().take() {
            log::info!(epoch = held.epoch; "duties given up");
        }
    }

    /// Ends the term of an epoch that the store has fenced. If the duties are still dealt to this host,
    /// the next renewal begins a term under a higher epoch.
    fn expire(&self, epoch: u64) {
        let mut held = self.lock();
        if let Some(lease) = held.as_mut().filter(|lease| lease.epoch == epoch) {
            lease.expire();
        }
    }

    /// Returns the epoch of the lease, or `None` if it isn't held or may have expired.
    pub(super) fn epoch(&self) -> Option<u64> {
        let held = *self.lock();
        held.filter(|held| held.is_valid(lease_clock()))
            .map(|held| held.epoch)
    }
}

/// Performs the duties while this host holds the lease.
pub struct DutyRunner {
    shared: Arc<Shared>,
    duty_lease: Arc<DutyLease>,
    loading: Arc<Mutex<HashMap<TargetName, Loading>>>,
    /// Limit on the loads of each service.
    limits: HashMap<ServiceName, LoadLimit>,
    /// When this host last sent an order or a usage report, by the lease clock.
    last_action: Option<Millis>,
}

/// State of one term, during which the epoch of the lease stays the same.
struct Term {
    epoch: u64,
    /// Sequence number of the next append.
    seq: u64,
    /// Reports of frozen windows, by window.
    frozen: BTreeMap<u64, WindowReport>,
    /// Windows that have been reported in this term.
    reported: BTreeSet<u64>,
    /// Unix time of the last attempt to report a window.
    attempted_ms: HashMap<u64, u64>,
    /// Counts of windows that aren't frozen yet.
    counts: BTreeMap<u64, HashMap<Workspace, u64>>,
    /// A frozen window whose append failed; the append is retried with identical content.
    unconfirmed: Option<WindowReport>,
    /// Keys of the count records added so far, to skip duplicates from repeated appends.
    seen_keys: HashSet<String>,
    /// Offset of the next usage record to read.
    usage_offset: u64,
    /// Unix time of the last read of usage records.
    usage_read_ms: u64,
    /// Earliest time, by the lease clock, at which this host may act in this term.
    active_from: Millis,
}

impl DutyRunner {
    /// Creates a runner; it acts only while the lease is held.
    pub fn new(shared: Arc<Shared>, duty_lease: Arc<DutyLease>) -> Self {
        Self {
            last_action: None,
            limits: HashMap::new(),
            duty_lease,
            loading: Arc::default(),
            shared,
        }
    }

    /// Runs until the process drains.
    pub fn run(mut self) {
        let mut term: Option<Term> = None;
        let mut seen = 0;
        while !self.shared.is_draining() {
            let timeout = self.poll_timeout();
            let shared = &self.shared;
            shared
                .duties_activity
                .wait(|| shared.wait_for_change(&mut seen, timeout));
            let Some(epoch) = self.duty_lease.epoch() else {
                continue;
            };
            if term.as_ref().is_none_or(|term| term.epoch != epoch)
                && let Some(begun) = self.begin_term(epoch, term.as_mut())
            {
                term = Some(begun);
            }
            if let Some(current) = &mut term
                && current.epoch == epoch
                && lease_clock() >= current.active_from
            {
                self.order_loads(current.epoch);
                if let Err(error) = self.report_usage(current) {
                    log::warn!(error:%, epoch; "can't report usage");
                    if matches!(error, StoreError::Fenced { .. }) {
                        self.duty_lease.expire(current.epoch);
                        term = None;
                    }
                }
            }
        }
    }

    /// Returns the time until the next load in progress is due, up to the maximum interval.
    fn poll_timeout(&self) -> Duration {
        let now = self.shared.clock.now();
        let loading = self.loading.lock().unwrap_or_else(PoisonError::into_inner);
        let next = next_load(loading.values(), now).map(|next| (next - now).duration());
        next.map_or(MAX_POLL_INTERVAL, |next| next.min(MAX_POLL_INTERVAL))
    }

    /// Returns whether the store confirms that no other host has begun a term since this host's previous
    /// one: it still accepts an append under the previous epoch, which every later holder's epoch fences.
    /// Each sequence number serves for one append only, since the store answers a repeated one as the first.
    fn is_uninterrupted(&self, previous: &mut Term) -> bool {
        let writer = Writer {
            epoch: previous.epoch,
            seq: previous.seq,
        };
        let store = self.shared.store.as_ref();
        let append = || store.append(Topic::Duty, 0, &[], Some(writer));
        if previous.unconfirmed.is_some() {
            return false;
        }
        let appended = self.shared.duties_activity.wait(append);
        let refused = matches!(
            appended,
            Err(StoreError::NoRoom { .. } | StoreError::NotDone { .. })
        );
        if !refused {
            previous.seq += 1;
        }
        appended.is_ok()
    }

    /// Fences earlier holders by an empty append under the new epoch, and loads the frozen windows.
    /// Returns `None` if the store fails; the next round tries again.
    fn begin_term(&self, epoch: u64, previous: Option<&mut Term>) -> Option<Term> {
        let uninterrupted = previous.is_some_and(|previous| self.is_uninterrupted(previous));
        let store = self.shared.store.as_ref();
        let writer = Writer { epoch, seq: 0 };
        let read = self.shared.duties_activity.wait(|| {
            let begun = store.append(Topic::Duty, 0, &[], Some(writer));
            begun.and_then(|()| read_all(store, Topic::Duty, 0, None, |_| true))
        });
        let records = match read {
            Ok((records, _)) => records,
            Err(error) => {
                log::warn!(error:%, epoch; "can't start the term of the duties; retrying");
                if matches!(error, StoreError::Fenced { .. }) {
                    self.duty_lease.expire(epoch);
                }
                return None;
            }
        };
        let mut frozen = BTreeMap::new();
        for stored in records {
            let value = stored.record.value.unwrap_or_default();
            match postcard::from_bytes::<(u64, Vec<(Workspace, u64)>)>(&value) {
                Ok((window, counts)) => {
                    frozen.insert(window, WindowReport { window, counts });
                }
                Err(error) => log::warn!(key:% = stored.record.key, error:%; "window skipped"),
            }
        }
        let now = lease_clock();
        let active_from = TermStart {
            uninterrupted,
            fenced: self.shared.settings.fenced,
            last_action: self.last_action,
            lease: Millis::from(self.shared.settings.lease),
            now,
        }
        .active_from();
        let wait_ms = (active_from - now).0;
        log::info!(epoch, frozen = frozen.len(), uninterrupted, wait_ms; "duties begun");
        Some(Term {
            epoch,
            seq: 1,
            frozen,
            reported: BTreeSet::new(),
            attempted_ms: HashMap::new(),
            counts: BTreeMap::new(),
            unconfirmed: None,
            seen_keys: HashSet::new(),
            usage_offset: 0,
            usage_read_ms: 0,
            active_from,
        })
    }

    fn fence(&self, epoch: u64) -> Fence {
        Fence {
            holder: self.shared.settings.host.to_string(),
            token: epoch,
        }
    }

    /// Orders targets to load the newest versions of their models.
    fn order_loads(&mut self, epoch: u64) {
        let Some(configuration) = self.shared.configuration() else {
            return;
        };
        let now = self.shared.clock.now();
        let named = self.shared.newest_versions();
        let mut orders: Vec<LoadOrder> = Vec::new();
        {
            let fleet = self.shared.fleet();
            let loading = self.loading.lock().unwrap_or_else(PoisonError::into_inner);
            let with_models = configuration.services.iter();
            let with_models = with_models.filter(|(_, service)| !service.models.is_empty());
            for (name, service) in with_models {
                let single = configuration.routes.iter().any(|route| {
                    route.single_version && route.split.iter().any(|split| split.service == *name)
                });
                let mode = if single {
                    LoadMode::Wait
                } else {
                    LoadMode::Continue
                };
                let named: HashMap<_, _> = named
                    .iter()
                    .filter(|(model, _)| service.models.contains(model))
                    .map(|(model, version)| (model.clone(), *version))
                    .collect();
                let limit = self.limits.entry(name.clone()).or_default();
                let age = fleet.freshness.age();
                if age.is_none_or(|age| age > MAX_ENTRY_AGE) {
                    limit.disregard(now);
                }
                limit.update(now, |target, model| {
                    let accepted = loading.get(target).is_some_and(|load| load.version > 0);
                    let target = fleet.get(target).filter(|_| accepted)?;
                    Some(target.entry.models.get(model).copied().unwrap_or_default())
                });
                let targets = fleet.usable(name);
                let planned = plan_loads(&LoadView {
                    most: limit.most(targets.len()),
                    scarce: limit.is_scarce(targets.len()),
                    targets,
                    assigned: &fleet.assign_models(name, &service.models),
                    newest_versions: &named,
                    loading: &loading,
                    mode,
                    now,
                });
                for order in &planned {
                    limit.begin(
                        order.target.clone(),
                        order.model.clone(),
                        order.version,
                        now,
                    );
                }
                orders.extend(planned);
            }
        }
        for order in orders {
            if self.duty_lease.epoch() != Some(epoch) {
                return;
            }
            self.last_action = Some(lease_clock());
            self.send_order(order, epoch, now);
        }
    }

    /// Sends an order on a thread of its own and records the result.
    fn send_order(&self, order: LoadOrder, epoch: u64, now: Millis) {
        let mut loading = self.loading.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = Loading {
            model: order.model.clone(),
            version: order.version,
            since: now,
        };
        loading.insert(order.target.clone(), entry);
        drop(loading);
        let request = self.shared.dialect.load_order(&order, &self.fence(epoch));
        let shared = Arc::clone(&self.shared);
        let loading = Arc::clone(&self.loading);
        let spawned = thread::Builder::new().name("order".to_owned()).spawn(move || {
            let may_send = || !shared.fleet().is_evacuated(&order.target);
            let (pool, address) = (&shared.pool, order.address);
            let answer = Exchange::call_if(pool, address, &request, ORDER_TIMEOUT, may_send);
            let ordered = answer.map(|answer| {
                shared.fleet().observe_answer(&order.target);
                let reply = shared.dialect.reply(&answer);
                if reply.leaving {
                    shared.observe_leaving(&order.target, order.born, "order");
                }
                shared.dialect.ordered(&answer)
            });
            let (target, model, version) = (&order.target, &order.model, order.version);
            log::info!(target_name:% = target, model:%, version, epoch, ordered:?; "load ordered");
            shared.orders.count(match &ordered {
                Ok(Ordered::Accepted) => "accepted",
                Ok(Ordered::Holds) => "holds",
                Ok(Ordered::Busy) => "busy",
                Ok(Ordered::Fenced) => "fenced",
                Ok(Ordered::Refused) => "refused",
                Err(_) => "no answer",
            });
            match &ordered {
                Ok(Ordered::Holds) => shared.fleet().observe_version(target, model, version),
                Ok(Ordered::Accepted) => {
                    shared.fleet().begin_load(target, model, version, shared.clock.now());
                    let notice = LoadNotice {
                        target: target.clone(),
                        model: model.clone(),
                        version,
                    };
                    shared.reports.send_load(&shared, notice);
                }
                Err(error) if !error.was_sent() => {
                    let now = shared.clock.now();
                    let mut fleet = shared.fleet();
                    fleet.start(target);
                    fleet.finish(target, Outcome::Failed, now);
                }
                Ok(Ordered::Busy | Ordered::Fenced | Ordered::Refused) | Err(_) => {}
            }
            // Locked last and alone: the duties lock it while they hold the fleet.
            let mut loading = loading.lock().unwrap_or_else(PoisonError::into_inner);
            match ordered {
                Ok(Ordered::Accepted | Ordered::Holds) => {}
                Err(error) if !error.was_sent() => {
                    loading.remove(target);
                }
                // No load is known to have started. The target is ordered again once it is due.
                Ok(Ordered::Busy | Ordered::Fenced | Ordered::Refused) | Err(_) => {
                    if let Some(load) = loading.get_mut(target) {
                        load.version = 0;
                    }
                }
            }
        });
        if let Err(error) = spawned {
            log::error!(error:%; "can't start a thread for an order");
        }
    }

    /// Reads the hosts' counts, freezes ended windows and reports frozen ones.
    fn report_usage(&mut self, term: &mut Term) -> Result<(), StoreError> {
        let now = unix_ms();
        let shared = Arc::clone(&self.shared);
        let late_ms = shared.settings.usage_deadline.as_millis() as u64;
        if let Some(report) = term.unconfirmed.take() {
            self.freeze(term, report)?;
        }
        if now >= term.usage_read_ms + USAGE_POLL_INTERVAL_MS {
            term.usage_read_ms = now;
            self.read_usage(term, now)?;
        }
        let ended: Vec<u64> = term
            .counts
            .keys()
            .copied()
            .filter(|window| now >= shared.usage.end_ms(*window) + FREEZE_DELAY_MS)
            .collect();
        for window in ended {
            let counts = term.counts.remove(&window).unwrap_or_default();
            if term.frozen.contains_key(&window) {
                log::info!(window, counts = counts.len(); "counts arrived after their window was frozen");
                continue;
            }
            let mut counts: Vec<(Workspace, u64)> = counts.into_iter().collect();
            counts.sort();
            self.freeze(term, WindowReport { window, counts })?;
        }
        let unreported: Vec<WindowReport> = term
            .frozen
            .values()
            .filter(|report| {
                let due = shared.usage.end_ms(report.window) + late_ms;
                let attempted_ms = term
                    .attempted_ms
                    .get(&report.window)
                    .copied()
                    .unwrap_or_default();
                now <= due
                    && now >= attempted_ms + REPORT_RETRY_INTERVAL_MS
                    && !term.reported.contains(&report.window)
            })
            .cloned()
            .collect();
        for report in unreported {
            if self.duty_lease.epoch() != Some(term.epoch) {
                return Ok(());
            }
            term.attempted_ms.insert(report.window, now);
            self.last_action = Some(lease_clock());
            let fence = self.fence(term.epoch);
            let reported = shared
                .duties_activity
                .wait(|| shared.duties.report(&report, &fence));
            let total: u64 = report.counts.iter().map(|(_, count)| count).sum();
            match reported {
                Ok(()) => {
                    term.reported.insert(report.window);
                    log::info!(window = report.window, total, epoch = term.epoch; "usage reported");
                }
                Err(DutyError::Fenced) => {
                    log::warn!(window = report.window, epoch = term.epoch; "usage report fenced");
                    let reason = "usage report".to_owned();
                    return Err(StoreError::Fenced { reason });
                }
                Err(error) => {
                    log::warn!(window = report.window, epoch = term.epoch, error:%; "usage report failed");
                }
            }
        }
        Ok(())
    }

    /// Stores the counts of a window before they are reported, so that repeated reports and those
    /// of later holders are identical.
    fn freeze(&self, term: &mut Term, report: WindowReport) -> Result<(), StoreError> {
        let value = (report.window, &report.counts);
        let value = postcard::to_stdvec(&value).map_err(|error| StoreError::Unreadable {
            reason: error.to_string(),
        })?;
        let record = Record::new(format!("w{:012}", report.window), value);
        let writer = Writer {
            epoch: term.epoch,
            seq: term.seq,
        };
        let shared = &self.shared;
        let appended = shared
            .duties_activity
            .wait(|| shared.store.append(Topic::Duty, 0, &[record], Some(writer)));
        if let Err(error) = appended {
            term.unconfirmed = Some(report);
            return Err(error);
        }
        term.seq += 1;
        log::info!(window = report.window, counts = report.counts.len(), epoch = term.epoch; "window frozen");
        term.frozen.insert(report.window, report);
        Ok(())
    }

    /// Adds counts that hosts have appended since the last read, and drops windows whose reporting
    /// deadline has passed.
    fn read_usage(&self, term: &mut Term, now: u64) -> Result<(), StoreError> {
        let store = self.shared.store.as_ref();
        loop {
            let read = self
                .shared
                .duties_activity
                .wait(|| store.read(Topic::Usage, 0, term.usage_offset, Duration::ZERO));
            let tail = match read {
                Err(StoreError::Gone { first }) if first > term.usage_offset => {
                    term.usage_offset = first;
                    continue;
                }
                read => read?,
            };
            let read = tail.records.len();
            term.usage_offset = tail.next;
            for stored in tail.records {
                if !term.seen_keys.insert(stored.record.key.clone()) {
                    continue;
                }
                let value = stored.record.value.unwrap_or_default();
                match postcard::from_bytes::<(u64, Vec<(Workspace, u64)>)>(&value) {
                    Ok((window, counts)) => {
                        let known = term.counts.entry(window).or_default();
                        for (workspace, count) in counts {
                            *known.entry(workspace).or_default() += count;
                        }
                    }
                    Err(error) => log::warn!(offset = stored.offset, error:%; "counts skipped"),
                }
            }
            if read == 0 {
                break;
            }
        }
        let late_ms = self.shared.settings.usage_deadline.as_millis() as u64;
        let usage = &self.shared.usage;
        term.counts
            .retain(|window, _| usage.end_ms(*window) + late_ms >= now);
        Ok(())
    }
}

/// Appends the counts of ended windows until the process drains. The counts of open windows are
/// appended last, while draining.
pub fn append_usage(shared: &Arc<Shared>) {
    let mut unsent: Vec<Record> = Vec::new();
    let mut number = 0;
    loop {
        let draining = shared.is_draining();
        // Read before the counts are taken, so that they are the last ones.
        let finished = shared.ending.is_service_finished();
        let now = unix_ms();
        let until = if draining { u64::MAX } else { now };
        for (window, counts) in shared.usage.take_ended(until) {
            number += 1;
            match postcard::to_stdvec(&(window, &counts)) {
                Ok(value) => {
                    let key = format!("{window}/{}/{number}", shared.member);
                    unsent.push(Record::new(key, value));
                }
                Err(error) => log::error!(error:%, window; "can't encode counts"),
            }
        }
        if !unsent.is_empty() {
            match shared.store.append(Topic::Usage, 0, &unsent, None) {
                Ok(()) => unsent.clear(),
                // The append may have succeeded; readers recognize duplicates by their keys.
                Err(error) => {
                    log::warn!(records = unsent.len(), error:%; "can't append counts; retrying");
                }
            }
        }
        if finished && unsent.is_empty() {
            return;
        }
        let length = shared.settings.usage_window.as_millis() as u64;
        let pause = if unsent.is_empty() && !draining {
            Duration::from_millis(length - now % length) + Duration::from_millis(50)
        } else {
            USAGE_RETRY_DELAY
        };
        thread::sleep(pause.min(Duration::from_secs(1)));
    }
}
