//! Whether a request leaves its host's data centre, and how much of a service's load does.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use godwitspool_types::{Dc, Millis, ServiceName, TargetName};
use rapidhash::v3::rapidhash_v3;

/// Round trip to a data centre to which no connection was opened yet. It is what the former factor of
/// 1.5 on the latency of remote targets came to at the assumed latency of a new target, 20 ms.
const INITIAL_ROUND_TRIP_MS: f64 = 10.0;
/// A round trip, and the time of a request at an idle target, is the shortest one of at least this time:
/// connections that wait for a busy host's processor look slower than the link, and a link may change.
const WINDOW: Millis = Millis(60_000);
/// A share grows only if leaving saves a caller this time: half of the 20 ms that a short request takes.
/// Estimates from few responses differ by less than that.
pub(super) const MARGIN_MS: f64 = 10.0;
/// While this host has a slot left here, requests stay unless they take longer by this factor than
/// elsewhere. Factors below 1.75 let more bytes leave at half load and serve callers a few milliseconds
/// sooner in overload; at 2 callers wait longer in the queues of an overloaded data centre.
const SLOW_FACTOR: f64 = 1.75;
/// Change of a share per second if leaving saves, or costs, all of the time that a request takes here; less
/// in proportion if it saves less. At 0.5 per second a queue of a second builds up before a surplus has left.
const CHANGE_PER_S: f64 = 10.0;
/// Time in which a share halves while a slot is free here: as long as reports of a slot may be late, so that
/// a wrong one doesn't turn all of the load back at once.
const HALF_LIFE: Millis = Millis(2_000);
/// Minimum time between two updates of a service's shares: responses don't say more in a shorter time.
const UPDATE_INTERVAL: Millis = Millis(100);
/// Maximum time that counts for the growth of a share: what was seen earlier may have changed since.
const MAX_UPDATE_GAP: Millis = Millis(2_000);
/// Maximum of a service's shares together: the rest shows how long requests take here. At 0.95, hosts with 4
/// requests per second kept the surplus away long after the queue here had gone.
const MAX_TOTAL: f64 = 0.8;
/// A share below this counts as 0.
const MIN_SHARE: f64 = 0.01;
/// Time for which a draw holds if no request is sent.
const DRAW_MS: u64 = 50;
/// Connect timeout for a data centre to which no connection was opened yet: a link of 60 ms each way takes
/// 120 ms.
const UNKNOWN_LINK_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of round trips that a connect timeout allows for, because a packet may be delayed.
const CONNECT_ROUND_TRIPS: f64 = 3.0;
/// Weight of the newest exchange in the mean sizes of a service's requests and responses.
const SIZE_SMOOTHING: f64 = 0.1;

/// What a trip to another data centre costs a caller.
///
/// ```
/// use godwitspool_host::version::Trip;
///
/// let trip = Trip {
///     bytes_in: 400_000.0,
///     bytes_out: 100_000.0,
///     price: 20.0,
///     reread: 1.5,
///     round_trip: 2.0,
/// };
/// assert_eq!(trip.cost_ms(), 13.5);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trip {
    /// Bytes of the response.
    pub bytes_in: f64,
    /// Bytes of the request.
    pub bytes_out: f64,
    /// Milliseconds of a caller's time that a megabyte between data centres is worth.
    pub price: f64,
    /// Time in which the target reads a prompt that a target here has already read, in milliseconds.
    pub reread: f64,
    /// Round trip in milliseconds, beyond the one inside the data centre.
    pub round_trip: f64,
}

impl Trip {
    /// Returns the cost in milliseconds of a caller's time.
    pub fn cost_ms(&self) -> f64 {
        let megabytes = (self.bytes_in + self.bytes_out) / 1_000_000.0;
        self.round_trip + self.reread + megabytes * self.price
    }
}

