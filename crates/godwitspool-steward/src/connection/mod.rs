//! State with the lifetime of one connection.

pub(crate) mod answers;
