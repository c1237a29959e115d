//! Load of the platform's log.

use super::steward::SEAL_FIGURES;
use crate::capacity::{Fits, FitsError, Fleet, RoleTable, Row};

const LEASES: f64 = 3.0;
/// Time between two renewals of a lease.
const RENEWAL_INTERVAL_S: f64 = 0.7;
/// Maximum rate of appends that the platform accepts.
const MAX_APPENDS_PER_S: f64 = 300.0;
/// Number of records between two snapshots.
const SNAPSHOT_RECORDS: f64 = 20_000.0;

pub(super) fn table(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let rates = AppendRates::new(fleet);
    let hour_s = 3_600.0;
    let rows = vec![
        Row::new(
            "appends for configuration",
            rates.changes,
            "1/s",
            "changes a day",
        ),
        Row::new(
            "appends for leases",
            rates.leases,
            "1/s",
            "3 leases / 0.7 s",
        ),
        Row::new(
            "appends for usage",
            rates.usage,
            "1/s",
            "(29 seals + frozen + reported) / window",
        ),
        Row::new(
            "appends for orders",
            rates.orders,
            "1/s",
            "2 × (restarts + failed hosts' targets)",
        ),
        Row::new("appends, sum", rates.sum(), "1/s", "the four above")
            .with_budget(MAX_APPENDS_PER_S),
        Row::new(
            "bytes, sum",
            bytes_per_s(fleet, fits)? / 1e3,
            "KB/s",
            "appends × bytes of each kind",
        ),
        Row::new(
            "snapshot",
            snapshot_bytes(fleet, fits)? / 1e6,
            "MB",
            "snapshot-bytes + coverage-snapshot-bytes",
        ),
        Row::new(
            "time to load a snapshot",
            fits.at("snapshot-load-us", fleet.workspaces)? / 1e3,
            "ms",
            "snapshot-load-us",
        ),
        Row::new(
            "records of an hour, folded after an outage or a partition",
            rates.sum() * hour_s * fits.slope("publish-fold-us")? / 1e6,
            "s",
            "appends × 3,600 × publish-fold-us",
        ),
        Row::new(
            "usage windows waiting after an hour's outage",
            hour_s / fleet.window_s,
            "windows",
            "3,600 s / window",
        ),
    ];
    Ok(RoleTable { name: "log", rows })
}

/// Returns the bytes per second that are appended to the log, including snapshots.
pub(super) fn bytes_per_s(fleet: &Fleet, fits: &Fits) -> Result<f64, FitsError> {
    let rates = AppendRates::new(fleet);
    let seals = fleet.dcs / fleet.window_s * seal_bytes(fleet, fits)?;
    let frozen = fits.at("seal-figure-bytes", SEAL_FIGURES * fleet.dcs / 4.0)? / fleet.window_s;
    let snapshots = snapshot_bytes(fleet, fits)? * rates.sum() / SNAPSHOT_RECORDS;
    Ok(rates.changes * fits.at("publish-bytes", 1.0)?
        + (rates.leases + rates.orders) * fits.slope("lease-bytes")?
        + seals
        + frozen
        + snapshots)
}

/// Returns the CPU time to fold the log, in microseconds per second.
pub(super) fn fold_us(fleet: &Fleet, fits: &Fits) -> Result<f64, FitsError> {
    let rates = AppendRates::new(fleet);
    let seal =
        fits.at("seal-fold-us", SEAL_FIGURES)? + fits.at("coverage-us", fleet.daemons_per_dc())?;
    Ok(rates.changes * fits.slope("publish-fold-us")?
        + (rates.leases + rates.orders) * fits.slope("lease-fold-us")?
        + rates.usage * seal)
}

/// Returns the size of the seal of one data centre.
pub(super) fn seal_bytes(fleet: &Fleet, fits: &Fits) -> Result<f64, FitsError> {
    Ok(fits.at("seal-figure-bytes", SEAL_FIGURES)?
        + fits.at("seal-range-bytes", fleet.daemons_per_dc())?)
}

fn snapshot_bytes(fleet: &Fleet, fits: &Fits) -> Result<f64, FitsError> {
    let lives = fleet.daemons + 2.0 * fleet.restarts_per_day;
    Ok(fits.at("snapshot-bytes", fleet.workspaces)? + fits.at("coverage-snapshot-bytes", lives)?)
}

/// Appends per second, by cause.
struct AppendRates {
    changes: f64,
    leases: f64,
    orders: f64,
    usage: f64,
}

impl AppendRates {
    fn new(fleet: &Fleet) -> Self {
        Self {
            changes: fleet.changes_per_s(),
            leases: LEASES / RENEWAL_INTERVAL_S,
            orders: 2.0 * fleet.restarts_per_s(),
            usage: (fleet.dcs + 2.0) / fleet.window_s,
        }
    }

    fn sum(&self) -> f64 {
        self.changes + self.leases + self.orders + self.usage
    }
}
