use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use godwitspool_types::{Dc, Millis, ModelName, ServiceName, TargetName};
use rapidhash::v3::rapidhash_v3;

use crate::{batch::median_pace, process::RunReport};

/// Time that a target needs to load a version, as a rule: the operators' sheets say 0.9 s, and the
/// order and its notice take some of the rest. Loads that overlap more than planned take longer.
pub const LOAD_TIME: Millis = Millis(1_000);
/// A load whose effect no entry or answer has shown after so long is taken as not carried out.
const LOAD_TIMEOUT: Millis = Millis(4_000);
/// First pause of a target that failed; doubles with each further failure.
const MIN_FAILURE_BACKOFF: Millis = Millis(250);
/// Longest pause of a target that failed: about the time in which a crashed one is back.
const MAX_FAILURE_BACKOFF: Millis = Millis(2_000);
/// Pause of a target that said that it has no room or is loading weights. Loads take about a second.
const REFUSED_BACKOFF: Millis = Millis(150);
/// Pause of a target that fell silent, at least the rest of a load of weights.
const STALLED_BACKOFF: Millis = Millis(400);
/// Weight of the newest answer in a target's smoothed time, as in TCP's round-trip estimate.
const LATENCY_SMOOTHING: f64 = 0.125;
/// Assumed time of a target that has answered nothing yet, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 20.0;
/// How long the number of a host's newest report is kept.
const REPORT_RETENTION: Millis = Millis(60_000);
/// What another host told of its runs is forgotten after this time without news.
const MAX_REPORT_AGE: Millis = Millis(500);
/// A target's pace is forgotten after this time without news, so that one that was slow is tried
/// again.
const MAX_PACE_AGE: Millis = Millis(3_000);
/// A target this much slower than usual gets no items while others can take them.
const SLOW_FACTOR: f64 = 1.6;
/// Weight of the newest time between events in a target's pace.
const PACE_SMOOTHING: f64 = 0.2;
/// A removed target is kept for this long if the store was away just before: entries that lapsed
/// meanwhile are back within two seconds.
const LAPSE_GRACE: Millis = Millis(2_000);

/// What a target says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEntry {
    /// Name; a restarted target may keep it.
    pub name: TargetName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub dc: Dc,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Versions of its models.
    pub models: HashMap<ModelName, u64>,
    /// When it started, in milliseconds from 1970.
    pub born: u64,
}

/// How an exchange with a target ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered after so many milliseconds.
    Answered(f64),
    /// The exchange was given up for reasons of the caller's.
    Dropped,
    /// The connection failed, broke or brought bytes that are no answer.
    Failed,
    /// It refused: no room, or loading.
    Refused,
    /// It fell silent and the request went on elsewhere.
    Stalled,
}

/// A target, with what this host has seen of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// What it says of itself.
    pub entry: TargetEntry,
    /// Requests of this host that run there.
    pub running: u32,
    /// Requests of other hosts that run there, by host, and when each told.
    pub remote_running: HashMap<u32, (u32, Millis)>,
    /// Failures in a row.
    pub failures: u32,
    /// Not chosen before this time unless nothing else is left.
    pub paused_until: Millis,
    /// Smoothed time of its answers in milliseconds.
    pub latency_ms: f64,
    /// Smoothed time between a stream's events in milliseconds, and when it was learnt.
    pub pace: Option<(f64, Millis)>,
    /// A load that it began: model, version, and when.
    pub loading: Option<(ModelName, u64, Millis)>,
    /// Removed at this time, while its entry may still come back.
    pub lapsed: Option<Millis>,
}

/// Where an item goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The target.
    pub target: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// The version that it should have by now, if neither its entry nor an answer has told yet.
    pub expected: Option<u64>,
    /// Its time between events in milliseconds, if known.
    pub pace: Option<f64>,
}

/// All targets. Decides where requests go; holds no clock or lock.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: HashMap<TargetName, Target>,
    /// Number and time of each other host's newest report.
    reports: HashMap<u32, (u64, Millis)>,
}

impl Target {
    /// Returns the version of a model with which it serves now; `None` while it loads one.
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

    /// Returns the requests that run there, those of other hosts included.
    pub fn total_running(&self, now: Millis) -> u32 {
        let others = self
            .remote_running
            .values()
            .filter(|(_, at)| now - *at < MAX_REPORT_AGE);
        self.running + others.map(|(count, _)| count).sum::<u32>()
    }
}

