//! State with the lifetime of the process.

pub(crate) mod billing;
pub(crate) mod demand;
pub(crate) mod entry;
pub(crate) mod operators;
pub(crate) mod serving;
pub(crate) mod shared;
pub(crate) mod upkeep;
