//! Hosts on a simulated network, for tests and measurements of [`Membership`].
//!
//! ```
//! use godwitspool_process::membership::simulated::Net;
//! use godwitspool_types::Millis;
//!
//! let mut net = Net::new(1);
//! net.add_hosts("gasabo", 3);
//! assert!(net.run_until(Millis(5_000), |net| net.all_see(3)).is_some());
//! ```

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use godwitspool_connection::platform::HostEntry;
use godwitspool_types::{Dc, HostName, Incarnation, Millis};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    Datagram, MemberRecord, Membership, MembershipAction, MembershipEvent, MembershipRules,
    RumorBody,
};

const TICK_INTERVAL: Millis = Millis(25);
const LOCAL_DELAY: Millis = Millis(1);
const REMOTE_DELAY: Millis = Millis(20);
/// IP and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;
const PORT: u16 = 7_000;

/// A host on the simulated network.
#[derive(Debug)]
pub struct SimulatedHost {
    /// Address of its steward, by which datagrams reach it.
    pub address: SocketAddr,
    /// Rumors that it received, in order.
    pub rumors: Vec<RumorBody>,
    /// Its membership state machine.
    pub membership: Membership,
    /// Whether its process runs. A stopped process neither ticks nor receives.
    pub is_running: bool,
    /// Traffic that it sent.
    pub sent: Traffic,
    /// Elapsed time spent in its decisions and in encoding and decoding its datagrams.
    pub busy_time: Duration,
    next_tick: Millis,
}

/// Traffic sent by a host, including lost datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes sent, with IP and UDP headers.
    pub bytes: u64,
    /// Datagrams sent.
    pub datagrams: u64,
}

