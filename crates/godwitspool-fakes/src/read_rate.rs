use std::time::{Duration, Instant};

/// Time of queued responses from which on further ones are refused, as in the protocol.
const MAX_QUEUED: Duration = Duration::from_secs(2);

/// A rate that responses share. Each is sent once those queued before it and it itself have been sent at
/// this rate, whether or not their callers still wait for them.
#[derive(Debug, Default)]
pub(crate) struct ReadRate {
    /// Without a rate every response is sent at once.
    bytes_per_s: Option<u64>,
    /// Time at which everything queued has been sent.
    free_at: Option<Instant>,
}

impl ReadRate {
    pub fn new(bytes_per_s: Option<u64>) -> Self {
        let free_at = None;
        Self {
            bytes_per_s,
            free_at,
        }
    }

    /// Queues a response and returns the time until it has been sent, or `None` if too much is queued.
    pub fn queue(&mut self, bytes: usize, now: Instant) -> Option<Duration> {
        let Some(bytes_per_s) = self.bytes_per_s else {
            return Some(Duration::ZERO);
        };
        let free_at = self.free_at.unwrap_or(now).max(now);
        if free_at - now > MAX_QUEUED {
            return None;
        }
        let own = Duration::from_secs_f64(bytes as f64 / bytes_per_s.max(1) as f64);
        self.free_at = Some(free_at + own);
        Some(free_at + own - now)
    }
}
