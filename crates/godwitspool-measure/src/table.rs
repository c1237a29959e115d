//! A table of results, printed as text and written as CSV.

use std::{fmt, fs, io, path::Path};

/// A named table of results. Cells are stored as text.
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
    /// Creates a table without rows. The name is also the name of its CSV file.
    pub fn new(name: &str, columns: &[&str]) -> Self {
        let columns = columns.iter().map(|&column| column.to_owned()).collect();
        Self {
            columns,
            name: name.to_owned(),
            rows: Vec::new(),
        }
    }

    /// Appends a row.
    ///
    /// # Panics
    /// Panics if the number of cells differs from the number of columns.
    pub fn push_row(&mut self, cells: impl IntoIterator<Item = String>) {
        let cells: Vec<_> = cells.into_iter().collect();
        assert_eq!(
            cells.len(),
            self.columns.len(),
            "row of table {:?} has the wrong number of cells",
            self.name
        );
        self.rows.push(cells);
    }

    /// Writes `NAME.csv` into a folder, which is created if it is missing.
    ///
    /// # Errors
    /// Returns an error if the folder can't be created or the file can't be written.
    pub fn write_csv(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let mut writer = csv::Writer::from_path(folder.join(format!("{}.csv", self.name)))?;
        writer.write_record(&self.columns)?;
        for row in &self.rows {
            writer.write_record(row)?;
        }
        writer.flush()
    }

    fn column_width(&self, column: usize) -> usize {
        let cells = self.rows.iter().map(|row| row[column].len());
        cells.chain([self.columns[column].len()]).max().unwrap_or(0)
    }

    fn write_line(&self, f: &mut fmt::Formatter<'_>, cells: &[String]) -> fmt::Result {
        for (column, cell) in cells.iter().enumerate() {
            write!(f, "{cell:>width$}  ", width = self.column_width(column))?;
        }
        writeln!(f)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.name)?;
        self.write_line(f, &self.columns)?;
        self.rows.iter().try_for_each(|row| self.write_line(f, row))
    }
}
