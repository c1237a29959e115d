//! Monotonic time in milliseconds.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Milliseconds, either since the start of the process or as a time span.
///
/// Addition and subtraction saturate, so subtracting a later time gives zero.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The largest time or span.
    pub const MAX: Self = Self(u64::MAX);
    /// The start of the process, or an empty span.
    pub const ZERO: Self = Self(0);

    /// Returns the span as a standard duration.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the span in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(span.as_millis() as u64)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
