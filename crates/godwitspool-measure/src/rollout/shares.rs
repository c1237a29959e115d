//! How closely 12 trainers get their configured shares.

use std::collections::{BTreeMap, VecDeque};

use godwitspool_rollout::{Shares, TrainerDemand};
use godwitspool_types::{Millis, TrainerName};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::Table;

const TRAINERS: u32 = 12;
/// Number of samples that are started in a run.
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
    for (policy, work) in [
        ("first-come", simulate_first_come(seed)),
        ("shares", simulate_shares(seed, false)),
        ("shares-half-come-and-go", simulate_shares(seed, true)),
    ] {
        let (mean, worst) = relative_errors(&work);
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

/// Work that each trainer received and was entitled to, in this order.
type WorkByTrainer = BTreeMap<TrainerName, (f64, f64)>;

fn trainer(number: u32) -> TrainerName {
    format!("t{number:02}").into()
}

/// Simulates the fair-share policy. With `intermittent`, half of the trainers stop and resume at
/// random.
fn simulate_shares(seed: u64, intermittent: bool) -> WorkByTrainer {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut shares = Shares::default();
    let mut work = WorkByTrainer::new();
    let mut active = vec![true; TRAINERS as usize];
    for start in 0..STARTS {
        if intermittent && start % 1_000 == 0 {
            for (index, is_active) in active.iter_mut().enumerate() {
                *is_active = index % 2 == 0 || rng.random_bool(0.5);
            }
        }
        for (index, is_active) in active.iter().enumerate() {
            let demand = TrainerDemand {
                share: index as u32 + 1,
                waiting: if *is_active { 1_000 } else { 0 },
                ..TrainerDemand::default()
            };
            shares.set(trainer(index as u32), demand);
        }
        let cost = rng.random_range(300.0..700.0);
        let Some(next) = shares.next(Millis::ZERO, cost, |_| true) else {
            continue;
        };
        work.entry(next).or_default().0 += cost;
        add_entitlement(&mut work, &active, cost);
    }
    work
}

/// Simulates the baseline: samples start in the order in which trainers ask, and since all ask
/// equally often, shares have no effect.
fn simulate_first_come(seed: u64) -> WorkByTrainer {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue: VecDeque<u32> = (0..TRAINERS).collect();
    let mut work = WorkByTrainer::new();
    let active = vec![true; TRAINERS as usize];
    for _ in 0..STARTS {
        let cost = rng.random_range(300.0..700.0);
        if let Some(next) = queue.pop_front() {
            work.entry(trainer(next)).or_default().0 += cost;
            queue.push_back(next);
        }
        add_entitlement(&mut work, &active, cost);
    }
    work
}

/// Divides the cost of a started sample among the active trainers in proportion to their shares.
fn add_entitlement(work: &mut WorkByTrainer, active: &[bool], cost: f64) {
    let active_trainers = active
        .iter()
        .enumerate()
        .filter(|(_, is_active)| **is_active);
    let share_sum: f64 = active_trainers
        .clone()
        .map(|(index, _)| index as f64 + 1.0)
        .sum();
    for (index, _) in active_trainers {
        work.entry(trainer(index as u32)).or_default().1 += cost * (index as f64 + 1.0) / share_sum;
    }
}

/// Returns the mean and the largest relative error of the received work.
fn relative_errors(work: &WorkByTrainer) -> (f64, f64) {
    let errors = work
        .values()
        .map(|(received, entitlement)| (received - entitlement).abs() / entitlement);
    let worst = errors.clone().fold(0.0, f64::max);
    (errors.sum::<f64>() / work.len() as f64, worst)
}
