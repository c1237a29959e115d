//! What lives for one connection.

pub(crate) mod answer;
pub(crate) mod callers;
pub(crate) mod peers;
