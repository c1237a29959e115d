//! Why a demo can't run.

use std::{io, path::PathBuf};

use godwitspool_process::Findings;
use snafu::Snafu;

/// Why a demo can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// The command line is wrong.
    #[snafu(display("{source}"))]
    Arguments {
        /// Cause.
        source: lexopt::Error,
    },
    /// The folder has findings.
    #[snafu(display("{findings}"))]
    Folder {
        /// The findings.
        findings: Findings,
    },
    /// A part can't be started.
    #[snafu(display("{part}: {source}"))]
    Start {
        /// The part.
        part: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// The system did not get ready in time.
    #[snafu(display("not ready after {waited_ms} ms: {part}"))]
    NotReady {
        /// What was waited for.
        part: String,
        /// Time waited.
        waited_ms: u64,
    },
    /// A result can't be written.
    #[snafu(display("{}: {source}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
}
