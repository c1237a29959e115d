mod choose;
mod place;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    ops::RangeInclusive,
};

use godwitspool_types::{Dc, Millis, ModelName, ServiceName, TargetName};
use rapidhash::v3::rapidhash_v3;

use super::{
    Basis, Cold, ColdRule, Evacuations, Freshness, Leaving, Limited, PermitNeed, TargetSpeed, Trips,
};
use choose::LATENCY_RETRY_AGE;
pub use choose::{Choice, Departure};
pub use place::{PlaceRequest, Placement, Work};

use crate::{batch::median_pace, process::RunReport};

/// Expected time from an order until a target has loaded the version: 0.9 s for the load itself as
/// the operators state it, and some time for the order and its notice. Loads take longer if more of
/// them overlap than planned.
pub const LOAD_TIME: Millis = Millis(1_000);
/// Time after which a target is tried again that refused a request for a version which it should have
/// loaded: loads take longer while many targets load.
const LOAD_RECHECK: Millis = Millis(500);
/// Time after which a load counts as failed if no entry or response has shown the new version.
const LOAD_TIMEOUT: Millis = Millis(4_000);
/// Pause of a target after its first failure; doubles with each further consecutive failure.
const MIN_FAILURE_BACKOFF: Millis = Millis(250);
/// Maximum pause of a failing target: about the time that a crashed target needs to restart.
const MAX_FAILURE_BACKOFF: Millis = Millis(2_000);
/// Pause of a target that refused a request because it is full or loading weights. It is a fraction
/// of the second that a load takes.
const REFUSED_BACKOFF: Millis = Millis(150);
/// Pause of a target that stopped responding: at least the remaining time of a load of weights.
const STALLED_BACKOFF: Millis = Millis(400);
/// Weight of the newest response in a target's smoothed latency, as in TCP's round-trip estimate.
const LATENCY_SMOOTHING: f64 = 0.125;
/// Weight of a target's first response beside what is assumed of it. A slow one may be an exception, by which
/// a target would be passed by for seconds.
const FIRST_LATENCY_WEIGHT: f64 = 0.6;
/// Time after which an earlier response has lost most of its weight.
const LATENCY_MEMORY: Millis = Millis(1_000);
/// Maximum weight of the newest response, which a host with few callers reaches: by the usual weight it would
/// learn of a queue after some ten seconds.
const MAX_LATENCY_SMOOTHING: f64 = 0.25;
/// Assumed latency of a target that has not responded yet.
const INITIAL_LATENCY_MS: f64 = 20.0;
/// How long the number of a host's newest report is kept to detect older ones.
const REPORT_RETENTION: Millis = Millis(60_000);
/// Age after which another host's report of its running requests is ignored.
const MAX_REPORT_AGE: Millis = Millis(500);
/// Number of consecutive failures from which on a target isn't relied on to continue a text.
const UNRELIABLE_FAILURES: u32 = 2;

/// The entry with which a target registers itself in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEntry {
    /// Name of the target. A restarted target may keep its name.
    pub name: TargetName,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub dc: Dc,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is draining: it must not get new requests.
    pub draining: bool,
    /// Version of each model that the target has loaded.
    pub models: HashMap<ModelName, u64>,
    /// When the target started, in milliseconds since 1970; distinguishes restarts.
    pub born: u64,
    /// Time for which the target stays cold from when the entry is read.
    pub cold_left: Millis,
}

/// How an exchange with a target ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The target responded; holds the latency in milliseconds.
    Answered(f64),
    /// The exchange was dropped for a reason that doesn't count against the target.
    Dropped,
    /// The connection failed or was closed early, or the response was invalid.
    Failed,
    /// The target refused the request because it is full or loading.
    Refused,
    /// The target stopped responding, and the request moved to another target.
    Stalled,
}

