//! Step time when 2% of the samples or targets take 10 times as long, by policy.

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::step_run::{Fleet, Outcome, PlannedSample, Policy, StepRun};
use crate::Table;

const GROUPS: u32 = 1_024;
const GROUP_SAMPLES: u32 = 8;
const TARGETS: usize = 50;
const TARGET_SLOTS: u32 = 16;
const MEAN_TOKENS: f64 = 500.0;
const STRAGGLER_SHARE: f64 = 0.02;
const STRAGGLER_FACTOR: f64 = 10.0;

/// What causes the stragglers. The names are printed in the table.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// All answers to some prompts are long.
    LongGroup,
    /// Single answers are long, independent of the prompt.
    LongSample,
    None,
    /// One target in fifty is slow.
    SlowTarget,
}

pub(super) fn measure(seed: u64) -> Table {
    let columns = [
        "stragglers",
        "policy",
        "step_s",
        "against_none",
        "against_same_work",
        "extra_work_percent",
        "remedies",
    ];
    let mut table = Table::new("stragglers", &columns);
    let baseline = run_step(Kind::None, Policy::None, seed);
    for kind in [
        Kind::None,
        Kind::SlowTarget,
        Kind::LongGroup,
        Kind::LongSample,
    ] {
        let ideal_s = ideal_step_s(kind, seed);
        for policy in [Policy::None, Policy::FixedHedge, Policy::Predicted] {
            let outcome = run_step(kind, policy, seed);
            table.push_row([
                format!("{kind:?}"),
                format!("{policy:?}"),
                format!("{:.1}", outcome.step_s),
                format!("{:.3}", outcome.step_s / baseline.step_s),
                format!("{:.3}", outcome.step_s / ideal_s),
                format!("{:.2}", outcome.extra_work * 100.0),
                outcome.remedies.to_string(),
            ]);
        }
    }
    table
}

fn run_step(kind: Kind, policy: Policy, seed: u64) -> Outcome {
    StepRun::new(fleet(kind), samples(kind, seed), policy).run()
}

/// Returns the step time for the same number of tokens without stragglers, with all samples of
/// equal length.
fn ideal_step_s(kind: Kind, seed: u64) -> f64 {
    let mut samples = samples(kind, seed);
    let total_tokens: u64 = samples.iter().map(|sample| u64::from(sample.tokens)).sum();
    let mean = (total_tokens / samples.len() as u64) as u32;
    for sample in &mut samples {
        sample.tokens = mean;
    }
    StepRun::new(fleet(Kind::None), samples, Policy::None)
        .run()
        .step_s
}

fn fleet(kind: Kind) -> Fleet {
    let mut slowdowns = vec![1.0; TARGETS];
    if kind == Kind::SlowTarget {
        slowdowns[0] = STRAGGLER_FACTOR;
    }
    Fleet {
        slots: TARGET_SLOTS,
        slowdowns,
    }
}

fn samples(kind: Kind, seed: u64) -> Vec<PlannedSample> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut samples = Vec::new();
    for group in 0..GROUPS {
        let is_long_group = rng.random_bool(STRAGGLER_SHARE);
        for index in 0..GROUP_SAMPLES {
            let is_long_sample = rng.random_bool(STRAGGLER_SHARE);
            let is_long = match kind {
                Kind::LongGroup => is_long_group,
                Kind::LongSample => is_long_sample,
                Kind::None | Kind::SlowTarget => false,
            };
            let normal = MEAN_TOKENS * rng.random_range(0.6..1.4);
            let tokens = if is_long {
                normal * STRAGGLER_FACTOR
            } else {
                normal
            };
            samples.push(PlannedSample {
                group,
                index,
                tokens: tokens as u32,
            });
        }
    }
    samples
}
