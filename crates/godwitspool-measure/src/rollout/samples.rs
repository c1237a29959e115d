//! Memory and processing time per sample of a step, by the number of samples.

use std::{hint::black_box, time::Instant};

use godwitspool_rollout::{Answer, StepRules};

use super::steps_harness::StepsHarness;
use crate::Table;

/// Numbers of samples in a step.
const SIZES: [u32; 4] = [100, 1_000, 10_000, 100_000];
const GROUP_SAMPLES: u32 = 8;
/// Tokens of each sample.
const TOKENS: usize = 200;

pub(super) fn measure() -> Table {
    let columns = [
        "samples",
        "tokens_each",
        "bytes_waiting",
        "bytes_whole",
        "submit_us",
        "finish_us",
        "freeze_us",
        "page_us",
    ];
    let mut table = Table::new("samples", &columns);
    for size in SIZES {
        table.push_row(row(size));
    }
    table
}

fn row(size: u32) -> [String; 8] {
    let rules = StepRules {
        max_open_samples: u32::MAX,
        ..StepRules::default()
    };
    let mut harness = StepsHarness::new(rules);
    let per_sample = |micros: f64| format!("{:.2}", micros / f64::from(size));
    let groups = size.div_ceil(GROUP_SAMPLES);
    let submit_us = time_once_us(|| harness.submit(1, groups, GROUP_SAMPLES));
    let waiting_bytes = harness.steps.image().bytes();
    let version = "v1".into();
    let finish_us = time_once_us(|| {
        while !harness.started.is_empty() {
            let last = harness.started.len() - 1;
            harness.finish(last, TOKENS, &version);
        }
    });
    let complete_bytes = harness.steps.image().bytes();
    let freeze_us = time_once_us(|| harness.fetch(1, 0));
    let mut pages = 1;
    let fetch_us = time_once_us(|| {
        let mut page = 0;
        while let Some(Answer::Page(fetched)) = harness.fetch(1, page) {
            pages = fetched.pages;
            page += 1;
        }
    });
    let count = f64::from(groups * GROUP_SAMPLES);
    [
        size.to_string(),
        TOKENS.to_string(),
        format!("{:.0}", waiting_bytes as f64 / count),
        format!("{:.0}", complete_bytes as f64 / count),
        per_sample(submit_us),
        per_sample(finish_us),
        per_sample(freeze_us),
        format!("{:.2}", fetch_us / f64::from(pages)),
    ]
}

/// Returns the time of one call of `work` in microseconds.
fn time_once_us<T>(work: impl FnOnce() -> T) -> f64 {
    let start = Instant::now();
    black_box(work());
    start.elapsed().as_secs_f64() * 1e6
}
