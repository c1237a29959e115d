//! Load imbalance among engines when load reports are delayed.

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::fleet::{Engine, Fleet, FleetParams, Job, Policy, arrivals};
use crate::{Options, Table};

const LAGS_MS: [u64; 5] = [100, 200, 500, 1_000, 2_000];
const RUN_MS: u64 = 30_000;
const RATE_PER_S: f64 = 600.0;
const DEADLINE_MS: u64 = 5_000;

/// Measures the herd factor: the 99th percentile over time of the highest load of an engine divided
/// by the mean load.
pub(crate) fn run(options: &Options) -> Vec<Table> {
    let columns = ["lag_ms", "policy", "herd_factor", "p50_ms", "p99_ms"];
    let mut table = Table::new("herd", &columns);
    for lag_ms in LAGS_MS {
        for policy in Policy::ALL {
            let (factor, mut latencies) = simulate(policy, lag_ms, options.seed);
            latencies.sort_unstable();
            let latency_at =
                |quantile: f64| latencies[(latencies.len() as f64 * quantile) as usize].to_string();
            table.push_row([
                lag_ms.to_string(),
                policy.name().to_owned(),
                format!("{factor:.2}"),
                latency_at(0.5),
                latency_at(0.99),
            ]);
        }
    }
    vec![table]
}

fn simulate(policy: Policy, lag_ms: u64, seed: u64) -> (f64, Vec<u64>) {
    let params = FleetParams {
        engines: 14,
        hosts: 11,
        lag_ms,
        slots: 16,
    };
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(params, policy);
    let (mut load_ratios, mut latencies) = (Vec::new(), Vec::new());
    for now in 0..RUN_MS {
        for _ in 0..arrivals(RATE_PER_S, &mut rng) {
            let job = Job {
                arrived: now,
                host: rng.random_range(0..params.hosts),
                started: now,
                tokens: rng.random_range(5.0..35.0),
                workspace: Some(0),
            };
            fleet.arrive(job, DEADLINE_MS, &mut rng);
        }
        let ended = fleet.step();
        let done = ended.iter().filter(|job_end| job_end.done);
        latencies.extend(done.map(|job_end| now - job_end.job.arrived));
        if now > 5_000 && now % 50 == 0 {
            let loads: Vec<u32> = fleet.engines.iter().map(Engine::busy).collect();
            let mean = f64::from(loads.iter().sum::<u32>()) / loads.len() as f64;
            let most = loads.iter().max().copied().unwrap_or(0);
            load_ratios.push(f64::from(most) / mean.max(1.0));
        }
    }
    load_ratios.sort_by(f64::total_cmp);
    (load_ratios[load_ratios.len() * 99 / 100], latencies)
}
