//! The steward daemon in each of its roles.

use super::{CONTROL_BYTES, CONTROL_CORE_PERCENT, core_percent, log};
use crate::capacity::{Fits, FitsError, Fleet, RoleTable, Row};

/// Time between two reports of an entry's demand to the holder, in seconds.
const DEMAND_S: f64 = 0.5;
/// Services that an entry reports demand for.
const DEMAND_SERVICES: f64 = 3.0;
/// Stewards of a data centre that read the platform's log.
const READERS: f64 = 2.0;

/// Any steward: follows membership and the log, gives its entry the view, holds usage of two peers.
pub(super) fn candidate(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let gossip = Gossip::new(fleet, fits)?;
    let tail = log::bytes(fleet, fits)?;
    let fold_us = log::fold_us(fleet, fits)?;
    let usage = fits.slope("usage-message-bytes")? * fleet.entry_requests();
    let usage_us = 3.0 * fits.slope("usage-message-us")? * fleet.entry_requests();
    let state = fits.at("snapshot-bytes", fleet.workspaces)?
        + fits.at("coverage-snapshot-bytes", lives(fleet))?
        + fits.at("view-bytes", fleet.workers)?
        + fits.at("view-member-bytes", fleet.daemons)?;
    let held = 3.0 * usage * 2.0 * fleet.window_s;
    let bytes = gossip.bytes + tail + 2.0 * usage;
    let rows = vec![
        Row::new(
            "gossip, sent",
            gossip.bytes / 1e3,
            "KB/s",
            "gossip-bytes at 131 hosts + gossip-dc-bytes slope × 28 dcs",
        ),
        Row::new(
            "tail of the log, received",
            tail / 1e3,
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
            .with_budget(CONTROL_BYTES / 1e3),
        Row::new(
            "processor",
            core_percent(gossip.work_us + fold_us + usage_us),
            "% of a core",
            "gossip-us, gossip-dc-us, fold of the log, 3 × usage-message-us × requests",
        )
        .with_budget(CONTROL_CORE_PERCENT),
        Row::new(
            "state: fold, view, usage of two windows held for three entries",
            (state + held) / 1e6,
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

/// One of the two stewards of a data centre that read the platform's log for the others.
pub(super) fn reader(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let tail = log::bytes(fleet, fits)?;
    let served = (fleet.peers() - READERS) / READERS;
    let rows = vec![
        Row::new("stewards served", served, "stewards", "(131 - 2) / 2"),
        Row::new(
            "tail served",
            served * tail / 1e3,
            "KB/s",
            "stewards served × log bytes",
        )
        .with_budget(CONTROL_BYTES / 1e3),
        Row::new(
            "tail served by a tree of fan-out 2",
            2.0 * tail / 1e3,
            "KB/s",
            "2 × log bytes: the change that would carry it",
        )
        .with_budget(CONTROL_BYTES / 1e3),
        Row::new(
            "reads of the platform's log by all readers",
            READERS * fleet.dcs * 4.0,
            "1/s",
            "2 readers × 29 dcs × 4 polls a second",
        ),
    ];
    Ok(RoleTable {
        name: "reader",
        rows,
    })
}

/// The holder of the lease on target orders.
pub(super) fn holder(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let messages = fleet.daemons / DEMAND_S;
    let bytes = fits.at("demand-bytes", DEMAND_SERVICES)?;
    let decode_us = fits.at("demand-us", DEMAND_SERVICES)?;
    let rows = vec![
        Row::new("demand, messages", messages, "1/s", "daemons / 0.5 s"),
        Row::new(
            "demand, bytes",
            messages * bytes / 1e3,
            "KB/s",
            "messages × demand-bytes at 3 services",
        )
        .with_budget(CONTROL_BYTES / 1e3),
        Row::new(
            "demand, processor",
            core_percent(messages * decode_us),
            "% of a core",
            "messages × demand-us; the calls' own time not counted",
        )
        .with_budget(CONTROL_CORE_PERCENT),
        Row::new(
            "demand summed by data centre, bytes",
            fleet.dcs / DEMAND_S * bytes / 1e3,
            "KB/s",
            "29 sums / 0.5 s × demand-bytes: the change that would carry it",
        )
        .with_budget(CONTROL_BYTES / 1e3),
    ];
    Ok(RoleTable {
        name: "steward-holder",
        rows,
    })
}

/// The steward that seals the usage windows of its data centre.
pub(super) fn collector(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let records = fits.slope("usage-message-bytes")? * fleet.entry_requests() * fleet.peers();
    let sums = fleet.peers() * fits.at("seal-figure-bytes", FIGURES)? / fleet.window_s;
    let rows = vec![
        Row::new(
            "records gathered, three copies each",
            3.0 * records / 1e3,
            "KB/s",
            "3 × 131 × requests × usage-message-bytes",
        )
        .with_budget(CONTROL_BYTES / 1e3),
        Row::new(
            "sums gathered in place of records",
            sums / 1e3,
            "KB/s",
            "131 × seal-figure-bytes at 100 figures / window: the change that would carry it",
        )
        .with_budget(CONTROL_BYTES / 1e3),
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

/// Workspaces with a service that use a data centre in one window.
pub(super) const FIGURES: f64 = 100.0;

/// Lives of entries that the seals of two days cover.
fn lives(fleet: &Fleet) -> f64 {
    fleet.daemons + 2.0 * fleet.restarts_a_day
}

struct Gossip {
    bytes: f64,
    work_us: f64,
}

impl Gossip {
    fn new(fleet: &Fleet, fits: &Fits) -> Result<Self, FitsError> {
        let far = fleet.dcs - 1.0;
        Ok(Self {
            bytes: fits.at("gossip-bytes", fleet.peers())? + far * fits.slope("gossip-dc-bytes")?,
            work_us: fits.at("gossip-us", fleet.peers())? + far * fits.slope("gossip-dc-us")?,
        })
    }
}
