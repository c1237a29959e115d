//! Times and bounds of membership.

use godwitspool_types::Millis;

/// Times and bounds of membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipRules {
    /// Time between probes of hosts in the own data centre.
    pub period: Millis,
    /// Time for a direct answer, before others are asked to probe.
    pub answer: Millis,
    /// Hosts asked to probe on behalf of another.
    pub proxies: usize,
    /// Periods from suspicion to down, beside one for each doubling of hosts.
    pub patience: u32,
    /// Hosts of a data centre that speak with other data centres.
    pub relays: usize,
    /// Time between probes of each other data centre, by each relay.
    pub distant: Millis,
    /// Time without a word after which another data centre counts as cut off.
    pub cut_off: Millis,
    /// Time for which a host that is gone is remembered and probed again now and then.
    pub remember: Millis,
}

impl Default for MembershipRules {
    fn default() -> Self {
        Self {
            period: Millis(250),
            answer: Millis(80),
            proxies: 3,
            patience: 6,
            relays: 4,
            distant: Millis(2_000),
            cut_off: Millis(5_000),
            remember: Millis(3_600_000),
        }
    }
}

impl MembershipRules {
    /// Returns the time from suspicion to down among a number of hosts.
    pub fn suspicion(&self, hosts: usize) -> Millis {
        let doublings = u64::from(hosts.max(1).ilog2());
        Millis(self.period.0 * (u64::from(self.patience) + doublings))
    }

    /// Returns how often a piece of news is sent among a number of hosts.
    pub fn sends(&self, hosts: usize) -> u32 {
        const SENDS_PER_DOUBLING: u32 = 3;
        SENDS_PER_DOUBLING * (hosts.max(1).ilog2() + 1)
    }
}
