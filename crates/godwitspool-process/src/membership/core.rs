//! The decisions of membership.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use godwitspool_connection::{messages::Member, platform::HostEntry};
use godwitspool_types::{Dc, HostName, Millis};
use rand::{Rng, seq::SliceRandom};

use super::{
    Datagram, Health, Hints, MemberRecord, MembershipRules, Message, Rumor, RumorBody,
    probe::{Errand, Probe},
    queue::Queue,
    table::Table,
};

/// What happens to membership.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// The own process ends.
    Gone,
    /// The own process knows higher positions in the log.
    Know(Hints),
    /// The own host takes no new work.
    Leave,
    /// The platform's lagging list, or the hosts of the settings.
    Listed(Vec<HostEntry>),
    /// A datagram came.
    Received {
        /// Its sender's address.
        from: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// The own process has news to spread.
    Tell(RumorBody),
    /// Time has passed.
    Tick,
}

/// What membership asks for.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// The members or the hints have changed.
    Changed,
    /// A rumor came from another host.
    Heard(RumorBody),
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
}

/// What membership has counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MembershipCounts {
    /// Hosts of the own data centre found gone.
    pub downs: u64,
    /// Pauses of the own process that were noticed.
    pub pauses: u64,
    /// Suspicions of the own host that it refuted.
    pub refuted: u64,
    /// Hosts that were suspected.
    pub suspected: u64,
    /// Records of the own name from a later life than the own one.
    pub twins: u64,
}

/// What a host knows about the others.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) counts: MembershipCounts,
    pub(super) cut: BTreeSet<Dc>,
    pub(super) distant_due: BTreeMap<Dc, Millis>,
    pub(super) errands: Vec<Errand>,
    pub(super) fill_from: Option<HostName>,
    pub(super) heard: BTreeMap<Dc, Millis>,
    pub(super) hints: Hints,
    last_tick: Millis,
    pub(super) listed: Vec<HostEntry>,
    listed_leaving: BTreeSet<HostName>,
    pub(super) next_distant: Millis,
    next_probe: Millis,
    next_sequence: u64,
    order: Vec<HostName>,
    pub(super) own: MemberRecord,
    pub(super) probes: Vec<Probe>,
    pub(super) queue: Queue,
    pub(super) rules: MembershipRules,
    seed_turn: bool,
    pub(super) table: Table,
}

impl Membership {
    /// Makes the state of a host that knows only itself.
    pub fn new(own: MemberRecord, rules: MembershipRules, now: Millis) -> Self {
        let mut queue = Queue::default();
        queue.push_host(&own.host);
        Self {
            counts: MembershipCounts::default(),
            cut: BTreeSet::new(),
            distant_due: BTreeMap::new(),
            errands: Vec::new(),
            fill_from: None,
            heard: BTreeMap::new(),
            hints: Hints::default(),
            last_tick: now,
            listed: Vec::new(),
            listed_leaving: BTreeSet::new(),
            next_distant: now,
            next_probe: now,
            next_sequence: 1,
            order: Vec::new(),
            probes: Vec::new(),
            queue,
            rules,
            seed_turn: false,
            table: Table::new(own.dc.clone()),
            own,
        }
    }

    /// Returns the hosts that live or leave: all of the own data centre, and some of each other data
    /// centre that was heard lately.
    pub fn members(&self, now: Millis) -> Vec<Member> {
        let far = self
            .table
            .far()
            .filter(|record| self.hears(&record.dc, now));
        let records = self.table.near().chain(far).chain([&self.own]);
        let mut members: Vec<_> = records
            .map(|record| Member {
                leaving: record.leaving || self.listed_leaving.contains(&record.host),
                ..Member::from(record)
            })
            .collect();
        members.sort();
        members
    }

    /// Returns the highest positions in the log that any host is known to know.
    pub fn hints(&self) -> Hints {
        self.hints
    }

    /// Returns what was counted.
    pub fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// Returns the own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the data centres that aren't heard.
    pub fn cut_off(&self) -> &BTreeSet<Dc> {
        &self.cut
    }

