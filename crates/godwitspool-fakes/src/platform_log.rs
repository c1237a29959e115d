//! Parts of the platform's state: the append-only log, rate limits and lagging values.

use std::collections::VecDeque;

use godwitspool_connection::platform::{LogPage, LogRecord};
use godwitspool_types::Offset;

const SECOND_MS: u64 = 1_000;

/// A rate limit over a sliding window of one second.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_s: u32,
    /// Times of the events in the window, in milliseconds.
    recent: VecDeque<u64>,
}

impl RateLimit {
    pub(crate) fn new(per_s: u32) -> Self {
        Self {
            per_s,
            recent: VecDeque::new(),
        }
    }

    /// Returns whether an event is allowed, and counts it if so.
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

/// An append-only log that retains its last records.
#[derive(Debug)]
pub(crate) struct Log {
    /// Offset of the next record.
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

    /// Returns up to `max` retained records from an offset on.
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

/// A value whose changes become visible to readers after a delay.
#[derive(Debug)]
pub(crate) struct Lagging<T> {
    lag_ms: u64,
    /// Values with the time when they were set, in milliseconds; the first one is visible.
    versions: VecDeque<(u64, T)>,
}

impl<T: Clone + Default + PartialEq> Lagging<T> {
    pub(crate) fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            versions: VecDeque::new(),
        }
    }

    /// Sets the value. The first one is visible immediately.
    pub(crate) fn set(&mut self, value: T, now_ms: u64) {
        if self.versions.back().is_none_or(|(_, last)| *last != value) {
            let at = if self.versions.is_empty() { 0 } else { now_ms };
            self.versions.push_back((at, value));
        }
    }

    /// Returns the value that readers see at `now_ms`.
    pub(crate) fn get(&mut self, now_ms: u64) -> T {
        let visible_ms = now_ms.saturating_sub(self.lag_ms);
        while self
            .versions
            .get(1)
            .is_some_and(|(at, _)| *at <= visible_ms)
        {
            self.versions.pop_front();
        }
        self.versions
            .front()
            .map(|(_, value)| value.clone())
            .unwrap_or_default()
    }
}
