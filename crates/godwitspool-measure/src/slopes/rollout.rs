//! Slopes of a trainer's home: what a sample more of a step costs.

use std::{hint::black_box, time::Instant};

use godwitspool_rollout::StepRules;

use crate::{rollout::StepsHarness, series::Series};

const SAMPLES_OF_GROUP: u32 = 8;
const SIZES: [usize; 4] = [100, 1_000, 10_000, 30_000];
/// Tokens of a sample, near the letter's tokens by requests.
const TOKENS: usize = 400;

pub(super) fn measure() -> Vec<Series> {
    let homes: Vec<_> = SIZES.iter().map(|&size| Home::fill(size as u32)).collect();
    let series = |name, unit, pick: fn(&Home) -> f64| {
        let mut figures = homes.iter().map(pick);
        Series::measure(name, "samples", unit, &SIZES, |_| {
            figures.next().unwrap_or(0.0)
        })
    };
    vec![
        series("sample-waiting-bytes", "bytes", |home| home.waiting_bytes),
        series("sample-whole-bytes", "bytes", |home| home.whole_bytes),
        series("sample-us", "us", |home| home.work_us),
    ]
}

/// What a step of many samples took from submission to its frozen batch.
struct Home {
    waiting_bytes: f64,
    whole_bytes: f64,
    work_us: f64,
}

impl Home {
    fn fill(samples: u32) -> Self {
        let rules = StepRules {
            max_open_samples: u32::MAX,
            ..StepRules::default()
        };
        let mut lab = StepsHarness::new(rules);
        let start = Instant::now();
        lab.submit(1, samples.div_ceil(SAMPLES_OF_GROUP), SAMPLES_OF_GROUP);
        let waiting_bytes = lab.steps.image().bytes() as f64;
        let version = "v1".into();
        while let Some(last) = lab.started.len().checked_sub(1) {
            lab.finish(last, TOKENS, &version);
        }
        let whole_bytes = lab.steps.image().bytes() as f64;
        black_box(lab.fetch(1, 0));
        Self {
            waiting_bytes,
            whole_bytes,
            work_us: start.elapsed().as_secs_f64() * 1e6,
        }
    }
}
