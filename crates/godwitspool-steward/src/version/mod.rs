//! What lives for one version.

pub(crate) mod board;
pub(crate) mod leases;
pub(crate) mod lists;
pub(crate) mod orders;
pub(crate) mod usage;
pub(crate) mod weights;
