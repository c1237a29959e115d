//! The process's clock.

use std::time::Instant;

use godwitspool_types::Millis;

/// Tells the time since the process's start. Copies agree with each other.
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
    /// Makes a clock that begins at zero now.
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
