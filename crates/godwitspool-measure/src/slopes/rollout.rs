//! Slopes of the host that is home of a trainer's steps: memory and processing time per sample.

use std::{hint::black_box, time::Instant};

use godwitspool_rollout::StepRules;

use crate::{rollout::StepsHarness, series::Series};

const GROUP_SAMPLES: u32 = 8;
const SIZES: [usize; 4] = [100, 1_000, 10_000, 30_000];
/// Tokens of a sample, close to the mean number of tokens per request at the design size.
const TOKENS: usize = 400;

pub(super) fn measure() -> Vec<Series> {
    let costs: Vec<_> = SIZES
        .iter()
        .map(|&size| StepCosts::of_step(size as u32))
        .collect();
    let series = |name, unit, pick: fn(&StepCosts) -> f64| {
        let mut values = costs.iter().map(pick);
        Series::measure(name, "samples", unit, &SIZES, |_| {
            values.next().unwrap_or(0.0)
        })
    };
    vec![
        series("sample-waiting-bytes", "bytes", |cost| cost.waiting_bytes),
        series("sample-whole-bytes", "bytes", |cost| cost.complete_bytes),
        series("sample-us", "us", |cost| cost.work_us),
    ]
}

/// What a step costs from its submission until its batch is frozen.
struct StepCosts {
    waiting_bytes: f64,
    complete_bytes: f64,
    work_us: f64,
}

impl StepCosts {
    fn of_step(samples: u32) -> Self {
        let rules = StepRules {
            max_open_samples: u32::MAX,
            ..StepRules::default()
        };
        let mut harness = StepsHarness::new(rules);
        let start = Instant::now();
        harness.submit(1, samples.div_ceil(GROUP_SAMPLES), GROUP_SAMPLES);
        let waiting_bytes = harness.steps.image().bytes() as f64;
        let version = "v1".into();
        while let Some(last) = harness.started.len().checked_sub(1) {
            harness.finish(last, TOKENS, &version);
        }
        let complete_bytes = harness.steps.image().bytes() as f64;
        black_box(harness.fetch(1, 0));
        Self {
            waiting_bytes,
            complete_bytes,
            work_us: start.elapsed().as_secs_f64() * 1e6,
        }
    }
}
