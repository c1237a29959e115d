//! A generation stream, read event by event.

use std::{
    fmt,
    io::{BufRead, BufReader, ErrorKind},
};

use godwitspool_types::Millis;
use ureq::{Body, BodyReader, Error};

use crate::{call_error::CallError, engine::Chunk, lane::Lane, target_client::TargetClient};

const DATA_PREFIX: &str = "data:";
const TERMINATOR: &str = "[DONE]";
/// Bytes of the longest event line.
const MAX_LINE_BYTES: usize = 1 << 20;

/// A generation stream of one engine.
pub struct TokenStream {
    client: TargetClient,
    idle: Millis,
    lane: Option<Lane>,
    reader: Option<BufReader<BodyReader<'static>>>,
}

impl TokenStream {
    pub(crate) fn new(client: TargetClient, lane: Lane, body: Body, idle: Millis) -> Self {
        let reader = BufReader::new(body.into_reader());
        Self {
            client,
            idle,
            lane: Some(lane),
            reader: Some(reader),
        }
    }

    /// Bounds the wait for the next byte, from the next read on.
    pub fn set_idle_timeout(&mut self, idle: Millis) {
        self.idle = idle;
        if let Some(lane) = &self.lane {
            lane.set_idle_timeout(idle);
        }
    }

    /// Reads the next chunk; `None` after the terminator.
    ///
    /// # Errors
    /// [`CallError::Silent`] past the idle bound, [`CallError::Truncated`] for an end without
    /// terminator, [`CallError::Broken`] or [`CallError::Protocol`] else. The connection is closed.
    pub fn next_chunk(&mut self) -> Result<Option<Chunk>, CallError> {
        let result = self.read_event();
        if result.is_err() {
            self.close();
        }
        result
    }

    /// Closes the connection, which an engine takes as a cancellation.
    pub fn close(&mut self) {
        self.reader = None;
        self.lane = None;
    }

    fn read_event(&mut self) -> Result<Option<Chunk>, CallError> {
        loop {
            let Some(line) = self.read_line()? else {
                return Err(CallError::Truncated);
            };
            let Some(data) = line.strip_prefix(DATA_PREFIX) else {
                continue;
            };
            let data = data.trim();
            if data == TERMINATOR {
                self.finish();
                return Ok(None);
            }
            let chunk = serde_json::from_str(data).map_err(|error| CallError::Protocol {
                cause: error.to_string(),
            })?;
            return Ok(Some(chunk));
        }
    }

    fn read_line(&mut self) -> Result<Option<String>, CallError> {
        let idle = self.idle;
        let Some(reader) = &mut self.reader else {
            return Ok(None);
        };
        let mut line = Vec::new();
        loop {
            let available = match reader.fill_buf() {
                Ok(bytes) => bytes,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(read_error(error, idle)),
            };
            if available.is_empty() {
                return Ok(None);
            }
            let end = available.iter().position(|&byte| byte == b'\n');
            let used = end.map_or(available.len(), |index| index + 1);
            line.extend_from_slice(&available[..used]);
            reader.consume(used);
            if line.len() > MAX_LINE_BYTES {
                let cause = format!("event is longer than {MAX_LINE_BYTES} bytes");
                return Err(CallError::Protocol { cause });
            }
            if end.is_some() {
                return String::from_utf8(line)
                    .map(Some)
                    .map_err(|error| CallError::Protocol {
                        cause: error.to_string(),
                    });
            }
        }
    }

    /// Reads up to the end of the body, so that the connection can serve again.
    fn finish(&mut self) {
        while let Ok(Some(_)) = self.read_line() {}
        let drained = self
            .reader
            .take()
            .is_some_and(|mut reader| reader.fill_buf().is_ok_and(<[u8]>::is_empty));
        if let Some(lane) = self.lane.take().filter(|_| drained) {
            self.client.give_lane(lane);
        }
    }
}

fn read_error(error: std::io::Error, idle: Millis) -> CallError {
    match Error::from(error) {
        Error::Timeout(_) => CallError::Silent { idle },
        other => CallError::Broken {
            cause: other.to_string(),
        },
    }
}

impl fmt::Debug for TokenStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TokenStream")
            .field("target", &self.client.address())
            .finish_non_exhaustive()
    }
}
