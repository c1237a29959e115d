use std::{
    io,
    net::{SocketAddr, TcpListener},
    os::fd::{AsFd, BorrowedFd},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use snafu::Snafu;

use super::{
    BodyDecoder, Connection, DecodeError, Interest, Received, Request, Response, Waker,
    decode_request, wait,
};

/// Stack of a connection's thread: handlers hold no large values on it.
const STACK_BYTES: usize = 256 * 1024;
/// A caller that takes no bytes of its answer for so long is taken as gone, like the socket's own
/// bound on unacknowledged bytes.
const SEND_STALL: Duration = Duration::from_secs(3);
/// Pause after a failed accept, so that exhausted descriptors don't become a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Bytes of a head.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its last, and between bytes of a body.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Bounds {
    /// Bounds before a configuration is known; common defaults of reverse proxies.
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
    /// The caller left, the connection was idle too long, or the server drains.
    #[snafu(display("connection ended"))]
    Ended,
    /// The request exceeds a bound or is malformed.
    #[snafu(display("refused with {status}"))]
    Refused {
        /// Status of the answer.
        status: u16,
    },
}

impl From<DecodeError> for ReadError {
    fn from(_: DecodeError) -> Self {
        Self::Refused { status: 400 }
    }
}

type Handle = dyn Fn(&mut Caller, Request) -> io::Result<()> + Send + Sync;
type ReadBounds = dyn Fn() -> Bounds + Send + Sync;

/// Accepts connections and hands their requests to a handler, a thread a connection.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    bounds: Box<ReadBounds>,
    /// Whether connections are still accepted.
    accepting: AtomicBool,
    /// Connections that aren't closed yet.
    open: AtomicUsize,
    draining: AtomicBool,
    handle: Box<Handle>,
    /// Readable from the moment on at which idle connections are to be closed.
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
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// When the address can't be bound or no thread can be started.
    pub fn start(
        address: SocketAddr,
        bounds: impl Fn() -> Bounds + Send + Sync + 'static,
        handle: impl Fn(&mut Caller, Request) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            bounds: Box::new(bounds),
            accepting: AtomicBool::new(true),
            open: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            handle: Box::new(handle),
            stop: Waker::new()?,
        });
        let own = Arc::clone(&shared);
        thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || {
                own.accept(&listener);
                own.accepting.store(false, Ordering::SeqCst);
            })?;
        Ok(Self { address, shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Tells whether the server has stopped and closed its last connection. A request may have
    /// arrived on any open one, read or not.
    pub fn is_ended(&self) -> bool {
        // In this order: what was accepted last is counted before accepting ends.
        !self.shared.accepting.load(Ordering::SeqCst) && self.open() == 0
    }

    /// Lets answers close their connections; new connections are still accepted.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Closes idle connections and the listener.
    pub fn stop(&self) {
        self.drain();
        self.shared.stop.wake();
    }
}

impl Shared {
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
                    log::warn!(error:%; "waiting for connections failed");
                    thread::sleep(ACCEPT_PAUSE);
                    false
                }
            };
            // Callers whose connections came about before the stop are served too.
            loop {
                match listener.accept() {
                    Ok((socket, peer)) => self.serve(socket, peer),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(error) => {
                        log::warn!(error:%; "accept failed");
                        thread::sleep(ACCEPT_PAUSE);
                        break;
                    }
                }
            }
            if stopped {
                return;
            }
        }
    }

    fn serve(self: &Arc<Self>, socket: std::net::TcpStream, peer: SocketAddr) {
        let own = Arc::clone(self);
        let connection = match Connection::accepted(socket) {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!(error:%, peer:%; "connection broke before its first request");
                return;
            }
        };
        self.open.fetch_add(1, Ordering::SeqCst);
        let spawned = thread::Builder::new()
            .name("caller".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                own.run(connection);
                own.open.fetch_sub(1, Ordering::SeqCst);
            });
        if let Err(error) = spawned {
            self.open.fetch_sub(1, Ordering::SeqCst);
            log::warn!(error:%, peer:%; "no thread for a connection");
        }
    }

    fn run(&self, connection: Connection) {
        let mut caller = Caller {
            close: false,
            connection,
        };
        loop {
            let request = match self.read(&mut caller.connection) {
                Ok(request) => request,
                Err(ReadError::Ended) => return,
                Err(ReadError::Refused { status }) => {
                    caller.close = true;
                    let answer = Response::new(status, Vec::new());
                    if let Err(error) = caller.respond(&answer) {
                        log::debug!(error:%, status; "refusal not delivered");
                    }
                    return;
                }
            };
            caller.close = self.draining.load(Ordering::SeqCst)
                || request.headers.lists("connection", "close");
            let handled = (self.handle)(&mut caller, request);
            if let Err(error) = handled {
                log::debug!(error:%; "answer not delivered");
                return;
            }
            if caller.close {
                return;
            }
        }
    }

    /// Reads one request.
    fn read(&self, connection: &mut Connection) -> Result<Request, ReadError> {
        let idle_since = Instant::now();
        while connection.input.is_empty() {
            let bounds = (self.bounds)();
            let left = bounds.idle_timeout.saturating_sub(idle_since.elapsed());
            if left.is_zero() || !self.receive(connection, left, true)? {
                return Err(ReadError::Ended);
            }
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

    /// Waits for bytes; false once the time has passed.
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

/// The caller of the request at hand.
#[derive(Debug)]
pub struct Caller {
    /// Whether the connection is closed behind the answer.
    pub close: bool,
    connection: Connection,
}

impl Caller {
    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// When the caller is gone.
    pub fn respond(&mut self, response: &Response) -> io::Result<()> {
        if self.close {
            let response = response.clone().with("Connection", "close");
            return send_all(&mut self.connection, &response.encode());
        }
        send_all(&mut self.connection, &response.encode())
    }

    /// Sends the head of an answer whose body follows in chunks.
    ///
    /// # Errors
    ///
    /// When the caller is gone.
    pub fn begin(&mut self, response: &Response) -> io::Result<()> {
        let mut response = response.clone();
        if self.close {
            response.headers.push("Connection", "close");
        }
        send_all(&mut self.connection, &response.encode_chunked_head())
    }

    /// Sends a chunk.
    ///
    /// # Errors
    ///
    /// When the caller is gone.
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
    /// When the caller is gone.
    pub fn end(&mut self) -> io::Result<()> {
        send_all(&mut self.connection, b"0\r\n\r\n")
    }

    /// Returns the socket, to wait for the caller's leaving.
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
            let ready = wait(&[(connection.as_fd(), writable)], Some(SEND_STALL))?;
            if !ready[0].write {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    }
    Ok(())
}
