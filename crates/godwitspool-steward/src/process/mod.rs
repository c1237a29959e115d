//! What lives for the process.

mod operators;
mod outbox;
pub(crate) mod shared;
pub(crate) mod steward;
