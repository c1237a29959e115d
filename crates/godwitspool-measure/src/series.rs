//! A figure measured at several sizes.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use crate::{Fit, Point, Table};

/// Runs of a timed piece of work, of which the fastest counts.
const TIMED_RUNS: usize = 5;

/// A figure measured at several sizes of one thing.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name, unique among all series.
    pub name: &'static str,
    /// What the size counts.
    pub size_unit: &'static str,
    /// Sizes and figures.
    pub points: Vec<Point>,
    /// Unit of the figure.
    pub unit: &'static str,
}

impl Series {
    /// Measures a figure at each size.
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
        mut figure: impl FnMut(usize) -> f64,
    ) -> Self {
        let points = sizes
            .iter()
            .map(|&size| Point {
                x: size as f64,
                y: figure(size),
            })
            .collect();
        Self {
            name,
            size_unit,
            points,
            unit,
        }
    }

    /// Adds the points to a table with the columns of [`Series::points_table`].
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

    /// Starts a table of points.
    pub fn points_table(name: &str) -> Table {
        Table::new(name, &["series", "of", "size", "figure", "unit"])
    }

    /// Returns the line through the points; `None` for fewer than two sizes.
    pub fn fit(&self) -> Option<Fit> {
        Fit::least_squares(&self.points)
    }
}

/// Returns the time of one call in microseconds: the fastest of several runs, each of at least
/// `calls` calls.
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
