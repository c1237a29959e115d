//! What each role costs at the size to design for.

mod entry;
mod log;
mod steward;
mod trainer;

use crate::{
    Table,
    capacity::{Fits, FitsError, Fleet, RoleTable},
};

/// Bytes a second that a daemon may spend for control.
const CONTROL_BYTES: f64 = 29_000.0;
/// Share of a core that a daemon may spend for control, in percent.
const CONTROL_CORE_PERCENT: f64 = 2.5;

/// Works out every role.
pub(super) fn all(fleet: &Fleet, fits: &Fits) -> Result<Vec<RoleTable>, FitsError> {
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

/// Lists every row of every role.
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

/// Converts microseconds of processor time a second to a share of a core in percent.
fn core_percent(us_a_second: f64) -> f64 {
    us_a_second / 1e4
}
