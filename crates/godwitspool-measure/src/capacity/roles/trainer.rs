//! The entry that is home to a trainer's steps.

use super::core_percent;
use crate::capacity::{Fits, FitsError, Fleet, RoleTable, Row};

/// Steps of a trainer that are held at once: the one that is fetched and the one that is made.
const STEPS_HELD: f64 = 2.0;

pub(super) fn table(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let rate = fleet.trainer_samples();
    let whole = fits.slope("sample-whole-bytes")?;
    let homes_share = fleet.trainers / fleet.daemons * 100.0;
    let rows = vec![
        Row::new(
            "homes",
            fleet.trainers,
            "entries",
            "trainers; each has a replica on another entry",
        ),
        Row::new(
            "entries that are homes",
            homes_share,
            "%",
            "trainers / daemons",
        ),
        Row::new("samples", rate, "1/s", "8,192 / 420 s"),
        Row::new(
            "samples of all trainers",
            rate * fleet.trainers,
            "1/s",
            "12 × 8,192 / 420 s",
        ),
        Row::new(
            "to the replica",
            rate * whole / 1e3,
            "KB/s",
            "samples × sample-whole-bytes",
        ),
        Row::new(
            "state of two steps",
            STEPS_HELD * fleet.samples * whole / 1e6,
            "MB",
            "2 × 8,192 × sample-whole-bytes",
        )
        .with_budget(256.0),
        Row::new(
            "processor for the steps' decisions",
            core_percent(rate * fits.slope("sample-us")?),
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
