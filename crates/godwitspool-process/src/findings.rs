//! Findings of one run, sorted by place.

use std::{error::Error, fmt};

use godwitspool_types::Finding;

/// All that is wrong in some input, in the order of its places.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Returns the findings.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns how many findings there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the value when nothing was found.
    ///
    /// # Errors
    ///
    /// The findings, when there are any.
    pub fn or<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl From<Vec<Finding>> for Findings {
    fn from(mut findings: Vec<Finding>) -> Self {
        findings.sort();
        findings.dedup();
        Self(findings)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            fmt::Display::fmt(finding, f)?;
        }
        Ok(())
    }
}

impl Error for Findings {}
