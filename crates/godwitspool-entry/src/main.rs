//! The entry daemon: `godwitspool-entry SETTINGS.yaml`.

use std::{io, path::Path, process::ExitCode};

use godwitspool_entry::Entry;
use godwitspool_process::{DaemonCommand, EntrySettings, FINDINGS_STATUS, Termination, logs};

const HELP: &str = "\
godwitspool-entry SETTINGS.yaml [--check]

Answers callers and trainers. SIGTERM drains: no new work, what runs is finished.
A second SIGTERM ends at once.

  --check     checks the settings and ends, with status 2 for findings
  --help
  --version";

fn main() -> ExitCode {
    let command = match DaemonCommand::parse(std::env::args_os().skip(1)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("godwitspool-entry: {error}");
            return ExitCode::from(FINDINGS_STATUS);
        }
    };
    match command {
        DaemonCommand::Help => println!("{HELP}"),
        DaemonCommand::Version => println!("godwitspool-entry {}", env!("CARGO_PKG_VERSION")),
        DaemonCommand::Check(path) => {
            return load(&path).map_or_else(|code| code, |_| ExitCode::SUCCESS);
        }
        DaemonCommand::Run(path) => return load(&path).map_or_else(|code| code, run),
    }
    ExitCode::SUCCESS
}

fn load(path: &Path) -> Result<EntrySettings, ExitCode> {
    EntrySettings::load(path).map_err(|findings| {
        eprintln!("{findings}");
        ExitCode::from(FINDINGS_STATUS)
    })
}

fn run(settings: EntrySettings) -> ExitCode {
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("godwitspool-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Serves until the second termination signal, or until the drain after the first has ended.
fn serve(settings: EntrySettings) -> io::Result<()> {
    logs::install(settings.log).map_err(io::Error::other)?;
    let termination = Termination::watch()?;
    let bound = settings.drain.duration();
    let entry = Entry::start(settings)?;
    log::info!(callers:% = entry.address(); "entry serves");
    let hurry = termination.wait();
    log::info!("entry drains");
    let cut = entry.drain(bound, &hurry);
    log::info!(cut; "entry ends");
    Ok(())
}
