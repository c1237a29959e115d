use godwitspool_types::Millis;

/// Minimum time without data after which a run is moved. It is long compared with the interval
/// between events, so that a burst of prompts at a target doesn't move its runs.
const MIN_SILENCE: Millis = Millis(500);
/// Time without data after which a run is moved, as a multiple of the median interval.
const SILENCE_FACTOR: f64 = 10.0;
/// Time without a response after which a run moves from a target with a full queue to one with a
/// free slot.
const MAX_QUEUE_WAIT: Millis = Millis(800);
/// Number of events from which on a run's smoothed interval is meaningful.
const MIN_EVENTS: u32 = 4;
/// A run whose interval exceeds the median by this factor is moved: the other target needs only a
/// few milliseconds to process the tokens generated so far.
const SLOW_FACTOR: f64 = 1.8;
/// Maximum number of moves of an item. Each move doubles the tolerated time without data.
const MAX_MOVES: u32 = 6;
/// Weight of the newest interval in the smoothed one.
const INTERVAL_SMOOTHING: f64 = 0.25;

/// The rate at which a run's events arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    /// Smoothed interval between events, in milliseconds.
    pub interval_ms: f64,
    /// Number of events that the run has produced.
    pub events: u32,
}

impl Pace {
    /// Adds events that arrived together, `since_last` after the previous data.
    pub fn push(&mut self, events: u32, since_last: Millis) {
        if events == 0 {
            return;
        }
        let interval = since_last.0 as f64 / f64::from(events);
        self.interval_ms = if self.events == 0 {
            interval
        } else {
            self.interval_ms + INTERVAL_SMOOTHING * (interval - self.interval_ms)
        };
        self.events += events;
    }
}

/// The state of a run on which [`decide_move`] decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunView {
    /// Whether the target's response has begun.
    pub answering: bool,
    /// Time since the last data arrived.
    pub silent: Millis,
    /// Rate of the run's events.
    pub pace: Pace,
    /// Median interval between events at the service's targets, in milliseconds; `None` if unknown.
    pub median_ms: Option<f64>,
    /// Number of earlier moves of the item.
    pub moves: u32,
}

/// Why a run is moved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Move {
    /// The target's response has not begun.
    Queued,
    /// The target has stopped sending data.
    Silent,
    /// The target sends events much slower than the median.
    Slow,
}

/// Decides whether a run moves to another target that has a free slot.
///
/// Load pattern: a group is complete when its longest item is done, while some targets are slow,
/// are loading weights, or have crashed without closing their connections. The other target
/// processes the tokens generated so far within a few milliseconds, so a move costs less than
/// waiting for a second.
///
/// ```
/// use godwitspool_host::batch::{Move, Pace, RunView, decide_move};
/// use godwitspool_types::Millis;
///
/// let run = RunView {
///     answering: true,
///     silent: Millis(20),
///     pace: Pace { interval_ms: 160.0, events: 10 },
///     median_ms: Some(40.0),
///     moves: 0,
/// };
/// assert_eq!(decide_move(&run), Some(Move::Slow));
/// ```
pub fn decide_move(run: &RunView) -> Option<Move> {
    if run.moves >= MAX_MOVES {
        return None;
    }
    let scale = 1 << run.moves;
    if !run.answering {
        return (run.silent.0 > MAX_QUEUE_WAIT.0 * scale).then_some(Move::Queued);
    }
    let median = run.median_ms.unwrap_or_default();
    let bound = MIN_SILENCE.0.max((median * SILENCE_FACTOR) as u64);
    if run.silent.0 > bound * scale {
        return Some(Move::Silent);
    }
    let reliable = run.pace.events >= MIN_EVENTS && median > 0.0;
    (reliable && run.pace.interval_ms > median * SLOW_FACTOR).then_some(Move::Slow)
}

/// Returns the median of the targets' intervals between events.
pub fn median_pace(mut paces: Vec<f64>) -> Option<f64> {
    paces.sort_by(f64::total_cmp);
    // For an even number the lower middle value is used, so that slow targets weigh less.
    paces.get(paces.len().saturating_sub(1) / 2).copied()
}
