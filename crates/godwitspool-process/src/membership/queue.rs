//! Updates and rumors that are still being spread.

use std::collections::BTreeMap;

use godwitspool_types::{HostName, Millis, TargetName};
use serde::{Deserialize, Serialize};

const MAX_RUMORS: usize = 512;
/// Time after which a rumor is forgotten.
const RUMOR_LIFETIME: Millis = Millis(60_000);

/// Gossip that is not about a host. It spreads to all hosts and is forgotten after a minute.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rumor {
    /// Contents; a host keeps one rumor for each distinct body.
    pub body: RumorBody,
    /// Time since the rumor was started.
    pub age: Millis,
}

/// The contents of a rumor.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RumorBody {
    /// A target accepts no new work.
    LeavingTarget(TargetName),
    /// Requests with this fingerprint crash targets.
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

/// Hosts and rumors to spread, with the number of datagrams each was sent in.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    hosts: BTreeMap<HostName, u32>,
    rumors: BTreeMap<RumorBody, RumorState>,
}

#[derive(Clone, Copy, Debug)]
struct RumorState {
    created: Millis,
    sent: u32,
}

impl GossipQueue {
    /// Queues a host's record, with its send count reset.
    pub fn push_host(&mut self, host: &HostName) {
        self.hosts.insert(host.clone(), 0);
    }

    /// Queues a rumor and returns whether it is new.
    ///
    /// A rumor that is known, too old or finds the queue full is dropped.
    pub fn push_rumor(&mut self, rumor: &Rumor, now: Millis) -> bool {
        let full = self.rumors.len() >= MAX_RUMORS;
        if full || rumor.age >= RUMOR_LIFETIME || self.rumors.contains_key(&rumor.body) {
            return false;
        }
        let created = now - rumor.age;
        self.rumors
            .insert(rumor.body.clone(), RumorState { created, sent: 0 });
        true
    }

    /// Returns the queued hosts, least sent first, and drops those sent `max_sends` times.
    pub fn next_hosts(&mut self, max_sends: u32) -> Vec<HostName> {
        self.hosts.retain(|_, sent| *sent < max_sends);
        let mut hosts: Vec<_> = self
            .hosts
            .iter()
            .map(|(host, sent)| (*sent, host))
            .collect();
        hosts.sort();
        hosts.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// Counts a datagram that contains a host's record.
    pub fn count_host_send(&mut self, host: &HostName) {
        if let Some(sent) = self.hosts.get_mut(host) {
            *sent += 1;
        }
    }

    /// Takes rumors for a datagram, least sent first, and reduces `room` by their size. They use at
    /// most half of it; the rest is left for host records.
    pub fn take_rumors(&mut self, room: &mut usize, max_sends: u32, now: Millis) -> Vec<Rumor> {
        let min_room = *room / 2;
        self.rumors
            .retain(|_, state| now - state.created < RUMOR_LIFETIME);
        let mut pending: Vec<_> = self
            .rumors
            .iter_mut()
            .filter(|(_, state)| state.sent < max_sends)
            .collect();
        pending.sort_by_key(|(_, state)| state.sent);
        let mut taken = Vec::new();
        for (body, state) in pending {
            let rumor = Rumor {
                body: body.clone(),
                age: now - state.created,
            };
            if *room < min_room + rumor.bytes() {
                break;
            }
            *room -= rumor.bytes();
            state.sent += 1;
            taken.push(rumor);
        }
        taken
    }
}
