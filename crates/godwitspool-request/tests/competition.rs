//! Interactive requests that compete for the slots of one service, replayed millisecond by millisecond.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use godwitspool_request::{Admission, AdmissionAction, AdmissionEvent, Reason, Refusal, Ticket};
use godwitspool_types::{Millis, RequestId, Workspace};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Slots of the service: three targets with six slots each.
const SLOTS: u32 = 18;
/// Time for which a request holds its slot.
const HELD: u64 = 25;
/// Requests a second that the slots can serve.
const CAPACITY: f64 = SLOTS as f64 * 1_000.0 / HELD as f64;
/// Time from a request's arrival to its deadline.
const DEADLINE: u64 = 800;
/// Length of a replay in milliseconds.
const LENGTH: u64 = 30_000;

/// Requests of one workspace that arrive at random.
#[derive(Clone, Copy)]
struct Load {
    workspace: &'static str,
    rank: u32,
    /// Requests a second.
    rate: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: u32,
    served: u32,
}

/// Returns what becomes of each workspace's requests.
fn replay(loads: &[Load], seed: u64) -> BTreeMap<&'static str, Tally> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut admission = Admission::default();
    let mut tallies = BTreeMap::<&str, Tally>::new();
    let mut waiting = BTreeMap::<RequestId, Load>::new();
    let mut running: Vec<(u64, Load)> = Vec::new();
    let mut next = 0;
    for now in 0..LENGTH {
        let mut events = Vec::new();
        running.retain(|(until, load)| {
            if *until == now {
                events.push(AdmissionEvent::Done {
                    held: Some(Millis(HELD)),
                    workspace: Workspace::from(load.workspace),
                });
            }
            *until != now
        });
        for load in loads {
            let mut expected = load.rate / 1_000.0;
            while rng.random::<f64>() < expected {
                expected -= 1.0;
                next += 1;
                tallies.entry(load.workspace).or_default().arrived += 1;
                waiting.insert(RequestId(next), *load);
                events.push(AdmissionEvent::Arrive(Ticket {
                    deadline: Millis(now + DEADLINE),
                    rank: load.rank,
                    request: RequestId(next),
                    share: 1,
                    workspace: Workspace::from(load.workspace),
                }));
            }
        }
        for event in events {
            let free = SLOTS - running.len() as u32;
            for action in admission.decide(event, free, Millis(now)) {
                if let AdmissionAction::Start(id) = action {
                    let load = waiting.remove(&id).unwrap();
                    tallies.get_mut(load.workspace).unwrap().served += 1;
                    running.push((now + HELD, load));
                }
            }
        }
    }
    tallies
}

fn loads(names: &[&'static str], rate: f64) -> Vec<Load> {
    let load = |workspace: &&'static str| Load {
        workspace,
        rank: 0,
        rate,
    };
    names.iter().map(load).collect()
}

fn ticket(request: u128, rank: u32, workspace: &str, deadline: u64) -> Ticket {
    Ticket {
        deadline: Millis(deadline),
        rank,
        request: RequestId(request),
        share: 1,
        workspace: Workspace::from(workspace),
    }
}

fn refusals(actions: &[AdmissionAction]) -> Vec<(u128, Refusal)> {
    let refusal = |action: &AdmissionAction| match action {
        AdmissionAction::Refuse(id, refusal) => Some((id.0, *refusal)),
        AdmissionAction::Start(_) => None,
    };
    actions.iter().filter_map(refusal).collect()
}

fn starts(actions: &[AdmissionAction]) -> Vec<u128> {
    let id = |action: &AdmissionAction| match action {
        AdmissionAction::Start(id) => Some(id.0),
        AdmissionAction::Refuse(..) => None,
    };
    actions.iter().filter_map(id).collect()
}

