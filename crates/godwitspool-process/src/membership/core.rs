//! The membership state machine, without input or output.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use godwitspool_connection::{messages::Member, platform::HostEntry};
use godwitspool_types::{Dc, HostName, Millis};
use rand::{Rng, seq::SliceRandom};

use super::{
    Datagram, Health, Hints, MemberRecord, MembershipRules, Message, Rumor, RumorBody,
    probe::{IndirectProbe, Probe},
    queue::GossipQueue,
    table::Table,
};

/// An input to [`Membership::decide`].
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// The local process shuts down.
    Stop,
    /// The local process learned of higher positions in the log.
    RaiseHints(Hints),
    /// The local host stops accepting work.
    Leave,
    /// A list of hosts from the platform, which may be out of date, or from the settings.
    HostList(Vec<HostEntry>),
    /// A datagram was received.
    Received {
        /// Address it was received from.
        from: SocketAddr,
        /// The decoded datagram.
        datagram: Box<Datagram>,
    },
    /// The local process starts a rumor.
    SpreadRumor(RumorBody),
    /// Advances time; due about every 25 ms.
    Tick,
}

/// An output of [`Membership::decide`], to be executed by the caller.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// Notify subscribers that the members or the hints have changed.
    Changed,
    /// Notify subscribers of a rumor that was received for the first time.
    NewRumor(RumorBody),
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// The datagram to encode and send.
        datagram: Box<Datagram>,
    },
}

/// Event counters of one host, since its process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MembershipCounts {
    /// Hosts of the local data centre declared down by this host.
    pub downs: u64,
    /// Times this process did not run for two probe intervals or more.
    pub pauses: u64,
    /// Suspicions of this host that it refuted.
    pub refuted: u64,
    /// Suspicions of other hosts raised by this host.
    pub suspected: u64,
    /// Records received under this host's name with a higher incarnation than its own.
    pub twins: u64,
}

/// One host's view of the other hosts.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) counts: MembershipCounts,
    pub(super) cut_off_dcs: BTreeSet<Dc>,
    pub(super) remote_due: BTreeMap<Dc, Millis>,
    pub(super) indirect_probes: Vec<IndirectProbe>,
    pub(super) fill_after: Option<HostName>,
    pub(super) last_contact: BTreeMap<Dc, Millis>,
    pub(super) hints: Hints,
    last_tick: Millis,
    pub(super) listed: Vec<HostEntry>,
    listed_leaving: BTreeSet<HostName>,
    pub(super) next_remote: Millis,
    next_probe: Millis,
    next_sequence: u64,
    probe_order: Vec<HostName>,
    pub(super) own: MemberRecord,
    pub(super) probes: Vec<Probe>,
    pub(super) queue: GossipQueue,
    pub(super) rules: MembershipRules,
    probe_absent_next: bool,
    pub(super) table: Table,
}

impl Membership {
    /// Creates the state of a host that knows only itself.
    pub fn new(own: MemberRecord, rules: MembershipRules, now: Millis) -> Self {
        let mut queue = GossipQueue::default();
        queue.push_host(&own.host);
        Self {
            counts: MembershipCounts::default(),
            cut_off_dcs: BTreeSet::new(),
            remote_due: BTreeMap::new(),
            indirect_probes: Vec::new(),
            fill_after: None,
            last_contact: BTreeMap::new(),
            hints: Hints::default(),
            last_tick: now,
            listed: Vec::new(),
            listed_leaving: BTreeSet::new(),
            next_remote: now,
            next_probe: now,
            next_sequence: 1,
            probe_order: Vec::new(),
            probes: Vec::new(),
            queue,
            rules,
            probe_absent_next: false,
            table: Table::new(own.dc.clone()),
            own,
        }
    }

    /// Returns the hosts that are not down, this one included: all known hosts of the local data
    /// centre, and some of each other data centre that is not cut off.
    pub fn members(&self, now: Millis) -> Vec<Member> {
        let remote = self
            .table
            .remote()
            .filter(|record| self.has_contact(&record.dc, now));
        let records = self.table.local().chain(remote).chain([&self.own]);
        let mut members: Vec<_> = records
            .map(|record| Member {
                leaving: record.leaving || self.listed_leaving.contains(&record.host),
                ..Member::from(record)
            })
            .collect();
        members.sort();
        members
    }

