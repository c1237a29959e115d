//! A straight line through measured points.

/// A straight line through points, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at zero.
    pub intercept: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub residual: f64,
    /// Change of the value for each unit.
    pub slope: f64,
}

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size.
    pub x: f64,
    /// Figure at that size.
    pub y: f64,
}

impl Fit {
    /// Fits a line; `None` for fewer than two sizes.
    ///
    /// ```
    /// use godwitspool_measure::{Fit, Point};
    ///
    /// let points = [1.0, 2.0, 3.0].map(|x| Point { x, y: 2.0 * x + 1.0 });
    /// let fit = Fit::least_squares(&points).unwrap();
    /// assert!((fit.value_at(10.0) - 21.0).abs() < 1e-9);
    /// ```
    pub fn least_squares(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let spread = points
            .iter()
            .map(|point| (point.x - mean_x).powi(2))
            .sum::<f64>();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let product = points
            .iter()
            .map(|point| (point.x - mean_x) * (point.y - mean_y))
            .sum::<f64>();
        let slope = product / spread;
        let intercept = mean_y - slope * mean_x;
        let largest = points
            .iter()
            .map(|point| point.y.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let residual = points
            .iter()
            .map(|point| (intercept + slope * point.x - point.y).abs() / largest)
            .fold(0.0, f64::max);
        Some(Self {
            intercept,
            residual,
            slope,
        })
    }

    /// Returns the line's value at a size.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
