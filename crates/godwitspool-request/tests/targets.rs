//! The choice of a target, and prefix hints.

use std::collections::BTreeMap;

use godwitspool_request::{
    AttemptOutcome, Choice, LoadReport, Need, PrefixEvent, Prefixes, TargetFacts, TargetId,
    Targets, stable_hash,
};
use godwitspool_types::{Dc, Millis, ServiceName, TargetName, WeightVersion};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use rstest::rstest;

const NOW: Millis = Millis(1_000);

fn facts(name: &str, dc: &str, cost: u64, slots: u32) -> TargetFacts {
    TargetFacts {
        cost,
        dc: Dc::from(dc),
        service: ServiceName::from("desk"),
        slots,
        accepts_work: true,
        target: TargetName::from(name),
        ..TargetFacts::default()
    }
}

fn need(fingerprint: u64) -> Need {
    Need {
        fingerprint: stable_hash(&fingerprint.to_le_bytes()),
        service: ServiceName::from("desk"),
        ..Need::default()
    }
}

fn fleet(count: u32, slots: u32) -> Targets {
    let mut targets = Targets::new(Dc::from("gori"));
    for index in 0..count {
        targets.put(facts(&format!("t{index}"), "gori", 1, slots));
    }
    targets
}

fn chosen(targets: &Targets, need: &Need) -> TargetId {
    match targets.choose(need, NOW) {
        Choice::Target(id) => id,
        other => panic!("{other:?}"),
    }
}

fn name(targets: &Targets, need: &Need) -> String {
    targets.facts(chosen(targets, need)).target.to_string()
}

#[test]
fn the_own_data_centre_comes_first_and_overflows_when_full() {
    let mut targets = Targets::new(Dc::from("gori"));
    targets.put(facts("far", "tbilisi", 1, 4));
    let near = targets.put(facts("near", "gori", 9, 4));
    assert_eq!(name(&targets, &need(1)), "near");
    (0..4).for_each(|_| targets.begin(near));
    assert_eq!(name(&targets, &need(1)), "far");
    targets.end(near);
    targets.end(near);
    assert_eq!(name(&targets, &need(1)), "near");
    targets.remove(&TargetName::from("near"));
    assert_eq!(name(&targets, &need(1)), "far");
}

#[test]
fn the_cheaper_fills_first_but_not_to_the_brim() {
    let mut targets = Targets::new(Dc::from("gori"));
    let cheap = targets.put(facts("cheap", "gori", 1, 4));
    let dear = targets.put(facts("dear", "gori", 5, 4));
    for _ in 0..3 {
        assert_eq!(chosen(&targets, &need(1)), cheap);
        targets.begin(cheap);
    }
    assert_eq!(chosen(&targets, &need(1)), dear);
    (0..4).for_each(|_| targets.begin(dear));
    assert_eq!(chosen(&targets, &need(1)), cheap);
    targets.begin(cheap);
    assert_eq!(targets.choose(&need(1), NOW), Choice::Full);
}

#[test]
fn reclaimable_targets_serve_what_can_go_on_elsewhere() {
    let mut targets = Targets::new(Dc::from("gori"));
    let firm = targets.put(facts("firm", "gori", 5, 1));
    let cheap = targets.put(TargetFacts {
        reclaimable: true,
        ..facts("cheap", "gori", 1, 1)
    });
    let resumable = Need {
        resumable: true,
        ..need(1)
    };
    assert_eq!(chosen(&targets, &resumable), cheap);
    assert_eq!(chosen(&targets, &need(1)), firm);
    targets.begin(firm);
    assert_eq!(
        chosen(&targets, &need(1)),
        cheap,
        "a reclaimable target is used when all others are full"
    );
}

#[rstest]
#[case(3)]
#[case(500)]
fn leaving_tried_and_broken_targets_get_nothing(#[case] count: u32) {
    let mut targets = fleet(count, 4);
    let first = chosen(&targets, &need(7));
    let retry = Need {
        tried: vec![first],
        ..need(7)
    };
    let second = chosen(&targets, &retry);
    assert_ne!(second, first);

    let mut rng = StdRng::seed_from_u64(1);
    (0..3).for_each(|_| targets.record(second, AttemptOutcome::Unreachable, NOW, &mut rng));
    let third = chosen(&targets, &retry);
    assert!(third != first && third != second);

    let facts = TargetFacts {
        accepts_work: false,
        ..targets.facts(third).clone()
    };
    targets.put(facts);
    for print in 0..500 {
        assert_ne!(chosen(&targets, &need(print)), third);
    }
}

