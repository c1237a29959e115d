//! A list of findings, sorted by place.

use std::{error::Error, fmt};

use godwitspool_types::Finding;

/// All findings in an input, sorted by place and without duplicates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Iterates over the findings, sorted by place.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns the number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the value if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
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
