//! The engines' published protocol: JSON and server-sent events over HTTP/1.1.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/chat/completions` | [`Generate`] | events of [`Chunk`], then `data: [DONE]` |
//! | `DELETE /v1/requests/ID` | none | 200 once cancelled, 404 when unknown |
//! | `POST /kv/ID/export` | none | 200 with a [`KvHandle`]; stops the stream with `finish` [`Finish::Exported`] |
//! | `POST /v1/chat/completions` with `kv` | [`Generate`] | as above, continued from the imported KV cache |
//! | `GET /load` | none | [`Load`], lagging |
//! | `GET /cache?from=SEQ` | none | [`CacheEvents`], late and with gaps |
//! | `POST /admin/weights` | [`SwapOrder`] | 200 with [`SwapAnswer`] once loaded, 409 for an old term |

use godwitspool_types::{ModelName, Term, WeightVersion};
use serde::{Deserialize, Serialize};

/// A generation request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Generate {
    /// KV cache to continue from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv: Option<KvHandle>,
    /// Most tokens to generate, those of `resume` included.
    pub max_tokens: u32,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Model.
    pub model: ModelName,
    /// Identity on the engine, for cancelling and exporting.
    #[serde(default)]
    pub request: String,
    /// Tokens already generated elsewhere; the engine goes on behind them and doesn't repeat them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume: Vec<String>,
    /// Seed of the sampling.
    #[serde(default)]
    pub seed: u64,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
}

/// A message of a conversation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Text.
    pub content: String,
    /// `system`, `user` or `assistant`.
    pub role: String,
}

/// One event of a generation stream; the shape of the widely used chat completions chunk.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chunk {
    /// Choices; one here.
    pub choices: Vec<Choice>,
    /// Identity of the request.
    pub id: String,
    /// Weight version that produced the chunk's token.
    pub weights: WeightVersion,
}

/// A choice of a chunk.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Choice {
    /// What is new.
    pub delta: Delta,
    /// Why the stream ended, in its last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<Finish>,
    /// Index of the token in the whole answer, from 0.
    pub index: u32,
}

/// New text of a choice.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// One token's text; empty in a chunk that only ends the stream.
    pub content: String,
}

/// Why a stream ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Finish {
    /// Cancelled on request.
    Cancelled,
    /// Exported, to be continued elsewhere.
    Exported,
    /// The most tokens asked for were reached.
    Length,
    /// The answer is complete.
    Stop,
}

/// Names an exported KV cache.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct KvHandle {
    /// Opaque contents.
    pub blob: String,
    /// Tokens that it covers.
    pub tokens: u32,
}

/// Load of an engine, reported with a lag.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// KV cache in use, in blocks.
    pub kv_used: u64,
    /// KV cache there is, in blocks.
    pub kv_total: u64,
    /// Requests that generate.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Weight version in use.
    pub weights: WeightVersion,
}

/// Prefix cache events.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CacheEvents {
    /// The events, in order of sequence number.
    pub events: Vec<CacheEvent>,
    /// Sequence number that the next event gets.
    pub next: u64,
}

/// One prefix cache event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Sequence number; a gap means lost events.
    pub sequence: u64,
    /// Whether the prefix was stored or evicted.
    pub stored: bool,
}

/// Orders an engine to load weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SwapOrder {
    /// Model.
    pub model: ModelName,
    /// Fencing token.
    pub term: Term,
    /// Version to load.
    pub version: WeightVersion,
}

/// Answer to a swap order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SwapAnswer {
    /// Version in use now.
    pub weights: WeightVersion,
}
