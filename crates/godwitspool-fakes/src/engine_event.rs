//! What an engine records.

use godwitspool_connection::engine::Finish;
use godwitspool_types::{TargetName, Term, WeightVersion};
use serde::{Deserialize, Serialize};

/// An event with its time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineRecord {
    /// Wall clock in milliseconds.
    pub at_ms: u64,
    /// What happened.
    pub event: EngineEvent,
    /// The engine.
    pub target: TargetName,
}

/// What an engine saw or did.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineEvent {
    /// The engine crashed; all its streams ended.
    Crashed,
    /// A stream ended or was cut.
    Ended {
        /// Why it ended; none when it was cut.
        finish: Option<Finish>,
        /// Hash of prompt and seed.
        prompt: u64,
        /// Identity on the engine.
        request: String,
        /// Versions that produced its tokens.
        spans: Vec<VersionSpan>,
    },
    /// A request arrived.
    Received {
        /// Where a caller's key was seen.
        key: Option<String>,
        /// Most tokens asked for.
        max_tokens: u32,
        /// Hash of the prompt alone, as with seed 0.
        messages: u64,
        /// Hash of prompt and seed.
        prompt: u64,
        /// Identity on the engine.
        request: String,
        /// Index of the first token to generate.
        start: u32,
    },
    /// A request other than a generation carried a caller's key.
    KeySeen(String),
    /// A weight order was answered.
    Swap {
        /// Whether the order took effect, now or later.
        effective: bool,
        /// Fencing token.
        term: Term,
        /// Version asked for.
        version: WeightVersion,
    },
}

/// A run of tokens that one weight version produced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionSpan {
    /// Index of the first token.
    pub from: u32,
    /// Index behind the last token.
    pub to: u32,
    /// The version.
    pub version: WeightVersion,
}
