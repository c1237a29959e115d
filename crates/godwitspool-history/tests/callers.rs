//! Checks of keys, answers, shutdowns and configuration.

mod common;

use common::{answered, broken, issued, key, received, refused, sent, sent_with};
use godwitspool_history::{Answer, Event, Promise, Work};
use godwitspool_types::{Offset, Ran, RequestId};
use rstest::rstest;

#[test]
fn an_ordinary_call_breaks_nothing() {
    let events = [
        (1, issued("k", "linen")),
        (2, sent(1)),
        (3, received(1)),
        (4, answered(1)),
    ];
    assert_eq!(broken(events), []);
}

#[rstest]
#[case::none(None)]
#[case::never_issued(Some("other"))]
#[case::of_another_workspace(Some("foreign"))]
fn a_request_with_an_unfit_key_must_not_run(#[case] shown: Option<&str>) {
    let start = || {
        [
            (1, issued("k", "linen")),
            (1, issued("foreign", "seals")),
            (2, sent_with(1, shown)),
        ]
    };
    assert_eq!(
        broken(start().into_iter().chain([(3, received(1))])),
        [Promise::WorkspaceKey]
    );
    let refusal = [(3, refused(1, true, Ran::NotRun))];
    assert_eq!(broken(start().into_iter().chain(refusal)), []);
}

#[test]
fn an_open_route_needs_no_key() {
    let mut open = sent_with(1, None);
    if let Event::Sent { open, .. } = &mut open {
        *open = true;
    }
    assert_eq!(broken([(2, open), (3, received(1)), (4, answered(1))]), []);
}

#[test]
fn a_key_at_a_target_is_a_violation() {
    let seen = Event::Received {
        key: Some("header cookie".into()),
        target: "t".into(),
        work: Work::Prompt(1),
    };
    assert_eq!(broken([(1, seen)]), [Promise::KeyHidden]);
}

#[rstest]
#[case::in_time(3_000, &[])]
#[case::late(3_100, &[Promise::KeyWithdrawn])]
fn an_open_answer_of_a_withdrawn_key_ends(#[case] after: u64, #[case] expected: &[Promise]) {
    let events = [
        (1, issued("k", "linen")),
        (5, sent(1)),
        (6, received(1)),
        (10, Event::Withdrawn(key("k"))),
        (10 + after, Event::Progress(RequestId(1))),
    ];
    assert_eq!(broken(events), expected);
}

#[test]
fn a_new_request_with_a_withdrawn_key_does_not_run() {
    let events = [
        (1, issued("k", "linen")),
        (10, Event::Withdrawn(key("k"))),
        (4_000, sent(1)),
        (4_001, received(1)),
        (4_002, answered(1)),
    ];
    assert_eq!(
        broken(events),
        [Promise::WorkspaceKey, Promise::KeyWithdrawn]
    );
}

#[rstest]
#[case::soon_after(7_900, &[])]
#[case::long_after(8_100, &[Promise::KeyWithdrawn])]
fn the_bound_of_a_withdrawal_begins_anew_after_a_cut(
    #[case] at: u64,
    #[case] expected: &[Promise],
) {
    let events = [
        (1, issued("k", "linen")),
        (5, sent(1)),
        (10, Event::Withdrawn(key("k"))),
        (20, Event::CutOff(Some("gori".into()))),
        (5_000, Event::Rejoined(Some("gori".into()))),
        (at, Event::Progress(RequestId(1))),
    ];
    assert_eq!(broken(events), expected);
}

#[rstest]
#[case::cut(Answer::Cut)]
#[case::foreign(Answer::Foreign)]
fn an_answer_is_whole_and_the_callers_own(#[case] answer: Answer) {
    let wrong = Event::Answered {
        answer,
        request: RequestId(1),
    };
    let events = [
        (1, issued("k", "linen")),
        (2, sent(1)),
        (3, received(1)),
        (4, wrong),
    ];
    assert_eq!(broken(events), [Promise::WholeAnswer]);
}

#[rstest]
#[case::not_run(Ran::NotRun, &[Promise::NotRun])]
#[case::unknown(Ran::Unknown, &[])]
#[case::ran(Ran::Ran, &[])]
fn not_run_is_true(#[case] ran: Ran, #[case] expected: &[Promise]) {
    let events = [
        (1, issued("k", "linen")),
        (2, sent(1)),
        (3, received(1)),
        (4, refused(1, false, ran)),
    ];
    assert_eq!(broken(events), expected);
}

#[rstest]
#[case::earlier_one_ran(3, &[])]
#[case::this_one_ran(12, &[Promise::NotRun])]
fn not_run_refers_to_the_refused_sending_only(
    #[case] received_at: u64,
    #[case] expected: &[Promise],
) {
    let again = |request| {
        let mut again = sent(request);
        if let Event::Sent {
            repeatable, work, ..
        } = &mut again
        {
            (*repeatable, *work) = (true, Work::Prompt(5));
        }
        again
    };
    let ran = Event::Received {
        key: None,
        target: "t".into(),
        work: Work::Prompt(5),
    };
    let events = [
        (1, issued("k", "linen")),
        (2, again(1)),
        (received_at, ran),
        (4, Event::Broken(RequestId(1))),
        (10, again(2)),
        (14, refused(2, false, Ran::NotRun)),
    ];
    assert_eq!(broken(events), expected);
}

