//! Detects unresponsive connections with an idle timeout that is learnt from the gaps between bytes.

use godwitspool_types::Millis;

/// What a read waits for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Wait {
    /// The first byte of an answer, which includes the time in the target's queue.
    FirstByte,
    /// The next byte of an answer that has begun.
    NextByte,
}

/// The idle timeout for one kind of read, learnt from the gaps between the bytes received.
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
    mean_gap_ms: f64,
    max_gap_ms: f64,
    wait: Wait,
}

impl IdleTimeout {
    /// Number of gaps from which on the timeout is derived from them.
    const MIN_GAPS: u32 = 8;
    /// Smallest timeout between bytes.
    const MIN_NEXT_BYTE_TIMEOUT: Millis = Millis(1_000);
    /// Smallest timeout for the first byte, which includes the time in the target's queue.
    const MIN_FIRST_BYTE_TIMEOUT: Millis = Millis(3_000);
    /// Largest timeout, also used until [`Self::MIN_GAPS`] gaps are known.
    const MAX_TIMEOUT: Millis = Millis(60_000);
    /// Multiple of the longest gap that the timeout allows for.
    const MAX_GAP_FACTOR: f64 = 6.0;
    /// Multiple of the mean gap that the timeout allows for.
    const MEAN_GAP_FACTOR: f64 = 25.0;
    /// Weight of a new gap in the moving mean.
    const MEAN_SMOOTHING: f64 = 0.05;
    /// Factor by which the longest gap decays with each further gap.
    const MAX_GAP_DECAY: f64 = 0.995;

    /// Creates a timeout that has seen no gaps yet.
    pub fn new(wait: Wait) -> Self {
        Self {
            count: 0,
            mean_gap_ms: 0.0,
            max_gap_ms: 0.0,
            wait,
        }
    }

    /// Creates a timeout that starts with the gaps seen by another stream of the same target.
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

    /// Records the gap before a byte that arrived.
    pub fn observe(&mut self, gap: Millis) {
        let gap_ms = gap.0 as f64;
        self.count = self.count.saturating_add(1);
        let weight = Self::MEAN_SMOOTHING.max(1.0 / f64::from(self.count));
        self.mean_gap_ms += (gap_ms - self.mean_gap_ms) * weight;
        self.max_gap_ms = (self.max_gap_ms * Self::MAX_GAP_DECAY).max(gap_ms);
    }

    /// Returns how long the connection may be idle before it times out.
    pub fn current(&self) -> Millis {
        if self.count < Self::MIN_GAPS {
            return Self::MAX_TIMEOUT;
        }
        // The mean of few gaps can be far below the true mean, so the timeout starts larger.
        let margin = 1.0 + f64::from(Self::MIN_GAPS) / f64::from(self.count);
        let learnt = (self.max_gap_ms * Self::MAX_GAP_FACTOR)
            .max(self.mean_gap_ms * Self::MEAN_GAP_FACTOR)
            * margin;
        let min = match self.wait {
            Wait::FirstByte => Self::MIN_FIRST_BYTE_TIMEOUT,
            Wait::NextByte => Self::MIN_NEXT_BYTE_TIMEOUT,
        };
        Millis(learnt as u64).clamp(min, Self::MAX_TIMEOUT)
    }
}

/// The state of a connection to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionState {
    /// Number that identifies the connection among those of its target.
    pub id: u64,
    /// When the last byte was received.
    pub last_byte: Millis,
    /// Idle timeout of its reads; `None` while the connection is idle in the pool.
    pub timeout: Option<IdleTimeout>,
}

/// What to do with a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAction {
    /// Close the connection and retry its request on another one.
    Close(u64),
    /// Ask the target over a new connection whether this one's request is still running.
    Probe(u64),
}

/// Checks the connections to one target for idle timeouts.
///
/// Only a connection that exceeds its own timeout is closed. If there is one, the others are
/// probed: those that have been idle for more than half of their timeout, and those in the pool.
///
/// ```
/// use godwitspool_request::{
///     ConnectionAction, ConnectionState, IdleTimeout, Wait, check_idle_connections,
/// };
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
