use std::{
    io,
    net::SocketAddr,
    os::fd::{AsFd, BorrowedFd},
    sync::Arc,
    time::{Duration, Instant},
};

use godwitspool_types::Millis;
use snafu::Snafu;

use super::{
    BodyDecoder, Connection, DecodeError, Interest, Pool, Received, Request, Reservation, Response,
    decode_response, wait,
};
use crate::lease_clock;

/// Maximum size of a response head. A larger head is treated as malformed.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum size of the body bytes that are held at a time. A longer body is treated as malformed unless
/// it is taken as it arrives.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of a request body that is copied behind the head, so that both leave in one packet.
const MAX_COPIED_BYTES: usize = 16 * 1024;
/// Maximum keep-alive timeout of a peer that is used; a larger one makes no difference.
const MAX_KEEP_ALIVE: Duration = Duration::from_hours(1);
/// Number of bytes after which [`Exchange::advance`] returns, so that a peer that sends without end
/// doesn't keep the thread from its deadline and its other sockets, and what it holds is counted in time.
const MAX_ADVANCE_BYTES: usize = 256 * 1024;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// Connecting failed, so nothing was sent.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// The error with which the attempt failed.
        source: io::Error,
    },
    /// The connection failed or was closed before the response was complete.
    #[snafu(display("connection failed: {source}"))]
    Broken {
        /// Whether any byte of the request had been sent.
        sent: bool,
        /// The error of the socket.
        source: io::Error,
    },
    /// The received bytes aren't a valid HTTP response.
    #[snafu(display("{source}"))]
    Malformed {
        /// Which part of the response is malformed.
        source: DecodeError,
    },
    /// The timeout expired before the response was complete.
    #[snafu(display("no answer in time"))]
    Late {
        /// Whether any byte of the request had been sent.
        sent: bool,
    },
}

impl CallError {
    /// Returns whether the peer may have received the request.
    pub fn was_sent(&self) -> bool {
        match self {
            Self::Connect { .. } => false,
            Self::Broken { sent, .. } | Self::Late { sent } => *sent,
            Self::Malformed { .. } => true,
        }
    }

    /// Returns whether the peer closed or reset the connection after it may have received the request.
    pub fn was_closed(&self) -> bool {
        use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
        match self {
            Self::Broken { sent, source } => {
                let closed = [
                    BrokenPipe,
                    ConnectionAborted,
                    ConnectionReset,
                    UnexpectedEof,
                ];
                *sent && closed.contains(&source.kind())
            }
            Self::Connect { .. } | Self::Late { .. } | Self::Malformed { .. } => false,
        }
    }
}

/// State of an exchange after [`Exchange::advance`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The response isn't complete yet.
    Pending,
    /// The response is complete.
    Done,
}

/// One request on one connection, and the response received so far.
#[derive(Debug)]
pub struct Exchange {
    connection: Connection,
    connecting: bool,
    decoder: Option<BodyDecoder>,
    method: String,
    /// Head of the request, with its body if that is small.
    output: Vec<u8>,
    /// Body of the request that follows, shared with other exchanges of the same request.
    body: Arc<Vec<u8>>,
    response: Response,
    sent: usize,
    /// Time in which the connection was opened, if it was for this exchange.
    connect_time: Option<Duration>,
    skipped: bool,
    /// Error of the socket. The socket reports it once and then looks as if the peer had closed it.
    failure: Option<io::ErrorKind>,
    /// Why the response is malformed. What follows has no meaning.
    malformed: Option<DecodeError>,
    /// Time, by the lease clock, after which nothing is sent if nothing was before.
    begin_by: Option<Millis>,
}

impl Exchange {
    /// Prepares a request to be sent on a connection. Nothing is sent before
    /// [`advance`](Self::advance).
    pub fn new(connection: Connection, request: &Request) -> Self {
        Self::start(connection, request, request.encode(), Arc::default())
    }

    /// Prepares a request whose body other exchanges share; that of `request` itself isn't sent.
    pub fn with_body(connection: Connection, request: &Request, body: Arc<Vec<u8>>) -> Self {
        let mut output = request.encode_head(body.len());
        if body.len() > MAX_COPIED_BYTES {
            return Self::start(connection, request, output, body);
        }
        output.extend_from_slice(&body);
        Self::start(connection, request, output, Arc::default())
    }

