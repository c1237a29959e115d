//! Division of the training on each target among the hosts that place it.
//!
//! Every host reports its training streams and the shares of its trainers with samples to generate.
//! From these each host computes its part of the streams that a target allows. Reports that are too
//! old are ignored.

use std::collections::{BTreeMap, HashMap};

use godwitspool_connection::messages::{Portion, TargetLoad};
use godwitspool_types::{HostName, Millis, ServiceName, TargetName, WeightVersion};

/// Age from which on a report is ignored.
const REPORT_TTL: Millis = Millis(2_000);

/// The latest reports of other hosts' training and of the targets' loads.
#[derive(Debug, Default)]
pub(super) struct Portions {
    loads: HashMap<TargetName, (TargetLoad, Millis)>,
    hosts: BTreeMap<HostName, (Portion, Millis)>,
}

impl Portions {
    /// Stores a load report of a target.
    pub(super) fn report(&mut self, load: &TargetLoad, now: Millis) {
        self.loads.insert(load.target.clone(), (load.clone(), now));
    }

    /// Returns the weight version of a target, as last reported.
    pub(super) fn weights(&self, target: &TargetName) -> Option<&WeightVersion> {
        self.loads.get(target).map(|(load, _)| &load.weights)
    }

    /// Stores another host's report.
    pub(super) fn update(&mut self, portion: Portion, now: Millis) {
        self.hosts.insert(portion.host.clone(), (portion, now));
    }

    /// Returns the number of requests on a target, as last reported, or 0 without a recent report.
    pub(super) fn busy(&self, target: &TargetName, now: Millis) -> u32 {
        let report = self.loads.get(target);
        let fresh = report.filter(|(_, at)| now - *at < REPORT_TTL);
        fresh.map_or(0, |(load, _)| load.busy)
    }

    /// Returns the number of other hosts' training streams on a target.
    pub(super) fn streams_elsewhere(&self, target: &TargetName, now: Millis) -> u32 {
        let streams = self
            .fresh_portions(now)
            .flat_map(|portion| &portion.streams);
        let on_target = streams.filter(|(name, _)| name == target);
        on_target.map(|(_, streams)| streams).sum()
    }

    /// Returns this host's part of the `allowed` training streams on a target of `service`.
    /// `shares` are this host's wanted shares. The parts of all hosts add up to `allowed`.
    pub(super) fn part(
        &self,
        own: &HostName,
        service: &ServiceName,
        shares: u32,
        allowed: u32,
        now: Millis,
    ) -> u32 {
        let mut shares_before = 0;
        let mut total_shares = shares;
        for portion in self.fresh_portions(now) {
            let wanted = portion.shares.iter().filter(|(name, _)| name == service);
            let wanted: u32 = wanted.map(|(_, shares)| shares).sum();
            total_shares += wanted;
            if portion.host < *own {
                shares_before += wanted;
            }
        }
        if total_shares == 0 {
            return allowed;
        }
        let up_to = |shares: u32| u64::from(allowed) * u64::from(shares) / u64::from(total_shares);
        (up_to(shares_before + shares) - up_to(shares_before)) as u32
    }

    fn fresh_portions(&self, now: Millis) -> impl Iterator<Item = &Portion> {
        let hosts = self.hosts.values();
        hosts
            .filter(move |(_, at)| now - *at < REPORT_TTL)
            .map(|(portion, _)| portion)
    }
}
