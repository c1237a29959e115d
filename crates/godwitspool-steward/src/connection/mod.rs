//! What lives for one connection.

pub(crate) mod answers;
