//! How unevenly engines are loaded when load reports lag.

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::fleet::{Engine, Fleet, Job, Policy, Shape, arrivals};
use crate::{Options, Table};

const LAGS_MS: [u64; 5] = [100, 200, 500, 1_000, 2_000];
const RUN_MS: u64 = 30_000;
const RATE: f64 = 600.0;
const DEADLINE_MS: u64 = 5_000;

/// Measures the herd factor: the 99th percentile over time of the fullest engine's load by the mean.
pub(crate) fn run(options: &Options) -> Vec<Table> {
    let columns = ["lag_ms", "policy", "herd_factor", "p50_ms", "p99_ms"];
    let mut table = Table::new("herd", &columns);
    for lag_ms in LAGS_MS {
        for policy in Policy::ALL {
            let (factor, mut latencies) = simulate(policy, lag_ms, options.seed);
            latencies.sort_unstable();
            let at = |part: f64| latencies[(latencies.len() as f64 * part) as usize].to_string();
            table.push_row([
                lag_ms.to_string(),
                policy.name().to_owned(),
                format!("{factor:.2}"),
                at(0.5),
                at(0.99),
            ]);
        }
    }
    vec![table]
}

fn simulate(policy: Policy, lag_ms: u64, seed: u64) -> (f64, Vec<u64>) {
    let shape = Shape {
        engines: 14,
        hosts: 11,
        lag_ms,
        slots: 16,
    };
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(shape, policy);
    let (mut factors, mut latencies) = (Vec::new(), Vec::new());
    for now in 0..RUN_MS {
        for _ in 0..arrivals(RATE, &mut rng) {
            let job = Job {
                arrived: now,
                host: rng.random_range(0..shape.hosts),
                started: now,
                tokens: rng.random_range(5.0..35.0),
                workspace: Some(0),
            };
            fleet.arrive(job, DEADLINE_MS, &mut rng);
        }
        let ended = fleet.step();
        let done = ended.iter().filter(|end| end.done);
        latencies.extend(done.map(|end| now - end.job.arrived));
        if now > 5_000 && now % 50 == 0 {
            let loads: Vec<u32> = fleet.engines.iter().map(Engine::busy).collect();
            let mean = f64::from(loads.iter().sum::<u32>()) / loads.len() as f64;
            let most = loads.iter().max().copied().unwrap_or(0);
            factors.push(f64::from(most) / mean.max(1.0));
        }
    }
    factors.sort_by(f64::total_cmp);
    (factors[factors.len() * 99 / 100], latencies)
}
