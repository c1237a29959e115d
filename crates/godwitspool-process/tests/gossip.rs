//! Membership over real UDP sockets.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    net::{SocketAddr, UdpSocket},
    sync::mpsc::{self, Receiver},
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::platform::HostEntry;
use godwitspool_process::{
    Clock, Metrics,
    membership::{Gossip, GossipEvent, Hints, MemberRecord, MembershipRules, RumorBody},
};
use godwitspool_types::{Incarnation, Offset};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct Host {
    address: SocketAddr,
    events: Receiver<GossipEvent>,
    gossip: Gossip,
}

fn start(number: u64) -> Host {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let own = MemberRecord::default()
        .with_host(format!("gori-{number}"), "gori")
        .with_addresses(address, address)
        .with_life(Incarnation(number));
    let (sender, events) = mpsc::channel();
    let rules = MembershipRules::default();
    let gossip = Gossip::start(socket, own, rules, Clock::start(), sender).unwrap();
    Host {
        address,
        events,
        gossip,
    }
}

fn listing(number: usize, address: SocketAddr) -> HostEntry {
    HostEntry {
        address: address.ip(),
        dc: "gori".into(),
        entry_port: address.port(),
        host: format!("gori-{}", number + 1).into(),
        leaving: false,
        steward_port: address.port(),
    }
}

fn start_all(count: u64) -> Vec<Host> {
    let hosts: Vec<_> = (1..=count).map(start).collect();
    let listed: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(number, host)| listing(number, host.address))
        .collect();
    for host in &hosts {
        host.gossip.set_host_list(listed.clone());
    }
    wait_until("all hosts see each other", || sees(&hosts, hosts.len()));
    hosts
}

fn sees(hosts: &[Host], members: usize) -> bool {
    hosts
        .iter()
        .all(|host| host.gossip.members().len() == members)
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {what}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn hosts_find_each_other_and_detect_a_crash() {
    let mut hosts = start_all(4);
    drop(hosts.pop());
    wait_until("the others see it as down", || sees(&hosts, 3));
}

#[test]
fn a_host_that_stops_is_down_without_suspicion() {
    let mut hosts = start_all(3);
    hosts.pop().unwrap().gossip.stop();
    wait_until("the others see it as down", || sees(&hosts, 2));
    let detected = hosts
        .iter()
        .map(|host| host.gossip.counts().membership.downs);
    assert_eq!(detected.sum::<u64>(), 0, "no host detected it by probing");
}

#[test]
fn leaving_rumors_and_hints_reach_the_others() {
    let hosts = start_all(3);
    hosts[0].gossip.leave();
    hosts[0].gossip.spread_rumor(RumorBody::Quarantined(7));
    hosts[0].gossip.raise_hints(Hints {
        end: Offset(9),
        ..Hints::default()
    });
    for host in &hosts[1..] {
        wait_until("leaving", || {
            host.gossip.members().iter().any(|member| member.leaving)
        });
        wait_until("hints", || host.gossip.hints().end == Offset(9));
        let is_rumor = |event| event == GossipEvent::NewRumor(RumorBody::Quarantined(7));
        while !is_rumor(host.events.recv_timeout(WAIT_TIMEOUT).unwrap()) {}
    }
}

#[test]
fn damaged_datagrams_are_only_counted() {
    let hosts = start_all(2);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut sent = 0;
    for size in [0, 1, 4, 5, 64, 1_200, 1_201, 9_000] {
        socket.send_to(&vec![0xa5; size], hosts[0].address).unwrap();
        sent += 1;
    }
    wait_until("all damaged datagrams are counted", || {
        hosts[0].gossip.counts().damaged == sent
    });
    assert!(sees(&hosts, 2));
    let metrics = Metrics::default();
    hosts[0].gossip.register(&metrics);
    let text = metrics.text();
    assert!(
        text.contains(&format!("godwitspool_gossip_damaged_total {sent}")),
        "{text}"
    );
    assert!(text.contains("godwitspool_members_down_total 0"), "{text}");
}
