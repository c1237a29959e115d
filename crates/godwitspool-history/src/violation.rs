//! Promises of the system, and violations of them with the lines that show them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Line;

/// The promises that a history is checked against. The display form is a short description.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// No target receives a caller's key.
    KeyHidden,
    /// A withdrawn key stops working within [`Bounds::withdrawn`](crate::Bounds::withdrawn).
    KeyWithdrawn,
    /// A leaving target gets no new work after [`Bounds::leaving`](crate::Bounds::leaving).
    LeavingTarget,
    /// A refusal that says "not run" is true.
    NotRun,
    /// The platform gets no target orders from two processes that both act as the lease holder.
    OneOrderHolder,
    /// No usage window is reported with different figures, or by two processes that both act as the
    /// lease holder.
    OneWindow,
    /// A non-idempotent request runs at most once.
    RunsOnce,
    /// Each sample is delivered to its trainer exactly once.
    SampleOnce,
    /// No sample exceeds its trainer's staleness bound, in weight versions.
    SampleStaleness,
    /// Each sample names the weight versions that produced its tokens.
    SampleVersions,
    /// A graceful shutdown interrupts no request.
    Shutdown,
    /// An answer that ends as complete is complete and belongs to the caller's request.
    WholeAnswer,
    /// A request runs only with a valid key of its workspace, except on open routes.
    WorkspaceKey,
    /// An accepted configuration is in force everywhere within
    /// [`Bounds::in_force`](crate::Bounds::in_force).
    ConfigurationInForce,
    /// A host never applies a configuration older than one that it has applied before.
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

/// A violation of a promise.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Lines of the history that show the violation.
    pub lines: Vec<Line>,
    /// The promise that was broken.
    pub promise: Promise,
    /// Description of what the lines show.
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
