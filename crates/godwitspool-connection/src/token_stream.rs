//! Reads a generation stream event by event.

use std::{
    fmt,
    io::{BufRead, BufReader, ErrorKind},
};

use godwitspool_types::Millis;
use ureq::{Body, BodyReader, Error};

use crate::{
    call_error::CallError, engine::Chunk, target_client::TargetClient,
    target_connection::TargetConnection,
};

const DATA_PREFIX: &str = "data:";
const TERMINATOR: &str = "[DONE]";
/// Maximum length of an event line.
const MAX_LINE_BYTES: usize = 1 << 20;

/// A generation stream of one engine.
///
/// After the terminator, its connection returns to the client's pool; otherwise it is closed.
pub struct TokenStream {
    client: TargetClient,
    idle_timeout: Millis,
    connection: Option<TargetConnection>,
    reader: Option<BufReader<BodyReader<'static>>>,
}

impl TokenStream {
    pub(crate) fn new(
        client: TargetClient,
        connection: TargetConnection,
        body: Body,
        idle_timeout: Millis,
    ) -> Self {
        let reader = BufReader::new(body.into_reader());
        Self {
            client,
            idle_timeout,
            connection: Some(connection),
            reader: Some(reader),
        }
    }

    /// Sets the longest wait for a byte, from the next read on.
    pub fn set_idle_timeout(&mut self, idle_timeout: Millis) {
        self.idle_timeout = idle_timeout;
        if let Some(connection) = &self.connection {
            connection.set_idle_timeout(idle_timeout);
        }
    }

    /// Reads the next chunk; `None` after the terminator.
    ///
    /// # Errors
    /// Returns [`CallError::Silent`] after the idle timeout, [`CallError::Truncated`] when the stream
    /// ends before its terminator, and otherwise [`CallError::Broken`] or [`CallError::Protocol`].
    /// Every error closes the connection.
    pub fn next_chunk(&mut self) -> Result<Option<Chunk>, CallError> {
        let result = self.read_event();
        if result.is_err() {
            self.close();
        }
        result
    }

    /// Closes the connection. The engine treats this as a cancellation.
    pub fn close(&mut self) {
        self.reader = None;
        self.connection = None;
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
        let idle_timeout = self.idle_timeout;
        let Some(reader) = &mut self.reader else {
            return Ok(None);
        };
        let mut line = Vec::new();
        loop {
            let available = match reader.fill_buf() {
                Ok(bytes) => bytes,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(read_error(error, idle_timeout)),
            };
            if available.is_empty() {
                return Ok(None);
            }
            let end = available.iter().position(|&byte| byte == b'\n');
            let length = end.map_or(available.len(), |index| index + 1);
            line.extend_from_slice(&available[..length]);
            reader.consume(length);
            if line.len() > MAX_LINE_BYTES {
                let cause = format!("event line exceeds the limit of {MAX_LINE_BYTES} bytes");
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

    /// Reads up to the end of the body and returns the connection to the pool for reuse.
    fn finish(&mut self) {
        while let Ok(Some(_)) = self.read_line() {}
        let drained = self
            .reader
            .take()
            .is_some_and(|mut reader| reader.fill_buf().is_ok_and(<[u8]>::is_empty));
        if let Some(connection) = self.connection.take().filter(|_| drained) {
            self.client.return_connection(connection);
        }
    }
}

fn read_error(error: std::io::Error, idle_timeout: Millis) -> CallError {
    match Error::from(error) {
        Error::Timeout(_) => CallError::Silent { idle: idle_timeout },
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
