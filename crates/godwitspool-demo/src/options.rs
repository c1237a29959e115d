//! The command line.

use std::{ffi::OsString, path::PathBuf};

use lexopt::prelude::*;
use snafu::ResultExt;

use crate::{DemoError, FaultKind, error::ArgumentsSnafu};

const DEFAULT_FOLDER: &str = "examples/habimana";
const DEFAULT_SECONDS: u64 = 15;

/// What to run.
///
/// ```
/// use godwitspool_demo::DemoOptions;
///
/// let options = DemoOptions::default().with_seconds(5).with_seed(7);
/// assert_eq!((options.seconds, options.seed), (5, 7));
/// ```
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Kinds of faults.
    pub faults: Vec<FaultKind>,
    /// Operators' folder.
    pub folder: PathBuf,
    /// File for the history, one JSON object a line.
    pub history: Option<PathBuf>,
    /// File for the figures as JSON.
    pub json: Option<PathBuf>,
    /// Whether nothing is shown while it runs.
    pub quiet: bool,
    /// Time for which callers and trainers work.
    pub seconds: u64,
    /// Seed of the fault schedule.
    pub seed: u64,
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self {
            faults: Vec::new(),
            folder: PathBuf::from(DEFAULT_FOLDER),
            history: None,
            json: None,
            quiet: false,
            seconds: DEFAULT_SECONDS,
            seed: 1,
        }
    }
}

impl DemoOptions {
    /// Sets the kinds of faults.
    pub fn with_faults(mut self, faults: impl Into<Vec<FaultKind>>) -> Self {
        self.faults = faults.into();
        self
    }

    /// Sets the operators' folder.
    pub fn with_folder(mut self, folder: impl Into<PathBuf>) -> Self {
        self.folder = folder.into();
        self
    }

    /// Sets the time for which callers and trainers work.
    pub fn with_seconds(mut self, seconds: u64) -> Self {
        self.seconds = seconds;
        self
    }

    /// Sets the seed of the fault schedule.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub enum Command {
    /// Show the usage.
    Help,
    /// Run the demo.
    Run(DemoOptions),
    /// Show the version.
    Version,
}

impl Command {
    /// Reads the command line, without the program's name.
    ///
    /// ```
    /// use godwitspool_demo::Command;
    ///
    /// let command = Command::parse(["--faults", "log-outage,reclaim", "--seed", "3"])?;
    /// assert!(matches!(command, Command::Run(options) if options.faults.len() == 2));
    /// # Ok::<(), godwitspool_demo::DemoError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the command line.
    pub fn parse(
        arguments: impl IntoIterator<Item = impl Into<OsString>>,
    ) -> Result<Self, DemoError> {
        parse(lexopt::Parser::from_args(arguments)).context(ArgumentsSnafu)
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut options = DemoOptions::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("faults") => options.faults = parser.value()?.parse_with(parse_faults)?,
            Short('h') | Long("help") => return Ok(Command::Help),
            Long("history") => options.history = Some(parser.value()?.into()),
            Long("json") => options.json = Some(parser.value()?.into()),
            Long("quiet") => options.quiet = true,
            Long("seconds") => options.seconds = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Short('V') | Long("version") => return Ok(Command::Version),
            Value(folder) => options.folder = folder.into(),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Command::Run(options))
}

fn parse_faults(text: &str) -> Result<Vec<FaultKind>, String> {
    match text {
        "all" => Ok(FaultKind::ALL.to_vec()),
        "none" | "" => Ok(Vec::new()),
        names => names.split(',').map(str::parse).collect(),
    }
}
