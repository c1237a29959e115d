//! State with the lifetime of one connection.

pub(crate) mod answer;
pub(crate) mod callers;
pub(crate) mod peers;