impl Fleet {
    /// Takes over a target's entry. Entries of an earlier start of it are left out.
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
                target.lapsed = None;
                true
            }
            _ => {
                let target = Target {
                    running: self.targets.get(&entry.name).map_or(0, |old| old.running),
                    remote_running: HashMap::new(),
                    failures: 0,
                    paused_until: Millis::default(),
                    latency_ms: INITIAL_LATENCY_MS,
                    pace: None,
                    loading: None,
                    lapsed: None,
                    entry,
                };
                self.targets.insert(target.entry.name.clone(), target);
                true
            }
        }
    }

    /// Removes a target. One whose entry may have lapsed only because the store was away is kept
    /// until [`Self::expire`].
    pub fn remove(&mut self, name: &TargetName, now: Millis, store_unavailable: bool) {
        match self.targets.get_mut(name) {
            Some(target) if store_unavailable && !target.entry.draining => {
                target.lapsed.get_or_insert(now);
            }
            _ => {
                self.targets.remove(name);
            }
        }
    }

    /// Drops targets whose entries haven't come back.
    pub fn expire(&mut self, now: Millis) -> Vec<TargetName> {
        let is_expired = |target: &Target| target.lapsed.is_some_and(|at| now >= at + LAPSE_GRACE);
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

    /// Returns a target.
    pub fn get(&self, name: &TargetName) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Returns the targets of a service that may be used, in the order of their names.
    pub fn usable(&self, service: &ServiceName) -> Vec<&Target> {
        let targets = self.targets.values();
        let mut usable: Vec<&Target> = targets
            .filter(|target| target.entry.service == *service && !target.entry.draining)
            .collect();
        usable.sort_by(|a, b| a.entry.name.cmp(&b.entry.name));
        usable
    }

    /// Counts a request that was sent to a target.
    pub fn start(&mut self, name: &TargetName) {
        if let Some(target) = self.targets.get_mut(name) {
            target.running += 1;
        }
    }

    /// Takes over how a request ended.
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

    /// Takes over the version of a model that a target's answer named.
    pub fn observe_version(&mut self, name: &TargetName, model: &ModelName, version: u64) {
        if let Some(target) = self.targets.get_mut(name) {
            target.entry.models.insert(model.clone(), version);
        }
    }

    /// Chooses the target for a request: the one that is expected to answer first, those of the
    /// own data centre before equals. Paused ones come last.
    pub fn choose(
        &self,
        service: &ServiceName,
        dc: &Dc,
        tried: &[TargetName],
        now: Millis,
    ) -> Option<&Target> {
        let usable = self.usable(service);
        let candidates = usable
            .into_iter()
            .filter(|target| !tried.contains(&target.entry.name));
        candidates.min_by(|a, b| {
            let rank = |target: &Target| {
                let paused = target.paused_until > now;
                let load = f64::from(target.running) / f64::from(target.entry.slots.max(1));
                let distance = if target.entry.dc == *dc { 1.0 } else { 1.5 };
                (paused, target.latency_ms * (1.0 + load) * distance)
            };
            let (a, b) = (rank(a), rank(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }

    /// Takes over that a target has begun to load a version.
    pub fn begin_load(&mut self, name: &TargetName, model: &ModelName, version: u64, now: Millis) {
        if let Some(target) = self.targets.get_mut(name) {
            target.loading = Some((model.clone(), version, now));
        }
    }

    /// Takes over another host's report of its runs.
    pub fn apply_report(&mut self, report: &RunReport, now: Millis) {
        let newest = self.reports.get(&report.sender).map(|(number, _)| *number);
        if newest.is_some_and(|newest| newest > report.number) {
            return;
        }
        self.reports
            .retain(|_, (_, at)| now - *at < REPORT_RETENTION);
        self.reports.insert(report.sender, (report.number, now));
        for target in self.targets.values_mut() {
            target.remote_running.remove(&report.sender);
        }
        for (name, count) in &report.running {
            if let Some(target) = self.targets.get_mut(name) {
                target.remote_running.insert(report.sender, (*count, now));
            }
        }
    }

    /// Takes over the time between two events of a stream.
    pub fn record_pace(&mut self, name: &TargetName, interval_ms: f64, now: Millis) {
        if let Some(target) = self.targets.get_mut(name) {
            let known = target.pace.filter(|(_, at)| now - *at < MAX_PACE_AGE);
            let pace = known.map_or(interval_ms, |(pace, _)| {
                pace + PACE_SMOOTHING * (interval_ms - pace)
            });
            target.pace = Some((pace, now));
        }
    }

    /// Returns the usual time between events at a service's targets, in milliseconds.
    pub fn median_pace(&self, service: &ServiceName, now: Millis) -> Option<f64> {
        let usable = self.usable(service).into_iter();
        let candidates =
            usable.filter_map(|target| target.pace.filter(|(_, at)| now - *at < MAX_PACE_AGE));
        median_pace(candidates.map(|(pace, _)| pace).collect())
    }

    /// Chooses the target for an item of a batch: one whose version fits, with a free place, of
    /// those dealt to the model before others, and the least loaded of them.
    ///
    /// Load pattern: a step of some sixty items at once. Items beyond the places wait at this host,
    /// where their order can still change, and not in a target's queue.
    pub fn place(
        &self,
        service: &ServiceName,
        model: &ModelName,
        min_version: u64,
        assigned: &HashMap<TargetName, ModelName>,
        excluded: Option<&TargetName>,
        now: Millis,
    ) -> Option<Placement> {
        let median = self.median_pace(service, now);
        let fitting = self.usable(service).into_iter().filter_map(|target| {
            let (version, expected) = target.version(model, now)?;
            let fits = version >= min_version
                && Some(&target.entry.name) != excluded
                && target.paused_until <= now
                && target.total_running(now) < target.entry.slots;
            let pace = target
                .pace
                .filter(|(_, at)| now - *at < MAX_PACE_AGE)
                .map(|(pace, _)| pace);
            fits.then_some((target, expected.then_some(version), pace))
        });
        let best = fitting.min_by_key(|(target, _, pace)| {
            let own = assigned.get(&target.entry.name) == Some(model);
            let load = target.total_running(now) * 100 / target.entry.slots.max(1);
            let slow = pace
                .zip(median)
                .is_some_and(|(pace, median)| pace > median * SLOW_FACTOR);
            (slow, !own, load)
        });
        best.map(|(target, expected, pace)| Placement {
            target: target.entry.name.clone(),
            address: target.entry.address,
            expected,
            pace,
        })
    }

    /// Deals a service's targets to its models, each to one, as evenly as possible and so that a
    /// change of the targets moves few of the others.
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
                // One of the targets that don't divide evenly.
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
