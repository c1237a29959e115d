//! Detection and quarantine of requests that crash targets.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_request::{
    Blame, CrashRecord, SuspectAction, SuspectEvent, SuspectList, SuspectStatus, Suspects,
    split_blame,
};
use godwitspool_types::{HostName, Millis, TargetName};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

fn ask(fingerprint: u64, known: CrashRecord) -> SuspectEvent {
    SuspectEvent::TrialRequested {
        host: HostName::from("h"),
        known,
        fingerprint,
    }
}

fn crash(suspects: &mut Suspects, target: &str, in_flight: &[u64], trials: &[u64]) {
    for blame in split_blame(&TargetName::from(target), in_flight, trials) {
        suspects.decide(SuspectEvent::Blamed(blame), Millis(0));
    }
}

#[test]
fn a_suspect_that_crashes_its_trial_is_quarantined_and_those_beside_it_are_not() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, "t1", &[1, 2, 3, 4], &[]);
    assert!(suspects.quarantined(Millis(0)).is_empty());
    assert_eq!(
        suspects.decide(ask(3, CrashRecord::default()), Millis(1)),
        [SuspectAction::Try]
    );
    crash(&mut suspects, "t2", &[3, 5, 6], &[3]);
    assert!(
        suspects.quarantined(Millis(2)).is_empty(),
        "one crash in a trial is not enough, since targets also crash for other reasons"
    );
    assert_eq!(
        suspects.decide(ask(3, CrashRecord::default()), Millis(2)),
        [SuspectAction::Try]
    );
    crash(&mut suspects, "t3", &[3, 5, 7], &[3]);
    assert_eq!(suspects.quarantined(Millis(2)), vec![3_u64]);
    let refused = suspects.decide(ask(3, CrashRecord::default()), Millis(1_000));
    assert_eq!(
        refused,
        [SuspectAction::Refuse(
            Suspects::QUARANTINE_PERIOD - Millis(1_000)
        )]
    );
}

#[test]
fn one_copy_runs_at_a_time_and_an_answer_clears() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, "t1", &[1], &[]);
    assert_eq!(
        suspects.decide(ask(1, CrashRecord::default()), Millis(1)),
        [SuspectAction::Try]
    );
    assert_eq!(
        suspects.decide(ask(1, CrashRecord::default()), Millis(2)),
        [SuspectAction::Busy]
    );
    let over = |answered| SuspectEvent::TrialEnded {
        answered,
        fingerprint: 1,
    };
    assert_eq!(suspects.decide(over(false), Millis(3)), []);
    assert_eq!(
        suspects.decide(ask(1, CrashRecord::default()), Millis(4)),
        [SuspectAction::Try]
    );
    assert_eq!(
        suspects.decide(over(true), Millis(5)),
        [SuspectAction::Clear(1)]
    );
}

#[test]
fn a_quarantine_ends_by_itself_and_can_be_lifted() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, "t1", &[1], &[]);
    crash(&mut suspects, "t2", &[1], &[1]);
    crash(&mut suspects, "t3", &[1], &[1]);
    assert_eq!(
        suspects.quarantined(Suspects::QUARANTINE_PERIOD - Millis(1)),
        vec![1_u64]
    );
    assert!(suspects.quarantined(Suspects::QUARANTINE_PERIOD).is_empty());
    let lifted = suspects.decide(SuspectEvent::Lift(1), Millis(5));
    assert_eq!(lifted, [SuspectAction::Clear(1)]);
    assert!(suspects.quarantined(Millis(6)).is_empty());
}

#[test]
fn two_reports_of_one_crash_count_once() {
    let mut suspects = Suspects::default();
    for _ in 0..5 {
        crash(&mut suspects, "t1", &[1], &[]);
    }
    crash(&mut suspects, "t2", &[1], &[]);
    assert!(suspects.quarantined(Millis(0)).is_empty());
}

#[test]
fn a_trial_that_crashes_a_restarted_target_counts() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, "t1", &[1, 2], &[]);
    for _ in 0..2 {
        suspects.decide(ask(1, CrashRecord::default()), Millis(0));
        crash(&mut suspects, "t1", &[1], &[1]);
    }
    assert_eq!(suspects.quarantined(Millis(0)), vec![1_u64]);
}

#[test]
fn a_new_home_learns_from_the_host_that_asks() {
    let mut list = SuspectList::default();
    let record = CrashRecord {
        blame: 1_200,
        crashed: BTreeSet::from(["t0", "t1"].map(TargetName::from)),
        crashes: 2,
        until: None,
    };
    list.announce(9, record, Millis(0));
    assert_eq!(list.status(9, Millis(1)), SuspectStatus::Suspect);
    let mut fresh = Suspects::default();
    assert_eq!(
        fresh.decide(ask(9, list.record(9)), Millis(1)),
        [SuspectAction::Try]
    );
    crash(&mut fresh, "t2", &[9], &[9]);
    assert_eq!(fresh.quarantined(Millis(2)), vec![9_u64]);
}

