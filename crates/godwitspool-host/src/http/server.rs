use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener},
    os::fd::{AsFd, BorrowedFd},
    sync::{
        Arc, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_sync::{Mutex, MutexGuard};
use snafu::Snafu;

use super::{
    BodyDecoder, Connection, DecodeError, Interest, OpenConnection, Phase, Received, Request,
    Response, Waker, decode_request, wait,
};

/// Stack size of a connection's thread. Handlers keep no large values on the stack.
const STACK_BYTES: usize = 256 * 1024;
/// A caller that accepts no bytes of its response for this long counts as disconnected, comparable
/// to the socket's `TCP_USER_TIMEOUT` for unacknowledged data.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept, so that running out of file descriptors doesn't cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits on the size of requests and on the time taken to send them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request head to its last.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle between requests, and between two reads of a
    /// request body.
    pub idle_timeout: Duration,
}

impl Default for Bounds {
    /// Bounds used before a configuration is known; similar to the defaults of common reverse
    /// proxies.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 32 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why no request was read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The caller disconnected, the idle timeout expired, or the server was stopped.
    #[snafu(display("connection ended"))]
    Ended,
    /// The request exceeds a limit or is malformed.
    #[snafu(display("request refused with status {status}"))]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
}

impl From<DecodeError> for ReadError {
    fn from(_: DecodeError) -> Self {
        Self::Refused { status: 400 }
    }
}

type Handler = dyn Fn(&mut Caller, Request) -> io::Result<()> + Send + Sync;
type BoundsSource = dyn Fn() -> Bounds + Send + Sync;

/// An HTTP server that runs one thread per connection and passes each request to a handler.
pub struct Server {
    address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    bounds: Box<BoundsSource>,
    /// Whether the accept thread is still running.
    accepting: AtomicBool,
    connections: Mutex<HashMap<u64, Arc<OpenConnection>>>,
    /// Number of the next connection, which is its key in `connections`.
    next_number: AtomicU64,
    draining: Arc<AtomicBool>,
    handler: Box<Handler>,
    /// Becomes readable when the listener and idle connections must be closed.
    stop: Waker,
}

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Binds an address and starts to accept connections. `bounds` is called for each request, so
    /// that changed bounds also apply to open connections.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the accept thread can't be started.
    pub fn start(
        address: SocketAddr,
        bounds: impl Fn() -> Bounds + Send + Sync + 'static,
        handler: impl Fn(&mut Caller, Request) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            bounds: Box::new(bounds),
            accepting: AtomicBool::new(true),
            connections: Mutex::default(),
            next_number: AtomicU64::new(0),
            draining: Arc::default(),
            handler: Box::new(handler),
            stop: Waker::new()?,
        });
        let acceptor = Arc::clone(&inner);
        thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || {
                acceptor.accept(&listener);
                acceptor.accepting.store(false, Ordering::SeqCst);
            })?;
        Ok(Self { address, inner })
    }

    /// Returns the address the server listens on; port 0 has been replaced by the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.inner.connections().len()
    }

    /// Returns whether the server has stopped accepting and all connections are closed. Until then,
    /// a request may have arrived on an open connection even if it hasn't been read yet.
    pub fn is_ended(&self) -> bool {
        // `accepting` is read first: the last accepted connection is counted before it is cleared.
        !self.inner.accepting.load(Ordering::SeqCst) && self.open_connections() == 0
    }

    /// Closes each connection after its next response. New connections are still accepted.
    pub fn drain(&self) {
        self.inner.draining.store(true, Ordering::SeqCst);
    }

    /// Closes the listener and idle connections. Requests in flight are completed.
    pub fn stop(&self) {
        self.drain();
        self.inner.stop.wake();
    }

    /// Responds to the requests in flight before the process ends, whatever their handlers wait for:
    /// with `refusal` to those that haven't been read whole, with status 504 to those that have and
    /// may have taken effect. Responses that have begun are left to their handlers.
    pub fn respond_last(&self, refusal: &Response) -> LastResponses {
        let connections: Vec<Arc<OpenConnection>> =
            self.inner.connections().values().cloned().collect();
        let mut responses = LastResponses::default();
        for connection in connections {
            let sent = connection.respond_last(|phase| match phase {
                Phase::Reading => Some(refusal.clone()),
                Phase::Handling => Some(Response::new(504, Vec::new())),
                Phase::Idle | Phase::Responding | Phase::Closed => None,
            });
            match sent {
                Ok(Phase::Reading) => responses.refused += 1,
                Ok(Phase::Handling) => responses.unfinished += 1,
                Ok(Phase::Responding) => responses.responding += 1,
                Ok(Phase::Idle | Phase::Closed) => {}
                Err(error) => {
                    log::info!(error:%; "can't send the last response of a connection");
                    responses.failed += 1;
                }
            }
        }
        responses
    }
}

