//! Limits that targets name for all hosts together.
//!
//! Load pattern: a target in need names a limit far below its share of the load, at each host that
//! sends it a request. A limit that each host kept by itself would be exceeded as often as there are
//! hosts. So one host, the target's home, gives out permits for all of them, and a request to such a
//! target is sent only with a permit.

use std::collections::HashMap;

use godwitspool_types::{Millis, TargetName};
use serde::{Deserialize, Serialize};

/// Length of the burst that a home permits, as time at the limit; at least one request.
pub(super) const BURST: Millis = Millis(500);
/// Rate of the permits of a host that stands in for a home, as a fraction of the limit. The home may
/// go on for hosts that reach it, and both together must stay below one and a half times the limit.
const STAND_IN_FRACTION: f64 = 0.5;
/// Rate of the permits for a target whose limit is lower, in requests a second. Without any request
/// the hosts would not learn that the limit has ended.
const MIN_RATE: f64 = 0.25;
/// Minimum delay before a host asks for a permit again.
const MIN_RETRY: Millis = Millis(50);
/// Maximum delay before a host asks for a permit again: the limit may have ended.
const MAX_RETRY: Millis = Millis(1_000);
/// Time without a request for permits after which a target is forgotten.
const BUCKET_RETENTION: Millis = Millis(60_000);
/// Time within which a permit must be used. Its home accounts for it as used at once.
pub(super) const PERMIT_LIFETIME: Millis = Millis(400);

/// What a host knows of a target that has named a limit in a response to this host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limited {
    /// Requests a second that the target takes from all hosts together.
    pub limit: f64,
    /// When a response last named it.
    pub named_at: Millis,
    /// Number of permits in stock, and until when they may be used.
    permits: (u32, Millis),
    /// Time before which no permit is to be had.
    blocked_until: Millis,
}

impl Limited {
    /// Creates the state of a target that has named a limit.
    pub fn new(limit: f64, now: Millis) -> Self {
        Self {
            limit,
            named_at: now,
            permits: (0, Millis::ZERO),
            blocked_until: Millis::ZERO,
        }
    }

    /// Returns whether a permit is in stock.
    pub fn has_permit(&self, now: Millis) -> bool {
        let (count, until) = self.permits;
        count > 0 && now < until
    }

    /// Returns whether a permit is in stock or may be asked for.
    pub fn is_open(&self, now: Millis) -> bool {
        self.has_permit(now) || self.blocked_until <= now
    }

    /// Returns the time until a permit may be asked for.
    pub fn opens_in(&self, now: Millis) -> Millis {
        self.blocked_until.max(now) - now
    }

    /// Takes a permit from the stock. Returns false if there is none.
    pub fn take_permit(&mut self, now: Millis) -> bool {
        let taken = self.has_permit(now);
        if taken {
            self.permits.0 -= 1;
        }
        taken
    }

    /// Adds a permit to the stock.
    pub fn add_permit(&mut self, now: Millis) {
        let count = if self.has_permit(now) {
            self.permits.0
        } else {
            0
        };
        self.permits = (count + 1, now + PERMIT_LIFETIME);
    }

    /// Records that no permit is to be had for some time.
    pub fn block(&mut self, retry: Millis, now: Millis) {
        self.blocked_until = now + retry;
    }
}

/// Why a request to a target needs a permit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PermitNeed {
    /// The limit that the target has named, and when.
    pub named: Option<(f64, Millis)>,
    /// Permits a second while the target is cold.
    pub cold: Option<f64>,
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Permit {
    /// One request may be sent.
    Granted,
    /// No request may be sent; the host asks again after this time.
    Later(Millis),
    /// The target has ended its limit since.
    Unlimited,
}

/// Gives out permits for the targets whose home this host is.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    buckets: HashMap<TargetName, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Newest limit that a host has heard of; `None` if it has ended or was never named.
    limit: Option<f64>,
    /// When the target named it, or ended it, if it ever did.
    named_at: Option<Millis>,
    tokens: f64,
    filled_at: Millis,
}

