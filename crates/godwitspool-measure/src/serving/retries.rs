//! Extra load from retries when none, a third or all of the targets fail.

use godwitspool_request::{
    AttemptOutcome, Attempts, Choice, Need, RetryBudget, RetryDecision, RetryReason, TargetFacts,
    Targets, stable_hash,
};
use godwitspool_types::{Dc, Millis, TargetName};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{Options, Table};

const TARGETS: u64 = 15;
const REQUESTS: u64 = 50_000;
const WORKSPACES: u64 = 8;
/// Maximum number of retries per request in the baseline.
const MAX_BASELINE_RETRIES: u32 = 3;

struct Outcome {
    attempts: u64,
    ok: u64,
    /// Largest extra load in a window of 1,000 requests, relative to the requests.
    max_extra: f64,
}

/// Simulates a policy with a number of failing targets and a seed.
type Simulation = fn(u64, u64) -> Outcome;

pub(crate) fn run(options: &Options) -> Vec<Table> {
    let columns = [
        "failing",
        "policy",
        "extra_load",
        "worst_1000_extra",
        "ok_ratio",
    ];
    let mut table = Table::new("retries", &columns);
    for (name, failing) in [("none", 0), ("a third", TARGETS / 3), ("all", TARGETS)] {
        let policies: [(&str, Simulation); 3] = [
            ("no retry", |failing, seed| {
                simulate_unbudgeted(failing, seed, 0)
            }),
            ("three retries at random", |failing, seed| {
                simulate_unbudgeted(failing, seed, MAX_BASELINE_RETRIES)
            }),
            ("godwitspool", simulate_budgeted),
        ];
        for (policy, run) in policies {
            let outcome = run(failing, options.seed);
            table.push_row([
                name.to_owned(),
                policy.to_owned(),
                format!("{:.4}", outcome.attempts as f64 / REQUESTS as f64 - 1.0),
                format!("{:.4}", outcome.max_extra),
                format!("{:.4}", outcome.ok as f64 / REQUESTS as f64),
            ]);
        }
    }
    vec![table]
}

fn simulate_unbudgeted(failing: u64, seed: u64, max_retries: u32) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut counter = AttemptCounter::default();
    for _ in 0..REQUESTS {
        let mut attempts = 1;
        let mut ok = rng.random_range(0..TARGETS) >= failing;
        while !ok && attempts <= u64::from(max_retries) {
            attempts += 1;
            ok = rng.random_range(0..TARGETS) >= failing;
        }
        counter.add(attempts, ok);
    }
    counter.outcome()
}

fn simulate_budgeted(failing: u64, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut targets = Targets::new(Dc::from("north"));
    for index in 0..TARGETS {
        targets.put(TargetFacts {
            dc: Dc::from("north"),
            service: "s".into(),
            slots: 1_000,
            accepts_work: true,
            target: TargetName::from(format!("t{index}")),
            ..TargetFacts::default()
        });
    }
    let mut workspaces = vec![RetryBudget::default(); WORKSPACES as usize];
    let mut class = RetryBudget::default();
    let mut counter = AttemptCounter::default();
    for request in 0..REQUESTS {
        // 500 requests per second.
        let now = Millis(request * 2);
        let caller = rng.random_range(0..WORKSPACES);
        let mut need = Need {
            caller,
            fingerprint: stable_hash(&request.to_le_bytes()),
            service: "s".into(),
            ..Need::default()
        };
        let mut attempts = Attempts {
            deadline: now + Millis(10_000),
            idempotent: true,
            ..Attempts::default()
        };
        let (mut sent, mut ok) = (0, false);
        while let Choice::Target(id) = targets.choose(&need, now) {
            sent += 1;
            let name = targets.facts(id).target.clone();
            let index: u64 = name.as_str()[1..].parse().unwrap_or(0);
            ok = index >= failing;
            let budget = &mut workspaces[caller as usize];
            if ok {
                targets.record(id, AttemptOutcome::Answered, now, &mut rng);
                budget.succeed();
                class.succeed();
                break;
            }
            targets.record(id, AttemptOutcome::Failed(caller), now, &mut rng);
            need.tried.push(id);
            let reason = RetryReason::TargetLost;
            let verdict = attempts.fail(reason, None, [budget, &mut class], now, &mut rng);
            if matches!(verdict, RetryDecision::Refuse(_)) {
                break;
            }
        }
        counter.add(sent, ok);
    }
    counter.outcome()
}

/// Counts attempts in total and in windows of 1,000 requests.
#[derive(Default)]
struct AttemptCounter {
    attempts: u64,
    ok: u64,
    /// Attempts in the current window.
    window_attempts: u64,
    requests: u64,
    /// Largest number of attempts in a window.
    max_window: u64,
}

impl AttemptCounter {
    fn add(&mut self, attempts: u64, ok: bool) {
        self.attempts += attempts;
        self.ok += u64::from(ok);
        self.window_attempts += attempts;
        self.requests += 1;
        if self.requests.is_multiple_of(1_000) {
            self.max_window = self.max_window.max(self.window_attempts);
            self.window_attempts = 0;
        }
    }

    fn outcome(&self) -> Outcome {
        Outcome {
            attempts: self.attempts,
            ok: self.ok,
            max_extra: self.max_window as f64 / 1_000.0 - 1.0,
        }
    }
}