    /// Decides what to do when something happens.
    pub fn decide(
        &mut self,
        event: MembershipEvent,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match event {
            MembershipEvent::Gone => {
                self.own.health = Health::Down;
                self.announce(now, rng, &mut actions);
            }
            MembershipEvent::Know(hints) => {
                self.hints.raise(hints);
            }
            MembershipEvent::Leave if self.own.leaving => {}
            MembershipEvent::Leave => {
                self.own.leaving = true;
                self.announce(now, rng, &mut actions);
            }
            MembershipEvent::Listed(listed) => {
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
            MembershipEvent::Tell(body) => {
                let age = Millis::ZERO;
                self.queue.push_rumor(&Rumor { body, age }, now);
                self.broadcast(now, rng, &mut actions);
            }
            MembershipEvent::Tick => self.tick(now, rng, &mut actions),
        }
        actions
    }

    // --- Time

    fn tick(&mut self, now: Millis, rng: &mut impl Rng, actions: &mut Vec<MembershipAction>) {
        self.notice_pause(now);
        self.follow_probes(now, rng, actions);
        for record in self.table.expire(&self.rules, now) {
            self.counts.downs += 1;
            self.queue.push_host(&record.host);
            actions.push(MembershipAction::Changed);
        }
        if now >= self.next_probe {
            let jitter = rng.random_range(90..=110);
            self.next_probe = now + Millis(self.rules.period.0 * jitter / 100);
            self.probe_next(now, rng, actions);
            self.seed_turn = !self.seed_turn;
            if self.seed_turn {
                self.ping_absent(now, rng, actions);
            }
        }
        self.ping_distant(now, rng, actions);
        self.note_cuts(now, actions);
    }

    /// A process that did not run has heard nobody, which says nothing about the others.
    fn notice_pause(&mut self, now: Millis) {
        let pause = now - self.last_tick;
        self.last_tick = now;
        if pause < Millis(self.rules.period.0 * 2) {
            return;
        }
        self.counts.pauses += 1;
        self.probes.clear();
        self.errands.clear();
        self.table.put_off(pause);
        for heard in self.heard.values_mut() {
            *heard = *heard + pause;
        }
    }

    fn follow_probes(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let (answer, end) = (self.rules.answer, Millis(self.rules.period.0 * 2));
        let mut open = std::mem::take(&mut self.probes);
        let failed: Vec<_> = open
            .extract_if(.., |probe| now - probe.begun >= end)
            .collect();
        for probe in &mut open {
            if !probe.indirect && now - probe.begun >= answer {
                probe.indirect = true;
                self.ask_others(probe, now, rng, actions);
            }
        }
        self.probes = open;
        for probe in failed {
            self.suspect(&probe.host, now, actions);
        }
        self.errands.retain(|errand| now - errand.begun < end);
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
        let Some(record) = self.next_in_order(rng) else {
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

    fn next_in_order(&mut self, rng: &mut impl Rng) -> Option<MemberRecord> {
        if self.order.is_empty() {
            self.order = self
                .table
                .near()
                .map(|record| record.host.clone())
                .collect();
            self.order.shuffle(rng);
        }
        while let Some(host) = self.order.pop() {
            let known = self.table.get(&host).map(|known| &known.record);
            if let Some(record) = known.filter(|record| record.health != Health::Down) {
                return Some(record.clone());
            }
        }
        None
    }

    fn ask_others(
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

    /// Picks hosts that may reach another over a path of their own, one of them far away.
    fn proxies(&self, host: &HostName, rng: &mut impl Rng) -> Vec<MemberRecord> {
        let alive = |record: &&MemberRecord| record.health == Health::Alive;
        let near = self.table.near().filter(alive);
        let mut near: Vec<_> = near
            .filter(|record| record.host != *host)
            .cloned()
            .collect();
        let mut far: Vec<_> = self.table.far().filter(alive).cloned().collect();
        near.shuffle(rng);
        far.shuffle(rng);
        near.truncate(self.rules.proxies);
        far.truncate((self.rules.proxies - near.len()).max(1));
        near.extend(far);
        near
    }

    // --- News

    /// Tells a change of the own host at once.
    fn announce(&mut self, now: Millis, rng: &mut impl Rng, actions: &mut Vec<MembershipAction>) {
        self.own.version += 1;
        self.queue.push_host(&self.own.host.clone());
        self.broadcast(now, rng, actions);
        actions.push(MembershipAction::Changed);
    }

    fn broadcast(&mut self, now: Millis, rng: &mut impl Rng, actions: &mut Vec<MembershipAction>) {
        const FANOUT: usize = 8;
        let mut near: Vec<_> = self.table.near().cloned().collect();
        near.shuffle(rng);
        near.truncate(FANOUT);
        let dcs = self.table.far_dcs();
        let far = dcs.iter().filter_map(|dc| {
            let mut hosts = self.table.far().filter(|record| record.dc == *dc);
            hosts.next().cloned()
        });
        near.extend(far.take(FANOUT));
        for record in near {
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
