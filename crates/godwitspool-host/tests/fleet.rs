//! Choice of targets based on their entries, own observations and reports of other hosts.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::HashMap;

use godwitspool_host::{
    process::{Notice, RunReport},
    version::{Assignments, Fleet, LOAD_TIME, Outcome, PlaceRequest, Placement, TargetEntry, Work},
};
use godwitspool_request::stable_hash;
use godwitspool_types::{Dc, Millis, ModelName, ServiceName, TargetName};

fn entry(name: &str, version: u64) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(name),
        service: ServiceName::from("engine"),
        address: ([127, 0, 0, 1], 80).into(),
        dc: Dc::from("north"),
        slots: 4,
        draining: false,
        models: HashMap::from([(ModelName::from("m"), version)]),
        born: 10,
        cold_left: Millis::ZERO,
    }
}

fn fleet(entries: impl IntoIterator<Item = TargetEntry>) -> Fleet {
    let mut fleet = Fleet::default();
    for entry in entries {
        fleet.apply(entry);
    }
    fleet
}

/// Chooses the target for an item as the host of this name.
fn place_as(host: &str, fleet: &Fleet, min_version: u64, now: u64) -> Option<Placement> {
    let (service, model) = (ServiceName::from("engine"), ModelName::from("m"));
    fleet.place(&PlaceRequest {
        assigned: &fleet.assign_models(&service, std::slice::from_ref(&model)),
        dc: &Dc::from("north"),
        excluded: None,
        host: stable_hash(host.as_bytes()),
        model: &model,
        now: Millis(now),
        service: &service,
        versions: &(min_version..=u64::MAX),
        work: Work {
            events: 20.0,
            usual_events: 20.0,
            ..Work::default()
        },
    })
}

fn place(fleet: &Fleet, min_version: u64, now: u64) -> Option<String> {
    let place = place_as("h", fleet, min_version, now);
    place.map(|place| place.target.to_string())
}

#[test]
fn entries_of_an_earlier_start_are_ignored() {
    let mut fleet = fleet([entry("a", 3)]);
    let mut older = entry("a", 1);
    older.born = 5;
    assert!(!fleet.apply(older));
    assert_eq!(place(&fleet, 3, 0).as_deref(), Some("a"));
    let mut newer = entry("a", 1);
    newer.born = 20;
    assert!(fleet.apply(newer));
    assert_eq!(
        place(&fleet, 3, 0),
        None,
        "a restarted target has lost its versions"
    );
}

#[test]
fn an_outdated_entry_does_not_revert_a_version() {
    let mut fleet = fleet([entry("a", 3)]);
    fleet.apply(entry("a", 2));
    assert_eq!(place(&fleet, 3, 0).as_deref(), Some("a"));
}

#[test]
fn a_target_is_kept_for_two_seconds_if_its_entry_vanished_in_an_outage() {
    let mut fleet = fleet([entry("a", 1), entry("b", 1)]);
    fleet.remove(&TargetName::from("a"), Some(Millis(3_000)));
    fleet.remove(&TargetName::from("b"), None);
    assert!(fleet.get(&TargetName::from("b")).is_none());
    assert!(fleet.expire(Millis(2_999)).is_empty());
    assert_eq!(fleet.expire(Millis(3_000)), [TargetName::from("a")]);
    assert_eq!(place(&fleet, 1, 3_000), None);
}

#[test]
fn a_draining_target_is_not_chosen() {
    let mut leaving = entry("a", 1);
    leaving.draining = true;
    let fleet = fleet([leaving, entry("b", 1)]);
    let service = ServiceName::from("engine");
    let chosen = fleet
        .choose(&service, &Dc::from("north"), &[], Millis(0))
        .unwrap();
    assert_eq!(chosen.entry.name.as_str(), "b");
}