#[rstest]
#[case::repeatable(true, &[])]
#[case::not_repeatable(false, &[Promise::RunsOnce])]
fn a_call_runs_twice_only_if_it_may(#[case] may: bool, #[case] expected: &[Promise]) {
    let mut call = sent(1);
    if let Event::Sent { repeatable, .. } = &mut call {
        *repeatable = may;
    }
    let runs = [(3, received(1)), (4, received(1)), (5, answered(1))];
    let events = [(1, issued("k", "linen")), (2, call)];
    assert_eq!(broken(events.into_iter().chain(runs)), expected);
}

#[rstest]
#[case::before(5, 8, 10, &[])]
#[case::during(5, 12, 10, &[Promise::Shutdown])]
#[case::sent_after(11, 12, 10, &[])]
#[case::cut_after_the_restart(5, 30, 10, &[])]
fn a_shutdown_cuts_no_request(
    #[case] sent_at: u64,
    #[case] broken_at: u64,
    #[case] stop: u64,
    #[case] expected: &[Promise],
) {
    let events = [
        (1, issued("k", "linen")),
        (sent_at, sent(1)),
        (broken_at, Event::Broken(RequestId(1))),
        (stop, Event::Stopping("h".into())),
        (20, Event::Started("h".into())),
        (40, Event::Stopping("h".into())),
    ];
    assert_eq!(broken(events), expected);
}

#[rstest]
#[case::withdrawn_before(11, &[])]
#[case::withdrawn_later(13, &[Promise::Shutdown])]
fn an_answer_of_a_withdrawn_key_is_not_cut_by_the_shutdown(
    #[case] withdrawn_at: u64,
    #[case] expected: &[Promise],
) {
    let events = [
        (1, issued("k", "linen")),
        (5, sent(1)),
        (10, Event::Stopping("h".into())),
        (withdrawn_at, Event::Withdrawing(key("k"))),
        (12, Event::Broken(RequestId(1))),
    ];
    assert_eq!(broken(events), expected);
}

#[rstest]
#[case::of_targets("retries-spent", &[])]
#[case::of_a_crashing_request("quarantined", &[])]
#[case::of_the_shutdown("draining", &[Promise::Shutdown])]
#[case::of_anything_else("no-target", &[Promise::Shutdown])]
fn only_what_targets_did_excuses_an_answer_cut_in_a_shutdown(
    #[case] reason: &str,
    #[case] expected: &[Promise],
) {
    let (reason, request) = (reason.to_owned(), RequestId(1));
    let events = [
        (1, issued("k", "linen")),
        (5, sent(1)),
        (10, Event::Stopping("h".into())),
        (12, Event::Explained { reason, request }),
        (12, Event::Broken(request)),
    ];
    assert_eq!(broken(events), expected);
}

#[rstest]
#[case::in_time(9_000, &[])]
#[case::late(9_100, &[Promise::ConfigurationInForce])]
fn an_issued_key_works_everywhere_soon(#[case] after: u64, #[case] expected: &[Promise]) {
    let events = [
        (1, issued("k", "linen")),
        (1 + after, sent(1)),
        (2 + after, refused(1, true, Ran::NotRun)),
    ];
    assert_eq!(broken(events), expected);
}

#[rstest]
#[case::before(20_000, &[Promise::ConfigurationInForce])]
#[case::after(20_100, &[])]
fn a_key_may_be_refused_once_its_withdrawal_is_asked_for(
    #[case] refused_at: u64,
    #[case] expected: &[Promise],
) {
    let events = [
        (1, issued("k", "linen")),
        (20_050, Event::Withdrawing(key("k"))),
        (refused_at - 1, sent(1)),
        (refused_at, refused(1, true, Ran::NotRun)),
        (25_000, Event::Withdrawn(key("k"))),
    ];
    assert_eq!(broken(events), expected);
}

#[test]
fn a_key_that_was_refused_after_withdrawal_never_works_again() {
    let events = [
        (1, issued("k", "linen")),
        (10, Event::Withdrawn(key("k"))),
        (11, sent(1)),
        (12, refused(1, true, Ran::NotRun)),
        (13, sent(2)),
        (14, answered(2)),
    ];
    assert_eq!(broken(events), [Promise::ConfigurationKept]);
}

#[rstest]
#[case::back(1, 7, 6, &[Promise::ConfigurationKept])]
#[case::onward(1, 7, 8, &[])]
#[case::another_life(2, 7, 6, &[])]
fn a_process_never_goes_back(
    #[case] life: u64,
    #[case] first: u64,
    #[case] second: u64,
    #[case] expected: &[Promise],
) {
    let in_force = |life, offset| Event::InForce {
        host: "h".into(),
        life,
        offset: Offset(offset),
    };
    assert_eq!(
        broken([(1, in_force(1, first)), (2, in_force(life, second))]),
        expected
    );
}
