//! Tests of shares, stragglers, scoring and reclaim.

use std::collections::BTreeMap;

use godwitspool_rollout::{
    Attempt, ReclaimBudget, ReclaimMove, ReclaimedStream, Remedy, SampleId, Score, ScoreAction,
    ScoreEvent, Scoring, ScoringRules, Shares, StragglerRules, Stragglers, TargetPace,
    TrainerDemand, plan_reclaim,
};
use godwitspool_types::{Millis, TrainerName};
use rstest::rstest;

fn sample(index: u32) -> SampleId {
    SampleId {
        index,
        ..SampleId::default()
    }
}

fn starts(shares: &mut Shares, count: u32) -> BTreeMap<TrainerName, u32> {
    let mut starts = BTreeMap::new();
    for _ in 0..count {
        if let Some(trainer) = shares.next(Millis(0), 1.0, |_| true) {
            *starts.entry(trainer).or_default() += 1;
        }
    }
    starts
}

#[test]
fn twelve_trainers_get_their_shares() {
    let mut shares = Shares::default();
    let names: Vec<TrainerName> = (1..=12).map(|n| format!("t{n:02}").into()).collect();
    for (share, name) in (1..).zip(&names) {
        let demand = TrainerDemand {
            share,
            waiting: 100_000,
            ..TrainerDemand::default()
        };
        shares.set(name.clone(), demand);
    }
    let got = starts(&mut shares, 7_800);
    for (share, name) in (1..).zip(&names) {
        assert!(
            got[name].abs_diff(share * 100) <= 1,
            "{name} got {}",
            got[name]
        );
    }
}

#[test]
fn an_idle_trainer_leaves_its_share_and_accumulates_no_credit() {
    let mut shares = Shares::default();
    let demand = TrainerDemand {
        share: 1,
        waiting: 1_000,
        ..TrainerDemand::default()
    };
    shares.set("busy".into(), demand.clone());
    shares.set(
        "idle".into(),
        TrainerDemand {
            waiting: 0,
            ..demand.clone()
        },
    );
    assert_eq!(starts(&mut shares, 100)["busy"], 100);
    shares.set("idle".into(), demand);
    let got = starts(&mut shares, 100);
    assert!(got["idle"].abs_diff(50) <= 1, "{got:?}");
    shares.remove(&"busy".into());
    assert_eq!(starts(&mut shares, 10)["idle"], 10);
}

#[test]
fn a_late_step_runs_ahead_by_a_bounded_amount() {
    let mut shares = Shares::default();
    let demand = TrainerDemand {
        share: 1,
        waiting: 10_000,
        ..TrainerDemand::default()
    };
    shares.set("calm".into(), demand.clone());
    let late = TrainerDemand {
        deadline: Some(Millis(10)),
        remaining: Millis(1_000),
        ..demand
    };
    shares.set("late".into(), late);
    let got = starts(&mut shares, 20);
    assert_eq!(got.get("late"), Some(&20), "{got:?}");
    let got = starts(&mut shares, 1_000);
    assert!(got["calm"] > 480, "{got:?}");
}

#[test]
fn a_trainer_without_room_keeps_its_turn() {
    let mut shares = Shares::default();
    let demand = TrainerDemand {
        share: 1,
        waiting: 1_000,
        ..TrainerDemand::default()
    };
    shares.set("a".into(), demand.clone());
    shares.set("b".into(), demand);
    for _ in 0..10 {
        let next = shares.next(Millis(0), 1.0, |name| name.as_str() == "b");
        assert_eq!(next, Some("b".into()));
    }
    assert_eq!(starts(&mut shares, 10)["a"], 10);
}

#[test]
fn refunded_work_is_not_charged() {
    let mut shares = Shares::default();
    let demand = TrainerDemand {
        share: 1,
        waiting: 1,
        ..TrainerDemand::default()
    };
    shares.set("t".into(), demand);
    shares.next(Millis(0), 5.0, |_| true);
    shares.refund(&"t".into(), 5.0);
    assert!(shares.spent(&"t".into()).abs() < 1e-9);
    assert!(shares.next(Millis(0), 5.0, |_| true).is_some());
}

