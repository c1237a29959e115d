//! When hosts with little processor time own partitions.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use godwitspool_host::{
    Resources, StoreBounds,
    process::{Listing, Standby, StandbyChange, is_standby},
    store::{Holding, Topic},
};
use godwitspool_types::Millis;
use rstest::rstest;

/// Number of partitions of results.
const PARTS: u32 = 8;
/// Time for which a membership lasts.
const TTL: u64 = 2_000;
/// Interval between lists.
const INTERVAL: u64 = 667;
const OWN: &str = "10.0.0.1:7660#01-standby";
const OTHER: &str = "10.0.0.2:7660#02-standby";
const LARGE: &str = "10.0.0.3:7660#03";

fn standby() -> Standby {
    Standby::new(OWN, PARTS, Millis(TTL))
}

/// Returns the list in which these members hold the partitions of results and, the first one, the duty.
fn held_by(members: &[&str]) -> Vec<Holding> {
    let holding = |topic, part: u32, member: &str| Holding {
        topic,
        part,
        member: member.to_owned(),
    };
    let member = |part: u32| members[part as usize % members.len()];
    let results = (0..PARTS).map(|part| holding(Topic::Results, part, member(part)));
    results
        .chain([holding(Topic::Duty, 0, members[0])])
        .collect()
}

/// Has a standby observe the same list at each interval of a time; returns when and why it changed.
fn observe(
    standby: &mut Standby,
    holdings: &[Holding],
    times: std::ops::Range<u64>,
) -> Vec<(u64, StandbyChange)> {
    let mut changes = Vec::new();
    for at in times.step_by(INTERVAL as usize) {
        let listing = Listing {
            asked: Millis(at),
            answered: Millis(at + 4),
            holdings,
        };
        changes.extend(standby.observe(&listing).map(|change| (at, change)));
    }
    changes
}

/// Returns a standby that has joined because nobody held a partition.
fn member() -> Standby {
    let mut standby = standby();
    let changes = observe(&mut standby, &[], 0..3_000);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(standby.is_member());
    standby
}

/// Guards against a change for hosts that own partitions today.
#[rstest]
#[case::small(0.09, 1_500, true)]
#[case::large(0.2, 1_500, false)]
#[case::small_store(0.09, 999, false)]
#[case::without_limits(Resources::default().cores, 1_500, false)]
fn only_small_hosts_at_large_stores_are_standbys(
    #[case] cores: f64,
    #[case] max_writes: u32,
    #[case] expected: bool,
) {
    let store = StoreBounds {
        max_writes,
        ..StoreBounds::default()
    };
    let resources = Resources {
        cores,
        ..Resources::default()
    };
    assert_eq!(is_standby(&resources, &store), expected);
}

/// Guards against batches that nobody runs after all large hosts have ended, and against small hosts that
/// take over from one that is only late.
#[rstest]
#[case::no_holder(Vec::new())]
#[case::a_partition_without_holder(held_by(&[LARGE]).split_off(1))]
#[case::the_duty_without_holder(held_by(&[LARGE])[..PARTS as usize].to_vec())]
fn a_standby_joins_once_a_partition_was_unheld_for_longer_than_a_membership(
    #[case] holdings: Vec<Holding>,
) {
    let mut standby = standby();
    assert_eq!(observe(&mut standby, &held_by(&[LARGE]), 0..60_000), []);
    let changes = observe(&mut standby, &holdings, 60_000..63_000);
    let (at, reason) = changes[0];
    assert_eq!(reason, StandbyChange::Unheld);
    assert!(
        at > 60_000 + TTL && at < 60_000 + TTL + 2 * INTERVAL,
        "{at}"
    );
}

/// Guards against dozens of hosts that join because a host was restarted, or because lists were missing for
/// some time and it isn't known what they would have said.
#[test]
fn a_series_of_lists_that_is_broken_begins_again() {
    let mut standby = standby();
    assert_eq!(observe(&mut standby, &[], 0..2_000), []);
    assert_eq!(observe(&mut standby, &held_by(&[LARGE]), 2_000..2_001), []);
    assert_eq!(observe(&mut standby, &[], 3_000..5_000), []);
    // No lists for 10 s.
    assert_eq!(observe(&mut standby, &[], 15_000..17_000), []);
    assert_eq!(observe(&mut standby, &[], 17_100..17_200).len(), 1);
}

/// Guards against a decision by old news: a list that was long on its way says how things were when it was
/// asked for.
#[test]
fn a_late_list_counts_from_its_answer_to_the_next_question() {
    let mut standby = standby();
    let listing = |asked, answered| Listing {
        asked: Millis(asked),
        answered: Millis(answered),
        holdings: &[],
    };
    assert_eq!(standby.observe(&listing(0, 1_500)), None);
    assert_eq!(standby.observe(&listing(1_600, 3_400)), None);
    assert_eq!(standby.observe(&listing(3_500, 5_500)), None);
    assert_eq!(
        standby.observe(&listing(3_600, 5_600)),
        Some(StandbyChange::Unheld)
    );
}

/// Guards against a fleet whose batches stop while the store returns no lists: a member stays one, others
/// stay out.
#[test]
fn without_lists_nothing_changes() {
    let mut member = member();
    assert_eq!(observe(&mut member, &held_by(&[LARGE]), 3_000..4_000), []);
    assert!(member.is_member());
    assert_eq!(observe(&mut member, &held_by(&[LARGE]), 60_000..61_500), []);
    assert!(member.is_member());
    assert!(!standby().is_member());
}

/// Guards against small hosts that keep partitions, and the duties, once large hosts are back.
#[test]
fn a_standby_leaves_once_a_large_host_holds_partitions() {
    let mut standby = member();
    assert_eq!(
        observe(&mut standby, &held_by(&[OWN, OTHER]), 3_000..30_000),
        []
    );
    let changes = observe(&mut standby, &held_by(&[OWN, LARGE]), 30_000..33_000);
    assert_eq!(changes[0].1, StandbyChange::Relieved);
    // The store assigns its partitions to the large host.
    assert_eq!(
        observe(&mut standby, &held_by(&[LARGE]), 33_000..60_000),
        []
    );
    assert!(!standby.is_member());
}

/// Guards against a single small host that runs all batches of a fleet of small hosts: the first one to
/// join holds everything, and the others see no partition without a holder.
#[test]
fn standbys_share_the_partitions_that_one_of_them_holds() {
    let mut standby = standby();
    let changes = observe(&mut standby, &held_by(&[OTHER]), 0..3_000);
    assert_eq!(changes[0].1, StandbyChange::Crowded);
}

/// Guards against endless hand-overs: a store that assigns partition 0 of each topic to the same member leaves
/// later members without any, however much the first ones hold.
#[test]
fn a_standby_that_is_assigned_nothing_leaves_for_good() {
    let mut standby = member();
    let others: Vec<String> = (2..7)
        .map(|host| format!("10.0.0.{host}:7660#0-standby"))
        .collect();
    let others: Vec<&str> = others.iter().map(String::as_str).collect();
    let changes = observe(&mut standby, &held_by(&others), 3_000..120_000);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].1, StandbyChange::Unneeded);
    // Once a large host has come and gone, it is of use again.
    assert_eq!(
        observe(&mut standby, &held_by(&[LARGE]), 120_000..121_000),
        []
    );
    let changes = observe(&mut standby, &held_by(&[OTHER]), 121_000..124_000);
    assert_eq!(changes[0].1, StandbyChange::Crowded);
}
