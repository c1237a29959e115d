//! The steward daemon: `godwitspool-steward SETTINGS.yaml`.

use std::{io, process::ExitCode};

use godwitspool_process::{Program, StewardSettings, Termination, logs};
use godwitspool_steward::Steward;

const HELP: &str = "\
godwitspool-steward SETTINGS.yaml [--check]

Folds the platform's log, gives entries their view and stands for the leases.
SIGTERM releases what is held and ends.

  --check     checks the settings and ends, with status 2 for findings
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

/// Serves until a termination signal.
fn serve(settings: StewardSettings) -> io::Result<()> {
    logs::install(settings.log).map_err(io::Error::other)?;
    let termination = Termination::watch()?;
    let steward = Steward::start(settings)?;
    log::info!(address:% = steward.address(); "steward serves");
    termination.wait();
    log::info!("steward ends");
    steward.stop();
    Ok(())
}
