//! The entry daemon: callers, trainers, routing, streams and rollouts.
//!
//! An [`Entry`] answers callers over HTTP and needs nothing of the platform while it does: all that
//! it knows comes from stewards as a [`View`](godwitspool_connection::messages::View).
//!
//! | module | lives for |
//! |---|---|
//! | `request` | one request: authorization, routing, streams, refusals |
//! | `rollout` | one step: trainers' groups, samples and batches |
//! | `connection` | one connection: the callers' listener and their answers |
//! | `version` | one version of the view |
//! | `process` | the process: start, shared state, drain |

mod connection;
mod process;
mod request;
mod rollout;
mod version;

pub use process::entry::Entry;
