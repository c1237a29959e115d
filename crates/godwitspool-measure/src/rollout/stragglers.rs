//! Step time with 2% stragglers at 10 times the length, by kind and policy.

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::step_run::{Fleet, Need, Outcome, Policy, StepRun};
use crate::Table;

const GROUPS: u32 = 1_024;
const SAMPLES: u32 = 8;
const TARGETS: usize = 50;
const SLOTS: u32 = 16;
const MEAN_TOKENS: f64 = 500.0;
const PART: f64 = 0.02;
const TIMES: f64 = 10.0;

/// What makes a straggler.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// All answers to some prompts are long.
    LongGroup,
    /// Single answers are long, whatever the prompt.
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
    let calm = step(Kind::None, Policy::None, seed);
    for kind in [
        Kind::None,
        Kind::SlowTarget,
        Kind::LongGroup,
        Kind::LongSample,
    ] {
        let least = least_s(kind, seed);
        for policy in [Policy::None, Policy::FixedHedge, Policy::Predicted] {
            let outcome = step(kind, policy, seed);
            table.push_row([
                format!("{kind:?}"),
                format!("{policy:?}"),
                format!("{:.1}", outcome.step_s),
                format!("{:.3}", outcome.step_s / calm.step_s),
                format!("{:.3}", outcome.step_s / least),
                format!("{:.2}", outcome.extra * 100.0),
                outcome.remedies.to_string(),
            ]);
        }
    }
    table
}

fn step(kind: Kind, policy: Policy, seed: u64) -> Outcome {
    StepRun::new(fleet(kind), needs(kind, seed), policy).run()
}

/// Returns the time of the same tokens without stragglers among them: every answer of one length.
fn least_s(kind: Kind, seed: u64) -> f64 {
    let mut needs = needs(kind, seed);
    let all: u64 = needs.iter().map(|need| u64::from(need.tokens)).sum();
    let mean = (all / needs.len() as u64) as u32;
    for need in &mut needs {
        need.tokens = mean;
    }
    StepRun::new(fleet(Kind::None), needs, Policy::None)
        .run()
        .step_s
}

fn fleet(kind: Kind) -> Fleet {
    let mut slowness = vec![1.0; TARGETS];
    if kind == Kind::SlowTarget {
        slowness[0] = TIMES;
    }
    Fleet {
        slots: SLOTS,
        slowness,
    }
}

fn needs(kind: Kind, seed: u64) -> Vec<Need> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut needs = Vec::new();
    for group in 0..GROUPS {
        let is_long_group = rng.random_bool(PART);
        for index in 0..SAMPLES {
            let is_long_sample = rng.random_bool(PART);
            let is_long = match kind {
                Kind::LongGroup => is_long_group,
                Kind::LongSample => is_long_sample,
                Kind::None | Kind::SlowTarget => false,
            };
            let usual = MEAN_TOKENS * rng.random_range(0.6..1.4);
            let tokens = if is_long { usual * TIMES } else { usual };
            needs.push(Need {
                group,
                index,
                tokens: tokens as u32,
            });
        }
    }
    needs
}
