use godwitspool_types::Millis;

/// Length of the periods whose mean intervals are averaged. A period counts once however many events
/// it has, so that a burst during a disturbance doesn't outweigh the rest.
const PERIOD: Millis = Millis(1_000);
/// Maximum number of periods over which a target's own interval is averaged: minutes of work, so that a
/// disturbance of seconds hardly changes it.
const MAX_PERIODS: f64 = 120.0;
/// Number of periods from which on a target's own interval is believed more than the median of the
/// others: disturbances last some seconds, so fewer periods may all be disturbed.
const TRUSTED_PERIODS: f64 = 3.0;
/// Number of intervals from which on their mean is believed more than the median of the others.
const TRUSTED_INTERVALS: f64 = 10.0;
/// Time without observations after which half of a target's difference to the others is forgotten. An
/// owner runs a batch on the same targets about every minute, and a target must be tried again some time.
const HALF_LIFE: Millis = Millis(300_000);
/// Maximum length of an interval as a multiple of the target's own: a longer one is a pause, such as a
/// load of weights, and says nothing of the speed.
const MAX_INTERVAL_FACTOR: f64 = 3.0;
/// Weight of the newest interval in the fast estimate.
const RECENT_SMOOTHING: f64 = 0.2;
/// Age after which the fast estimate is ignored, so that a target that was disturbed is tried again.
const MAX_RECENT_AGE: Millis = Millis(3_000);
/// A fast estimate within this factor of the target's own interval is no disturbance: the intervals
/// between single events differ as much.
const DISTURBANCE_FACTOR: f64 = 1.3;
/// Time for which a disturbance is expected to go on: disturbances last some seconds, and one that has
/// been noticed is partly over.
const DISTURBANCE_MS: f64 = 2_000.0;
/// Relative deviation of a period's mean interval from which on it counts as disturbed, and says nothing
/// of the load: runs pile up at a disturbed target.
const MAX_LOAD_EFFECT: f64 = 0.8;
/// Number of periods after which a target's means have settled, so that deviations from them say
/// something of the load.
const SETTLED_PERIODS: f64 = 10.0;
/// Number of periods over all targets from which on the influence of the load is known.
const MIN_LOAD_PERIODS: f64 = 60.0;
/// Maximum influence of one more running request: a target with two requests is at most half as fast.
const MAX_LOAD_SLOPE: f64 = 0.5;

/// What a host has observed of the speed of one start of a target: its own speed, kept for minutes, and
/// its present one, which a disturbance may have changed for seconds.
///
/// ```
/// use godwitspool_host::version::TargetSpeed;
/// use godwitspool_types::Millis;
///
/// let mut speed = TargetSpeed::default();
/// for at in 0..200 {
///     speed.record(40.0, 3, Millis(at * 40));
/// }
/// for at in 200..210 {
///     speed.record(100.0, 3, Millis(at * 40));
/// }
/// let estimate = speed.estimate(40.0, 0.0, 3, Millis(8_400));
/// assert!(estimate.own_ms < 45.0);
/// assert!(estimate.recent_ms > 80.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetSpeed {
    /// Mean interval between events in milliseconds, over all ended periods.
    own: f64,
    /// Mean number of running requests, over the same periods.
    load: f64,
    /// Number of ended periods, at most [`MAX_PERIODS`].
    periods: f64,
    /// Number of intervals so far.
    intervals: f64,
    /// The period that has not ended.
    period: Period,
    /// Mean product of the deviations of load and relative interval, and mean square of that of load.
    covariance: (f64, f64),
    /// Smoothed interval between the last events, and the time of the newest.
    recent: Option<(f64, Millis)>,
}

/// Sums over the intervals of a period.
#[derive(Clone, Copy, Debug, Default)]
struct Period {
    began: Millis,
    count: f64,
    interval: f64,
    load: f64,
}

/// The expected intervals between a target's events, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    /// Interval without a disturbance.
    pub own_ms: f64,
    /// Interval at present.
    pub recent_ms: f64,
}

impl SpeedEstimate {
    /// Returns the time that a number of events takes: a disturbance ends after some time.
    ///
    /// ```
    /// use godwitspool_host::version::SpeedEstimate;
    ///
    /// let disturbed = SpeedEstimate { own_ms: 40.0, recent_ms: 100.0 };
    /// assert_eq!(disturbed.run_ms(10.0), 1_000.0);
    /// assert_eq!(disturbed.run_ms(120.0), 2_000.0 + 100.0 * 40.0);
    /// ```
    pub fn run_ms(&self, events: f64) -> f64 {
        let disturbed = events * self.recent_ms;
        if disturbed <= DISTURBANCE_MS {
            return disturbed;
        }
        let left = events - DISTURBANCE_MS / self.recent_ms;
        DISTURBANCE_MS + left * self.own_ms
    }
}