/// A target with this host's observations of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// The newest entry of the target, with versions that responses have shown since.
    pub entry: TargetEntry,
    /// Number of this host's requests that run at the target.
    pub running: u32,
    /// Number of callers' requests among them; the others are items and reward calls.
    pub requests: u32,
    /// Number of other hosts' requests that run at the target and the time of the report, by
    /// sender.
    pub remote_running: HashMap<u32, (u32, Millis)>,
    /// Number of consecutive failures.
    pub failures: u32,
    /// End of its pause. Until then requests go to it only if all other targets are paused too, and
    /// items of batches never do.
    pub paused_until: Millis,
    /// Smoothed latency of its responses, in milliseconds.
    pub latency_ms: f64,
    /// Mean latency of its last responses without an assumption for the first ones, in milliseconds.
    pub mean_ms: f64,
    /// Number of its responses since it was tried for the first time, or again.
    pub answers: u32,
    /// When it last responded; `None` if it hasn't.
    pub answered_at: Option<Millis>,
    /// Observed speed of this start of the target.
    pub speed: TargetSpeed,
    /// Last load that the target has begun: model, version and time.
    pub loading: Option<(ModelName, u64, Millis)>,
    /// The limit that it has named to this host, if its newest response named one.
    pub limited: Option<Limited>,
    /// Whether it is cold, and permits for requests to it while it is.
    pub cold: Cold,
    /// Until when it is kept although its entry was removed: the entry may have expired only because
    /// the store was unavailable.
    pub kept_until: Option<Millis>,
}

/// The newest report of another host.
#[derive(Clone, Debug)]
struct KnownReport {
    number: u64,
    at: Millis,
    /// Targets of the report, at which the sender's runs are counted.
    targets: Vec<TargetName>,
}

/// All known targets, from which the target of each request is chosen. Callers provide the time and
/// the locking.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Ordered by name, which is the order in which [`Self::usable`] returns them.
    targets: BTreeMap<TargetName, Target>,
    /// Each other host's newest report, by sender.
    reports: HashMap<u32, KnownReport>,
    /// Number of changes so far to which targets are usable for which service.
    revision: u64,
    /// How current the entries are.
    pub freshness: Freshness,
    /// How current the operators' records are, if a bound on evacuations is set.
    pub operator_freshness: Freshness,
    /// Data centres that the operators have evacuated.
    evacuations: Evacuations,
    /// Rules for the cold targets of each service.
    cold_rules: HashMap<ServiceName, ColdRule>,
    /// Targets that have said in a response that they leave.
    pub leaving: Leaving,
    /// What is known of trips to other data centres.
    pub trips: Trips,
    /// Number of requests that were sent.
    started: u64,
}

impl Target {
    /// Returns the version of a model that the target serves now, and whether it is expected rather
    /// than confirmed; `None` while the target loads the model.
    fn version(&self, model: &ModelName, now: Millis) -> Option<(u64, bool)> {
        let confirmed = self.entry.models.get(model).copied().unwrap_or_default();
        match &self.loading {
            Some((of, version, at))
                if of == model && *version > confirmed && now - *at < LOAD_TIMEOUT =>
            {
                (now - *at >= LOAD_TIME).then_some((*version, true))
            }
            _ => Some((confirmed, false)),
        }
    }

    /// Returns whether an item may run at the target, apart from a limit that it has named.
    fn fits_item(&self, model: &ModelName, versions: &RangeInclusive<u64>, now: Millis) -> bool {
        let version = self.version(model, now).map(|(version, _)| version);
        version.is_some_and(|version| versions.contains(&version))
            && self.paused_until <= now
            && self.total_running(now) < self.entry.slots
    }

    /// Returns the state of the permits for requests to the target, if they need any.
    fn limiting(&self, now: Millis) -> Option<&Limited> {
        self.cold.permits(now).or(self.limited.as_ref())
    }

    /// Returns whether only a permit is missing, which may be asked for now.
    fn lacks_permit(&self, now: Millis) -> bool {
        self.limiting(now)
            .is_some_and(|limited| !limited.has_permit(now) && limited.is_open(now))
    }

    /// Returns whether a request may be sent to the target as far as its limit is concerned.
    fn has_permit(&self, now: Millis) -> bool {
        self.limiting(now)
            .is_none_or(|limited| limited.has_permit(now))
    }

    /// Returns whether a slot is free, as far as this host knows.
    fn has_free_slot(&self, now: Millis) -> bool {
        self.total_running(now) < self.entry.slots
    }

    /// Returns the number of callers' requests for which the target has room.
    fn room(&self, now: Millis) -> u32 {
        let slots = self.entry.slots;
        let batch = self.total_running(now).saturating_sub(self.requests);
        slots.saturating_sub(self.requests + batch.min(slots / 2))
    }

    /// Returns the number of requests that it runs concurrently, at least 1.
    fn slots(&self) -> u32 {
        self.entry.slots.max(1)
    }

