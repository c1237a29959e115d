//! History records of an engine.

use godwitspool_connection::engine::Finish;
use godwitspool_types::{TargetName, Term, WeightVersion};
use serde::{Deserialize, Serialize};

/// An event with its time and engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineRecord {
    /// Wall clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Event that the engine recorded.
    pub event: EngineEvent,
    /// Name of the engine, as set in [`EngineOptions::target`](crate::EngineOptions::target).
    pub target: TargetName,
}

/// An event in the history of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineEvent {
    /// The engine crashed; all its streams ended.
    Crashed,
    /// A stream ended, or was interrupted by a crash or a disconnect.
    Ended {
        /// Why the stream ended; `None` if it was interrupted or is still running.
        finish: Option<Finish>,
        /// Hash of the messages and the seed.
        prompt: u64,
        /// Identifier of the request on the engine.
        request: String,
        /// Weight versions that produced the tokens.
        spans: Vec<VersionSpan>,
    },
    /// A request arrived.
    Received {
        /// Where the request contained a caller's API key; `None` if it contained none.
        key: Option<String>,
        /// Maximum number of tokens in the answer.
        max_tokens: u32,
        /// Hash of the messages with seed 0.
        messages: u64,
        /// Hash of the messages and the seed.
        prompt: u64,
        /// Identifier of the request on the engine.
        request: String,
        /// Index of the first token to generate.
        start: u32,
    },
    /// A request other than a generation contained a caller's API key, at the given place.
    KeySeen(String),
    /// A weight order succeeded, failed or was refused.
    Swap {
        /// Whether the order took effect, whatever the response was.
        effective: bool,
        /// Fencing token of the order.
        term: Term,
        /// Requested version.
        version: WeightVersion,
    },
}

/// A range of consecutive tokens that one weight version produced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionSpan {
    /// Index of the first token.
    pub from: u32,
    /// Index after the last token.
    pub to: u32,
    /// Version that produced the tokens.
    pub version: WeightVersion,
}
