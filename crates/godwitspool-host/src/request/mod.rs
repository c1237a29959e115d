//! Handling of a caller's request for its whole duration.

mod forward;

pub use forward::{Ended, forward};
