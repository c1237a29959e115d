//! What lives for the process.

pub(crate) mod steward;
