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
    /// Exported KV cache to continue from; `None` starts with an empty one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv: Option<KvHandle>,
    /// Maximum tokens to generate, those of `resume` included.
    pub max_tokens: u32,
    /// Messages of the conversation, oldest first.
    pub messages: Vec<Message>,
    /// Name of the model that the engine serves.
    pub model: ModelName,
    /// Id of the request on the engine, by which it is cancelled and exported.
    #[serde(default)]
    pub request: String,
    /// Tokens that another engine has generated. The engine continues after them and doesn't repeat
    /// them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume: Vec<String>,
    /// Seed of the token sampling; 0 when not given.
    #[serde(default)]
    pub seed: u64,
    /// Whether the answer is streamed as events.
    #[serde(default)]
    pub stream: bool,
}

/// A message of a conversation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Text of the message.
    pub content: String,
    /// `system`, `user` or `assistant`.
    pub role: String,
}

/// One event of a generation stream, in the format of a chat completions chunk.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chunk {
    /// Choices; always one.
    pub choices: Vec<Choice>,
    /// Id of the request on the engine.
    pub id: String,
    /// Weight version that produced the chunk's token.
    pub weights: WeightVersion,
}

/// A choice of a chunk.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Choice {
    /// Text added by this chunk.
    pub delta: Delta,
    /// Why the stream ended; `None` except in its last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<Finish>,
    /// Index of the token in the answer, from 0.
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
    /// The KV cache was exported, to be continued on another engine.
    Exported,
    /// The limit of `max_tokens` was reached.
    Length,
    /// The answer is complete.
    Stop,
}

/// Names an exported KV cache.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct KvHandle {
    /// Handle that the exporting engine issued; opaque to this system.
    pub blob: String,
    /// Number of tokens that the cache covers.
    pub tokens: u32,
}

/// Load of an engine. The report lags behind the true load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// KV cache in use, in blocks.
    pub kv_used: u64,
    /// Size of the KV cache, in blocks.
    pub kv_total: u64,
    /// Requests that are generating.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Weight version in use.
    pub weights: WeightVersion,
}

/// Prefix cache events.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CacheEvents {
    /// The events, in order of sequence number.
    pub events: Vec<CacheEvent>,
    /// Sequence number of the next event.
    pub next: u64,
}

/// One prefix cache event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// `true` when the prefix was stored, `false` when it was evicted.
    pub stored: bool,
}

/// Request to an engine to load a weight version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SwapOrder {
    /// Name of the model.
    pub model: ModelName,
    /// Fencing token; the engine refuses an older one than it has seen.
    pub term: Term,
    /// Version to load.
    pub version: WeightVersion,
}

/// Answer to a [`SwapOrder`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SwapAnswer {
    /// Weight version in use now.
    pub weights: WeightVersion,
}
