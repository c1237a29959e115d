//! The command line and termination signals of daemons.

use std::{
    ffi::OsString,
    io,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use lexopt::prelude::{Long, Short, Value};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// A daemon's parsed command line: `NAME SETTINGS.yaml [--check] [--help] [--version]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonCommand {
    /// Check the settings file and exit, with status 2 if there are findings.
    Check(PathBuf),
    /// Print the help and exit.
    Help,
    /// Run with the settings file.
    Run(PathBuf),
    /// Print the version and exit.
    Version,
}

impl DaemonCommand {
    /// Parses the arguments, without the program's name.
    ///
    /// ```
    /// use godwitspool_process::DaemonCommand;
    ///
    /// let command = DaemonCommand::parse(["entry.yaml", "--check"])?;
    /// assert_eq!(command, DaemonCommand::Check("entry.yaml".into()));
    /// # Ok::<(), lexopt::Error>(())
    /// ```
    ///
    /// # Errors
    /// Fails on an unknown option, a second file, or if no file is given.
    pub fn parse(
        arguments: impl IntoIterator<Item = impl Into<OsString>>,
    ) -> Result<Self, lexopt::Error> {
        let arguments = arguments.into_iter().map(Into::into).collect::<Vec<_>>();
        let mut parser = lexopt::Parser::from_args(arguments);
        let (mut path, mut check) = (None, false);
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(Self::Help),
                Short('V') | Long("version") => return Ok(Self::Version),
                Long("check") => check = true,
                Value(value) if path.is_none() => path = Some(PathBuf::from(value)),
                other => return Err(other.unexpected()),
            }
        }
        let path = path.ok_or("no settings file; see --help")?;
        Ok(if check {
            Self::Check(path)
        } else {
            Self::Run(path)
        })
    }
}

/// Waits for SIGTERM or SIGINT: the first requests a graceful shutdown, the second an immediate
/// one.
#[derive(Debug)]
pub struct Termination {
    signals: Signals,
}

impl Termination {
    /// Installs handlers that replace the signals' default actions.
    ///
    /// # Errors
    /// Fails if the handlers can't be installed.
    pub fn watch() -> io::Result<Self> {
        Signals::new([SIGINT, SIGTERM]).map(|signals| Self { signals })
    }

    /// Blocks until the first signal and returns a flag that the second one sets.
    pub fn wait(mut self) -> Arc<AtomicBool> {
        self.signals.forever().next();
        let immediate = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&immediate);
        thread::spawn(move || {
            self.signals.forever().next();
            flag.store(true, Ordering::Release);
        });
        immediate
    }
}
