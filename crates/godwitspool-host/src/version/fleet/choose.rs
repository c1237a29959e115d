//! The choice of a target for requests, streams and reward calls.

use std::collections::HashMap;

use godwitspool_types::{Dc, Millis, ServiceName, TargetName};

use super::{Fleet, INITIAL_LATENCY_MS, Target};
use crate::version::{Basis, MARGIN_MS, Offer, Payload, ShareChange};

/// Age from which a target is tried again although it looked slow: a trial costs one request of this host
/// at a slow target.
pub(super) const LATENCY_RETRY_AGE: Millis = Millis(30_000);
/// Factor on the time at an idle target for a target that is tried again, or for the first time, so that it is
/// chosen before the fastest one while it runs no other request.
const RETRY_FACTOR: f64 = 0.9;
/// Time in which the difference halves. It is some times the interval between the requests of a host with
/// few callers, which would otherwise know nothing of any target.
const LATENCY_HALF_LIFE: Millis = Millis(3_000);
/// Age after which a target's latency fades, as its recent speed does.
const MAX_LATENCY_AGE: Millis = Millis(3_000);
/// Part of the slots of a target in another data centre up to which a share of the load that leaves for it
/// grows; the rest is for the callers there, whose requests aren't known here until they are reported.
const SPARE_FILL: f64 = 0.75;

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

impl Target {
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

    /// Returns the number of slots that reward calls may use.
    fn call_slots(&self) -> u32 {
        (self.entry.slots / 2).max(1)
    }

    /// Returns whether a reward call may run at the target, apart from a limit that it has named.
    pub(super) fn fits_call(&self, now: Millis) -> bool {
        self.paused_until <= now && self.total_running(now) < self.call_slots()
    }
}

impl Fleet {
    /// Chooses the target for a request as [`Self::choose_for`] does, if it is of the service's mean size.
    pub fn choose(
        &self,
        service: &ServiceName,
        dc: &Dc,
        tried: &[TargetName],
        now: Millis,
    ) -> Option<&Target> {
        let payload = self.trips.mean_payload(service);
        let choice = self.choose_for(service, dc, tried, &payload, now);
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
        payload: &Payload,
        now: Millis,
    ) -> Option<Choice<'_>> {
        if self.basis() == Basis::Stale {
            return None;
        }
        let candidates = self.candidates(service, dc, tried, payload, now);
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
        let payload = self.trips.mean_payload(service);
        let candidates = self.candidates(service, dc, &[], &payload, now);
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
        payload: &Payload,
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
            let trip = self.trips.cost_ms(dc, &target.entry.dc, payload);
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

    /// Chooses the target for a reward call as [`Self::place_call_for`] does, if no other call waits.
    pub fn place_call(&self, service: &ServiceName, dc: &Dc, now: Millis) -> Option<&Target> {
        let payload = self.trips.mean_payload(service);
        let choice = self.place_call_for(service, dc, || 0, &payload, now);
        choice.map(|choice| choice.target)
    }

    /// Chooses the target for a reward call of a host in `dc`: the least loaded one there that isn't paused and
    /// has less than half of its slots in use. A call leaves the data centre if no target there can be used,
    /// or if it saves more than a margin against waiting for one. `waiting` counts the other calls that wait,
    /// and is called only then. None is chosen by stale entries.
    ///
    /// Load pattern: the outputs of a step become complete at the same time, and interactive callers
    /// use the same targets. The half that stays free serves them without a queue.
    pub fn place_call_for(
        &self,
        service: &ServiceName,
        dc: &Dc,
        waiting: impl FnOnce() -> usize,
        payload: &Payload,
        now: Millis,
    ) -> Option<Choice<'_>> {
        if self.basis() == Basis::Stale {
            return None;
        }
        let candidates = self.candidates(service, dc, &[], payload, now).into_iter();
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
