use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    ops::RangeInclusive,
};

use godwitspool_request::{rendezvous_weight, stable_hash};
use godwitspool_types::{Dc, Millis, ModelName, ServiceName, TargetName};
use rapidhash::v3::rapidhash_v3;

use super::{
    Basis, Cargo, Cold, ColdRule, Evacuations, Freshness, Leaving, Limited, MARGIN_MS, Offer,
    PermitNeed, ShareChange, SpeedEstimate, TargetSpeed, Trips, load_slope,
};
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
/// Age after which a target's latency fades, as its recent speed does.
const MAX_LATENCY_AGE: Millis = Millis(3_000);
/// Time in which the difference halves. It is some times the interval between the requests of a host with
/// few callers, which would otherwise know nothing of any target.
const LATENCY_HALF_LIFE: Millis = Millis(3_000);
/// Age from which a target is tried again although it looked slow: a trial costs one request of this host
/// at a slow target.
const LATENCY_RETRY_AGE: Millis = Millis(30_000);
/// Factor on the time at an idle target for a target that is tried again, or for the first time, so that it is
/// chosen before the fastest one while it runs no other request.
const RETRY_FACTOR: f64 = 0.9;
/// Part of the slots of a target in another data centre up to which a share of the load that leaves for it
/// grows; the rest is for the callers there, whose requests aren't known here until they are reported.
const SPARE_FILL: f64 = 0.75;
/// How long the number of a host's newest report is kept to detect older ones.
const REPORT_RETENTION: Millis = Millis(60_000);
/// Age after which another host's report of its running requests is ignored.
const MAX_REPORT_AGE: Millis = Millis(500);
/// Interval between events of targets of which nothing is known. All of them count as equal, so it only
/// weighs the time for events against that for reading.
const UNKNOWN_INTERVAL_MS: f64 = 40.0;
/// Speed at which targets read prompts, in tokens per millisecond: some hundred, by the targets' makers.
const TOKENS_PER_MS: f64 = 300.0;
/// How much sooner an item has to end at a target of another model, which the item takes from that
/// model's step.
const FOREIGN_FACTOR: f64 = 1.6;
/// Targets whose expected ends differ by less than this factor count as equal: estimates of the speed
/// differ as much by chance.
const EQUAL_FACTOR: f64 = 1.15;
/// Factor by which an item has to end sooner at another target to wait for it: the wait is a guess.
const MIN_DEFER_GAIN: f64 = 1.25;
/// Items of all hosts that want a slot that gets free, for each one of this host: a trainer's next step,
/// at another host, may wait for the same targets.
const COMPETITION: f64 = 2.0;
/// Number of other hosts up to which the least loaded of all targets is chosen for an item: so few
/// hardly choose the same target between two reports.
const FEW_HOSTS: usize = 8;
/// Minimum number of targets among which the least loaded one is chosen: two are enough to keep the
/// load even, however late the reports are.
const MIN_SAMPLE: usize = 2;
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

/// What [`Fleet::place`] needs to know of an item and its host.
#[derive(Clone, Copy, Debug)]
pub struct PlaceRequest<'a> {
    /// Model that each target is assigned to.
    pub assigned: &'a HashMap<TargetName, ModelName>,
    /// Data centre of the host.
    pub dc: &'a Dc,
    /// Target that must not be chosen.
    pub excluded: Option<&'a TargetName>,
    /// Hash of the host's name, by which hosts break ties differently.
    pub host: u64,
    /// Model that must serve the item.
    pub model: &'a ModelName,
    /// Current time.
    pub now: Millis,
    /// Service whose targets may run the item.
    pub service: &'a ServiceName,
    /// Versions of the model that may serve the item.
    pub versions: &'a RangeInclusive<u64>,
    /// What is left of the item.
    pub work: Work,
}

/// The work that is left of an item, as far as it is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Number of items of this host that wait for the same targets and go before this one.
    pub ahead: usize,
    /// Expected number of events.
    pub events: f64,
    /// Whether the item may wait for a target that is full, if it would end sooner there.
    pub patient: bool,
    /// Number of tokens that the target has to read first: the prompt, and the output so far.
    pub tokens: f64,
    /// Mean number of events of an item.
    pub usual_events: f64,
}

