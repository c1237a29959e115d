//! Forwarding of callers' requests to targets.

mod forward;

pub use forward::{Ended, forward};
