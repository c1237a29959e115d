//! Records events from many threads.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use godwitspool_types::Millis;

use crate::{Event, History, Line};

/// Records events from many threads. Clones record into the same history.
///
/// ```
/// use godwitspool_history::{Event, Recorder};
///
/// let recorder = Recorder::start();
/// recorder.clone().record(Event::Stopping("a".into()));
/// assert_eq!(recorder.history().lines().len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Recorder {
    epoch_ms: u64,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Recorder {
    /// Starts an empty history whose time 0 is now.
    pub fn start() -> Self {
        Self {
            epoch_ms: wall_ms(),
            lines: Arc::default(),
        }
    }

    /// Returns the time since the start of the history.
    pub fn now(&self) -> Millis {
        Millis(wall_ms().saturating_sub(self.epoch_ms))
    }

    /// Records an event that is observed now.
    pub fn record(&self, event: Event) {
        self.record_at(self.now(), event);
    }

    /// Records an event that was observed at a time of the wall clock, in milliseconds since 1970.
    pub fn record_wall(&self, at_ms: u64, event: Event) {
        self.record_at(Millis(at_ms.saturating_sub(self.epoch_ms)), event);
    }

    /// Returns the events recorded so far, in order of time.
    pub fn history(&self) -> History {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().cloned().collect()
    }

    /// Counts the recorded events for which `kind` returns true.
    pub fn count(&self, kind: impl Fn(&Event) -> bool) -> usize {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter(|line| kind(&line.event)).count()
    }

    /// Returns the name of the last recorded [`Event::Fault`].
    pub fn last_fault(&self) -> Option<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().rev().find_map(|line| match &line.event {
            Event::Fault(name) => Some(name.clone()),
            _ => None,
        })
    }

    /// Records an event that was observed at a time since the start of the history.
    pub fn record_at(&self, at: Millis, event: Event) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(Line { at, event });
    }
}

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
