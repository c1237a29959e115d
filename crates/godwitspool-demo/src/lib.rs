//! Runs the whole system and the fakes around it in one process, over real sockets.
//!
//! [`run`] starts a host in each data centre of an operators' folder, a fake platform with its
//! targets, callers and trainers. It injects faults on a seeded schedule, records what callers,
//! trainers, targets and the platform observe, and checks the recorded history against the
//! system's promises. The command is `cargo run --release --bin godwitspool-demo`.
//!
//! ```
//! use godwitspool_demo::{FaultKind, plan};
//!
//! let faults = plan(7, &FaultKind::ALL, 20_000);
//! assert_eq!(faults, plan(7, &FaultKind::ALL, 20_000));
//! ```

mod caller;
mod client;
mod collect;
mod deployment;
mod error;
mod fault;
mod figures;
mod host;
mod inject;
mod operator;
mod options;
mod run;
mod system;
mod table;
mod trainer;

pub use error::DemoError;
pub use fault::{Fault, FaultKind, plan};
pub use figures::Figures;
pub use options::{Command, DemoOptions};
pub use run::{Outcome, run};