/// Guards against a workspace that takes the others' slots by sending more.
#[test]
fn one_workspace_at_eight_times_its_share_costs_the_others_little() {
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    let share = CAPACITY / 8.0;
    for seed in 0..3 {
        let mut with = loads(&names, share * 0.9);
        let mut without = with.clone();
        for (loads, rate) in [(&mut with, share * 8.0), (&mut without, share * 0.9)] {
            loads.extend(self::loads(&["large"], rate));
        }
        let (with, without) = (replay(&with, seed), replay(&without, seed));
        let served = |tallies: &BTreeMap<&str, Tally>, name: &str| {
            f64::from(tallies[name].served) / f64::from(tallies[name].arrived)
        };
        for name in names {
            let (now, before) = (served(&with, name), served(&without, name));
            assert!(
                now >= before * 0.97,
                "{name}, seed {seed}: {now} of {before}"
            );
        }
    }
}

/// Guards against less urgent workspaces that delay urgent ones.
#[test]
fn an_urgent_workspace_goes_before_the_others() {
    let load = |workspace, rank, rate| Load {
        workspace,
        rank,
        rate: CAPACITY * rate,
    };
    let tallies = replay(
        &[
            load("later", 1, 0.8),
            load("urgent", 0, 0.8),
            load("latest", 2, 0.8),
        ],
        1,
    );
    let part = |name: &str| f64::from(tallies[name].served) / f64::from(tallies[name].arrived);
    assert!(part("urgent") > 0.98, "{tallies:?}");
    assert!(part("later") > part("latest"), "{tallies:?}");
}

/// Guards against a rank that never gets a slot.
#[test]
fn nobody_starves_behind_urgent_workspaces() {
    let load = |workspace, rank, rate| Load {
        workspace,
        rank,
        rate: CAPACITY * rate,
    };
    let tallies = replay(&[load("urgent", 0, 2.0), load("later", 1, 1.0)], 1);
    let total = f64::from(tallies["urgent"].served + tallies["later"].served);
    let mean = total / 2.0;
    let later = f64::from(tallies["later"].served);
    // The first seconds, in which nobody has been served yet, count too.
    assert!(later >= mean * 0.25 * 0.95, "{tallies:?}");
    assert!(later <= mean * 0.35, "{tallies:?}");
}

/// Guards against requests of a burst that are held until their deadline and refused then.
#[test]
fn a_burst_is_refused_at_once_or_served_in_time() {
    let mut admission = Admission::default();
    // One request before the burst shows how long a slot is held.
    admission.decide(
        AdmissionEvent::Arrive(ticket(0, 0, "a", 800)),
        18,
        Millis(0),
    );
    let held = Some(Millis(HELD));
    let workspace = Workspace::from("a");
    admission.decide(AdmissionEvent::Done { held, workspace }, 18, Millis(25));
    let (mut refused, mut running) = (Vec::new(), Vec::new());
    let burst = 2 * (CAPACITY * DEADLINE as f64 / 1_000.0) as u128;
    for request in 1..=burst {
        let arrive = AdmissionEvent::Arrive(ticket(request, 0, "a", 1_000 + DEADLINE));
        let free = SLOTS - running.len() as u32;
        let actions = admission.decide(arrive, free, Millis(1_000));
        refused.extend(refusals(&actions));
        running.extend(starts(&actions).iter().map(|_| 1_000 + HELD));
    }
    let (at_once, mut served) = (refused.len(), 0);
    assert!(
        refused
            .iter()
            .all(|(_, refusal)| refusal.reason == Reason::DeadlineUnreachable)
    );
    // Those that come back must find that the burst has been served.
    assert!(
        refused
            .iter()
            .all(|(_, refusal)| refusal.retry_after.unwrap() >= Millis(600))
    );
    for now in 1_001..3_000 {
        let before = running.len();
        running.retain(|until| *until != now);
        for _ in running.len()..before {
            served += 1;
            assert!(now <= 1_000 + DEADLINE, "request completed at {now}");
            let held = Some(Millis(HELD));
            let workspace = Workspace::from("a");
            let free = SLOTS - running.len() as u32;
            let actions =
                admission.decide(AdmissionEvent::Done { held, workspace }, free, Millis(now));
            refused.extend(refusals(&actions));
            running.extend(starts(&actions).iter().map(|_| now + HELD));
        }
    }
    let late = refused.len() - at_once;
    assert_eq!(served + refused.len(), burst as usize);
    assert!(served as f64 > 0.4 * burst as f64, "{served} of {burst}");
    assert!(
        late * 20 <= served,
        "{late} requests refused only after a wait, {served} served"
    );
}

