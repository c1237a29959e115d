//! How near 12 trainers come to their shares.

use std::collections::{BTreeMap, VecDeque};

use godwitspool_rollout::{Shares, TrainerDemand};
use godwitspool_types::{Millis, TrainerName};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::Table;

const TRAINERS: u32 = 12;
const STARTS: u32 = 50_000;

pub(super) fn measure(seed: u64) -> Table {
    let columns = [
        "policy",
        "trainers",
        "starts",
        "mean_error_percent",
        "worst_error_percent",
    ];
    let mut table = Table::new("shares", &columns);
    for (policy, got) in [
        ("first-come", first_come(seed)),
        ("shares", by_shares(seed, false)),
        ("shares-half-come-and-go", by_shares(seed, true)),
    ] {
        let (mean, worst) = errors(&got);
        table.push_row([
            policy.to_owned(),
            TRAINERS.to_string(),
            STARTS.to_string(),
            format!("{:.2}", mean * 100.0),
            format!("{:.2}", worst * 100.0),
        ]);
    }
    table
}

/// What each trainer got of what it was entitled to.
type Got = BTreeMap<TrainerName, (f64, f64)>;

fn trainer(number: u32) -> TrainerName {
    format!("t{number:02}").into()
}

fn by_shares(seed: u64, come_and_go: bool) -> Got {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut shares = Shares::default();
    let mut got = Got::new();
    let mut active = vec![true; TRAINERS as usize];
    for start in 0..STARTS {
        if come_and_go && start % 1_000 == 0 {
            for (at, wants) in active.iter_mut().enumerate() {
                *wants = at % 2 == 0 || rng.random_bool(0.5);
            }
        }
        for (at, wants) in active.iter().enumerate() {
            let rules = TrainerDemand {
                share: at as u32 + 1,
                waiting: if *wants { 1_000 } else { 0 },
                ..TrainerDemand::default()
            };
            shares.set(trainer(at as u32), rules);
        }
        let cost = rng.random_range(300.0..700.0);
        let Some(next) = shares.next(Millis::ZERO, cost, |_| true) else {
            continue;
        };
        got.entry(next).or_default().0 += cost;
        entitle(&mut got, &active, cost);
    }
    got
}

/// Starts in the order in which trainers ask: each asks as often as it has engines to fill.
fn first_come(seed: u64) -> Got {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue: VecDeque<u32> = (0..TRAINERS).collect();
    let mut got = Got::new();
    let active = vec![true; TRAINERS as usize];
    for _ in 0..STARTS {
        let cost = rng.random_range(300.0..700.0);
        if let Some(next) = queue.pop_front() {
            got.entry(trainer(next)).or_default().0 += cost;
            queue.push_back(next);
        }
        entitle(&mut got, &active, cost);
    }
    got
}

fn entitle(got: &mut Got, active: &[bool], cost: f64) {
    let wanting = active.iter().enumerate().filter(|(_, wants)| **wants);
    let all: f64 = wanting.clone().map(|(at, _)| at as f64 + 1.0).sum();
    for (at, _) in wanting {
        got.entry(trainer(at as u32)).or_default().1 += cost * (at as f64 + 1.0) / all;
    }
}

fn errors(got: &Got) -> (f64, f64) {
    let errors = got
        .values()
        .map(|(got, entitled)| (got - entitled).abs() / entitled);
    let worst = errors.clone().fold(0.0, f64::max);
    (errors.sum::<f64>() / got.len() as f64, worst)
}
