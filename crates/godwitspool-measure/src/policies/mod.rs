//! Scaling policies, compared on the same simulated workload.

mod fleet;
mod scaling;

pub(crate) use scaling::run as scaling;