/// Guards against callers that wait until their deadline for targets that never get free.
#[test]
fn a_queue_that_never_moves_refuses_early_and_then_at_once() {
    let mut admission = Admission::default();
    for request in 0..4 {
        let arrive = AdmissionEvent::Arrive(ticket(request, 0, "a", 2_000));
        assert_eq!(admission.decide(arrive, 0, Millis(0)), []);
    }
    let tick = |admission: &mut Admission, now| {
        refusals(&admission.decide(AdmissionEvent::Tick, 0, Millis(now)))
    };
    assert_eq!(tick(&mut admission, 400), []);
    let refused = tick(&mut admission, 1_000);
    assert_eq!(
        refused.len(),
        4,
        "half of the time has passed without a start"
    );
    let arrive = AdmissionEvent::Arrive(ticket(9, 0, "b", 3_000));
    assert_eq!(admission.decide(arrive, 0, Millis(1_001)), []);
    let arrive = AdmissionEvent::Arrive(ticket(10, 0, "b", 1_801));
    assert_eq!(tick(&mut admission, 1_700), []);
    let refused = refusals(&admission.decide(arrive, 0, Millis(1_701)));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1.reason, Reason::DeadlineUnreachable);
    assert!(refused[0].1.retry_after.unwrap() >= Millis(700));
}

/// Guards against callers that were refused together and come back together.
#[test]
fn retries_of_refused_callers_are_spread() {
    let refusal = Refusal::from(Reason::QueueFull).with_retry(Millis(400));
    assert_eq!(refusal.spread(0.0).retry_after, Some(Millis(400)));
    assert_eq!(refusal.spread(0.5).retry_after, Some(Millis(600)));
    assert_eq!(refusal.spread(1.0).retry_after, Some(Millis(800)));
    assert_eq!(
        Refusal::from(Reason::TargetLost).spread(0.5).retry_after,
        None
    );
}

/// Guards against an earlier jam by which later requests are refused although the queue moves.
#[test]
fn the_pace_of_an_earlier_queue_is_forgotten() {
    let mut admission = Admission::default();
    for request in 0..3 {
        let arrive = AdmissionEvent::Arrive(ticket(request, 0, "a", 60_000));
        admission.decide(arrive, 0, Millis(0));
    }
    for turn in 1..=3 {
        let actions = admission.decide(AdmissionEvent::Tick, 1, Millis(turn * 2_000));
        assert_eq!(starts(&actions).len(), 1);
        let held = Some(Millis(HELD));
        let workspace = Workspace::from("a");
        admission.decide(
            AdmissionEvent::Done { held, workspace },
            0,
            Millis(turn * 2_000 + 25),
        );
    }
    let arrive = AdmissionEvent::Arrive(ticket(9, 0, "a", 9_800));
    assert_eq!(refusals(&admission.decide(arrive, 0, Millis(9_000))), []);
}