/// The target that was chosen for an item.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Name of the target.
    pub target: TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Start of the target.
    pub born: u64,
    /// Version that the target should have loaded by now; `None` if its entry or a response
    /// has confirmed the version.
    pub expected: Option<u64>,
    /// Time that the rest of the item is expected to take there, in milliseconds.
    pub run_ms: f64,
    /// Expected interval between its events.
    pub speed: SpeedEstimate,
    /// Whether the item is expected to end sooner if it waits for a target that is full now.
    pub defer: bool,
}

/// The newest report of another host.
#[derive(Clone, Debug)]
struct KnownReport {
    number: u64,
    at: Millis,
    /// Targets of the report, at which the sender's runs are counted.
    targets: Vec<TargetName>,
}

/// The target that was chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The target.
    pub target: &'a Target,
    /// Why the request leaves the host's data centre, if it does, and the time that it saves by that in
    /// milliseconds.
    pub departure: Option<(Departure, f64)>,
}

/// Why a request leaves the host's data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Departure {
    /// The targets there are busy, or much slower.
    Busy,
    /// No target there may be chosen.
    NoTarget,
    /// The targets there are paused, cold or leave.
    Unfit,
}

impl Departure {
    /// Returns the label value in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::NoTarget => "no target",
            Self::Unfit => "unfit",
        }
    }
}

/// How well a target of a service fits a request now. A lower value of the first fields is better.
#[derive(Clone, Copy, Debug)]
struct RequestCandidate<'a> {
    target: &'a Target,
    /// Whether the target is paused, is cold while a warm one has a free slot, or leaves.
    order: (bool, bool, bool),
    /// Expected time until the response, with the trip, in milliseconds.
    time_ms: f64,
}

