//! Cold targets: their permits, and what their slowness means.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{collections::HashMap, time::Duration};

use godwitspool_host::version::{
    ColdBound, ColdRule, Fleet, Limiter, Outcome, Permit, PermitNeed, Service, TargetEntry,
};
use godwitspool_types::{Dc, Millis, ServiceName, TargetName};
use rstest::rstest;

const BOUND: ColdBound = ColdBound {
    overage: 1.5,
    slack: 5.0,
};
const RATE: f64 = 7.8;

fn service() -> ServiceName {
    ServiceName::from("s")
}

fn name(name: &str) -> TargetName {
    TargetName::from(name)
}

fn entry(name: &str) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(name),
        service: service(),
        address: ([127, 0, 0, 1], 80).into(),
        dc: Dc::from("north"),
        slots: 2,
        draining: false,
        models: HashMap::new(),
        born: 10,
        cold_left: Millis::ZERO,
    }
}

/// Returns a fleet whose targets are cold for 3 s after their start.
fn fleet(entries: impl IntoIterator<Item = TargetEntry>) -> Fleet {
    let mut fleet = Fleet::default();
    let cold = Service {
        cold: Duration::from_secs(3),
        cold_rate: Some(RATE),
        ..Service::default()
    };
    fleet.set_cold_rules(ColdRule::of_services(
        &HashMap::from([(service(), cold)]),
        &BOUND,
    ));
    for entry in entries {
        fleet.apply(entry);
    }
    fleet
}

fn chosen(fleet: &Fleet, now: u64) -> Option<String> {
    let chosen = fleet.choose(&service(), &Dc::from("north"), &[], Millis(now));
    chosen.map(|target| target.entry.name.to_string())
}

/// Each of 300 hosts has a request for the same target every 10 ms. A third of them take another host for its
/// home and a third ask a stand-in, and permits are used as late as they may be: 0.7 s after they were granted.
#[rstest]
#[case(0.5)]
#[case(2.0)]
#[case(RATE)]
#[case(40.0)]
fn three_hundred_hosts_together_stay_within_the_rule(#[case] rate: f64) {
    let allowed = rate * BOUND.overage + BOUND.slack;
    let need = PermitNeed {
        named: None,
        cold: Some(BOUND.permit_rate(rate)),
    };
    let mut homes = [(); 3].map(|()| Limiter::default());
    // Hosts that were told to come back later, until when.
    let mut blocked = vec![0; 300];
    let mut granted: Vec<u64> = Vec::new();
    for now in (0..10_000).step_by(10) {
        for (host, blocked) in blocked.iter_mut().enumerate() {
            if *blocked > now {
                continue;
            }
            let side = host % 3;
            match homes[side].take_for(&name("t"), need, side == 2, Millis(now)) {
                Permit::Granted => granted.push(now),
                Permit::Later(retry) => *blocked = now + retry.0,
                Permit::Unlimited => panic!("a cold target is limited"),
            }
        }
    }
    let counts = granted.iter().enumerate().map(|(first, begin)| {
        let within = granted[first..].iter();
        within.take_while(|at| **at < begin + 1_700).count()
    });
    let most = counts.max().unwrap();
    assert!(most as f64 <= allowed, "{most} of {allowed}");
    assert!(most >= 1, "some requests are let through");
}

/// Guards against a limit that a target names while it is cold, and that is lower, being forgotten.
#[rstest]
#[case(1.0, Some(4.0), 1.0)]
#[case(8.0, Some(4.0), 4.0)]
#[case(8.0, None, 8.0)]
fn the_smaller_rate_applies(#[case] named: f64, #[case] cold: Option<f64>, #[case] rate: f64) {
    let mut limiter = Limiter::default();
    let need = PermitNeed {
        named: Some((named, Millis(1))),
        cold,
    };
    let ask = |now: &u64| limiter.take_for(&name("t"), need, false, Millis(*now));
    let granted = (0..10_000).step_by(5).map(|now| now + 1);
    let granted = granted.collect::<Vec<u64>>();
    let granted = granted.iter().map(ask);
    let granted = granted.filter(|permit| *permit == Permit::Granted).count();
    assert!((granted as f64 - rate * 10.0).abs() <= 1.0, "{granted}");
}

/// The end of the cold time leaves a limit that the target has named in force.
#[test]
fn a_named_limit_outlasts_the_cold_time() {
    let mut limiter = Limiter::default();
    let cold = PermitNeed {
        named: None,
        cold: Some(4.0),
    };
    limiter.take_for(&name("t"), cold, false, Millis(1_000));
    let named = limiter.take(&name("t"), 1.0, Millis::ZERO, false, Millis(1_001));
    assert!(matches!(named, Permit::Later(_)), "{named:?}");
}

