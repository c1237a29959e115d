//! Policies compared over the same simulated work.

mod fleet;
mod scaling;

pub(crate) use scaling::run as scaling;
