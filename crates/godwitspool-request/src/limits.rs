//! Rate and concurrency limits of a workspace that apply across all entry hosts.
//!
//! Each workspace has one home host, found by rendezvous hashing. The home divides the limits into
//! grants in proportion to the demand that hosts report. A host without a grant uses a small
//! default grant.

use std::collections::BTreeMap;

use godwitspool_types::{HostName, Millis};

use crate::{Reason, Refusal};

/// The part of a workspace's limits that one host may use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grant {
    /// Maximum number of requests in progress.
    pub concurrency: u32,
    /// Requests per second.
    pub rate: f64,
}

/// The limits of a workspace across all hosts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of requests in progress.
    pub concurrency: u32,
    /// Number of entry hosts that share the limits.
    pub hosts: u32,
    /// Requests per second.
    pub rate: u32,
}

/// The default grants of all hosts together are the limits divided by this number.
const RESERVED_DIVISOR: u32 = 4;
/// How long a grant is valid.
const GRANT_TTL: Millis = Millis(3_000);

impl Limits {
    /// Returns what a host may use without a grant. A single host may use the whole limits.
    ///
    /// ```
    /// use godwitspool_request::Limits;
    ///
    /// let limits = Limits { concurrency: 88, hosts: 11, rate: 440 };
    /// assert_eq!(limits.default_grant().concurrency, 2);
    /// assert_eq!(limits.default_grant().rate, 10.0);
    /// ```
    pub fn default_grant(&self) -> Grant {
        let hosts = self.hosts.max(1);
        if hosts == 1 {
            return Grant {
                concurrency: self.concurrency,
                rate: f64::from(self.rate),
            };
        }
        Grant {
            concurrency: (self.concurrency / RESERVED_DIVISOR / hosts).max(1),
            rate: f64::from(self.rate) / f64::from(RESERVED_DIVISOR * hosts),
        }
    }
}

/// The use of a workspace's limits on one host.
///
/// ```
/// use godwitspool_request::{Limits, LimitUsage};
/// use godwitspool_types::Millis;
///
/// let mut usage = LimitUsage::default();
/// let limits = Limits { concurrency: 1, hosts: 1, rate: 100 };
/// assert!(usage.begin(limits, Millis(0)).is_ok());
/// assert!(usage.begin(limits, Millis(0)).is_err());
/// usage.end();
/// assert!(usage.begin(limits, Millis(0)).is_ok());
/// ```
#[derive(Clone, Debug, Default)]
pub struct LimitUsage {
    grant: Option<(Grant, Millis)>,
    refilled: Option<Millis>,
    running: u32,
    tokens: f64,
    arrivals: u32,
}

impl LimitUsage {
    /// Counts the start of a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if this host's part of the concurrency or rate limit is used up.
    pub fn begin(&mut self, limits: Limits, now: Millis) -> Result<(), Refusal> {
        self.arrivals += 1;
        let grant = self.current(limits, now);
        self.refill(grant, now);
        if self.running >= grant.concurrency {
            return Err(Reason::ConcurrencyLimit.into());
        }
        if self.tokens < 1.0 {
            let missing = (1.0 - self.tokens) / grant.rate.max(0.001) * 1_000.0;
            return Err(Refusal::from(Reason::RateLimit).with_retry(Millis(missing.ceil() as u64)));
        }
        self.tokens -= 1.0;
        self.running += 1;
        Ok(())
    }

    /// Returns whether this host has a valid grant.
    pub fn granted(&self, now: Millis) -> bool {
        self.grant.is_some_and(|(_, until)| now < until)
    }

    /// Counts the end of a request.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Stores a grant that was requested from the home host at `asked`.
    ///
    /// Its validity is counted from the request, so it expires here before it expires at the home.
    pub fn grant(&mut self, grant: Grant, asked: Millis) {
        self.grant = Some((grant, asked + GRANT_TTL));
    }

    /// Returns the demand for the home host and restarts the count of arrivals.
    pub fn report(&mut self) -> LimitDemand {
        LimitDemand {
            arrived: std::mem::take(&mut self.arrivals),
            running: self.running,
        }
    }

