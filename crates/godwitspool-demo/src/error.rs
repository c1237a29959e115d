//! Errors of a demo run.

use std::{io, path::PathBuf};

use godwitspool_process::Findings;
use snafu::Snafu;

/// An error that prevents or ends a demo run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// The command line is invalid.
    #[snafu(display("{source}"))]
    Arguments {
        /// Error of the argument parser.
        source: lexopt::Error,
    },
    /// The operators' folder is invalid.
    #[snafu(display("{findings}"))]
    Folder {
        /// Everything that is wrong with the folder.
        findings: Findings,
    },
    /// A component can't start.
    #[snafu(display("can't start {component}: {source}"))]
    Start {
        /// Name of the component, such as `entry` or `platform`.
        component: &'static str,
        /// I/O error of the start, such as an address in use.
        source: io::Error,
    },
    /// The system was not ready in time.
    #[snafu(display("{component} not ready after {waited_ms} ms"))]
    NotReady {
        /// Host or service that was not ready.
        component: String,
        /// Time that the demo waited, in milliseconds.
        waited_ms: u64,
    },
    /// The history or the figures can't be written.
    #[snafu(display("can't write {}: {source}", path.display()))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of creating or writing the file.
        source: io::Error,
    },
}
