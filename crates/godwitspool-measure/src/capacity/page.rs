//! Replaces the tables of the capacity page, each of which is enclosed in two marker comments.

use std::fmt::Write;

use snafu::OptionExt;

use crate::capacity::{CapacityError, MarkerSnafu, RoleTable};

/// Returns the page with the text between the markers of each table replaced.
pub(super) fn replace_tables(page: &str, tables: &[RoleTable]) -> Result<String, CapacityError> {
    let mut text = page.to_owned();
    for table in tables {
        let begin = format!("<!-- begin {} -->\n", table.name);
        let end = format!("<!-- end {} -->", table.name);
        let name = table.name;
        let from = text.find(&begin).context(MarkerSnafu { name })? + begin.len();
        let length = text[from..].find(&end).context(MarkerSnafu { name })?;
        text.replace_range(from..from + length, &markdown(table));
    }
    Ok(text)
}

fn markdown(table: &RoleTable) -> String {
    let mut text = String::from("| quantity | figure | unit | budget | worked out as |\n");
    text.push_str("|---|---:|---|---|---|\n");
    for row in &table.rows {
        let (figure, verdict) = (row.rounded(), row.verdict());
        let line = format!(
            "| {} | {figure} | {} | {verdict} | {} |",
            row.quantity, row.unit, row.formula
        );
        writeln!(text, "{line}").expect("writing to a string can't fail");
    }
    text
}
