//! What lives for a step: trainers' groups, samples and batches.
//!
//! [`rollouts`](rollouts::Rollouts) holds every trainer's steps and carries out what they decide,
//! `dispatch` starts samples on targets and moves those that are late, `stream` makes one sample.

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
