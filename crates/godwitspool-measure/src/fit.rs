//! Linear fit of measured points.

/// A straight line fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value of the line at size zero.
    pub intercept: f64,
    /// Largest vertical distance of a point from the line, divided by the largest absolute value.
    pub residual: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
}

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size at which the value was measured.
    pub x: f64,
    /// Measured value at that size.
    pub y: f64,
}

impl Fit {
    /// Fits a line. Returns `None` for fewer than two different sizes.
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

    /// Returns the value of the line at size `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
