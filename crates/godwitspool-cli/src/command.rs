//! The commands and their arguments.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use godwitspool_types::{KeyDigest, Workspace};
use lexopt::{
    Parser,
    prelude::{Long, Short, Value, ValueExt},
};

use crate::error::CliError;

pub(crate) const HELP: &str = "\
godwitspool COMMAND

  check DIR                   checks an operators' folder and says which file won over whom
  publish DIR [--dry-run]     puts a folder in force, or shows the difference to what is in force
  key issue WORKSPACE         issues a key and shows it once
  key withdraw DIGEST         withdraws a key by its digest, for good
  status                      what is in force: leases, orders, windows; and each daemon's state
  explain SUBJECT             what daemons know of a request, target or sample
  explain ID FILE...          what hosts' log lines tell of a request, batch, item, target, epoch
                              or usage window, in order, clocks put right
  usage                       usage windows: open, sealed, frozen, reported
  quarantine list             requests that are kept off all targets
  quarantine lift FINGERPRINT lets requests of a fingerprint run again
  drain                       asks daemons to take no new work

  --platform URL      the platform, for what reads or writes its log
  --steward IP:PORT   a steward to read from in place of the platform's log
  --daemon IP:PORT    a daemon's operators' address; may be given several times
  --by NAME           who publishes
  --help, --version

Exit status: 0 done, 1 failed, 2 findings in the folder or on the command line.";

/// Where what is in force is read and written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LogAccess {
    pub platform: String,
    pub steward: Option<SocketAddr>,
}

/// A command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    Check {
        folder: PathBuf,
    },
    Drain {
        daemons: Vec<SocketAddr>,
    },
    Explain {
        subject: String,
        daemons: Vec<SocketAddr>,
    },
    ExplainLines {
        subject: String,
        files: Vec<PathBuf>,
    },
    Help,
    KeyIssue {
        workspace: Workspace,
        log: LogAccess,
    },
    KeyWithdraw {
        digest: KeyDigest,
        log: LogAccess,
    },
    Publish {
        folder: PathBuf,
        operator: String,
        dry_run: bool,
        log: LogAccess,
    },
    QuarantineLift {
        fingerprint: u64,
        log: LogAccess,
    },
    QuarantineList {
        log: LogAccess,
    },
    Status {
        log: Option<LogAccess>,
        daemons: Vec<SocketAddr>,
    },
    Usage {
        log: LogAccess,
    },
    Version,
}

impl Command {
    /// Reads the arguments, the program's name left out.
    pub(crate) fn parse(
        arguments: impl IntoIterator<Item = impl Into<OsString>>,
    ) -> Result<Self, CliError> {
        let arguments: Vec<_> = arguments.into_iter().map(Into::into).collect();
        let words = Words::parse(arguments)?;
        words.map_or(Ok(Self::Help), Words::command)
    }
}

/// Arguments by kind.
#[derive(Default)]
struct Words {
    daemons: Vec<SocketAddr>,
    dry_run: bool,
    operator: Option<String>,
    platform: Option<String>,
    steward: Option<SocketAddr>,
    values: Vec<String>,
    version: bool,
}

impl Words {
    /// Returns nothing when help is asked for.
    fn parse(arguments: Vec<OsString>) -> Result<Option<Self>, CliError> {
        let mut parser = Parser::from_args(arguments);
        let mut words = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(None),
                Short('V') | Long("version") => words.version = true,
                Long("by") => words.operator = Some(parser.value()?.string()?),
                Long("daemon") => words.daemons.push(parser.value()?.parse()?),
                Long("dry-run") => words.dry_run = true,
                Long("platform") => words.platform = Some(parser.value()?.string()?),
                Long("steward") => words.steward = Some(parser.value()?.parse()?),
                Value(value) => words.values.push(value.string()?),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(Some(words))
    }

    fn command(self) -> Result<Command, CliError> {
        if self.version {
            return Ok(Command::Version);
        }
        let values: Vec<_> = self.values.iter().map(String::as_str).collect();
        Ok(match values.as_slice() {
            [] | ["help"] => Command::Help,
            ["check", folder] => Command::Check {
                folder: folder.into(),
            },
            ["drain"] => Command::Drain {
                daemons: self.daemons()?,
            },
            ["explain", subject] => Command::Explain {
                subject: (*subject).to_owned(),
                daemons: self.daemons()?,
            },
            ["explain", subject, files @ ..] => Command::ExplainLines {
                subject: (*subject).to_owned(),
                files: files.iter().map(PathBuf::from).collect(),
            },
            ["key", "issue", workspace] => Command::KeyIssue {
                workspace: Workspace::from(*workspace),
                log: self.log()?,
            },
            ["key", "withdraw", digest] => Command::KeyWithdraw {
                digest: read_digest(digest)?,
                log: self.log()?,
            },
            ["publish", folder] => Command::Publish {
                folder: folder.into(),
                operator: self
                    .operator
                    .clone()
                    .unwrap_or_else(|| "operator".to_owned()),
                dry_run: self.dry_run,
                log: self.log()?,
            },
            ["quarantine", "list"] => Command::QuarantineList { log: self.log()? },
            ["quarantine", "lift", fingerprint] => Command::QuarantineLift {
                fingerprint: read_fingerprint(fingerprint)?,
                log: self.log()?,
            },
            ["status"] => Command::Status {
                log: self.log().ok(),
                daemons: self.daemons,
            },
            ["usage"] => Command::Usage { log: self.log()? },
            other => return wrong(format!("no command {:?}", other.join(" "))),
        })
    }

    fn daemons(&self) -> Result<Vec<SocketAddr>, CliError> {
        if self.daemons.is_empty() {
            return wrong("--daemon IP:PORT is missing");
        }
        Ok(self.daemons.clone())
    }

    fn log(&self) -> Result<LogAccess, CliError> {
        let Some(platform) = self.platform.clone() else {
            return wrong("--platform URL is missing");
        };
        Ok(LogAccess {
            platform,
            steward: self.steward,
        })
    }
}

fn read_digest(text: &str) -> Result<KeyDigest, CliError> {
    KeyDigest::try_from(text.to_owned()).or_else(wrong)
}

fn read_fingerprint(text: &str) -> Result<u64, CliError> {
    let fingerprint = u64::from_str_radix(text, 16);
    fingerprint.or_else(|error| wrong(format!("fingerprint {text:?}: {error}")))
}

fn wrong<T>(message: impl Into<String>) -> Result<T, CliError> {
    let message = message.into();
    Err(CliError::Arguments { message })
}