/// Simulated hosts and the network between them.
#[derive(Debug)]
pub struct Net {
    /// Links `(from, to)`, by host index, that drop all datagrams.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// All hosts, in the order they were added.
    pub hosts: Vec<SimulatedHost>,
    /// Simulated time.
    pub now: Millis,
    /// Rules for hosts that are added or restarted.
    pub rules: MembershipRules,
    by_address: BTreeMap<SocketAddr, usize>,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    sent_count: u64,
    rng: StdRng,
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct InFlight {
    due: Millis,
    number: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl Net {
    /// Creates a network without hosts or loss. Equal seeds give equal runs.
    pub fn new(seed: u64) -> Self {
        Self {
            by_address: BTreeMap::new(),
            cuts: BTreeSet::new(),
            in_flight: BinaryHeap::new(),
            sent_count: 0,
            hosts: Vec::new(),
            loss: 0.0,
            now: Millis(1_000),
            rng: StdRng::seed_from_u64(seed),
            rules: MembershipRules::default(),
        }
    }

    /// Adds hosts to a data centre and sends every host the new host list.
    pub fn add_hosts(&mut self, dc: &str, hosts: usize) {
        for _ in 0..hosts {
            let index = self.hosts.len();
            let number = index as u32 + 1;
            let ip = Ipv4Addr::from(0x0a00_0000 + number);
            let record = MemberRecord::default()
                .with_host(format!("{dc}-{number}"), dc)
                .with_addresses((ip, PORT + 1).into(), (ip, PORT).into())
                .with_life(Incarnation(self.now.0));
            let next_tick = self.now + Millis(self.rng.random_range(0..TICK_INTERVAL.0));
            self.by_address.insert(record.steward, index);
            self.hosts.push(SimulatedHost {
                address: record.steward,
                membership: Membership::new(record, self.rules, self.now),
                next_tick,
                rumors: Vec::new(),
                is_running: true,
                sent: Traffic::default(),
                busy_time: Duration::ZERO,
            });
        }
        self.send_host_list();
    }

    /// Gives every host a list of all hosts, as the platform does.
    pub fn send_host_list(&mut self) {
        let own = self.hosts.iter().map(|host| host.membership.own());
        let listed: Vec<_> = own.map(listing).collect();
        for index in 0..self.hosts.len() {
            self.apply(index, MembershipEvent::HostList(listed.clone()));
        }
    }

    /// Applies an event to a host and performs the actions that follow.
    pub fn apply(&mut self, index: usize, event: MembershipEvent) {
        let (now, begun) = (self.now, Instant::now());
        let host = &mut self.hosts[index];
        let actions = host.membership.decide(event, now, &mut self.rng);
        host.busy_time += begun.elapsed();
        for action in actions {
            self.perform(index, action);
        }
    }

    /// Replaces a host's process with a new incarnation on the same address.
    pub fn restart(&mut self, index: usize) {
        let now = self.now;
        let rules = self.rules;
        let host = &mut self.hosts[index];
        let own = host.membership.own();
        let record = MemberRecord::default()
            .with_host(own.host.clone(), own.dc.clone())
            .with_addresses(own.entry, own.steward)
            .with_life(Incarnation(now.0));
        host.membership = Membership::new(record, rules, now);
        host.next_tick = now;
        host.is_running = true;
        self.send_host_list();
    }

    /// Cuts or restores the link between two hosts in both directions.
    pub fn cut(&mut self, one: usize, other: usize, cut: bool) {
        for pair in [(one, other), (other, one)] {
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Advances the simulated time by a span.
    pub fn run_for(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulated time until a condition holds and returns how long that took, or
    /// `None` if it does not hold within the bound.
    pub fn run_until(&mut self, bound: Millis, holds: impl Fn(&Self) -> bool) -> Option<Millis> {
        let begun = self.now;
        while !holds(self) {
            if self.now - begun >= bound {
                return None;
            }
            self.run_for(TICK_INTERVAL);
        }
        Some(self.now - begun)
    }

    /// Returns whether every running host sees this number of members.
    pub fn all_see(&self, members: usize) -> bool {
        let mut running = self.hosts.iter().filter(|host| host.is_running);
        running.all(|host| host.membership.members(self.now).len() == members)
    }

    /// Returns whether every running host of the first host's data centre sees this number of
    /// members in it.
    pub fn all_see_local(&self, members: usize) -> bool {
        let dc = self.dc(0);
        let local = |index: &usize| self.hosts[*index].is_running && self.dc(*index) == dc;
        (0..self.hosts.len()).filter(local).all(|index| {
            let seen = self.hosts[index].membership.members(self.now);
            seen.iter().filter(|member| member.dc == *dc).count() == members
        })
    }

    /// Returns whether a host sees another as a member.
    pub fn sees(&self, one: usize, other: usize) -> bool {
        let name = &self.hosts[other].membership.own().host;
        let members = self.hosts[one].membership.members(self.now);
        members.iter().any(|member| member.host == *name)
    }

    /// Returns the name of a host.
    pub fn name(&self, index: usize) -> HostName {
        self.hosts[index].membership.own().host.clone()
    }

    fn step(&mut self) {
        self.now = self.now + Millis(1);
        while self.next_delivery().is_some_and(|due| due <= self.now) {
            if let Some(Reverse(flight)) = self.in_flight.pop() {
                self.deliver(&flight);
            }
        }
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_running && self.hosts[index].next_tick <= self.now {
                self.hosts[index].next_tick = self.now + TICK_INTERVAL;
                self.apply(index, MembershipEvent::Tick);
            }
        }
    }

    fn next_delivery(&self) -> Option<Millis> {
        self.in_flight.peek().map(|Reverse(flight)| flight.due)
    }

    fn deliver(&mut self, flight: &InFlight) {
        if !self.hosts[flight.to].is_running {
            return;
        }
        let begun = Instant::now();
        let decoded = Datagram::decode(&flight.bytes);
        self.hosts[flight.to].busy_time += begun.elapsed();
        if let Ok(datagram) = decoded {
            let event = MembershipEvent::Received {
                from: self.hosts[flight.from].address,
                datagram: Box::new(datagram),
            };
            self.apply(flight.to, event);
        }
    }

    fn perform(&mut self, from: usize, action: MembershipAction) {
        match action {
            MembershipAction::Changed => {}
            MembershipAction::NewRumor(rumor) => self.hosts[from].rumors.push(rumor),
            MembershipAction::Send { to, datagram } => self.send(from, to, &datagram),
        }
    }

    fn send(&mut self, from: usize, address: SocketAddr, datagram: &Datagram) {
        let begun = Instant::now();
        let encoded = datagram.encode();
        let host = &mut self.hosts[from];
        host.busy_time += begun.elapsed();
        let bytes = encoded.unwrap_or_else(|error| panic!("{error}"));
        host.sent.bytes += bytes.len() as u64 + HEADER_BYTES;
        host.sent.datagrams += 1;
        let Some(&to) = self.by_address.get(&address) else {
            return;
        };
        if self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        let same = self.dc(from) == self.dc(to);
        let delay = if same { LOCAL_DELAY } else { REMOTE_DELAY };
        self.sent_count += 1;
        self.in_flight.push(Reverse(InFlight {
            due: self.now + delay,
            number: self.sent_count,
            from,
            to,
            bytes,
        }));
    }

    fn dc(&self, index: usize) -> &Dc {
        &self.hosts[index].membership.own().dc
    }
}

fn listing(own: &MemberRecord) -> HostEntry {
    HostEntry {
        address: own.steward.ip(),
        dc: own.dc.clone(),
        entry_port: own.entry.port(),
        host: own.host.clone(),
        leaving: false,
        steward_port: own.steward.port(),
    }
}
