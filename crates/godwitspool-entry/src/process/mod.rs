//! What lives for the process.

pub(crate) mod entry;
pub(crate) mod shared;
