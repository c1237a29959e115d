//! Rate and concurrency limits of a workspace that hold over all entry hosts.
//!
//! Every workspace has one home host by rendezvous. It hands out grants: parts of the limit, by the
//! demand that hosts report. A host without a grant uses a small fixed part.

use std::collections::BTreeMap;

use godwitspool_types::{HostName, Millis};

use crate::{Reason, Refusal};

/// A part of a workspace's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grant {
    /// Requests in progress at once.
    pub concurrency: u32,
    /// Requests a second.
    pub rate: f64,
}

/// The limits of a workspace, over all hosts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Requests in progress at once.
    pub concurrency: u32,
    /// Entry hosts that share the limits.
    pub hosts: u32,
    /// Requests a second.
    pub rate: u32,
}

/// Part of the limits that hosts hold without a grant, all together: one in this number.
const FIXED_PART: u32 = 4;
/// Life of a grant.
const GRANT_LIFE: Millis = Millis(3_000);

impl Limits {
    /// Returns what a host may use without a grant; a host alone may use all.
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
            concurrency: (self.concurrency / FIXED_PART / hosts).max(1),
            rate: f64::from(self.rate) / f64::from(FIXED_PART * hosts),
        }
    }
}

// ---------------------------------------------------------------------------

/// A workspace's use of its limits on one host.
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
    wanted: u32,
}

impl LimitUsage {
    /// Counts a request in.
    ///
    /// # Errors
    ///
    /// The refusal when the part of the limits that this host holds is used up.
    pub fn begin(&mut self, limits: Limits, now: Millis) -> Result<(), Refusal> {
        self.wanted += 1;
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

    /// Tells whether a grant is in force.
    pub fn granted(&self, now: Millis) -> bool {
        self.grant.is_some_and(|(_, until)| now < until)
    }

    /// Counts a request out.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes a grant of the home host; it was asked for at `asked`.
    ///
    /// Its life counts from the asking, so it ends here before the home host counts it as ended.
    pub fn grant(&mut self, grant: Grant, asked: Millis) {
        self.grant = Some((grant, asked + GRANT_LIFE));
    }

    /// Returns the demand since the last report: requests that came, and those in progress.
    pub fn report(&mut self) -> LimitDemand {
        LimitDemand {
            arrived: std::mem::take(&mut self.wanted),
            running: self.running,
        }
    }

    fn current(&self, limits: Limits, now: Millis) -> Grant {
        match self.grant {
            Some((grant, until)) if now < until => grant,
            _ => limits.default_grant(),
        }
    }

    /// Adds tokens for the time that went by, and holds those of a second at most.
    fn refill(&mut self, grant: Grant, now: Millis) {
        let most = grant.rate.max(1.0);
        let since = self.refilled.replace(now);
        let earned = since.map_or(most, |since| (now - since).seconds() * grant.rate);
        self.tokens = (self.tokens + earned).min(most);
    }
}

/// Demand of a host for a workspace's limits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitDemand {
    /// Requests that came since the last report.
    pub arrived: u32,
    /// Requests in progress.
    pub running: u32,
}

// ---------------------------------------------------------------------------

#[derive(Clone, Debug)]
struct Asker {
    demand: f64,
    grant: Grant,
    until: Millis,
}

/// The home host's side of a workspace's limits.
///
/// A part of the limits stays reserved for hosts without a grant. What is granted never exceeds the
/// rest. A home that has just become one grants nothing until the grants of the home before it have
/// ended.
///
/// ```
/// use godwitspool_request::{LimitHome, Limits, LimitDemand};
/// use godwitspool_types::{HostName, Millis};
///
/// let limits = Limits { concurrency: 100, hosts: 10, rate: 1_000 };
/// let mut home = LimitHome::new(Millis(0));
/// let want = LimitDemand { arrived: 50, running: 3 };
/// assert_eq!(home.ask(&HostName::from("a"), want, limits, Millis(100)), None);
/// let grant = home.ask(&HostName::from("a"), want, limits, Millis(5_000)).unwrap();
/// assert!(grant.rate > 700.0);
/// ```
#[derive(Clone, Debug)]
pub struct LimitHome {
    askers: BTreeMap<HostName, Asker>,
    since: Millis,
}

impl LimitHome {
    /// Starts as the home of a workspace's limits.
    pub fn new(since: Millis) -> Self {
        Self {
            askers: BTreeMap::new(),
            since,
        }
    }

    /// Grants a host its part, by its demand among those of the hosts that asked lately.
    pub fn ask(
        &mut self,
        host: &HostName,
        want: LimitDemand,
        limits: Limits,
        now: Millis,
    ) -> Option<Grant> {
        self.askers.retain(|_, asker| now <= asker.until);
        if now <= self.since + GRANT_LIFE {
            return None;
        }
        let demand = f64::from(want.arrived + want.running) + 1.0;
        let all: f64 = self.others(host).map(|asker| asker.demand).sum::<f64>() + demand;
        let granted = self
            .others(host)
            .fold(Grant::default(), |sum, asker| Grant {
                concurrency: sum.concurrency + asker.grant.concurrency,
                rate: sum.rate + asker.grant.rate,
            });
        let fixed = limits.default_grant();
        let hosts = limits.hosts.max(1);
        let pool = Grant {
            concurrency: limits.concurrency.saturating_sub(fixed.concurrency * hosts),
            rate: f64::from(limits.rate) - fixed.rate * f64::from(hosts),
        };
        let part = demand / all;
        let fair = (f64::from(pool.concurrency) * part).floor() as u32;
        let left = pool.concurrency.saturating_sub(granted.concurrency);
        let concurrency = fair.min(left);
        let rate = (pool.rate * part).min(pool.rate - granted.rate).max(0.0);
        let grant = Grant { concurrency, rate };
        self.askers.insert(
            host.clone(),
            Asker {
                demand,
                grant,
                until: now + GRANT_LIFE,
            },
        );
        Some(Grant {
            concurrency: grant.concurrency + fixed.concurrency,
            rate: grant.rate + fixed.rate,
        })
    }

    fn others(&self, host: &HostName) -> impl Iterator<Item = &Asker> {
        self.askers
            .iter()
            .filter(move |(name, _)| *name != host)
            .map(|(_, asker)| asker)
    }
}
