use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use godwitspool_types::{Millis, TargetName, Workspace};

use super::{
    LoadNotice, Shared,
    shared::{lease_clock, unix_ms},
};
use crate::{
    dialect::{DutyError, Fence, LoadMode, LoadOrder, Ordered, WindowReport},
    duty::{LoadView, Loading, next_load, plan_loads},
    http::Exchange,
    store::{Record, Store, StoreError, Topic, Writer, read_all},
    version::Outcome,
};

/// Longest time between two looks at what is due.
const LOOK: Duration = Duration::from_millis(250);
/// Bound on the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// How long after a window's end its counts are frozen: hosts append theirs within a second of it.
const FREEZE_DELAY_MS: u64 = 3_000;
/// Time between two reads of the hosts' counts.
const USAGE_LOOK_MS: u64 = 1_000;
/// Time between two attempts to report a window.
const REPORT_PAUSE_MS: u64 = 1_000;
/// Pause after a host appended its counts, before it looks again.
const USAGE_PAUSE: Duration = Duration::from_millis(250);

/// Whether this host holds the duties, and until when.
#[derive(Debug, Default)]
pub struct Desk(Mutex<Option<Hold>>);

#[derive(Clone, Copy, Debug)]
struct Hold {
    epoch: u64,
    until: Millis,
}

impl Desk {
    fn lock(&self) -> MutexGuard<'_, Option<Hold>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the duties over, or holds them longer.
    pub fn hold(&self, epoch: u64, until: Millis) {
        let mut hold = self.lock();
        let epoch = hold.map_or(epoch, |hold| hold.epoch);
        if hold.is_none() {
            log::info!(epoch; "duties taken over");
        }
        *hold = Some(Hold { epoch, until });
    }

    /// Gives the duties up.
    pub fn release(&self) {
        if let Some(hold) = self.lock().take() {
            log::info!(epoch = hold.epoch; "duties given up");
        }
    }

    /// Returns the epoch while the duties are held for certain.
    fn epoch(&self) -> Option<u64> {
        let hold = *self.lock();
        hold.filter(|hold| lease_clock() < hold.until)
            .map(|hold| hold.epoch)
    }
}

/// Carries the duties out while this host holds them.
pub struct Holder {
    shared: Arc<Shared>,
    desk: Arc<Desk>,
    loading: Arc<Mutex<HashMap<TargetName, Loading>>>,
    /// When this host acted last, by the clock of leases.
    acted: Option<Millis>,
}

/// What a holder knows of one term.
struct Term {
    epoch: u64,
    seq: u64,
    frozen: BTreeMap<u64, WindowReport>,
    reported: BTreeSet<u64>,
    tried: HashMap<u64, u64>,
    counts: BTreeMap<u64, HashMap<Workspace, u64>>,
    /// A window whose freezing isn't confirmed: it is repeated unchanged.
    freezing: Option<WindowReport>,
    /// Keys of the counts that were added, since appends may be repeated.
    added: HashSet<String>,
    usage_next: u64,
    usage_read: u64,
    from: Millis,
}

impl Holder {
    /// Creates a holder.
    pub fn new(shared: Arc<Shared>, desk: Arc<Desk>) -> Self {
        Self {
            acted: None,
            desk,
            loading: Arc::default(),
            shared,
        }
    }

    /// Runs until the process ends.
    pub fn run(mut self) {
        let mut term: Option<Term> = None;
        let mut seen = 0;
        while !self.shared.is_draining() {
            self.shared.await_news(&mut seen, self.pause());
            let Some(epoch) = self.desk.epoch() else {
                continue;
            };
            if term.as_ref().is_none_or(|term| term.epoch != epoch) {
                term = self.begin(epoch);
            }
            if let Some(current) = &mut term
                && lease_clock() >= current.from
            {
                self.order_loads(current.epoch);
                if let Err(error) = self.report_usage(current) {
                    log::warn!(error:%, epoch; "usage not reported yet");
                    if matches!(error, StoreError::Fenced { .. }) {
                        term = None;
                    }
                }
            }
        }
    }

