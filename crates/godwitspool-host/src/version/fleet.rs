use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    ops::RangeInclusive,
};

use godwitspool_request::{rendezvous_weight, stable_hash};
use godwitspool_types::{Dc, Millis, ModelName, ServiceName, TargetName};
use rapidhash::v3::rapidhash_v3;

use super::{Basis, Freshness, Leaving, Limited, SpeedEstimate, TargetSpeed, load_slope};
use crate::{batch::median_pace, process::RunReport};

/// Expected time from an order until a target has loaded the version: 0.9 s for the load itself as
/// the operators state it, and some time for the order and its notice. Loads take longer if more of
/// them overlap than planned.
pub const LOAD_TIME: Millis = Millis(1_000);
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
/// Assumed latency of a target that has not responded yet.
const INITIAL_LATENCY_MS: f64 = 20.0;
/// How long the number of a host's newest report is kept to detect older ones.
const REPORT_RETENTION: Millis = Millis(60_000);
/// Age after which another host's report of its running requests is ignored.
const MAX_REPORT_AGE: Millis = Millis(500);
/// Interval between events of targets of which nothing is known. All of them count as equal, so it only
/// weighs the time for events against that for reading.
const UNKNOWN_INTERVAL_MS: f64 = 40.0;
/// Speed at which targets read prompts, in tokens per millisecond: some hundred, by the targets' makers.
const TOKENS_PER_MS: f64 = 300.0;
/// Cost of a target in another data centre in milliseconds: a round trip on the users' links.
const REMOTE_MS: f64 = 3.0;
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
    /// Observed speed of this start of the target.
    pub speed: TargetSpeed,
    /// Last load that the target has begun: model, version and time.
    pub loading: Option<(ModelName, u64, Millis)>,
    /// The limit that it has named to this host, if its newest response named one.
    pub limited: Option<Limited>,
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
    /// Whether the target is assigned to the item's model.
    pub own: bool,
    /// Time that the rest of the item is expected to take there, in milliseconds.
    pub run_ms: f64,
    /// Expected interval between its events.
    pub speed: SpeedEstimate,
    /// Whether the item is expected to end sooner if it waits for a target that is full now.
    pub defer: bool,
}

impl Placement {
    /// Returns the label value in metrics.
    pub fn kind(&self) -> &'static str {
        if self.own {
            "own target"
        } else {
            "target of another model"
        }
    }
}

