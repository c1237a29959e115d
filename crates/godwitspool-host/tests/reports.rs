//! Reports of runs between hosts: their intervals and datagrams.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeSet, HashMap};

use godwitspool_host::{
    process::{Notice, RunReport, report_interval},
    version::{Fleet, TargetEntry},
};
use godwitspool_types::{Dc, Millis, ModelName, ServiceName, TargetName};
use rstest::rstest;

/// Maximum time by which a runner that waits on its sockets is late with a report.
const CHECK_INTERVAL: u64 = 100;

/// Guards against hosts that spend their processor time on reports: what a host receives from all others
/// grew with their number.
#[test]
fn what_a_host_receives_is_bounded() {
    let most = 16.0 / 15.0;
    // 128 partitions of results and 8 of duties have at most 136 holders.
    for holders in 1..=136 {
        let received_per_ms = holders as f64 / report_interval(holders).0 as f64;
        assert!(
            received_per_ms <= most,
            "{received_per_ms} of {holders} holders"
        );
    }
}

/// Guards against a change for small stores, whose reports are compared with earlier measurements.
#[rstest]
#[case::alone(0)]
#[case::all_holders_of_a_small_store(16)]
fn few_holders_report_as_before(#[case] holders: usize) {
    assert_eq!(report_interval(holders), Millis(15));
}

/// Guards against an overloaded target: a host's runs must count without a gap if every second report of
/// it is lost and each is sent as late as the runner's checks allow.
#[rstest]
#[case::few(8)]
#[case::many(64)]
#[case::most(1_000)]
fn runs_count_until_the_next_report(#[case] holders: usize) {
    let name = TargetName::from("a");
    let mut fleet = Fleet::default();
    fleet.apply(TargetEntry {
        name: name.clone(),
        service: ServiceName::from("engine"),
        address: ([127, 0, 0, 1], 80).into(),
        dc: Dc::from("north"),
        slots: 4,
        draining: false,
        models: HashMap::from([(ModelName::from("m"), 1)]),
        born: 10,
        cold_left: Millis(0),
    });
    let interval = report_interval(holders).0 + CHECK_INTERVAL;
    let mut report = RunReport {
        sender: 7,
        running: vec![(name.clone(), 4)],
        ..RunReport::default()
    };
    for now in 0..5_000 {
        if now % (2 * interval) == 0 {
            report.number += 2;
            fleet.apply_report(&report, Millis(now));
        }
        let running = fleet.get(&name).unwrap().total_running(Millis(now));
        assert_eq!(running, 4, "after {now} ms");
    }
}

/// Guards against reports that are never sent, because the partitions of a host that owns all of a large
/// store exceed a datagram.
#[test]
fn a_report_of_many_partitions_is_split() {
    let owned: Vec<(u32, u64)> = (0..128).map(|part| (part, u64::MAX - 7)).collect();
    let names = (0..40).map(|number| TargetName::from(format!("target-{number:013}").as_str()));
    let report = RunReport {
        sender: 7,
        number: 3,
        running: names.map(|name| (name, 2)).collect(),
        owned: owned.clone(),
        named: vec![(ModelName::from("m"), 4)],
    };
    let datagrams = Notice::Runs(report.clone()).datagrams().unwrap();
    let mut received = RunReport::default();
    for datagram in &datagrams {
        assert!(datagram.len() <= 1_400);
        let Ok(Notice::Runs(part)) = postcard::from_bytes(datagram) else {
            panic!("another notice");
        };
        assert_eq!((part.sender, part.number), (7, 3));
        received.owned.extend(part.owned);
        received.running.extend(part.running);
        received.named.extend(part.named);
    }
    let parts = |owned: &[(u32, u64)]| owned.iter().copied().collect::<BTreeSet<_>>();
    assert_eq!(parts(&received.owned), parts(&owned));
    assert_eq!(received.owned.len(), owned.len());
    assert_eq!(received.running.len(), report.running.len());
    assert_eq!(received.named, report.named);
}

/// Guards against runs that are counted for ever: a report replaces all of the sender's last one, and of no
/// other sender's, also after a long silence and at a target that has started again.
#[test]
fn a_report_replaces_the_last_one_of_its_sender() {
    let entry = |name: &str, born| TargetEntry {
        name: TargetName::from(name),
        service: ServiceName::from("engine"),
        address: ([127, 0, 0, 1], 80).into(),
        dc: Dc::from("north"),
        slots: 4,
        draining: false,
        models: HashMap::from([(ModelName::from("m"), 1)]),
        born,
        cold_left: Millis(0),
    };
    let mut fleet = Fleet::default();
    for name in ["a", "b"] {
        fleet.apply(entry(name, 10));
    }
    let report = |sender, number, running: &[(&str, u32)]| RunReport {
        sender,
        number,
        running: running
            .iter()
            .map(|(name, count)| (TargetName::from(*name), *count))
            .collect(),
        ..RunReport::default()
    };
    let running = |fleet: &Fleet, now| {
        ["a", "b"].map(|name| {
            fleet
                .get(&TargetName::from(name))
                .unwrap()
                .total_running(Millis(now))
        })
    };
    fleet.apply_report(&report(7, 1, &[("a", 3)]), Millis(0));
    fleet.apply_report(&report(7, 1, &[("b", 1)]), Millis(1));
    fleet.apply_report(&report(8, 1, &[("a", 1)]), Millis(2));
    assert_eq!(running(&fleet, 10), [4, 1]);
    fleet.apply_report(&report(7, 2, &[("b", 2)]), Millis(20));
    assert_eq!(running(&fleet, 20), [1, 2]);
    fleet.apply(entry("b", 20));
    fleet.apply_report(&report(7, 3, &[("b", 1)]), Millis(30));
    assert_eq!(running(&fleet, 30), [1, 1]);
    // Another sender reports after this one was silent for more than a minute.
    fleet.apply_report(&report(9, 1, &[("a", 1)]), Millis(70_000));
    let target = fleet.get(&TargetName::from("b")).unwrap();
    assert!(
        target.remote_running.is_empty(),
        "an entry of a silent sender is kept"
    );
    fleet.apply_report(&report(7, 4, &[("a", 2)]), Millis(70_010));
    assert_eq!(running(&fleet, 70_010), [3, 0]);
}