    /// Returns how long nothing is due: until a load ends, at most.
    fn pause(&self) -> Duration {
        let now = self.shared.clock.now();
        let loading = self.loading.lock().unwrap_or_else(PoisonError::into_inner);
        let next = next_load(loading.values(), now).map(|next| (next - now).duration());
        next.map_or(LOOK, |next| next.min(LOOK))
    }

    fn begin(&self, epoch: u64) -> Option<Term> {
        let store = self.shared.store.as_ref();
        let writer = Writer { epoch, seq: 0 };
        let begun = store.append(Topic::Duty, 0, &[], Some(writer));
        let read = begun.and_then(|()| read_all(store, Topic::Duty, 0, None, |_| true));
        let records = match read {
            Ok((records, _)) => records,
            Err(error) => {
                log::warn!(error:%, epoch; "duties not begun yet");
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
                Err(error) => log::warn!(key:% = stored.record.key, error:%; "window left out"),
            }
        }
        // A host that held the duties before acts again only after the lease, so that turns never
        // alternate within it. Where tokens aren't checked, an earlier holder's lease runs out first.
        let lease = Millis::from(self.shared.settings.lease);
        let from = if self.shared.settings.fenced {
            self.acted.map_or(Millis::ZERO, |acted| acted + lease)
        } else {
            lease_clock() + lease
        };
        log::info!(epoch, frozen = frozen.len(); "duties begun");
        Some(Term {
            epoch,
            seq: 1,
            frozen,
            reported: BTreeSet::new(),
            tried: HashMap::new(),
            counts: BTreeMap::new(),
            freezing: None,
            added: HashSet::new(),
            usage_next: 0,
            usage_read: 0,
            from,
        })
    }

    fn fence(&self, epoch: u64) -> Fence {
        Fence {
            holder: self.shared.settings.host.to_string(),
            token: epoch,
        }
    }