/// What a request, stream, item or call takes along.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Payload {
    /// Bytes of the response.
    pub bytes_in: f64,
    /// Bytes of the request.
    pub bytes_out: f64,
    /// Time in which a target reads the prompt that a target here has already read, in milliseconds.
    pub reread: f64,
}

/// The shortest one of the times seen in this window and the one before.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Shortest {
    before: Option<f64>,
    current: f64,
    since: Millis,
}

impl Shortest {
    fn new(time_ms: f64, now: Millis) -> Self {
        Self {
            before: None,
            current: time_ms,
            since: now,
        }
    }

    fn observe(&mut self, time_ms: f64, now: Millis) {
        if now.0.saturating_sub(self.since.0) >= WINDOW.0 {
            *self = Self {
                before: Some(self.current),
                current: time_ms,
                since: now,
            };
        }
        self.current = self.current.min(time_ms);
    }

    fn get(&self) -> f64 {
        self.before.unwrap_or(self.current).min(self.current)
    }
}

/// What a data centre offers a request now.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The data centre.
    pub dc: Dc,
    /// Whether a target isn't filled by this host's own requests; for a remote data centre, whether one has
    /// a slot to spare by all reports.
    pub free: bool,
    /// Expected time until the response, with the trip, in milliseconds.
    pub time_ms: f64,
}

/// A change of the share of a service's load that leaves for a data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The remote data centre.
    pub dc: Dc,
    /// The share that leaves from now on.
    pub share: f64,
    /// Time that leaving saves a caller, in milliseconds; negative if it costs time.
    pub saved_ms: f64,
}

/// Returns the time that a request saves by leaving, in milliseconds; `None` if it has to stay because
/// of a free slot here, or because the remote data centre has none to spare.
///
/// Load pattern: a data centre with few targets beside idle ones. A free slot here is used, also if a
/// target looks somewhat faster elsewhere: the best of many estimates is always too good.
///
/// ```
/// use godwitspool_host::version::{Offer, saving};
/// use godwitspool_types::Dc;
///
/// let offer = |dc: &str, free, time_ms| Offer { dc: Dc::from(dc), free, time_ms };
/// let there = offer("there", true, 22.0);
/// assert_eq!(saving(&offer("here", false, 50.0), &there), Some(28.0));
/// assert_eq!(saving(&offer("here", true, 50.0), &there), Some(28.0));
/// assert_eq!(saving(&offer("here", true, 30.0), &there), None);
/// ```
pub fn saving(here: &Offer, there: &Offer) -> Option<f64> {
    let stays = here.free && here.time_ms < there.time_ms * SLOW_FACTOR;
    (!stays).then_some(here.time_ms - there.time_ms)
}