#[test]
fn a_failing_target_is_paused_with_growing_backoff_and_tried_again() {
    let mut fleet = fleet([entry("a", 1)]);
    let name = TargetName::from("a");
    let mut pauses = Vec::new();
    for _ in 0..5 {
        fleet.start(&name);
        fleet.finish(&name, Outcome::Failed, Millis(0));
        pauses.push(fleet.get(&name).unwrap().paused_until);
    }
    assert!(pauses.is_sorted());
    assert_eq!(place(&fleet, 1, 0), None);
    let last = pauses.pop().unwrap();
    assert_eq!(place(&fleet, 1, last.0).as_deref(), Some("a"));
}

#[test]
fn running_requests_of_other_hosts_count_until_their_report_is_old() {
    let mut fleet = fleet([entry("a", 1)]);
    let report = RunReport {
        sender: 7,
        number: 2,
        running: vec![(TargetName::from("a"), 4)],
        owned: Vec::new(),
        named: Vec::new(),
    };
    fleet.apply_report(&report, Millis(100));
    assert_eq!(
        place(&fleet, 1, 200),
        None,
        "every slot is taken by another host"
    );
    let older = RunReport {
        number: 1,
        running: Vec::new(),
        ..report
    };
    fleet.apply_report(&older, Millis(150));
    assert_eq!(
        place(&fleet, 1, 200),
        None,
        "a report that arrives out of order is ignored"
    );
    assert_eq!(
        place(&fleet, 1, 700).as_deref(),
        Some("a"),
        "an old report is ignored"
    );
}

#[test]
fn a_loading_target_is_not_chosen_and_then_serves_the_new_version() {
    let mut fleet = fleet([entry("a", 1)]);
    let (name, model) = (TargetName::from("a"), ModelName::from("m"));
    fleet.begin_load(&name, &model, 2, Millis(0));
    assert_eq!(place(&fleet, 1, 100), None);
    let place = place_as("h", &fleet, 2, LOAD_TIME.0).unwrap();
    assert_eq!(
        place.expected,
        Some(2),
        "the request names the expected version, which the target checks"
    );
    fleet.observe_version(&name, &model, 2);
    let place = place_as("h", &fleet, 2, LOAD_TIME.0).unwrap();
    assert_eq!(place.expected, None);
}

#[test]
fn slow_targets_come_last_and_are_tried_again() {
    let mut fleet = fleet([entry("a", 1), entry("b", 1), entry("c", 1)]);
    for (name, pace) in [("a", 160.0), ("b", 40.0), ("c", 41.0)] {
        fleet.record_pace(&TargetName::from(name), pace, Millis(0));
    }
    for name in ["b", "c"] {
        for _ in 0..3 {
            fleet.start(&TargetName::from(name));
        }
    }
    assert_ne!(place(&fleet, 1, 10).as_deref(), Some("a"));
    assert_eq!(
        place(&fleet, 1, 5_000).as_deref(),
        Some("a"),
        "its old pace is ignored"
    );
}

#[test]
fn targets_are_assigned_evenly_and_few_move_when_one_leaves() {
    let models: Vec<ModelName> = ["x", "y", "z"].map(ModelName::from).to_vec();
    let service = ServiceName::from("engine");
    let names: Vec<String> = (0..11).map(|number| format!("t{number}")).collect();
    let before = fleet(names.iter().map(|name| entry(name, 1))).assign_models(&service, &models);
    let after =
        fleet(names[1..].iter().map(|name| entry(name, 1))).assign_models(&service, &models);
    for model in &models {
        let count = before
            .values()
            .filter(|assigned| *assigned == model)
            .count();
        assert!((3..=4).contains(&count), "{model}: {count} of 11");
    }
    let moved = after
        .iter()
        .filter(|(name, model)| before.get(*name) != Some(*model))
        .count();
    assert!(moved <= 4, "{moved} of 10 moved");
}