impl<'a> RequestCandidate<'a> {
    /// Returns the choice of this target in another data centre.
    fn leave(self, reason: Departure, saved_ms: f64) -> Choice<'a> {
        Choice {
            target: self.target,
            departure: Some((reason, saved_ms)),
        }
    }
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

    /// Returns whether a reward call may run at the target, apart from a limit that it has named.
    fn fits_call(&self, now: Millis) -> bool {
        self.paused_until <= now && self.total_running(now) < self.call_slots()
    }

    /// Returns the number of slots that reward calls may use.
    fn call_slots(&self) -> u32 {
        (self.entry.slots / 2).max(1)
    }

    /// Returns the state of the permits for requests to the target, if they need any.
    fn limiting(&self, now: Millis) -> Option<&Limited> {
        self.cold.permits(now).or(self.limited.as_ref())
    }

    /// Returns the target's weight for a host, by which the host breaks ties between targets.
    fn tie_weight(&self, host: u64) -> u64 {
        rendezvous_weight(host, stable_hash(self.entry.name.as_str().as_bytes()))
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

    /// Returns its latency, given as `net` of the round trip, faded by the time since its last response
    /// towards the time of a request at an idle target under the reported load.
    fn faded_latency(&self, net: f64, idle_ms: Option<f64>, now: Millis) -> f64 {
        let idle_ms = idle_ms.unwrap_or(INITIAL_LATENCY_MS);
        let load = f64::from(self.total_running(now)) / f64::from(self.slots());
        let expected = idle_ms * (1.0 + load);
        let age = self
            .answered_at
            .map(|at| Millis(now.0.saturating_sub(at.0)));
        let Some(age) = age.filter(|age| *age < LATENCY_RETRY_AGE) else {
            return expected * RETRY_FACTOR;
        };
        let faded = Millis(age.0.saturating_sub(MAX_LATENCY_AGE.0));
        let weight = 0.5_f64.powf(faded.seconds() / LATENCY_HALF_LIFE.seconds());
        expected + (net - expected) * weight
    }

    /// Returns whether a request from another data centre that could stay there may use a slot, as far as
    /// this host knows.
    fn has_spare_slot(&self, now: Millis) -> bool {
        let fill = f64::from(self.total_running(now)) + 1.0;
        fill <= (f64::from(self.entry.slots) * SPARE_FILL).max(1.0)
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

    /// Chooses the target for a request as [`Self::choose_for`] does, if it is of the service's mean size.
    pub fn choose(
        &self,
        service: &ServiceName,
        dc: &Dc,
        tried: &[TargetName],
        now: Millis,
    ) -> Option<&Target> {
        let cargo = self.trips.mean_cargo(service);
        let choice = self.choose_for(service, dc, tried, &cargo, now);
        choice.map(|choice| choice.target)
    }

    /// Chooses the target for a request of a host in `dc`: the one with the lowest expected time, given its
    /// smoothed latency, its load and the trip. The request leaves the data centre if no target there is
    /// as fit, or if it belongs to the share of the load that [`Self::update_spill`] lets leave.
    /// Targets that leave come behind those that don't, and only for a short time; paused targets come
    /// last. Cold targets are chosen only if no warm one has a free slot. Targets in `tried` are left out,
    /// and so are those whose limit leaves no room; a target that has a limit or is cold needs a permit
    /// before the request is sent. None is chosen by stale entries or operators' records.
    pub fn choose_for(
        &self,
        service: &ServiceName,
        dc: &Dc,
        tried: &[TargetName],
        cargo: &Cargo,
        now: Millis,
    ) -> Option<Choice<'_>> {
        if self.basis() == Basis::Stale {
            return None;
        }
        let candidates = self.candidates(service, dc, tried, cargo, now);
        let (here, there): (Vec<RequestCandidate<'_>>, Vec<RequestCandidate<'_>>) = candidates
            .into_iter()
            .partition(|candidate| candidate.target.entry.dc == *dc);
        let Some(home) = self.best(&here) else {
            let away = self.best_spare(&there, now)?;
            return Some(away.leave(Departure::NoTarget, 0.0));
        };
        let fitter = there.iter().filter(|away| away.order < home.order);
        let fitter: Vec<RequestCandidate<'_>> = fitter.copied().collect();
        if let Some(away) = self.best_spare(&fitter, now) {
            return Some(away.leave(Departure::Unfit, 0.0));
        }
        let offer = offer_here(&here, &home, now);
        let offers = self.offers(&there, &home, now);
        let away: Vec<Offer> = offers.iter().map(|(offer, _)| offer.clone()).collect();
        let draw = self.trips.draw(self.started, now);
        let decided = self.trips.spill.decide(service, &offer, &away, draw);
        let Some((chosen, saved_ms)) = decided else {
            return Some(Choice {
                target: home.target,
                departure: None,
            });
        };
        let away = offers.iter().find(|(offer, _)| offer.dc == chosen.dc);
        away.map(|(_, away)| away.leave(Departure::Busy, saved_ms))
    }

    /// Updates the shares of a service's load that leave the data centre of this host, by what the data
    /// centres offer now. Returns the shares that have changed. To be called before a target is chosen.
    pub fn update_spill(
        &mut self,
        service: &ServiceName,
        dc: &Dc,
        now: Millis,
    ) -> Vec<ShareChange> {
        if !self.trips.spill.is_due(service, now) || self.basis() == Basis::Stale {
            return Vec::new();
        }
        let cargo = self.trips.mean_cargo(service);
        let candidates = self.candidates(service, dc, &[], &cargo, now);
        let (here, there): (Vec<RequestCandidate<'_>>, Vec<RequestCandidate<'_>>) = candidates
            .into_iter()
            .partition(|candidate| candidate.target.entry.dc == *dc);
        let Some(home) = self.best(&here) else {
            return Vec::new();
        };
        let offer = offer_here(&here, &home, now);
        let offers = self.offers(&there, &home, now).into_iter();
        let offers: Vec<Offer> = offers.map(|(offer, _)| offer).collect();
        self.trips.spill.update(service, &offer, &offers, now)
    }

    /// Returns the targets that a request may be sent to, with the time that it takes there.
    fn candidates(
        &self,
        service: &ServiceName,
        dc: &Dc,
        tried: &[TargetName],
        cargo: &Cargo,
        now: Millis,
    ) -> Vec<RequestCandidate<'_>> {
        let registered = self.registered(service);
        let round_trip = |target: &Target| self.trips.round_trip_ms(dc, &target.entry.dc);
        // A latency includes the round trip, which is counted with the trip.
        let net = |target: &Target| (target.latency_ms - round_trip(target)).max(0.0);
        let idle_ms = self.trips.idle_ms(service);
        let (leaving, staying): (Vec<&Target>, Vec<&Target>) = registered
            .into_iter()
            .partition(|target| self.is_leaving(target));
        let last_resorts = leaving.into_iter().filter(|target| {
            let entry = &target.entry;
            self.leaving.is_last_resort(&entry.name, entry.born, now)
        });
        let candidates = staying
            .into_iter()
            .chain(last_resorts)
            .filter(|target| !tried.contains(&target.entry.name))
            .filter(|target| {
                let limited = target.limiting(now);
                limited.is_none_or(|limited| limited.is_open(now))
            });
        let candidates: Vec<&Target> = candidates.collect();
        let is_spare = |target: &&Target| {
            !target.cold.is_cold(now)
                && !self.is_leaving(target)
                && target.paused_until <= now
                && target.has_free_slot(now)
        };
        let warm_first = candidates.iter().any(is_spare);
        let assess = |target: &Target| {
            let slots = f64::from(target.slots());
            let work = target.faded_latency(net(target), idle_ms, now);
            let load = f64::from(target.running) / slots;
            let pause = target.paused_until.0.saturating_sub(now.0) as f64;
            let order = (
                target.paused_until > now,
                warm_first && target.cold.is_cold(now),
                self.is_leaving(target),
            );
            let trip = self.trips.cost_ms(dc, &target.entry.dc, cargo);
            (order, work * (1.0 + load) + pause + trip)
        };
        let assessed = candidates.into_iter().map(|target| {
            let (order, time_ms) = assess(target);
            RequestCandidate {
                target,
                order,
                time_ms,
            }
        });
        assessed.collect()
    }

    /// Returns the fittest and fastest candidate. Equal ones are ordered by a hash of host and target, so
    /// that hosts which see the same choose different ones.
    fn best<'a>(&self, candidates: &[RequestCandidate<'a>]) -> Option<RequestCandidate<'a>> {
        let best = candidates.iter().min_by(|a, b| {
            let weight =
                |candidate: &RequestCandidate<'_>| self.trips.weight(&candidate.target.entry.name);
            let ranks = a.order.cmp(&b.order);
            let times = a.time_ms.total_cmp(&b.time_ms);
            ranks.then(times).then_with(|| weight(a).cmp(&weight(b)))
        });
        best.copied()
    }

    /// Returns the best candidate of those with a slot to spare, or else of all.
    fn best_spare<'a>(
        &self,
        candidates: &[RequestCandidate<'a>],
        now: Millis,
    ) -> Option<RequestCandidate<'a>> {
        let spare = candidates
            .iter()
            .filter(|candidate| candidate.target.has_spare_slot(now));
        let spare: Vec<RequestCandidate<'a>> = spare.copied().collect();
        self.best(&spare).or_else(|| self.best(candidates))
    }

    /// Returns what each other data centre offers a request that could stay, the fastest one first, with
    /// its best target. Only targets that are as fit as the best one here count.
    fn offers<'a>(
        &self,
        there: &[RequestCandidate<'a>],
        home: &RequestCandidate<'_>,
        now: Millis,
    ) -> Vec<(Offer, RequestCandidate<'a>)> {
        let mut by_dc: HashMap<&Dc, Vec<RequestCandidate<'a>>> = HashMap::new();
        for candidate in there {
            if candidate.order <= home.order {
                let dc = &candidate.target.entry.dc;
                by_dc.entry(dc).or_default().push(*candidate);
            }
        }
        let offers = by_dc.into_iter().filter_map(|(dc, candidates)| {
            let best = self.best(&candidates)?;
            let offer = Offer {
                dc: dc.clone(),
                free: candidates
                    .iter()
                    .any(|candidate| candidate.target.has_spare_slot(now)),
                time_ms: best.time_ms,
            };
            Some((offer, best))
        });
        let mut offers: Vec<(Offer, RequestCandidate<'a>)> = offers.collect();
        offers.sort_by(|(a, _), (b, _)| {
            a.time_ms
                .total_cmp(&b.time_ms)
                .then_with(|| a.dc.cmp(&b.dc))
        });
        offers
    }

    /// Returns whether a service has targets other than this one that are neither paused nor have failed
    /// last.
    pub fn has_sound_besides(&self, service: &ServiceName, name: &TargetName, now: Millis) -> bool {
        let usable = self.usable(service).into_iter();
        let mut others = usable.filter(|target| target.entry.name != *name);
        others.any(|target| target.failures == 0 && target.paused_until <= now)
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

    /// Chooses the target for an item of a batch: it must have one of the versions and a free slot,
    /// and must not be paused. The one at which the item is expected to end first is chosen, by the
    /// events that are left, the target's speed, the tokens to be read, and the trip. Among those about as
    /// good, targets of the own model come first, then those of the host's data centre while they are less
    /// than half full, then the least loaded one. None is chosen by stale entries.
    ///
    /// Load pattern: a step submits some sixty items at the same time. Items for which there is no
    /// free slot wait at this host, where their order can still change, instead of in a target's
    /// queue. Targets differ in speed by nature, and a step is complete when the longest items are.
    /// Such an item waits for a fast target that will be free soon ([`Placement::defer`]) and leaves
    /// the slow one to a short item. Hundreds of hosts choose at the same time by reports that are up to
    /// 500 ms late, so targets that are about as good are tried in an order that differs between hosts.
    pub fn place(&self, request: &PlaceRequest<'_>) -> Option<Placement> {
        if self.basis() == Basis::Stale {
            return None;
        }
        let (now, work) = (request.now, &request.work);
        let usable = self.usable(request.service);
        let speeds = usable.iter().map(|target| &target.speed);
        let slope = load_slope(speeds.clone());
        let median = median_pace(speeds.filter_map(TargetSpeed::own_ms).collect());
        let median = median.unwrap_or(UNKNOWN_INTERVAL_MS);
        let mut free = Vec::new();
        let mut full = Vec::new();
        // Items of a model have about the same size, so only the link tells data centres apart.
        let cargo = Cargo::default();
        for target in usable {
            if Some(&target.entry.name) == request.excluded || target.paused_until > now {
                continue;
            }
            let Some((version, expected)) = target.version(request.model, now) else {
                continue;
            };
            if !request.versions.contains(&version) {
                continue;
            }
            let running = target.total_running(now);
            let is_full = running >= target.entry.slots;
            if !is_full && !target.has_permit(now) {
                continue;
            }
            let speed = target.speed.estimate(median, slope, running + 1, now);
            let distance = self.trips.cost_ms(request.dc, &target.entry.dc, &cargo);
            let run_ms = speed.run_ms(work.events) + work.tokens / TOKENS_PER_MS + distance;
            let own = request.assigned.get(&target.entry.name) == Some(request.model);
            let candidate = Candidate {
                target,
                expected: expected.then_some(version),
                running,
                speed,
                run_ms,
                cost: if own { run_ms } else { run_ms * FOREIGN_FACTOR },
                own,
            };
            if is_full {
                full.push(candidate);
            } else {
                free.push(candidate);
            }
        }
        let costs = free.iter().map(|candidate| candidate.cost);
        let least = costs.min_by(f64::total_cmp)?;
        free.retain(|candidate| candidate.cost <= least * EQUAL_FACTOR);
        let own = free.iter().any(|candidate| candidate.own);
        free.retain(|candidate| candidate.own == own);
        let weight = |candidate: &Candidate<'_>| Reverse(candidate.target.tie_weight(request.host));
        let count = sample_size(free.iter().map(|candidate| candidate.target), now);
        if count < free.len() {
            free.sort_by_key(weight);
            free.truncate(count);
        }
        let best = free.into_iter().min_by_key(|candidate| {
            let entry = &candidate.target.entry;
            let slots = entry.slots.max(1);
            let (is_busy, load) = (
                candidate.running * 2 >= slots,
                candidate.running * 100 / slots,
            );
            (is_busy, entry.dc != *request.dc, load, weight(candidate))
        })?;
        let entry = &best.target.entry;
        Some(Placement {
            target: entry.name.clone(),
            address: entry.address,
            born: entry.born,
            expected: best.expected,
            run_ms: best.run_ms,
            speed: best.speed,
            defer: work.patient && ends_sooner(&full, work, best.run_ms),
        })
    }

    /// Chooses the target for a reward call as [`Self::place_call_for`] does, if no other call waits.
    pub fn place_call(&self, service: &ServiceName, dc: &Dc, now: Millis) -> Option<&Target> {
        let cargo = self.trips.mean_cargo(service);
        let choice = self.place_call_for(service, dc, || 0, &cargo, now);
        choice.map(|choice| choice.target)
    }

    /// Chooses the target for a reward call of a host in `dc` at which `waiting` other calls wait, which is
    /// only asked for if no target there can be used: the least loaded one there that isn't paused and has less than half of its slots in use. A call leaves
    /// the data centre if no target there can be used, or if it saves more than a margin against waiting
    /// for one. None is chosen by stale entries.
    ///
    /// Load pattern: the outputs of a step become complete at the same time, and interactive callers
    /// use the same targets. The half that stays free serves them without a queue.
    pub fn place_call_for(
        &self,
        service: &ServiceName,
        dc: &Dc,
        waiting: impl FnOnce() -> usize,
        cargo: &Cargo,
        now: Millis,
    ) -> Option<Choice<'_>> {
        if self.basis() == Basis::Stale {
            return None;
        }
        let candidates = self.candidates(service, dc, &[], cargo, now).into_iter();
        let (here, there): (Vec<RequestCandidate<'_>>, Vec<RequestCandidate<'_>>) = candidates
            .filter(|candidate| {
                candidate.target.paused_until <= now && !self.is_leaving(candidate.target)
            })
            .partition(|candidate| candidate.target.entry.dc == *dc);
        let is_free = |target: &Target| target.fits_call(now) && target.has_permit(now);
        let nearest = here
            .iter()
            .filter(|candidate| is_free(candidate.target))
            .min_by_key(|candidate| {
                let target = candidate.target;
                let weight = self.trips.weight(&target.entry.name);
                (target.total_running(now), weight)
            });
        if let Some(nearest) = nearest {
            return Some(Choice {
                target: nearest.target,
                departure: None,
            });
        }
        let free = there.into_iter();
        let free: Vec<RequestCandidate<'_>> =
            free.filter(|candidate| is_free(candidate.target)).collect();
        let away = self.best(&free)?;
        let Some(home) = self.best(&here) else {
            return Some(away.leave(Departure::NoTarget, 0.0));
        };
        // A place becomes free at the latest when the calls that run have ended.
        let places: u32 = here.iter().map(|here| here.target.call_slots()).sum();
        let rounds = (waiting() as f64 + 1.0) / f64::from(places.max(1));
        let saved_ms = home.time_ms * (1.0 + rounds) - away.time_ms;
        (saved_ms > MARGIN_MS).then(|| away.leave(Departure::Busy, saved_ms))
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

/// A target that may run an item, in [`Fleet::place`].
struct Candidate<'a> {
    target: &'a Target,
    /// The version that it should have loaded by now.
    expected: Option<u64>,
    /// Number of requests that run at it.
    running: u32,
    speed: SpeedEstimate,
    /// Time that the rest of the item takes there.
    run_ms: f64,
    /// The same, weighted by what it costs others.
    cost: f64,
    /// Whether it is assigned to the item's model.
    own: bool,
}

/// Returns whether an item that waits for a slot of a faster target that is full now is expected to end
/// sooner than in `run_ms` from now.
fn ends_sooner(full: &[Candidate<'_>], work: &Work, run_ms: f64) -> bool {
    let faster = full
        .iter()
        .filter(|candidate| candidate.own && candidate.run_ms * MIN_DEFER_GAIN < run_ms);
    let (mut slots_per_ms, mut sum_ms, mut count) = (0.0, 0.0, 0.0);
    for candidate in faster {
        let usual_ms = candidate.speed.own_ms * work.usual_events.max(1.0);
        slots_per_ms += f64::from(candidate.running) / usual_ms.max(1.0);
        sum_ms += candidate.run_ms;
        count += 1.0;
    }
    if count == 0.0 {
        return false;
    }
    let wait_ms = (work.ahead as f64 + 1.0) * COMPETITION / slots_per_ms;
    (wait_ms + sum_ms / count) * MIN_DEFER_GAIN < run_ms
}

/// Returns among how many of equally good targets the least loaded one is chosen.
///
/// Load pattern: hundreds of hosts know each other's choices only by late reports. If each of them
/// chose the least loaded of all targets, they would all choose the same few.
fn sample_size<'a>(targets: impl Iterator<Item = &'a Target> + Clone, now: Millis) -> usize {
    let senders = targets.clone().flat_map(|target| {
        let reports = target.remote_running.iter();
        let current = reports.filter(|(_, (_, at))| now - *at < MAX_REPORT_AGE);
        current.map(|(sender, _)| *sender)
    });
    let others = senders.collect::<HashSet<u32>>().len();
    let count = targets.count();
    if others <= FEW_HOSTS {
        return count;
    }
    (count * MIN_SAMPLE / others).clamp(MIN_SAMPLE, count.max(MIN_SAMPLE))
}

/// Returns what the own data centre offers a request, whose best target is `home`. Other hosts' requests
/// don't count: their reports may be 2 s late, by which a surplus turned to and fro in replays, and a queue
/// shows in this host's own responses.
fn offer_here(here: &[RequestCandidate<'_>], home: &RequestCandidate<'_>, now: Millis) -> Offer {
    let as_fit = here
        .iter()
        .filter(|candidate| candidate.order == home.order);
    Offer {
        dc: home.target.entry.dc.clone(),
        free: as_fit
            .map(|candidate| candidate.target)
            .any(|target| target.paused_until <= now && target.running < target.slots()),
        time_ms: home.time_ms,
    }
}
