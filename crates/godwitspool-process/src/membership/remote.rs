//! Datagram contents, and probes between data centres.

use std::net::SocketAddr;

use godwitspool_types::{Dc, Millis};
use rand::{Rng, seq::IndexedRandom};

use super::{
    Datagram, DcContact, Health, MAX_DATAGRAM_BYTES, MemberRecord, Membership, MembershipAction,
    Message, core::send, table::rank,
};

/// Space in a datagram reserved for its message, numbers and length prefixes.
const FRAME_OVERHEAD_BYTES: usize = 160;
/// Upper bound on the delivery time of a datagram within a data centre. It is added to every
/// received contact age; otherwise an age that hosts pass on would grow slower than real time.
const MAX_HOP_DELAY: Millis = Millis(10);
/// Number of rounds in each `remote_interval` over which the probes are spread.
const REMOTE_ROUNDS: u64 = 8;

impl Membership {
    /// Builds a datagram and fills it with pending updates.
    ///
    /// If the receiver is suspected or down, its own record is included so that it can refute it.
    /// `fill` adds further records round-robin, for a receiver whose table differs from this one.
    pub(super) fn datagram(
        &mut self,
        message: Message,
        to: Option<&MemberRecord>,
        fill: bool,
        now: Millis,
    ) -> Datagram {
        let local = to.is_none_or(|to| to.dc == self.own.dc);
        let heard = if local {
            self.contact_ages(now)
        } else {
            Vec::new()
        };
        let heard_bytes: usize = heard
            .iter()
            .map(|dc_contact| dc_contact.dc.as_str().len() + 12)
            .sum();
        let used = FRAME_OVERHEAD_BYTES + self.own.bytes() + heard_bytes;
        let mut room = MAX_DATAGRAM_BYTES.saturating_sub(used);
        let max_sends = self.rules.max_sends(self.table.local().count() + 1);
        let mut updates = Vec::new();
        let about = to.and_then(|to| self.table.get(&to.host));
        if let Some(known) = about.filter(|known| known.record.health != Health::Alive) {
            push(&mut updates, &mut room, &known.record);
        }
        let rumors = self.queue.take_rumors(&mut room, max_sends, now);
        self.add_updates(&mut updates, &mut room, local, max_sends);
        if fill {
            self.add_round_robin(&mut updates, &mut room);
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

    /// Adds queued records until the room is used up.
    ///
    /// Datagrams to another data centre start with the local relays; other local hosts are only
    /// included if they are suspected or down.
    fn add_updates(
        &mut self,
        updates: &mut Vec<MemberRecord>,
        room: &mut usize,
        local: bool,
        max_sends: u32,
    ) {
        if !local {
            for record in self.relays() {
                push(updates, room, &record);
            }
        }
        for host in self.queue.next_hosts(max_sends) {
            let Some(record) = self.table.get(&host).map(|known| known.record.clone()) else {
                self.queue.count_host_send(&host);
                continue;
            };
            let skipped = !local && record.dc == self.own.dc && record.health == Health::Alive;
            if skipped || updates.iter().any(|update| update.host == host) {
                continue;
            }
            if !push(updates, room, &record) {
                return;
            }
            self.queue.count_host_send(&host);
        }
    }

    fn add_round_robin(&mut self, updates: &mut Vec<MemberRecord>, room: &mut usize) {
        let live = |record: &&MemberRecord| record.health != Health::Down;
        let records: Vec<_> = self
            .table
            .all()
            .map(|known| &known.record)
            .filter(live)
            .collect();
        let from = self.fill_after.as_ref();
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
        self.fill_after = last.or_else(|| self.fill_after.take());
    }

    /// Returns the relays: the alive hosts with the lowest ranks in the local data centre. Only
    /// they send the periodic probes to other data centres.
    fn relays(&self) -> Vec<MemberRecord> {
        let local = self
            .table
            .local()
            .filter(|record| record.health == Health::Alive);
        let mut relays: Vec<_> = local.chain([&self.own]).collect();
        relays.sort_by_key(|record| rank(&record.host));
        relays
            .into_iter()
            .take(self.rules.relays)
            .cloned()
            .collect()
    }

    fn is_relay(&self) -> bool {
        let own = rank(&self.own.host);
        let local = self
            .table
            .local()
            .filter(|record| record.health == Health::Alive);
        local.filter(|record| rank(&record.host) < own).count() < self.rules.relays
    }

    /// Probes one host of each other data centre that is due, if this host is a relay.
    pub(super) fn probe_remote(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if now < self.next_remote || !self.is_relay() {
            return;
        }
        for dc in self.other_dcs() {
            let due = self.remote_due.get(&dc).copied().unwrap_or_default();
            if now < due {
                continue;
            }
            let span = self.rules.remote_interval.0 * rng.random_range(75..=125) / 100;
            self.remote_due.insert(dc.clone(), now + Millis(span));
            if let Some((to, record)) = self.pick_remote(&dc, rng) {
                let sequence = self.sequence();
                let ping = self.datagram(Message::Ping { sequence }, Some(&record), false, now);
                actions.push(send(to, ping));
            }
        }
        self.next_remote = now + Millis(self.rules.remote_interval.0 / REMOTE_ROUNDS);
    }

    fn other_dcs(&self) -> Vec<Dc> {
        let listed = self.listed.iter().map(|entry| entry.dc.clone());
        let mut dcs: Vec<_> = listed.chain(self.table.remote_dcs()).collect();
        dcs.sort();
        dcs.dedup();
        dcs.retain(|dc| *dc != self.own.dc);
        dcs
    }

    /// Picks a random host of another data centre from the member table and the host list.
    fn pick_remote(&self, dc: &Dc, rng: &mut impl Rng) -> Option<(SocketAddr, MemberRecord)> {
        let known = self
            .table
            .remote()
            .filter(|record| record.dc == *dc)
            .cloned();
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

    /// Probes a random host of the local data centre that is down, or is in the host list but not
    /// in the member table.
    pub(super) fn probe_absent(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let listed = self.listed.iter().filter(|entry| entry.dc == self.own.dc);
        let listed = listed.map(MemberRecord::from);
        let known = self
            .table
            .in_dc(&self.own.dc)
            .map(|known| known.record.clone());
        let mut absent: Vec<_> = listed.chain(known).collect();
        absent.retain(|record| {
            let known = self.table.get(&record.host);
            let present = known.is_some_and(|known| known.record.health != Health::Down);
            record.host != self.own.host && !present
        });
        if let Some(record) = absent.choose(rng).cloned() {
            let sequence = self.sequence();
            let ping = self.datagram(Message::Ping { sequence }, Some(&record), false, now);
            actions.push(send(record.steward, ping));
        }
    }

    /// Records contact with another data centre, made by this host or reported by the sender.
    pub(super) fn record_contact(&mut self, datagram: &Datagram, now: Millis) {
        let sender = &datagram.sender.dc;
        if *sender != self.own.dc {
            self.last_contact.insert(sender.clone(), now);
            return;
        }
        for dc_contact in &datagram.heard {
            let at = now - (dc_contact.age + MAX_HOP_DELAY);
            let known = self.last_contact.entry(dc_contact.dc.clone()).or_insert(at);
            *known = at.max(*known);
        }
    }

    /// Returns whether the last contact with a data centre is recent enough that it is not cut off.
    pub(super) fn has_contact(&self, dc: &Dc, now: Millis) -> bool {
        let contact = self.last_contact.get(dc);
        contact.is_some_and(|at| now - *at < self.rules.remote_timeout)
    }

    pub(super) fn update_cut_off(&mut self, now: Millis, actions: &mut Vec<MembershipAction>) {
        let dcs = self.other_dcs();
        let unreachable = dcs
            .into_iter()
            .filter(|dc| !self.has_contact(dc, now))
            .collect();
        if self.cut_off_dcs != unreachable {
            self.cut_off_dcs = unreachable;
            actions.push(MembershipAction::Changed);
        }
    }

    fn contact_ages(&self, now: Millis) -> Vec<DcContact> {
        let contacts = self.last_contact.iter().map(|(dc, at)| DcContact {
            dc: dc.clone(),
            age: now - *at,
        });
        contacts
            .filter(|dc_contact| dc_contact.age < self.rules.remote_timeout)
            .collect()
    }
}

/// Adds a record if it fits into the room that is left, and returns whether it did.
fn push(updates: &mut Vec<MemberRecord>, room: &mut usize, record: &MemberRecord) -> bool {
    let Some(left) = room.checked_sub(record.bytes()) else {
        return false;
    };
    *room = left;
    updates.push(record.clone());
    true
}
