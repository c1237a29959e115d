//! The steward daemon: leases, target orders, usage windows, weight rollout and configuration
//! snapshots.
//!
//! A [`Steward`] runs on every entry host. It folds the platform's log, follows the platform's lists
//! and gives entries the [`View`](godwitspool_connection::messages::View) that they serve by.
//!
//! | module | lives for |
//! |---|---|
//! | `connection` | one connection: what entries and other stewards ask |
//! | `version` | one version: the view and the fold behind it |
//! | `process` | the process: start, threads, stop |

mod connection;
mod process;
mod version;

pub use process::steward::Steward;
