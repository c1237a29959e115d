//! Admission of interactive requests, the training share and workspace limits.

use std::collections::BTreeMap;

use godwitspool_request::{
    Admission, AdmissionAction, AdmissionEvent, Grant, LimitDemand, LimitHome, LimitUsage, Limits,
    Reason, Ticket, TrainingShare,
};
use godwitspool_types::{HostName, Millis, RequestId, Workspace};
use proptest::prelude::*;

fn ticket(request: u128, workspace: &str, deadline: u64) -> Ticket {
    Ticket {
        deadline: Millis(deadline),
        rank: 0,
        request: RequestId(request),
        share: 1,
        workspace: Workspace::from(workspace),
    }
}

fn arrive(request: u128, workspace: &str, deadline: u64) -> AdmissionEvent {
    AdmissionEvent::Arrive(ticket(request, workspace, deadline))
}

fn done(workspace: &str, held: u64) -> AdmissionEvent {
    AdmissionEvent::Done {
        held: Some(Millis(held)),
        workspace: Workspace::from(workspace),
    }
}

/// Returns an admission with means learnt from requests that hold one slot for 100 ms each.
fn warmed_up() -> Admission {
    let mut admission = Admission::default();
    for turn in 0..50 {
        admission.decide(
            arrive(turn, "other", u64::MAX),
            1,
            Millis(turn as u64 * 100),
        );
        admission.decide(done("other", 100), 0, Millis(turn as u64 * 100 + 100));
    }
    admission
}

fn started(actions: &[AdmissionAction]) -> Vec<u128> {
    let id = |action: &AdmissionAction| match action {
        AdmissionAction::Start(request) => Some(request.0),
        AdmissionAction::Refuse(..) => None,
    };
    actions.iter().filter_map(id).collect()
}

fn refused(actions: &[AdmissionAction]) -> Vec<Reason> {
    let reason = |action: &AdmissionAction| match action {
        AdmissionAction::Start(_) => None,
        AdmissionAction::Refuse(_, refusal) => Some(refusal.reason),
    };
    actions.iter().filter_map(reason).collect()
}

#[test]
fn the_worst_served_goes_first() {
    let mut admission = warmed_up();
    let now = Millis(10_000);
    for request in 0..20 {
        admission.decide(arrive(request, "large", 60_000), 0, now);
    }
    admission.decide(arrive(100, "small", 60_000), 0, now);
    admission.decide(arrive(101, "small", 60_000), 0, now);
    let actions = admission.decide(AdmissionEvent::Tick, 4, now);
    let ids = started(&actions);
    assert!(ids.contains(&100) && ids.contains(&101), "{ids:?}");
}

#[test]
fn shares_weigh() {
    let mut admission = warmed_up();
    let now = Millis(10_000);
    for request in 0..60 {
        let mut heavy = ticket(request, "heavy", 60_000);
        heavy.share = 3;
        admission.decide(AdmissionEvent::Arrive(heavy), 0, now);
        admission.decide(arrive(request + 1_000, "light", 60_000), 0, now);
    }
    let ids = started(&admission.decide(AdmissionEvent::Tick, 40, now));
    let heavy = ids.iter().filter(|id| **id < 1_000).count();
    assert!(
        (29..=31).contains(&heavy),
        "{heavy} of 40 starts for the workspace with three times the share"
    );
}

#[test]
fn a_deadline_that_the_queue_breaks_is_refused_at_once() {
    let mut admission = warmed_up();
    let now = Millis(10_000);
    for request in 0..8 {
        let actions = admission.decide(arrive(request, "a", 11_000), 0, now);
        assert_eq!(refused(&actions), []);
    }
    let actions = admission.decide(arrive(50, "a", 10_400), 0, now);
    assert_eq!(refused(&actions), [Reason::DeadlineUnreachable]);
    let AdmissionAction::Refuse(_, refusal) = &actions[0] else {
        panic!("the request was started instead of refused");
    };
    assert!(refusal.retry_after.unwrap() >= Millis(800));
    let actions = admission.decide(arrive(51, "b", 10_400), 0, now);
    assert_eq!(
        refused(&actions),
        [],
        "the queue of one workspace must not make another miss its deadline"
    );
}

