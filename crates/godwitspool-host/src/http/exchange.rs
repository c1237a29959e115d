use std::{
    io,
    net::SocketAddr,
    os::fd::{AsFd, BorrowedFd},
    time::{Duration, Instant},
};

use snafu::Snafu;

use super::{
    BodyDecoder, Connection, DecodeError, Interest, Pool, Received, Request, Response,
    decode_response, wait,
};

/// Bytes of an answer's head; larger ones are malformed.
const HEAD_MAX: usize = 64 * 1024;

/// How an exchange failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection came about, so nothing was sent.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// Why.
        source: io::Error,
    },
    /// The connection broke or ended too early.
    #[snafu(display("connection broke: {source}"))]
    Broken {
        /// Whether any byte of the request had left.
        sent: bool,
        /// Why.
        source: io::Error,
    },
    /// What came isn't an answer.
    #[snafu(display("{source}"))]
    Malformed {
        /// What is wrong.
        source: DecodeError,
    },
    /// The time ran out.
    #[snafu(display("no answer in time"))]
    Late {
        /// Whether any byte of the request had left.
        sent: bool,
    },
}

impl CallError {
    /// Tells whether the other side may have received the request.
    pub fn was_sent(&self) -> bool {
        match self {
            Self::Connect { .. } => false,
            Self::Broken { sent, .. } | Self::Late { sent } => *sent,
            Self::Malformed { .. } => true,
        }
    }
}

/// How far an exchange is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The answer isn't whole yet.
    Pending,
    /// The answer is whole.
    Done,
}

/// One request on one connection, and its answer as it arrives.
#[derive(Debug)]
pub struct Exchange {
    connection: Connection,
    connecting: bool,
    decoder: Option<BodyDecoder>,
    method: String,
    output: Vec<u8>,
    response: Response,
    sent: usize,
    skipped: bool,
}

impl Exchange {
    /// Begins to send a request on a connection.
    pub fn new(mut connection: Connection, request: &Request) -> Self {
        let connecting = connection.requests == 0;
        connection.requests += 1;
        Self {
            connection,
            connecting,
            decoder: None,
            method: request.method.clone(),
            output: request.encode(),
            response: Response::default(),
            sent: 0,
            skipped: false,
        }
    }

    /// Returns the socket and what it waits for.
    pub fn socket(&self) -> (BorrowedFd<'_>, Interest) {
        let interest = Interest {
            read: !self.connecting,
            write: self.sent < self.output.len(),
            hangup: false,
        };
        (self.connection.as_fd(), interest)
    }

    /// Returns the head of the answer once it is here.
    pub fn head(&self) -> Option<&Response> {
        self.decoder.as_ref().map(|_| &self.response)
    }

    /// Takes the bytes of the body that have arrived since the last call.
    pub fn take_body(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.response.body)
    }

    /// Tells whether any byte of the request has left.
    pub fn was_sent(&self) -> bool {
        self.sent > 0
    }

    /// Sends and receives what the socket allows.
    ///
    /// # Errors
    ///
    /// When the connection breaks or the answer is malformed.
    pub fn advance(&mut self) -> Result<Progress, CallError> {
        if self.connecting {
            let connected = self.connection.check_connected();
            connected.map_err(|source| CallError::Connect { source })?;
        }
        self.send()?;
        if self.connecting {
            return Ok(Progress::Pending);
        }
        loop {
            let received = self.connection.receive();
            let received = received.map_err(|source| self.broken(source))?;
            self.decode()
                .map_err(|source| CallError::Malformed { source })?;
            if self.decoder.as_ref().is_some_and(BodyDecoder::is_done) {
                return Ok(Progress::Done);
            }
            match received {
                Received::Bytes => {}
                Received::Nothing => return Ok(Progress::Pending),
                Received::End if self.decoder == Some(BodyDecoder::UntilClose) => {
                    return Ok(Progress::Done);
                }
                Received::End => return Err(self.broken(io::ErrorKind::UnexpectedEof.into())),
            }
        }
    }

    fn send(&mut self) -> Result<(), CallError> {
        while self.sent < self.output.len() && self.decoder.is_none() {
            match self.connection.send(&self.output[self.sent..]) {
                Ok(0) => break,
                Ok(sent) => {
                    self.sent += sent;
                    self.connecting = false;
                }
                Err(source) if source.kind() == io::ErrorKind::NotConnected => break,
                // The answer may have arrived before the connection was closed.
                Err(_) if self.sent > 0 => break,
                Err(source) if self.connecting => return Err(CallError::Connect { source }),
                Err(source) => return Err(self.broken(source)),
            }
        }
        Ok(())
    }

    fn broken(&self, source: io::Error) -> CallError {
        CallError::Broken {
            sent: self.sent > 0,
            source,
        }
    }

    fn decode(&mut self) -> Result<(), DecodeError> {
        while self.decoder.is_none() {
            let input = &mut self.connection.input;
            let Some((response, length)) = decode_response(input)? else {
                return (input.len() <= HEAD_MAX)
                    .then_some(())
                    .ok_or(DecodeError::Head);
            };
            input.drain(..length);
            if response.status >= 200 {
                self.decoder = Some(BodyDecoder::of_response(&self.method, &response)?);
                self.response = response;
            }
        }
        match &mut self.decoder {
            Some(decoder) => decoder.decode(&mut self.connection.input, &mut self.response.body),
            None => Ok(()),
        }
    }

    /// Passes over an answer that belongs to an earlier request of a kept connection; the own one
    /// follows it. Returns whether there may be such a thing.
    pub fn skip_answer(&mut self) -> bool {
        let kept = self.connection.requests > 1;
        let framed = !matches!(self.decoder, Some(BodyDecoder::UntilClose));
        let skipped = kept && framed && !self.skipped;
        if skipped {
            self.skipped = true;
            self.decoder = None;
            self.response = Response::default();
        }
        skipped
    }

    /// Returns the answer, and the connection if it can carry another request.
    pub fn finish(mut self) -> (Response, Option<Connection>) {
        let whole = self.decoder.as_ref().is_some_and(BodyDecoder::is_done)
            && self.sent == self.output.len()
            && self.connection.input.is_empty()
            && !self.skipped
            && !self.response.headers.lists("connection", "close");
        self.connection.idle_since = Instant::now();
        self.connection.idle_bound = idle_bound(&self.response);
        (self.response, whole.then_some(self.connection))
    }

    /// Carries a request out and returns the whole answer.
    ///
    /// # Errors
    ///
    /// When no whole answer comes in time.
    pub fn call(
        pool: &Pool,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let due = Instant::now() + timeout;
        let connection = pool.connect(address);
        let connection = connection.map_err(|source| CallError::Connect { source })?;
        let mut exchange = Self::new(connection, request);
        loop {
            if exchange.advance()? == Progress::Done {
                let (response, connection) = exchange.finish();
                if let Some(connection) = connection {
                    pool.put(address, connection);
                }
                return Ok(response);
            }
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(CallError::Late {
                    sent: exchange.was_sent(),
                });
            }
            let waited = wait(&[exchange.socket()], Some(left));
            waited.map_err(|source| exchange.broken(source))?;
        }
    }
}

/// Returns the idle bound that a `Keep-Alive` field states.
fn idle_bound(response: &Response) -> Option<Duration> {
    let field = response.headers.get("keep-alive")?;
    let mut parameters = field
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.parse().ok().map(Duration::from_secs)
}
