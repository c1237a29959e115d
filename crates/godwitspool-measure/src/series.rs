//! A quantity measured at several sizes.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use crate::{Fit, Point, Table};

/// Number of timed runs. The fastest one is reported.
const TIMED_RUNS: usize = 5;

/// A quantity measured at several sizes of one thing, such as bytes by number of hosts.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name, unique among all series.
    pub name: &'static str,
    /// What the size counts, such as hosts.
    pub size_unit: &'static str,
    /// Sizes with the values measured at them.
    pub points: Vec<Point>,
    /// Unit of the values.
    pub unit: &'static str,
}

impl Series {
    /// Calls `value_at` with each size and records the results.
    ///
    /// ```
    /// use godwitspool_measure::Series;
    ///
    /// let series = Series::measure("text-bytes", "letters", "bytes", &[1, 2, 3], |n| n as f64);
    /// assert_eq!(series.points.len(), 3);
    /// ```
    pub fn measure(
        name: &'static str,
        size_unit: &'static str,
        unit: &'static str,
        sizes: &[usize],
        mut value_at: impl FnMut(usize) -> f64,
    ) -> Self {
        let points = sizes
            .iter()
            .map(|&size| Point {
                x: size as f64,
                y: value_at(size),
            })
            .collect();
        Self {
            name,
            size_unit,
            points,
            unit,
        }
    }

    /// Appends the points to a table with the columns of [`Series::points_table`].
    pub fn append_to(&self, table: &mut Table) {
        for point in &self.points {
            table.push_row([
                self.name.to_owned(),
                self.size_unit.to_owned(),
                point.x.to_string(),
                format!("{:.4}", point.y),
                self.unit.to_owned(),
            ]);
        }
    }

    /// Creates an empty table with the columns that [`Series::append_to`] writes.
    pub fn points_table(name: &str) -> Table {
        Table::new(name, &["series", "of", "size", "figure", "unit"])
    }

    /// Fits a line to the points. Returns `None` for fewer than two different sizes.
    pub fn fit(&self) -> Option<Fit> {
        Fit::least_squares(&self.points)
    }
}

/// Returns the time of one call of `work` in microseconds: the mean over `calls` calls in the
/// fastest of several runs.
pub fn time_us<T>(calls: u32, mut work: impl FnMut() -> T) -> f64 {
    let mut fastest = Duration::MAX;
    for _ in 0..TIMED_RUNS {
        let start = Instant::now();
        for _ in 0..calls {
            black_box(work());
        }
        fastest = fastest.min(start.elapsed());
    }
    fastest.as_secs_f64() * 1e6 / f64::from(calls)
}
