//! Modules whose state lives as long as one connection.

pub(crate) mod answers;