    /// Returns the number of requests that run at the target, including those of other hosts.
    pub fn total_running(&self, now: Millis) -> u32 {
        let others = self
            .remote_running
            .values()
            .filter(|(_, at)| now - *at < MAX_REPORT_AGE);
        self.running + others.map(|(count, _)| count).sum::<u32>()
    }
}

impl Fleet {
    /// Creates an empty fleet, with the maximum age of the entries by which a target is chosen.
    pub fn new(max_entry_age: Millis) -> Self {
        Self {
            freshness: Freshness::new(max_entry_age),
            ..Self::default()
        }
    }

    /// Adds or updates a target from its entry. Returns false if the entry is from an earlier start
    /// of the target and was ignored.
    pub fn apply(&mut self, entry: TargetEntry) -> bool {
        match self.targets.get_mut(&entry.name) {
            Some(target) if target.entry.born > entry.born => false,
            Some(target) if target.entry.born == entry.born => {
                let mut entry = entry;
                for (model, version) in &target.entry.models {
                    let newest = entry.models.entry(model.clone()).or_default();
                    *newest = (*newest).max(*version);
                }
                let known = &target.entry;
                if known.service != entry.service || known.draining != entry.draining {
                    self.revision += 1;
                }
                target.entry = entry;
                target.kept_until = None;
                true
            }
            _ => {
                let old = self.targets.get(&entry.name);
                let target = Target {
                    running: old.map_or(0, |old| old.running),
                    requests: old.map_or(0, |old| old.requests),
                    remote_running: HashMap::new(),
                    failures: 0,
                    paused_until: Millis::default(),
                    latency_ms: INITIAL_LATENCY_MS,
                    mean_ms: 0.0,
                    answers: 0,
                    answered_at: None,
                    speed: TargetSpeed::default(),
                    loading: None,
                    limited: None,
                    cold: Cold::new(self.cold_rules.get(&entry.service).copied()),
                    kept_until: None,
                    entry,
                };
                self.targets.insert(target.entry.name.clone(), target);
                self.revision += 1;
                true
            }
        }
    }

    /// Removes a target whose entry was removed. If the entry may have expired only because the store
    /// was unavailable, the target is kept until `keep_until`, when [`Self::expire`] removes it, unless
    /// it is draining.
    pub fn remove(&mut self, name: &TargetName, keep_until: Option<Millis>) {
        match self.targets.get_mut(name) {
            Some(target) if keep_until.is_some() && !target.entry.draining => {
                target.kept_until = target.kept_until.or(keep_until);
            }
            _ => {
                self.targets.remove(name);
                self.revision += 1;
            }
        }
    }

    /// Removes the targets whose entries have not come back in time, and returns their names.
    pub fn expire(&mut self, now: Millis) -> Vec<TargetName> {
        let is_expired = |target: &Target| target.kept_until.is_some_and(|until| now >= until);
        let gone: Vec<TargetName> = self
            .targets
            .values()
            .filter(|target| is_expired(target))
            .map(|target| target.entry.name.clone())
            .collect();
        for name in &gone {
            self.targets.remove(name);
            self.revision += 1;
        }
        gone
    }

    /// Returns a number that grows with each change to which targets [`Self::usable`] returns.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the target with this name, if it is known.
    pub fn get(&self, name: &TargetName) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Returns the targets of a service that neither their entries nor their responses say to leave,
    /// ordered by name.
    pub fn usable(&self, service: &ServiceName) -> Vec<&Target> {
        let mut usable = self.registered(service);
        usable.retain(|target| !self.is_leaving(target));
        usable
    }

    /// Returns the targets of a service that their entries don't say to drain, ordered by name. Every choice
    /// of a target starts here, so targets in evacuated data centres are left out here.
    fn registered(&self, service: &ServiceName) -> Vec<&Target> {
        let targets = self.targets.values();
        targets
            .filter(|target| target.entry.service == *service && !target.entry.draining)
            .filter(|target| !self.evacuations.includes(&target.entry.dc))
            .collect()
    }

    /// Returns whether a target has said in a response that it leaves.
    fn is_leaving(&self, target: &Target) -> bool {
        self.leaving.includes(&target.entry.name, target.entry.born)
    }

