use godwitspool_types::Millis;

/// Shortest silence that counts: long beside the time between events, so that a burst of prompts
/// at a target moves nothing.
const MIN_SILENCE: Millis = Millis(500);
/// Silence in multiples of the usual time between events.
const SILENCE_FACTOR: f64 = 10.0;
/// Time without any answer after which a target with a full queue is left for one with a free place.
const MAX_QUEUE_WAIT: Millis = Millis(800);
/// Events after which a run's own pace says something.
const MIN_EVENTS: u32 = 4;
/// A run this much slower than usual is worth the few milliseconds that its tokens take to be read
/// again elsewhere.
const SLOW_FACTOR: f64 = 1.8;
/// Moves after which a run stays: each doubles the silence that is borne.
const MAX_MOVES: u32 = 6;
/// Weight of the newest time between events.
const INTERVAL_SMOOTHING: f64 = 0.25;

/// How fast a run's events come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    /// Smoothed time between events in milliseconds.
    pub interval_ms: f64,
    /// Events of this run.
    pub events: u32,
}

impl Pace {
    /// Takes over events that arrived together after a time.
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

/// What is known of a run when its place is weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunView {
    /// Whether the target has begun to answer.
    pub answering: bool,
    /// Time since anything arrived.
    pub silent: Millis,
    /// Its own pace.
    pub pace: Pace,
    /// Usual time between events of the service's targets, in milliseconds.
    pub median_ms: Option<f64>,
    /// How often the item was moved.
    pub moves: u32,
}

/// Why a run is moved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Move {
    /// Its target doesn't begin.
    Queued,
    /// Its target has fallen silent.
    Silent,
    /// Its target is slow.
    Slow,
}

/// Decides whether a run goes on at another target that has a free place.
///
/// Load pattern: a group counts when its longest item is done, and some targets are slow, load
/// weights, or have died without a word. The tokens so far are read again in a few milliseconds, so
/// a move costs less than a second of waiting.
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
    let known = run.pace.events >= MIN_EVENTS && median > 0.0;
    (known && run.pace.interval_ms > median * SLOW_FACTOR).then_some(Move::Slow)
}

/// Returns the usual time between events: the middle of the targets' own.
pub fn median_pace(mut paces: Vec<f64>) -> Option<f64> {
    paces.sort_by(f64::total_cmp);
    // The faster half decides where many are slow.
    paces.get(paces.len().saturating_sub(1) / 2).copied()
}
