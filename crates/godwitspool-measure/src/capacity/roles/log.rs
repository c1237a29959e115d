//! The platform's log.

use super::steward::FIGURES;
use crate::capacity::{Fits, FitsError, Fleet, RoleTable, Row};

const LEASES: f64 = 3.0;
/// Time between renewals of a lease, in seconds.
const RENEWAL_S: f64 = 0.7;
/// Appends a second that the platform takes.
const APPENDS: f64 = 300.0;
/// Records between two snapshots.
const SNAPSHOT_RECORDS: f64 = 20_000.0;

pub(super) fn table(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let rates = Rates::new(fleet);
    let hour = 3_600.0;
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
        Row::new("appends, sum", rates.sum(), "1/s", "the four above").with_budget(APPENDS),
        Row::new(
            "bytes, sum",
            bytes(fleet, fits)? / 1e3,
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
            rates.sum() * hour * fits.slope("publish-fold-us")? / 1e6,
            "s",
            "appends × 3,600 × publish-fold-us",
        ),
        Row::new(
            "usage windows waiting after an hour's outage",
            hour / fleet.window_s,
            "windows",
            "3,600 s / window",
        ),
    ];
    Ok(RoleTable { name: "log", rows })
}

/// Bytes a second of the log.
pub(super) fn bytes(fleet: &Fleet, fits: &Fits) -> Result<f64, FitsError> {
    let rates = Rates::new(fleet);
    let seals = fleet.dcs / fleet.window_s * seal_bytes(fleet, fits)?;
    let frozen = fits.at("seal-figure-bytes", FIGURES * fleet.dcs / 4.0)? / fleet.window_s;
    let snapshots = snapshot_bytes(fleet, fits)? * rates.sum() / SNAPSHOT_RECORDS;
    Ok(rates.changes * fits.at("publish-bytes", 1.0)?
        + (rates.leases + rates.orders) * fits.slope("lease-bytes")?
        + seals
        + frozen
        + snapshots)
}

/// Processor time a second to fold the log, in microseconds.
pub(super) fn fold_us(fleet: &Fleet, fits: &Fits) -> Result<f64, FitsError> {
    let rates = Rates::new(fleet);
    let seal = fits.at("seal-fold-us", FIGURES)? + fits.at("coverage-us", fleet.peers())?;
    Ok(rates.changes * fits.slope("publish-fold-us")?
        + (rates.leases + rates.orders) * fits.slope("lease-fold-us")?
        + rates.usage * seal)
}

/// Bytes of one data centre's seal.
pub(super) fn seal_bytes(fleet: &Fleet, fits: &Fits) -> Result<f64, FitsError> {
    Ok(fits.at("seal-figure-bytes", FIGURES)? + fits.at("seal-range-bytes", fleet.peers())?)
}

fn snapshot_bytes(fleet: &Fleet, fits: &Fits) -> Result<f64, FitsError> {
    let lives = fleet.daemons + 2.0 * fleet.restarts_a_day;
    Ok(fits.at("snapshot-bytes", fleet.workspaces)? + fits.at("coverage-snapshot-bytes", lives)?)
}

struct Rates {
    changes: f64,
    leases: f64,
    orders: f64,
    usage: f64,
}

impl Rates {
    fn new(fleet: &Fleet) -> Self {
        Self {
            changes: fleet.changes(),
            leases: LEASES / RENEWAL_S,
            orders: 2.0 * fleet.restarts(),
            usage: (fleet.dcs + 2.0) / fleet.window_s,
        }
    }

    fn sum(&self) -> f64 {
        self.changes + self.leases + self.orders + self.usage
    }
}
