//! The steward daemon: `godwitspool-steward SETTINGS.yaml`.

use std::{io, path::Path, process::ExitCode};

use godwitspool_process::{DaemonCommand, FINDINGS_STATUS, StewardSettings, Termination, logs};
use godwitspool_steward::Steward;

const HELP: &str = "\
godwitspool-steward SETTINGS.yaml [--check]

Folds the platform's log, gives entries their view and stands for the leases.
SIGTERM releases what is held and ends.

  --check     checks the settings and ends, with status 2 for findings
  --help
  --version";

fn main() -> ExitCode {
    let command = match DaemonCommand::parse(std::env::args_os().skip(1)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("godwitspool-steward: {error}");
            return ExitCode::from(FINDINGS_STATUS);
        }
    };
    match command {
        DaemonCommand::Help => println!("{HELP}"),
        DaemonCommand::Version => println!("godwitspool-steward {}", env!("CARGO_PKG_VERSION")),
        DaemonCommand::Check(path) => {
            return load(&path).map_or_else(|code| code, |_| ExitCode::SUCCESS);
        }
        DaemonCommand::Run(path) => return load(&path).map_or_else(|code| code, run),
    }
    ExitCode::SUCCESS
}

fn load(path: &Path) -> Result<StewardSettings, ExitCode> {
    StewardSettings::load(path).map_err(|findings| {
        eprintln!("{findings}");
        ExitCode::from(FINDINGS_STATUS)
    })
}

fn run(settings: StewardSettings) -> ExitCode {
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("godwitspool-steward: {error}");
            ExitCode::FAILURE
        }
    }
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
