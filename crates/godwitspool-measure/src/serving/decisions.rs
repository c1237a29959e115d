//! Time to choose a target and to apply a load report, by fleet size.

use std::hint::black_box;

use godwitspool_request::{Choice, LoadReport, Need, TargetFacts, Targets};
use godwitspool_types::{Dc, Millis, ServiceName, TargetName};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{Options, Table, time_us};

const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];
const CALLS: u32 = 20_000;
const SERVICE: &str = "party/chat";

/// Measures the most expensive case: all targets serve one service in one data centre, so that
/// nothing narrows the choice.
pub(crate) fn run(options: &Options) -> Vec<Table> {
    let columns = [
        "targets",
        "fill",
        "choice_us",
        "report_us",
        "least_loaded_scan_us",
    ];
    let mut table = Table::new("decisions", &columns);
    for size in SIZES {
        for (fill, busy) in [("half", 8), ("full", 16)] {
            let mut rng = StdRng::seed_from_u64(options.seed);
            let (mut targets, names) = fill_targets(size, busy);
            let choice_us = time_us(CALLS, || {
                let need = Need {
                    fingerprint: rng.random(),
                    service: ServiceName::from(SERVICE),
                    ..Need::default()
                };
                matches!(targets.choose(&need, Millis(1_000)), Choice::Target(_))
            });
            let report = LoadReport {
                busy,
                ..LoadReport::default()
            };
            let mut rng = StdRng::seed_from_u64(options.seed);
            let report_us = time_us(CALLS, || {
                targets.report(&names[rng.random_range(0..names.len())], &report);
            });
            let ids: Vec<_> = names.iter().filter_map(|name| targets.find(name)).collect();
            let scan_us = time_us(CALLS / 10, || {
                black_box(ids.iter().min_by_key(|id| targets.load(**id)).copied())
            });
            table.push_row([
                size.to_string(),
                fill.to_owned(),
                format!("{choice_us:.3}"),
                format!("{report_us:.3}"),
                format!("{scan_us:.3}"),
            ]);
        }
    }
    vec![table]
}

fn fill_targets(size: usize, busy: u32) -> (Targets, Vec<TargetName>) {
    let mut targets = Targets::new(Dc::from("north"));
    let names: Vec<TargetName> = (0..size)
        .map(|index| TargetName::from(format!("target-{index}")))
        .collect();
    for name in &names {
        targets.put(TargetFacts {
            dc: Dc::from("north"),
            service: ServiceName::from(SERVICE),
            slots: 16,
            accepts_work: true,
            target: name.clone(),
            ..TargetFacts::default()
        });
        let report = LoadReport {
            busy,
            ..LoadReport::default()
        };
        targets.report(name, &report);
    }
    (targets, names)
}
