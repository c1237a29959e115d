//! Parses the command line.

use std::{
    ffi::OsString,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use godwitspool_types::{KeyDigest, Workspace};
use lexopt::{
    Parser,
    prelude::{Long, Short, Value, ValueExt},
};

use crate::error::CliError;

pub(crate) const HELP: &str = "\
godwitspool COMMAND

  check DIR                   checks an operators' folder and shows which settings override others
  check FILE.json             checks a platform's configuration
  publish DIR [--dry-run]     publishes a folder, or only shows the difference to what is in force
  key issue WORKSPACE         issues a key and shows it once
  key withdraw DIGEST         withdraws a key by its digest, permanently
  status                      what is in force: leases, orders, windows; and each daemon's state
  explain SUBJECT             what daemons know of a request, target or sample
  explain ID FILE...          merges hosts' log lines about a request, batch, item, target, epoch
                              or usage window in order of time, with the clocks corrected
  usage                       usage windows: open, sealed, frozen, reported
  quarantine list             fingerprints whose requests run on no target
  quarantine lift FINGERPRINT lets requests of a fingerprint run again
  drain                       asks daemons to take no new work

  --platform URL      the platform, for commands that read or write its log
  --steward IP:PORT   a steward to read from in place of the platform's log
  --daemon IP:PORT    the operator address of a daemon; may be given several times
  --against PATH      the folder or file in force, to which check shows the difference
  --format json       findings and differences of check as JSON
  --by NAME           name of the operator who publishes; \"operator\" by default
  --help, --version

Exit status: 0 done, 1 failed, 2 findings or a wrong command line.";

/// The platform's log, and optionally a steward from which the log is read instead.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LogAccess {
    pub platform: String,
    pub steward: Option<SocketAddr>,
}

/// A parsed command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    CheckFile {
        file: PathBuf,
        in_force: Option<PathBuf>,
        json: bool,
    },
    CheckFolder {
        folder: PathBuf,
        in_force: Option<PathBuf>,
        json: bool,
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
    /// Parses the arguments, without the program's name.
    pub(crate) fn parse(
        arguments: impl IntoIterator<Item = impl Into<OsString>>,
    ) -> Result<Self, CliError> {
        let arguments: Vec<_> = arguments.into_iter().map(Into::into).collect();
        let parsed = RawArguments::parse(arguments)?;
        parsed.map_or(Ok(Self::Help), RawArguments::command)
    }
}

/// Options and positional arguments, before the command is known.
#[derive(Default)]
struct RawArguments {
    against: Option<PathBuf>,
    daemons: Vec<SocketAddr>,
    dry_run: bool,
    json: bool,
    operator: Option<String>,
    platform: Option<String>,
    steward: Option<SocketAddr>,
    values: Vec<String>,
    version: bool,
}

impl RawArguments {
    /// Returns `None` when help is requested.
    fn parse(arguments: Vec<OsString>) -> Result<Option<Self>, CliError> {
        let mut parser = Parser::from_args(arguments);
        let mut parsed = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(None),
                Short('V') | Long("version") => parsed.version = true,
                Long("against") => parsed.against = Some(parser.value()?.into()),
                Long("by") => parsed.operator = Some(parser.value()?.string()?),
                Long("daemon") => parsed.daemons.push(parser.value()?.parse()?),
                Long("dry-run") => parsed.dry_run = true,
                Long("format") => parsed.json = parse_format(&parser.value()?.string()?)?,
                Long("platform") => parsed.platform = Some(parser.value()?.string()?),
                Long("steward") => parsed.steward = Some(parser.value()?.parse()?),
                Value(value) => parsed.values.push(value.string()?),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(Some(parsed))
    }

    fn command(self) -> Result<Command, CliError> {
        if self.version {
            return Ok(Command::Version);
        }
        let values: Vec<_> = self.values.iter().map(String::as_str).collect();
        Ok(match values.as_slice() {
            [] | ["help"] => Command::Help,
            ["check", file] if is_json(file) => Command::CheckFile {
                file: file.into(),
                in_force: self.against,
                json: self.json,
            },
            ["check", folder] => Command::CheckFolder {
                folder: folder.into(),
                in_force: self.against,
                json: self.json,
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
                digest: parse_digest(digest)?,
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
                fingerprint: parse_fingerprint(fingerprint)?,
                log: self.log()?,
            },
            ["status"] => Command::Status {
                log: self.log().ok(),
                daemons: self.daemons,
            },
            ["usage"] => Command::Usage { log: self.log()? },
            other => return usage_error(format!("no command {:?}", other.join(" "))),
        })
    }

    fn daemons(&self) -> Result<Vec<SocketAddr>, CliError> {
        if self.daemons.is_empty() {
            return usage_error("--daemon IP:PORT is missing");
        }
        Ok(self.daemons.clone())
    }

    fn log(&self) -> Result<LogAccess, CliError> {
        let Some(platform) = self.platform.clone() else {
            return usage_error("--platform URL is missing");
        };
        Ok(LogAccess {
            platform,
            steward: self.steward,
        })
    }
}

fn is_json(path: &str) -> bool {
    let extension = Path::new(path).extension();
    extension.is_some_and(|extension| extension.eq_ignore_ascii_case("json"))
}

/// Returns whether the format is JSON.
fn parse_format(name: &str) -> Result<bool, CliError> {
    match name {
        "json" => Ok(true),
        "text" => Ok(false),
        other => usage_error(format!("unknown format {other:?}, expected json or text")),
    }
}

fn parse_digest(text: &str) -> Result<KeyDigest, CliError> {
    KeyDigest::try_from(text.to_owned()).or_else(usage_error)
}

fn parse_fingerprint(text: &str) -> Result<u64, CliError> {
    let fingerprint = u64::from_str_radix(text, 16);
    fingerprint.or_else(|error| usage_error(format!("fingerprint {text:?}: {error}")))
}

fn usage_error<T>(message: impl Into<String>) -> Result<T, CliError> {
    let message = message.into();
    Err(CliError::Arguments { message })
}