/// Guards against a rush at a target that this host has just heard of.
#[test]
fn a_new_target_needs_permits_for_the_cold_time() {
    let mut fleet = fleet([entry("a")]);
    assert!(fleet.presume_cold(&name("a"), Millis(100)));
    assert!(!fleet.take_permit(&name("a"), Millis(3_099)));
    let need = fleet.permit_need(&name("a"), Millis(200)).unwrap();
    assert_eq!(need.cold, Some(BOUND.permit_rate(RATE)));
    assert!(fleet.take_permit(&name("a"), Millis(3_100)));
    assert_eq!(fleet.permit_need(&name("a"), Millis(3_100)), None);
}

/// A target that a host on the way loses and finds again under its name is another start.
#[test]
fn a_restart_under_the_name_forgets_the_earlier_start() {
    let mut fleet = fleet([entry("a")]);
    let restarted = TargetEntry {
        born: 20,
        ..entry("a")
    };
    assert!(fleet.apply(restarted));
    assert!(!fleet.observe_cold(&name("a"), 10, Millis(500), Millis(0)));
    assert!(fleet.take_permit(&name("a"), Millis(0)), "an old statement");
    assert!(fleet.observe_cold(&name("a"), 20, Millis(500), Millis(0)));
    assert!(!fleet.take_permit(&name("a"), Millis(0)));
}

/// The newer statement counts, also if it is the shorter one.
#[test]
fn a_newer_statement_ends_the_cold_time() {
    let mut fleet = fleet([entry("a")]);
    fleet.presume_cold(&name("a"), Millis(0));
    fleet.observe_cold(&name("a"), 10, Millis::ZERO, Millis(400));
    assert!(fleet.take_permit(&name("a"), Millis(400)));
}

/// Whether the targets of a restored data centre are cold isn't known until their next entry.
#[test]
fn a_restored_data_centre_is_taken_as_cold() {
    let mut fleet = fleet([entry("a")]);
    let north = Dc::from("north");
    fleet.set_evacuated(&north, true, Millis(0));
    fleet.set_evacuated(&north, false, Millis(1_000));
    assert!(!fleet.take_permit(&name("a"), Millis(1_000)));
    assert!(fleet.take_permit(&name("a"), Millis(4_000)));
    // What the target has said holds if it is longer.
    fleet.observe_cold(&name("a"), 10, Millis(9_000), Millis(4_000));
    fleet.set_evacuated(&north, true, Millis(4_000));
    fleet.set_evacuated(&north, false, Millis(4_000));
    assert!(!fleet.take_permit(&name("a"), Millis(12_999)));
    fleet.observe_cold(&name("a"), 10, Millis::ZERO, Millis(5_000));
    // A key that is removed twice restores once.
    fleet.set_evacuated(&north, false, Millis(5_000));
    assert!(fleet.take_permit(&name("a"), Millis(5_000)));
}

/// Guards against a target that is paused or avoided for long after it has warmed up.
#[test]
fn slowness_while_cold_is_no_fault() {
    let mut fleet = fleet([entry("a")]);
    fleet.presume_cold(&name("a"), Millis(0));
    let before = fleet.get(&name("a")).unwrap().clone();
    for outcome in [Outcome::Answered(900.0), Outcome::Stalled] {
        fleet.start(&name("a"));
        fleet.finish(&name("a"), outcome, Millis(100));
    }
    fleet.record_pace(&name("a"), 400.0, Millis(100));
    let after = fleet.get(&name("a")).unwrap();
    assert_eq!(after.latency_ms.to_bits(), before.latency_ms.to_bits());
    assert_eq!(after.paused_until, before.paused_until);
    assert_eq!(after.speed.recent_ms(Millis(100)), None);
}

/// Callers would wait for permits and slow responses although a warm target is free.
#[test]
fn requests_go_to_warm_targets_while_they_have_free_slots() {
    let mut far = entry("b");
    far.dc = Dc::from("south");
    let mut fleet = fleet([entry("a"), far]);
    assert_eq!(chosen(&fleet, 0).as_deref(), Some("a"));
    fleet.presume_cold(&name("a"), Millis(0));
    assert_eq!(chosen(&fleet, 0).as_deref(), Some("b"));
    for _ in 0..2 {
        fleet.start(&name("b"));
    }
    assert_eq!(chosen(&fleet, 0).as_deref(), Some("a"), "b is full");
    fleet
        .limited(&name("a"), Millis(0))
        .unwrap()
        .block(Millis(300), Millis(0));
    assert_eq!(chosen(&fleet, 0).as_deref(), Some("b"), "no permit is left");
}

/// A service without a cold time ignores what entries say, as before.
#[test]
fn targets_of_other_services_are_never_cold() {
    let mut other = entry("a");
    other.service = ServiceName::from("other");
    let mut fleet = fleet([other]);
    assert!(!fleet.observe_cold(&name("a"), 10, Millis(9_000), Millis(0)));
    assert!(!fleet.presume_cold(&name("a"), Millis(0)));
    assert!(fleet.take_permit(&name("a"), Millis(0)));
}
