//! The whole system and its stand-ins in one process, over real sockets.
//!
//! [`run`] starts a host of the system in each data centre of a folder, the platform with its
//! targets, callers and trainers, brings about faults by a seeded schedule and checks what both ends
//! observed. `cargo run --release --bin godwitspool-demo` is the command.
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