/// Guards against reports that are thrown away whole because their host runs items on too many
/// targets for one datagram: the other hosts then take all of these targets for idle.
#[test]
fn a_report_in_several_datagrams_counts_whole() {
    let mut fleet = Fleet::default();
    let names: Vec<String> = (0..200)
        .map(|number| format!("target-{number:013}"))
        .collect();
    for name in &names {
        fleet.apply(entry(name, 1));
    }
    let report = |number, count| RunReport {
        sender: 7,
        number,
        running: names
            .iter()
            .map(|name| (name.as_str().into(), count))
            .collect(),
        owned: vec![(1, 5)],
        ..RunReport::default()
    };
    let send = |fleet: &mut Fleet, report: RunReport| {
        let datagrams = Notice::Runs(report).datagrams().unwrap();
        for datagram in &datagrams {
            let Ok(Notice::Runs(part)) = postcard::from_bytes(datagram) else {
                panic!("another notice");
            };
            fleet.apply_report(&part, Millis(100));
        }
        datagrams.len()
    };
    let running = |fleet: &Fleet| -> u32 {
        let targets = names
            .iter()
            .filter_map(|name| fleet.get(&name.as_str().into()));
        targets
            .map(|target| target.total_running(Millis(100)))
            .sum()
    };
    assert!(send(&mut fleet, report(1, 3)) > 1);
    assert_eq!(running(&fleet), 600);
    send(&mut fleet, report(2, 1));
    assert_eq!(running(&fleet), 200);
}

/// Reads of the entries hang while targets are replaced: by old entries, a request would go to a target
/// that has left.
#[test]
fn no_target_is_chosen_by_entries_that_may_be_too_old() {
    let mut fleet = Fleet::new(Millis(1_500));
    fleet.apply(entry("a", 1));
    let chosen = |fleet: &Fleet| {
        let (service, dc) = (ServiceName::from("engine"), Dc::from("north"));
        let request = fleet.choose(&service, &dc, &[], Millis(9_000)).is_some();
        let item = place(fleet, 1, 9_000).is_some();
        let call = fleet.place_call(&service, &dc, Millis(9_000)).is_some();
        assert!(
            request == item && item == call,
            "all choices follow one rule"
        );
        item
    };
    assert!(!chosen(&fleet), "before the first read");
    fleet.freshness.confirm(Millis(1_000));
    fleet.freshness.advance(Millis(2_500), None);
    assert!(chosen(&fleet), "by current entries");
    fleet.freshness.advance(Millis(2_501), None);
    assert!(!chosen(&fleet), "while a read hangs, or after a suspension");
    fleet.freshness.advance(Millis(4_000), Some(Millis(2_500)));
    assert!(chosen(&fleet), "while the store is known to be unreachable");
    fleet.freshness.advance(Millis(4_001), None);
    assert!(!chosen(&fleet), "a failed read ages as well");
}

/// Hundreds of hosts start items at the same time, by reports that are up to 500 ms late. Guards against
/// an order of equals that all hosts share: they would all send their items to the first target.
#[test]
fn hosts_with_late_reports_choose_different_targets() {
    const HOSTS: usize = 300;
    const ROUNDS: usize = 12;
    const ROUND_MS: u64 = 100;
    /// Rounds for which an item runs. The items of all hosts together take half of the slots.
    const RUN_ROUNDS: usize = 4;
    /// Maximum number of rounds by which a report is late.
    const LATE_ROUNDS: usize = 5;
    const SLOTS: u32 = 8;
    let entries = (0..HOSTS).map(|number| TargetEntry {
        slots: SLOTS,
        ..entry(&format!("t{number}"), 1)
    });
    // All hosts hear the same reports, so one fleet stands for what they know of each other. A host
    // knows its own runs at once.
    let mut fleet = fleet(entries);
    let mut number = 0;
    let mut report = |fleet: &mut Fleet, host: usize, runs: &[TargetName], now: u64| {
        number += 1;
        let mut running: HashMap<TargetName, u32> = HashMap::new();
        for target in runs {
            *running.entry(target.clone()).or_default() += 1;
        }
        let report = RunReport {
            sender: host as u32,
            number,
            running: running.into_iter().collect(),
            ..RunReport::default()
        };
        fleet.apply_report(&report, Millis(now));
    };
    let mut history: Vec<Vec<Vec<TargetName>>> = Vec::new();
    let mut largest = 0;
    for round in 0..ROUNDS {
        let now = round as u64 * ROUND_MS;
        let mut runs = history.last().cloned().unwrap_or(vec![Vec::new(); HOSTS]);
        for (host, runs) in runs.iter_mut().enumerate() {
            if runs.len() == RUN_ROUNDS {
                runs.remove(0);
            }
            report(&mut fleet, host, runs, now);
            let place = place_as(&format!("h{host}"), &fleet, 1, now);
            runs.extend(place.map(|place| place.target));
            let heard = round.checked_sub(host % (LATE_ROUNDS + 1) + 1);
            let heard = heard.map_or(&[][..], |heard| &history[heard][host]);
            report(&mut fleet, host, heard, now);
        }
        let mut counts: HashMap<&TargetName, u32> = HashMap::new();
        for target in runs.iter().flatten() {
            *counts.entry(target).or_default() += 1;
        }
        largest = largest.max(counts.into_values().max().unwrap_or_default());
        history.push(runs);
    }
    assert!(largest <= 2 * SLOTS, "{largest} items at one target");
}

