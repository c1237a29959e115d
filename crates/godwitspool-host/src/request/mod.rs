//! What lives for a request of a caller.

mod forward;

pub use forward::{Ended, forward};
