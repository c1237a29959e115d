//! The placement of items of batches.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    ops::RangeInclusive,
};

use godwitspool_request::{rendezvous_weight, stable_hash};
use godwitspool_types::{Dc, Millis, ModelName, ServiceName, TargetName};

use super::{Fleet, MAX_REPORT_AGE, Target};
use crate::{
    batch::median_pace,
    version::{Basis, Payload, SpeedEstimate, TargetSpeed, load_slope},
};

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

impl Target {
    /// Returns the target's weight for a host, by which the host breaks ties between targets.
    fn tie_weight(&self, host: u64) -> u64 {
        rendezvous_weight(host, stable_hash(self.entry.name.as_str().as_bytes()))
    }
}

impl Fleet {
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
        let payload = Payload::default();
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
            let distance = self.trips.cost_ms(request.dc, &target.entry.dc, &payload);
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
