//! Reasons for refusals and retries.

use std::collections::BTreeSet;

use godwitspool_request::{Reason, Refusal, RetryReason};
use godwitspool_types::{Millis, Ran};
use rstest::rstest;

#[test]
fn every_reason_has_its_own_code_and_is_listed_in_order() {
    let codes: Vec<&str> = Reason::ALL.iter().map(|reason| reason.code()).collect();
    let distinct: BTreeSet<&str> = codes.iter().copied().collect();
    assert_eq!(distinct.len(), codes.len());
    assert!(Reason::ALL.is_sorted());
    let retries: BTreeSet<&str> = RetryReason::ALL.iter().map(|retry| retry.code()).collect();
    assert_eq!(retries.len(), RetryReason::ALL.len());
    assert!(RetryReason::ALL.is_sorted());
}

#[rstest]
#[case(Reason::DeadlineExceeded)]
#[case(Reason::FateUnknown)]
#[case(Reason::HomeUnreachable)]
#[case(Reason::KeyInProgress)]
#[case(Reason::KeyWithdrawnMidway)]
#[case(Reason::ResumeFailed)]
#[case(Reason::TargetLost)]
#[case(Reason::TargetSilent)]
fn reasons_met_after_the_hand_over_never_say_not_run(#[case] reason: Reason) {
    assert_eq!(reason.ran(), Ran::Unknown);
}

#[test]
fn statuses_are_errors() {
    for reason in Reason::ALL {
        assert!((400..600).contains(&reason.status()), "{reason}");
    }
}

#[test]
fn a_keyed_refusal_before_the_homes_answered_is_unknown() {
    for reason in Reason::ALL {
        assert_ne!(Refusal::from(reason).for_keyed().ran, Ran::NotRun);
    }
}

#[rstest]
#[case(1, 1)]
#[case(1_000, 1)]
#[case(1_001, 2)]
fn retry_after_is_rounded_up(#[case] ms: u64, #[case] seconds: u64) {
    let refusal = Refusal::from(Reason::QueueFull).with_retry(Millis(ms));
    assert_eq!(refusal.retry_seconds(), Some(seconds));
}

#[test]
fn every_reason_is_on_the_operators_page() {
    let page = include_str!("../../../docs/operators/serving.md");
    for reason in Reason::ALL {
        let row = format!(
            "| {} | {} | {}",
            reason.code(),
            reason.status(),
            reason.ran()
        );
        assert!(page.contains(&row), "{row}");
    }
    for retry in RetryReason::ALL {
        assert!(
            page.contains(&format!("| {} | ", retry.code())),
            "{}",
            retry.code()
        );
    }
}
