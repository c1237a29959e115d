//! The table of known hosts.

use std::collections::BTreeMap;

use godwitspool_types::{Dc, HostName, Millis};
use rapidhash::v3::rapidhash_v3;

use super::{Health, MemberRecord, MembershipRules};

/// Hosts of another data centre that are kept in addition to its relays.
const SPARE_REMOTE_HOSTS: usize = 2;

/// All known hosts except the local one.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    dc: Dc,
    /// Digest of the hosts that are not down.
    digest: u64,
    hosts: BTreeMap<HostName, Known>,
}

#[derive(Clone, Debug)]
pub(super) struct Known {
    pub record: MemberRecord,
    /// When the record or its health last changed here, shifted by pauses of this process.
    pub since: Millis,
}

impl Table {
    pub fn new(dc: Dc) -> Self {
        Self {
            dc,
            ..Self::default()
        }
    }

    /// Stores a record if it replaces the known one, and returns whether it did.
    pub fn merge(&mut self, record: &MemberRecord, now: Millis) -> bool {
        let known = self.hosts.get(&record.host);
        if known.is_some_and(|known| !record.replaces(&known.record)) {
            return false;
        }
        self.digest ^= known.map_or(0, |known| hash(&known.record)) ^ hash(record);
        let known = Known {
            record: record.clone(),
            since: now,
        };
        self.hosts.insert(record.host.clone(), known);
        true
    }

    /// Limits the records of another data centre to its relays and a few spare hosts.
    ///
    /// Hosts that are down are dropped first, then those with the highest ranks.
    pub fn limit_remote(&mut self, dc: &Dc, relays: usize) {
        let mut records: Vec<_> = self.in_dc(dc).map(|known| known.record.clone()).collect();
        records.sort_by_key(|record| (record.health == Health::Down, rank(&record.host)));
        for record in records.iter().skip(relays + SPARE_REMOTE_HOSTS) {
            self.hosts.remove(&record.host);
            self.digest ^= hash(record);
        }
    }

    pub fn get(&self, host: &HostName) -> Option<&Known> {
        self.hosts.get(host)
    }

    pub fn all(&self) -> impl Iterator<Item = &Known> {
        self.hosts.values()
    }

    /// Returns the hosts of a data centre.
    pub fn in_dc<'a>(&'a self, dc: &'a Dc) -> impl Iterator<Item = &'a Known> {
        self.all().filter(move |known| known.record.dc == *dc)
    }

    /// Returns the hosts of the local data centre that are not down.
    pub fn local(&self) -> impl Iterator<Item = &MemberRecord> {
        let local = self.in_dc(&self.dc).map(|known| &known.record);
        local.filter(|record| record.health != Health::Down)
    }

    /// Returns the hosts of other data centres that are not down.
    pub fn remote(&self) -> impl Iterator<Item = &MemberRecord> {
        let remote = self.all().map(|known| &known.record);
        remote.filter(|record| record.dc != self.dc && record.health != Health::Down)
    }

    /// Returns the other data centres with at least one known host that is not down.
    pub fn remote_dcs(&self) -> Vec<Dc> {
        let mut dcs: Vec<_> = self.remote().map(|record| record.dc.clone()).collect();
        dcs.sort();
        dcs.dedup();
        dcs
    }

    /// Marks local hosts as down whose suspicion timed out, and returns them. Also forgets hosts
    /// that have been down for the retention time.
    pub fn expire(&mut self, rules: &MembershipRules, now: Millis) -> Vec<MemberRecord> {
        let timeout = rules.suspicion_timeout(self.local().count() + 1);
        let dc = &self.dc;
        let mut expired = Vec::new();
        for known in self.hosts.values_mut() {
            let suspect = known.record.health == Health::Suspect && known.record.dc == *dc;
            if suspect && now - known.since >= timeout {
                self.digest ^= hash(&known.record);
                known.record.health = Health::Down;
                known.since = now;
                expired.push(known.record.clone());
            }
        }
        self.hosts.retain(|_, known| {
            known.record.health != Health::Down || now - known.since < rules.down_retention
        });
        expired
    }

    /// Extends all suspicions and retention times by a pause in which this process did not run.
    pub fn extend_suspicions(&mut self, pause: Millis) {
        for known in self.hosts.values_mut() {
            known.since = known.since + pause;
        }
    }

    /// Returns a digest of the hosts that are not down, including the local host's own record.
    pub fn digest(&self, own: &MemberRecord) -> u64 {
        self.digest ^ hash(own)
    }
}

/// Returns a record's part of the digest: 0 for a host that is down, since other hosts may have
/// forgotten it.
fn hash(record: &MemberRecord) -> u64 {
    if record.health == Health::Down {
        return 0;
    }
    let mut bytes = record.host.as_str().as_bytes().to_vec();
    bytes.extend(record.life.0.to_le_bytes());
    bytes.extend(record.version.to_le_bytes());
    rapidhash_v3(&bytes)
}

/// Returns the rank of a host; the hosts with the lowest ranks are relays.
pub(super) fn rank(host: &HostName) -> u64 {
    rapidhash_v3(host.as_str().as_bytes())
}
