//! What goes into a datagram, and what passes between data centres.

use std::net::SocketAddr;

use godwitspool_types::{Dc, Millis};
use rand::{Rng, seq::IndexedRandom};

use super::{
    DATAGRAM_BYTES, Datagram, DcHeard, Health, MemberRecord, Membership, MembershipAction, Message,
    core::send, table::rank,
};

/// Room for a datagram's message, numbers and lengths.
const FRAME_BYTES: usize = 160;
/// Most time that a datagram takes within a data centre; without it, an age that is passed around
/// would not grow as fast as time passes.
const HOP: Millis = Millis(10);
/// Rounds over which the probes of other data centres are spread.
const DISTANT_ROUNDS: u64 = 8;

impl Membership {
    /// Builds a datagram and fills it with news.
    ///
    /// A host that is told about itself can refute. `fill` adds further hosts in turn, for a receiver
    /// that is known to know others.
    pub(super) fn datagram(
        &mut self,
        message: Message,
        to: Option<&MemberRecord>,
        fill: bool,
        now: Millis,
    ) -> Datagram {
        let near = to.is_none_or(|to| to.dc == self.own.dc);
        let heard = if near {
            self.heard_ages(now)
        } else {
            Vec::new()
        };
        let heard_bytes: usize = heard.iter().map(|heard| heard.dc.as_str().len() + 12).sum();
        let used = FRAME_BYTES + self.own.bytes() + heard_bytes;
        let mut room = DATAGRAM_BYTES.saturating_sub(used);
        let sends = self.rules.sends(self.table.near().count() + 1);
        let mut updates = Vec::new();
        let about = to.and_then(|to| self.table.get(&to.host));
        if let Some(known) = about.filter(|known| known.record.health != Health::Alive) {
            push(&mut updates, &mut room, &known.record);
        }
        let rumors = self.queue.take_rumors(&mut room, sends, now);
        self.add_news(&mut updates, &mut room, near, sends);
        if fill {
            self.add_in_turn(&mut updates, &mut room);
        }
        Datagram {
            message,
            sender: self.own.clone(),
            digest: self.table.digest(&self.own),
            hints: self.hints,
            heard,
            updates,
            rumors,
        }
    }

    fn add_news(
        &mut self,
        updates: &mut Vec<MemberRecord>,
        room: &mut usize,
        near: bool,
        sends: u32,
    ) {
        if !near {
            for record in self.relays() {
                push(updates, room, &record);
            }
        }
        for host in self.queue.next_hosts(sends) {
            let Some(record) = self.table.get(&host).map(|known| known.record.clone()) else {
                self.queue.sent_host(&host);
                continue;
            };
            let told = !near && record.dc == self.own.dc && record.health == Health::Alive;
            if told || updates.iter().any(|update| update.host == host) {
                continue;
            }
            if !push(updates, room, &record) {
                return;
            }
            self.queue.sent_host(&host);
        }
    }

    fn add_in_turn(&mut self, updates: &mut Vec<MemberRecord>, room: &mut usize) {
        let live = |record: &&MemberRecord| record.health != Health::Down;
        let records: Vec<_> = self
            .table
            .all()
            .map(|known| &known.record)
            .filter(live)
            .collect();
        let from = self.fill_from.as_ref();
        let start = records
            .iter()
            .position(|record| from.is_none_or(|from| record.host > *from));
        let turned = records
            .iter()
            .cycle()
            .skip(start.unwrap_or(0))
            .take(records.len());
        let mut last = None;
        for record in turned {
            if !push(updates, room, record) {
                break;
            }
            last = Some(record.host.clone());
        }
        self.fill_from = last.or_else(|| self.fill_from.take());
    }

    // --- Relays

    /// Returns the hosts of the own data centre that speak with others: the first few by rank.
    fn relays(&self) -> Vec<MemberRecord> {
        let near = self
            .table
            .near()
            .filter(|record| record.health == Health::Alive);
        let mut relays: Vec<_> = near.chain([&self.own]).collect();
        relays.sort_by_key(|record| rank(&record.host));
        relays
            .into_iter()
            .take(self.rules.relays)
            .cloned()
            .collect()
    }

    fn is_relay(&self) -> bool {
        let own = rank(&self.own.host);
        let near = self
            .table
            .near()
            .filter(|record| record.health == Health::Alive);
        near.filter(|record| rank(&record.host) < own).count() < self.rules.relays
    }