    fn current(&self, limits: Limits, now: Millis) -> Grant {
        match self.grant {
            Some((grant, until)) if now < until => grant,
            _ => limits.default_grant(),
        }
    }

    /// Adds tokens for the elapsed time, up to the tokens of one second but at least one.
    fn refill(&mut self, grant: Grant, now: Millis) {
        let capacity = grant.rate.max(1.0);
        let since = self.refilled.replace(now);
        let earned = since.map_or(capacity, |since| (now - since).seconds() * grant.rate);
        self.tokens = (self.tokens + earned).min(capacity);
    }
}

/// A host's demand for a workspace's limits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitDemand {
    /// Requests that arrived since the last report, including refused ones.
    pub arrived: u32,
    /// Requests in progress.
    pub running: u32,
}

/// A host with a grant that may still be valid.
#[derive(Clone, Debug)]
struct Grantee {
    demand: f64,
    grant: Grant,
    until: Millis,
}

/// The home host's side of a workspace's limits.
///
/// A part of the limits stays reserved for the default grants. What is granted in addition to them
/// never exceeds the rest. A new home grants nothing until all grants of the previous home have
/// expired.
///
/// ```
/// use godwitspool_request::{LimitHome, Limits, LimitDemand};
/// use godwitspool_types::{HostName, Millis};
///
/// let limits = Limits { concurrency: 100, hosts: 10, rate: 1_000 };
/// let mut home = LimitHome::new(Millis(0));
/// let demand = LimitDemand { arrived: 50, running: 3 };
/// assert_eq!(home.ask(&HostName::from("a"), demand, limits, Millis(100)), None);
/// let grant = home.ask(&HostName::from("a"), demand, limits, Millis(5_000)).unwrap();
/// assert!(grant.rate > 700.0);
/// ```
#[derive(Clone, Debug)]
pub struct LimitHome {
    grantees: BTreeMap<HostName, Grantee>,
    since: Millis,
}

impl LimitHome {
    /// Creates the home of a workspace's limits on a host that became the home at `since`.
    pub fn new(since: Millis) -> Self {
        Self {
            grantees: BTreeMap::new(),
            since,
        }
    }

    /// Returns a grant in proportion to the host's share of the demand of all hosts with a grant.
    ///
    /// Returns `None` while grants of the previous home may still be valid.
    pub fn ask(
        &mut self,
        host: &HostName,
        reported: LimitDemand,
        limits: Limits,
        now: Millis,
    ) -> Option<Grant> {
        self.grantees.retain(|_, grantee| now <= grantee.until);
        if now <= self.since + GRANT_TTL {
            return None;
        }
        let demand = f64::from(reported.arrived + reported.running) + 1.0;
        let total: f64 = self.others(host).map(|grantee| grantee.demand).sum::<f64>() + demand;
        let granted = self
            .others(host)
            .fold(Grant::default(), |sum, grantee| Grant {
                concurrency: sum.concurrency + grantee.grant.concurrency,
                rate: sum.rate + grantee.grant.rate,
            });
        let reserved = limits.default_grant();
        let hosts = limits.hosts.max(1);
        let pool = Grant {
            concurrency: limits
                .concurrency
                .saturating_sub(reserved.concurrency * hosts),
            rate: f64::from(limits.rate) - reserved.rate * f64::from(hosts),
        };
        let part = demand / total;
        let fair = (f64::from(pool.concurrency) * part).floor() as u32;
        let left = pool.concurrency.saturating_sub(granted.concurrency);
        let concurrency = fair.min(left);
        let rate = (pool.rate * part).min(pool.rate - granted.rate).max(0.0);
        let grant = Grant { concurrency, rate };
        self.grantees.insert(
            host.clone(),
            Grantee {
                demand,
                grant,
                until: now + GRANT_TTL,
            },
        );
        Some(Grant {
            concurrency: grant.concurrency + reserved.concurrency,
            rate: grant.rate + reserved.rate,
        })
    }

    fn others(&self, host: &HostName) -> impl Iterator<Item = &Grantee> {
        self.grantees
            .iter()
            .filter(move |(name, _)| *name != host)
            .map(|(_, grantee)| grantee)
    }
}