impl TargetSpeed {
    /// Records the interval between two events of a stream, while `running` requests ran at the target.
    pub fn record(&mut self, interval_ms: f64, running: u32, now: Millis) {
        let known = self.recent.filter(|(_, at)| now - *at < MAX_RECENT_AGE);
        let recent = known.map_or(interval_ms, |(recent, _)| {
            recent + RECENT_SMOOTHING * (interval_ms - recent)
        });
        self.recent = Some((recent, now));
        if self.period.count > 0.0 && now - self.period.began >= PERIOD {
            self.end_period();
        }
        if self.period.count == 0.0 {
            self.period.began = now;
        }
        let longest = self.own_ms().map(|own| own * MAX_INTERVAL_FACTOR);
        self.period.interval += longest.map_or(interval_ms, |longest| interval_ms.min(longest));
        self.period.load += f64::from(running);
        self.period.count += 1.0;
        self.intervals += 1.0;
    }

    fn end_period(&mut self) {
        let period = std::mem::take(&mut self.period);
        let (interval, load) = (period.interval / period.count, period.load / period.count);
        self.periods = (self.periods + 1.0).min(MAX_PERIODS);
        let gain = 1.0 / self.periods;
        if self.periods > SETTLED_PERIODS {
            let (more, slower) = (load - self.load, interval / self.own - 1.0);
            if slower < MAX_LOAD_EFFECT {
                self.covariance.0 += gain * (more * slower - self.covariance.0);
                self.covariance.1 += gain * (more * more - self.covariance.1);
            }
        }
        self.own += gain * (interval - self.own);
        self.load += gain * (load - self.load);
    }

    /// Returns the mean interval between the target's events in milliseconds, if any was observed.
    pub fn own_ms(&self) -> Option<f64> {
        if self.periods > 0.0 {
            return Some(self.own);
        }
        (self.period.count > 0.0).then(|| self.period.interval / self.period.count)
    }

    /// Returns the smoothed interval between the last events, unless it is old.
    pub fn recent_ms(&self, now: Millis) -> Option<f64> {
        let recent = self.recent.filter(|(_, at)| now - *at < MAX_RECENT_AGE);
        recent.map(|(recent, _)| recent)
    }

    /// Returns the intervals to expect of the target with `running` requests. `median_ms` is the median
    /// of the service's targets, which stands for what isn't known of this one, and `load_slope` is the
    /// relative influence of a request more ([`load_slope`]).
    pub fn estimate(
        &self,
        median_ms: f64,
        load_slope: f64,
        running: u32,
        now: Millis,
    ) -> SpeedEstimate {
        let own_ms = self.own_ms().map_or(median_ms, |own| {
            let periods = self.periods.max(1.0);
            let trust = periods / (periods + TRUSTED_PERIODS) * self.intervals
                / (self.intervals + TRUSTED_INTERVALS);
            let age = self.recent.map_or(Millis::MAX, |(_, at)| now - at);
            let forgotten = 0.5_f64.powf(age.0 as f64 / HALF_LIFE.0 as f64);
            median_ms + (own - median_ms) * trust * forgotten
        });
        let usual_load = if self.periods > 0.0 {
            self.load
        } else {
            f64::from(running)
        };
        let loaded = 1.0 + load_slope * (f64::from(running) - usual_load);
        let own_ms = own_ms * loaded.max(1.0 - MAX_LOAD_SLOPE);
        let recent_ms = self.recent_ms(now).filter(|recent| {
            *recent > own_ms * DISTURBANCE_FACTOR || *recent < own_ms / DISTURBANCE_FACTOR
        });
        SpeedEstimate {
            own_ms,
            recent_ms: recent_ms.unwrap_or(own_ms),
        }
    }
}

/// Returns by which part of itself a target's interval between events grows with one more running
/// request, from what was observed of all targets of a service.
///
/// Load pattern: some targets interleave their requests and get slower the more run, others don't. The
/// difference shows at single targets whose load changes.
pub fn load_slope<'a>(speeds: impl IntoIterator<Item = &'a TargetSpeed>) -> f64 {
    let (mut periods, mut product, mut square) = (0.0, 0.0, 0.0);
    for speed in speeds {
        periods += speed.periods;
        product += speed.periods * speed.covariance.0;
        square += speed.periods * speed.covariance.1;
    }
    if periods < MIN_LOAD_PERIODS || square <= 0.0 {
        return 0.0;
    }
    (product / square).clamp(0.0, MAX_LOAD_SLOPE)
}
