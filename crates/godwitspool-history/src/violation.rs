//! Broken promises and the lines that show them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Line;

/// The promises that histories are checked against.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// No target sees a caller's key.
    KeyHidden,
    /// A withdrawn key stops working within seconds.
    KeyWithdrawn,
    /// A leaving target gets no new work after a few seconds.
    LeavingTarget,
    /// A refusal that says "not run" is true.
    NotRun,
    /// The platform gets no orders from two processes in charge at once.
    OneOrderHolder,
    /// No usage window is reported with different figures or by two processes in charge at once.
    OneWindow,
    /// A non-idempotent request runs at most once.
    RunsOnce,
    /// Each sample reaches its trainer exactly once.
    SampleOnce,
    /// No sample is older than the staleness bound.
    SampleStaleness,
    /// Each sample names the weight versions that truly produced it.
    SampleVersions,
    /// A graceful shutdown cuts no request.
    Shutdown,
    /// A caller gets the whole answer to its own request.
    WholeAnswer,
    /// A request runs only for the workspace whose key came with it.
    WorkspaceKey,
    /// An accepted configuration is in force everywhere within seconds.
    ConfigurationInForce,
    /// An accepted configuration never reverts.
    ConfigurationKept,
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ConfigurationInForce => "a configuration is in force everywhere within seconds",
            Self::ConfigurationKept => "a configuration never reverts",
            Self::KeyHidden => "no target sees a caller's key",
            Self::KeyWithdrawn => "a withdrawn key stops working within seconds",
            Self::LeavingTarget => "a leaving target gets no new work after a few seconds",
            Self::NotRun => "a refusal that says \"not run\" is true",
            Self::OneOrderHolder => "no target orders from two processes in charge at once",
            Self::OneWindow => "no usage window with different figures or holders",
            Self::RunsOnce => "a non-idempotent request runs at most once",
            Self::SampleOnce => "each sample reaches its trainer exactly once",
            Self::SampleStaleness => "no sample is older than the staleness bound",
            Self::SampleVersions => "each sample names the versions that produced it",
            Self::Shutdown => "a graceful shutdown cuts no request",
            Self::WholeAnswer => "a caller gets the whole answer to its own request",
            Self::WorkspaceKey => "a request runs only for the workspace of its key",
        })
    }
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Lines that show it.
    pub lines: Vec<Line>,
    /// The promise.
    pub promise: Promise,
    /// What the lines show.
    pub reason: String,
}

impl Violation {
    pub(crate) fn new<'a>(
        promise: Promise,
        reason: impl Into<String>,
        lines: impl IntoIterator<Item = &'a Line>,
    ) -> Self {
        let lines = lines.into_iter().cloned().collect();
        Self {
            lines,
            promise,
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "broken: {}: {}", self.promise, self.reason)?;
        for line in &self.lines {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}
