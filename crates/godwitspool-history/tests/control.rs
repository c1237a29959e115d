//! Checks of orders, windows and leaving targets.

mod common;

use common::{broken, history, issued, ordered, received, reported, sent};
use godwitspool_history::{Event, History, Promise};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::one_holder(&[("a", 1), ("a", 1)], &[])]
#[case::handed_over(&[("a", 1), ("b", 2), ("b", 2)], &[])]
#[case::old_holder_after_new(&[("a", 1), ("b", 2), ("a", 1)], &[Promise::OneOrderHolder])]
#[case::two_under_one_term(&[("a", 1), ("b", 1)], &[Promise::OneOrderHolder])]
fn orders_come_from_one_holder(#[case] orders: &[(&str, u64)], #[case] expected: &[Promise]) {
    let events = orders
        .iter()
        .zip(0..)
        .map(|((host, term), at)| (at, ordered(host, *term)));
    assert_eq!(broken(events), expected);
}

#[rstest]
#[case::repeated(&[("a", 1, 1, 5), ("a", 1, 1, 5), ("a", 1, 2, 6)], &[])]
#[case::repeated_by_successor(&[("a", 1, 1, 5), ("b", 2, 1, 5)], &[])]
#[case::other_figures(&[("a", 1, 1, 5), ("b", 2, 1, 6)], &[Promise::OneWindow])]
#[case::old_holder(&[("b", 2, 1, 5), ("a", 1, 1, 5)], &[Promise::OneWindow])]
#[case::two_under_one_term(&[("b", 2, 1, 5), ("a", 2, 2, 5)], &[Promise::OneWindow])]
fn windows_have_one_holder_and_one_set_of_figures(
    #[case] reports: &[(&str, u64, u64, u64)],
    #[case] expected: &[Promise],
) {
    let events = reports
        .iter()
        .zip(0..)
        .map(|((host, term, window, figures), at)| (at, reported(host, *term, *window, *figures)));
    assert_eq!(broken(events), expected);
}

#[rstest]
#[case::in_time(3_000, &[])]
#[case::late(3_100, &[Promise::LeavingTarget])]
fn a_leaving_target_gets_no_new_work(#[case] after: u64, #[case] expected: &[Promise]) {
    let events = [
        (1, issued("k", "linen")),
        (10, Event::Leaving("t".into())),
        (10 + after, sent(1)),
        (10 + after, received(1)),
    ];
    assert_eq!(broken(events), expected);
}

proptest! {
    #[test]
    fn holders_with_rising_terms_break_nothing(steps in prop::collection::vec(0u64..3, 1..40)) {
        let mut term = 0;
        let events = steps.iter().zip(0..).map(|(step, at)| {
            term += step;
            (at, ordered(&format!("host {term}"), term))
        });
        prop_assert!(broken(events).is_empty());
    }

    #[test]
    fn a_history_reads_back_as_written(terms in prop::collection::vec(any::<u64>(), 0..20)) {
        let written = history(terms.iter().zip(0..).map(|(term, at)| (at, ordered("a", *term))));
        let mut bytes = Vec::new();
        written.write(&mut bytes).unwrap();
        prop_assert_eq!(History::read(bytes.as_slice()).unwrap(), written);
    }
}

#[test]
fn a_damaged_history_names_its_line() {
    let text = "{\"at\":1,\"event\":{\"stopping\":\"a\"}}\n{";
    let error = History::read(text.as_bytes()).unwrap_err();
    assert!(error.to_string().starts_with("line 2:"), "{error}");
}
