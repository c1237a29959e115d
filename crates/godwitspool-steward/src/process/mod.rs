//! State with the lifetime of the process.

mod operators;
mod outbox;
pub(crate) mod shared;
pub(crate) mod steward;
