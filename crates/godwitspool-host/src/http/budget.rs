//! Who is refused or closed first when callers want more than the machine has.
//!
//! Decisions only: connections and times go in, the connection to end comes out.

use std::{collections::HashMap, net::IpAddr, time::Duration};

use godwitspool_types::Millis;

use super::Phase;

/// Bytes of a request that the share of its connection covers, so that ordinary requests need none of
/// the budget.
pub const COVERED_BYTES: usize = 32 * 1024;
/// Holders above this size count as large: they are refused for others, and leave the last part of the
/// budget to them. Small holders on all of a machine's connections take a quarter of its budget.
pub const LARGE_BYTES: usize = 64 * 1024;
/// Part of the budget that large holders leave to others. With a sixteenth, a submission of the largest
/// legal size, which needs 1.75 times its size while it is decoded, still fits on a machine of 120 MB.
const ORDINARY_DIVISOR: usize = 16;
/// Time without progress after which a caller counts as stalled. Senders repeat lost data after 200 ms
/// at first, so one that is only slow has sent something by then.
const STALL_TIME: Millis = Millis(1_000);

/// A connection that may be ended in favour of another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Number of the connection.
    pub number: u64,
    /// Address of the caller.
    pub address: IpAddr,
    /// What the connection is doing.
    pub phase: Phase,
    /// Bytes of the budget that it holds.
    pub bytes: usize,
    /// Number of requests that it has been answered.
    pub answered: u64,
    /// Time since its request began.
    pub age: Millis,
    /// Time since bytes last went in either direction.
    pub quiet: Millis,
}

impl Candidate {
    /// Returns the bytes per second that it has sent, if it is old enough to tell.
    fn rate(&self) -> Option<u64> {
        (self.age >= STALL_TIME).then(|| self.bytes as u64 * 1_000 / self.age.0)
    }

    /// Returns whether ending it breaks no promise: its request was not read whole, or its response
    /// stands still.
    fn may_end(&self) -> bool {
        match self.phase {
            Phase::Idle | Phase::Reading => true,
            Phase::Responding => self.quiet >= STALL_TIME,
            Phase::Handling | Phase::Closed => false,
        }
    }
}

/// Chooses the connection that gives its memory up so that the one with the number `asking` gets some.
/// The result may be `asking` itself; `None` if nobody can give any up.
///
/// Answers the load pattern of callers that send large bodies at once and stop just short of their end:
/// of the caller that holds most, the one that has stalled longest goes first, then the slowest. Callers
/// that began less than a second ago can't be told apart yet, so the one that asks goes.
pub fn choose_refused(candidates: &[Candidate], asking: u64) -> Option<u64> {
    let large = || {
        let ended = candidates.iter().filter(|candidate| candidate.may_end());
        ended.filter(|candidate| candidate.bytes > LARGE_BYTES || candidate.number == asking)
    };
    let mut held: HashMap<IpAddr, usize> = HashMap::new();
    for candidate in large() {
        *held.entry(candidate.address).or_default() += candidate.bytes;
    }
    let most = held
        .into_iter()
        .max_by_key(|(address, bytes)| (*bytes, *address))?;
    let of_most = || large().filter(|candidate| candidate.address == most.0);
    let stalled = of_most()
        .filter(|candidate| candidate.quiet >= STALL_TIME && candidate.bytes > LARGE_BYTES)
        .max_by_key(|candidate| (candidate.quiet, candidate.bytes, candidate.number));
    let slowest = || {
        let rated = of_most().filter_map(|candidate| Some((candidate.rate()?, candidate)));
        let first = rated.min_by_key(|(rate, candidate)| (*rate, candidate.number));
        first.map(|(_, candidate)| candidate)
    };
    let chosen = stalled.or_else(slowest).map(|candidate| candidate.number);
    chosen.or_else(|| large().map(|own| own.number).find(|own| *own == asking))
}

