//! The operators' command line.
//!
//! [`run`] runs one command and returns its exit status: 0 on success, 1 when the command failed, 2
//! for findings or errors on the command line.
//!
//! ```
//! let mut out = Vec::new();
//! let status = godwitspool_cli::run(["--version"], &mut out, &mut Vec::new());
//! assert_eq!(status, 0);
//! assert!(out.starts_with(b"godwitspool "));
//! ```

mod check;
mod command;
mod daemons;
mod difference;
mod error;
mod log;
mod publish;
mod report;
mod timeline;

use std::{ffi::OsString, io::Write};

use command::{Command, HELP};
use error::CliError;

/// Runs the command in `arguments`, which don't include the program's name. Returns the exit
/// status.
pub fn run(
    arguments: impl IntoIterator<Item = impl Into<OsString>>,
    out: &mut impl Write,
    errors: &mut impl Write,
) -> u8 {
    let result = Command::parse(arguments).and_then(|command| execute(command, out));
    match result {
        Ok(()) => 0,
        Err(error) => {
            // A failed write to standard error can't be reported anywhere.
            drop(writeln!(errors, "{error}"));
            error.status()
        }
    }
}

fn execute(command: Command, out: &mut impl Write) -> Result<(), CliError> {
    match command {
        Command::CheckFile {
            file,
            in_force,
            json,
        } => check::check_file(&file, in_force.as_deref(), json, out),
        Command::CheckFolder {
            folder,
            in_force,
            json,
        } => check::check_folder(&folder, in_force.as_deref(), json, out),
        Command::Drain { daemons } => daemons::drain(&daemons, out),
        Command::Explain { subject, daemons } => daemons::explain(&subject, &daemons, out),
        Command::ExplainLines { subject, files } => timeline::explain(&subject, &files, out),
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
