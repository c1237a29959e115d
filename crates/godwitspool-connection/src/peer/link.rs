//! The calling end.

use std::{
    collections::HashMap,
    fmt, io,
    marker::PhantomData,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, RecvTimeoutError, Sender},
    },
    thread,
};

use godwitspool_types::{Millis, Ran};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

use super::{
    frame::{self, FrameError, Tagged},
    watch_silence,
};

/// Bounds of a [`Link`].
#[derive(Clone, Copy, Debug)]
pub struct LinkBounds {
    /// Time to open a connection.
    pub connect_timeout: Millis,
    /// Time from sending a request to its answer.
    pub answer_timeout: Millis,
    /// Largest frame, in bytes.
    pub max_frame_bytes: usize,
    /// Silence after which the operating system ends the connection.
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
    /// Sets the time to open a connection.
    pub fn with_connect_timeout(mut self, connect_timeout: Millis) -> Self {
        self.connect_timeout = connect_timeout;
        self
    }

    /// Sets the time from sending a request to its answer.
    pub fn with_answer_timeout(mut self, answer_timeout: Millis) -> Self {
        self.answer_timeout = answer_timeout;
        self
    }

    /// Sets the largest frame, in bytes.
    pub fn with_max_frame_bytes(mut self, max_frame_bytes: usize) -> Self {
        self.max_frame_bytes = max_frame_bytes;
        self
    }
}

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// Address called.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The request does not fit a frame; nothing was sent.
    #[snafu(display("request to {address} can't be framed: {source}"))]
    Request {
        /// Address called.
        address: SocketAddr,
        /// Cause.
        source: FrameError,
    },
    /// The answer did not come in time.
    #[snafu(display("no answer from {address} within {bound}"))]
    Timeout {
        /// Address called.
        address: SocketAddr,
        /// Time waited.
        bound: Millis,
    },
    /// The connection ended before the answer.
    #[snafu(display("connection to {address} ended before the answer"))]
    Closed {
        /// Address called.
        address: SocketAddr,
    },
    /// The answer can't be decoded.
    #[snafu(display("answer from {address} can't be read: {source}"))]
    Answer {
        /// Address called.
        address: SocketAddr,
        /// Cause.
        source: FrameError,
    },
}

impl LinkError {
    /// Returns whether the other end may have carried out the request.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Connect { .. } | Self::Request { .. } => Ran::NotRun,
            Self::Timeout { .. } | Self::Closed { .. } => Ran::Unknown,
            Self::Answer { .. } => Ran::Ran,
        }
    }
}

/// Calls one address over one connection, which is opened when needed.
///
/// Calls of several threads are in flight together. A connection on which a call timed out takes no
/// further call; those under way on it end by their own bounds.
pub struct Link<Request, Answer> {
    address: SocketAddr,
    bounds: LinkBounds,
    current: Mutex<Option<Arc<Connection>>>,
    dropped: Arc<AtomicU64>,
    next: AtomicU64,
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
    /// Makes a link that opens its connection at the first call.
    pub fn new(address: SocketAddr, bounds: LinkBounds) -> Self {
        Self {
            address,
            bounds,
            current: Mutex::default(),
            dropped: Arc::default(),
            next: AtomicU64::new(1),
            types: PhantomData,
        }
    }

    /// Returns the address called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many answers came late or with an unknown id and were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// [`LinkError::ran`] says whether the other end may have carried out the request.
    pub fn call(&self, request: &Request) -> Result<Answer, LinkError> {
        self.call_with_timeout(request, self.bounds.answer_timeout)
    }

