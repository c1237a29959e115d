//! Checks of the samples that trainers got.

mod common;

use common::{broken, delivered, fetched, fetching, produced, published, span, submitted};
use godwitspool_history::{Answer, Event, Promise, Span};
use rstest::rstest;

#[rstest]
#[case::true_versions(vec![span(0, 4, "v1"), span(4, 9, "v2")], &[])]
#[case::wrong_border(vec![span(0, 5, "v1"), span(5, 9, "v2")], &[Promise::SampleVersions])]
#[case::swap_not_named(vec![span(0, 9, "v1")], &[Promise::SampleVersions])]
#[case::never_produced(vec![span(0, 9, "v7")], &[Promise::SampleVersions])]
#[case::none_named(vec![], &[Promise::SampleVersions])]
fn a_sample_names_what_produced_it(#[case] named: Vec<Span>, #[case] expected: &[Promise]) {
    let events = [
        (1, submitted(1)),
        (2, produced(7, span(0, 4, "v1"))),
        (2, produced(7, span(4, 9, "v2"))),
        (3, fetching(1)),
        (4, delivered(1, 0, 7, named)),
        (4, fetched(1)),
    ];
    assert_eq!(broken(events), expected);
}

#[test]
fn a_resumed_sample_may_name_the_versions_of_two_targets() {
    let events = [
        (2, produced(7, span(0, 6, "v1"))),
        (2, produced(7, span(4, 9, "v2"))),
        (
            4,
            delivered(1, 0, 7, vec![span(0, 4, "v1"), span(4, 9, "v2")]),
        ),
    ];
    assert_eq!(broken(events), []);
}

#[rstest]
#[case::one_behind("v2", 20_000, &[])]
#[case::two_behind("v1", 20_000, &[Promise::SampleStaleness])]
#[case::newest_not_yet_in_force("v1", 9_001, &[])]
fn a_sample_is_fresh_at_delivery(
    #[case] version: &str,
    #[case] at: u64,
    #[case] expected: &[Promise],
) {
    let events = [
        (0, published("v1")),
        (1, published("v2")),
        (2, published("v3")),
        (3, submitted(1)),
        (4, produced(7, span(0, 9, version))),
        (at, fetching(1)),
        (at + 1, delivered(1, 0, 7, vec![span(0, 9, version)])),
        (at + 1, fetched(1)),
    ];
    assert_eq!(broken(events), expected);
}

#[test]
fn a_repeated_fetch_is_not_judged_again() {
    let events = [
        (0, published("v1")),
        (3, submitted(1)),
        (4, produced(7, span(0, 9, "v1"))),
        (5, fetching(1)),
        (6, delivered(1, 0, 7, vec![span(0, 9, "v1")])),
        (7, published("v2")),
        (8, published("v3")),
        (30_000, fetching(2)),
        (30_001, delivered(2, 0, 7, vec![span(0, 9, "v1")])),
        (30_002, fetched(2)),
    ];
    assert_eq!(broken(events), []);
}

fn sample(fetch: u64, index: u32, prompt: u64) -> Event {
    delivered(fetch, index, prompt, vec![span(0, 9, "v1")])
}

#[rstest]
#[case::whole(vec![sample(1, 0, 7), sample(1, 1, 8)], &[])]
#[case::fetched_again(
    vec![sample(1, 0, 7), sample(1, 1, 8), sample(2, 0, 7), sample(2, 1, 8)], &[]
)]
#[case::missing(vec![sample(1, 0, 7)], &[Promise::SampleOnce])]
#[case::twice(vec![sample(1, 0, 7), sample(1, 1, 8), sample(1, 1, 8)], &[Promise::SampleOnce])]
#[case::changed(
    vec![sample(1, 0, 7), sample(1, 1, 8), sample(2, 0, 7), sample(2, 1, 9)],
    &[Promise::SampleOnce]
)]
#[case::one_generation_as_two(vec![sample(1, 0, 7), sample(1, 1, 7)], &[Promise::SampleOnce])]
fn a_sample_comes_exactly_once(#[case] samples: Vec<Event>, #[case] expected: &[Promise]) {
    let produced = (7..10).map(|prompt| (1, produced(prompt, span(0, 9, "v1"))));
    let start = [(1, submitted(2)), (2, fetching(1)), (2, fetching(2))];
    let samples = samples.into_iter().map(|event| (3, event));
    let events = produced
        .chain(start)
        .chain(samples)
        .chain([(4, fetched(1))]);
    assert_eq!(broken(events), expected);
}

#[test]
fn samples_recorded_after_their_batch_are_counted() {
    let events = [
        (1, submitted(1)),
        (1, produced(7, span(0, 9, "v1"))),
        (3, fetched(1)),
        (3, sample(1, 0, 7)),
    ];
    assert_eq!(broken(events), []);
}

#[test]
fn a_sample_of_another_prompt_is_not_whole() {
    let mut foreign = sample(1, 0, 7);
    if let Event::Delivered { answer, .. } = &mut foreign {
        *answer = Answer::Foreign;
    }
    let events = [(1, produced(7, span(0, 9, "v1"))), (2, foreign)];
    assert_eq!(broken(events), [Promise::WholeAnswer]);
}

#[test]
fn a_batch_that_nobody_submitted_is_a_violation() {
    assert_eq!(broken([(1, fetched(1))]), [Promise::SampleOnce]);
}