/// Numbers of requests that were in flight when [`Server::respond_last`] was called.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LastResponses {
    /// Refused, since they hadn't been read whole.
    pub refused: u64,
    /// Answered with status 504.
    pub unfinished: u64,
    /// Left to their handlers, which have begun to respond.
    pub responding: u64,
    /// The caller couldn't be sent a response.
    pub failed: u64,
}

impl Inner {
    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<OpenConnection>>> {
        let connections = self.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        let readable = Interest {
            read: true,
            ..Interest::default()
        };
        loop {
            let sockets = [(listener.as_fd(), readable), self.stop.socket()];
            let stopped = match wait(&sockets, None).as_deref() {
                Ok(ready) => ready.get(1).is_some_and(|stop| stop.read),
                Err(error) => {
                    log::warn!(error:%; "can't poll the listener");
                    thread::sleep(ACCEPT_RETRY_DELAY);
                    false
                }
            };
            // Connections in the backlog when the server is stopped are served too.
            loop {
                match listener.accept() {
                    Ok((socket, peer)) => self.spawn_connection(socket, peer),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(error) => {
                        log::warn!(error:%; "can't accept a connection");
                        thread::sleep(ACCEPT_RETRY_DELAY);
                        break;
                    }
                }
            }
            if stopped {
                return;
            }
        }
    }

    fn spawn_connection(self: &Arc<Self>, socket: std::net::TcpStream, peer: SocketAddr) {
        let server = Arc::clone(self);
        let connection = match Connection::accepted(socket) {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!(error:%, peer:%; "connection failed before its first request");
                return;
            }
        };
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        let open = Arc::new(OpenConnection::new(connection.socket()));
        self.connections().insert(number, Arc::clone(&open));
        let spawned = thread::Builder::new()
            .name("caller".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                server.serve_connection(connection, open);
                server.connections().remove(&number);
            });
        if let Err(error) = spawned {
            self.connections().remove(&number);
            log::warn!(error:%, peer:%; "can't start a thread for a connection");
        }
    }

    fn serve_connection(&self, connection: Connection, open: Arc<OpenConnection>) {
        let mut caller = Caller {
            close: false,
            connection,
            draining: Arc::clone(&self.draining),
            open,
        };
        loop {
            let request = match self.read_request(&mut caller.connection, &caller.open) {
                Ok(request) => request,
                Err(ReadError::Ended) => return,
                Err(ReadError::Refused { status }) => {
                    caller.close = true;
                    let answer = Response::new(status, Vec::new());
                    if let Err(error) = caller.respond(&answer) {
                        log::debug!(error:%, status; "can't send an error response");
                    }
                    return;
                }
            };
            caller.close = self.draining.load(Ordering::SeqCst)
                || request.headers.lists("connection", "close");
            if !caller.open.enter(Phase::Handling) {
                return;
            }
            let handled = (self.handler)(&mut caller, request);
            if let Err(error) = handled {
                log::debug!(error:%; "can't send a response");
                return;
            }
            if caller.close || !caller.open.enter(Phase::Idle) {
                return;
            }
        }
    }

    /// Waits for a request and reads it with its body.
    fn read_request(
        &self,
        connection: &mut Connection,
        open: &OpenConnection,
    ) -> Result<Request, ReadError> {
        let idle_since = Instant::now();
        while connection.input.is_empty() {
            let bounds = (self.bounds)();
            let left = bounds.idle_timeout.saturating_sub(idle_since.elapsed());
            if left.is_zero() || !self.receive(connection, left, true)? {
                return Err(ReadError::Ended);
            }
        }
        if !open.enter(Phase::Reading) {
            return Err(ReadError::Ended);
        }
        let began = Instant::now();
        let bounds = (self.bounds)();
        let (mut request, length) = loop {
            if let Some(head) = decode_request(&connection.input)? {
                break head;
            }
            if connection.input.len() > bounds.header_bytes {
                return Err(ReadError::Refused { status: 431 });
            }
            let left = bounds.header_timeout.saturating_sub(began.elapsed());
            if left.is_zero() || !self.receive(connection, left, false)? {
                return Err(ReadError::Refused { status: 408 });
            }
        };
        if length > bounds.header_bytes {
            return Err(ReadError::Refused { status: 431 });
        }
        connection.input.drain(..length);
        let mut decoder = BodyDecoder::of_request(&request.headers)?;
        if let BodyDecoder::Length(length) = decoder
            && length > bounds.body_bytes
        {
            return Err(ReadError::Refused { status: 413 });
        }
        if !decoder.is_done() && request.headers.lists("expect", "100-continue") {
            let sent = send_all(connection, b"HTTP/1.1 100 Continue\r\n\r\n");
            sent.ok().ok_or(ReadError::Ended)?;
        }
        loop {
            decoder.decode(&mut connection.input, &mut request.body)?;
            if request.body.len() > bounds.body_bytes {
                return Err(ReadError::Refused { status: 413 });
            }
            if decoder.is_done() {
                return Ok(request);
            }
            if !self.receive(connection, bounds.idle_timeout, false)? {
                return Err(ReadError::Refused { status: 408 });
            }
        }
    }

    /// Waits for bytes and receives them. Returns false if none arrive within the timeout. When
    /// `idle` is set, stopping the server ends the wait.
    fn receive(
        &self,
        connection: &mut Connection,
        timeout: Duration,
        idle: bool,
    ) -> Result<bool, ReadError> {
        let readable = Interest {
            read: true,
            ..Interest::default()
        };
        let sockets = [(connection.as_fd(), readable), self.stop.socket()];
        let sockets = if idle { &sockets[..] } else { &sockets[..1] };
        let ready = wait(sockets, Some(timeout)).ok().ok_or(ReadError::Ended)?;
        let stopped = ready.get(1).is_some_and(|stop| stop.read);
        if !ready[0].read {
            return if stopped {
                Err(ReadError::Ended)
            } else {
                Ok(false)
            };
        }
        match connection.receive() {
            Ok(Received::Bytes | Received::Nothing) => Ok(true),
            Ok(Received::End) | Err(_) => Err(ReadError::Ended),
        }
    }
}

