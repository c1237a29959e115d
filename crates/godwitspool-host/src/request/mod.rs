//! Forwarding of callers' requests to targets, and the decision whether a process that ends soon
//! begins them.

mod drain;
mod forward;

pub use drain::{DurationEstimates, may_begin};
pub use forward::{Ended, forward};
