//! Latency by workspace under a training flood and under a surge of one workspace.

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::fleet::{EndedJob, Fleet, FleetParams, Job, Policy, arrivals};
use crate::{Options, Table};

const FLEET: FleetParams = FleetParams {
    engines: 14,
    hosts: 11,
    lag_ms: 200,
    slots: 16,
};
const RUN_MS: u64 = 60_000;
const DEADLINE_MS: u64 = 2_000;
/// Requests that arrive earlier are not counted.
const WARM_UP_MS: u64 = 5_000;
const INTERACTIVE_TOKENS: f64 = 25.0;
const SAMPLE_TOKENS: f64 = 200.0;
/// Share of the interactive requests that each workspace sends. A few workspaces are much larger
/// than the others.
const WORKSPACE_SHARES: [f64; 8] = [0.34, 0.26, 0.1, 0.06, 0.06, 0.06, 0.06, 0.06];
/// Rate of interactive requests at which 40% of the slots are in use.
const RATE_PER_S: f64 = 380.0;

/// The offered load.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    /// Factor on the request rate of the largest workspace.
    surge: f64,
    /// Number of training streams that are wanted, in multiples of the slots of the fleet.
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

/// Result of a run. Vectors are indexed by workspace.
struct Outcome {
    latency: Vec<Histogram<u64>>,
    /// Requests answered within the deadline.
    ok: Vec<u64>,
    sent: Vec<u64>,
    training_tokens: f64,
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
    let mut by_workspace = Table::new("admission", &columns);
    let columns = [
        "load",
        "policy",
        "p99_ms",
        "p99_to_no_training",
        "worst_p99_to_median",
        "worst_ok_ratio",
        "training_tokens_per_s",
    ];
    let mut summary = Table::new("admission-summary", &columns);
    for policy in Policy::ALL {
        let mut baseline_p99 = 0.0;
        for load in LOADS {
            let outcome = simulate(policy, load, options.seed);
            let mut p99s = Vec::new();
            let mut combined = new_histogram();
            let mut min_ok_ratio = 1.0_f64;
            for workspace in 0..WORKSPACE_SHARES.len() {
                let latency = &outcome.latency[workspace];
                let ok_ratio = outcome.ok[workspace] as f64 / outcome.sent[workspace].max(1) as f64;
                // The summary excludes the workspace that surges.
                let in_summary = load.surge <= 1.0 || workspace > 0;
                if in_summary {
                    p99s.push(latency.value_at_quantile(0.99) as f64);
                    min_ok_ratio = min_ok_ratio.min(ok_ratio);
                    combined += latency;
                }
                by_workspace.push_row([
                    load.name.to_owned(),
                    policy.name().to_owned(),
                    format!("w{workspace}"),
                    outcome.sent[workspace].to_string(),
                    format!("{ok_ratio:.4}"),
                    latency.value_at_quantile(0.5).to_string(),
                    latency.value_at_quantile(0.99).to_string(),
                ]);
            }
            p99s.sort_by(f64::total_cmp);
            let p99 = combined.value_at_quantile(0.99) as f64;
            if load.training == 0 && load.surge <= 1.0 {
                baseline_p99 = p99;
            }
            summary.push_row([
                load.name.to_owned(),
                policy.name().to_owned(),
                format!("{p99:.0}"),
                format!("{:.2}", p99 / baseline_p99),
                format!("{:.2}", p99s[p99s.len() - 1] / p99s[p99s.len() / 2]),
                format!("{min_ok_ratio:.4}"),
                format!("{:.0}", outcome.training_tokens / (RUN_MS as f64 / 1_000.0)),
            ]);
        }
    }
    vec![summary, by_workspace]
}

fn simulate(policy: Policy, load: Load, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(FLEET, policy);
    let wanted_streams = load.training * FLEET.engines as u32 * FLEET.slots;
    let mut outcome = Outcome {
        latency: (0..WORKSPACE_SHARES.len())
            .map(|_| new_histogram())
            .collect(),
        ok: vec![0; WORKSPACE_SHARES.len()],
        sent: vec![0; WORKSPACE_SHARES.len()],
        training_tokens: 0.0,
    };
    for now in 0..RUN_MS {
        for (workspace, share) in WORKSPACE_SHARES.iter().enumerate() {
            let surge = if workspace == 0 { load.surge } else { 1.0 };
            for _ in 0..arrivals(RATE_PER_S * share * surge, &mut rng) {
                let job = Job {
                    arrived: now,
                    host: rng.random_range(0..FLEET.hosts),
                    started: now,
                    tokens: INTERACTIVE_TOKENS,
                    workspace: Some(workspace),
                };
                let ended_jobs = fleet.arrive(job, DEADLINE_MS, &mut rng);
                for ended_job in &ended_jobs {
                    count(&mut outcome, ended_job, now);
                }
            }
        }
        fleet.train(wanted_streams, SAMPLE_TOKENS, &mut rng);
        let ended_jobs = fleet.step();
        for ended_job in &ended_jobs {
            count(&mut outcome, ended_job, now);
        }
    }
    for engine in &fleet.engines {
        for job in engine.running.iter().chain(&engine.waiting) {
            let overdue = EndedJob {
                done: false,
                job: job.clone(),
            };
            if RUN_MS - job.arrived > DEADLINE_MS {
                count(&mut outcome, &overdue, RUN_MS);
            }
        }
    }
    outcome
}

fn count(outcome: &mut Outcome, ended: &EndedJob, now: u64) {
    let Some(workspace) = ended.job.workspace else {
        outcome.training_tokens += SAMPLE_TOKENS;
        return;
    };
    if ended.job.arrived < WARM_UP_MS {
        return;
    }
    outcome.sent[workspace] += 1;
    let latency = now - ended.job.arrived;
    if ended.done {
        // The histogram resizes automatically, so no value is out of range.
        outcome.latency[workspace] += latency.max(1);
        outcome.ok[workspace] += u64::from(latency <= DEADLINE_MS);
    }
}

fn new_histogram() -> Histogram<u64> {
    match Histogram::new(3) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("three significant digits are valid: {error}"),
    }
}
