//! The log reader's choice of sources, in simulated time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use godwitspool_connection::messages::Member;
use godwitspool_process::{
    log_reader::{ReadEvent, ReadPlan, ReadRequest, ReadRules, ReadState, Source},
    membership::Hints,
};
use godwitspool_types::{Millis, Offset};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

fn member(number: u8, dc: &str) -> Member {
    let address = ([10, 0, 0, number], 7_000).into();
    Member {
        host: format!("{dc}-{number}").as_str().into(),
        dc: dc.into(),
        entry: address,
        leaving: false,
        steward: address,
    }
}

fn plan_of(number: u8, members: &[Member]) -> ReadPlan {
    let own = member(number, "gori");
    let mut plan = ReadPlan::new(own.host, own.dc, ReadRules::default(), Millis(0));
    let members = members.to_vec();
    let known = ReadEvent::Peers {
        members,
        hints: Hints::default(),
    };
    plan.decide(known, Millis(0), &mut rng());
    plan
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

fn gori(hosts: u8) -> Vec<Member> {
    (1..=hosts).map(|number| member(number, "gori")).collect()
}

fn progress(offset: u64) -> ReadEvent {
    ReadEvent::Progress {
        next: Offset(offset),
        end: Offset(offset),
    }
}

#[test]
fn two_hosts_of_a_data_centre_read_the_platform() {
    let members = gori(11);
    let readers = (1..=11).filter(|number| plan_of(*number, &members).is_reader());
    assert_eq!(readers.count(), 2);
}

#[test]
fn a_new_host_tries_a_peer_before_the_platform() {
    let mut plan = plan_of(1, &gori(3));
    let first = plan.next_request(Millis(0), &mut rng()).unwrap();
    assert!(
        matches!(first, ReadRequest::Snapshot(Source::Peer(_))),
        "{first:?}"
    );
    plan.decide(ReadEvent::Failed, Millis(0), &mut rng());
    let second = plan.next_request(plan.due(), &mut rng()).unwrap();
    assert_eq!(second, ReadRequest::Snapshot(Source::Platform));
}

#[test]
fn the_backoff_grows_with_each_failure_up_to_a_bound() {
    let mut plan = plan_of(1, &[]);
    let mut now = Millis(0);
    let mut waits = Vec::new();
    for _ in 0..12 {
        plan.next_request(now, &mut rng()).unwrap();
        plan.decide(ReadEvent::Failed, now, &mut rng());
        waits.push(plan.due() - now);
        now = plan.due();
    }
    assert!(waits[6] > Millis(waits[0].0 * 16), "{waits:?}");
    assert!(waits.iter().all(|wait| *wait <= Millis(3_200)), "{waits:?}");
}

#[test]
fn a_peers_answer_makes_the_host_ready_only_after_the_settle_time() {
    let mut plan = plan_of(1, &gori(3));
    let early = plan.next_request(Millis(0), &mut rng()).unwrap();
    assert!(matches!(early, ReadRequest::Snapshot(Source::Peer(_))));
    plan.decide(progress(5), Millis(10), &mut rng());
    assert_eq!(plan.state(), ReadState::NotReady);
    let hints = Hints {
        folded: Offset(7),
        ..Hints::default()
    };
    let known = ReadEvent::Peers {
        members: gori(3),
        hints,
    };
    plan.decide(known, Millis(20), &mut rng());
    plan.decide(progress(5), Millis(2_000), &mut rng());
    assert_eq!(plan.state(), ReadState::NotReady, "a peer is ahead");
    plan.decide(progress(7), Millis(2_010), &mut rng());
    assert_eq!(plan.state(), ReadState::Ready);
}

#[test]
fn a_source_that_lags_behind_other_hosts_is_replaced() {
    let members = gori(11);
    let number = (1..=11)
        .find(|number| !plan_of(*number, &members).is_reader())
        .unwrap();
    let mut plan = plan_of(number, &members);
    plan.next_request(Millis(0), &mut rng()).unwrap();
    plan.decide(progress(5), Millis(2_000), &mut rng());
    let hints = Hints {
        end: Offset(9),
        ..Hints::default()
    };
    let known = ReadEvent::Peers { members, hints };
    plan.decide(known, Millis(2_000), &mut rng());
    let first = plan.next_request(Millis(2_100), &mut rng()).unwrap();
    plan.decide(progress(5), Millis(2_100), &mut rng());
    let same = plan.next_request(Millis(2_200), &mut rng()).unwrap();
    assert_eq!(first.source(), same.source());
    plan.decide(progress(5), Millis(3_200), &mut rng());
    let other = plan.next_request(Millis(3_300), &mut rng()).unwrap();
    assert_ne!(first.source(), other.source());
}

#[test]
fn hints_of_new_records_make_a_reader_read_at_once() {
    let mut plan = plan_of(1, &[]);
    plan.next_request(Millis(0), &mut rng()).unwrap();
    plan.decide(progress(5), Millis(0), &mut rng());
    assert_eq!(plan.due(), ReadRules::default().poll_interval);
    let hints = Hints {
        withdrawal: Offset(6),
        end: Offset(6),
        folded: Offset(6),
    };
    let known = ReadEvent::Peers {
        members: Vec::new(),
        hints,
    };
    plan.decide(known, Millis(10), &mut rng());
    assert!(plan.due() <= Millis(60), "{}", plan.due());
}

proptest! {
    /// A host that was ready stays ready after any events, and there is always a next request.
    #[test]
    fn ready_stays_ready(events in proptest::collection::vec((0..4u8, 0..20u64), 1..60), seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut plan = plan_of(1, &gori(4));
        let mut now = Millis(0);
        let mut ready = false;
        for (kind, offset) in events {
            now = plan.due().max(now) + Millis(offset);
            prop_assert!(plan.next_request(now, &mut rng).is_some());
            let event = match kind {
                0 => ReadEvent::Failed,
                1 => ReadEvent::Gap,
                2 => ReadEvent::Peers {
                    members: gori(offset as u8 % 5),
                    hints: Hints { end: Offset(offset), ..Hints::default() },
                },
                _ => progress(offset),
            };
            plan.decide(event, now, &mut rng);
            prop_assert!(!ready || plan.state() == ReadState::Ready);
            ready = plan.state() == ReadState::Ready;
        }
    }
}
