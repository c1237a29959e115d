//! The operators' command line.
//!
//! [`run`] carries out one command and returns its exit status: 0 when it was done, 1 when it
//! failed, 2 for findings in the folder or on the command line.
//!
//! ```
//! let mut out = Vec::new();
//! let status = godwitspool_cli::run(["--version"], &mut out, &mut Vec::new());
//! assert_eq!(status, 0);
//! assert!(out.starts_with(b"godwitspool "));
//! ```

mod command;
mod daemons;
mod difference;
mod error;
mod log;
mod publish;
mod report;
mod story;

use std::{ffi::OsString, io::Write};

use command::{Command, HELP};
use error::CliError;

/// Carries out the command that the arguments name, the program's name left out.
pub fn run(
    arguments: impl IntoIterator<Item = impl Into<OsString>>,
    out: &mut impl Write,
    errors: &mut impl Write,
) -> u8 {
    let done = Command::parse(arguments).and_then(|command| carry_out(command, out));
    match done {
        Ok(()) => 0,
        Err(error) => {
            // Nobody is left to tell when standard error is closed.
            drop(writeln!(errors, "{error}"));
            error.status()
        }
    }
}

fn carry_out(command: Command, out: &mut impl Write) -> Result<(), CliError> {
    match command {
        Command::Check { folder } => publish::check(&folder, out),
        Command::Drain { daemons } => daemons::drain(&daemons, out),
        Command::Explain { subject, daemons } => daemons::explain(&subject, &daemons, out),
        Command::ExplainLines { subject, files } => story::explain(&subject, &files, out),
        Command::Help => Ok(writeln!(out, "{HELP}")?),
        Command::KeyIssue { workspace, log } => log::issue_key(&workspace, &log, out),
        Command::KeyWithdraw { digest, log } => log::withdraw_key(digest, &log, out),
        Command::Publish {
            folder,
            operator,
            dry_run,
            log,
        } => publish::publish(&folder, operator, dry_run, &log, out),
        Command::QuarantineLift { fingerprint, log } => {
            log::lift_quarantine(fingerprint, &log, out)
        }
        Command::QuarantineList { log } => report::quarantine(&log, out),
        Command::Status { log, daemons } => report::status(log.as_ref(), &daemons, out),
        Command::Usage { log } => report::usage(&log, out),
        Command::Version => Ok(writeln!(out, "godwitspool {}", env!("CARGO_PKG_VERSION"))?),
    }
}