/// Returns by how much a share changes in `elapsed` if leaving saves `saved_ms` of the time that a request
/// takes here, or nothing may leave if that is `None`.
fn share_change(saved_ms: Option<f64>, here_ms: f64, share: f64, elapsed: Millis) -> f64 {
    let per_ms = CHANGE_PER_S * elapsed.min(MAX_UPDATE_GAP).seconds() / here_ms.max(1.0);
    match saved_ms {
        Some(saved_ms) if saved_ms > MARGIN_MS => (saved_ms - MARGIN_MS) * per_ms,
        Some(saved_ms) => saved_ms.min(0.0) * per_ms,
        None => share * (0.5_f64.powf(elapsed.seconds() / HALF_LIFE.seconds()) - 1.0),
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Shares {
    by_dc: BTreeMap<Dc, f64>,
    /// Shares as they were reported last.
    reported: HashMap<Dc, f64>,
    updated_at: Millis,
}

/// The share of each service's load that may leave for each data centre now.
///
/// Load pattern: a data centre gets twice what it can serve, and all of its hosts see the same idle
/// neighbour. Each host lets a share of its requests leave, which grows by the part of a caller's time that
/// leaving saves beyond a margin, stays while it saves less, and falls by the part that it costs. It doesn't
/// grow while the neighbour has no slot to spare for it. Hosts learn of queues by their own responses, which
/// say what the target's state was at that moment; reports of other hosts may be 2 s late.
///
/// ```
/// use godwitspool_host::version::{Offer, Spill};
/// use godwitspool_types::{Dc, Millis, ServiceName};
///
/// let service = ServiceName::from("desk");
/// let offer = |dc: &str, free, time_ms| Offer { dc: Dc::from(dc), free, time_ms };
/// let (full, there) = (offer("here", false, 90.0), offer("there", true, 23.0));
/// let mut spill = Spill::default();
/// spill.update(&service, &full, std::slice::from_ref(&there), Millis(0));
/// spill.update(&service, &full, std::slice::from_ref(&there), Millis(100));
/// let share = spill.share(&service, &there.dc);
/// assert!(share > 0.5);
/// let free = offer("here", true, 25.0);
/// spill.update(&service, &free, std::slice::from_ref(&there), Millis(2_100));
/// assert!((spill.share(&service, &there.dc) - share / 2.0).abs() < 1e-9);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spill {
    services: HashMap<ServiceName, Shares>,
}

impl Spill {
    /// Returns whether the shares of a service may be updated now.
    pub fn is_due(&self, service: &ServiceName, now: Millis) -> bool {
        let shares = self.services.get(service);
        shares.is_none_or(|shares| now - shares.updated_at >= UPDATE_INTERVAL)
    }

    /// Returns the share of a service's load that leaves for a data centre.
    pub fn share(&self, service: &ServiceName, dc: &Dc) -> f64 {
        let shares = self.services.get(service);
        let share = shares.and_then(|shares| shares.by_dc.get(dc));
        share.copied().unwrap_or_default()
    }

    /// Returns whether a share differs by `change` or more from the one that was reported last, or has
    /// fallen to 0, and takes it as reported then.
    pub fn report(&mut self, service: &ServiceName, dc: &Dc, change: f64) -> bool {
        let share = self.share(service, dc);
        let shares = self.services.entry(service.clone()).or_default();
        let reported = shares.reported.entry(dc.clone()).or_default();
        let has_changed = (share - *reported).abs() >= change || (share == 0.0 && *reported > 0.0);
        if has_changed {
            *reported = share;
        }
        has_changed
    }

    /// Updates the shares of a service by what the data centres offer now. Returns those that have
    /// changed.
    pub fn update(
        &mut self,
        service: &ServiceName,
        here: &Offer,
        offers: &[Offer],
        now: Millis,
    ) -> Vec<ShareChange> {
        let shares = self.services.entry(service.clone()).or_default();
        let elapsed = now - shares.updated_at;
        shares.updated_at = now;
        let growing = offers
            .iter()
            .filter(|there| there.free && saving(here, there).is_some_and(|ms| ms > MARGIN_MS))
            .count();
        let mut dcs: Vec<Dc> = shares.by_dc.keys().cloned().collect();
        dcs.extend(offers.iter().map(|there| there.dc.clone()));
        dcs.sort();
        dcs.dedup();
        let total: f64 = shares.by_dc.values().sum();
        let growing = growing.max(1) as f64;
        // Divided before it is used up, so that no data centre is preferred for its name.
        let room = (MAX_TOTAL - total).max(0.0) / growing;
        let mut changes = Vec::new();
        for dc in dcs {
            let before = shares.by_dc.get(&dc).copied().unwrap_or_default();
            let offer = offers.iter().find(|there| there.dc == dc);
            let saved_ms = offer.and_then(|there| saving(here, there));
            let is_spare = offer.is_some_and(|there| there.free);
            let change = share_change(saved_ms, here.time_ms, before, elapsed);
            let share = match change {
                growth if growth > 0.0 && is_spare => before + (growth / growing).min(room),
                growth if growth > 0.0 => before,
                fall => Some(before + fall)
                    .filter(|left| *left >= MIN_SHARE)
                    .unwrap_or_default(),
            };
            if share.total_cmp(&before).is_ne() {
                shares.by_dc.insert(dc.clone(), share);
                changes.push(ShareChange {
                    dc,
                    share,
                    saved_ms: saved_ms.unwrap_or_default(),
                });
            }
        }
        changes
    }

    /// Returns the data centre for which a request leaves, and the time that it saves, which is more than the
    /// margin; `None` if it stays. `draw` is a number in `0.0..1.0` that differs by request and host.
    pub fn decide<'a>(
        &self,
        service: &ServiceName,
        here: &Offer,
        offers: &'a [Offer],
        draw: f64,
    ) -> Option<(&'a Offer, f64)> {
        let mut end = 0.0;
        for there in offers {
            end += self.share(service, &there.dc);
            if draw < end {
                let saved = saving(here, there).filter(|saved| *saved > MARGIN_MS);
                return saved.map(|saved| (there, saved));
            }
        }
        None
    }
}