    /// Returns the highest positions in the log that any host has reported.
    pub fn hints(&self) -> Hints {
        self.hints
    }

    /// Returns the event counters.
    pub fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// Returns the local host's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the cut-off data centres: those with which no host of the local data centre had
    /// contact within [`MembershipRules::remote_timeout`].
    pub fn cut_off(&self) -> &BTreeSet<Dc> {
        &self.cut_off_dcs
    }

    /// Applies an event and returns the actions that follow from it.
    pub fn decide(
        &mut self,
        event: MembershipEvent,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match event {
            MembershipEvent::Stop => {
                self.own.health = Health::Down;
                self.announce(now, rng, &mut actions);
            }
            MembershipEvent::RaiseHints(hints) => {
                self.hints.raise(hints);
            }
            MembershipEvent::Leave if self.own.leaving => {}
            MembershipEvent::Leave => {
                self.own.leaving = true;
                self.announce(now, rng, &mut actions);
            }
            MembershipEvent::HostList(listed) => {
                if self.listed != listed {
                    let leaving = listed.iter().filter(|entry| entry.leaving);
                    self.listed_leaving = leaving.map(|entry| entry.host.clone()).collect();
                    self.listed = listed;
                    actions.push(MembershipAction::Changed);
                }
            }
            MembershipEvent::Received { from, datagram } => {
                self.receive(from, &datagram, now, &mut actions);
            }
            MembershipEvent::SpreadRumor(body) => {
                let age = Millis::ZERO;
                self.queue.push_rumor(&Rumor { body, age }, now);
                self.broadcast(now, rng, &mut actions);
            }
            MembershipEvent::Tick => self.tick(now, rng, &mut actions),
        }
        actions
    }

    fn tick(&mut self, now: Millis, rng: &mut impl Rng, actions: &mut Vec<MembershipAction>) {
        self.detect_pause(now);
        self.check_probes(now, rng, actions);
        for record in self.table.expire(&self.rules, now) {
            self.counts.downs += 1;
            self.queue.push_host(&record.host);
            actions.push(MembershipAction::Changed);
        }
        if now >= self.next_probe {
            let jitter = rng.random_range(90..=110);
            self.next_probe = now + Millis(self.rules.probe_interval.0 * jitter / 100);
            self.probe_next(now, rng, actions);
            self.probe_absent_next = !self.probe_absent_next;
            if self.probe_absent_next {
                self.probe_absent(now, rng, actions);
            }
        }
        self.probe_remote(now, rng, actions);
        self.update_cut_off(now, actions);
    }

    /// Detects that this process did not run for a while. Drops the open probes, and extends the
    /// suspicions and the times of the last contact by the pause.
    ///
    /// Missing acks say nothing about the other hosts when this process could not receive them.
    fn detect_pause(&mut self, now: Millis) {
        let pause = now - self.last_tick;
        self.last_tick = now;
        if pause < Millis(self.rules.probe_interval.0 * 2) {
            return;
        }
        self.counts.pauses += 1;
        self.probes.clear();
        self.indirect_probes.clear();
        self.table.extend_suspicions(pause);
        for contact in self.last_contact.values_mut() {
            *contact = *contact + pause;
        }
    }

    fn check_probes(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let (ack_timeout, timeout) = (
            self.rules.ack_timeout,
            Millis(self.rules.probe_interval.0 * 2),
        );
        let mut open = std::mem::take(&mut self.probes);
        let failed: Vec<_> = open
            .extract_if(.., |probe| now - probe.begun >= timeout)
            .collect();
        for probe in &mut open {
            if !probe.indirect && now - probe.begun >= ack_timeout {
                probe.indirect = true;
                self.request_indirect(probe, now, rng, actions);
            }
        }
        self.probes = open;
        for probe in failed {
            self.suspect(&probe.host, now, actions);
        }
        self.indirect_probes
            .retain(|pending| now - pending.begun < timeout);
    }

