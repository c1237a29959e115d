//! Finds connections that went silent for good, by an idle bound learnt from the stream's pace.

use godwitspool_types::Millis;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Wait {
    /// The first byte of an answer.
    First,
    /// The next byte of an answer that flows.
    Next,
}

/// The pace of one kind of read, as the reads of a target have shown it.
///
/// ```
/// use godwitspool_request::{Pace, Wait};
/// use godwitspool_types::Millis;
///
/// let mut pace = Pace::new(Wait::Next);
/// (0..100).for_each(|_| pace.observe(Millis(50)));
/// assert!(pace.bound() < Millis(2_000));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    count: u32,
    mean_ms: f64,
    peak_ms: f64,
    wait: Wait,
}

impl Pace {
    /// Gaps before the bound rests on them.
    const ENOUGH: u32 = 8;
    /// Shortest bound between bytes.
    const SHORTEST_NEXT: Millis = Millis(1_000);
    /// Shortest bound for a first byte, which waits for the target's queue too.
    const SHORTEST_FIRST: Millis = Millis(3_000);
    /// Longest bound, which holds while the pace isn't known.
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
    /// use godwitspool_request::{Pace, Wait};
    /// use godwitspool_types::Millis;
    ///
    /// let mut target = Pace::new(Wait::Next);
    /// (0..20).for_each(|_| target.observe(Millis(50)));
    /// assert_eq!(Pace::like(&target).bound(), target.bound());
    /// ```
    pub fn like(other: &Self) -> Self {
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

    /// Returns how long the connection may be idle before it is condemned.
    pub fn bound(&self) -> Millis {
        if self.count < Self::ENOUGH {
            return Self::LONGEST;
        }
        // A mean of few gaps may lie far below the true one.
        let doubt = 1.0 + f64::from(Self::ENOUGH) / f64::from(self.count);
        let learnt = (self.peak_ms * Self::PEAKS).max(self.mean_ms * Self::MEANS) * doubt;
        let shortest = match self.wait {
            Wait::First => Self::SHORTEST_FIRST,
            Wait::Next => Self::SHORTEST_NEXT,
        };
        Millis(learnt as u64).clamp(shortest, Self::LONGEST)
    }
}

/// A connection among those to one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Identity of the connection.
    pub id: u64,
    /// When the last byte came.
    pub heard: Millis,
    /// Pace of its reads; `None` while the connection waits in the pool.
    pub pace: Option<Pace>,
}

/// What is done about a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineAction {
    /// The connection is closed and never used again; its work moves.
    Condemn(u64),
    /// The target is asked on a new connection whether the work of this one goes on.
    Probe(u64),
}

/// Decides on the connections to one target.
///
/// A connection that passes its own bound is condemned alone. Its siblings are probed when they
/// have been quiet for half of their bound, or at once when they wait in the pool.
///
/// ```
/// use godwitspool_request::{decide_silence, Line, LineAction, Pace, Wait};
/// use godwitspool_types::Millis;
///
/// let mut pace = Pace::new(Wait::Next);
/// (0..80).for_each(|_| pace.observe(Millis(50)));
/// let lines = [
///     Line { id: 1, heard: Millis(0), pace: Some(pace.clone()) },
///     Line { id: 2, heard: Millis(1_900), pace: Some(pace) },
///     Line { id: 3, heard: Millis(0), pace: None },
/// ];
/// let actions = decide_silence(&lines, Millis(2_000));
/// assert_eq!(actions, [LineAction::Condemn(1), LineAction::Probe(3)]);
/// ```
pub fn decide_silence(lines: &[Line], now: Millis) -> Vec<LineAction> {
    let idle = |line: &Line| now - line.heard;
    let condemned = |line: &Line| {
        line.pace
            .as_ref()
            .is_some_and(|pace| idle(line) > pace.bound())
    };
    if !lines.iter().any(condemned) {
        return Vec::new();
    }
    let quiet = |line: &Line| match &line.pace {
        Some(pace) => idle(line).0 * 2 > pace.bound().0,
        None => true,
    };
    lines
        .iter()
        .filter_map(|line| {
            if condemned(line) {
                Some(LineAction::Condemn(line.id))
            } else {
                quiet(line).then_some(LineAction::Probe(line.id))
            }
        })
        .collect()
}
