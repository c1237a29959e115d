//! The lines fitted to measured series, as read from `fits.csv`.

use std::{collections::BTreeMap, path::Path};

use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu};

/// Error of reading a fit.
#[derive(Debug, Snafu)]
pub enum FitsError {
    /// The file can't be read or has an unexpected format.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// Path of the file.
        path: String,
        /// Cause.
        source: csv::Error,
    },
    /// The file has no row for a series.
    #[snafu(display("series \"{series}\" is missing in fits.csv"))]
    Missing {
        /// Name of the missing series.
        series: String,
    },
}

/// The lines fitted to measured series, by name of the series.
#[derive(Clone, Debug)]
pub(crate) struct Fits {
    lines: BTreeMap<String, Line>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct Line {
    intercept: f64,
    slope: f64,
}

#[derive(Deserialize)]
struct FitRow {
    series: String,
    #[serde(flatten)]
    line: Line,
}

impl Fits {
    /// Reads the fits from a CSV file.
    pub(crate) fn read(path: &Path) -> Result<Self, FitsError> {
        let read_context = || ReadSnafu {
            path: path.display().to_string(),
        };
        let mut reader = csv::Reader::from_path(path).with_context(|_| read_context())?;
        let mut lines = BTreeMap::new();
        for row in reader.deserialize() {
            let row: FitRow = row.with_context(|_| read_context())?;
            lines.insert(row.series, row.line);
        }
        Ok(Self { lines })
    }

    /// Returns the increase of a series per unit of size.
    pub(crate) fn slope(&self, series: &str) -> Result<f64, FitsError> {
        self.line(series).map(|line| line.slope)
    }

    /// Returns the value of the line at a size, but never less than zero.
    pub(crate) fn at(&self, series: &str, size: f64) -> Result<f64, FitsError> {
        self.line(series)
            .map(|line| (line.intercept + line.slope * size).max(0.0))
    }

    fn line(&self, series: &str) -> Result<Line, FitsError> {
        self.lines
            .get(series)
            .copied()
            .context(MissingSnafu { series })
    }
}
