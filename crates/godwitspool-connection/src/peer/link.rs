//! The client side of calls between processes.

use std::{
    collections::HashMap,
    fmt, io,
    marker::PhantomData,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, RecvTimeoutError, Sender},
    },
    thread,
};

use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::{Millis, Ran};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

use super::{
    enable_keepalive,
    frame::{self, FrameError, Tagged},
};

/// Timeouts and limits of a [`Link`].
#[derive(Clone, Copy, Debug)]
pub struct LinkBounds {
    /// Timeout for opening a connection; 500 ms by default.
    pub connect_timeout: Millis,
    /// Timeout from sending a request to its answer; 3 s by default.
    pub answer_timeout: Millis,
    /// Maximum size of a frame's body; 16 MiB by default.
    pub max_frame_bytes: usize,
    /// Time after which the operating system closes a connection whose other end is unreachable.
    /// The default is 8 s.
    pub keepalive_timeout: Millis,
}

impl Default for LinkBounds {
    fn default() -> Self {
        Self {
            connect_timeout: Millis(500),
            answer_timeout: Millis(3_000),
            max_frame_bytes: 16 << 20,
            keepalive_timeout: Millis(8_000),
        }
    }
}

impl LinkBounds {
    /// Sets the timeout for opening a connection.
    pub fn with_connect_timeout(mut self, connect_timeout: Millis) -> Self {
        self.connect_timeout = connect_timeout;
        self
    }

    /// Sets the timeout from sending a request to its answer.
    pub fn with_answer_timeout(mut self, answer_timeout: Millis) -> Self {
        self.answer_timeout = answer_timeout;
        self
    }

    /// Sets the maximum size of a frame's body, in bytes.
    pub fn with_max_frame_bytes(mut self, max_frame_bytes: usize) -> Self {
        self.max_frame_bytes = max_frame_bytes;
        self
    }
}

/// Why a call returned no answer.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the socket.
        source: io::Error,
    },
    /// The request can't be encoded as a frame; nothing was sent.
    #[snafu(display("request to {address} can't be encoded: {source}"))]
    Request {
        /// Address of the server.
        address: SocketAddr,
        /// What is wrong with the frame.
        source: FrameError,
    },
    /// No answer arrived within the timeout.
    #[snafu(display("no answer from {address} within {timeout}"))]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
        /// The timeout that expired.
        timeout: Millis,
    },
    /// The connection closed before the answer arrived.
    #[snafu(display("connection to {address} closed before the answer arrived"))]
    Closed {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The answer can't be decoded.
    #[snafu(display("answer from {address} can't be decoded: {source}"))]
    Answer {
        /// Address of the server.
        address: SocketAddr,
        /// What is wrong with the frame.
        source: FrameError,
    },
}

impl LinkError {
    /// Returns whether the server may have processed the request.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Connect { .. } | Self::Request { .. } => Ran::NotRun,
            Self::Timeout { .. } | Self::Closed { .. } => Ran::Unknown,
            Self::Answer { .. } => Ran::Ran,
        }
    }
}

/// A client of one address. All calls share one connection, which is opened when needed.
///
/// Several threads may call at the same time. After a call has timed out, new calls use a new
/// connection; calls in flight on the old one still wait for their answers, up to their own
/// timeouts.
pub struct Link<Request, Answer> {
    address: SocketAddr,
    bounds: LinkBounds,
    current: Mutex<Option<Arc<Connection>>>,
    dropped: Arc<AtomicU64>,
    next_id: AtomicU64,
    types: PhantomData<fn(Request) -> Answer>,
}

impl<Request, Answer> fmt::Debug for Link<Request, Answer> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("address", &self.address)
            .field("bounds", &self.bounds)
            .finish_non_exhaustive()
    }
}

impl<Request: Serialize, Answer: DeserializeOwned> Link<Request, Answer> {
    /// Creates a link; the first call opens its connection.
    pub fn new(address: SocketAddr, bounds: LinkBounds) -> Self {
        Self {
            address,
            bounds,
            current: Mutex::default(),
            dropped: Arc::default(),
            next_id: AtomicU64::new(1),
            types: PhantomData,
        }
    }

    /// Returns the address that the link calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of answers that were dropped because they came after the timeout or had
    /// an unknown id.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Sends a request and waits for its answer, up to the link's timeout.
    ///
    /// # Errors
    ///
    /// [`LinkError::ran`] returns whether the server may have processed the request.
    pub fn call(&self, request: &Request) -> Result<Answer, LinkError> {
        self.call_with_timeout(request, self.bounds.answer_timeout)
    }

