//! The steward daemon: `godwitspool-steward SETTINGS.yaml`.

use std::{io, process::ExitCode};

use godwitspool_process::{Program, StewardSettings, Termination, logs};
use godwitspool_steward::Steward;

const HELP: &str = "\
godwitspool-steward SETTINGS.yaml [--check]

Folds the platform's log, serves entries their view and competes for the leases.
SIGTERM releases the leases and stops the steward.

  --check     checks the settings and exits, with status 2 if there are findings
  --help
  --version";

fn main() -> ExitCode {
    let program = Program {
        help: HELP,
        name: env!("CARGO_BIN_NAME"),
        version: env!("CARGO_PKG_VERSION"),
    };
    program.run(|path| StewardSettings::load(path), serve)
}

/// Runs the steward until a termination signal arrives.
fn serve(settings: StewardSettings) -> io::Result<()> {
    logs::install(settings.log).map_err(io::Error::other)?;
    let termination = Termination::watch()?;
    let steward = Steward::start(settings)?;
    log::info!(address:% = steward.address(); "steward started");
    termination.wait();
    log::info!("steward is stopping");
    steward.stop();
    Ok(())
}
