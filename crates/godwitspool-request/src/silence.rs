//! Finds connections that went silent for good, by an idle bound learnt from the stream's timeout.

use godwitspool_types::Millis;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Wait {
    /// The first byte of an answer.
    FirstByte,
    /// The next byte of an answer that flows.
    NextByte,
}

/// The timeout of one kind of read, as the reads of a target have shown it.
///
/// ```
/// use godwitspool_request::{IdleTimeout, Wait};
/// use godwitspool_types::Millis;
///
/// let mut timeout = IdleTimeout::new(Wait::NextByte);
/// (0..100).for_each(|_| timeout.observe(Millis(50)));
/// assert!(timeout.current() < Millis(2_000));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct IdleTimeout {
    count: u32,
    mean_ms: f64,
    peak_ms: f64,
    wait: Wait,
}

impl IdleTimeout {
    /// Gaps before the bound rests on them.
    const ENOUGH: u32 = 8;
    /// Shortest bound between bytes.
    const SHORTEST_NEXT: Millis = Millis(1_000);
    /// Shortest bound for a first byte, which waits for the target's queue too.
    const SHORTEST_FIRST: Millis = Millis(3_000);
    /// Longest bound, which holds while the timeout isn't known.
    const LONGEST: Millis = Millis(60_000);
    /// How many times the longest gap is waited.
    const PEAKS: f64 = 6.0;
    /// How many times the mean gap is waited.
    const MEANS: f64 = 25.0;
    /// Weight of a new gap in the mean.
    const WEIGHT: f64 = 0.05;
    /// How much of the longest gap is left after another gap.
    const FADE: f64 = 0.995;

    /// Starts with nothing known.
    pub fn new(wait: Wait) -> Self {
        Self {
            count: 0,
            mean_ms: 0.0,
            peak_ms: 0.0,
            wait,
        }
    }

    /// Starts from what other streams of the target have shown.
    ///
    /// ```
    /// use godwitspool_request::{IdleTimeout, Wait};
    /// use godwitspool_types::Millis;
    ///
    /// let mut target = IdleTimeout::new(Wait::NextByte);
    /// (0..20).for_each(|_| target.observe(Millis(50)));
    /// assert_eq!(IdleTimeout::seeded_from(&target).current(), target.current());
    /// ```
    pub fn seeded_from(other: &Self) -> Self {
        other.clone()
    }

    /// Records the gap before a byte that came.
    pub fn observe(&mut self, gap: Millis) {
        let gap_ms = gap.0 as f64;
        self.count = self.count.saturating_add(1);
        let weight = Self::WEIGHT.max(1.0 / f64::from(self.count));
        self.mean_ms += (gap_ms - self.mean_ms) * weight;
        self.peak_ms = (self.peak_ms * Self::FADE).max(gap_ms);
    }

    /// Returns how long the connection may be idle before it is expired.
    pub fn current(&self) -> Millis {
        if self.count < Self::ENOUGH {
            return Self::LONGEST;
        }
        // A mean of few gaps may lie far below the true one.
        let doubt = 1.0 + f64::from(Self::ENOUGH) / f64::from(self.count);
        let learnt = (self.peak_ms * Self::PEAKS).max(self.mean_ms * Self::MEANS) * doubt;
        let shortest = match self.wait {
            Wait::FirstByte => Self::SHORTEST_FIRST,
            Wait::NextByte => Self::SHORTEST_NEXT,
        };
        Millis(learnt as u64).clamp(shortest, Self::LONGEST)
    }
}

/// A connection among those to one target.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionState {
    /// Identity of the connection.
    pub id: u64,
    /// When the last byte came.
    pub last_byte: Millis,
    /// IdleTimeout of its reads; `None` while the connection waits in the pool.
    pub timeout: Option<IdleTimeout>,
}

/// What is done about a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAction {
    /// The connection is closed and never used again; its work moves.
    Close(u64),
    /// The target is asked on a new connection whether the work of this one goes on.
    Probe(u64),
}

/// Decides on the connections to one target.
///
/// A connection that passes its own bound is expired alone. Its siblings are probed when they
/// have been quiet for half of their bound, or at once when they wait in the pool.
///
/// ```
/// use godwitspool_request::{check_idle_connections, ConnectionState, ConnectionAction, IdleTimeout, Wait};
/// use godwitspool_types::Millis;
///
/// let mut timeout = IdleTimeout::new(Wait::NextByte);
/// (0..80).for_each(|_| timeout.observe(Millis(50)));
/// let connections = [
///     ConnectionState { id: 1, last_byte: Millis(0), timeout: Some(timeout.clone()) },
///     ConnectionState { id: 2, last_byte: Millis(1_900), timeout: Some(timeout) },
///     ConnectionState { id: 3, last_byte: Millis(0), timeout: None },
/// ];
/// let actions = check_idle_connections(&connections, Millis(2_000));
/// assert_eq!(actions, [ConnectionAction::Close(1), ConnectionAction::Probe(3)]);
/// ```
pub fn check_idle_connections(
    connections: &[ConnectionState],
    now: Millis,
) -> Vec<ConnectionAction> {
    let idle = |connection: &ConnectionState| now - connection.last_byte;
    let expired = |connection: &ConnectionState| {
        connection
            .timeout
            .as_ref()
            .is_some_and(|timeout| idle(connection) > timeout.current())
    };
    if !connections.iter().any(expired) {
        return Vec::new();
    }
    let quiet = |connection: &ConnectionState| match &connection.timeout {
        Some(timeout) => idle(connection).0 * 2 > timeout.current().0,
        None => true,
    };
    connections
        .iter()
        .filter_map(|connection| {
            if expired(connection) {
                Some(ConnectionAction::Close(connection.id))
            } else {
                quiet(connection).then_some(ConnectionAction::Probe(connection.id))
            }
        })
        .collect()
}