    /// Records that the start `born` of a target has said in a response that it leaves. Returns whether
    /// that is news.
    pub fn observe_leaving(&mut self, name: &TargetName, born: u64, now: Millis) -> bool {
        let news = self.leaving.observe(name, born, now);
        if news {
            self.revision += 1;
            let targets = &self.targets;
            self.leaving.prune(|name| targets.contains_key(name), now);
        }
        news
    }

    /// Counts a request that was sent to a target.
    pub fn start(&mut self, name: &TargetName) {
        self.started += 1;
        if let Some(target) = self.targets.get_mut(name) {
            target.running += 1;
        }
    }

    /// Counts a caller's request that was sent to a target.
    pub fn start_request(&mut self, name: &TargetName) {
        self.start(name);
        if let Some(target) = self.targets.get_mut(name) {
            target.requests += 1;
        }
    }

    /// Records how a caller's request ended, as [`Self::finish`] does.
    pub fn finish_request(&mut self, name: &TargetName, outcome: Outcome, now: Millis) {
        self.finish(name, outcome, now);
        if let Some(target) = self.targets.get_mut(name) {
            target.requests = target.requests.saturating_sub(1);
        }
    }

    /// Returns the number of callers' requests for which the targets of a service have room. `None` if
    /// the service is never full: it has no target to wait for, or one states no slots. Paused targets
    /// count only if all are paused, since requests then go to them.
    ///
    /// Load pattern: items of a step fill all slots for minutes, while callers wait for milliseconds.
    /// Items and reward calls, of this host and of others, therefore take at most half of a target's slots
    /// from callers.
    pub fn room(&self, service: &ServiceName, now: Millis) -> Option<u32> {
        if self.basis() == Basis::Stale {
            return None;
        }
        let mut available = self.usable(service);
        available.retain(|target| {
            target
                .limiting(now)
                .is_none_or(|limited| limited.is_open(now))
        });
        if available.iter().any(|target| target.paused_until <= now) {
            available.retain(|target| target.paused_until <= now);
        }
        let bounded = available.iter().all(|target| target.entry.slots > 0);
        let rooms = available.iter().map(|target| target.room(now));
        (bounded && !available.is_empty()).then(|| rooms.sum())
    }

    /// Takes a permit for a request from the stock if the target has named a limit or is cold. Returns
    /// false if there is none, or the target has been evacuated since it was chosen: the request must not
    /// be sent.
    #[must_use]
    pub fn take_permit(&mut self, name: &TargetName, now: Millis) -> bool {
        if self.is_evacuated(name) {
            return false;
        }
        self.limited(name, now)
            .is_none_or(|limited| limited.take_permit(now))
    }

    /// Evacuates or restores a data centre. Returns whether that is news, and the number of its targets.
    /// Whether the targets of a restored data centre are cold isn't known, so they are taken as cold.
    pub fn set_evacuated(&mut self, dc: &Dc, active: bool, now: Millis) -> (bool, usize) {
        let news = self.evacuations.set(dc, active);
        self.revision += u64::from(news);
        let targets = self.targets.values_mut();
        let concerned = targets.filter(|target| target.entry.dc == *dc);
        let mut count = 0;
        for target in concerned {
            count += 1;
            if news && !active {
                target.cold.presume(now);
            }
        }
        (news, count)
    }

    /// Returns whether a target is in an evacuated data centre: nothing more may be sent to it.
    pub fn is_evacuated(&self, name: &TargetName) -> bool {
        let target = self.targets.get(name);
        target.is_some_and(|target| self.evacuations.includes(&target.entry.dc))
    }

    /// Returns whether a service has targets, all of them in evacuated data centres.
    pub fn is_service_evacuated(&self, service: &ServiceName) -> bool {
        let mut of_service = self
            .targets
            .values()
            .filter(|target| target.entry.service == *service)
            .peekable();
        of_service.peek().is_some()
            && of_service.all(|target| self.evacuations.includes(&target.entry.dc))
    }

    /// Returns the services that have just lost their last target to an evacuation, and those that have one
    /// again.
    pub fn update_unserved(&mut self) -> (Vec<ServiceName>, Vec<ServiceName>) {
        if self.evacuations.is_idle() {
            return Default::default();
        }
        let services = self.targets.values().map(|target| &target.entry.service);
        let services: HashSet<&ServiceName> = services.collect();
        let unserved = services
            .into_iter()
            .filter(|service| self.is_service_evacuated(service))
            .cloned()
            .collect();
        self.evacuations.update_unserved(unserved)
    }

