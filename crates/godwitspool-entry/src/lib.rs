//! The entry daemon: callers, trainers, routing, streams and rollouts.
//!
//! An [`Entry`] answers callers over HTTP without calling the platform. All its information about
//! configuration, hosts and targets comes from stewards as a
//! [`View`](godwitspool_connection::messages::View).
//!
//! | module | lifetime of its state | contents |
//! |---|---|---|
//! | `request` | one request | authorization, routing, streams, refusals |
//! | `rollout` | one step | trainers' groups, samples and batches |
//! | `connection` | one connection | the callers' listener, answers, links to other entries |
//! | `version` | one version of the view | the feed from the stewards |
//! | `process` | the process | start, shared state, background threads, drain |

mod connection;
mod process;
mod request;
mod rollout;
mod version;

pub use process::entry::Entry;