    fn start(
        mut connection: Connection,
        request: &Request,
        output: Vec<u8>,
        body: Arc<Vec<u8>>,
    ) -> Self {
        let connecting = connection.requests == 0;
        connection.requests += 1;
        connection.in_exchange = true;
        Self {
            connection,
            connecting,
            decoder: None,
            method: request.method.clone(),
            output,
            body,
            response: Response::default(),
            sent: 0,
            connect_time: None,
            skipped: false,
            failure: None,
            malformed: None,
            begin_by: None,
        }
    }

    /// Returns the exchange with a time, by the lease clock, after which it fails instead of sending
    /// its first byte. It bounds the age of the decision to send the request.
    #[must_use]
    pub fn begin_by(mut self, deadline: Millis) -> Self {
        self.begin_by = Some(deadline);
        self
    }

    /// Returns the socket and the events to poll for.
    pub fn socket(&self) -> (BorrowedFd<'_>, Interest) {
        let interest = Interest {
            read: !self.connecting,
            write: self.sent < self.output.len() + self.body.len(),
            hangup: false,
        };
        (self.connection.as_fd(), interest)
    }

    /// Returns the response once its head has been received. The body may still be incomplete.
    pub fn head(&self) -> Option<&Response> {
        self.decoder.as_ref().map(|_| &self.response)
    }

