//! Process-wide services: settings, timers, logs, metrics, membership and the log reader.
//!
//! Settings and the operators' folder are YAML. All mistakes in them are reported together, as
//! findings with file, line and column.
//!
//! ```
//! use godwitspool_process::{EntrySettings, Findings};
//!
//! let findings: Findings = EntrySettings::parse("entry.yaml", "drain: 30\n").unwrap_err();
//! assert!(findings.to_string().contains("entry.yaml:1:8: drain is 30, expected a duration"));
//! ```

mod clock;
mod daemon;
mod findings;
pub mod folder;
mod http_listener;
mod log_queue;
pub mod log_reader;
pub mod logs;
pub mod membership;
mod metrics;
mod operator_http;
mod panics;
mod program;
pub mod settings;
mod timer;
pub mod yaml;

pub use clock::Clock;
pub use daemon::{DaemonCommand, Termination};
pub use findings::Findings;
pub use http_listener::HttpListener;
pub use log_queue::{LogQueue, LogRateLimit, install_queue};
pub use metrics::{CounterByReason, CounterSample, Metrics};
pub use operator_http::{OperatorApi, OperatorHttp, Readiness};
pub use panics::{ExitOnPanic, log_panics};
pub use program::Program;
pub use prometheus_client::metrics::{gauge::Gauge, histogram::Histogram};
pub use settings::{EntrySettings, LogFormat, StewardSettings};
pub use timer::{Tick, Timer};
