//! The hosts that are known.

use std::collections::BTreeMap;

use godwitspool_types::{Dc, HostName, Millis};
use rapidhash::v3::rapidhash_v3;

use super::{Health, MemberRecord, MembershipRules};

/// Hosts of another data centre that are kept, beside its relays.
const SPARE_CONTACTS: usize = 2;

/// The hosts that are known, the own one aside.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    dc: Dc,
    /// Of the hosts that are not gone.
    digest: u64,
    hosts: BTreeMap<HostName, Known>,
}

/// A host that is known.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub record: MemberRecord,
    /// When the record's health came to hold here.
    pub since: Millis,
}

impl Table {
    pub fn new(dc: Dc) -> Self {
        Self {
            dc,
            ..Self::default()
        }
    }

    /// Takes a record and tells whether it is news.
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

    /// Drops the records of another data centre that stand behind its first few.
    pub fn bound_contacts(&mut self, dc: &Dc, relays: usize) {
        let mut contacts: Vec<_> = self.of(dc).map(|known| known.record.clone()).collect();
        contacts.sort_by_key(|record| (record.health == Health::Down, rank(&record.host)));
        for record in contacts.iter().skip(relays + SPARE_CONTACTS) {
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
    pub fn of<'a>(&'a self, dc: &'a Dc) -> impl Iterator<Item = &'a Known> {
        self.all().filter(move |known| known.record.dc == *dc)
    }

    /// Returns the hosts of the own data centre that are not gone.
    pub fn near(&self) -> impl Iterator<Item = &MemberRecord> {
        let near = self.of(&self.dc).map(|known| &known.record);
        near.filter(|record| record.health != Health::Down)
    }

    /// Returns the hosts of other data centres that are not gone.
    pub fn far(&self) -> impl Iterator<Item = &MemberRecord> {
        let far = self.all().map(|known| &known.record);
        far.filter(|record| record.dc != self.dc && record.health != Health::Down)
    }

    /// Returns the other data centres of which a host is known.
    pub fn far_dcs(&self) -> Vec<Dc> {
        let mut dcs: Vec<_> = self.far().map(|record| record.dc.clone()).collect();
        dcs.sort();
        dcs.dedup();
        dcs
    }

    /// Turns hosts that were suspected for too long into hosts that are gone.
    pub fn expire(&mut self, rules: &MembershipRules, now: Millis) -> Vec<MemberRecord> {
        let patience = rules.suspicion(self.near().count() + 1);
        let dc = &self.dc;
        let mut gone = Vec::new();
        for known in self.hosts.values_mut() {
            let suspect = known.record.health == Health::Suspect && known.record.dc == *dc;
            if suspect && now - known.since >= patience {
                self.digest ^= hash(&known.record);
                known.record.health = Health::Down;
                known.since = now;
                gone.push(known.record.clone());
            }
        }
        self.hosts.retain(|_, known| {
            known.record.health != Health::Down || now - known.since < rules.remember
        });
        gone
    }

    /// Puts suspicions off by a time in which this process did not run.
    pub fn put_off(&mut self, pause: Millis) {
        for known in self.hosts.values_mut() {
            known.since = known.since + pause;
        }
    }

    /// Returns a digest of the hosts that are not gone, the own record included.
    pub fn digest(&self, own: &MemberRecord) -> u64 {
        self.digest ^ hash(own)
    }
}

/// Nothing for a host that is gone, since others may have forgotten it.
fn hash(record: &MemberRecord) -> u64 {
    if record.health == Health::Down {
        return 0;
    }
    let mut bytes = record.host.as_str().as_bytes().to_vec();
    bytes.extend(record.life.0.to_le_bytes());
    bytes.extend(record.version.to_le_bytes());
    rapidhash_v3(&bytes)
}

/// Returns the place of a host in the order by which relays are taken.
pub(super) fn rank(host: &HostName) -> u64 {
    rapidhash_v3(host.as_str().as_bytes())
}