    /// Takes the bytes of the body that were decoded since the last call.
    pub fn take_body(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.response.body)
    }

    /// Returns the number of bytes of the response's body that are held.
    pub fn held(&self) -> usize {
        self.response.body.len()
    }

    /// Returns whether any byte of the request has been sent.
    pub fn was_sent(&self) -> bool {
        self.sent > 0
    }

    /// Returns whether the connection has carried another request before.
    pub fn is_reused(&self) -> bool {
        self.connection.requests > 1
    }

    /// Returns the time in which the connection was opened; `None` if it isn't open yet, or was before the
    /// exchange. It is at least one round trip to the peer.
    pub fn connect_time(&self) -> Option<Duration> {
        self.connect_time
    }

    /// Sends and receives as much as possible without blocking.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the response is malformed. Each further call then fails too.
    pub fn advance(&mut self) -> Result<Progress, CallError> {
        if self.connecting {
            let connected = self.connection.check_connected();
            connected.map_err(|source| CallError::Connect { source })?;
        }
        self.send()?;
        if self.connecting {
            return Ok(Progress::Pending);
        }
        let mut taken = 0;
        loop {
            if self.malformed.is_none() {
                self.malformed = self.decode().err();
            }
            if let Some(source) = self.malformed {
                return Err(CallError::Malformed { source });
            }
            if self.decoder.as_ref().is_some_and(BodyDecoder::is_done) {
                return Ok(Progress::Done);
            }
            if taken >= MAX_ADVANCE_BYTES {
                return Ok(Progress::Pending);
            }
            let held = self.connection.input.len();
            match self.connection.receive() {
                Ok(Received::Bytes) => taken += self.connection.input.len() - held,
                Ok(Received::Nothing) if self.failure.is_none() => return Ok(Progress::Pending),
                Ok(Received::End)
                    if self.failure.is_none() && self.decoder == Some(BodyDecoder::UntilClose) =>
                {
                    return Ok(Progress::Done);
                }
                Ok(Received::Nothing | Received::End) => {
                    let kind = self.failure.unwrap_or(io::ErrorKind::UnexpectedEof);
                    return Err(self.broken(kind.into()));
                }
                Err(source) => {
                    self.failure = Some(source.kind());
                    return Err(self.broken(source));
                }
            }
        }
    }

    fn send(&mut self) -> Result<(), CallError> {
        if self.sent == 0 && self.begin_by.is_some_and(|due| lease_clock() > due) {
            let source = io::ErrorKind::TimedOut.into();
            return Err(CallError::Connect { source });
        }
        while self.decoder.is_none() && self.failure.is_none() {
            let unsent = match self.sent.checked_sub(self.output.len()) {
                Some(of_body) => &self.body[of_body..],
                None => &self.output[self.sent..],
            };
            if unsent.is_empty() {
                break;
            }
            match self.connection.send(unsent) {
                Ok(0) => break,
                Ok(sent) => {
                    self.sent += sent;
                    if self.connecting {
                        self.connect_time = Some(self.connection.idle_since.elapsed());
                    }
                    self.connecting = false;
                }
                Err(source) if source.kind() == io::ErrorKind::NotConnected => break,
                // The peer may have responded before it closed the connection.
                Err(source) if self.sent > 0 => {
                    self.failure = Some(source.kind());
                    break;
                }
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
        let input = &mut self.connection.input;
        let mut used = 0;
        while self.decoder.is_none() {
            let Some((response, length)) = decode_response(&input[used..])? else {
                break;
            };
            used += length;
            if response.status >= 200 {
                self.decoder = Some(BodyDecoder::of_response(&self.method, &response)?);
                self.response = response;
            }
        }
        input.drain(..used);
        if self.decoder.is_none() && input.len() > MAX_HEAD_BYTES {
            return Err(DecodeError::Head);
        }
        if let Some(decoder) = &mut self.decoder {
            decoder.decode(&mut self.connection.input, &mut self.response.body)?;
        }
        if self.response.body.len() > MAX_BODY_BYTES {
            return Err(DecodeError::Body);
        }
        Ok(())
    }

    /// Discards a response that belongs to an earlier request on a reused connection; the response
    /// to this request may follow it. Returns false and keeps the response if it can't belong to an
    /// earlier request, if its body ends with the connection, or if one was discarded already.
    pub fn skip_response(&mut self) -> bool {
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

    /// Returns the response, and the connection if it can carry another request.
    pub fn finish(mut self) -> (Response, Option<Connection>) {
        let done = self.decoder.as_ref().is_some_and(BodyDecoder::is_done);
        self.connection.in_exchange = !done;
        let reusable = done
            && self.sent == self.output.len() + self.body.len()
            && self.connection.input.is_empty()
            && !self.skipped
            && !self.response.headers.lists("connection", "close");
        self.connection.idle_since = Instant::now();
        self.connection.keep_alive_timeout = keep_alive_timeout(&self.response);
        (self.response, reusable.then_some(self.connection))
    }

    /// Sends a request on a pooled or new connection and blocks until the response is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the exchange fails or no complete response arrives within the timeout.
    pub fn call(
        pool: &Pool,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        Self::call_if(pool, address, request, timeout, || true)
    }

    /// Does the same with a response that takes its memory from a reservation.
    ///
    /// # Errors
    ///
    /// Returns an error if the exchange fails, there is no memory for the response, or no complete response
    /// arrives within the timeout.
    pub fn call_within(
        pool: &Pool,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
        memory: &mut Reservation,
    ) -> Result<Response, CallError> {
        let reserve = |held| held <= memory.bytes() || memory.resize(held + MAX_COPIED_BYTES);
        Self::call_while(pool, address, request, timeout, || true, reserve)
    }

    /// Does the same, but gives up once `may_send` returns false before anything was sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the exchange fails or no complete response arrives within the timeout.
    pub fn call_if(
        pool: &Pool,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<Response, CallError> {
        Self::call_while(pool, address, request, timeout, may_send, |_| true)
    }

    fn call_while(
        pool: &Pool,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
        may_send: impl Fn() -> bool,
        mut reserve: impl FnMut(usize) -> bool,
    ) -> Result<Response, CallError> {
        let deadline = Instant::now() + timeout;
        let connection = pool.connect(address);
        let connection = connection.map_err(|source| CallError::Connect { source })?;
        let mut exchange = Self::new(connection, request);
        loop {
            if !exchange.was_sent() && !may_send() {
                let source = io::ErrorKind::Interrupted.into();
                return Err(CallError::Connect { source });
            }
            let progress = exchange.advance()?;
            if !reserve(exchange.held()) {
                let source = io::ErrorKind::OutOfMemory.into();
                return Err(CallError::Broken { sent: true, source });
            }
            if progress == Progress::Done {
                let (response, connection) = exchange.finish();
                if let Some(connection) = connection {
                    pool.put(address, connection);
                }
                return Ok(response);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                // The other idle connections to the peer may have stopped answering as well.
                pool.close(address);
                return Err(CallError::Late {
                    sent: exchange.was_sent(),
                });
            }
            let waited = wait(&[exchange.socket()], Some(left));
            waited.map_err(|source| exchange.broken(source))?;
        }
    }
}

/// Returns the timeout given in the `Keep-Alive` header.
fn keep_alive_timeout(response: &Response) -> Option<Duration> {
    let field = response.headers.get("keep-alive")?;
    let mut parameters = field
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    let seconds: u64 = seconds.parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_KEEP_ALIVE))
}
