//! Ages of samples at delivery, in weight versions.

use godwitspool_rollout::{Answer, Freshness, Request, StepEvent, StepNumber, StepRules};
use godwitspool_types::WeightVersion;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::steps_harness::StepsHarness;
use crate::Table;

const STEPS: u64 = 100;
const GROUPS: u32 = 32;
const GROUP_SAMPLES: u32 = 8;
/// Columns of the table by age. The last one includes all greater ages.
const AGE_BUCKETS: usize = 5;
/// Share of a step's samples after which a new version is published.
const PUBLISH_AFTER_SHARE: f64 = 0.7;
/// Share of the samples whose target has not loaded the newest version.
const LATE_SHARE: f64 = 0.1;
/// Maximum number of versions by which such a target is behind.
const MAX_LATE_VERSIONS: u32 = 3;

pub(super) fn measure(seed: u64) -> Table {
    let columns = [
        "bound", "age_0", "age_1", "age_2", "age_3", "age_4", "remade", "samples",
    ];
    let mut table = Table::new("staleness", &columns);
    for (name, bound) in [("none", u32::MAX), ("2", 2), ("1", 1), ("0", 0)] {
        let (ages, remade) = run(seed, bound);
        let mut row = vec![name.to_owned()];
        row.extend(ages.iter().map(u64::to_string));
        row.push(remade.to_string());
        row.push(ages.iter().sum::<u64>().to_string());
        table.push_row(row);
    }
    table
}

fn run(seed: u64, bound: u32) -> ([u64; AGE_BUCKETS], u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut harness = StepsHarness::new(StepRules {
        page_samples: usize::MAX,
        staleness_versions: bound,
        ..StepRules::default()
    });
    let mut newest = 10;
    for version in 1..=newest {
        publish(&mut harness, version);
    }
    let mut ages = [0; AGE_BUCKETS];
    for step in 0..STEPS {
        harness.submit(step, GROUPS, GROUP_SAMPLES);
        let mut finished_share = 0.0;
        let mut is_published = false;
        let page = loop {
            while !harness.started.is_empty() {
                finished_share += 1.0 / f64::from(GROUPS * GROUP_SAMPLES);
                if finished_share >= PUBLISH_AFTER_SHARE && !is_published {
                    is_published = true;
                    newest += 1;
                    publish(&mut harness, newest);
                }
                let late = if rng.random_bool(LATE_SHARE) {
                    rng.random_range(1..=MAX_LATE_VERSIONS)
                } else {
                    0
                };
                let index = rng.random_range(0..harness.started.len());
                harness.finish(index, 4, &version(newest - late));
            }
            if let Some(Answer::Page(page)) = harness.fetch(step, 0) {
                break page;
            }
        };
        for sample in &page.samples {
            if let Freshness::Fresh { age } = harness
                .steps
                .image()
                .order()
                .sample_freshness(sample, u32::MAX)
            {
                ages[(age as usize).min(AGE_BUCKETS - 1)] += 1;
            }
        }
        let request = Request::Acknowledge {
            digest: page.digest,
            step: StepNumber(step),
        };
        harness.apply(StepEvent::Request { reply: 1, request });
    }
    (ages, harness.steps.counts().remade)
}

fn version(number: u32) -> WeightVersion {
    format!("v{number}").into()
}

fn publish(harness: &mut StepsHarness, number: u32) {
    harness.apply(StepEvent::Published(version(number)));
}
