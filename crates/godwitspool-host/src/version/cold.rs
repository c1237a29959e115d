//! Targets that have just started and are slow for some time.
//!
//! Load pattern: a target comes back after a restart, or a data centre is restored, and every host sends
//! it its share at once, because it looks idle. A cold target takes few requests a second from all hosts
//! together. So while it is cold, a request to it needs a permit of its home, as if it had named a limit.

use std::collections::HashMap;

use godwitspool_types::{Millis, ServiceName};

use super::{BURST, CHOICE_LIFETIME, Limited, PERMIT_LIFETIME, Service};

/// Length of the window in which requests to a cold target are counted.
const WINDOW: Millis = Millis(1_000);
/// Number of homes that may give out permits of one target at the same time: on both sides of a cut, hosts
/// with different lists of the holders have one, and a stand-in works at half the rate.
const HOMES: f64 = 2.5;

/// The bound on requests to a cold target in any second, by its service's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate.
    pub overage: f64,
    /// Number of requests beyond that.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            overage: 1.5,
            slack: 5.0,
        }
    }
}

impl ColdBound {
    /// Returns the rate of permits with which the bound holds although a burst of permits was saved up, each
    /// permit is used as late as it may be, and two homes and a stand-in give out permits at once. It never
    /// exceeds the service's rate.
    ///
    /// ```
    /// use godwitspool_host::version::ColdBound;
    ///
    /// let bound = ColdBound { overage: 1.5, slack: 5.0 };
    /// assert!((bound.permit_rate(7.8) - 3.036).abs() < 0.01);
    /// assert_eq!(bound.permit_rate(0.5), 0.5);
    /// ```
    pub fn permit_rate(&self, rate: f64) -> f64 {
        let span = WINDOW + BURST + PERMIT_LIFETIME + CHOICE_LIFETIME;
        let bound = rate * self.overage + self.slack;
        (bound / (span.seconds() * HOMES)).min(rate)
    }
}

/// How a service's targets behave while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Time for which a target is cold after its start.
    pub time: Millis,
    /// Permits a second for a cold target; `None` if it takes as many requests as a warm one.
    pub rate: Option<f64>,
}

impl ColdRule {
    /// Returns the rule for a service; `None` if its targets are never cold.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use godwitspool_host::version::{ColdBound, ColdRule, Service};
    ///
    /// let mut service = Service::default();
    /// assert_eq!(ColdRule::of(&service, &ColdBound::default()), None);
    /// service.cold = Duration::from_secs(3);
    /// assert_eq!(ColdRule::of(&service, &ColdBound::default()).unwrap().rate, None);
    /// ```
    pub fn of(service: &Service, bound: &ColdBound) -> Option<Self> {
        let rate = service.cold_rate.filter(|rate| *rate > 0.0);
        (!service.cold.is_zero()).then(|| Self {
            time: service.cold.into(),
            rate: rate.map(|rate| bound.permit_rate(rate)),
        })
    }

    /// Returns the rules of all services that have one.
    pub fn of_services(
        services: &HashMap<ServiceName, Service>,
        bound: &ColdBound,
    ) -> HashMap<ServiceName, Self> {
        let rules = services
            .iter()
            .filter_map(|(name, service)| Some((name.clone(), Self::of(service, bound)?)));
        rules.collect()
    }
}

/// Whether a target is cold, and the permits for requests to it while it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// The rule of its service; `None` if it is never cold.
    rule: Option<ColdRule>,
    until: Millis,
    permits: Limited,
}

impl Cold {
    /// Creates the state of a target that is warm.
    pub fn new(rule: Option<ColdRule>) -> Self {
        Self {
            rule,
            until: Millis::ZERO,
            permits: Limited::new(0.0, Millis::ZERO),
        }
    }

    /// Sets the rule of the target's service.
    pub fn set_rule(&mut self, rule: Option<ColdRule>) {
        self.rule = rule;
    }

    /// Records how long the target stays cold, by what is known of it as of now. Returns whether it has
    /// become cold.
    ///
    /// ```
    /// use godwitspool_host::version::{Cold, ColdRule};
    /// use godwitspool_types::Millis;
    ///
    /// let mut cold = Cold::new(Some(ColdRule { time: Millis(3_000), rate: Some(2.0) }));
    /// assert!(cold.observe(Millis(500), Millis(100)));
    /// assert!(cold.is_cold(Millis(599)));
    /// assert!(!cold.is_cold(Millis(600)));
    /// ```
    pub fn observe(&mut self, left: Millis, now: Millis) -> bool {
        let was_cold = self.is_cold(now);
        self.until = now + left;
        !was_cold && self.is_cold(now)
    }

    /// Records that a target's state isn't known, because it is new or was out of use: it is taken as cold
    /// for its service's whole cold time, or for longer if it has said so. Returns whether it has become
    /// cold.
    pub fn presume(&mut self, now: Millis) -> bool {
        let time = self.rule.map_or(Millis::ZERO, |rule| rule.time);
        let left = self.until.max(now) - now;
        self.observe(time.max(left), now)
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.rule.is_some() && now < self.until
    }

    /// Returns the permits a second that all hosts together get; `None` if none are needed.
    pub fn rate(&self, now: Millis) -> Option<f64> {
        self.rule.filter(|_| self.is_cold(now))?.rate
    }

    /// Returns the stock of permits, if they are needed.
    pub fn permits(&self, now: Millis) -> Option<&Limited> {
        self.rate(now).map(|_| &self.permits)
    }

    /// Returns the stock of permits, if they are needed, to add or take some.
    pub fn permits_mut(&mut self, now: Millis) -> Option<&mut Limited> {
        self.rate(now).map(|_| &mut self.permits)
    }
}
