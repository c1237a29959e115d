use std::ops::RangeInclusive;

use godwitspool_types::Millis;
use rapidhash::v3::rapidhash_v3;

/// Maximum number of reads at once.
const MAX_RUNNING: usize = 2;
/// Longest pauses after the first failure, and after many.
const PAUSES: RangeInclusive<Millis> = Millis(500)..=Millis(8_000);

/// Which reads of the store a host makes on behalf of callers. Times are by any clock that doesn't go back.
///
/// Load pattern: the store's reads share a rate, and it spends the rate on reads that their host has given up
/// as well. Behind a restart of all hosts each of them asks the store for each of its callers, who come back
/// at once, so that no read is answered in time any more, nor those with which owners load their
/// partitions. So a host makes few reads at once, and none for a while after one that failed.
///
/// ```
/// use godwitspool_host::process::{ReadStart, StoreReads};
/// use godwitspool_types::Millis;
///
/// let mut reads = StoreReads::new(7);
/// let ReadStart::Begun(first) = reads.start(Millis(0)) else {
///     panic!("a place is free");
/// };
/// assert!(matches!(reads.start(Millis(0)), ReadStart::Begun(_)));
/// assert_eq!(reads.start(Millis(0)), ReadStart::Full);
///
/// reads.finish(first, false, Millis(700));
/// let ReadStart::Paused { left } = reads.start(Millis(700)) else {
///     panic!("a read has failed");
/// };
/// let ReadStart::Begun(trial) = reads.start(Millis(700) + left) else {
///     panic!("the pause is over");
/// };
/// assert!(matches!(reads.start(Millis(700) + left), ReadStart::Paused { .. }));
/// reads.finish(trial, true, Millis(1_300));
/// assert!(matches!(reads.start(Millis(1_300)), ReadStart::Begun(_)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StoreReads {
    /// Distinguishes hosts, so that their pauses don't end together.
    seed: u64,
    /// Number of reads that run.
    running: usize,
    /// Number of failures since the last success.
    failures: u32,
    /// When the pause ends, if reads fail.
    until: Millis,
    /// Whether the read behind a pause runs.
    trying: bool,
}

/// A read that was begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartedRead {
    /// Number of failures at its start.
    failures: u32,
}

/// Whether a read may begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadStart {
    /// It has begun.
    Begun(StartedRead),
    /// Too many run; it may begin when one of them ends.
    Full,
    /// Reads fail, so it is refused.
    Paused {
        /// Time until a read may begin.
        left: Millis,
    },
}

/// What the end of a read has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadChange {
    /// Nothing.
    None,
    /// A pause has begun, the first one or a further one.
    Paused {
        /// Number of failures in a row.
        failures: u32,
        /// Length of the pause.
        pause: Millis,
    },
    /// Reads succeed again.
    Resumed {
        /// Number of failures in a row before.
        failures: u32,
    },
}

impl StoreReads {
    /// Creates the state of a host without reads. `seed` is a number that distinguishes hosts.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Begins a read if it may. Each read that has begun must be [finished](Self::finish).
    pub fn start(&mut self, now: Millis) -> ReadStart {
        if self.failures > 0 {
            if now < self.until {
                let left = self.until - now;
                return ReadStart::Paused { left };
            }
            if self.trying {
                let left = *PAUSES.start();
                return ReadStart::Paused { left };
            }
        }
        if self.running >= MAX_RUNNING {
            return ReadStart::Full;
        }
        self.running += 1;
        self.trying = self.failures > 0;
        ReadStart::Begun(StartedRead {
            failures: self.failures,
        })
    }

    /// Ends a read. `answered` tells whether the store has answered.
    pub fn finish(&mut self, read: StartedRead, answered: bool, now: Millis) -> ReadChange {
        self.running = self.running.saturating_sub(1);
        if read.failures != self.failures {
            // It began before the newest pause, which already stands for its outcome.
            return ReadChange::None;
        }
        self.trying = false;
        if answered {
            let failures = std::mem::take(&mut self.failures);
            return match failures {
                0 => ReadChange::None,
                failures => ReadChange::Resumed { failures },
            };
        }
        self.failures = self.failures.saturating_add(1);
        let pause = self.pause();
        self.until = now + pause;
        ReadChange::Paused {
            failures: self.failures,
            pause,
        }
    }

    /// Returns the length of the pause after the newest failure: between three quarters of the longest one
    /// and all of it, differently at each host.
    fn pause(&self) -> Millis {
        let doublings = self.failures.saturating_sub(1).min(16);
        let longest = (PAUSES.start().0 << doublings).min(PAUSES.end().0);
        let hash = rapidhash_v3(format!("{}@{}", self.seed, self.failures).as_bytes());
        Millis(longest - hash % (longest / 4 + 1))
    }
}
