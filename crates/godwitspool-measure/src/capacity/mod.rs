//! The capacity page's figures, worked out from measured slopes.

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

/// Why the capacity page's figures can't be worked out.
#[derive(Debug, Snafu)]
pub enum CapacityError {
    /// The measured slopes can't be read.
    #[snafu(display("{source}"))]
    Fits {
        /// Why.
        source: FitsError,
    },
    /// A file can't be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The page lacks the markers of a table.
    #[snafu(display("page has no table \"{name}\" between its markers"))]
    Marker {
        /// The table.
        name: String,
    },
}

/// Works the figures out from `fits.csv` of a folder, writes `capacity.csv` there and the tables of
/// the page.
///
/// # Errors
/// A file can't be read or written, a slope is missing, or the page lacks a table's markers.
pub fn write_page(folder: &Path, page: &Path) -> Result<Vec<Table>, CapacityError> {
    let tables = tables(folder)?;
    let text = read(page)?;
    let updated = page::fill(&text, &tables)?;
    fs::write(page, updated).context(FileSnafu {
        path: page.display().to_string(),
    })?;
    let csv = roles::csv(&tables);
    csv.write_csv(folder).context(FileSnafu {
        path: folder.display().to_string(),
    })?;
    Ok(vec![csv])
}

/// Tells whether the page's tables agree with the measured slopes of a folder.
///
/// # Errors
/// A file can't be read, a slope is missing, or the page lacks a table's markers.
pub fn page_matches(folder: &Path, page: &Path) -> Result<bool, CapacityError> {
    let text = read(page)?;
    Ok(page::fill(&text, &tables(folder)?)? == text)
}

fn tables(folder: &Path) -> Result<Vec<RoleTable>, CapacityError> {
    let fits = Fits::read(&folder.join("fits.csv")).context(FitsSnafu)?;
    roles::all(&Fleet::default(), &fits).context(FitsSnafu)
}

fn read(path: &Path) -> Result<String, CapacityError> {
    fs::read_to_string(path).context(FileSnafu {
        path: path.display().to_string(),
    })
}

/// The rows of one role.
#[derive(Clone, Debug)]
pub(crate) struct RoleTable {
    pub(crate) name: &'static str,
    pub(crate) rows: Vec<Row>,
}