/// What a host knows of trips to other data centres.
#[derive(Clone, Debug, Default)]
pub struct Trips {
    /// Shares of the load that leave.
    pub spill: Spill,
    /// Milliseconds of a caller's time that a megabyte between data centres is worth.
    pub price: f64,
    /// Number that differs by host, so that hosts which see the same choose differently.
    pub seed: u64,
    latencies: HashMap<ServiceName, Shortest>,
    links: HashMap<Dc, Shortest>,
    sizes: HashMap<ServiceName, Payload>,
}

impl Trips {
    /// Records the time in which a connection to a target in a data centre was opened.
    ///
    /// ```
    /// use godwitspool_host::version::Trips;
    /// use godwitspool_types::{Dc, Millis};
    ///
    /// let (here, there) = (Dc::from("here"), Dc::from("there"));
    /// let mut trips = Trips::default();
    /// assert_eq!(trips.round_trip_ms(&here, &there), 10.0);
    /// trips.observe_connect(&here, 0.5, Millis(0));
    /// trips.observe_connect(&there, 60.5, Millis(0));
    /// trips.observe_connect(&there, 95.0, Millis(10));
    /// assert_eq!(trips.round_trip_ms(&here, &there), 60.0);
    /// assert_eq!(trips.round_trip_ms(&here, &here), 0.0);
    /// ```
    pub fn observe_connect(&mut self, dc: &Dc, took_ms: f64, now: Millis) {
        let links = self.links.entry(dc.clone());
        links
            .or_insert(Shortest::new(took_ms, now))
            .observe(took_ms, now);
    }

    /// Records the smoothed time of a service's requests at one of its targets.
    pub(super) fn observe_latency(&mut self, service: &ServiceName, took_ms: f64, now: Millis) {
        let Some(latency) = self.latencies.get_mut(service) else {
            let latency = Shortest::new(took_ms, now);
            self.latencies.insert(service.clone(), latency);
            return;
        };
        latency.observe(took_ms, now);
    }

    /// Returns the time of a service's requests at an idle target, as far as it was seen, in milliseconds.
    pub(super) fn idle_ms(&self, service: &ServiceName) -> Option<f64> {
        self.latencies.get(service).map(Shortest::get)
    }

    /// Returns the round trip between two data centres beyond the one inside the first, in milliseconds.
    pub fn round_trip_ms(&self, from: &Dc, to: &Dc) -> f64 {
        if from == to {
            return 0.0;
        }
        let shortest = |dc| self.links.get(dc).map(Shortest::get);
        shortest(to).map_or(INITIAL_ROUND_TRIP_MS, |there| {
            (there - shortest(from).unwrap_or_default()).max(0.0)
        })
    }