    fn suspect(&mut self, host: &HostName, now: Millis, actions: &mut Vec<MembershipAction>) {
        let Some(known) = self.table.get(host) else {
            return;
        };
        let record = MemberRecord {
            health: Health::Suspect,
            ..known.record.clone()
        };
        if self.table.merge(&record, now) {
            self.counts.suspected += 1;
            self.queue.push_host(host);
            actions.push(MembershipAction::Changed);
        }
    }

    fn probe_next(&mut self, now: Millis, rng: &mut impl Rng, actions: &mut Vec<MembershipAction>) {
        let Some(record) = self.next_host(rng) else {
            return;
        };
        let sequence = self.sequence();
        self.probes.push(Probe {
            host: record.host.clone(),
            address: record.steward,
            sequence,
            begun: now,
            indirect: false,
        });
        let ping = self.datagram(Message::Ping { sequence }, Some(&record), false, now);
        actions.push(send(record.steward, ping));
    }

    fn next_host(&mut self, rng: &mut impl Rng) -> Option<MemberRecord> {
        if self.probe_order.is_empty() {
            self.probe_order = self
                .table
                .local()
                .map(|record| record.host.clone())
                .collect();
            self.probe_order.shuffle(rng);
        }
        while let Some(host) = self.probe_order.pop() {
            let known = self.table.get(&host).map(|known| &known.record);
            if let Some(record) = known.filter(|record| record.health != Health::Down) {
                return Some(record.clone());
            }
        }
        None
    }

    fn request_indirect(
        &mut self,
        probe: &Probe,
        now: Millis,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        for to in self.proxies(&probe.host, rng) {
            let message = Message::PingFor {
                sequence: probe.sequence,
                host: probe.host.clone(),
                address: probe.address,
            };
            let datagram = self.datagram(message, Some(&to), false, now);
            actions.push(send(to.steward, datagram));
        }
    }

    /// Picks hosts to probe `host` indirectly. At least one is in another data centre if an alive
    /// one is known there, since its network path differs.
    fn proxies(&self, host: &HostName, rng: &mut impl Rng) -> Vec<MemberRecord> {
        let alive = |record: &&MemberRecord| record.health == Health::Alive;
        let local = self.table.local().filter(alive);
        let mut local: Vec<_> = local
            .filter(|record| record.host != *host)
            .cloned()
            .collect();
        let mut remote: Vec<_> = self.table.remote().filter(alive).cloned().collect();
        local.shuffle(rng);
        remote.shuffle(rng);
        local.truncate(self.rules.proxies);
        remote.truncate((self.rules.proxies - local.len()).max(1));
        local.extend(remote);
        local
    }

    /// Sends a change of the local host's record immediately, without waiting for the next probes.
    fn announce(&mut self, now: Millis, rng: &mut impl Rng, actions: &mut Vec<MembershipAction>) {
        self.own.version += 1;
        self.queue.push_host(&self.own.host.clone());
        self.broadcast(now, rng, actions);
        actions.push(MembershipAction::Changed);
    }

    fn broadcast(&mut self, now: Millis, rng: &mut impl Rng, actions: &mut Vec<MembershipAction>) {
        const FANOUT: usize = 8;
        let mut recipients: Vec<_> = self.table.local().cloned().collect();
        recipients.shuffle(rng);
        recipients.truncate(FANOUT);
        let dcs = self.table.remote_dcs();
        let remote = dcs.iter().filter_map(|dc| {
            let mut hosts = self.table.remote().filter(|record| record.dc == *dc);
            hosts.next().cloned()
        });
        recipients.extend(remote.take(FANOUT));
        for record in recipients {
            let news = self.datagram(Message::News, Some(&record), false, now);
            actions.push(send(record.steward, news));
        }
    }

    pub(super) fn sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }
}

pub(super) fn send(to: SocketAddr, datagram: Datagram) -> MembershipAction {
    let datagram = Box::new(datagram);
    MembershipAction::Send { to, datagram }
}
