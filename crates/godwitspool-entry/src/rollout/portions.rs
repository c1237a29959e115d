//! How training on targets is divided among the hosts that place it.
//!
//! Every host says what it runs and the shares of its trainers that want work; each takes its part
//! of what a target may train. A host that is silent for a while counts no more.

use std::collections::{BTreeMap, HashMap};

use godwitspool_connection::messages::{Portion, TargetLoad};
use godwitspool_types::{HostName, Millis, ServiceName, TargetName, WeightVersion};

const FORGET_MS: Millis = Millis(2_000);

/// What is known of the other hosts' training, and of the targets' load.
#[derive(Debug, Default)]
pub(super) struct Portions {
    loads: HashMap<TargetName, (TargetLoad, Millis)>,
    hosts: BTreeMap<HostName, (Portion, Millis)>,
}

impl Portions {
    /// Takes in a target's load.
    pub(super) fn report(&mut self, load: &TargetLoad, now: Millis) {
        self.loads.insert(load.target.clone(), (load.clone(), now));
    }

    /// Returns the version that a target uses, as last reported.
    pub(super) fn weights(&self, target: &TargetName) -> Option<&WeightVersion> {
        self.loads.get(target).map(|(load, _)| &load.weights)
    }

    /// Takes in what another host runs.
    pub(super) fn learn(&mut self, portion: Portion, now: Millis) {
        self.hosts.insert(portion.host.clone(), (portion, now));
    }

    /// Returns the requests that a target has, as last reported.
    pub(super) fn busy(&self, target: &TargetName, now: Millis) -> u32 {
        let report = self.loads.get(target);
        let fresh = report.filter(|(_, at)| now - *at < FORGET_MS);
        fresh.map_or(0, |(load, _)| load.busy)
    }

    /// Counts the other hosts' training streams on a target.
    pub(super) fn elsewhere(&self, target: &TargetName, now: Millis) -> u32 {
        let streams = self.heard(now).flat_map(|portion| &portion.streams);
        let own = streams.filter(|(name, _)| name == target);
        own.map(|(_, streams)| streams).sum()
    }

    /// Returns a host's part of the streams that a target may train. The parts add up to all.
    pub(super) fn part(
        &self,
        own: &HostName,
        service: &ServiceName,
        shares: u32,
        allowed: u32,
        now: Millis,
    ) -> u32 {
        let mut before = 0;
        let mut all = shares;
        for portion in self.heard(now) {
            let wanted = portion.shares.iter().filter(|(name, _)| name == service);
            let wanted: u32 = wanted.map(|(_, shares)| shares).sum();
            all += wanted;
            if portion.host < *own {
                before += wanted;
            }
        }
        if all == 0 {
            return allowed;
        }
        let up_to = |shares: u32| u64::from(allowed) * u64::from(shares) / u64::from(all);
        (up_to(before + shares) - up_to(before)) as u32
    }

    fn heard(&self, now: Millis) -> impl Iterator<Item = &Portion> {
        let hosts = self.hosts.values();
        hosts
            .filter(move |(_, at)| now - *at < FORGET_MS)
            .map(|(portion, _)| portion)
    }
}
