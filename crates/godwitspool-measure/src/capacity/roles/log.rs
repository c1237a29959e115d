//! The platform's log.

use crate::capacity::{Fits, FitsError, Fleet, RoleTable, Row};

pub(super) fn table(fleet: &Fleet, fits: &Fits) -> Result<RoleTable, FitsError> {
    let publish = fits.at("publish-bytes", 1.0)?;
    let rows = vec![
        Row::new(
            "appends for configuration",
            fleet.changes(),
            "1/s",
            "changes a day",
        ),
        Row::new(
            "bytes for configuration",
            fleet.changes() * publish / 1e3,
            "KB/s",
            "changes × publish-bytes at one workspace",
        ),
    ];
    Ok(RoleTable { name: "log", rows })
}
