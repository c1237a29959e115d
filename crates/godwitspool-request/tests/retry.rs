//! Retries, retry budgets and circuit breakers.

use godwitspool_request::{
    AttemptOutcome, Attempts, Breaker, Reason, Repeat, RepeatBudget, RetryBudget, RetryDecision,
    RetryReason,
};
use godwitspool_types::{Millis, Ran};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

fn idempotent() -> Attempts {
    Attempts {
        deadline: Millis(10_000),
        idempotent: true,
        ..Attempts::default()
    }
}

fn fail(attempts: &mut Attempts, reason: RetryReason, after: Option<Millis>) -> RetryDecision {
    let (mut one, mut two) = (RetryBudget::default(), RetryBudget::default());
    let mut rng = StdRng::seed_from_u64(1);
    attempts.fail(reason, after, [&mut one, &mut two], Millis::ZERO, &mut rng)
}

#[rstest]
#[case(RetryReason::TargetLost, Reason::TargetLost)]
#[case(RetryReason::TargetSilent, Reason::TargetSilent)]
#[case(RetryReason::StreamBroken, Reason::ResumeFailed)]
fn a_call_that_may_have_run_is_not_repeated(#[case] retry: RetryReason, #[case] reason: Reason) {
    let mut attempts = Attempts {
        idempotent: false,
        ..idempotent()
    };
    let RetryDecision::Refuse(refusal) = fail(&mut attempts, retry, None) else {
        panic!("the request was retried instead of refused");
    };
    assert_eq!((refusal.reason, refusal.ran), (reason, Ran::Unknown));
}

#[test]
fn a_call_that_did_not_run_is_repeated_and_then_refused_as_not_run() {
    let mut attempts = Attempts {
        idempotent: false,
        ..idempotent()
    };
    for _ in 0..Attempts::MAX_RETRIES {
        let decision = fail(&mut attempts, RetryReason::ConnectFailed, None);
        assert!(matches!(decision, RetryDecision::Retry(_)));
    }
    let RetryDecision::Refuse(refusal) = fail(&mut attempts, RetryReason::ConnectFailed, None)
    else {
        panic!("the request was retried instead of refused");
    };
    assert_eq!(refusal.ran, Ran::NotRun);
}

#[test]
fn an_earlier_attempt_that_may_have_run_is_remembered() {
    let mut attempts = idempotent();
    fail(&mut attempts, RetryReason::TargetLost, None);
    attempts.retried = Attempts::MAX_RETRIES;
    let RetryDecision::Refuse(refusal) = fail(&mut attempts, RetryReason::ConnectFailed, None)
    else {
        panic!("the request was retried instead of refused");
    };
    assert_eq!(refusal.ran, Ran::Unknown);
}

#[test]
fn retry_after_is_honoured_within_the_deadline() {
    let after = Some(Millis(3_000));
    let RetryDecision::Retry(backoff) = fail(&mut idempotent(), RetryReason::TargetRefused, after)
    else {
        panic!("the request was refused instead of retried");
    };
    assert!(backoff >= Millis(3_000));
    let after = Some(Millis(10_000));
    let decision = fail(&mut idempotent(), RetryReason::TargetRefused, after);
    assert_eq!(
        decision,
        RetryDecision::Refuse(Reason::TargetRefused.into())
    );
}

#[test]
fn a_spent_budget_of_either_side_ends_retries_and_keeps_the_other() {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut spent, mut whole) = (RetryBudget::default(), RetryBudget::default());
    while spent.take() {}
    let budgets = [&mut whole, &mut spent];
    let decision = idempotent().fail(
        RetryReason::TargetLost,
        None,
        budgets,
        Millis::ZERO,
        &mut rng,
    );
    assert!(matches!(decision, RetryDecision::Refuse(_)));
    assert_eq!(whole, RetryBudget::default());
}

