//! State with the lifetime of a training step: trainers' groups, samples and batches.
//!
//! [`Rollouts`](rollouts::Rollouts) keeps every trainer's steps and executes the actions that they
//! decide. `dispatch` starts samples on targets, `moves` moves or hedges late samples, and `stream`
//! generates one sample on one target.

pub(crate) mod dispatch;
pub(crate) mod journal;
mod moves;
mod outbox;
pub(crate) mod peers;
mod portions;
pub(crate) mod ranking;
mod reports;
pub(crate) mod rollouts;
mod running;
mod scores;
mod stream;
pub(crate) mod trainers;
mod wire;
