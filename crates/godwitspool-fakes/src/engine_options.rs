//! Options of an engine.

use std::net::SocketAddr;

use godwitspool_types::{ModelName, TargetName, WeightVersion};
use serde::{Deserialize, Serialize};

/// Options of an [`Engine`](crate::Engine).
///
/// ```
/// use godwitspool_fakes::EngineOptions;
///
/// let options = EngineOptions { step_ms: 5, ..EngineOptions::default() };
/// assert!(options.fencing);
/// ```
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Tokens per KV block.
    pub block_tokens: u32,
    /// Delay before cache events are published, in milliseconds.
    pub event_lag_ms: u64,
    /// One cache event in this many is lost; 0 loses none.
    pub loss_interval: u64,
    /// Whether weight orders with a term below the highest seen are refused.
    pub fencing: bool,
    /// Number of KV blocks.
    pub kv_blocks: u64,
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Minimum age of the load report that is served, in milliseconds.
    pub load_lag_ms: u64,
    /// Model served. Requests for other models get status 404.
    pub model: ModelName,
    /// A prompt that contains this text crashes the engine; empty for none.
    pub poison: String,
    /// Prompt tokens processed per step for a request that has no token yet.
    pub prefill_tokens: u32,
    /// Additional step time per running request, in microseconds.
    pub request_us: u64,
    /// Base time of a step, in milliseconds.
    pub step_ms: u64,
    /// Weight store to download weights from; `None` skips the download.
    pub store: Option<SocketAddr>,
    /// Time that a weight swap takes in addition to the download, in milliseconds.
    pub swap_ms: u64,
    /// Target name in history records.
    pub target: TargetName,
    /// Initial weight version, also in use again after a restart.
    pub weights: WeightVersion,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            block_tokens: 16,
            event_lag_ms: 500,
            loss_interval: 20,
            fencing: true,
            kv_blocks: 1_024,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            load_lag_ms: 200,
            model: ModelName::from("model"),
            poison: "poison-prompt".to_owned(),
            prefill_tokens: 512,
            request_us: 200,
            step_ms: 8,
            store: None,
            swap_ms: 50,
            target: TargetName::from("engine"),
            weights: WeightVersion::from("v1"),
        }
    }
}

/// Fault of weight swaps.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SwapFault {
    /// The swap fails with status 500 and the old version stays in use.
    Fails,
    /// The response names the new version, but the old one stays in use.
    FalseSuccess,
    /// The response has status 500, but the new version takes effect one second later.
    Late,
    /// No fault.
    #[default]
    None,
}
