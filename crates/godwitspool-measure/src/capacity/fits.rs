//! The lines fitted to measured slopes, read back from their CSV.

use std::{collections::BTreeMap, path::Path};

use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu};

/// Why measured slopes can't be used.
#[derive(Debug, Snafu)]
pub enum FitsError {
    /// The file can't be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: csv::Error,
    },
    /// A series isn't among them.
    #[snafu(display("no series \"{series}\" among the fits"))]
    Missing {
        /// The series.
        series: String,
    },
}

/// The lines fitted to measured slopes, by series.
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
struct Named {
    series: String,
    #[serde(flatten)]
    line: Line,
}

impl Fits {
    /// Reads `fits.csv`.
    pub(crate) fn read(path: &Path) -> Result<Self, FitsError> {
        let context = || ReadSnafu {
            path: path.display().to_string(),
        };
        let mut reader = csv::Reader::from_path(path).with_context(|_| context())?;
        let mut lines = BTreeMap::new();
        for named in reader.deserialize() {
            let named: Named = named.with_context(|_| context())?;
            lines.insert(named.series, named.line);
        }
        Ok(Self { lines })
    }

    /// Returns what one unit more of a series costs.
    pub(crate) fn slope(&self, series: &str) -> Result<f64, FitsError> {
        self.line(series).map(|line| line.slope)
    }

    /// Returns the line's value at a size.
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
