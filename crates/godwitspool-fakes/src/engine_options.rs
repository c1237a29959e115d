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
    /// Tokens of a KV block.
    pub block_tokens: u32,
    /// Age at which cache events are published, in milliseconds.
    pub event_lag_ms: u64,
    /// One cache event in this many is lost; 0 for none.
    pub event_loss: u64,
    /// Whether orders with an old term are refused.
    pub fencing: bool,
    /// KV blocks that there are.
    pub kv_blocks: u64,
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Age of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Model served.
    pub model: ModelName,
    /// A prompt that contains this text crashes the engine.
    pub poison: String,
    /// Prompt tokens that a step computes for one request before its first token.
    pub prefill_tokens: u32,
    /// Time of a step per running request, in microseconds.
    pub request_us: u64,
    /// Time of a step, in milliseconds.
    pub step_ms: u64,
    /// Weight store to load weights from; none to load them from nowhere.
    pub store: Option<SocketAddr>,
    /// Time to load weights, in milliseconds.
    pub swap_ms: u64,
    /// Name in the history.
    pub target: TargetName,
    /// Weight version at the start.
    pub weights: WeightVersion,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            block_tokens: 16,
            event_lag_ms: 500,
            event_loss: 20,
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

/// What goes wrong with weight swaps.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SwapFault {
    /// The swap fails with status 500 and changes nothing.
    Fails,
    /// The answer names the new version, but the old one stays in use.
    FalseSuccess,
    /// The answer is status 500, but the version changes a second later.
    Late,
    /// Nothing goes wrong.
    #[default]
    None,
}
