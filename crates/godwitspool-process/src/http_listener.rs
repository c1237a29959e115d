//! An HTTP listener that goes on after a failed accept.

use std::{
    fmt, io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::{SockRef, TcpKeepalive};
use tiny_http::{Request, Server};

const REOPEN_PAUSE: Duration = Duration::from_millis(50);
const BACKLOG: i32 = 1_024;
const SILENCE: Duration = Duration::from_secs(30);

/// Receives HTTP requests from a listener.
///
/// The server inside ends for good when an accept fails, for one because descriptors are used up.
/// This opens a new one on the same listener, so that no caller finds the port closed.
pub struct HttpListener {
    address: SocketAddr,
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
            match server.recv() {
                Ok(request) => return Some(request),
                Err(_) if self.stopped.load(Ordering::Acquire) => return None,
                Err(error) => self.reopen(&server, &error),
            }
        }
    }

    /// Ends every [`HttpListener::next`] under way and to come.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.server().unblock();
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