    /// Sends a request and waits for its answer, up to `timeout`.
    ///
    /// # Errors
    ///
    /// [`LinkError::ran`] returns whether the server may have processed the request.
    pub fn call_with_timeout(
        &self,
        request: &Request,
        timeout: Millis,
    ) -> Result<Answer, LinkError> {
        let address = self.address;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let message = Tagged { id, body: request };
        let encoded = frame::encode(&message, self.bounds.max_frame_bytes)
            .context(RequestSnafu { address })?;
        let connection = self.connection()?;
        let (sender, receiver) = mpsc::channel();
        if !connection.pending.add(id, sender) || connection.send(&encoded).is_err() {
            self.discard(&connection);
            connection.close();
            return ClosedSnafu { address }.fail();
        }
        let answer = receiver.recv_timeout(timeout.duration());
        connection.pending.cancel(id);
        match answer {
            Ok(body) => decode_answer(&body).context(AnswerSnafu { address }),
            Err(RecvTimeoutError::Timeout) => {
                self.discard(&connection);
                TimeoutSnafu { address, timeout }.fail()
            }
            Err(RecvTimeoutError::Disconnected) => {
                self.discard(&connection);
                ClosedSnafu { address }.fail()
            }
        }
    }

    fn connection(&self) -> Result<Arc<Connection>, LinkError> {
        let mut current = lock(&self.current);
        if let Some(connection) = current.as_ref().filter(|c| c.pending.is_open()) {
            return Ok(Arc::clone(connection));
        }
        let connection =
            Connection::open(self.address, self.bounds, &self.dropped).context(ConnectSnafu {
                address: self.address,
            })?;
        let connection = Arc::new(connection);
        *current = Some(Arc::clone(&connection));
        Ok(connection)
    }

    /// Makes further calls use a new connection.
    fn discard(&self, connection: &Arc<Connection>) {
        let mut current = lock(&self.current);
        if current.as_ref().is_some_and(|c| Arc::ptr_eq(c, connection)) {
            *current = None;
        }
    }
}

/// Decodes an answer and removes its id.
fn decode_answer<Answer: DeserializeOwned>(body: &[u8]) -> Result<Answer, FrameError> {
    frame::decode::<Tagged<Answer>>(body).map(|message| message.body)
}

/// One connection. It closes when the link and all calls have dropped it.
struct Connection {
    stream: TcpStream,
    pending: Arc<PendingCalls>,
    writer: Mutex<TcpStream>,
}

impl Connection {
    fn open(address: SocketAddr, bounds: LinkBounds, dropped: &Arc<AtomicU64>) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, bounds.connect_timeout.duration())?;
        enable_keepalive(&stream, bounds.keepalive_timeout)?;
        stream.set_write_timeout(Some(bounds.answer_timeout.duration()))?;
        let writer = Mutex::new(stream.try_clone()?);
        let reader = stream.try_clone()?;
        let pending = Arc::new(PendingCalls::default());
        let awaited = Arc::clone(&pending);
        let dropped = Arc::clone(dropped);
        thread::Builder::new()
            .name("peer-read".to_owned())
            .spawn(move || read_answers(&reader, &awaited, &dropped, bounds.max_frame_bytes))?;
        Ok(Self {
            stream,
            pending,
            writer,
        })
    }

    fn send(&self, frame: &[u8]) -> Result<(), FrameError> {
        frame::write(&*lock(&self.writer), frame)
    }

    fn close(&self) {
        // The connection may be closed already.
        drop(self.stream.shutdown(Shutdown::Both));
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.close();
    }
}

fn read_answers(
    stream: &TcpStream,
    pending: &PendingCalls,
    dropped: &AtomicU64,
    max_frame_bytes: usize,
) {
    loop {
        let body = match frame::read(stream, max_frame_bytes) {
            Ok(Some(body)) => body,
            Ok(None) => break,
            Err(error) => {
                if !error.is_connection() {
                    log::warn!(peer:? = stream.peer_addr().ok(); "closing connection: {error}");
                }
                break;
            }
        };
        let sender = postcard::take_from_bytes::<u64>(&body)
            .ok()
            .and_then(|(id, _)| pending.take(id));
        let delivered = sender.is_some_and(|sender| sender.send(body).is_ok());
        if !delivered {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
    drop(stream.shutdown(Shutdown::Both));
    pending.close();
}

/// Senders for the answers to pending calls, by id; `None` once the connection has closed.
struct PendingCalls(Mutex<Option<HashMap<u64, Sender<Vec<u8>>>>>);

impl Default for PendingCalls {
    fn default() -> Self {
        Self(Mutex::new(Some(HashMap::new())))
    }
}

impl PendingCalls {
    /// Adds a call; returns false when the connection has closed.
    fn add(&self, id: u64, sender: Sender<Vec<u8>>) -> bool {
        let mut calls = lock(&self.0);
        let Some(calls) = calls.as_mut() else {
            return false;
        };
        calls.insert(id, sender);
        true
    }

    fn cancel(&self, id: u64) {
        self.take(id);
    }

    fn take(&self, id: u64) -> Option<Sender<Vec<u8>>> {
        lock(&self.0).as_mut()?.remove(&id)
    }

    fn is_open(&self) -> bool {
        lock(&self.0).is_some()
    }

    fn close(&self) {
        *lock(&self.0) = None;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
