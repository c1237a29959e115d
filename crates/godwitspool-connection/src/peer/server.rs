//! The answering end.

use std::{
    collections::HashMap,
    fmt, io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use godwitspool_types::Millis;
use serde::{Serialize, de::DeserializeOwned};
use socket2::SockRef;

use super::{
    frame::{self, FrameError, Tagged},
    pool::Pool,
    watch_silence,
};

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of a [`Server`].
#[derive(Clone, Copy, Debug)]
pub struct ServeBounds {
    /// Most connections; a further one is closed at once.
    pub max_connections: usize,
    /// Largest frame, in bytes.
    pub max_frame_bytes: usize,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Millis,
    /// Most calls in progress.
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
    /// Sets the most connections.
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the largest frame, in bytes.
    pub fn with_max_frame_bytes(mut self, max_frame_bytes: usize) -> Self {
        self.max_frame_bytes = max_frame_bytes;
        self
    }

    /// Sets the idle time after which a connection is closed.
    pub fn with_idle_timeout(mut self, idle_timeout: Millis) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Sets the most calls in progress.
    pub fn with_max_threads(mut self, max_threads: usize) -> Self {
        self.max_threads = max_threads;
        self
    }
}

/// What a [`Server`] has counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerCounts {
    /// Accept calls that failed.
    pub accept_errors: u64,
    /// Calls answered.
    pub answered: u64,
    /// Connections closed for a frame that was cut, damaged or too large.
    pub damaged: u64,
    /// Connections open now.
    pub open: usize,
    /// Connections refused because too many were open.
    pub refused: u64,
}

/// Answers calls on a listener until it is stopped or dropped.
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
    /// Starts to answer calls with `handler`, which may be called by several threads at once.
    ///
    /// # Errors
    ///
    /// When the listener has no address or no thread can be started.
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
        let accept = Accept {
            bounds,
            handler: Arc::new(handler),
            pool: pool.clone(),
            shared: Arc::clone(&shared),
        };
        let own = listener.try_clone()?;
        let thread = thread::Builder::new()
            .name("peer-accept".to_owned())
            .spawn(move || accept.run(&listener))?;
        Ok(Self {
            address,
            listener: own,
            pool,
            shared,
            thread: Some(thread),
        })
    }

    /// Returns the address served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what was counted so far.
    pub fn counts(&self) -> ServerCounts {
        ServerCounts {
            accept_errors: self.shared.accept_errors.load(Ordering::Relaxed),
            answered: self.shared.answered.load(Ordering::Relaxed),
            damaged: self.shared.damaged.load(Ordering::Relaxed),
            open: self.shared.open().len(),
            refused: self.shared.refused.load(Ordering::Relaxed),
        }
    }

    /// Takes no further call, answers those in progress and closes the connections.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.shared.stopped.store(true, Ordering::Release);
        // Wakes the accept call; a listener that failed before is woken already.
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
        self.end();
    }
}

impl Shared {
    fn open(&self) -> std::sync::MutexGuard<'_, HashMap<u64, TcpStream>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn shutdown(&self, how: Shutdown) {
        for stream in self.open().values() {
            // The other end may have closed it already.
            drop(stream.shutdown(how));
        }
    }
}

// ---

struct Accept<Handler> {
    bounds: ServeBounds,
    handler: Arc<Handler>,
    pool: Pool,
    shared: Arc<Shared>,
}

impl<Handler> Accept<Handler> {
    fn run<Request, Answer>(&self, listener: &TcpListener)
    where
        Handler: Fn(Request) -> Answer + Send + Sync + 'static,
        Request: DeserializeOwned + Send + 'static,
        Answer: Serialize + 'static,
    {
        let mut next = 0;
        while !self.shared.stopped.load(Ordering::Acquire) {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(_) if self.shared.stopped.load(Ordering::Acquire) => return,
                Err(error) => {
                    self.shared.accept_errors.fetch_add(1, Ordering::Relaxed);
                    log::warn!("accept failed: {error}");
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                }
            };
            next += 1;
            if let Err(error) = self.admit(next, stream) {
                log::warn!("connection not served: {error}");
            }
        }
    }

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
        let span = self.bounds.idle_timeout.duration();
        watch_silence(&stream, self.bounds.idle_timeout)?;
        stream.set_read_timeout(Some(span))?;
        stream.set_write_timeout(Some(span))?;
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
        if let Err(error) = self.read_all(stream)
            && !error.is_connection()
        {
            self.shared.damaged.fetch_add(1, Ordering::Relaxed);
            log::warn!(peer:? = stream.peer_addr().ok(); "{error}");
        }
        // Answers in progress are still written; the other end sees the close behind them.
        self.shared.open().remove(&self.id);
    }

    fn read_all<Request, Answer>(&self, stream: &TcpStream) -> Result<(), FrameError>
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
        let bound = self.bounds.max_frame_bytes;
        self.pool.run(Box::new(move || {
            let answer = Tagged {
                id: message.id,
                body: handler(message.body),
            };
            let writer = writer.lock().unwrap_or_else(PoisonError::into_inner);
            let written =
                frame::encode(&answer, bound).and_then(|frame| frame::write(&*writer, &frame));
            match written {
                Ok(()) => {
                    shared.answered.fetch_add(1, Ordering::Relaxed);
                }
                Err(error) => {
                    log::warn!("answer not sent: {error}");
                    drop(writer.shutdown(Shutdown::Both));
                }
            }
        }));
    }
}
