//! Modules whose state lives as long as the process.

mod operators;
mod outbox;
pub(crate) mod shared;
pub(crate) mod steward;