    /// Returns what a choice of a target rests on now: on the older one of the entries and of the operators'
    /// records.
    pub fn basis(&self) -> Basis {
        match self.operator_freshness.basis() {
            Basis::Stale => Basis::Stale,
            Basis::Current | Basis::Unreachable => self.freshness.basis(),
        }
    }

    /// Sets the rules for cold targets.
    pub fn set_cold_rules(&mut self, rules: HashMap<ServiceName, ColdRule>) {
        for target in self.targets.values_mut() {
            let rule = rules.get(&target.entry.service);
            target.cold.set_rule(rule.copied());
        }
        self.cold_rules = rules;
    }

    /// Records how long the start `born` of a target stays cold. Returns whether it has become cold.
    pub fn observe_cold(
        &mut self,
        name: &TargetName,
        born: u64,
        left: Millis,
        now: Millis,
    ) -> bool {
        let target = self.targets.get_mut(name);
        let target = target.filter(|target| target.entry.born == born);
        target.is_some_and(|target| target.cold.observe(left, now))
    }

    /// Records that a target which was not known, or came back under its name, may be cold although its entry
    /// doesn't say so. Returns whether it has become cold.
    pub fn presume_cold(&mut self, name: &TargetName, now: Millis) -> bool {
        let target = self.targets.get_mut(name);
        target.is_some_and(|target| target.cold.presume(now))
    }

