//! The server side of calls between processes.

use std::{
    collections::HashMap,
    fmt, io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use godwitspool_sync::Mutex;
use godwitspool_types::Millis;
use serde::{Serialize, de::DeserializeOwned};
use socket2::SockRef;

use super::{
    enable_keepalive,
    frame::{self, FrameError, Tagged},
    pool::Pool,
};

/// Pause after a failed accept, so that a lasting error, such as a lack of file descriptors,
/// doesn't cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeouts and limits of a [`Server`].
#[derive(Clone, Copy, Debug)]
pub struct ServeBounds {
    /// Maximum number of open connections; a further one is closed immediately. 512 by default.
    pub max_connections: usize,
    /// Maximum size of a frame's body; 16 MiB by default.
    pub max_frame_bytes: usize,
    /// Time without received data after which a connection is closed; 60 s by default.
    pub idle_timeout: Millis,
    /// Maximum number of calls in progress; 256 by default.
    pub max_threads: usize,
}

impl Default for ServeBounds {
    fn default() -> Self {
        Self {
            max_connections: 512,
            max_frame_bytes: 16 << 20,
            idle_timeout: Millis(60_000),
            max_threads: 256,
        }
    }
}

impl ServeBounds {
    /// Sets the maximum number of open connections.
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the maximum size of a frame's body, in bytes.
    pub fn with_max_frame_bytes(mut self, max_frame_bytes: usize) -> Self {
        self.max_frame_bytes = max_frame_bytes;
        self
    }

    /// Sets the time without received data after which a connection is closed.
    pub fn with_idle_timeout(mut self, idle_timeout: Millis) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Sets the maximum number of calls in progress.
    pub fn with_max_threads(mut self, max_threads: usize) -> Self {
        self.max_threads = max_threads;
        self
    }
}

/// Counters of a [`Server`] since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerCounts {
    /// Failed accepts.
    pub accept_errors: u64,
    /// Calls whose answer was written to the connection.
    pub answered: u64,
    /// Connections that were closed for a truncated, invalid or oversized frame.
    pub damaged: u64,
    /// Connections that are open now.
    pub open: usize,
    /// Connections that were closed immediately because too many were open.
    pub refused: u64,
}

/// A server that answers calls on a listener until it is stopped or dropped.
pub struct Server {
    address: SocketAddr,
    listener: TcpListener,
    pool: Pool,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    accept_errors: AtomicU64,
    answered: AtomicU64,
    damaged: AtomicU64,
    open: Mutex<HashMap<u64, TcpStream>>,
    refused: AtomicU64,
    stopped: AtomicBool,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .field("counts", &self.counts())
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Starts a server that answers calls with `handler`. Several threads call it at the same time.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener has no address or no thread can be started.
    pub fn start<Request, Answer>(
        listener: TcpListener,
        bounds: ServeBounds,
        handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
    ) -> io::Result<Self>
    where
        Request: DeserializeOwned + Send + 'static,
        Answer: Serialize + 'static,
    {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let pool = Pool::new(bounds.max_threads);
        let acceptor = Acceptor {
            bounds,
            handler: Arc::new(handler),
            pool: pool.clone(),
            shared: Arc::clone(&shared),
        };
        let wake = listener.try_clone()?;
        let thread = thread::Builder::new()
            .name("peer-accept".to_owned())
            .spawn(move || acceptor.run(&listener))?;
        Ok(Self {
            address,
            listener: wake,
            pool,
            shared,
            thread: Some(thread),
        })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current counters.
    pub fn counts(&self) -> ServerCounts {
        ServerCounts {
            accept_errors: self.shared.accept_errors.load(Ordering::Relaxed),
            answered: self.shared.answered.load(Ordering::Relaxed),
            damaged: self.shared.damaged.load(Ordering::Relaxed),
            open: self.shared.open().len(),
            refused: self.shared.refused.load(Ordering::Relaxed),
        }
    }

    /// Accepts no further calls, answers those in progress and closes the connections.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.shared.stopped.store(true, Ordering::Release);
        // Wakes the blocking accept. This fails when the listener has failed before; then accept
        // has returned already.
        drop(SockRef::from(&self.listener).shutdown(Shutdown::Both));
        drop(thread.join());
        self.shared.shutdown(Shutdown::Read);
        self.pool.stop();
        self.pool.join();
        self.shared.shutdown(Shutdown::Both);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shut_down();
    }
}

impl Shared {
    fn open(&self) -> godwitspool_sync::MutexGuard<'_, HashMap<u64, TcpStream>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn shutdown(&self, how: Shutdown) {
        for stream in self.open().values() {
            // The other end may have closed the connection already.
            drop(stream.shutdown(how));
        }
    }
}