#[test]
fn what_waited_too_long_is_refused_and_never_started() {
    let mut admission = warmed_up();
    admission.decide(arrive(1, "a", 10_500), 0, Millis(10_000));
    let actions = admission.decide(AdmissionEvent::Tick, 1, Millis(10_480));
    assert_eq!(refused(&actions), [Reason::QueueExpired]);
    assert_eq!(started(&actions), []);
    assert_eq!(admission.waiting(), 0);
}

#[test]
fn a_caller_that_went_away_is_forgotten() {
    let mut admission = warmed_up();
    admission.decide(arrive(1, "a", 20_000), 0, Millis(10_000));
    let gone = AdmissionEvent::Withdraw(RequestId(1));
    assert_eq!(admission.decide(gone, 1, Millis(10_001)), []);
    assert_eq!(admission.waiting(), 0);
}

#[test]
fn the_queue_is_bounded() {
    let mut admission = Admission::default();
    for request in 0..Admission::MAX_WAITING {
        admission.decide(arrive(request as u128, "a", u64::MAX), 0, Millis(0));
    }
    let actions = admission.decide(arrive(u128::MAX, "a", u64::MAX), 0, Millis(0));
    assert_eq!(refused(&actions), [Reason::QueueFull]);
}

proptest! {
    /// Each request is started or refused at most once, and no more are started than slots are
    /// free.
    #[test]
    fn nothing_is_started_twice_or_lost(
        steps in prop::collection::vec((0..4_u8, 0..3_usize, 0..3_u32, 1..400_u64), 1..300),
    ) {
        let names = ["a", "b", "c"];
        let mut admission = Admission::default();
        let mut outcome = BTreeMap::<RequestId, bool>::new();
        let (mut now, mut next, mut withdrawn) = (0, 0_u128, 0);
        let mut running = [0_u32; 3];
        for (kind, who, free, span) in steps {
            now += span / 4;
            let event = match kind {
                0 | 1 => { next += 1; arrive(next, names[who], now + span * 10) }
                2 if running[who] > 0 => { running[who] -= 1; done(names[who], span) }
                2 => AdmissionEvent::Tick,
                _ => {
                    let open = (1..=next).map(RequestId).find(|id| !outcome.contains_key(id));
                    let Some(id) = open else { continue };
                    outcome.insert(id, false);
                    withdrawn += 1;
                    AdmissionEvent::Withdraw(id)
                }
            };
            let actions = admission.decide(event, free, Millis(now));
            prop_assert!(started(&actions).len() <= free as usize);
            for action in actions {
                let (id, began) = match action {
                    AdmissionAction::Start(id) => (id, true),
                    AdmissionAction::Refuse(id, _) => (id, false),
                };
                prop_assert_eq!(outcome.insert(id, began), None);
                if began {
                    // The action doesn't name the workspace, so all running requests are counted
                    // under the first one.
                    running[0] += 1;
                }
            }
        }
        prop_assert_eq!(outcome.len() + admission.waiting(), next as usize);
        prop_assert!(withdrawn <= outcome.len());
    }

    #[test]
    fn training_never_takes_the_headroom(slots in 1..200_u32, seen in prop::collection::vec(0..200_u32, 1..50)) {
        let mut share = TrainingShare::new(slots);
        let reserve = slots.div_ceil(8);
        for (turn, interactive) in seen.into_iter().enumerate() {
            let interactive = interactive.min(slots);
            share.observe(interactive, Millis(turn as u64 * 500));
            let training = share.room(0);
            prop_assert!(training == 0 || training + interactive + reserve <= slots);
            prop_assert!(training <= slots - slots.div_ceil(4));
            let left = slots - share.cuts(slots);
            prop_assert!(left == 0 || left + interactive + reserve <= slots);
        }
    }
}

#[test]
fn training_is_cut_only_when_the_reserve_is_eaten() {
    let mut share = TrainingShare::new(16);
    share.observe(4, Millis(0));
    assert_eq!(share.room(0), 10);
    assert_eq!(share.cuts(10), 0);
    share.observe(5, Millis(10));
    assert_eq!(share.cuts(10), 0, "half of the reserve is still free");
    share.observe(6, Millis(20));
    assert_eq!(share.cuts(10), 2);
    let mut large = TrainingShare::new(64);
    large.observe(20, Millis(0));
    assert_eq!(large.cuts(40), 0);
    assert_eq!(large.cuts(41), 5, "3 free of a reserve of 8");
}

