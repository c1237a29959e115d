//! Tests of weight rollouts over targets.

use std::collections::BTreeSet;

use godwitspool_rollout::{SwapAction, SwapEvent, SwapFailure, SwapPlan, SwapRules, SwapState};
use godwitspool_types::{Millis, TargetName};
use proptest::prelude::*;

fn target(number: usize) -> TargetName {
    format!("e{number:03}").into()
}

fn plan(targets: usize, rules: SwapRules) -> SwapPlan {
    let mut plan = SwapPlan::new(rules);
    let targets = (0..targets).map(|number| (target(number), number as u32));
    plan.decide(SwapEvent::Targets(targets.collect()), Millis(0));
    plan
}

fn swaps(actions: &[SwapAction]) -> Vec<TargetName> {
    let swapped = actions.iter().filter_map(|action| match action {
        SwapAction::Swap(target, _) => Some(target.clone()),
        _ => None,
    });
    swapped.collect()
}

#[test]
fn headroom_is_kept_and_the_least_loaded_go_first() {
    let mut plan = plan(8, SwapRules::default());
    let first = swaps(&plan.decide(SwapEvent::Desired("v2".into()), Millis(0)));
    assert_eq!(first, [target(0), target(1)]);
    assert!(plan.decide(SwapEvent::Tick, Millis(1_000)).is_empty());
    let answered = SwapEvent::Answered(target(0), "v2".into());
    assert_eq!(swaps(&plan.decide(answered, Millis(1_000))), [target(2)]);
}

#[test]
fn the_weight_stores_rate_paces_the_swaps() {
    let mut plan = plan(
        8,
        SwapRules {
            max_fraction: 1.0,
            ..SwapRules::default()
        },
    );
    plan.decide(SwapEvent::Desired("v2".into()), Millis(0));
    let limited = |number| SwapEvent::Failed(target(number), SwapFailure::RateLimited);
    assert!(plan.decide(limited(0), Millis(10)).is_empty());
    assert!(plan.decide(limited(1), Millis(10)).is_empty());
    assert!(plan.decide(SwapEvent::Tick, Millis(60)).is_empty());
    assert_eq!(swaps(&plan.decide(SwapEvent::Tick, Millis(110))).len(), 1);
    assert!(plan.decide(SwapEvent::Tick, Millis(120)).is_empty());
    for _ in 0..20 {
        plan.decide(limited(0), Millis(10_000));
        plan.decide(SwapEvent::Tick, Millis(20_000));
    }
    assert_ne!(
        plan.state(&target(0)),
        Some(SwapState::Out),
        "rate limiting does not count as a failure"
    );
}

#[test]
fn a_target_that_keeps_failing_is_taken_out_and_comes_back_with_its_version() {
    let mut plan = plan(1, SwapRules::default());
    plan.decide(SwapEvent::Desired("v2".into()), Millis(0));
    let failed = SwapEvent::Failed(target(0), SwapFailure::Failed);
    for attempt in 1..3 {
        assert!(
            plan.decide(failed.clone(), Millis(attempt * 100))
                .is_empty()
        );
        let again = swaps(&plan.decide(SwapEvent::Tick, Millis(attempt * 100 + 50)));
        assert_eq!(again, [target(0)]);
    }
    assert_eq!(
        plan.decide(failed, Millis(500)),
        [SwapAction::TakeOut(target(0))]
    );
    assert!(plan.decide(SwapEvent::Tick, Millis(90_000)).is_empty());
    let seen = SwapEvent::Seen(target(0), "v2".into());
    assert_eq!(
        plan.decide(seen, Millis(90_001)),
        [SwapAction::Restore(target(0))]
    );
}

#[test]
fn a_false_answer_is_found_out_by_chunks() {
    let mut plan = plan(1, SwapRules::default());
    plan.decide(SwapEvent::Desired("v2".into()), Millis(0));
    plan.decide(SwapEvent::Answered(target(0), "v2".into()), Millis(100));
    let old = SwapEvent::Seen(target(0), "v1".into());
    assert!(
        plan.decide(old.clone(), Millis(200)).is_empty(),
        "a load report may predate the swap"
    );
    assert_eq!(
        plan.state(&target(0)),
        Some(SwapState::Claimed(Millis(100)))
    );
    plan.decide(old, Millis(3_100));
    let again = swaps(&plan.decide(SwapEvent::Tick, Millis(3_150)));
    assert_eq!(again, [target(0)]);
}

#[test]
fn an_engine_that_restarts_with_old_weights_swaps_again() {
    let mut plan = plan(1, SwapRules::default());
    plan.decide(SwapEvent::Desired("v2".into()), Millis(0));
    plan.decide(SwapEvent::Seen(target(0), "v2".into()), Millis(100));
    assert_eq!(plan.state(&target(0)), Some(SwapState::Current));
    let actions = plan.decide(SwapEvent::Seen(target(0), "v1".into()), Millis(200));
    assert_eq!(swaps(&actions), [target(0)]);
}

#[test]
fn an_unanswered_swap_times_out() {
    let mut plan = plan(1, SwapRules::default());
    plan.decide(SwapEvent::Desired("v2".into()), Millis(0));
    assert!(plan.decide(SwapEvent::Tick, Millis(29_999)).is_empty());
    plan.decide(SwapEvent::Tick, Millis(30_000));
    assert_eq!(
        swaps(&plan.decide(SwapEvent::Tick, Millis(30_050))),
        [target(0)]
    );
}

proptest! {
    #[test]
    fn all_targets_get_the_version_or_are_out(
        fates in prop::collection::vec(0..4_u8, 1..40),
        seeds in prop::collection::vec(0..100_u8, 200),
    ) {
        let rules = SwapRules::default();
        let max_swapping = (fates.len() as f64 * rules.max_fraction).floor().max(1.0) as usize;
        let mut plan = plan(fates.len(), rules);
        let mut open: BTreeSet<TargetName> = BTreeSet::new();
        let mut actions = plan.decide(SwapEvent::Desired("v2".into()), Millis(0));
        for round in 0..4_000_u64 {
            open.extend(swaps(&actions));
            prop_assert!(
                open.len() <= max_swapping,
                "{} targets swap concurrently, at most {max_swapping} may",
                open.len()
            );
            let now = Millis(round * 50);
            let Some(name) = open.pop_first() else {
                actions = plan.decide(SwapEvent::Tick, now);
                continue;
            };
            let number: usize = name.as_str()[1..].parse().unwrap();
            let roll = seeds[(round as usize * 7 + number) % seeds.len()];
            let event = match fates[number] {
                0 => SwapEvent::Failed(name, SwapFailure::Failed),
                1 if roll < 50 => SwapEvent::Failed(name, SwapFailure::RateLimited),
                2 if roll < 30 => SwapEvent::Answered(name, "v1".into()),
                _ => SwapEvent::Seen(name, "v2".into()),
            };
            actions = plan.decide(event, now);
        }
        for (number, fate) in fates.iter().enumerate() {
            let state = plan.state(&target(number));
            let is_right = match fate {
                0 => state == Some(SwapState::Out),
                2 => matches!(state, Some(SwapState::Out | SwapState::Current)),
                _ => state == Some(SwapState::Current),
            };
            prop_assert!(is_right, "{number} with fate {fate} is {state:?}");
        }
    }
}
