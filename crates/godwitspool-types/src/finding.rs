//! Errors found in input files, collected with their positions and reported together.

use std::fmt;

use crate::FileName;

/// A position in a file. Lines and columns count from 1.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The file, or the folder when the error concerns the whole folder.
    pub file: FileName,
    /// The line, from 1.
    pub line: u64,
    /// The column, from 1.
    pub column: u64,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// An error in an input file, with its position.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Position at which the error was found.
    pub place: Place,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}