/// All known targets, from which the target of each request is chosen. Callers provide the time and
/// the locking.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: HashMap<TargetName, Target>,
    /// Number and time of each other host's newest report.
    reports: HashMap<u32, (u64, Millis)>,
    /// How current the entries are.
    pub freshness: Freshness,
    /// Targets that have said in a response that they leave.
    pub leaving: Leaving,
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
        let slots = (self.entry.slots / 2).max(1);
        self.paused_until <= now && self.total_running(now) < slots
    }

    /// Returns the target's weight for a host, by which the host breaks ties between targets.
    fn tie_weight(&self, host: u64) -> u64 {
        rendezvous_weight(host, stable_hash(self.entry.name.as_str().as_bytes()))
    }

    /// Returns whether only a permit is missing, which may be asked for now.
    fn lacks_permit(&self, now: Millis) -> bool {
        self.limited
            .is_some_and(|limited| !limited.has_permit(now) && limited.is_open(now))
    }

    /// Returns whether a request may be sent to the target as far as its limit is concerned.
    fn has_permit(&self, now: Millis) -> bool {
        self.limited.is_none_or(|limited| limited.has_permit(now))
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
                target.entry = entry;
                target.kept_until = None;
                true
            }
            _ => {
                let target = Target {
                    running: self.targets.get(&entry.name).map_or(0, |old| old.running),
                    remote_running: HashMap::new(),
                    failures: 0,
                    paused_until: Millis::default(),
                    latency_ms: INITIAL_LATENCY_MS,
                    speed: TargetSpeed::default(),
                    loading: None,
                    limited: None,
                    kept_until: None,
                    entry,
                };
                self.targets.insert(target.entry.name.clone(), target);
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
        }
        gone
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

    /// Returns the targets of a service that their entries don't say to drain, ordered by name.
    fn registered(&self, service: &ServiceName) -> Vec<&Target> {
        let targets = self.targets.values();
        let mut registered: Vec<&Target> = targets
            .filter(|target| target.entry.service == *service && !target.entry.draining)
            .collect();
        registered.sort_by(|a, b| a.entry.name.cmp(&b.entry.name));
        registered
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
            let targets = &self.targets;
            self.leaving.prune(|name| targets.contains_key(name), now);
        }
        news
    }

    /// Counts a request that was sent to a target.
    pub fn start(&mut self, name: &TargetName) {
        if let Some(target) = self.targets.get_mut(name) {
            target.running += 1;
        }
    }

    /// Takes a permit for a request from the stock if the target has named a limit. Returns false if
    /// there is none: the request must not be sent.
    #[must_use]
    pub fn take_permit(&mut self, name: &TargetName, now: Millis) -> bool {
        self.limited(name)
            .is_none_or(|limited| limited.take_permit(now))
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
                target.latency_ms += LATENCY_SMOOTHING * (ms - target.latency_ms);
            }
            Outcome::Dropped => {}
            Outcome::Stalled => target.paused_until = now + STALLED_BACKOFF,
            Outcome::Failed => {
                let pause = MIN_FAILURE_BACKOFF.0 << target.failures.min(3);
                target.failures += 1;
                target.paused_until = now + Millis(pause).min(MAX_FAILURE_BACKOFF);
            }
            Outcome::Refused => target.paused_until = now + REFUSED_BACKOFF,
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

    /// Returns the state of a target that has named a limit.
    pub fn limited(&mut self, name: &TargetName) -> Option<&mut Limited> {
        self.targets.get_mut(name)?.limited.as_mut()
    }

    /// Ends the limit of a target that has ended it in a response to another host.
    pub fn end_limit(&mut self, name: &TargetName) {
        if let Some(target) = self.targets.get_mut(name) {
            target.limited = None;
        }
    }

    /// Chooses the target for a request: the one with the lowest expected latency, given its
    /// smoothed latency and its load. Targets in other data centres count as 1.5 times slower.
    /// Targets that leave come behind those that don't, and only for a short time; paused targets come
    /// last. Targets in `tried` are left out, and so are those whose limit leaves
    /// no room; a target with a limit needs a permit before the request is sent. None is chosen by stale entries.
    pub fn choose(
        &self,
        service: &ServiceName,
        dc: &Dc,
        tried: &[TargetName],
        now: Millis,
    ) -> Option<&Target> {
        if self.freshness.basis() == Basis::Stale {
            return None;
        }
        let (leaving, staying): (Vec<&Target>, Vec<&Target>) = self
            .registered(service)
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
            .filter(|target| target.limited.is_none_or(|limited| limited.is_open(now)));
        candidates.min_by(|a, b| {
            let rank = |target: &Target| {
                let paused = target.paused_until > now;
                let load = f64::from(target.running) / f64::from(target.entry.slots.max(1));
                let distance = if target.entry.dc == *dc { 1.0 } else { 1.5 };
                let order = (paused, self.is_leaving(target));
                (order, target.latency_ms * (1.0 + load) * distance)
            };
            let (a, b) = (rank(a), rank(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
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

    /// Applies another host's report of its running requests, unless a newer one has already
    /// arrived.
    pub fn apply_report(&mut self, report: &RunReport, now: Millis) {
        let newest = self.reports.get(&report.sender).map(|(number, _)| *number);
        if newest.is_some_and(|newest| newest > report.number) {
            return;
        }
        self.reports
            .retain(|_, (_, at)| now - *at < REPORT_RETENTION);
        self.reports.insert(report.sender, (report.number, now));
        // A datagram with the number of the newest report continues it.
        if newest != Some(report.number) {
            for target in self.targets.values_mut() {
                target.remote_running.remove(&report.sender);
            }
        }
        for (name, count) in &report.running {
            if let Some(target) = self.targets.get_mut(name) {
                target.remote_running.insert(report.sender, (*count, now));
            }
        }
    }

    /// Records the interval between two events of a stream.
    pub fn record_pace(&mut self, name: &TargetName, interval_ms: f64, now: Millis) {
        if let Some(target) = self.targets.get_mut(name) {
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

    /// Returns whether a usable target serves this version of a model now, busy or not.
    pub fn has_version(
        &self,
        service: &ServiceName,
        model: &ModelName,
        version: u64,
        now: Millis,
    ) -> bool {
        let mut usable = self.usable(service).into_iter();
        usable.any(|target| {
            target.failures < UNRELIABLE_FAILURES
                && target
                    .version(model, now)
                    .is_some_and(|(served, _)| served == version)
        })
    }

    /// Chooses the target for an item of a batch: it must have one of the versions and a free slot,
    /// and must not be paused. The one at which the item is expected to end first is chosen, by the
    /// events that are left, the target's speed, the tokens to be read, and the distance. Among those
    /// about as good, targets of the own model come first, then the least loaded one. None is chosen by
    /// stale entries.
    ///
    /// Load pattern: a step submits some sixty items at the same time. Items for which there is no
    /// free slot wait at this host, where their order can still change, instead of in a target's
    /// queue. Targets differ in speed by nature, and a step is complete when the longest items are.
    /// Such an item waits for a fast target that will be free soon ([`Placement::defer`]) and leaves
    /// the slow one to a short item. Hundreds of hosts choose at the same time by reports that are up to
    /// 500 ms late, so targets that are about as good are tried in an order that differs between hosts.
    pub fn place(&self, request: &PlaceRequest<'_>) -> Option<Placement> {
        if self.freshness.basis() == Basis::Stale {
            return None;
        }
        let (now, work) = (request.now, &request.work);
        let usable = self.usable(request.service);
        let (median, slope) = usual_speed(&usable);
        let mut free = Vec::new();
        let mut full = Vec::new();
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
            let distance = if target.entry.dc == *request.dc {
                0.0
            } else {
                REMOTE_MS
            };
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
            let load = candidate.running * 100 / entry.slots.max(1);
            (load, entry.dc != *request.dc, weight(candidate))
        })?;
        let entry = &best.target.entry;
        Some(Placement {
            target: entry.name.clone(),
            address: entry.address,
            born: entry.born,
            expected: best.expected,
            own: best.own,
            run_ms: best.run_ms,
            speed: best.speed,
            defer: work.patient && ends_sooner(&full, work, best.run_ms),
        })
    }

    /// Returns the interval to expect between the events of a target that runs what it runs now, and the
    /// median of the service's targets in milliseconds.
    pub fn speed(&self, name: &TargetName, now: Millis) -> Option<(SpeedEstimate, f64)> {
        let target = self.targets.get(name)?;
        let (median, slope) = usual_speed(&self.usable(&target.entry.service));
        let running = target.total_running(now);
        Some((target.speed.estimate(median, slope, running, now), median))
    }

    /// Returns how many events per millisecond the targets with one of these versions of a model generate
    /// if all of their slots are in use.
    pub fn event_rate(
        &self,
        service: &ServiceName,
        model: &ModelName,
        versions: &RangeInclusive<u64>,
        now: Millis,
    ) -> f64 {
        let usable = self.usable(service);
        let (median, slope) = usual_speed(&usable);
        let able = usable.iter().filter(|target| {
            let version = target.version(model, now);
            version.is_some_and(|(version, _)| versions.contains(&version))
        });
        let rates = able.map(|target| {
            let slots = target.entry.slots;
            let speed = target.speed.estimate(median, slope, slots, now);
            f64::from(slots) / speed.own_ms.max(1.0)
        });
        rates.sum()
    }

    /// Chooses the target for a reward call: the least loaded one that isn't paused and has less than
    /// half of its slots in use, targets of the own data centre first. None is chosen by stale entries.
    ///
    /// Load pattern: the outputs of a step become complete at the same time, and interactive callers
    /// use the same targets. The half that stays free serves them without a queue.
    pub fn place_call(&self, service: &ServiceName, dc: &Dc, now: Millis) -> Option<&Target> {
        if self.freshness.basis() == Basis::Stale {
            return None;
        }
        let usable = self.usable(service).into_iter();
        let free = usable.filter(|target| target.fits_call(now) && target.has_permit(now));
        free.min_by_key(|target| (target.total_running(now), target.entry.dc != *dc))
    }

    /// Returns the time until the first limit of a service's targets leaves room again; `None` if no
    /// target has named a limit.
    pub fn opens_in(&self, service: &ServiceName, now: Millis) -> Option<Millis> {
        let usable = self.usable(service).into_iter();
        usable
            .filter_map(|target| target.limited.map(|limited| limited.opens_in(now)))
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

/// Returns the median of the targets' own intervals between events in milliseconds, and the influence of
/// one more running request.
fn usual_speed(targets: &[&Target]) -> (f64, f64) {
    let speeds = targets.iter().map(|target| &target.speed);
    let median = median_pace(speeds.clone().filter_map(TargetSpeed::own_ms).collect());
    (median.unwrap_or(UNKNOWN_INTERVAL_MS), load_slope(speeds))
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
