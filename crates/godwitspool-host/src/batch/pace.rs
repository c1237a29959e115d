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
/// Minimum time that a move of a slow run must save, in milliseconds. The times are estimates, and
/// each move is one more request at the targets.
const MIN_GAIN_MS: f64 = 1_000.0;
/// Minimum part of the remaining time that a move of a slow run must save, as for the stragglers of
/// `godwitspool-rollout`: below it runs move back and forth.
const MIN_GAIN_RATIO: f64 = 0.4;
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
    /// Expected time until the run ends at its target, in milliseconds.
    pub here_ms: f64,
    /// Expected time until the item ends if it moves, with reading the prompt and the output so far and
    /// the time until the first event, in milliseconds; `None` if no other target can run it now.
    pub there_ms: Option<f64>,
    /// Expected time until the other items of its group end, in milliseconds.
    pub group_ms: f64,
}

/// Why a run is moved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Move {
    /// The target's response has not begun.
    Queued,
    /// The target has stopped sending data.
    Silent,
    /// The item is expected to end much sooner at another target.
    Slow,
}

impl Move {
    /// Returns the label value in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Silent => "silent",
            Self::Slow => "slow",
        }
    }
}

/// Decides whether a run moves to another target that has a free slot.
///
/// Load pattern: a group is complete when its longest item is done, while some targets are slow by
/// nature or disturbed for seconds, are loading weights, or have crashed without closing their
/// connections. A run that is behind the rest of its group moves if what is left of it ends much
/// sooner elsewhere, so a run that is nearly done or no later than its group stays even at a slow
/// target. Each move repeats the reading of the prompt, and is one more request.
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
///     here_ms: 3_200.0,
///     there_ms: Some(850.0),
///     group_ms: 400.0,
/// };
/// assert_eq!(decide_move(&run), Some(Move::Slow));
/// let behind = RunView { group_ms: 3_000.0, ..run };
/// assert_eq!(decide_move(&behind), None);
/// ```
pub fn decide_move(run: &RunView) -> Option<Move> {
    if run.moves >= MAX_MOVES {
        return None;
    }
    let scale = 1_u32 << run.moves;
    if !run.answering {
        return (run.silent.0 > MAX_QUEUE_WAIT.0 * u64::from(scale)).then_some(Move::Queued);
    }
    let median = run.median_ms.unwrap_or_default();
    let bound = MIN_SILENCE.0.max((median * SILENCE_FACTOR) as u64);
    if run.silent.0 > bound * u64::from(scale) {
        return Some(Move::Silent);
    }
    let there_ms = run.there_ms.filter(|_| run.pace.events >= MIN_EVENTS)?;
    let gain = run.here_ms - there_ms.max(run.group_ms);
    let least = (MIN_GAIN_MS * f64::from(scale)).max(run.here_ms * MIN_GAIN_RATIO);
    (gain >= least).then_some(Move::Slow)
}

/// Returns whether a run may be worth a look for a faster target: it isn't ahead of its group, and has
/// enough left that a move could pay.
pub fn may_move(run: &RunView) -> bool {
    run.pace.events >= MIN_EVENTS
        && run.moves < MAX_MOVES
        && run.here_ms - run.group_ms >= MIN_GAIN_MS
}

/// Returns the median of the targets' intervals between events.
pub fn median_pace(mut paces: Vec<f64>) -> Option<f64> {
    paces.sort_by(f64::total_cmp);
    // For an even number the lower middle value is used, so that slow targets weigh less.
    paces.get(paces.len().saturating_sub(1) / 2).copied()
}
