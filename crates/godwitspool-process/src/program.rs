//! The main function of a daemon.

use std::{env, io, path::Path, process::ExitCode};

use crate::{DaemonCommand, Findings};

/// Exit status for findings in settings or on the command line.
const FINDINGS_STATUS: u8 = 2;

/// A daemon's program: its texts for the command line and its main function.
///
/// ```
/// use godwitspool_process::Program;
///
/// let program = Program { help: "godwitspool-entry SETTINGS.yaml", name: "entry", version: "1" };
/// assert_eq!(program.name, "entry");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Text printed for `--help`.
    pub help: &'static str,
    /// Name printed before the version and before error messages.
    pub name: &'static str,
    /// Version printed for `--version`, after the name.
    pub version: &'static str,
}

impl Program {
    /// Parses the command line, loads the settings with `load` and runs `serve` with them.
    ///
    /// All findings are printed. The exit status is 2 if there are any or the command line is
    /// wrong, and 1 if `serve` fails.
    pub fn run<S>(
        &self,
        load: impl Fn(&Path) -> Result<S, Findings>,
        serve: impl FnOnce(S) -> io::Result<()>,
    ) -> ExitCode {
        let command = match DaemonCommand::parse(env::args_os().skip(1)) {
            Ok(command) => command,
            Err(error) => return self.fail(&error, ExitCode::from(FINDINGS_STATUS)),
        };
        let (path, check) = match command {
            DaemonCommand::Check(path) => (path, true),
            DaemonCommand::Help => return print(self.help),
            DaemonCommand::Run(path) => (path, false),
            DaemonCommand::Version => return print(&format!("{} {}", self.name, self.version)),
        };
        match load(&path) {
            Err(findings) => {
                eprintln!("{findings}");
                ExitCode::from(FINDINGS_STATUS)
            }
            Ok(_) if check => ExitCode::SUCCESS,
            Ok(settings) => match serve(settings) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => self.fail(&error, ExitCode::FAILURE),
            },
        }
    }

    fn fail(&self, error: &impl std::fmt::Display, status: ExitCode) -> ExitCode {
        eprintln!("{}: {error}", self.name);
        status
    }
}

fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}
