//! The entry daemon: `godwitspool-entry SETTINGS.yaml`.

use std::{io, process::ExitCode};

use godwitspool_entry::Entry;
use godwitspool_process::{EntrySettings, Program, Termination, logs};

const HELP: &str = "\
godwitspool-entry SETTINGS.yaml [--check]

Answers callers and trainers. SIGTERM drains: the entry accepts no new work and
finishes what is in progress. A second SIGTERM stops it immediately.

  --check     checks the settings and exits, with status 2 if there are findings
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

/// Serves until a first termination signal, then drains. A second signal ends the drain early.
fn serve(settings: EntrySettings) -> io::Result<()> {
    logs::install(settings.log).map_err(io::Error::other)?;
    let termination = Termination::watch()?;
    let drain_timeout = settings.drain.duration();
    let entry = Entry::start(settings)?;
    log::info!(callers:% = entry.address(); "entry started");
    let interrupted = termination.wait();
    log::info!("entry is draining");
    let cut = entry.drain(drain_timeout, &interrupted);
    log::info!(cut; "entry stopped");
    Ok(())
}
