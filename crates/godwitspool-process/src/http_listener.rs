//! An HTTP listener that keeps serving after a failed accept.

use std::{
    fmt, io,
    net::{Shutdown, SocketAddr, TcpListener},
    sync::{
        Arc, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_sync::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tiny_http::{Request, Server};

/// Time without a request after which [`HttpListener::next`] ends once the listener is stopped.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(100);
/// Limit on the time for which [`HttpListener::next`] returns requests after the stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on the time for which [`HttpListener::next_after_stop`] returns requests.
const AFTER_STOP_TIMEOUT: Duration = Duration::from_secs(5);
const REOPEN_DELAY: Duration = Duration::from_millis(50);
/// The standard library's backlog of 128 makes clients in a burst wait for a second.
const BACKLOG: i32 = 1_024;
/// Keepalive time and TCP user timeout of a connection, so that those of unreachable clients end.
const DEAD_CLIENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Receives HTTP requests from a listener.
///
/// A `tiny_http` server stops for good when an accept fails, for example because the process has
/// too many open files. The listener then opens a new server on the same socket, so that the port
/// is never closed to callers.
pub struct HttpListener {
    address: SocketAddr,
    /// When the first wait after the stop began; the timeouts after the stop count from here.
    drain_start: OnceLock<Instant>,
    listener: TcpListener,
    reopened: AtomicU64,
    server: Mutex<Arc<Server>>,
    stopped: AtomicBool,
}

impl fmt::Debug for HttpListener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpListener")
            .field("address", &self.address)
            .field("reopened", &self.reopened())
            .finish_non_exhaustive()
    }
}

impl HttpListener {
    /// Starts to accept connections on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be configured or the server can't be started.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        let socket = SockRef::from(&listener);
        socket.listen(BACKLOG)?;
        // Accepted sockets inherit both options.
        socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(DEAD_CLIENT_TIMEOUT))?;
        socket.set_tcp_user_timeout(Some(DEAD_CLIENT_TIMEOUT))?;
        Ok(Self {
            address: listener.local_addr()?,
            drain_start: OnceLock::new(),
            reopened: AtomicU64::new(0),
            server: Mutex::new(Arc::new(open(&listener)?)),
            stopped: AtomicBool::new(false),
            listener,
        })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often the server was reopened because an accept failed.
    pub fn reopened(&self) -> u64 {
        self.reopened.load(Ordering::Relaxed)
    }

    /// Waits for the next request. After [`HttpListener::stop`] it returns the requests already on
    /// their way, then `None`.
    pub fn next(&self) -> Option<Request> {
        loop {
            let server = self.server();
            // `unblock` in `stop` ends only one wait, so a wait after the stop needs a timeout.
            if self.stopped.load(Ordering::Acquire) {
                return self.next_while_draining(&server);
            }
            match server.recv() {
                Ok(request) => return Some(request),
                Err(_) if self.stopped.load(Ordering::Acquire) => {
                    return self.next_while_draining(&server);
                }
                Err(error) => self.reopen(&server, &error),
            }
        }
    }

    /// Stops accepting connections. Current and later calls of [`HttpListener::next`] return `None`
    /// once the requests already received are handed out.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        // The system refuses new connections from here on, so callers know that nothing was run.
        if let Err(error) = SockRef::from(&self.listener).shutdown(Shutdown::Both) {
            log::debug!(address:% = self.address; "can't shut down the listening socket: {error}");
        }
        self.server().unblock();
    }

    /// Waits for a request on a connection that was accepted before the stop.
    fn next_while_draining(&self, server: &Server) -> Option<Request> {
        receive_within(
            server,
            DRAIN_IDLE_TIMEOUT.min(self.remaining(DRAIN_TIMEOUT)),
        )
    }

    /// Waits for a request that arrives after [`HttpListener::next`] has returned `None`, on a
    /// connection accepted before the stop. Returns `None` five seconds after the first wait that
    /// followed the stop.
    pub fn next_after_stop(&self) -> Option<Request> {
        receive_within(&self.server(), self.remaining(AFTER_STOP_TIMEOUT))
    }

    /// Returns what remains of a timeout that counts from the first wait after the stop.
    fn remaining(&self, timeout: Duration) -> Duration {
        let start = *self.drain_start.get_or_init(Instant::now);
        timeout.saturating_sub(start.elapsed())
    }

    fn reopen(&self, failed: &Arc<Server>, error: &io::Error) {
        let mut server = self.server.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&server, failed) {
            return;
        }
        self.reopened.fetch_add(1, Ordering::Relaxed);
        log::warn!(address:% = self.address; "can't accept a connection: {error}");
        thread::sleep(REOPEN_DELAY);
        match open(&self.listener) {
            Ok(opened) => *server = Arc::new(opened),
            Err(error) => log::warn!(address:% = self.address; "can't reopen listener: {error}"),
        }
    }

    fn server(&self) -> Arc<Server> {
        let server = self.server.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&server)
    }
}

fn open(listener: &TcpListener) -> io::Result<Server> {
    Server::from_listener(listener.try_clone()?, None).map_err(io::Error::other)
}

/// Waits for a request for the whole timeout, even if the server's own wait ends early.
fn receive_within(server: &Server, timeout: Duration) -> Option<Request> {
    let deadline = Instant::now() + timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if let Ok(Some(request)) = server.recv_timeout(remaining) {
            return Some(request);
        }
        if remaining.is_zero() {
            return None;
        }
    }
}
