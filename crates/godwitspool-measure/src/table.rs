//! A table of figures, printed as text and written as CSV.

use std::{fmt, fs, io, path::Path};

/// A table of figures.
///
/// ```
/// use godwitspool_measure::Table;
///
/// let mut table = Table::new("squares", &["n", "square"]);
/// table.push_row([2.to_string(), 4.to_string()]);
/// assert!(table.to_string().contains("square"));
/// ```
#[derive(Clone, Debug)]
pub struct Table {
    columns: Vec<String>,
    name: String,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts a table.
    pub fn new(name: &str, columns: &[&str]) -> Self {
        let columns = columns.iter().map(|&column| column.to_owned()).collect();
        Self {
            columns,
            name: name.to_owned(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    ///
    /// # Panics
    /// The number of cells differs from the number of columns.
    pub fn push_row(&mut self, cells: impl IntoIterator<Item = String>) {
        let cells: Vec<_> = cells.into_iter().collect();
        assert_eq!(
            cells.len(),
            self.columns.len(),
            "cells of a row in table {:?}",
            self.name
        );
        self.rows.push(cells);
    }

    /// Writes `NAME.csv` into a folder.
    ///
    /// # Errors
    /// The folder or the file can't be written.
    pub fn write_csv(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let mut writer = csv::Writer::from_path(folder.join(format!("{}.csv", self.name)))?;
        writer.write_record(&self.columns)?;
        for row in &self.rows {
            writer.write_record(row)?;
        }
        writer.flush()
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().map(|row| row[column].len());
        cells.chain([self.columns[column].len()]).max().unwrap_or(0)
    }

    fn line(&self, f: &mut fmt::Formatter<'_>, cells: &[String]) -> fmt::Result {
        for (column, cell) in cells.iter().enumerate() {
            write!(f, "{cell:>width$}  ", width = self.width(column))?;
        }
        writeln!(f)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.name)?;
        self.line(f, &self.columns)?;
        self.rows.iter().try_for_each(|row| self.line(f, row))
    }
}
