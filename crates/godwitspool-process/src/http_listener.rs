//! An HTTP listener that goes on after a failed accept.

use std::{
    fmt, io,
    net::{Shutdown, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use socket2::{SockRef, TcpKeepalive};
use tiny_http::{Request, Server};

/// Time without a request, after the stop, that ends the listener.
const LAST_QUIET: Duration = Duration::from_millis(100);
/// Longest time from the stop to the end of the listener.
const LAST_BOUND: Duration = Duration::from_secs(1);
/// Longest time from the stop in which late requests are still given out.
const LATE_BOUND: Duration = Duration::from_secs(5);
const REOPEN_PAUSE: Duration = Duration::from_millis(50);
const BACKLOG: i32 = 1_024;
const SILENCE: Duration = Duration::from_secs(30);

/// Receives HTTP requests from a listener.
///
/// The server inside ends for good when an accept fails, for one because descriptors are used up.
/// This opens a new one on the same listener, so that no caller finds the port closed.
pub struct HttpListener {
    address: SocketAddr,
    /// When the first wait after the stop began.
    ended: OnceLock<Instant>,
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
    /// Starts to accept connections.
    ///
    /// # Errors
    ///
    /// When the listener can't be served.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        let socket = SockRef::from(&listener);
        // The standard library's backlog of 128 makes callers of a burst wait a second.
        socket.listen(BACKLOG)?;
        // Accepted sockets inherit both.
        socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(SILENCE))?;
        socket.set_tcp_user_timeout(Some(SILENCE))?;
        Ok(Self {
            address: listener.local_addr()?,
            ended: OnceLock::new(),
            reopened: AtomicU64::new(0),
            server: Mutex::new(Arc::new(open(&listener)?)),
            stopped: AtomicBool::new(false),
            listener,
        })
    }

    /// Returns the address served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often an accept failed and the server was opened anew.
    pub fn reopened(&self) -> u64 {
        self.reopened.load(Ordering::Relaxed)
    }

    /// Waits for the next request; nothing once [`HttpListener::stop`] was called.
    pub fn next(&self) -> Option<Request> {
        loop {
            let server = self.server();
            // The marker that ends a wait comes once, so no wait without a bound follows the stop.
            if self.stopped.load(Ordering::Acquire) {
                return self.next_of_the_last(&server);
            }
            match server.recv() {
                Ok(request) => return Some(request),
                Err(_) if self.stopped.load(Ordering::Acquire) => {
                    return self.next_of_the_last(&server);
                }
                Err(error) => self.reopen(&server, &error),
            }
        }
    }

    /// Accepts no further connection and ends every [`HttpListener::next`], under way and to come,
    /// once it has given out what was received.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        // New callers are refused by the system, so they know that nothing ran.
        if let Err(error) = SockRef::from(&self.listener).shutdown(Shutdown::Both) {
            log::debug!(address:% = self.address; "listener was closed before: {error}");
        }
        self.server().unblock();
    }

    /// Waits for a request on a connection that was accepted before the stop.
    fn next_of_the_last(&self, server: &Server) -> Option<Request> {
        receive_within(server, LAST_QUIET.min(self.left(LAST_BOUND)))
    }

    /// Waits for a request that came after [`HttpListener::next`] had ended, on a connection accepted
    /// before the stop; nothing once five seconds have passed since.
    pub fn next_after_stop(&self) -> Option<Request> {
        receive_within(&self.server(), self.left(LATE_BOUND))
    }

    /// Returns what is left of a bound that began with the first wait after the stop.
    fn left(&self, bound: Duration) -> Duration {
        let since = *self.ended.get_or_init(Instant::now);
        bound.saturating_sub(since.elapsed())
    }

    fn reopen(&self, failed: &Arc<Server>, error: &io::Error) {
        let mut server = self.server.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&server, failed) {
            return;
        }
        self.reopened.fetch_add(1, Ordering::Relaxed);
        log::warn!(address:% = self.address; "accept failed: {error}");
        thread::sleep(REOPEN_PAUSE);
        match open(&self.listener) {
            Ok(opened) => *server = Arc::new(opened),
            Err(error) => log::warn!(address:% = self.address; "can't open anew: {error}"),
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

/// Waits for a request for the whole bound, whatever else ends a wait of the server.
fn receive_within(server: &Server, bound: Duration) -> Option<Request> {
    let end = Instant::now() + bound;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if let Ok(Some(request)) = server.recv_timeout(left) {
            return Some(request);
        }
        if left.is_zero() {
            return None;
        }
    }
}
