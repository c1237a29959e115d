//! Membership of hosts on a simulated network with loss, partitions, pauses and restarts.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use godwitspool_process::membership::{
    Datagram, Hints, MemberRecord, MembershipEvent, Message, RumorBody, simulated::Net,
};
use godwitspool_types::{Millis, Offset};
use proptest::prelude::*;
use rstest::rstest;

const MINUTE: Millis = Millis(60_000);

fn dc_of(hosts: usize, seed: u64) -> Net {
    let mut net = Net::new(seed);
    net.add_hosts("tbilisi", hosts);
    assert!(net.run_until(MINUTE, |net| net.all_see(hosts)).is_some());
    net
}

fn suspected(net: &Net) -> u64 {
    net.hosts
        .iter()
        .map(|host| host.membership.counts().suspected)
        .sum()
}

fn downs(net: &Net) -> u64 {
    net.hosts
        .iter()
        .map(|host| host.membership.counts().downs)
        .sum()
}

#[rstest]
#[case(2)]
#[case(11)]
#[case(60)]
fn hosts_find_each_other(#[case] hosts: usize) {
    let net = dc_of(hosts, 1);
    assert_eq!(suspected(&net), 0);
}

#[rstest]
#[case(2)]
#[case(11)]
#[case(60)]
fn a_killed_host_is_down_within_seconds(#[case] hosts: usize) {
    let mut net = dc_of(hosts, 2);
    net.hosts[0].is_running = false;
    let took = net.run_until(MINUTE, |net| net.all_see(hosts - 1)).unwrap();
    assert!(
        took > net.rules.suspicion_timeout(hosts),
        "down after {took}, before the suspicion timeout"
    );
    assert!(took < Millis(6_000), "{took}");
}

#[test]
fn loss_of_one_in_twenty_removes_nobody() {
    let mut net = dc_of(11, 3);
    net.loss = 0.05;
    net.run_for(Millis(300_000));
    assert_eq!(downs(&net), 0);
    assert!(net.all_see(11));
}

#[rstest]
#[case::both_ways(true)]
#[case::one_way(false)]
fn one_bad_link_removes_nobody(#[case] both: bool) {
    let mut net = dc_of(5, 4);
    net.cuts.insert((0, 1));
    if both {
        net.cuts.insert((1, 0));
    }
    net.run_for(MINUTE);
    assert_eq!(suspected(&net), 0);
    assert!(net.all_see(5));
}

#[test]
fn indirect_probes_may_pass_through_another_data_centre() {
    let mut net = Net::new(5);
    net.add_hosts("gori", 2);
    net.add_hosts("rustavi", 1);
    assert!(net.run_until(MINUTE, |net| net.all_see(3)).is_some());
    net.cut(0, 1, true);
    net.run_for(MINUTE);
    assert_eq!(downs(&net), 0);
    assert!(net.all_see(3));
}

#[test]
fn a_host_that_can_send_but_not_receive_is_down_and_rejoins() {
    let mut net = dc_of(5, 6);
    let cuts: Vec<_> = (1..5).map(|other| (other, 0)).collect();
    net.cuts.extend(&cuts);
    assert!(
        net.run_until(MINUTE, |net| (1..5).all(|host| !net.sees(host, 0)))
            .is_some()
    );
    for cut in &cuts {
        net.cuts.remove(cut);
    }
    assert!(net.run_until(MINUTE, |net| net.all_see(5)).is_some());
}

#[test]
fn a_paused_host_suspects_nobody_when_it_resumes() {
    let mut net = dc_of(5, 7);
    net.hosts[0].is_running = false;
    net.run_for(Millis(900));
    net.hosts[0].is_running = true;
    net.run_for(Millis(10_000));
    assert_eq!(net.hosts[0].membership.counts().suspected, 0);
    assert!(net.hosts[0].membership.counts().pauses > 0);
    assert!(net.all_see(5));
}

#[test]
fn a_host_that_resumes_after_it_was_marked_down_rejoins() {
    let mut net = dc_of(5, 8);
    net.hosts[0].is_running = false;
    assert!(net.run_until(MINUTE, |net| net.all_see(4)).is_some());
    net.hosts[0].is_running = true;
    assert!(net.run_until(MINUTE, |net| net.all_see(5)).is_some());
    assert!(net.hosts[0].membership.counts().refuted > 0);
}

#[test]
fn a_late_datagram_of_the_old_incarnation_has_no_effect() {
    let mut net = dc_of(5, 9);
    let old = net.hosts[0].membership.own().clone();
    net.restart(0);
    let new = net.hosts[0].membership.own().clone();
    assert!(new.life > old.life);
    net.run_for(Millis(2_000));
    // The old incarnation's last datagram arrives after the restart.
    let late = Datagram {
        message: Message::News,
        sender: MemberRecord {
            leaving: true,
            version: 9,
            ..old.clone()
        },
        digest: 0,
        hints: Hints::default(),
        heard: Vec::new(),
        updates: Vec::new(),
        rumors: Vec::new(),
    };
    let event = MembershipEvent::Received {
        from: old.steward,
        datagram: Box::new(late),
    };
    net.apply(1, event);
    net.run_for(Millis(2_000));
    let members = net.hosts[1].membership.members(net.now);
    assert!(members.iter().all(|member| !member.leaving));
    assert!(net.all_see(5));
}

