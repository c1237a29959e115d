//! Ages of samples at delivery, in versions.

use godwitspool_rollout::{Answer, Freshness, Request, StepEvent, StepNumber, StepRules};
use godwitspool_types::WeightVersion;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::steps_harness::StepsHarness;
use crate::Table;

const STEPS: u64 = 100;
const GROUPS: u32 = 32;
const SAMPLES: u32 = 8;
const OLDEST: usize = 5;
/// Part of a step's samples after which a new version is published.
const PUBLISH_PART: f64 = 0.7;
/// Part of the samples whose target swaps late, and by how many versions at most.
const LATE_PART: f64 = 0.1;
const MOST_LATE: u32 = 3;

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

fn run(seed: u64, bound: u32) -> ([u64; OLDEST], u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut lab = StepsHarness::new(StepRules {
        page_samples: usize::MAX,
        staleness_versions: bound,
        ..StepRules::default()
    });
    let mut newest = 10;
    for version in 1..=newest {
        publish(&mut lab, version);
    }
    let mut ages = [0; OLDEST];
    for step in 0..STEPS {
        lab.submit(step, GROUPS, SAMPLES);
        let mut made = 0.0;
        let mut is_published = false;
        let page = loop {
            while !lab.started.is_empty() {
                made += 1.0 / f64::from(GROUPS * SAMPLES);
                if made >= PUBLISH_PART && !is_published {
                    is_published = true;
                    newest += 1;
                    publish(&mut lab, newest);
                }
                let late = if rng.random_bool(LATE_PART) {
                    rng.random_range(1..=MOST_LATE)
                } else {
                    0
                };
                let at = rng.random_range(0..lab.started.len());
                lab.finish(at, 4, &version(newest - late));
            }
            if let Some(Answer::Page(page)) = lab.fetch(step, 0) {
                break page;
            }
        };
        for sample in &page.samples {
            if let Freshness::Fresh { age } =
                lab.steps.image().order().sample_freshness(sample, u32::MAX)
            {
                ages[(age as usize).min(OLDEST - 1)] += 1;
            }
        }
        let request = Request::Acknowledge {
            digest: page.digest,
            step: StepNumber(step),
        };
        lab.tell(StepEvent::Request { reply: 1, request });
    }
    (ages, lab.steps.counts().remade)
}

fn version(number: u32) -> WeightVersion {
    format!("v{number}").into()
}

fn publish(lab: &mut StepsHarness, number: u32) {
    lab.tell(StepEvent::Published(version(number)));
}
