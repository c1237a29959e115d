//! Hosts on a simulated network, for tests and measurements of the decisions.
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

const TICK: Millis = Millis(25);
const NEAR_DELAY: Millis = Millis(1);
const FAR_DELAY: Millis = Millis(20);
/// Bytes of the headers of IP and UDP.
const HEADER_BYTES: u64 = 28;
const PORT: u16 = 7_000;

/// A host on the network.
#[derive(Debug)]
pub struct SimulatedHost {
    /// Its address.
    pub address: SocketAddr,
    /// Rumors that came to it.
    pub rumors: Vec<RumorBody>,
    /// Its state.
    pub membership: Membership,
    /// Whether its process runs.
    pub is_running: bool,
    /// What it sent.
    pub sent: Traffic,
    /// Processor time of its decisions and codings.
    pub busy_time: Duration,
    next_tick: Millis,
}

/// What a host sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes, with the headers of IP and UDP.
    pub bytes: u64,
    /// Datagrams.
    pub datagrams: u64,
}

/// Hosts and the network between them.
#[derive(Debug)]
pub struct Net {
    /// Pairs of hosts, by index, between which nothing passes in that direction.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// The hosts.
    pub hosts: Vec<SimulatedHost>,
    /// The time.
    pub now: Millis,
    /// Times and bounds for hosts that are added.
    pub rules: MembershipRules,
    by_address: BTreeMap<SocketAddr, usize>,
    flights: BinaryHeap<Reverse<Flight>>,
    sent_count: u64,
    rng: StdRng,
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Flight {
    due: Millis,
    number: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl Net {
    /// Makes an empty network.
    pub fn new(seed: u64) -> Self {
        Self {
            by_address: BTreeMap::new(),
            cuts: BTreeSet::new(),
            flights: BinaryHeap::new(),
            sent_count: 0,
            hosts: Vec::new(),
            loss: 0.0,
            now: Millis(1_000),
            rng: StdRng::seed_from_u64(seed),
            rules: MembershipRules::default(),
        }
    }

    /// Adds hosts of a data centre. All hosts are told the list of all.
    pub fn add_hosts(&mut self, dc: &str, hosts: usize) {
        for _ in 0..hosts {
            let index = self.hosts.len();
            let number = index as u32 + 1;
            let ip = Ipv4Addr::from(0x0a00_0000 + number);
            let record = MemberRecord::default()
                .with_host(format!("{dc}-{number}"), dc)
                .with_addresses((ip, PORT + 1).into(), (ip, PORT).into())
                .with_life(Incarnation(self.now.0));
            let next_tick = self.now + Millis(self.rng.random_range(0..TICK.0));
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
        self.list_all();
    }

    /// Tells every host the platform's list of all hosts.
    pub fn list_all(&mut self) {
        let own = self.hosts.iter().map(|host| host.membership.own());
        let listed: Vec<_> = own.map(listing).collect();
        for index in 0..self.hosts.len() {
            self.tell(index, MembershipEvent::Listed(listed.clone()));
        }
    }

    /// Lets something happen to a host.
    pub fn tell(&mut self, index: usize, event: MembershipEvent) {
        let (now, begun) = (self.now, Instant::now());
        let host = &mut self.hosts[index];
        let actions = host.membership.decide(event, now, &mut self.rng);
        host.busy_time += begun.elapsed();
        for action in actions {
            self.carry_out(index, action);
        }
    }

    /// Replaces a host's process by a new one on the same address.
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
        self.list_all();
    }

    /// Cuts or joins two hosts in both directions.
    pub fn cut(&mut self, one: usize, other: usize, cut: bool) {
        for pair in [(one, other), (other, one)] {
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until a condition holds, and returns how long it took.
    pub fn run_until(&mut self, bound: Millis, holds: impl Fn(&Self) -> bool) -> Option<Millis> {
        let begun = self.now;
        while !holds(self) {
            if self.now - begun >= bound {
                return None;
            }
            self.run_for(TICK);
        }
        Some(self.now - begun)
    }

    /// Tells whether every running host sees this many members.
    pub fn all_see(&self, members: usize) -> bool {
        let mut running = self.hosts.iter().filter(|host| host.is_running);
        running.all(|host| host.membership.members(self.now).len() == members)
    }

    /// Tells whether every host of the first host's data centre sees this many of them.
    pub fn all_see_local(&self, members: usize) -> bool {
        let dc = self.dc(0);
        let near = |index: &usize| self.hosts[*index].is_running && self.dc(*index) == dc;
        (0..self.hosts.len()).filter(near).all(|index| {
            let seen = self.hosts[index].membership.members(self.now);
            seen.iter().filter(|member| member.dc == *dc).count() == members
        })
    }

    /// Tells whether a host sees another.
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
        while self.next_flight().is_some_and(|due| due <= self.now) {
            if let Some(Reverse(flight)) = self.flights.pop() {
                self.deliver(&flight);
            }
        }
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_running && self.hosts[index].next_tick <= self.now {
                self.hosts[index].next_tick = self.now + TICK;
                self.tell(index, MembershipEvent::Tick);
            }
        }
    }

    fn next_flight(&self) -> Option<Millis> {
        self.flights.peek().map(|Reverse(flight)| flight.due)
    }

    fn deliver(&mut self, flight: &Flight) {
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
            self.tell(flight.to, event);
        }
    }

    fn carry_out(&mut self, from: usize, action: MembershipAction) {
        match action {
            MembershipAction::Changed => {}
            MembershipAction::Heard(rumor) => self.hosts[from].rumors.push(rumor),
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
        let delay = if same { NEAR_DELAY } else { FAR_DELAY };
        self.sent_count += 1;
        self.flights.push(Reverse(Flight {
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