/// Guards against items that are placed by an assignment of models that is out of date: whatever changes the
/// usable targets, what is kept equals what would be computed.
#[test]
fn kept_assignments_follow_every_change() {
    let (service, models) = (
        ServiceName::from("engine"),
        ["m", "n", "o"].map(ModelName::from),
    );
    let names: Vec<String> = (0..20).map(|number| format!("target-{number}")).collect();
    let mut fleet = fleet(names.iter().map(|name| entry(name, 1)));
    let mut assignments = Assignments::default();
    let mut assert_same = |fleet: &Fleet, models: &[ModelName]| {
        let kept = assignments.of(fleet, &service, models);
        assert_eq!(*kept, fleet.assign_models(&service, models));
        kept
    };
    let first = assert_same(&fleet, &models);
    fleet.apply(entry("target-3", 2));
    let again = assert_same(&fleet, &models);
    assert!(
        std::sync::Arc::ptr_eq(&first, &again),
        "a heartbeat changes nothing"
    );
    let name = TargetName::from("target-5");
    let mut changed = entry("target-5", 1);
    changed.draining = true;
    fleet.apply(changed);
    assert!(!assert_same(&fleet, &models).contains_key(&name));
    fleet.apply(entry("target-5", 1));
    assert!(assert_same(&fleet, &models).contains_key(&name));
    let mut changed = entry("target-6", 1);
    changed.service = ServiceName::from("other");
    fleet.apply(changed);
    assert_same(&fleet, &models);
    assert!(fleet.observe_leaving(&"target-7".into(), 10, Millis(0)));
    assert_same(&fleet, &models);
    let mut restarted = entry("target-7", 1);
    restarted.born = 20;
    fleet.apply(restarted);
    assert_same(&fleet, &models);
    fleet.remove(&"target-8".into(), None);
    assert_same(&fleet, &models);
    fleet.remove(&"target-9".into(), Some(Millis(100)));
    assert_same(&fleet, &models);
    fleet.expire(Millis(100));
    assert_eq!(assert_same(&fleet, &models).len(), 17);
    let north = Dc::from("north");
    fleet.set_evacuated(&north, true, Millis(100));
    assert!(assert_same(&fleet, &models).is_empty());
    fleet.set_evacuated(&north, false, Millis(100));
    assert_same(&fleet, &models[..2]);
}

/// Guards against items that cross to another data centre for a slightly emptier target, and against a data
/// centre that fills up while others are idle.
#[test]
fn items_stay_in_the_data_centre_below_half_load() {
    let mut far = entry("far", 1);
    far.dc = Dc::from("south");
    let mut fleet = fleet([entry("near", 1), far]);
    let placed = |fleet: &Fleet| place_as("h", fleet, 1, 0).map(|place| place.target.to_string());
    fleet.start(&TargetName::from("near"));
    assert_eq!(placed(&fleet).as_deref(), Some("near"));
    fleet.start(&TargetName::from("near"));
    assert_eq!(placed(&fleet).as_deref(), Some("far"));
}