struct Acceptor<Handler> {
    bounds: ServeBounds,
    handler: Arc<Handler>,
    pool: Pool,
    shared: Arc<Shared>,
}

impl<Handler> Acceptor<Handler> {
    fn run<Request, Answer>(&self, listener: &TcpListener)
    where
        Handler: Fn(Request) -> Answer + Send + Sync + 'static,
        Request: DeserializeOwned + Send + 'static,
        Answer: Serialize + 'static,
    {
        let mut last_id = 0;
        while !self.shared.stopped.load(Ordering::Acquire) {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(_) if self.shared.stopped.load(Ordering::Acquire) => return,
                Err(error) => {
                    self.shared.accept_errors.fetch_add(1, Ordering::Relaxed);
                    log::warn!("can't accept a connection: {error}");
                    thread::sleep(ACCEPT_RETRY_DELAY);
                    continue;
                }
            };
            last_id += 1;
            if let Err(error) = self.admit(last_id, stream) {
                log::warn!("can't serve a connection: {error}");
            }
        }
    }

    /// Starts a thread that reads the connection's requests, or closes it when too many are open.
    fn admit<Request, Answer>(&self, id: u64, stream: TcpStream) -> io::Result<()>
    where
        Handler: Fn(Request) -> Answer + Send + Sync + 'static,
        Request: DeserializeOwned + Send + 'static,
        Answer: Serialize + 'static,
    {
        if self.shared.open().len() >= self.bounds.max_connections {
            self.shared.refused.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let timeout = self.bounds.idle_timeout.duration();
        enable_keepalive(&stream, self.bounds.idle_timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        self.shared.open().insert(id, stream.try_clone()?);
        let session = Session {
            bounds: self.bounds,
            handler: Arc::clone(&self.handler),
            id,
            pool: self.pool.clone(),
            shared: Arc::clone(&self.shared),
            writer,
        };
        let spawned = thread::Builder::new()
            .name("peer-serve".to_owned())
            .spawn(move || session.run(&stream));
        if spawned.is_err() {
            self.shared.open().remove(&id);
        }
        spawned.map(drop)
    }
}

struct Session<Handler> {
    bounds: ServeBounds,
    handler: Arc<Handler>,
    id: u64,
    pool: Pool,
    shared: Arc<Shared>,
    writer: Arc<Mutex<TcpStream>>,
}

impl<Handler> Session<Handler> {
    fn run<Request, Answer>(&self, stream: &TcpStream)
    where
        Handler: Fn(Request) -> Answer + Send + Sync + 'static,
        Request: DeserializeOwned + Send + 'static,
        Answer: Serialize + 'static,
    {
        if let Err(error) = self.read_requests(stream)
            && !error.is_connection()
        {
            self.shared.damaged.fetch_add(1, Ordering::Relaxed);
            log::warn!(peer:? = stream.peer_addr().ok(); "closing connection: {error}");
        }
        // Answers in progress are still written; the connection closes after them.
        self.shared.open().remove(&self.id);
    }

    fn read_requests<Request, Answer>(&self, stream: &TcpStream) -> Result<(), FrameError>
    where
        Handler: Fn(Request) -> Answer + Send + Sync + 'static,
        Request: DeserializeOwned + Send + 'static,
        Answer: Serialize + 'static,
    {
        while let Some(body) = frame::read(stream, self.bounds.max_frame_bytes)? {
            self.answer(frame::decode::<Tagged<Request>>(&body)?);
        }
        Ok(())
    }

    fn answer<Request, Answer>(&self, message: Tagged<Request>)
    where
        Handler: Fn(Request) -> Answer + Send + Sync + 'static,
        Request: DeserializeOwned + Send + 'static,
        Answer: Serialize + 'static,
    {
        let handler = Arc::clone(&self.handler);
        let writer = Arc::clone(&self.writer);
        let shared = Arc::clone(&self.shared);
        let max_frame_bytes = self.bounds.max_frame_bytes;
        self.pool.submit(Box::new(move || {
            let answer = Tagged {
                id: message.id,
                body: handler(message.body),
            };
            let writer = writer.lock().unwrap_or_else(PoisonError::into_inner);
            let written = frame::encode(&answer, max_frame_bytes)
                .and_then(|frame| frame::write(&*writer, &frame));
            match written {
                Ok(()) => {
                    shared.answered.fetch_add(1, Ordering::Relaxed);
                }
                Err(error) => {
                    log::warn!("can't send an answer: {error}");
                    drop(writer.shutdown(Shutdown::Both));
                }
            }
        }));
    }
}
