//! Forwarding of callers' requests to targets, their queue, and the decision whether a process that ends soon
//! begins them.

mod admission;
mod drain;
mod forward;
mod repeats;

pub use admission::{Admitted, Arrival, Queues, Waiting};
pub use drain::{DurationEstimates, may_begin};
pub use forward::{Ended, forward};
pub use repeats::Repeats;
