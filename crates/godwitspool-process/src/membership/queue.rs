//! News that is still to be spread.

use std::collections::BTreeMap;

use godwitspool_types::{HostName, Millis, TargetName};
use serde::{Deserialize, Serialize};

const MAX_RUMORS: usize = 512;
/// Time after which a rumor is no longer passed on.
const RUMOR_LIFE: Millis = Millis(60_000);

/// News beside that of hosts. It spreads to all hosts and is forgotten after a minute.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rumor {
    /// What it says.
    pub body: RumorBody,
    /// Time since it was told first.
    pub age: Millis,
}

/// What a rumor says.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RumorBody {
    /// A target takes no new work.
    LeavingTarget(TargetName),
    /// Requests of a fingerprint crash targets.
    Quarantined(u64),
}

impl Rumor {
    /// Returns an upper bound of the rumor's size in a datagram.
    fn bytes(&self) -> usize {
        const NUMBERS_BYTES: usize = 22;
        match &self.body {
            RumorBody::LeavingTarget(target) => target.as_str().len() + NUMBERS_BYTES,
            RumorBody::Quarantined(_) => NUMBERS_BYTES,
        }
    }
}

/// Which news was sent how often.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    hosts: BTreeMap<HostName, u32>,
    rumors: BTreeMap<RumorBody, Spread>,
}

#[derive(Clone, Copy, Debug)]
struct Spread {
    born: Millis,
    sent: u32,
}

impl Queue {
    /// Spreads a host's record from now on.
    pub fn push_host(&mut self, host: &HostName) {
        self.hosts.insert(host.clone(), 0);
    }

    /// Spreads a rumor and tells whether it is news.
    pub fn push_rumor(&mut self, rumor: &Rumor, now: Millis) -> bool {
        let full = self.rumors.len() >= MAX_RUMORS;
        if full || rumor.age >= RUMOR_LIFE || self.rumors.contains_key(&rumor.body) {
            return false;
        }
        let born = now - rumor.age;
        self.rumors
            .insert(rumor.body.clone(), Spread { born, sent: 0 });
        true
    }

    /// Takes the hosts to tell about next, least told first, each at most `sends` times.
    pub fn next_hosts(&mut self, sends: u32) -> Vec<HostName> {
        self.hosts.retain(|_, sent| *sent < sends);
        let mut hosts: Vec<_> = self
            .hosts
            .iter()
            .map(|(host, sent)| (*sent, host))
            .collect();
        hosts.sort();
        hosts.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// Notes that a host was told about.
    pub fn sent_host(&mut self, host: &HostName) {
        if let Some(sent) = self.hosts.get_mut(host) {
            *sent += 1;
        }
    }

    /// Takes rumors for a datagram; they use at most half of the room that is left.
    pub fn take_rumors(&mut self, room: &mut usize, sends: u32, now: Millis) -> Vec<Rumor> {
        let least = *room / 2;
        self.rumors
            .retain(|_, spread| now - spread.born < RUMOR_LIFE);
        let mut waiting: Vec<_> = self
            .rumors
            .iter_mut()
            .filter(|(_, spread)| spread.sent < sends)
            .collect();
        waiting.sort_by_key(|(_, spread)| spread.sent);
        let mut taken = Vec::new();
        for (body, spread) in waiting {
            let rumor = Rumor {
                body: body.clone(),
                age: now - spread.born,
            };
            if *room < least + rumor.bytes() {
                break;
            }
            *room -= rumor.bytes();
            spread.sent += 1;
            taken.push(rumor);
        }
        taken
    }
}