#[test]
fn nothing_fits_and_everything_is_full_are_distinguished() {
    let mut targets = fleet(200, 1);
    let other = Need {
        service: ServiceName::from("else"),
        ..need(1)
    };
    assert_eq!(targets.choose(&other, NOW), Choice::None);
    let version = Need {
        version: Some(WeightVersion::from("v9")),
        ..need(1)
    };
    assert_eq!(targets.choose(&version, NOW), Choice::None);
    for index in 0..200 {
        let report = LoadReport {
            busy: 1,
            ..LoadReport::default()
        };
        targets.report(&TargetName::from(format!("t{index}")), &report);
    }
    assert_eq!(targets.choose(&need(1), NOW), Choice::Full);
}

#[rstest]
#[case(12)]
#[case(1_000)]
fn a_version_is_found_among_many(#[case] count: u32) {
    let mut targets = fleet(count, 4);
    let report = LoadReport {
        busy: 0,
        weights: WeightVersion::from("v9"),
    };
    for index in (0..count).step_by(10) {
        targets.report(&TargetName::from(format!("t{index}")), &report);
    }
    for print in 0..200 {
        let need = Need {
            version: Some(WeightVersion::from("v9")),
            ..need(print)
        };
        let name = name(&targets, &need);
        let index: u32 = name[1..].parse().unwrap();
        assert_eq!(index % 10, 0, "{name} does not serve v9");
    }
}

#[test]
fn own_requests_count_before_the_report_shows_them() {
    let mut targets = fleet(1, 100);
    let (id, name) = (chosen(&targets, &need(1)), TargetName::from("t0"));
    let report = |busy| LoadReport {
        busy,
        ..LoadReport::default()
    };
    (0..5).for_each(|_| targets.begin(id));
    targets.report(&name, &report(20));
    assert_eq!(
        targets.load(id),
        25,
        "the report predates the five requests"
    );
    targets.report(&name, &report(25));
    assert_eq!(
        targets.load(id),
        25,
        "the report contains the five requests"
    );
    (0..5).for_each(|_| targets.end(id));
    assert_eq!(targets.load(id), 20);
}

#[test]
fn an_affinity_stays_until_its_target_is_much_fuller() {
    let mut targets = fleet(8, 8);
    let group = |print| Need {
        affinity: Some(stable_hash(b"group")),
        ..need(print)
    };
    let home = chosen(&targets, &group(0));
    for print in 0..3 {
        assert_eq!(chosen(&targets, &group(print)), home);
        targets.begin(home);
    }
    assert_ne!(chosen(&targets, &group(3)), home);
}

#[test]
fn copies_of_a_request_meet_the_same_two_targets_on_every_host() {
    let mut hosts: Vec<Targets> = (0..6).map(|_| fleet(300, 100)).collect();
    let mut seen = BTreeMap::<String, u32>::new();
    for turn in 0..60 {
        let targets = &mut hosts[turn % 6];
        let id = chosen(targets, &need(77));
        targets.begin(id);
        *seen
            .entry(targets.facts(id).target.to_string())
            .or_default() += 1;
    }
    assert_eq!(seen.len(), 2, "{seen:?}");
}

#[test]
fn a_holder_of_the_prefix_is_taken_while_it_has_room() {
    let mut targets = fleet(8, 4);
    let far = targets.put(facts("far", "tbilisi", 1, 4));
    let holder = targets.find(&TargetName::from("t5")).unwrap();
    let need = Need {
        holders: vec![far, holder],
        ..need(1)
    };
    for _ in 0..3 {
        assert_eq!(chosen(&targets, &need), holder);
        targets.begin(holder);
    }
    assert_ne!(chosen(&targets, &need), holder);
}

