//! What lives for a step: trainers' groups, samples and batches.

pub(crate) mod peers;
pub(crate) mod trainers;