/// The connection to the caller whose request is being handled.
#[derive(Debug)]
pub struct Caller {
    /// Whether the connection is closed after the response.
    pub close: bool,
    connection: Connection,
    /// Whether the server drains.
    draining: Arc<AtomicBool>,
    open: Arc<OpenConnection>,
}

impl Caller {
    /// Returns whether the server has responded in place of the handler.
    pub fn is_answered(&self) -> bool {
        self.open.phase() == Phase::Closed
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or accepts no bytes.
    pub fn respond(&mut self, response: &Response) -> io::Result<()> {
        self.start_response()?;
        if self.close {
            let response = response.clone().with("Connection", "close");
            return send_all(&mut self.connection, &response.encode());
        }
        send_all(&mut self.connection, &response.encode())
    }

    /// Records that the response begins. Fails if the server has sent the last one itself.
    fn start_response(&mut self) -> io::Result<()> {
        // The server may have started to drain while the request was handled.
        self.close |= self.draining.load(Ordering::SeqCst);
        if self.open.enter(Phase::Responding) {
            Ok(())
        } else {
            Err(io::ErrorKind::ConnectionAborted.into())
        }
    }

    /// Sends the head of a response whose body follows in chunks.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or accepts no bytes.
    pub fn begin(&mut self, response: &Response) -> io::Result<()> {
        self.start_response()?;
        let mut response = response.clone();
        if self.close {
            response.headers.push("Connection", "close");
        }
        send_all(&mut self.connection, &response.encode_chunked_head())
    }

    /// Sends a chunk of the body. Empty chunks are left out, since they would end the body.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or accepts no bytes.
    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        send_all(&mut self.connection, &chunk)
    }

    /// Ends a chunked body.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or accepts no bytes.
    pub fn end(&mut self) -> io::Result<()> {
        send_all(&mut self.connection, b"0\r\n\r\n")
    }

    /// Returns the socket with an interest in hangup, to notice that the caller disconnects.
    pub fn socket(&self) -> (BorrowedFd<'_>, Interest) {
        let interest = Interest {
            hangup: true,
            ..Interest::default()
        };
        (self.connection.as_fd(), interest)
    }
}

fn send_all(connection: &mut Connection, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let sent = connection.send(bytes)?;
        bytes = &bytes[sent..];
        if sent == 0 {
            let writable = Interest {
                write: true,
                ..Interest::default()
            };
            let ready = wait(&[(connection.as_fd(), writable)], Some(SEND_TIMEOUT))?;
            if !ready[0].write {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    }
    Ok(())
}