#[test]
fn a_removed_target_is_kept_until_its_last_request_ends() {
    let mut targets = fleet(1, 4);
    let id = chosen(&targets, &need(1));
    targets.begin(id);
    targets.remove(&TargetName::from("t0"));
    let other = targets.put(facts("t1", "gori", 1, 4));
    assert_ne!(other, id);
    targets.end(id);
    assert_eq!(targets.put(facts("t2", "gori", 1, 4)), id);
    assert_eq!(targets.load(id), 0);
}

proptest! {
    /// While targets join, leave and fill up, the chosen target always accepts work and isn't full,
    /// and a target is chosen as long as one isn't full.
    #[test]
    fn a_choice_always_fits(
        steps in prop::collection::vec((0..5_u8, 0..40_u32), 1..300),
    ) {
        let mut targets = fleet(20, 2);
        let mut running: Vec<TargetId> = Vec::new();
        for (kind, index) in steps {
            let named = format!("t{index}");
            match kind {
                0 => { targets.put(facts(&named, "gori", 1, 2)); }
                1 => targets.remove(&TargetName::from(named)),
                2 if !running.is_empty() => {
                    let id = running.swap_remove(index as usize % running.len());
                    targets.end(id);
                }
                _ => if let Choice::Target(id) = targets.choose(&need(u64::from(index)), NOW) {
                    prop_assert!(targets.load(id) < 2);
                    prop_assert_eq!(targets.find(&targets.facts(id).target), Some(id));
                    targets.begin(id);
                    running.push(id);
                } else {
                    let room = targets.names().filter_map(|name| targets.find(name));
                    prop_assert!(room.into_iter().all(|id| targets.load(id) >= 2));
                },
            }
        }
    }

    /// Prefix hints match the target's cache if no event is lost, even if events are read several
    /// times. After a gap they cover only the events after it.
    #[test]
    fn prefix_hints_survive_late_and_lost_events(
        events in prop::collection::vec((0..6_u64, any::<bool>()), 1..60),
        cut in 0..60_usize,
        lost in any::<bool>(),
    ) {
        let events: Vec<PrefixEvent> = events.into_iter().enumerate().map(|(index, (prefix, stored))| {
            PrefixEvent { prefix, sequence: index as u64, stored }
        }).collect();
        let target = TargetName::from("t");
        let mut prefixes = Prefixes::default();
        let cut = cut.min(events.len() - 1);
        prefixes.fold(&target, &events[..cut], cut as u64);
        prefixes.fold(&target, &events[..cut / 2], cut as u64);
        let from = if lost { cut + 1 } else { cut / 2 };
        prefixes.fold(&target, &events[from..], events.len() as u64);
        let trusted = if lost { &events[from..] } else { &events[..] };
        for prefix in 0..6 {
            let last = trusted.iter().rev().find(|event| event.prefix == prefix);
            let holds = last.is_some_and(|event| event.stored);
            prop_assert_eq!(!prefixes.holders(prefix).is_empty(), holds);
        }
    }
}

#[test]
fn a_restarted_target_holds_nothing_and_memory_is_bounded() {
    let target = TargetName::from("t");
    let mut prefixes = Prefixes::default();
    let many: Vec<PrefixEvent> = (0..5_000)
        .map(|sequence| PrefixEvent {
            prefix: sequence,
            sequence,
            stored: true,
        })
        .collect();
    prefixes.fold(&target, &many, 5_000);
    assert!(prefixes.holders(0).is_empty());
    assert_eq!(prefixes.holders(4_999).len(), 1);
    prefixes.fold(&target, &[], 0);
    assert!(prefixes.holders(4_999).is_empty());
    assert_eq!(prefixes.next(&target), 0);
}

#[test]
fn a_host_of_a_nearly_full_service_keeps_to_its_part() {
    let mut targets = fleet(4, 10);
    targets.set_hosts(2);
    let report = |busy| LoadReport {
        busy,
        ..LoadReport::default()
    };
    for _ in 0..26 {
        let id = chosen(&targets, &need(1));
        targets.begin(id);
    }
    assert!(
        matches!(targets.choose(&need(1), NOW), Choice::Target(_)),
        "not yet nearly full"
    );
    for index in 0..4 {
        targets.report(&TargetName::from(format!("t{index}")), &report(1));
    }
    assert_eq!(targets.choose(&need(1), NOW), Choice::Full);
    targets.set_hosts(1);
    assert!(matches!(targets.choose(&need(1), NOW), Choice::Target(_)));
}