    /// Sends a request and waits for its answer for a time of its own.
    ///
    /// # Errors
    ///
    /// [`LinkError::ran`] says whether the other end may have carried out the request.
    pub fn call_with_timeout(&self, request: &Request, bound: Millis) -> Result<Answer, LinkError> {
        let address = self.address;
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let message = Tagged { id, body: request };
        let sent = frame::encode(&message, self.bounds.max_frame_bytes)
            .context(RequestSnafu { address })?;
        let connection = self.connection()?;
        let (sender, receiver) = mpsc::channel();
        if !connection.waiting.enter(id, sender) || connection.send(&sent).is_err() {
            self.retire(&connection);
            connection.close();
            return ClosedSnafu { address }.fail();
        }
        let answer = receiver.recv_timeout(bound.duration());
        connection.waiting.leave(id);
        match answer {
            Ok(body) => decode_answer(&body).context(AnswerSnafu { address }),
            Err(RecvTimeoutError::Timeout) => {
                self.retire(&connection);
                TimeoutSnafu { address, bound }.fail()
            }
            Err(RecvTimeoutError::Disconnected) => {
                self.retire(&connection);
                ClosedSnafu { address }.fail()
            }
        }
    }

    fn connection(&self) -> Result<Arc<Connection>, LinkError> {
        let mut current = lock(&self.current);
        if let Some(connection) = current.as_ref().filter(|c| c.waiting.is_open()) {
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

    fn retire(&self, connection: &Arc<Connection>) {
        let mut current = lock(&self.current);
        if current.as_ref().is_some_and(|c| Arc::ptr_eq(c, connection)) {
            *current = None;
        }
    }
}

/// Decodes an answer's body behind its id.
fn decode_answer<Answer: DeserializeOwned>(body: &[u8]) -> Result<Answer, FrameError> {
    frame::decode::<Tagged<Answer>>(body).map(|message| message.body)
}

// ---

/// One connection. It closes with the last call that holds it.
struct Connection {
    stream: TcpStream,
    waiting: Arc<Waiting>,
    writer: Mutex<TcpStream>,
}

impl Connection {
    fn open(address: SocketAddr, bounds: LinkBounds, dropped: &Arc<AtomicU64>) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, bounds.connect_timeout.duration())?;
        watch_silence(&stream, bounds.keepalive_timeout)?;
        stream.set_write_timeout(Some(bounds.answer_timeout.duration()))?;
        let writer = Mutex::new(stream.try_clone()?);
        let reader = stream.try_clone()?;
        let waiting = Arc::new(Waiting::default());
        let read_for = Arc::clone(&waiting);
        let dropped = Arc::clone(dropped);
        thread::Builder::new()
            .name("peer-read".to_owned())
            .spawn(move || read_answers(&reader, &read_for, &dropped, bounds.max_frame_bytes))?;
        Ok(Self {
            stream,
            waiting,
            writer,
        })
    }

    fn send(&self, frame: &[u8]) -> Result<(), FrameError> {
        frame::write(&*lock(&self.writer), frame)
    }

    fn close(&self) {
        // It may be closed already.
        drop(self.stream.shutdown(Shutdown::Both));
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.close();
    }
}

fn read_answers(stream: &TcpStream, waiting: &Waiting, dropped: &AtomicU64, frame_bytes: usize) {
    loop {
        let body = match frame::read(stream, frame_bytes) {
            Ok(Some(body)) => body,
            Ok(None) => break,
            Err(error) => {
                if !error.is_connection() {
                    log::warn!(peer:? = stream.peer_addr().ok(); "{error}");
                }
                break;
            }
        };
        let sender = postcard::take_from_bytes::<u64>(&body)
            .ok()
            .and_then(|(id, _)| waiting.take(id));
        let delivered = sender.is_some_and(|sender| sender.send(body).is_ok());
        if !delivered {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
    drop(stream.shutdown(Shutdown::Both));
    waiting.close();
}

/// Calls that wait for an answer, by id; `None` once the connection has ended.
struct Waiting(Mutex<Option<HashMap<u64, Sender<Vec<u8>>>>>);

impl Default for Waiting {
    fn default() -> Self {
        Self(Mutex::new(Some(HashMap::new())))
    }
}

impl Waiting {
    fn enter(&self, id: u64, sender: Sender<Vec<u8>>) -> bool {
        let mut calls = lock(&self.0);
        let Some(calls) = calls.as_mut() else {
            return false;
        };
        calls.insert(id, sender);
        true
    }

    fn leave(&self, id: u64) {
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