fn member(group: u32) -> SampleId {
    SampleId {
        group,
        ..SampleId::default()
    }
}

fn with_history(rules: StragglerRules) -> Stragglers {
    let mut stragglers = Stragglers::new(rules);
    (0..1_000).for_each(|n| stragglers.learn(&member(n), 180 + n % 40));
    (0..20).for_each(|n| stragglers.learn(&member(n), 2_000));
    stragglers
}

fn attempt(index: u32, tokens: u32, started_at: u64, last_token_at: u64) -> Attempt {
    Attempt {
        id: sample(index),
        last_token_at: Millis(last_token_at),
        max_tokens: 4_096,
        prompt_tokens: 100,
        started_at: Millis(started_at),
        target: "slow".into(),
        tokens,
        resumed_tokens: 0,
        hedge: None,
    }
}

fn fast(room: u32) -> Vec<TargetPace> {
    vec![TargetPace {
        target: "fast".into(),
        tokens_per_s: 50.0,
        room,
    }]
}

#[test]
fn a_sample_on_a_slow_target_moves() {
    let mut stragglers = with_history(StragglerRules::default());
    // 10 tokens in 10 s, while the other target generates 50 tokens per second.
    let running = [attempt(0, 10, 0, 10_000)];
    let remedies = stragglers.decide(&running, &mut fast(4), Millis(0), Millis(10_000));
    assert_eq!(
        remedies,
        [Remedy::Resume {
            id: sample(0),
            to: "fast".into()
        }]
    );
    assert!(stragglers.extra_work() < 0.001);
}

#[test]
fn a_long_answer_is_migrated_with_its_kv_cache() {
    let mut stragglers = with_history(StragglerRules::default());
    let running = [attempt(0, 500, 0, 100_000)];
    let remedies = stragglers.decide(&running, &mut fast(4), Millis(0), Millis(100_000));
    assert_eq!(
        remedies,
        [Remedy::Migrate {
            id: sample(0),
            to: "fast".into()
        }]
    );
}

#[test]
fn a_silent_stream_is_hedged() {
    let mut stragglers = with_history(StragglerRules::default());
    let running = [attempt(0, 100, 0, 2_000)];
    let remedies = stragglers.decide(&running, &mut fast(4), Millis(0), Millis(9_000));
    assert_eq!(
        remedies,
        [Remedy::Hedge {
            id: sample(0),
            to: "fast".into()
        }]
    );
}

#[rstest]
#[case::no_room(0, 0, 10, 0)]
#[case::ends_before_the_queue(4, 400_000, 10, 0)]
#[case::as_fast_as_elsewhere(4, 0, 500, 0)]
fn no_remedy_without_gain(
    #[case] room: u32,
    #[case] queue_ms: u64,
    #[case] tokens: u32,
    #[case] expected: usize,
) {
    let mut stragglers = with_history(StragglerRules::default());
    let running = [attempt(0, tokens, 0, 10_000)];
    let remedies = stragglers.decide(&running, &mut fast(room), Millis(queue_ms), Millis(10_000));
    assert_eq!(remedies.len(), expected, "{remedies:?}");
}

#[test]
fn remedies_stay_within_their_budget_and_the_room() {
    let mut stragglers = with_history(StragglerRules {
        max_extra_work: 0.01,
        ..StragglerRules::default()
    });
    let running: Vec<_> = (0..50).map(|index| attempt(index, 100, 0, 2_000)).collect();
    let remedies = stragglers.decide(&running, &mut fast(100), Millis(0), Millis(9_000));
    assert!(
        !remedies.is_empty() && remedies.len() < 50,
        "{}",
        remedies.len()
    );
    assert!(stragglers.extra_work() <= 0.01);
    let mut stragglers = with_history(StragglerRules::default());
    let remedies = stragglers.decide(&running[..10], &mut fast(2), Millis(0), Millis(9_000));
    assert_eq!(remedies.len(), 2);
}

