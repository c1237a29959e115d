//! Slopes of the time that the decisions for a request take, and of applying a load report.

use godwitspool_request::{KeyTable, LoadReport, Need, TargetFacts, Targets};
use godwitspool_types::{Dc, Key, Millis, ServiceName};
use godwitspool_version::{Configuration, KeyRule, ServiceRef, WorkspaceRules};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::series::{Series, time_us};

const CALLS: u32 = 20_000;
const DCS: usize = 29;
const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];

pub(super) fn measure(seed: u64) -> Vec<Series> {
    vec![
        Series::measure("choice-us", "targets", "us", &SIZES, |n| choice_us(n, seed)),
        Series::measure("load-report-us", "targets", "us", &SIZES, |n| {
            report_us(n, seed)
        }),
        Series::measure("key-check-us", "keys", "us", &SIZES, key_check_us),
    ]
}

fn targets(count: usize) -> Targets {
    let mut targets = Targets::new(Dc::from("dc-0"));
    for index in 0..count {
        targets.put(TargetFacts {
            cost: 1_000 + 1_000 * (index as u64 % 2),
            dc: format!("dc-{}", index % DCS).into(),
            reclaimable: index % 2 == 0,
            service: "party/assistant".into(),
            slots: 64,
            accepts_work: true,
            target: format!("target-{index}").into(),
            ..TargetFacts::default()
        });
    }
    targets
}

fn choice_us(count: usize, seed: u64) -> f64 {
    let targets = targets(count);
    let mut rng = StdRng::seed_from_u64(seed);
    time_us(CALLS, || {
        let need = Need {
            fingerprint: rng.random(),
            resumable: true,
            service: ServiceName::from("party/assistant"),
            ..Need::default()
        };
        targets.choose(&need, Millis(1_000))
    })
}

fn report_us(count: usize, seed: u64) -> f64 {
    let mut targets = targets(count);
    let names: Vec<_> = targets.names().cloned().collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let report = LoadReport {
        busy: 12,
        ..LoadReport::default()
    };
    time_us(CALLS, || {
        targets.report(&names[rng.random_range(0..names.len())], &report);
    })
}

fn key_check_us(keys: usize) -> f64 {
    let digest = |index: usize| Key::from(format!("key-{index}").as_str()).digest();
    let mut configuration = Configuration::default();
    let service = ServiceName::from("chat");
    for index in 0..keys {
        let rules = WorkspaceRules {
            keys: vec![KeyRule {
                digest: digest(index),
                withdrawn: false,
            }],
            services: [(service.clone(), ServiceRef::default())].into(),
            ..WorkspaceRules::default()
        };
        configuration
            .workspaces
            .insert(format!("workspace-{index}").into(), rules);
    }
    let table = KeyTable::from(&configuration);
    let known = digest(keys / 2);
    time_us(CALLS, || {
        table.check(Some(&known), &service, Millis::ZERO).is_ok()
    })
}