    fn order_loads(&mut self, epoch: u64) {
        let Some(configuration) = self.shared.configuration() else {
            return;
        };
        let now = self.shared.clock.now();
        let named = self.shared.named();
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
                orders.extend(plan_loads(&LoadView {
                    targets: fleet.usable(name),
                    assigned: &fleet.assign_models(name, &service.models),
                    newest_versions: &named,
                    loading: &loading,
                    mode,
                    now,
                }));
            }
        }
        for order in orders {
            if self.desk.epoch() != Some(epoch) {
                return;
            }
            self.acted = Some(lease_clock());
            self.send_order(order, epoch, now);
        }
    }

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
            let answer = Exchange::call(&shared.pool, order.address, &request, ORDER_TIMEOUT);
            let ordered = answer.map(|answer| shared.dialect.ordered(&answer));
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
            let mut loading = loading.lock().unwrap_or_else(PoisonError::into_inner);
            match ordered {
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
                // Nothing is known to load; ordered again once the target is due.
                Ok(Ordered::Busy | Ordered::Fenced | Ordered::Refused) => {
                    if let Some(load) = loading.get_mut(target) {
                        load.version = 0;
                    }
                }
                Err(error) => {
                    if let Some(load) = loading.get_mut(target) {
                        load.version = 0;
                    }
                    if !error.was_sent() {
                        loading.remove(target);
                        let now = shared.clock.now();
                        shared.fleet().start(target);
                        shared.fleet().finish(target, Outcome::Failed, now);
                    }
                }
            }
        });
        if let Err(error) = spawned {
            log::error!(error:%; "no thread for an order");
        }
    }

    fn report_usage(&mut self, term: &mut Term) -> Result<(), StoreError> {
        let now = unix_ms();
        let shared = Arc::clone(&self.shared);
        let late_ms = shared.settings.window_due.as_millis() as u64;
        if let Some(report) = term.freezing.take() {
            self.freeze(term, report)?;
        }
        if now >= term.usage_read + USAGE_LOOK_MS {
            term.usage_read = now;
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
                log::info!(window, counts = counts.len(); "counts came after their window was frozen");
                continue;
            }
            let mut counts: Vec<(Workspace, u64)> = counts.into_iter().collect();
            counts.sort();
            self.freeze(term, WindowReport { window, counts })?;
        }
        let open: Vec<WindowReport> = term
            .frozen
            .values()
            .filter(|report| {
                let due = shared.usage.end_ms(report.window) + late_ms;
                let tried = term.tried.get(&report.window).copied().unwrap_or_default();
                now <= due
                    && now >= tried + REPORT_PAUSE_MS
                    && !term.reported.contains(&report.window)
            })
            .cloned()
            .collect();
        for report in open {
            if self.desk.epoch() != Some(term.epoch) {
                return Ok(());
            }
            term.tried.insert(report.window, now);
            self.acted = Some(lease_clock());
            let reported = shared.duties.report(&report, &self.fence(term.epoch));
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

    /// Stores a window's counts before they are reported: every later report repeats them.
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
        let appended = self
            .shared
            .store
            .append(Topic::Duty, 0, &[record], Some(writer));
        if let Err(error) = appended {
            term.freezing = Some(report);
            return Err(error);
        }
        term.seq += 1;
        log::info!(window = report.window, counts = report.counts.len(), epoch = term.epoch; "window frozen");
        term.frozen.insert(report.window, report);
        Ok(())
    }

    /// Adds the counts that hosts have appended.
    fn read_usage(&self, term: &mut Term, now: u64) -> Result<(), StoreError> {
        let store = self.shared.store.as_ref();
        loop {
            let tail = match store.read(Topic::Usage, 0, term.usage_next, Duration::ZERO) {
                Err(StoreError::Gone { first }) if first > term.usage_next => {
                    term.usage_next = first;
                    continue;
                }
                read => read?,
            };
            let read = tail.records.len();
            term.usage_next = tail.next;
            for stored in tail.records {
                if !term.added.insert(stored.record.key.clone()) {
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
                    Err(error) => log::warn!(offset = stored.offset, error:%; "counts left out"),
                }
            }
            if read == 0 {
                break;
            }
        }
        let late_ms = self.shared.settings.window_due.as_millis() as u64;
        let usage = &self.shared.usage;
        term.counts
            .retain(|window, _| usage.end_ms(*window) + late_ms >= now);
        Ok(())
    }
}

/// Appends the counts of ended windows until the process ends; what is open is appended last.
pub fn append_usage(shared: &Arc<Shared>) {
    let mut unsent: Vec<Record> = Vec::new();
    let mut number = 0;
    loop {
        let draining = shared.is_draining();
        let now = unix_ms();
        let until = if draining { u64::MAX } else { now };
        for (window, counts) in shared.usage.take_ended(until) {
            number += 1;
            match postcard::to_stdvec(&(window, &counts)) {
                Ok(value) => {
                    let key = format!("{window}/{}/{number}", shared.member);
                    unsent.push(Record::new(key, value));
                }
                Err(error) => log::error!(error:%, window; "counts can't be encoded"),
            }
        }
        if !unsent.is_empty() {
            match shared.store.append(Topic::Usage, 0, &unsent, None) {
                Ok(()) => unsent.clear(),
                // Their keys tell repeated ones apart.
                Err(error) => {
                    log::warn!(records = unsent.len(), error:%; "counts not appended yet");
                }
            }
        }
        if draining && unsent.is_empty() {
            return;
        }
        let length = shared.settings.window.as_millis() as u64;
        let pause = if unsent.is_empty() && !draining {
            Duration::from_millis(length - now % length) + Duration::from_millis(50)
        } else {
            USAGE_PAUSE
        };
        thread::sleep(pause.min(Duration::from_secs(1)));
    }
}