#[test]
fn headroom_follows_the_interactive_requests() {
    let mut share = TrainingShare::new(16);
    for turn in 0..100 {
        share.observe(8, Millis(turn * 500));
    }
    share.observe(0, Millis(50_000));
    assert_eq!(
        share.room(0),
        5,
        "one observation without interactive requests keeps the headroom"
    );
    for turn in 0..100 {
        share.observe(0, Millis(50_500 + turn * 500));
    }
    assert_eq!(share.room(0), 12);
}

const LIMITS: Limits = Limits {
    concurrency: 110,
    hosts: 11,
    rate: 220,
};

proptest! {
    /// With a single home, the grants and default grants of all hosts stay within the limits.
    #[test]
    fn grants_never_exceed_the_limits(
        asks in prop::collection::vec((0..11_usize, 0..500_u32, 0..1_000_u64), 1..200),
    ) {
        let mut home = LimitHome::new(Millis::ZERO);
        let mut held = vec![(LIMITS.default_grant(), Millis::ZERO); 11];
        let mut now = Millis(3_001);
        for (host, arrived, span) in asks {
            now = now + Millis(span);
            let demand = LimitDemand { arrived, running: 0 };
            if let Some(grant) = home.ask(&format!("h{host}").into(), demand, LIMITS, now) {
                held[host] = (grant, now + Millis(3_000));
            }
            let sum = held.iter().fold(Grant::default(), |sum, (grant, until)| {
                let grant = if now < *until { *grant } else { LIMITS.default_grant() };
                Grant {
                    concurrency: sum.concurrency + grant.concurrency,
                    rate: sum.rate + grant.rate,
                }
            });
            prop_assert!(sum.concurrency <= LIMITS.concurrency);
            prop_assert!(sum.rate <= f64::from(LIMITS.rate) + 1e-6);
        }
    }

    #[test]
    fn a_host_stays_within_its_part(spans in prop::collection::vec(0..50_u64, 1..1_000)) {
        let mut usage = LimitUsage::default();
        let (mut now, mut passed) = (0, 0);
        let grant = Grant { concurrency: 1_000, rate: 20.0 };
        for span in spans {
            now += span;
            usage.grant(grant, Millis(now));
            if usage.begin(LIMITS, Millis(now)).is_ok() {
                passed += 1;
            }
        }
        prop_assert!(f64::from(passed) <= 20.0 + 20.0 * now as f64 / 1_000.0 + 1.0);
    }
}

#[test]
fn a_new_home_waits_until_old_grants_have_ended() {
    let mut home = LimitHome::new(Millis(10_000));
    let demand = LimitDemand::default();
    let host = HostName::from("a");
    assert_eq!(home.ask(&host, demand, LIMITS, Millis(13_000)), None);
    assert!(home.ask(&host, demand, LIMITS, Millis(13_001)).is_some());
}

#[test]
fn an_idle_host_saves_up_no_more_than_a_second() {
    let mut usage = LimitUsage::default();
    let grant = Grant {
        concurrency: 1_000,
        rate: 20.0,
    };
    let mut passed = 0;
    for now in [0, 2_000] {
        usage.grant(grant, Millis(now));
        let begins = (0..100).filter(|_| usage.begin(LIMITS, Millis(now)).is_ok());
        passed += begins.count();
    }
    assert_eq!(passed, 40);
}

#[test]
fn a_host_whose_grant_ended_falls_back_to_the_fixed_part() {
    let mut usage = LimitUsage::default();
    let grant = Grant {
        concurrency: 50,
        rate: 1_000.0,
    };
    usage.grant(grant, Millis(0));
    for _ in 0..10 {
        assert!(usage.begin(LIMITS, Millis(2_999)).is_ok());
    }
    let refusal = usage.begin(LIMITS, Millis(3_000)).unwrap_err();
    assert_eq!(refusal.reason, Reason::ConcurrencyLimit);
}

#[test]
fn demand_moves_the_grants() {
    let mut home = LimitHome::new(Millis(0));
    let (busy, idle) = (HostName::from("busy"), HostName::from("idle"));
    let mut shares = (0.0, 0.0);
    for turn in 4..12 {
        let now = Millis(turn * 1_000);
        let ask = |arrived| LimitDemand {
            arrived,
            running: 0,
        };
        shares.0 = home.ask(&busy, ask(199), LIMITS, now).unwrap().rate;
        shares.1 = home.ask(&idle, ask(0), LIMITS, now).unwrap().rate;
    }
    assert!(shares.0 > 150.0 && shares.1 < 12.0, "{shares:?}");
}