    /// Returns how long a host in one data centre waits for a connection to another one, if it waits for
    /// `nearby` inside its own. A link that was never measured may be a long one; a cut one costs each
    /// caller this time.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use godwitspool_host::version::Trips;
    /// use godwitspool_types::{Dc, Millis};
    ///
    /// let (here, there, far) = (Dc::from("here"), Dc::from("there"), Dc::from("far"));
    /// let nearby = Duration::from_millis(40);
    /// let mut trips = Trips::default();
    /// assert_eq!(trips.connect_timeout(&here, &there, nearby).as_millis(), 150);
    /// trips.observe_connect(&there, 2.8, Millis(0));
    /// trips.observe_connect(&far, 120.0, Millis(0));
    /// assert_eq!(trips.connect_timeout(&here, &there, nearby), nearby);
    /// assert_eq!(trips.connect_timeout(&here, &far, nearby).as_millis(), 360);
    /// assert_eq!(trips.connect_timeout(&here, &here, nearby), nearby);
    /// ```
    pub fn connect_timeout(&self, from: &Dc, to: &Dc, nearby: Duration) -> Duration {
        if from == to {
            return nearby;
        }
        let link = self.links.get(to).map(Shortest::get);
        let timeout = link.map_or(UNKNOWN_LINK_TIMEOUT, |link_ms| {
            Duration::from_secs_f64(link_ms * CONNECT_ROUND_TRIPS / 1_000.0)
        });
        timeout.max(nearby)
    }

    /// Records the sizes of a request of a service and of its response.
    pub fn observe_sizes(&mut self, service: &ServiceName, bytes_out: usize, bytes_in: usize) {
        let (bytes_out, bytes_in) = (bytes_out as f64, bytes_in as f64);
        let mean = self.sizes.entry(service.clone()).or_insert(Payload {
            bytes_in,
            bytes_out,
            reread: 0.0,
        });
        mean.bytes_in += SIZE_SMOOTHING * (bytes_in - mean.bytes_in);
        mean.bytes_out += SIZE_SMOOTHING * (bytes_out - mean.bytes_out);
    }

    /// Returns the mean sizes of a service's requests and responses.
    pub fn mean_payload(&self, service: &ServiceName) -> Payload {
        self.sizes.get(service).copied().unwrap_or_default()
    }

    /// Returns what it costs to send a request, stream, item or call from one data centre to a target in
    /// another one, in milliseconds of a caller's time; 0 inside a data centre.
    ///
    /// ```
    /// use godwitspool_host::version::{Payload, Trips};
    /// use godwitspool_types::Dc;
    ///
    /// let (here, there) = (Dc::from("here"), Dc::from("there"));
    /// let mut trips = Trips::default();
    /// trips.price = 100.0;
    /// let item = Payload { bytes_in: 30_000.0, bytes_out: 20_000.0, reread: 4.0 };
    /// assert_eq!(trips.cost_ms(&here, &there, &item), 10.0 + 4.0 + 5.0);
    /// assert_eq!(trips.cost_ms(&here, &here, &item), 0.0);
    /// ```
    pub fn cost_ms(&self, from: &Dc, to: &Dc, payload: &Payload) -> f64 {
        if from == to {
            return 0.0;
        }
        let trip = Trip {
            bytes_in: payload.bytes_in,
            bytes_out: payload.bytes_out,
            price: self.price,
            reread: payload.reread,
            round_trip: self.round_trip_ms(from, to),
        };
        trip.cost_ms()
    }

    /// Returns a number in `0.0..1.0` that differs by host, by request and, if none is sent, by time.
    pub(super) fn draw(&self, started: u64, now: Millis) -> f64 {
        let mut key = [0; 24];
        key[..8].copy_from_slice(&self.seed.to_le_bytes());
        key[8..16].copy_from_slice(&started.to_le_bytes());
        key[16..].copy_from_slice(&(now.0 / DRAW_MS).to_le_bytes());
        (rapidhash_v3(&key) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns the weight of a target for this host, by which equal targets are ordered.
    pub(super) fn weight(&self, name: &TargetName) -> u64 {
        let mut key = self.seed.to_le_bytes().to_vec();
        key.extend(name.as_str().as_bytes());
        rapidhash_v3(&key)
    }
}
