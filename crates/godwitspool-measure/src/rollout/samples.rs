//! Bytes and microseconds of waiting samples.

use std::{hint::black_box, time::Instant};

use godwitspool_rollout::{Answer, StepRules};

use super::steps_harness::StepsHarness;
use crate::Table;

const SIZES: [u32; 4] = [100, 1_000, 10_000, 100_000];
const SAMPLES: u32 = 8;
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
    let mut lab = StepsHarness::new(rules);
    let each = |micros: f64| format!("{:.2}", micros / f64::from(size));
    let groups = size.div_ceil(SAMPLES);
    let submit = micros(|| lab.submit(1, groups, SAMPLES));
    let waiting = lab.steps.image().bytes();
    let version = "v1".into();
    let finish = micros(|| {
        while !lab.started.is_empty() {
            let last = lab.started.len() - 1;
            lab.finish(last, TOKENS, &version);
        }
    });
    let whole = lab.steps.image().bytes();
    let freeze = micros(|| lab.fetch(1, 0));
    let mut pages = 1;
    let fetch = micros(|| {
        let mut page = 0;
        while let Some(Answer::Page(held)) = lab.fetch(1, page) {
            pages = held.pages;
            page += 1;
        }
    });
    let count = f64::from(groups * SAMPLES);
    [
        size.to_string(),
        TOKENS.to_string(),
        format!("{:.0}", waiting as f64 / count),
        format!("{:.0}", whole as f64 / count),
        each(submit),
        each(finish),
        each(freeze),
        format!("{:.2}", fetch / f64::from(pages)),
    ]
}

fn micros<T>(work: impl FnOnce() -> T) -> f64 {
    let start = Instant::now();
    black_box(work());
    start.elapsed().as_secs_f64() * 1e6
}
