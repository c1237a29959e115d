//! Cost of the entry that is home of a trainer's steps.

use super::core_percent;
use crate::capacity::{Fits, FitsError, Fleet, RoleTable, Row};

/// Number of steps of a trainer that are held at the same time: one is fetched while the next one
/// is generated.
const HELD_STEPS: f64 = 2.0;

pub(super) fn table(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let samples_per_s = fleet.trainer_samples_per_s();
    let sample_bytes = fits.slope("sample-whole-bytes")?;
    let homes_percent = fleet.trainers / fleet.daemons * 100.0;
    let rows = vec![
        Row::new(
            "homes",
            fleet.trainers,
            "entries",
            "trainers; each has a replica on another entry",
        ),
        Row::new(
            "entries that are homes",
            homes_percent,
            "%",
            "trainers / daemons",
        ),
        Row::new("samples", samples_per_s, "1/s", "8,192 / 420 s"),
        Row::new(
            "samples of all trainers",
            samples_per_s * fleet.trainers,
            "1/s",
            "12 × 8,192 / 420 s",
        ),
        Row::new(
            "to the replica",
            samples_per_s * sample_bytes / 1e3,
            "KB/s",
            "samples × sample-whole-bytes",
        ),
        Row::new(
            "state of two steps",
            HELD_STEPS * fleet.step_samples * sample_bytes / 1e6,
            "MB",
            "2 × 8,192 × sample-whole-bytes",
        )
        .with_budget(256.0),
        Row::new(
            "processor for the steps' decisions",
            core_percent(samples_per_s * fits.slope("sample-us")?),
            "% of a core",
            "samples × sample-us",
        )
        .with_budget(super::CONTROL_CORE_PERCENT),
    ];
    Ok(RoleTable {
        name: "trainer-home",
        rows,
    })
}