    /// Probes other data centres, if this host is a relay.
    pub(super) fn ping_distant(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if now < self.next_distant || !self.is_relay() {
            return;
        }
        for dc in self.other_dcs() {
            let due = self.distant_due.get(&dc).copied().unwrap_or_default();
            if now < due {
                continue;
            }
            let span = self.rules.distant.0 * rng.random_range(75..=125) / 100;
            self.distant_due.insert(dc.clone(), now + Millis(span));
            if let Some((to, record)) = self.pick_distant(&dc, rng) {
                let sequence = self.sequence();
                let ping = self.datagram(Message::Ping { sequence }, Some(&record), false, now);
                actions.push(send(to, ping));
            }
        }
        self.next_distant = now + Millis(self.rules.distant.0 / DISTANT_ROUNDS);
    }

    fn other_dcs(&self) -> Vec<Dc> {
        let listed = self.listed.iter().map(|entry| entry.dc.clone());
        let mut dcs: Vec<_> = listed.chain(self.table.far_dcs()).collect();
        dcs.sort();
        dcs.dedup();
        dcs.retain(|dc| *dc != self.own.dc);
        dcs
    }

    /// Picks a host of another data centre, known from gossip or only from the list.
    fn pick_distant(&self, dc: &Dc, rng: &mut impl Rng) -> Option<(SocketAddr, MemberRecord)> {
        let known = self.table.far().filter(|record| record.dc == *dc).cloned();
        let mut hosts: Vec<_> = known.collect();
        for entry in self.listed.iter().filter(|entry| entry.dc == *dc) {
            if !hosts.iter().any(|record| record.host == entry.host) {
                hosts.push(MemberRecord::from(entry));
            }
        }
        hosts
            .choose(rng)
            .map(|record| (record.steward, record.clone()))
    }

    /// Probes a host of the own data centre that is listed or was known, but isn't there.
    pub(super) fn ping_absent(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let listed = self.listed.iter().filter(|entry| entry.dc == self.own.dc);
        let listed = listed.map(MemberRecord::from);
        let known = self
            .table
            .of(&self.own.dc)
            .map(|known| known.record.clone());
        let mut absent: Vec<_> = listed.chain(known).collect();
        absent.retain(|record| {
            let known = self.table.get(&record.host);
            let there = known.is_some_and(|known| known.record.health != Health::Down);
            record.host != self.own.host && !there
        });
        if let Some(record) = absent.choose(rng).cloned() {
            let sequence = self.sequence();
            let ping = self.datagram(Message::Ping { sequence }, Some(&record), false, now);
            actions.push(send(record.steward, ping));
        }
    }

    // --- What is heard

    /// Notes that a data centre was heard, here or by the sender.
    pub(super) fn hear(&mut self, datagram: &Datagram, now: Millis) {
        let sender = &datagram.sender.dc;
        if *sender != self.own.dc {
            self.heard.insert(sender.clone(), now);
            return;
        }
        for heard in &datagram.heard {
            let at = now - (heard.age + HOP);
            let known = self.heard.entry(heard.dc.clone()).or_insert(at);
            *known = at.max(*known);
        }
    }

    pub(super) fn hears(&self, dc: &Dc, now: Millis) -> bool {
        let heard = self.heard.get(dc);
        heard.is_some_and(|at| now - *at < self.rules.cut_off)
    }

    pub(super) fn note_cuts(&mut self, now: Millis, actions: &mut Vec<MembershipAction>) {
        let dcs = self.other_dcs();
        let cut = dcs.into_iter().filter(|dc| !self.hears(dc, now)).collect();
        if self.cut != cut {
            self.cut = cut;
            actions.push(MembershipAction::Changed);
        }
    }

    fn heard_ages(&self, now: Millis) -> Vec<DcHeard> {
        let heard = self.heard.iter().map(|(dc, at)| DcHeard {
            dc: dc.clone(),
            age: now - *at,
        });
        heard
            .filter(|heard| heard.age < self.rules.cut_off)
            .collect()
    }
}

fn push(updates: &mut Vec<MemberRecord>, room: &mut usize, record: &MemberRecord) -> bool {
    let Some(left) = room.checked_sub(record.bytes()) else {
        return false;
    };
    *room = left;
    updates.push(record.clone());
    true
}
