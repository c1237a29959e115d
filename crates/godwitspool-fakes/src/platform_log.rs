//! The append-only log and other parts of the platform's state.

use std::collections::VecDeque;

use godwitspool_connection::platform::{LogPage, LogRecord};
use godwitspool_types::Offset;

const SECOND_MS: u64 = 1_000;

/// Allows a number of events in every second.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_s: u32,
    recent: VecDeque<u64>,
}

impl RateLimit {
    pub(crate) fn new(per_s: u32) -> Self {
        Self {
            per_s,
            recent: VecDeque::new(),
        }
    }

    /// Counts an event if it is allowed.
    pub(crate) fn allow(&mut self, now_ms: u64) -> bool {
        while self
            .recent
            .front()
            .is_some_and(|at| at + SECOND_MS <= now_ms)
        {
            self.recent.pop_front();
        }
        let allowed = self.recent.len() < self.per_s as usize;
        if allowed {
            self.recent.push_back(now_ms);
        }
        allowed
    }
}

/// An append-only log that keeps its last records.
#[derive(Debug)]
pub(crate) struct Log {
    end: u64,
    records: VecDeque<LogRecord>,
    retention: usize,
}

impl Log {
    pub(crate) fn new(retention: usize) -> Self {
        Self {
            end: 0,
            records: VecDeque::new(),
            retention,
        }
    }

    /// Appends records and returns the offset of the first one.
    pub(crate) fn append(&mut self, bodies: Vec<String>) -> Offset {
        let first = Offset(self.end);
        for body in bodies {
            self.records.push_back(LogRecord {
                body,
                offset: Offset(self.end),
            });
            self.end += 1;
        }
        while self.records.len() > self.retention {
            self.records.pop_front();
        }
        first
    }

    /// Returns records from an offset on.
    pub(crate) fn page(&self, from: Offset, max: usize) -> LogPage {
        let retained = Offset(self.end - self.records.len() as u64);
        let skip = from.0.saturating_sub(retained.0) as usize;
        let records = self.records.iter().skip(skip).take(max).cloned().collect();
        LogPage {
            end: Offset(self.end),
            records,
            retained,
        }
    }
}

/// A value whose readers see it as it was a while ago.
#[derive(Debug)]
pub(crate) struct Lagging<T> {
    lag_ms: u64,
    versions: VecDeque<(u64, T)>,
}

impl<T: Clone + Default + PartialEq> Lagging<T> {
    pub(crate) fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            versions: VecDeque::new(),
        }
    }

    /// Sets the value. The first one is seen at once.
    pub(crate) fn set(&mut self, value: T, now_ms: u64) {
        if self.versions.back().is_none_or(|(_, last)| *last != value) {
            let at = if self.versions.is_empty() { 0 } else { now_ms };
            self.versions.push_back((at, value));
        }
    }

    /// Returns the value as readers see it.
    pub(crate) fn get(&mut self, now_ms: u64) -> T {
        let seen_ms = now_ms.saturating_sub(self.lag_ms);
        while self.versions.get(1).is_some_and(|(at, _)| *at <= seen_ms) {
            self.versions.pop_front();
        }
        self.versions
            .front()
            .map(|(_, value)| value.clone())
            .unwrap_or_default()
    }
}
