use std::time::Duration;

/// Pauses between the attempts of a call to the store, each twice as long as the one before.
///
/// Load pattern: the pages from which owners load their partitions share the store's rate. If there is more
/// to load than it sends in time, attempts at short intervals add to what it can't send. Appends and reads
/// of new records are small and urgent, so their pauses stay short.
///
/// ```
/// use std::time::Duration;
///
/// use godwitspool_host::batch::Backoff;
///
/// let mut backoff = Backoff::CALL;
/// let pauses: Vec<Duration> = (0..5).map(|_| backoff.pause()).collect();
/// assert_eq!(pauses, [50, 100, 200, 400, 400].map(Duration::from_millis));
/// let mut backoff = Backoff::LOAD;
/// assert_eq!((0..9).map(|_| backoff.pause()).max(), Some(Duration::from_secs(2)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    /// Pauses of appends and of reads of new records.
    pub const CALL: Self = Self {
        next: Duration::from_millis(50),
        max: Duration::from_millis(400),
    };
    /// Pauses of the reads that load a partition.
    pub const LOAD: Self = Self {
        next: Duration::from_millis(50),
        max: Duration::from_secs(2),
    };

    /// Returns the next pause.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (2 * pause).min(self.max);
        pause
    }
}
