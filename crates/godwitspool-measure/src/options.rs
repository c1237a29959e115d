//! Options that every command takes.

use std::path::PathBuf;

/// Options that every command takes.
#[derive(Clone, Debug)]
pub struct Options {
    /// Folder that the CSV goes to.
    pub out: PathBuf,
    /// Seed of every random choice.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            out: PathBuf::from("docs/measurements"),
            seed: 1,
        }
    }
}