proptest! {
    #[test]
    fn retries_stay_under_a_tenth_of_successes(outcomes in prop::collection::vec(any::<bool>(), 1..2_000)) {
        let mut budget = RetryBudget::default();
        let (mut retries, mut successes) = (0, 0);
        for good in outcomes {
            if good {
                successes += 1;
                budget.succeed();
            } else if budget.take() {
                retries += 1;
            }
        }
        prop_assert!(retries <= 5 + successes / 10);
    }

    #[test]
    fn one_caller_never_closes_a_target_to_others(
        failures in 1..200_u32,
        caller in 0..5_u64,
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut breaker = Breaker::default();
        for turn in 0..failures {
            breaker.record(AttemptOutcome::Failed(caller), Millis(u64::from(turn) * 10), &mut rng);
        }
        let now = Millis(u64::from(failures) * 10);
        prop_assert!(breaker.allows(caller + 1, now));
        prop_assert_eq!(breaker.allows(caller, now), failures < 3);
    }
}

#[test]
fn failures_of_two_callers_open_the_breaker_and_it_closes_by_itself() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut breaker = Breaker::default();
    for caller in [1, 2, 1] {
        breaker.record(AttemptOutcome::Failed(caller), Millis(100), &mut rng);
    }
    assert!(!breaker.allows(9, Millis(101)));
    assert!(breaker.allows(9, Millis(1_000)));
    breaker.record(AttemptOutcome::Failed(1), Millis(1_000), &mut rng);
    assert!(
        !breaker.allows(9, Millis(1_900)),
        "the breaker stays open longer the second time"
    );
    breaker.record(AttemptOutcome::Answered, Millis(1_950), &mut rng);
    assert!(breaker.allows(1, Millis(1_950)));
}

#[test]
fn refused_connections_open_the_breaker_whoever_meets_them() {
    let mut rng = StdRng::seed_from_u64(rand::rng().random());
    let mut breaker = Breaker::default();
    (0..3).for_each(|_| breaker.record(AttemptOutcome::Unreachable, Millis(0), &mut rng));
    assert!(!breaker.allows(1, Millis(1)));
}

/// Returns the hedges and requests of all hosts together in a minute in which each request of 12 a second is
/// hedged, if its host's budget allows it. The first of `hang` of 6 requests hang at their first target.
fn hedge_for_a_minute(hosts: usize, hang: u32) -> (u32, u32, u32) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut budgets = vec![RepeatBudget::default(); hosts];
    let (mut hedges, mut requests, mut unhedged_hangs) = (0, 0, 0);
    for now in (0..60_000).step_by(83) {
        let budget = &mut budgets[rng.random_range(0..hosts)];
        requests += 1;
        let hangs = rng.random_range(0..6) < hang;
        let repeated = budget.take(Repeat::Hedge) || (hangs && budget.take(Repeat::Retry));
        hedges += u32::from(repeated);
        unhedged_hangs += u32::from(hangs && !repeated);
        if repeated || !hangs {
            budget.succeed(hangs, Millis(now));
        }
    }
    (hedges, requests, unhedged_hangs)
}

/// Guards against hedges that double the load while all targets are slow at once.
#[rstest]
#[case(1, 0.12)]
#[case(11, 0.14)]
#[case(90, 0.22)]
fn hedges_in_vain_add_little_load(#[case] hosts: usize, #[case] bound: f64) {
    let (hedges, requests, _) = hedge_for_a_minute(hosts, 0);
    let extra = f64::from(hedges) / f64::from(requests);
    assert!(extra <= bound, "{hedges} hedges of {requests} requests");
}

/// Guards against a budget that is used up by hedges that serve their requests.
#[rstest]
#[case(1)]
#[case(90)]
fn requests_to_a_target_that_hangs_are_hedged(#[case] hosts: usize) {
    let (_, _, unhedged) = hedge_for_a_minute(hosts, 2);
    assert_eq!(unhedged, 0);
}
