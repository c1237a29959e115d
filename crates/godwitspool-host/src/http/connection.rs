use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::{AsFd, BorrowedFd},
    sync::Arc,
    time::{Duration, Instant},
};

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

/// Maximum number of bytes taken from the socket per read.
const MAX_READ_BYTES: usize = 16 * 1024;
/// A connection whose sent data stays unacknowledged for this long is closed (`TCP_USER_TIMEOUT`).
/// Operators commonly require a dead peer to be detected within 3 s; this is below that.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// A non-blocking TCP connection with its input buffer.
#[derive(Debug)]
pub struct Connection {
    socket: Arc<TcpStream>,
    /// Bytes received but not yet decoded.
    pub input: Vec<u8>,
    /// When the last exchange on this connection ended, or when it was created.
    pub idle_since: Instant,
    /// How long the peer keeps the connection open while idle, from its `Keep-Alive` header. `None`
    /// if the peer didn't state it.
    pub keep_alive_timeout: Option<Duration>,
    /// Number of requests started on this connection.
    pub requests: u64,
    /// Whether a request was begun whose response isn't complete. The connection is reset if it is
    /// dropped in this state.
    pub in_exchange: bool,
}

/// Resets the connection if its request was abandoned. After a normal close, bytes that a cut holds
/// up would still arrive once it heals, seconds after the caller has given the request up.
impl Drop for Connection {
    fn drop(&mut self) {
        if self.in_exchange
            && let Err(error) = SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO))
        {
            log::debug!(error:%; "can't reset an abandoned connection");
        }
    }
}

/// Whether the kernel gives up a connection after unanswered data or keepalive probes.
///
/// A connection that the kernel gives up can't be reset any more, so what a cut holds up still arrives once the cut
/// heals. Where every exchange has a timeout of its own, the kernel's are off, from the start: a connection that a
/// cut finds with them on may be given up although they are turned off afterwards.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum KernelTimeouts {
    /// It gives up none. Dead idle connections are noticed when they are used.
    #[default]
    Off,
    /// It gives them up after a few seconds.
    On,
}

/// Result of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Received {
    /// Bytes were appended to the input buffer.
    Bytes,
    /// No bytes are available now.
    Nothing,
    /// The peer has closed its end.
    End,
}

impl Connection {
    /// Wraps an accepted socket and sets its options.
    ///
    /// # Errors
    ///
    /// Fails if a socket option can't be set, for example because the peer has already disconnected.
    pub fn accepted(socket: TcpStream) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        set_options(&SockRef::from(&socket))?;
        Ok(Self::new(socket))
    }

    /// Starts connecting. The socket becomes writable once the attempt has succeeded or failed. `timeouts` says
    /// whether the kernel gives up the connection after unanswered data or keepalive probes.
    ///
    /// # Errors
    ///
    /// Returns the error if the attempt fails immediately.
    pub fn connect(address: SocketAddr, timeouts: KernelTimeouts) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_nonblocking(true)?;
        match timeouts {
            KernelTimeouts::On => set_options(&SockRef::from(&socket))?,
            KernelTimeouts::Off => socket.set_tcp_nodelay(true)?,
        }
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        Ok(Self::new(socket.into()))
    }

    fn new(socket: TcpStream) -> Self {
        Self {
            socket: Arc::new(socket),
            input: Vec::new(),
            idle_since: Instant::now(),
            keep_alive_timeout: None,
            requests: 0,
            in_exchange: false,
        }
    }

    /// Returns a handle to the socket for use by another thread.
    pub fn socket(&self) -> Arc<TcpStream> {
        Arc::clone(&self.socket)
    }

    /// Checks whether the connection attempt has failed.
    ///
    /// # Errors
    ///
    /// Returns the error with which the attempt failed.
    pub fn check_connected(&self) -> io::Result<()> {
        match self.socket.take_error()? {
            Some(error) => Err(error),
            None => Ok(()),
        }
    }

    /// Appends available bytes to the input buffer.
    ///
    /// # Errors
    ///
    /// Returns the error of the read, for example after a connection reset.
    pub fn receive(&mut self) -> io::Result<Received> {
        let length = self.input.len();
        self.input.resize(length + MAX_READ_BYTES, 0);
        let read = (&*self.socket).read(&mut self.input[length..]);
        let received = *read.as_ref().unwrap_or(&0);
        self.input.truncate(length + received);
        match read {
            Ok(0) => Ok(Received::End),
            Ok(_) => Ok(Received::Bytes),
            Err(error) if is_transient(&error) => Ok(Received::Nothing),
            Err(error) => Err(error),
        }
    }

    /// Writes as many bytes as the socket accepts and returns their number, 0 if the write would
    /// block.
    ///
    /// # Errors
    ///
    /// Fails if the connection has failed.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match (&*self.socket).write(bytes) {
            Ok(sent) => Ok(sent),
            Err(error) if is_transient(&error) => Ok(0),
            Err(error) => Err(error),
        }
    }

    /// Returns whether an idle connection can carry another request: no bytes have arrived on it,
    /// and less than three quarters of the peer's keep-alive timeout have passed.
    pub fn is_reusable(&mut self) -> bool {
        let fresh = match self.keep_alive_timeout {
            Some(bound) => self.idle_since.elapsed() < bound * 3 / 4,
            None => true,
        };
        fresh && self.input.is_empty() && matches!(self.receive(), Ok(Received::Nothing))
    }
}

impl AsFd for Connection {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}

/// Linux error number; `std::io::ErrorKind` has no stable variant for it.
const EINPROGRESS: i32 = 115;

fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

fn set_options(socket: &SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(1);
    socket.set_tcp_keepalive(&keepalive)
}