/// Returns the share of their requests that the workspaces other than the large one get in time. Each host
/// counts its own requests alone against the slots; what exceeds them waits at the targets in the order of
/// its arrival there.
fn served_over_hosts(hosts: usize, mut loads: Vec<Load>, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut admissions = vec![Admission::default(); hosts];
    let mut in_flight = vec![0_u32; hosts];
    let mut started = BTreeMap::<RequestId, (usize, u64, Load)>::new();
    let mut queue = std::collections::VecDeque::<(RequestId, u64)>::new();
    let mut running: Vec<(u64, RequestId, u64)> = Vec::new();
    let (mut arrived, mut served, mut next) = (0, 0, 0);
    for load in &mut loads {
        load.rate /= 1_000.0;
    }
    for now in 0..LENGTH {
        let mut events = Vec::new();
        running.retain(|(until, id, since)| {
            if *until == now {
                let (host, deadline, load) = started[id];
                in_flight[host] -= 1;
                served += u32::from(load.workspace != "large" && now <= deadline);
                let held = Some(Millis(now - since));
                let workspace = Workspace::from(load.workspace);
                events.push((host, AdmissionEvent::Done { held, workspace }));
            }
            *until != now
        });
        for load in &loads {
            let mut expected = load.rate;
            while rng.random::<f64>() < expected {
                expected -= 1.0;
                next += 1;
                arrived += u32::from(load.workspace != "large");
                let host = rng.random_range(0..hosts);
                started.insert(RequestId(next), (host, now + DEADLINE, *load));
                let ticket = ticket(next, load.rank, load.workspace, now + DEADLINE);
                events.push((host, AdmissionEvent::Arrive(ticket)));
            }
        }
        for (host, event) in events {
            let free = SLOTS.saturating_sub(in_flight[host]);
            for action in admissions[host].decide(event, free, Millis(now)) {
                if let AdmissionAction::Start(id) = action {
                    in_flight[host] += 1;
                    queue.push_back((id, now));
                }
            }
            assert!(in_flight[host] <= SLOTS);
        }
        while running.len() < SLOTS as usize {
            let Some((id, since)) = queue.pop_front() else {
                break;
            };
            running.push((now + HELD, id, since));
        }
    }
    f64::from(served) / f64::from(arrived)
}

/// Guards against shares that are lost because hosts don't hear of each other's requests. Hosts together send
/// at most as many times the slots as there are hosts, which lengthens each request and leaves the shares.
#[test]
fn shares_hold_over_hosts_that_hear_nothing_of_each_other() {
    let share = CAPACITY / 8.0;
    let loads = || {
        let mut loads = loads(&["a", "b", "c", "d", "e", "f", "g"], share * 0.9);
        loads.extend(self::loads(&["large"], share * 8.0));
        loads
    };
    for hosts in [1, 3, 11] {
        let served = served_over_hosts(hosts, loads(), 1);
        assert!(served >= 0.97, "{hosts} hosts: {served}");
    }
}

/// Guards against a service that refuses all requests for good after requests were held until their
/// deadline: with free slots a request starts, however long the earlier ones took.
#[test]
fn requests_start_at_free_slots_after_others_were_held_until_their_deadline() {
    let mut admission = Admission::default();
    for turn in 0..20 {
        let now = turn * 1_000;
        let arrive = AdmissionEvent::Arrive(ticket(turn.into(), 0, "a", now + DEADLINE));
        assert_eq!(
            starts(&admission.decide(arrive, 2, Millis(now))).len(),
            1,
            "turn {turn}"
        );
        let held = Some(Millis(DEADLINE));
        let workspace = Workspace::from("a");
        admission.decide(
            AdmissionEvent::Done { held, workspace },
            2,
            Millis(now + DEADLINE),
        );
    }
}

/// Guards against refusals of a workspace that is next in turn because others wait, who were served more.
#[test]
fn the_least_served_workspace_is_not_refused_because_others_wait() {
    let mut admission = Admission::default();
    let mut next = 0;
    for (turn, name) in ["a", "b", "c", "d", "e", "f"]
        .iter()
        .cycle()
        .take(24)
        .enumerate()
    {
        let now = turn as u64 * 100;
        let arrive = AdmissionEvent::Arrive(ticket(turn as u128, 0, name, now + 60_000));
        admission.decide(arrive, 1, Millis(now));
        let held = Some(Millis(100));
        let workspace = Workspace::from(*name);
        admission.decide(
            AdmissionEvent::Done { held, workspace },
            0,
            Millis(now + 100),
        );
    }
    let now = 2_400;
    let mut arrive = |name: &str, deadline: u64| {
        next += 1;
        let arrive = AdmissionEvent::Arrive(ticket(1_000 + next, 0, name, now + deadline));
        refusals(&admission.decide(arrive, 0, Millis(now))).len()
    };
    for name in ["a", "b", "c", "d", "e", "f"] {
        assert_eq!(arrive(name, 60_000), 0);
    }
    assert_eq!(arrive("small", 250), 0, "it is next in turn");
    assert_eq!(arrive("a", 250), 1, "it comes after all the others");
}
