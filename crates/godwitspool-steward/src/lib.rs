//! The steward daemon: leases, target orders, usage windows, weight rollout and configuration
//! snapshots.
//!
//! A [`Steward`] runs on every entry host. It folds the platform's log, polls the platform's lists
//! of targets and hosts, and serves entries the [`View`](godwitspool_connection::messages::View)
//! that they route requests by.
//!
//! | module | lifetime of its state |
//! |---|---|
//! | `connection` | one connection: requests of entries and other stewards |
//! | `version` | one version: the view, and the leases, orders, usage and weights that follow the log |
//! | `process` | the process: start, shared state, threads, stop |

mod connection;
mod process;
mod version;

pub use process::steward::Steward;