    /// Records how a request ended, and pauses the target if it failed, refused or stalled.
    pub fn finish(&mut self, name: &TargetName, outcome: Outcome, now: Millis) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.running = target.running.saturating_sub(1);
        match outcome {
            Outcome::Answered(ms) => {
                target.failures = 0;
                target.paused_until = Millis::default();
                // A cold target is slow for a known time, which says nothing of the time after it.
                if !target.cold.is_cold(now) {
                    let service = &target.entry.service;
                    let before = target.answered_at.unwrap_or(now);
                    let since = Millis(now.0.saturating_sub(before.0));
                    // One slow response, which may be an exception, isn't enough to know a target by.
                    if target.answered_at.is_none() || since >= LATENCY_RETRY_AGE {
                        let idle_ms = self.trips.idle_ms(service);
                        target.latency_ms = idle_ms.unwrap_or(INITIAL_LATENCY_MS).min(ms);
                        target.answers = 0;
                    }
                    target.answers = target.answers.saturating_add(1);
                    let answers = f64::from(target.answers);
                    let weight = 1.0 - (-since.seconds() / LATENCY_MEMORY.seconds()).exp();
                    let weight = weight.clamp(LATENCY_SMOOTHING, MAX_LATENCY_SMOOTHING);
                    let weight = weight.max(1.0 / answers).min(FIRST_LATENCY_WEIGHT);
                    target.latency_ms += weight * (ms - target.latency_ms);
                    let weight = LATENCY_SMOOTHING.max(1.0 / answers);
                    target.mean_ms += weight * (ms - target.mean_ms);
                    self.trips.observe_latency(service, target.mean_ms, now);
                    target.answered_at = Some(now);
                }
            }
            Outcome::Dropped => {}
            Outcome::Stalled if target.cold.is_cold(now) => {}
            Outcome::Stalled => target.paused_until = now + STALLED_BACKOFF,
            Outcome::Failed => {
                let pause = MIN_FAILURE_BACKOFF.0 << target.failures.min(3);
                target.failures += 1;
                target.paused_until = now + Millis(pause).min(MAX_FAILURE_BACKOFF);
            }
            Outcome::Refused => target.paused_until = now + REFUSED_BACKOFF,
        }
    }

    /// Records that a connection to a target was opened, if it was, and the sizes of a request and its
    /// response.
    pub fn observe_exchange(
        &mut self,
        name: &TargetName,
        connect_ms: Option<f64>,
        sizes: Option<(usize, usize)>,
        now: Millis,
    ) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        if let Some(took_ms) = connect_ms {
            self.trips.observe_connect(&target.entry.dc, took_ms, now);
        }
        if let Some((bytes_out, bytes_in)) = sizes {
            self.trips
                .observe_sizes(&target.entry.service, bytes_out, bytes_in);
        }
    }

    /// Records that a target has answered something else than a request, so that it can be reached.
    pub fn observe_answer(&mut self, name: &TargetName) {
        if let Some(target) = self.targets.get_mut(name) {
            target.failures = 0;
            target.paused_until = Millis::default();
        }
    }

    /// Records the version of a model that a target's response has shown.
    pub fn observe_version(&mut self, name: &TargetName, model: &ModelName, version: u64) {
        if let Some(target) = self.targets.get_mut(name) {
            target.entry.models.insert(model.clone(), version);
        }
    }

    /// Records the limit that a target's response names. Returns whether that is news: a first limit,
    /// another one, or the end of one.
    pub fn observe_limit(&mut self, name: &TargetName, limit: Option<f64>, now: Millis) -> bool {
        let Some(target) = self.targets.get_mut(name) else {
            return false;
        };
        let known = target.limited.map(|limited| limited.limit);
        match (&mut target.limited, limit) {
            (Some(limited), Some(limit)) => {
                limited.limit = limit;
                limited.named_at = now;
            }
            (limited, limit) => *limited = limit.map(|limit| Limited::new(limit, now)),
        }
        known != limit
    }

    /// Returns the state of the permits for requests to a target that has named a limit or is cold.
    pub fn limited(&mut self, name: &TargetName, now: Millis) -> Option<&mut Limited> {
        let target = self.targets.get_mut(name)?;
        let cold = target.cold.permits_mut(now);
        cold.or(target.limited.as_mut())
    }

    /// Returns why a request to a target needs a permit; `None` if it doesn't, or if the target is in an
    /// evacuated data centre and gets no request.
    pub fn permit_need(&self, name: &TargetName, now: Millis) -> Option<PermitNeed> {
        let target = self.targets.get(name)?;
        if self.evacuations.includes(&target.entry.dc) {
            return None;
        }
        let need = PermitNeed {
            named: target
                .limited
                .map(|limited| (limited.limit, limited.named_at)),
            cold: target.cold.rate(now),
        };
        (need != PermitNeed::default()).then_some(need)
    }

    /// Ends the limit of a target that has ended it in a response to another host.
    pub fn end_limit(&mut self, name: &TargetName) {
        if let Some(target) = self.targets.get_mut(name) {
            target.limited = None;
        }
    }

    /// Records that a target has begun to load a version.
    pub fn begin_load(&mut self, name: &TargetName, model: &ModelName, version: u64, now: Millis) {
        if let Some(target) = self.targets.get_mut(name) {
            target.loading = Some((model.clone(), version, now));
        }
    }

    /// Records that a target has refused a request for a version that it should have loaded by now: it gets
    /// none for that version for a while.
    pub fn defer_load(&mut self, name: &TargetName, version: u64, now: Millis) {
        let loading = self.targets.get_mut(name);
        let loading = loading.and_then(|target| target.loading.as_mut());
        if let Some((_, _, at)) = loading.filter(|(_, loaded, _)| *loaded == version) {
            *at = now + LOAD_RECHECK - LOAD_TIME;
        }
    }

    /// Applies another host's report of its running requests, unless a newer one has already
    /// arrived.
    pub fn apply_report(&mut self, report: &RunReport, now: Millis) {
        let newest = self.reports.get(&report.sender).map(|known| known.number);
        if newest.is_some_and(|newest| newest > report.number) {
            return;
        }
        // Only targets of the sender's last report are looked at: there may be thousands of targets, and
        // a thousand reports per second.
        let targets = &mut self.targets;
        let mut forget = |sender: u32, names: &[TargetName]| {
            for name in names {
                if let Some(target) = targets.get_mut(name) {
                    target.remote_running.remove(&sender);
                }
            }
        };
        self.reports.retain(|sender, known| {
            let recent = now - known.at < REPORT_RETENTION;
            if !recent {
                forget(*sender, &known.targets);
            }
            recent
        });
        let known = self.reports.entry(report.sender);
        let known = known.or_insert_with(|| KnownReport {
            number: report.number,
            at: now,
            targets: Vec::new(),
        });
        // A datagram with the number of the newest report continues it.
        if newest != Some(report.number) {
            forget(report.sender, &known.targets);
            known.targets.clear();
        }
        known.number = report.number;
        known.at = now;
        for (name, count) in &report.running {
            if let Some(target) = targets.get_mut(name) {
                target.remote_running.insert(report.sender, (*count, now));
                known.targets.push(name.clone());
            }
        }
    }

    /// Records the interval between two events of a stream, except while the target is cold.
    pub fn record_pace(&mut self, name: &TargetName, interval_ms: f64, now: Millis) {
        if let Some(target) = self.targets.get_mut(name)
            && !target.cold.is_cold(now)
        {
            let running = target.total_running(now);
            target.speed.record(interval_ms, running, now);
        }
    }

    /// Returns the median interval between events at a service's targets, in milliseconds.
    pub fn median_pace(&self, service: &ServiceName, now: Millis) -> Option<f64> {
        let usable = self.usable(service).into_iter();
        median_pace(
            usable
                .filter_map(|target| target.speed.recent_ms(now))
                .collect(),
        )
    }

    /// Returns whether a usable target serves this version of a model now, busy or not. If all targets are
    /// evacuated, one may serve it again once a data centre is restored.
    pub fn has_version(
        &self,
        service: &ServiceName,
        model: &ModelName,
        version: u64,
        now: Millis,
    ) -> bool {
        let mut usable = self.usable(service).into_iter();
        let serves = usable.any(|target| {
            target.failures < UNRELIABLE_FAILURES
                && target
                    .version(model, now)
                    .is_some_and(|(served, _)| served == version)
        });
        serves || self.is_service_evacuated(service)
    }

    /// Returns the time until the first limit of a service's targets leaves room again; `None` if no
    /// target has named a limit.
    pub fn opens_in(&self, service: &ServiceName, now: Millis) -> Option<Millis> {
        let usable = self.usable(service).into_iter();
        usable
            .filter_map(|target| target.limiting(now).map(|limited| limited.opens_in(now)))
            .min()
    }

    /// Returns the least loaded targets, at most `count`, at which an item could run if there were a
    /// permit, which may be asked for.
    pub fn lacking_for_item(
        &self,
        service: &ServiceName,
        model: &ModelName,
        versions: &RangeInclusive<u64>,
        count: usize,
        now: Millis,
    ) -> Vec<TargetName> {
        let fits = |target: &Target| target.fits_item(model, versions, now);
        self.lacking(service, fits, count, now)
    }

    /// Returns the least loaded targets, at most `count`, at which a reward call could run if there
    /// were a permit, which may be asked for.
    pub fn lacking_for_call(
        &self,
        service: &ServiceName,
        count: usize,
        now: Millis,
    ) -> Vec<TargetName> {
        self.lacking(service, |target| target.fits_call(now), count, now)
    }

    fn lacking(
        &self,
        service: &ServiceName,
        fits: impl Fn(&Target) -> bool,
        count: usize,
        now: Millis,
    ) -> Vec<TargetName> {
        let mut lacking = self.usable(service);
        lacking.retain(|target| target.lacks_permit(now) && fits(target));
        lacking.sort_by_key(|target| target.total_running(now));
        let names = lacking.iter().map(|target| target.entry.name.clone());
        names.take(count).collect()
    }

    /// Assigns each target of a service to one of its models, as evenly as possible. Rendezvous
    /// hashing keeps most assignments when a target joins or leaves.
    pub fn assign_models(
        &self,
        service: &ServiceName,
        models: &[ModelName],
    ) -> HashMap<TargetName, ModelName> {
        let mut pairs: Vec<(u64, &TargetName, &ModelName)> = Vec::new();
        let usable = self.usable(service);
        for target in &usable {
            for model in models {
                let name = &target.entry.name;
                let key = format!("{name}/{model}");
                pairs.push((rapidhash_v3(key.as_bytes()), name, model));
            }
        }
        pairs.sort_unstable();
        let share = usable.len() / models.len().max(1);
        let mut remainder = usable.len() % models.len().max(1);
        let mut counts: HashMap<&ModelName, usize> = HashMap::new();
        let mut assigned: HashMap<TargetName, ModelName> = HashMap::new();
        let mut full: HashSet<&ModelName> = HashSet::new();
        for (_, target, model) in pairs {
            if assigned.contains_key(target) || full.contains(model) {
                continue;
            }
            let count = counts.entry(model).or_default();
            if *count == share {
                // The model may get one of the targets that are left over after an even division.
                if remainder == 0 {
                    full.insert(model);
                    continue;
                }
                remainder -= 1;
                full.insert(model);
            }
            *count += 1;
            assigned.insert(target.clone(), model.clone());
        }
        assigned
    }
}
