//! Options of the measurement commands.

use std::path::PathBuf;

/// Options that every command takes.
#[derive(Clone, Debug)]
pub struct Options {
    /// Folder for the CSV files and plots. Defaults to `docs/measurements`.
    pub out: PathBuf,
    /// Seed of every random choice. Defaults to 1.
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