#[test]
fn a_list_forgets() {
    let mut list = SuspectList::default();
    let record = CrashRecord {
        until: Some(Millis(100)),
        ..CrashRecord::default()
    };
    list.announce(9, record, Millis(0));
    assert_eq!(list.quarantined(Millis(99)), vec![9_u64]);
    assert_eq!(list.status(9, Millis(100)), SuspectStatus::Suspect);
    assert_eq!(list.status(9, Millis(600_000)), SuspectStatus::Clear);
    list.clear(9);
    assert_eq!(list.status(9, Millis(99)), SuspectStatus::Clear);
}

/// Simulates a fleet that repeatedly receives a request that crashes targets, among harmless ones.
/// Returns the targets that it crashed and the harmless requests that were quarantined.
fn run_fleet(seed: u64, targets: u64) -> (BTreeSet<u64>, Vec<u64>) {
    const POISON: u64 = 0;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut suspects = Suspects::default();
    let mut known = BTreeMap::<u64, SuspectStatus>::new();
    let mut crashed = BTreeSet::new();
    for turn in 0..200_u64 {
        let now = Millis(turn * 100);
        let alive: Vec<u64> = (0..targets).filter(|id| !crashed.contains(id)).collect();
        let mut in_flight = BTreeMap::<u64, Vec<u64>>::new();
        let mut trials = BTreeMap::<u64, u64>::new();
        let harmless = (0..30).map(|_| rng.random_range(1..400));
        let mut fingerprints: Vec<u64> = harmless.collect();
        fingerprints.insert(rng.random_range(0..fingerprints.len()), POISON);
        for fingerprint in fingerprints {
            let target = *alive.choose(&mut rng).expect("some targets are alive");
            match known
                .get(&fingerprint)
                .copied()
                .unwrap_or(SuspectStatus::Clear)
            {
                SuspectStatus::Quarantined => continue,
                SuspectStatus::Suspect => {
                    let asked = suspects.decide(ask(fingerprint, CrashRecord::default()), now);
                    if trials.contains_key(&target) || asked != [SuspectAction::Try] {
                        continue;
                    }
                    trials.insert(target, fingerprint);
                }
                SuspectStatus::Clear => {}
            }
            in_flight.entry(target).or_default().push(fingerprint);
        }
        for (target, fingerprints) in in_flight {
            let trial = trials.get(&target).copied();
            let mut actions = Vec::new();
            let spontaneous = turn == 20 && target % 7 == 0;
            if fingerprints.contains(&POISON) || spontaneous {
                if !spontaneous {
                    crashed.insert(target);
                }
                let name = TargetName::from(format!("t{target}"));
                for blame in split_blame(&name, &fingerprints, trial.as_slice()) {
                    actions.extend(suspects.decide(SuspectEvent::Blamed(blame), now));
                }
            } else if let Some(fingerprint) = trial {
                let over = SuspectEvent::TrialEnded {
                    answered: true,
                    fingerprint,
                };
                actions.extend(suspects.decide(over, now));
            }
            for action in actions {
                match action {
                    SuspectAction::Announce(fingerprint, record) => {
                        let quarantined = record.until.is_some();
                        let status = if quarantined {
                            SuspectStatus::Quarantined
                        } else {
                            SuspectStatus::Suspect
                        };
                        known.insert(fingerprint, status);
                    }
                    SuspectAction::Clear(fingerprint) => {
                        known.remove(&fingerprint);
                    }
                    _ => {}
                }
            }
        }
    }
    let quarantined_harmless = suspects
        .quarantined(Millis(1))
        .into_iter()
        .filter(|fingerprint| *fingerprint != POISON);
    (crashed, quarantined_harmless.collect())
}

proptest! {
    #[test]
    fn a_poison_crashes_three_targets_at_most_and_no_innocent_is_quarantined(seed: u64) {
        let (crashed, quarantined_harmless) = run_fleet(seed, 14);
        prop_assert!((1..=3).contains(&crashed.len()), "{crashed:?}");
        prop_assert_eq!(quarantined_harmless, Vec::<u64>::new());
    }

    #[test]
    fn blame_for_a_crash_is_never_more_than_whole(in_flight in prop::collection::vec(any::<u64>(), 0..40)) {
        let blames: Vec<Blame> = split_blame(&TargetName::from("t"), &in_flight, &[]);
        prop_assert!(blames.iter().map(|blame| blame.part).sum::<u32>() <= 1_000);
        let distinct: BTreeSet<u64> = in_flight.into_iter().collect();
        prop_assert_eq!(blames.len(), distinct.len());
    }
}

/// Two suspects chose the same target for their trials at the same time.
#[test]
fn every_trial_on_a_target_ends_with_its_crash() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, "t1", &[1, 2], &[]);
    for suspect in [1, 2] {
        let granted = suspects.decide(ask(suspect, CrashRecord::default()), Millis(1));
        assert_eq!(granted, [SuspectAction::Try]);
    }
    crash(&mut suspects, "t2", &[1, 2, 3], &[1, 2]);
    for suspect in [1, 2] {
        let granted = suspects.decide(ask(suspect, CrashRecord::default()), Millis(2));
        assert_eq!(granted, [SuspectAction::Try]);
    }
    assert!(suspects.quarantined(Millis(2)).is_empty());
}
