//! The entry daemon: `godwitspool-entry SETTINGS.yaml`.

use std::{io, process::ExitCode};

use godwitspool_entry::Entry;
use godwitspool_process::{EntrySettings, Program, Termination, logs};

const HELP: &str = "\
godwitspool-entry SETTINGS.yaml [--check]

Answers callers and trainers. SIGTERM drains: no new work, what runs is finished.
A second SIGTERM ends at once.

  --check     checks the settings and ends, with status 2 for findings
  --help
  --version";

fn main() -> ExitCode {
    let program = Program {
        help: HELP,
        name: env!("CARGO_BIN_NAME"),
        version: env!("CARGO_PKG_VERSION"),
    };
    program.run(|path| EntrySettings::load(path), serve)
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
