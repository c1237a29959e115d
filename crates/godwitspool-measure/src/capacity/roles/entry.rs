//! Cost of the entry daemon.

use super::core_percent;
use crate::capacity::{Fits, FitsError, Fleet, RoleTable, Row};

pub(super) fn table(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let (requests_per_s, tokens_per_s) = (fleet.entry_requests_per_s(), fleet.entry_tokens_per_s());
    let streams = fleet.entry_streams();
    let stream_us = fits.at("stream-us", tokens_per_s / requests_per_s)? * requests_per_s;
    let decision_us = fits.at("choice-us", fleet.workers)?
        + fits.at("key-check-us", fleet.workspaces * fleet.workspace_keys)?;
    let updates_per_s = fleet.changes_per_s() + 2.0 * fleet.restarts_per_s();
    let view_bytes = fits.at("view-bytes", fleet.workers)?
        + fits.at("view-member-bytes", fleet.daemons)?
        + fits.at("view-workspace-bytes", fleet.workspaces)?;
    let view_us = fits.at("view-code-us", fleet.workers)?
        + fits.at("view-member-code-us", fleet.daemons)?
        + fits.at("view-workspace-code-us", fleet.workspaces)?;
    let usage_bytes = fits.slope("usage-message-bytes")? * requests_per_s;
    let rows = vec![
        Row::new("requests", requests_per_s, "1/s", "requests / daemons"),
        Row::new("tokens", tokens_per_s, "1/s", "tokens / daemons"),
        Row::new(
            "open streams",
            streams,
            "streams",
            "tokens × 50 ms between tokens",
        ),
        Row::new(
            "memory of open streams",
            streams * fits.slope("open-stream-bytes")? / 1e6,
            "MB",
            "streams × open-stream-bytes",
        ),
        Row::new(
            "processor for streams",
            core_percent(stream_us),
            "% of a core",
            "requests × stream-us at 383 tokens",
        ),
        Row::new(
            "processor for decisions",
            core_percent(decision_us * requests_per_s),
            "% of a core",
            "requests × (choice-us at 10,000 targets + key-check-us)",
        ),
        Row::new(
            "view, whole",
            view_bytes / 1e6,
            "MB",
            "view-bytes, view-member-bytes, view-workspace-bytes",
        ),
        Row::new(
            "view updates from the own host's steward",
            view_bytes * updates_per_s / 1e3,
            "KB/s on loopback",
            "view × (changes + 2 × restarts)",
        ),
        Row::new(
            "processor for view updates, both daemons",
            core_percent(view_us * updates_per_s),
            "% of a core",
            "(view-code-us + view-member-code-us + view-workspace-code-us) × updates",
        )
        .with_budget(super::CONTROL_CORE_PERCENT),
        Row::new(
            "usage to two more hosts",
            2.0 * usage_bytes / 1e3,
            "KB/s",
            "2 × requests × usage-message-bytes",
        )
        .with_budget(super::CONTROL_BYTES_PER_S / 1e3),
    ];
    Ok(RoleTable {
        name: "entry",
        rows,
    })
}