#[test]
fn expected_length_follows_the_lengths_in_the_group() {
    let mut stragglers = with_history(StragglerRules::default());
    (0..4).for_each(|_| stragglers.learn(&member(77), 1_900));
    let length = |group, longest| stragglers.expected_length(&member(group), longest, 4_096);
    assert!((length(5, 0) - 236.0).abs() < 20.0);
    assert!(length(77, 0) > 1_500.0);
    assert!(
        length(5, 900) > 1_500.0,
        "one of its running samples is long"
    );
    assert!(
        (length(5, 300) - length(5, 0)).abs() < 1.0,
        "below the threshold for a long answer"
    );
    assert!((stragglers.expected_length(&member(77), 0, 10) - 10.0).abs() < 1.0);
    stragglers.forget(SampleId::default().step);
    let length = stragglers.expected_length(&member(77), 0, 4_096);
    assert!(
        length < 300.0,
        "a group of another step with the same number has other prompts"
    );
}

#[test]
fn a_score_is_called_again_and_then_reported_as_failed() {
    let mut scoring = Scoring::new(ScoringRules {
        max_attempts: 2,
        ..ScoringRules::default()
    });
    let call = [ScoreAction::Call("k".into())];
    assert_eq!(scoring.decide(ScoreEvent::Ask("k".into()), Millis(0)), call);
    assert!(
        scoring
            .decide(ScoreEvent::Ask("k".into()), Millis(0))
            .is_empty()
    );
    let failed = ScoreEvent::Failed("k".into(), "503".into());
    assert!(scoring.decide(failed.clone(), Millis(1)).is_empty());
    assert!(
        scoring.decide(ScoreEvent::Tick, Millis(100)).is_empty(),
        "before the backoff has elapsed"
    );
    assert_eq!(scoring.decide(ScoreEvent::Tick, Millis(201)), call);
    let settled = scoring.decide(failed, Millis(202));
    assert_eq!(
        settled,
        [ScoreAction::Settle("k".into(), Score::Failed("503".into()))]
    );
    assert!(
        scoring
            .decide(ScoreEvent::Answered("k".into(), 1.0), Millis(203))
            .is_empty()
    );
}

#[test]
fn an_unanswered_score_times_out_and_calls_are_bounded() {
    let mut scoring = Scoring::new(ScoringRules {
        concurrency: 1,
        ..ScoringRules::default()
    });
    scoring.decide(ScoreEvent::Ask("a".into()), Millis(0));
    assert!(
        scoring
            .decide(ScoreEvent::Ask("b".into()), Millis(0))
            .is_empty()
    );
    let actions = scoring.decide(ScoreEvent::Tick, Millis(10_000));
    assert_eq!(actions, [ScoreAction::Call("b".into())]);
    let actions = scoring.decide(ScoreEvent::Answered("b".into(), 0.5), Millis(10_200));
    assert_eq!(
        actions,
        [ScoreAction::Settle("b".into(), Score::Value(0.5))]
    );
    let actions = scoring.decide(ScoreEvent::Tick, Millis(10_200));
    assert_eq!(actions, [ScoreAction::Call("a".into())]);
}

#[test]
fn every_reclaimed_stream_gets_one_move_within_notice_and_room() {
    let streams = (0..200).map(|index| ReclaimedStream {
        id: sample(index),
        remaining_ms: Millis(u64::from(index) * 100),
        tokens: index * 10,
    });
    let budget = ReclaimBudget {
        max_parallel: 1,
        room: 100,
        ..ReclaimBudget::default()
    };
    let plan = plan_reclaim(streams.collect(), &budget);
    let mut ids: Vec<_> = plan.iter().map(|(id, _)| id.index).collect();
    ids.sort_unstable();
    assert_eq!(ids, (0..200).collect::<Vec<_>>());
    let count = |wanted| plan.iter().filter(|(_, chosen)| *chosen == wanted).count();
    assert_eq!(count(ReclaimMove::Finish), 45);
    assert_eq!(count(ReclaimMove::Export), 45, "4.5 s of 100 ms exports");
    assert_eq!(count(ReclaimMove::Resume), 55);
    assert_eq!(count(ReclaimMove::Park), 55);
    assert!(
        plan.iter()
            .take(45)
            .all(|(_, chosen)| *chosen == ReclaimMove::Export)
    );
}
