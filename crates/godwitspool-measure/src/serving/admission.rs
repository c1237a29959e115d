//! Workspaces' latency under a training flood, and under a flood of one workspace.

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::fleet::{Ended, Fleet, Job, Policy, Shape, arrivals};
use crate::{Options, Table};

const SHAPE: Shape = Shape {
    engines: 14,
    hosts: 11,
    lag_ms: 200,
    slots: 16,
};
const RUN_MS: u64 = 60_000;
const DEADLINE_MS: u64 = 2_000;
/// Time after which answers are counted.
const WARM_MS: u64 = 5_000;
const TOKENS: f64 = 25.0;
const SAMPLE_TOKENS: f64 = 200.0;
/// Part of interactive requests that each workspace sends: a few large among eight.
const PARTS: [f64; 8] = [0.34, 0.26, 0.1, 0.06, 0.06, 0.06, 0.06, 0.06];
/// Interactive requests a second at which the engines are two fifths full.
const RATE: f64 = 380.0;

/// What is offered.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    /// How many times its part the largest workspace sends.
    surge: f64,
    /// Training streams wanted, in times of all slots.
    training: u32,
}

const LOADS: [Load; 3] = [
    Load {
        name: "no-training",
        surge: 1.0,
        training: 0,
    },
    Load {
        name: "training-flood",
        surge: 1.0,
        training: 4,
    },
    Load {
        name: "one-workspace-surges",
        surge: 8.0,
        training: 0,
    },
];

struct Result {
    latency: Vec<Histogram<u64>>,
    ok: Vec<u64>,
    sent: Vec<u64>,
    trained: f64,
}

pub(crate) fn run(options: &Options) -> Vec<Table> {
    let columns = [
        "load",
        "policy",
        "workspace",
        "requests",
        "ok_ratio",
        "p50_ms",
        "p99_ms",
    ];
    let mut each = Table::new("admission", &columns);
    let columns = [
        "load",
        "policy",
        "p99_ms",
        "p99_to_no_training",
        "worst_p99_to_median",
        "worst_ok_ratio",
        "training_tokens_per_s",
    ];
    let mut all = Table::new("admission-summary", &columns);
    for policy in Policy::ALL {
        let mut alone = 0.0;
        for load in LOADS {
            let result = simulate(policy, load, options.seed);
            let mut p99s = Vec::new();
            let mut whole = new_histogram();
            let mut worst_ok = 1.0_f64;
            for workspace in 0..PARTS.len() {
                let latency = &result.latency[workspace];
                let ok = result.ok[workspace] as f64 / result.sent[workspace].max(1) as f64;
                // The one that surges answers for itself.
                let counted = load.surge <= 1.0 || workspace > 0;
                if counted {
                    p99s.push(latency.value_at_quantile(0.99) as f64);
                    worst_ok = worst_ok.min(ok);
                    whole += latency;
                }
                each.push_row([
                    load.name.to_owned(),
                    policy.name().to_owned(),
                    format!("w{workspace}"),
                    result.sent[workspace].to_string(),
                    format!("{ok:.4}"),
                    latency.value_at_quantile(0.5).to_string(),
                    latency.value_at_quantile(0.99).to_string(),
                ]);
            }
            p99s.sort_by(f64::total_cmp);
            let p99 = whole.value_at_quantile(0.99) as f64;
            if load.training == 0 && load.surge <= 1.0 {
                alone = p99;
            }
            all.push_row([
                load.name.to_owned(),
                policy.name().to_owned(),
                format!("{p99:.0}"),
                format!("{:.2}", p99 / alone),
                format!("{:.2}", p99s[p99s.len() - 1] / p99s[p99s.len() / 2]),
                format!("{worst_ok:.4}"),
                format!("{:.0}", result.trained / (RUN_MS as f64 / 1_000.0)),
            ]);
        }
    }
    vec![all, each]
}

fn simulate(policy: Policy, load: Load, seed: u64) -> Result {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(SHAPE, policy);
    let wanted = load.training * SHAPE.engines as u32 * SHAPE.slots;
    let mut result = Result {
        latency: (0..PARTS.len()).map(|_| new_histogram()).collect(),
        ok: vec![0; PARTS.len()],
        sent: vec![0; PARTS.len()],
        trained: 0.0,
    };
    for now in 0..RUN_MS {
        for (workspace, part) in PARTS.iter().enumerate() {
            let surge = if workspace == 0 { load.surge } else { 1.0 };
            for _ in 0..arrivals(RATE * part * surge, &mut rng) {
                let job = Job {
                    arrived: now,
                    host: rng.random_range(0..SHAPE.hosts),
                    started: now,
                    tokens: TOKENS,
                    workspace: Some(workspace),
                };
                let ended = fleet.arrive(job, DEADLINE_MS, &mut rng);
                for end in &ended {
                    count(&mut result, end, now);
                }
            }
        }
        fleet.train(wanted, SAMPLE_TOKENS, &mut rng);
        let ended = fleet.step();
        for end in &ended {
            count(&mut result, end, now);
        }
    }
    for engine in &fleet.engines {
        for job in engine.running.iter().chain(&engine.waiting) {
            let stuck = Ended {
                done: false,
                job: job.clone(),
            };
            if RUN_MS - job.arrived > DEADLINE_MS {
                count(&mut result, &stuck, RUN_MS);
            }
        }
    }
    result
}

fn count(result: &mut Result, ended: &Ended, now: u64) {
    let Some(workspace) = ended.job.workspace else {
        result.trained += SAMPLE_TOKENS;
        return;
    };
    if ended.job.arrived < WARM_MS {
        return;
    }
    result.sent[workspace] += 1;
    let latency = now - ended.job.arrived;
    if ended.done {
        // A histogram without an upper bound takes every value.
        result.latency[workspace] += latency.max(1);
        result.ok[workspace] += u64::from(latency <= DEADLINE_MS);
    }
}

fn new_histogram() -> Histogram<u64> {
    match Histogram::new(3) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("three digits are allowed: {error}"),
    }
}
