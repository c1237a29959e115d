//! What lives for one version.

pub(crate) mod board;
pub(crate) mod follow;
