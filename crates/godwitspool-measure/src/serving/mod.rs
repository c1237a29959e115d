//! Policies for interactive requests, compared with simple baselines.

mod admission;
mod decisions;
mod fleet;
mod herd;
mod latency;
mod poison;
mod retries;
mod silence;

pub(crate) use admission::run as admission;
pub(crate) use decisions::run as decisions;
pub(crate) use herd::run as herd;
pub(crate) use latency::run as latency;
pub(crate) use poison::run as poison;
pub(crate) use retries::run as retries;
pub(crate) use silence::run as silence;