impl Limiter {
    /// Answers a host that wants to send one request to a target, which has named `limit` to it at
    /// `named_at`. `stands_in` is set if the host couldn't reach the target's home.
    ///
    /// The first permit comes after the time that one request takes at the limit, so a new home
    /// doesn't repeat the burst of an earlier one.
    ///
    /// ```
    /// use godwitspool_host::version::{Limiter, Permit};
    /// use godwitspool_types::{Millis, TargetName};
    ///
    /// let mut limiter = Limiter::default();
    /// let target = TargetName::from("t-1");
    /// let mut ask = |now| limiter.take(&target, 2.0, Millis(0), false, Millis(now));
    /// assert_eq!(ask(0), Permit::Later(Millis(500)));
    /// assert_eq!(ask(500), Permit::Granted);
    /// assert_eq!(ask(501), Permit::Later(Millis(499)));
    /// ```
    pub fn take(
        &mut self,
        target: &TargetName,
        limit: f64,
        named_at: Millis,
        stands_in: bool,
        now: Millis,
    ) -> Permit {
        let need = PermitNeed {
            named: Some((limit, named_at)),
            cold: None,
        };
        self.take_for(target, need, stands_in, now)
    }

    /// Answers the same for any reason. The rate is the smaller one of a limit that the target has named
    /// and of the rate of a cold target, and both use the same bucket.
    ///
    /// ```
    /// use godwitspool_host::version::{Limiter, Permit, PermitNeed};
    /// use godwitspool_types::{Millis, TargetName};
    ///
    /// let mut limiter = Limiter::default();
    /// let target = TargetName::from("t-1");
    /// let need = PermitNeed { named: Some((8.0, Millis(0))), cold: Some(2.0) };
    /// let mut ask = |now| limiter.take_for(&target, need, false, Millis(now));
    /// assert_eq!(ask(0), Permit::Later(Millis(500)));
    /// assert_eq!(ask(500), Permit::Granted);
    /// ```
    pub fn take_for(
        &mut self,
        target: &TargetName,
        need: PermitNeed,
        stands_in: bool,
        now: Millis,
    ) -> Permit {
        self.buckets
            .retain(|_, bucket| now - bucket.filled_at < BUCKET_RETENTION);
        let bucket = self.buckets.entry(target.clone()).or_insert(Bucket {
            limit: None,
            named_at: None,
            tokens: 0.0,
            filled_at: now,
        });
        if let Some((limit, named_at)) = need.named
            && Some(named_at) > bucket.named_at
        {
            bucket.limit = Some(limit);
            bucket.named_at = Some(named_at);
        }
        let named = bucket.limit.map(|limit| limit.max(MIN_RATE));
        let rates = [named, need.cold].into_iter().flatten();
        let Some(limit) = rates.min_by(f64::total_cmp) else {
            bucket.filled_at = now;
            return Permit::Unlimited;
        };
        let share = if stands_in { STAND_IN_FRACTION } else { 1.0 };
        let rate = limit * share;
        let capacity = (rate * BURST.seconds()).max(1.0);
        let gained = rate * (now - bucket.filled_at).seconds();
        bucket.tokens = (bucket.tokens + gained).min(capacity);
        bucket.filled_at = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Permit::Granted;
        }
        let wait = ((1.0 - bucket.tokens) / rate * 1_000.0).ceil();
        Permit::Later(Millis(wait as u64).clamp(MIN_RETRY, MAX_RETRY))
    }

    /// Records that a target has answered without a limit at `at`.
    pub fn end(&mut self, target: &TargetName, at: Millis) {
        if let Some(bucket) = self.buckets.get_mut(target)
            && Some(at) > bucket.named_at
        {
            bucket.limit = None;
            bucket.named_at = Some(at);
        }
    }
}
