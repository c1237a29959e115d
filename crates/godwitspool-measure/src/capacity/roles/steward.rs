//! Cost of the steward daemon in each of its roles.

use super::{CONTROL_BYTES_PER_S, CONTROL_CORE_PERCENT, core_percent, log};
use crate::capacity::{Fits, FitsError, Fleet, RoleTable, Row};

/// Time between two demand reports of an entry to the lease holder.
const DEMAND_INTERVAL_S: f64 = 0.5;
/// Number of services in a demand report.
const DEMAND_SERVICES: f64 = 3.0;
/// Number of stewards of a data centre that read the platform's log directly.
const READERS_PER_DC: f64 = 2.0;

/// Cost of every steward: it takes part in membership, follows the log, sends the view to its entry
/// and holds usage records for two other hosts.
pub(super) fn candidate(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let gossip = Gossip::new(fleet, fits)?;
    let log_bytes_per_s = log::bytes_per_s(fleet, fits)?;
    let fold_us = log::fold_us(fleet, fits)?;
    let usage = fits.slope("usage-message-bytes")? * fleet.entry_requests_per_s();
    let usage_us = 3.0 * fits.slope("usage-message-us")? * fleet.entry_requests_per_s();
    let state = fits.at("snapshot-bytes", fleet.workspaces)?
        + fits.at("coverage-snapshot-bytes", lives(fleet))?
        + fits.at("view-bytes", fleet.workers)?
        + fits.at("view-member-bytes", fleet.daemons)?;
    let held_usage = 3.0 * usage * 2.0 * fleet.window_s;
    let bytes = gossip.bytes + log_bytes_per_s + 2.0 * usage;
    let rows = vec![
        Row::new(
            "gossip, sent",
            gossip.bytes / 1e3,
            "KB/s",
            "gossip-bytes at 131 hosts + gossip-dc-bytes slope × 28 dcs",
        ),
        Row::new(
            "tail of the log, received",
            log_bytes_per_s / 1e3,
            "KB/s",
            "log bytes below",
        ),
        Row::new(
            "usage copies, sent",
            2.0 * usage / 1e3,
            "KB/s",
            "2 × requests × usage-message-bytes",
        ),
        Row::new("control bytes, sum", bytes / 1e3, "KB/s", "the three above")
            .with_budget(CONTROL_BYTES_PER_S / 1e3),
        Row::new(
            "processor",
            core_percent(gossip.cpu_us + fold_us + usage_us),
            "% of a core",
            "gossip-us, gossip-dc-us, fold of the log, 3 × usage-message-us × requests",
        )
        .with_budget(CONTROL_CORE_PERCENT),
        Row::new(
            "state: fold, view, usage of two windows held for three entries",
            (state + held_usage) / 1e6,
            "MB",
            "snapshot-bytes, coverage-snapshot-bytes, view-bytes, 3 × usage × 2 windows",
        )
        .with_budget(256.0),
    ];
    Ok(RoleTable {
        name: "steward-candidate",
        rows,
    })
}

/// Additional cost of a steward that reads the platform's log for others in its data centre.
pub(super) fn reader(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let log_bytes_per_s = log::bytes_per_s(fleet, fits)?;
    let served_stewards = (fleet.daemons_per_dc() - READERS_PER_DC) / READERS_PER_DC;
    let rows = vec![
        Row::new(
            "stewards served",
            served_stewards,
            "stewards",
            "(131 - 2) / 2",
        ),
        Row::new(
            "tail served",
            served_stewards * log_bytes_per_s / 1e3,
            "KB/s",
            "stewards served × log bytes",
        )
        .with_budget(CONTROL_BYTES_PER_S / 1e3),
        Row::new(
            "tail served by a tree of fan-out 2",
            2.0 * log_bytes_per_s / 1e3,
            "KB/s",
            "2 × log bytes: the change that would carry it",
        )
        .with_budget(CONTROL_BYTES_PER_S / 1e3),
        Row::new(
            "reads of the platform's log by all readers",
            READERS_PER_DC * fleet.dcs * 4.0,
            "1/s",
            "2 readers × 29 dcs × 4 polls a second",
        ),
    ];
    Ok(RoleTable {
        name: "reader",
        rows,
    })
}

/// Additional cost of the holder of the lease on target orders.
pub(super) fn holder(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let messages_per_s = fleet.daemons / DEMAND_INTERVAL_S;
    let bytes = fits.at("demand-bytes", DEMAND_SERVICES)?;
    let decode_us = fits.at("demand-us", DEMAND_SERVICES)?;
    let rows = vec![
        Row::new("demand, messages", messages_per_s, "1/s", "daemons / 0.5 s"),
        Row::new(
            "demand, bytes",
            messages_per_s * bytes / 1e3,
            "KB/s",
            "messages × demand-bytes at 3 services",
        )
        .with_budget(CONTROL_BYTES_PER_S / 1e3),
        Row::new(
            "demand, processor",
            core_percent(messages_per_s * decode_us),
            "% of a core",
            "messages × demand-us; the calls' own time not counted",
        )
        .with_budget(CONTROL_CORE_PERCENT),
        Row::new(
            "demand summed by data centre, bytes",
            fleet.dcs / DEMAND_INTERVAL_S * bytes / 1e3,
            "KB/s",
            "29 sums / 0.5 s × demand-bytes: the change that would carry it",
        )
        .with_budget(CONTROL_BYTES_PER_S / 1e3),
    ];
    Ok(RoleTable {
        name: "steward-holder",
        rows,
    })
}

/// Additional cost of the steward that seals the usage windows of its data centre.
pub(super) fn collector(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let records =
        fits.slope("usage-message-bytes")? * fleet.entry_requests_per_s() * fleet.daemons_per_dc();
    let sums =
        fleet.daemons_per_dc() * fits.at("seal-figure-bytes", SEAL_FIGURES)? / fleet.window_s;
    let rows = vec![
        Row::new(
            "records gathered, three copies each",
            3.0 * records / 1e3,
            "KB/s",
            "3 × 131 × requests × usage-message-bytes",
        )
        .with_budget(CONTROL_BYTES_PER_S / 1e3),
        Row::new(
            "sums gathered in place of records",
            sums / 1e3,
            "KB/s",
            "131 × seal-figure-bytes at 100 figures / window: the change that would carry it",
        )
        .with_budget(CONTROL_BYTES_PER_S / 1e3),
        Row::new(
            "one seal",
            log::seal_bytes(fleet, fits)? / 1e3,
            "KB",
            "seal-figure-bytes at 100 figures + seal-range-bytes at 131 hosts",
        ),
    ];
    Ok(RoleTable {
        name: "usage-collector",
        rows,
    })
}

/// Number of pairs of workspace and service with usage in one data centre and window.
pub(super) const SEAL_FIGURES: f64 = 100.0;

/// Returns the number of entry incarnations that the seals of two days cover.
fn lives(fleet: &Fleet) -> f64 {
    fleet.daemons + 2.0 * fleet.restarts_per_day
}

/// Cost of membership gossip for one host, per second.
struct Gossip {
    bytes: f64,
    cpu_us: f64,
}

impl Gossip {
    fn new(fleet: &Fleet, fits: &Fits) -> Result<Self, FitsError> {
        let remote_dcs = fleet.dcs - 1.0;
        Ok(Self {
            bytes: fits.at("gossip-bytes", fleet.daemons_per_dc())?
                + remote_dcs * fits.slope("gossip-dc-bytes")?,
            cpu_us: fits.at("gossip-us", fleet.daemons_per_dc())?
                + remote_dcs * fits.slope("gossip-dc-us")?,
        })
    }
}