/// Chooses the connection that is closed so that a new one can be accepted; `None` if all of them have
/// requests in progress. `only` is the address whose own bound is reached, if it is one.
///
/// Answers the load pattern of callers that open connections and send nothing, or heads without end: of
/// the address with most connections, those that have never been answered a request go first, and
/// among them the one without progress for longest.
pub fn choose_closed(candidates: &[Candidate], only: Option<IpAddr>) -> Option<u64> {
    let ended = || candidates.iter().filter(|candidate| candidate.may_end());
    let mut counts: HashMap<IpAddr, usize> = HashMap::new();
    for candidate in ended() {
        *counts.entry(candidate.address).or_default() += 1;
    }
    let most = counts
        .into_iter()
        .max_by_key(|(address, count)| (*count, *address))
        .map(|(address, _)| address);
    let address = only.or(most)?;
    let least = ended()
        .filter(|candidate| candidate.address == address)
        .max_by_key(|candidate| (candidate.answered == 0, candidate.quiet, candidate.number));
    least.map(|candidate| candidate.number)
}

/// Returns whether a transfer has been slower than the minimum rate for longer than the grace time. A
/// rate of 0 allows any.
///
/// Answers the load pattern of callers that send or read a byte now and then, so that no timeout between
/// two reads expires.
///
/// ```
/// use std::time::Duration;
///
/// use godwitspool_host::http::is_too_slow;
///
/// let grace = Duration::from_secs(15);
/// assert!(!is_too_slow(100, Duration::from_secs(14), grace, 8_192));
/// assert!(is_too_slow(100, Duration::from_secs(16), grace, 8_192));
/// assert!(!is_too_slow(8_192 * 2, Duration::from_secs(16), grace, 8_192));
/// ```
pub fn is_too_slow(bytes: usize, elapsed: Duration, grace: Duration, rate: u64) -> bool {
    let beyond = elapsed.saturating_sub(grace);
    rate > 0 && !beyond.is_zero() && (bytes as f64) < beyond.as_secs_f64() * rate as f64
}

/// The bytes of a budget that are taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ledger {
    total: usize,
    used: usize,
    /// The most bytes that were taken since [`give`](Self::give) last returned true.
    peak: usize,
}

impl Ledger {
    /// Creates the ledger of a budget of which nothing is taken.
    pub fn new(total: usize) -> Self {
        Self {
            total,
            used: 0,
            peak: 0,
        }
    }

    /// Takes bytes for a holder that then has `held` of them. Returns false and takes none if the
    /// budget doesn't have them.
    ///
    /// ```
    /// use godwitspool_host::http::Ledger;
    ///
    /// let mut ledger = Ledger::new(16 << 20);
    /// assert!(ledger.take(15 << 20, 15 << 20));
    /// assert!(!ledger.take(1 << 20, 1 << 20), "the last part is for ordinary requests");
    /// assert!(ledger.take(64 << 10, 64 << 10));
    /// ```
    pub fn take(&mut self, bytes: usize, held: usize) -> bool {
        let fits = self.fits(bytes, held);
        if fits {
            self.used += bytes;
            self.peak = self.peak.max(self.used);
        }
        fits
    }

    /// Returns whether [`take`](Self::take) would succeed.
    pub fn fits(&self, bytes: usize, held: usize) -> bool {
        let reserved = if held > LARGE_BYTES {
            self.total / ORDINARY_DIVISOR
        } else {
            0
        };
        self.used.saturating_add(bytes) <= self.total - reserved
    }

    /// Gives bytes back. Returns whether a crowd has gone, so that the allocator should give free memory
    /// back to the system: a quarter of the budget was taken, and no more than a sixteenth is now.
    pub fn give(&mut self, bytes: usize) -> bool {
        self.used = self.used.saturating_sub(bytes);
        let gone = self.peak >= self.total / 4 && self.used <= self.total / 16;
        if gone {
            self.peak = self.used;
        }
        gone
    }
}
