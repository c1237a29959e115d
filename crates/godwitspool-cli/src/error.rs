//! Errors of commands and their exit statuses.

use std::{io, net::SocketAddr, path::PathBuf};

use godwitspool_connection::http::PlatformError;
use godwitspool_process::{Findings, log_reader::CatchUpError};
use snafu::Snafu;

const FAILURE_STATUS: u8 = 1;
const FINDINGS_STATUS: u8 = 2;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    #[snafu(display("{message}; see godwitspool --help"))]
    Arguments { message: String },
    #[snafu(display("{address}: {reason}"))]
    Daemon { address: SocketAddr, reason: String },
    #[snafu(display("{findings}"))]
    Folder { findings: Findings },
    #[snafu(display("{source}"), context(false))]
    InForce { source: CatchUpError },
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    #[snafu(display("{text}"))]
    Findings { text: String },
    #[snafu(display("no line names {name:?}"))]
    NoLine { name: String },
    #[snafu(display("{what} had no effect: {why}"))]
    NoEffect { what: &'static str, why: String },
    #[snafu(display("{what} was appended, but did not appear in the log within {seconds} s"))]
    NotSeen { what: &'static str, seconds: u64 },
    #[snafu(display("output can't be written: {source}"), context(false))]
    Output { source: io::Error },
    #[snafu(display("{source}"), context(false))]
    Platform { source: PlatformError },
    #[snafu(display("unknown {kind} {name:?}"))]
    Unknown { kind: &'static str, name: String },
}

impl CliError {
    /// Returns the exit status of the process.
    pub(crate) fn status(&self) -> u8 {
        match self {
            Self::Arguments { .. } | Self::Findings { .. } | Self::Folder { .. } => FINDINGS_STATUS,
            _ => FAILURE_STATUS,
        }
    }
}

impl From<lexopt::Error> for CliError {
    fn from(error: lexopt::Error) -> Self {
        Self::Arguments {
            message: error.to_string(),
        }
    }
}
