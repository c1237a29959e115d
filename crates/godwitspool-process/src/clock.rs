//! The monotonic clock of a process.

use std::time::Instant;

use godwitspool_types::Millis;

/// A monotonic clock that counts from its start. All copies of it return the same time.
///
/// ```
/// use godwitspool_process::Clock;
///
/// let clock = Clock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Millis {
        self.origin.elapsed().into()
    }
}
