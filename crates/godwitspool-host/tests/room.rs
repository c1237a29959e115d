//! Room for callers' requests at the targets of a service. Each test guards against a wait without a
//! shortage, or against a shortage that isn't seen.

use std::collections::HashMap;

use godwitspool_host::{
    process::RunReport,
    version::{Fleet, Outcome, TargetEntry},
};
use godwitspool_types::{Dc, Millis, ServiceName, TargetName};

const NOW: Millis = Millis(1_000);

fn fleet(slots: &[u32]) -> Fleet {
    let mut fleet = Fleet::default();
    for (number, slots) in slots.iter().enumerate() {
        fleet.apply(TargetEntry {
            name: name(number),
            service: ServiceName::from("plain"),
            address: ([127, 0, 0, 1], 80).into(),
            dc: Dc::from("north"),
            slots: *slots,
            draining: false,
            models: HashMap::new(),
            born: 10,
            cold_left: Millis(0),
        });
    }
    fleet
}

fn name(number: usize) -> TargetName {
    TargetName::from(format!("t-{number}"))
}

fn room(fleet: &Fleet, now: Millis) -> Option<u32> {
    fleet.room(&ServiceName::from("plain"), now)
}

fn report(sender: u32, runs: u32) -> RunReport {
    RunReport {
        sender,
        number: 1,
        running: vec![(name(0), runs)],
        ..RunReport::default()
    }
}

#[test]
fn own_requests_fill_a_service() {
    let mut fleet = fleet(&[2, 1]);
    for (target, left) in [(0, 2), (1, 1), (0, 0)] {
        fleet.start_request(&name(target));
        assert_eq!(room(&fleet, NOW), Some(left));
    }
    fleet.finish_request(&name(1), Outcome::Answered(5.0), NOW);
    assert_eq!(room(&fleet, NOW), Some(1));
}

#[test]
fn items_and_reward_calls_leave_half_of_the_slots_to_callers() {
    let mut fleet = fleet(&[6]);
    for _ in 0..6 {
        fleet.start(&name(0));
    }
    fleet.apply_report(&report(7, 4), NOW);
    assert_eq!(room(&fleet, NOW), Some(3));
    for _ in 0..3 {
        fleet.start_request(&name(0));
    }
    assert_eq!(room(&fleet, NOW), Some(0));
}

#[test]
fn reports_of_other_hosts_count_until_they_are_old() {
    let mut fleet = fleet(&[6]);
    fleet.apply_report(&report(7, 1), NOW);
    fleet.apply_report(&report(8, 1), NOW);
    assert_eq!(room(&fleet, NOW), Some(4));
    assert_eq!(room(&fleet, NOW + Millis(500)), Some(6));
}

#[test]
fn paused_targets_have_no_room_unless_all_are() {
    let mut fleet = fleet(&[2, 2]);
    fleet.start_request(&name(0));
    fleet.finish_request(&name(0), Outcome::Refused, NOW);
    assert_eq!(room(&fleet, NOW), Some(2));
    fleet.start_request(&name(1));
    fleet.finish_request(&name(1), Outcome::Failed, NOW);
    for _ in 0..3 {
        fleet.start_request(&name(1));
    }
    assert_eq!(
        room(&fleet, NOW),
        Some(2),
        "a pause of all targets sends them no more than they have slots"
    );
    for _ in 0..3 {
        fleet.finish_request(&name(1), Outcome::Dropped, NOW);
    }
    assert_eq!(room(&fleet, NOW + Millis(500)), Some(4));
}

#[test]
fn a_service_with_a_target_without_slots_is_never_full() {
    let mut fleet = fleet(&[2, 0]);
    for _ in 0..5 {
        fleet.start_request(&name(0));
    }
    assert_eq!(room(&fleet, NOW), None);
    assert_eq!(room(&Fleet::default(), NOW), None, "no target to wait for");
}