#[test]
fn a_new_incarnation_with_an_earlier_clock_takes_over() {
    let mut net = dc_of(3, 10);
    net.run_for(Millis(5_000));
    let own = net.hosts[0]
        .membership
        .own()
        .clone()
        .with_life(godwitspool_types::Incarnation(1));
    net.hosts[0].membership =
        godwitspool_process::membership::Membership::new(own, net.rules, net.now);
    net.send_host_list();
    net.run_for(Millis(3_000));
    assert!(net.hosts[0].membership.counts().twins > 0);
    assert!(net.all_see(3));
    net.apply(0, MembershipEvent::Leave);
    net.run_for(Millis(2_000));
    let members = net.hosts[1].membership.members(net.now);
    assert!(members.iter().any(|member| member.leaving), "{members:?}");
}

#[test]
fn another_host_on_the_same_address_does_not_answer_for_the_old_one() {
    let mut net = dc_of(4, 13);
    let old = net.name(0);
    let own = net.hosts[0].membership.own().clone();
    let new = own.with_host("tbilisi-new", "tbilisi");
    net.hosts[0].membership =
        godwitspool_process::membership::Membership::new(new, net.rules, net.now);
    net.send_host_list();
    let replaced = |net: &Net| {
        net.hosts.iter().all(|host| {
            let members = host.membership.members(net.now);
            members.len() == 4 && members.iter().all(|member| member.host != old)
        })
    };
    assert!(net.run_until(MINUTE, replaced).is_some());
}

#[test]
fn leaving_and_stopping_spread_at_once_without_suspicion() {
    let mut net = dc_of(11, 11);
    net.apply(0, MembershipEvent::Leave);
    let name = net.name(0);
    let leaving = |net: &Net| {
        net.hosts.iter().all(|host| {
            let members = host.membership.members(net.now);
            members
                .iter()
                .any(|member| member.host == name && member.leaving)
        })
    };
    let took = net.run_until(MINUTE, leaving).unwrap();
    assert!(took < Millis(2_000), "{took}");
    net.apply(0, MembershipEvent::Stop);
    net.hosts[0].is_running = false;
    let took = net.run_until(MINUTE, |net| net.all_see(10)).unwrap();
    assert!(took < Millis(2_000), "{took}");
    assert_eq!(suspected(&net), 0);
}

#[test]
fn a_host_that_the_host_list_marks_as_leaving_is_leaving() {
    let mut net = dc_of(2, 12);
    let mut listed = Vec::new();
    for host in &net.hosts {
        let own = host.membership.own();
        listed.push(godwitspool_connection::platform::HostEntry {
            address: own.steward.ip(),
            dc: own.dc.clone(),
            entry_port: own.entry.port(),
            host: own.host.clone(),
            leaving: true,
            steward_port: own.steward.port(),
        });
    }
    net.apply(0, MembershipEvent::HostList(listed));
    let members = net.hosts[0].membership.members(net.now);
    assert!(members.iter().all(|member| member.leaving));
}

fn three_dcs(seed: u64) -> Net {
    let mut net = Net::new(seed);
    net.add_hosts("nyarugenge", 4);
    net.add_hosts("kicukiro", 4);
    net.add_hosts("gasabo", 3);
    assert!(net.run_until(MINUTE, |net| net.all_see(11)).is_some());
    net
}

#[test]
fn a_host_that_is_down_is_down_in_other_data_centres_too() {
    let mut net = three_dcs(20);
    net.hosts[0].is_running = false;
    let took = net.run_until(MINUTE, |net| net.all_see(10)).unwrap();
    assert!(took < Millis(12_000), "{took}");
}

#[test]
fn data_centres_that_are_cut_off_keep_their_members_and_rejoin() {
    let mut net = three_dcs(21);
    let sides = [(0..8).collect::<Vec<_>>(), (8..11).collect::<Vec<_>>()];
    for one in &sides[0] {
        for other in &sides[1] {
            net.cut(*one, *other, true);
        }
    }
    let split = |net: &Net| {
        let seen = |host: usize| net.hosts[host].membership.members(net.now).len();
        sides[0].iter().all(|host| seen(*host) == 8) && sides[1].iter().all(|host| seen(*host) == 3)
    };
    assert!(net.run_until(MINUTE, split).is_some());
    net.run_for(Millis(100));
    assert_eq!(
        downs(&net),
        0,
        "a partition between data centres marks no host as down"
    );
    assert_eq!(net.hosts[0].membership.cut_off().len(), 1);
    net.run_for(Millis(600_000));
    let sent: Vec<_> = net.hosts.iter().map(|host| host.sent.bytes).collect();
    net.cuts.clear();
    let took = net.run_until(MINUTE, |net| net.all_see(11)).unwrap();
    assert!(took < Millis(10_000), "{took}");
    for (host, before) in net.hosts.iter().zip(sent) {
        let rate = (host.sent.bytes - before) * 1_000 / took.0;
        assert!(rate < 29_000, "{rate} B/s while joining");
    }
}

