//! What lives for a request: whose it is, whether it is admitted, where it goes, and what follows
//! a failure.
//!
//! Everything here decides over plain data: states, events and the time go in, actions come out.
//! No clock, socket or lock is used, so the same code runs in the entry daemon, in tests and in the
//! measurements.
//!
//! ```
//! use godwitspool_request::{Reason, Refusal};
//!
//! let refusal = Refusal::from(Reason::QueueFull);
//! assert_eq!(refusal.to_string(), "queue-full (not-run)");
//! ```

mod breaker;
mod keys;
mod refusal;
mod rendezvous;
mod resume;
mod retry;
mod silence;

pub use breaker::{Breaker, Health};
pub use keys::{Caller, KeyTable};
pub use refusal::{Reason, Refusal};
pub use rendezvous::{homes, stable_hash};
pub use resume::{Piece, Stitch, Stitched};
pub use retry::{Attempts, RetryBudget, RetryReason, Verdict};
pub use silence::{Line, LineAction, Pace, Wait, decide_silence};
