//! The command line.

use std::{ffi::OsString, path::PathBuf};

use lexopt::prelude::*;
use snafu::ResultExt;

use crate::{DemoError, FaultKind, error::ArgumentsSnafu};

const DEFAULT_FOLDER: &str = "examples/habimana";
const DEFAULT_SECONDS: u64 = 15;

/// Options of a demo run.
///
/// ```
/// use godwitspool_demo::DemoOptions;
///
/// let options = DemoOptions::default().with_seconds(5).with_seed(7);
/// assert_eq!((options.seconds, options.seed), (5, 7));
/// ```
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Kinds of faults to inject; none by default.
    pub faults: Vec<FaultKind>,
    /// Operators' folder to deploy, `examples/habimana` by default.
    pub folder: PathBuf,
    /// File that the command writes the history to, one JSON object per line; `None` writes none.
    pub history: Option<PathBuf>,
    /// File that the command writes the figures to, as JSON; `None` writes none.
    pub json: Option<PathBuf>,
    /// Whether the command prints no progress lines; `false` by default.
    pub quiet: bool,
    /// Time that callers and trainers run, in seconds; 15 by default.
    pub seconds: u64,
    /// Seed of the fault schedule; 1 by default.
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
    /// Sets the kinds of faults to inject.
    pub fn with_faults(mut self, faults: impl Into<Vec<FaultKind>>) -> Self {
        self.faults = faults.into();
        self
    }

    /// Sets the operators' folder.
    pub fn with_folder(mut self, folder: impl Into<PathBuf>) -> Self {
        self.folder = folder.into();
        self
    }

    /// Sets the time that callers and trainers run, in seconds.
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

/// A parsed command line.
#[derive(Clone, Debug)]
pub enum Command {
    /// Print the usage text.
    Help,
    /// Run the demo with these options.
    Run(DemoOptions),
    /// Print the version.
    Version,
}

impl Command {
    /// Parses command line arguments, which don't include the program's name.
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
    /// Returns [`DemoError::Arguments`] for an unknown option or an invalid value.
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
