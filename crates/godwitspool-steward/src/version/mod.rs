//! State that follows the versions of the log.

pub(crate) mod current_view;
pub(crate) mod leases;
pub(crate) mod lists;
pub(crate) mod orders;
pub(crate) mod usage;
pub(crate) mod weights;
