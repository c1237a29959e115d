//! Fakes of the services that godwitspool talks to: model engines, plain services, a scorer and the
//! platform.
//!
//! Each fake runs on real sockets in threads of the process that starts it and stops when it is
//! dropped. Most of them can inject faults, which are switched on and off at run time, and record
//! the requests that they receive.
//!
//! ```
//! use godwitspool_fakes::{Engine, EngineOptions};
//!
//! let engine = Engine::start(EngineOptions::default())?;
//! assert!(engine.address().ip().is_loopback());
//! assert!(engine.history().is_empty());
//! # Ok::<(), std::io::Error>(())
//! ```

mod batch;
mod engine;
mod engine_event;
mod engine_http;
mod engine_options;
mod fleet;
mod free_address;
mod plain_service;
mod platform;
mod platform_event;
mod platform_http;
mod platform_log;
mod platform_options;
mod platform_store;
mod platform_target;
mod prefix_cache;
mod read_rate;
mod relay;
mod scorer;
mod scripted_target;
mod server;
mod token;
mod udp_relay;

pub use engine::Engine;
pub use engine_event::{EngineEvent, EngineRecord, VersionSpan};
pub use engine_options::{EngineOptions, SwapFault};
pub use free_address::free_address;
pub use plain_service::{PlainCall, PlainFault, PlainOptions, PlainService};
pub use platform::Platform;
pub use platform_event::{PlatformEvent, PlatformRecord};
pub use platform_options::{ClassOptions, PlatformOptions, TargetKind};
pub use platform_store::{PlatformStore, StoreFault};
pub use platform_target::{PlatformTarget, TargetFault, TargetOptions};
pub use relay::Relay;
pub use scorer::{ScoreRequest, ScoreResponse, Scorer};
pub use scripted_target::{Ending, Script, ScriptedTarget};
pub use server::wall_ms;
pub use token::{answer_length, prompt_hash, token};
pub use udp_relay::UdpRelay;
