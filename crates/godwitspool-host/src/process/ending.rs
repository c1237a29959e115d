use std::{
    io,
    os::fd::BorrowedFd,
    sync::{
        OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::http::{Interest, Waker};

/// Retry delay sent to the caller if the process ends before the request could be finished. Other
/// hosts serve it at once.
pub const RETRY_AFTER_END: Duration = Duration::from_millis(50);
/// Largest part of the grace period that is reserved for process exit before SIGKILL. With the reserve for
/// answers it is less than a sixth of 8 s: the platform counts answers that are cut before the last sixth.
const EXIT_RESERVE: Duration = Duration::from_millis(900);
/// Largest part of the grace period between the last answers and the end of the process, for sending
/// them and for usage counts.
const ANSWER_RESERVE: Duration = Duration::from_millis(400);
/// Time after SIGTERM during which new connections must still be accepted. The platform probes
/// readiness once per second and stops routing to a host after two failed probes.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_500);
/// Each reserve is at most the time divided by this, so that a short grace period is used too.
const RESERVE_DIVISOR: u32 = 4;

/// Times after SIGTERM at which the steps of a drain happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainPlan {
    /// The listener and idle connections are closed.
    pub close: Duration,
    /// All requests must have been answered.
    pub last_answer: Duration,
    /// The process ends.
    pub end: Duration,
}

impl DrainPlan {
    /// Plans the drain for a grace period.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use godwitspool_host::process::DrainPlan;
    ///
    /// let plan = DrainPlan::new(Duration::from_secs(8));
    /// assert_eq!(plan.end, Duration::from_millis(7_100));
    /// assert_eq!(plan.last_answer, Duration::from_millis(6_700));
    /// let short = DrainPlan::new(Duration::from_secs(1));
    /// assert!(short.close < short.last_answer && short.last_answer < short.end);
    /// ```
    pub fn new(grace: Duration) -> Self {
        let end = grace.saturating_sub(EXIT_RESERVE.min(grace / RESERVE_DIVISOR));
        let last_answer = end.saturating_sub(ANSWER_RESERVE.min(end / RESERVE_DIVISOR));
        Self {
            close: DEREGISTRATION_DELAY.min(end / 2),
            last_answer,
            end,
        }
    }
}

/// The end of the process as seen by the requests in flight.
#[derive(Debug)]
pub struct Ending {
    last_answer: OnceLock<Instant>,
    /// Whether callers are no longer served.
    served: AtomicBool,
    waker: Waker,
}

impl Ending {
    /// Creates the state of a process whose end isn't known.
    ///
    /// # Errors
    ///
    /// Fails if no pipe can be created.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            last_answer: OnceLock::new(),
            served: AtomicBool::new(false),
            waker: Waker::new()?,
        })
    }

    /// Sets the time by which all requests must be answered, and wakes those that wait. Later calls
    /// have no effect.
    pub fn announce(&self, last_answer: Instant) {
        if self.last_answer.set(last_answer).is_ok() {
            self.waker.wake();
        }
    }

    /// Returns the time by which all requests must be answered, once the process drains.
    pub fn last_answer(&self) -> Option<Instant> {
        self.last_answer.get().copied()
    }

    /// Returns a socket that becomes readable when the process starts to drain; `None` if it does so
    /// already.
    pub fn socket(&self) -> Option<(BorrowedFd<'_>, Interest)> {
        let unknown = self.last_answer.get().is_none();
        unknown.then(|| self.waker.socket())
    }

    /// Records that no caller is served any more, so that no request is counted later.
    pub fn finish_service(&self) {
        self.served.store(true, Ordering::SeqCst);
    }

    /// Returns whether no caller is served any more.
    pub fn is_service_finished(&self) -> bool {
        self.served.load(Ordering::SeqCst)
    }
}
