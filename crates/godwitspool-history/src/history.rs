//! A history: the observed events in order of time.

use std::{fmt, io::BufRead};

use godwitspool_types::Millis;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::Event;

/// An event and the time at which it was observed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Time since the start of the history.
    pub at: Millis,
    /// The observed event.
    pub event: Event,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>8} ms  {:?}", self.at.0, self.event)
    }
}

/// Why a history can't be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The reader failed.
    #[snafu(display("line {line}: {source}"))]
    Io {
        /// Number of the line, from 1.
        line: usize,
        /// Error of the reader.
        source: std::io::Error,
    },
    /// A line isn't a JSON event.
    #[snafu(display("line {line}: {source}"))]
    Json {
        /// Number of the line, from 1.
        line: usize,
        /// Error of the decoder.
        source: serde_json::Error,
    },
}

/// Observed events in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    lines: Vec<Line>,
}

impl History {
    /// Inserts an event after all events with the same or an earlier time.
    ///
    /// ```
    /// use godwitspool_history::{Event, History};
    /// use godwitspool_types::Millis;
    ///
    /// let mut history = History::default();
    /// history.push(Millis(2), Event::Stopping("b".into()));
    /// history.push(Millis(1), Event::Stopping("a".into()));
    /// assert_eq!(history.lines()[0].at, Millis(1));
    /// ```
    pub fn push(&mut self, at: Millis, event: Event) {
        let position = self.lines.partition_point(|line| line.at <= at);
        self.lines.insert(position, Line { at, event });
    }

    /// Returns the lines in order of time.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Writes the history as one JSON object per line.
    ///
    /// # Errors
    ///
    /// Returns the error of the writer.
    pub fn write(&self, mut to: impl std::io::Write) -> std::io::Result<()> {
        for line in &self.lines {
            serde_json::to_writer(&mut to, line)?;
            to.write_all(b"\n")?;
        }
        Ok(())
    }

    /// Reads a history that [`History::write`] has written.
    ///
    /// ```
    /// use godwitspool_history::History;
    ///
    /// let history = History::read(&b"{\"at\":1,\"event\":{\"stopping\":\"a\"}}"[..])?;
    /// assert_eq!(history.lines().len(), 1);
    /// # Ok::<(), godwitspool_history::ReadError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the error of the first line that can't be read.
    pub fn read(from: impl BufRead) -> Result<Self, ReadError> {
        let mut lines = Vec::new();
        for (index, text) in from.lines().enumerate() {
            let line = index + 1;
            let text = text.map_err(|source| ReadError::Io { line, source })?;
            let read = serde_json::from_str(&text);
            lines.push(read.map_err(|source| ReadError::Json { line, source })?);
        }
        Ok(lines.into_iter().collect())
    }
}

impl FromIterator<Line> for History {
    fn from_iter<I: IntoIterator<Item = Line>>(lines: I) -> Self {
        let mut lines = lines.into_iter().collect::<Vec<_>>();
        lines.sort_by_key(|line| line.at);
        Self { lines }
    }
}
