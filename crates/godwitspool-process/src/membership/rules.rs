//! Timing and limits of membership.

use godwitspool_types::Millis;

/// Timing and limits of membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipRules {
    /// Time between a host's probes in the local data centre, with a jitter of 10 %.
    pub probe_interval: Millis,
    /// Time to wait for an ack before other hosts are asked to probe indirectly.
    pub ack_timeout: Millis,
    /// Number of local hosts asked for an indirect probe. One host of another data centre is asked
    /// too, or more if there are fewer local hosts.
    pub proxies: usize,
    /// Probe intervals from suspicion to down; one more is added for each doubling of hosts.
    pub suspicion_periods: u32,
    /// Number of hosts in a data centre that probe other data centres.
    pub relays: usize,
    /// Time between a relay's probes of each other data centre, with a jitter of 25 %.
    pub remote_interval: Millis,
    /// Time without contact after which another data centre counts as cut off.
    pub remote_timeout: Millis,
    /// Time for which a host that is down is kept in the table and probed occasionally.
    pub down_retention: Millis,
}

impl Default for MembershipRules {
    fn default() -> Self {
        Self {
            probe_interval: Millis(250),
            ack_timeout: Millis(80),
            proxies: 3,
            suspicion_periods: 6,
            relays: 4,
            remote_interval: Millis(2_000),
            remote_timeout: Millis(5_000),
            down_retention: Millis(3_600_000),
        }
    }
}

impl MembershipRules {
    /// Returns the time from suspicion to down in a data centre with a number of hosts.
    pub fn suspicion_timeout(&self, hosts: usize) -> Millis {
        let doublings = u64::from(hosts.max(1).ilog2());
        Millis(self.probe_interval.0 * (u64::from(self.suspicion_periods) + doublings))
    }

    /// Returns how often a host sends an update in a data centre with a number of hosts. It grows
    /// with the logarithm of that number.
    pub fn max_sends(&self, hosts: usize) -> u32 {
        const SENDS_PER_DOUBLING: u32 = 3;
        SENDS_PER_DOUBLING * (hosts.max(1).ilog2() + 1)
    }
}
