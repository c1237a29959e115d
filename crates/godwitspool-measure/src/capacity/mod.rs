//! Computes the tables of the capacity page from the fitted slopes.

mod fits;
mod fleet;
mod page;
mod roles;
mod row;

use std::{fs, io, path::Path};

use snafu::{ResultExt, Snafu};

use crate::Table;

pub(crate) use fits::{Fits, FitsError};
pub(crate) use fleet::Fleet;
pub(crate) use row::Row;

/// Error of computing, reading or writing the capacity page.
#[derive(Debug, Snafu)]
pub enum CapacityError {
    /// The fitted slopes can't be read.
    #[snafu(display("{source}"))]
    Fits {
        /// Cause.
        source: FitsError,
    },
    /// A file can't be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// Path of the file or folder.
        path: String,
        /// Cause.
        source: io::Error,
    },
    /// The page lacks the begin or end marker of a table.
    #[snafu(display("the page lacks a begin or end marker of table \"{name}\""))]
    Marker {
        /// Name of the table.
        name: String,
    },
}

/// Computes the tables of the page from `fits.csv` in `folder`, replaces them in the page and
/// writes `capacity.csv` into the folder.
///
/// # Errors
/// Returns an error if a file can't be read or written, a series is missing, or the page lacks the
/// markers of a table.
pub fn write_page(folder: &Path, page: &Path) -> Result<Vec<Table>, CapacityError> {
    let role_tables = role_tables(folder)?;
    let text = read_page(page)?;
    let updated = page::replace_tables(&text, &role_tables)?;
    fs::write(page, updated).context(FileSnafu {
        path: page.display().to_string(),
    })?;
    let csv = roles::csv(&role_tables);
    csv.write_csv(folder).context(FileSnafu {
        path: folder.display().to_string(),
    })?;
    Ok(vec![csv])
}

/// Returns whether the tables of the page match `fits.csv` in `folder`.
///
/// # Errors
/// Returns an error if a file can't be read, a series is missing, or the page lacks the markers of
/// a table.
pub fn page_matches(folder: &Path, page: &Path) -> Result<bool, CapacityError> {
    let text = read_page(page)?;
    Ok(page::replace_tables(&text, &role_tables(folder)?)? == text)
}

fn role_tables(folder: &Path) -> Result<Vec<RoleTable>, CapacityError> {
    let fits = Fits::read(&folder.join("fits.csv")).context(FitsSnafu)?;
    roles::role_tables(&Fleet::default(), &fits).context(FitsSnafu)
}

fn read_page(path: &Path) -> Result<String, CapacityError> {
    fs::read_to_string(path).context(FileSnafu {
        path: path.display().to_string(),
    })
}

/// The table of one role on the capacity page.
#[derive(Clone, Debug)]
pub(crate) struct RoleTable {
    pub(crate) name: &'static str,
    pub(crate) rows: Vec<Row>,
}
