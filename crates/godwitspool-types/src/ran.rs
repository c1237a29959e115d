//! Whether a refused or failed request ran.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about whether a request ran on a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// The request reached no target that could have run it.
    NotRun,
    /// The request ran on a target.
    Ran,
    /// The request may have run.
    Unknown,
}

impl Ran {
    /// Returns the value as it is sent to callers.
    ///
    /// ```
    /// use godwitspool_types::Ran;
    ///
    /// assert_eq!(Ran::NotRun.as_str(), "not-run");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
