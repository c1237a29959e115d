//! What the daemons' mains share: the command line and termination signals.

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

/// What a daemon's command line asks for: `NAME SETTINGS.yaml [--check] [--help] [--version]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonCommand {
    /// Check the settings and end.
    Check(PathBuf),
    /// Print the help.
    Help,
    /// Run with the settings.
    Run(PathBuf),
    /// Print the version.
    Version,
}

impl DaemonCommand {
    /// Reads the arguments, the program's name left out.
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
    /// An unknown option, a second file, or none.
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

/// Waits for SIGTERM or SIGINT: the first asks for a graceful end, the second for the end.
#[derive(Debug)]
pub struct Termination {
    signals: Signals,
}

impl Termination {
    /// Takes the signals over from their default action.
    ///
    /// # Errors
    /// The system refuses the handlers.
    pub fn watch() -> io::Result<Self> {
        Signals::new([SIGINT, SIGTERM]).map(|signals| Self { signals })
    }

    /// Blocks until the first signal and returns a flag that the second one sets.
    pub fn wait(mut self) -> Arc<AtomicBool> {
        self.signals.forever().next();
        let hurry = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&hurry);
        thread::spawn(move || {
            self.signals.forever().next();
            flag.store(true, Ordering::Release);
        });
        hurry
    }
}