#[test]
fn a_partition_in_one_direction_removes_nobody() {
    let mut net = three_dcs(22);
    for one in 0..4 {
        for other in 4..8 {
            net.cuts.insert((one, other));
        }
    }
    net.run_for(MINUTE);
    assert_eq!(downs(&net), 0);
    net.cuts.clear();
    assert!(net.run_until(MINUTE, |net| net.all_see(11)).is_some());
}

#[test]
fn both_halves_of_a_data_centre_rejoin() {
    let mut net = dc_of(8, 23);
    for one in 0..4 {
        for other in 4..8 {
            net.cut(one, other, true);
        }
    }
    assert!(net.run_until(MINUTE, |net| net.all_see(4)).is_some());
    net.run_for(Millis(600_000));
    net.cuts.clear();
    let took = net.run_until(MINUTE, |net| net.all_see(8)).unwrap();
    assert!(took < Millis(10_000), "{took}");
}

#[test]
fn rumors_reach_every_host_once() {
    let mut net = three_dcs(30);
    net.loss = 0.05;
    let rumor = RumorBody::LeavingTarget("engine-3".into());
    net.apply(0, MembershipEvent::SpreadRumor(rumor.clone()));
    let heard = |net: &Net| net.hosts[1..].iter().all(|host| !host.rumors.is_empty());
    let took = net.run_until(MINUTE, heard).unwrap();
    assert!(took < Millis(5_000), "{took}");
    net.run_for(Millis(180_000));
    for host in &net.hosts[1..] {
        assert_eq!(host.rumors, std::slice::from_ref(&rumor));
    }
}

#[test]
fn positions_in_the_log_spread_as_their_maximum() {
    let mut net = three_dcs(31);
    let hints = |end| Hints {
        end: Offset(end),
        folded: Offset(end),
        withdrawal: Offset(end),
    };
    net.apply(3, MembershipEvent::RaiseHints(hints(70)));
    net.apply(9, MembershipEvent::RaiseHints(hints(90)));
    let known = |net: &Net| {
        net.hosts
            .iter()
            .all(|host| host.membership.hints() == hints(90))
    };
    let took = net.run_until(MINUTE, known).unwrap();
    assert!(took < Millis(6_000), "{took}");
}

#[test]
fn traffic_stays_bounded_with_many_data_centres() {
    let mut net = Net::new(40);
    net.add_hosts("tbilisi", 40);
    for dc in 1..29 {
        net.add_hosts(&format!("dc-{dc:02}"), 1);
    }
    assert!(net.run_until(MINUTE, |net| net.all_see_local(40)).is_some());
    let sent: Vec<_> = net.hosts.iter().map(|host| host.sent.bytes).collect();
    net.run_for(Millis(10_000));
    for (host, before) in net.hosts.iter().zip(sent) {
        let rate = (host.sent.bytes - before) / 10;
        assert!(rate < 29_000, "{}: {rate} B/s", host.address);
    }
}

fn datagram() -> Datagram {
    let sender = MemberRecord::default().with_host("gori-1", "gori");
    Datagram {
        message: Message::Ping { sequence: 7 },
        updates: vec![sender.clone(); 3],
        sender,
        digest: 9,
        hints: Hints::default(),
        heard: Vec::new(),
        rumors: Vec::new(),
    }
}

proptest! {
    #[test]
    fn a_damaged_datagram_is_an_error(at in 0usize..60, flip in 1u8..=255) {
        let mut bytes = datagram().encode().unwrap();
        let at = at % bytes.len();
        bytes[at] ^= flip;
        prop_assert!(Datagram::decode(&bytes).is_err());
    }

    #[test]
    fn a_truncated_datagram_is_an_error(at in 0usize..60) {
        let bytes = datagram().encode().unwrap();
        prop_assert!(Datagram::decode(&bytes[..at % bytes.len()]).is_err());
    }

    #[test]
    fn no_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1_300)) {
        drop(Datagram::decode(&bytes));
    }
}

#[test]
fn encoding_and_decoding_preserves_a_datagram() {
    let datagram = datagram();
    assert_eq!(
        Datagram::decode(&datagram.encode().unwrap()).unwrap(),
        datagram
    );
}
