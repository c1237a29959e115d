//! The cost of each role of a daemon at the design size.

mod entry;
mod log;
mod steward;
mod trainer;

use crate::{
    Table,
    capacity::{Fits, FitsError, Fleet, RoleTable},
};

/// Maximum network traffic of a daemon for control messages.
const CONTROL_BYTES_PER_S: f64 = 29_000.0;
/// Maximum share of a core that a daemon may use for control work.
const CONTROL_CORE_PERCENT: f64 = 2.5;

/// Computes the tables of all roles, in the order of the page.
pub(super) fn role_tables(fleet: &Fleet, fits: &Fits) -> Result<Vec<RoleTable>, FitsError> {
    Ok(vec![
        entry::table(fleet, fits)?,
        trainer::table(fleet, fits)?,
        steward::candidate(fleet, fits)?,
        steward::holder(fleet, fits)?,
        steward::reader(fleet, fits)?,
        steward::collector(fleet, fits)?,
        log::table(fleet, fits)?,
    ])
}

/// Returns the rows of all roles as one table.
pub(super) fn csv(tables: &[RoleTable]) -> Table {
    let columns = ["role", "quantity", "figure", "unit", "budget", "formula"];
    let mut csv = Table::new("capacity", &columns);
    for table in tables {
        for row in &table.rows {
            csv.push_row([
                table.name.to_owned(),
                row.quantity.to_owned(),
                row.rounded(),
                row.unit.to_owned(),
                row.budget
                    .map(|budget| budget.to_string())
                    .unwrap_or_default(),
                row.formula.to_owned(),
            ]);
        }
    }
    csv
}

/// Converts microseconds of CPU time per second to a share of a core in percent.
fn core_percent(us_per_s: f64) -> f64 {
    us_per_s / 1e4
}
