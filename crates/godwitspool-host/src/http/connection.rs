use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::{AsFd, BorrowedFd},
    time::{Duration, Instant},
};

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

/// Bytes that one read takes from the socket.
const READ_BYTES: usize = 16 * 1024;
/// A peer whose acknowledgements fail to come for so long is gone; below the contact bound of three
/// seconds that operators commonly set.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before a probe of a silent connection, and between probes.
const KEEPALIVE: Duration = Duration::from_secs(2);

/// A socket that doesn't block, with the bytes that arrived and weren't decoded yet.
#[derive(Debug)]
pub struct Connection {
    socket: TcpStream,
    /// Bytes that arrived and weren't decoded yet.
    pub input: Vec<u8>,
    /// When the last exchange on it ended.
    pub idle_since: Instant,
    /// How long the other side keeps it open while idle, if it said so.
    pub idle_bound: Option<Duration>,
    /// Requests sent on it so far.
    pub requests: u64,
}

/// What a read found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Received {
    /// Bytes were added to the input.
    Bytes,
    /// Nothing has arrived.
    Nothing,
    /// The other side has closed its end.
    End,
}

impl Connection {
    /// Takes over an accepted socket.
    ///
    /// # Errors
    ///
    /// When the socket is broken already.
    pub fn accepted(socket: TcpStream) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        set_bounds(&SockRef::from(&socket))?;
        Ok(Self::new(socket))
    }

    /// Begins to connect; the socket becomes writable once the attempt has ended.
    ///
    /// # Errors
    ///
    /// When the attempt fails at once.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_nonblocking(true)?;
        set_bounds(&SockRef::from(&socket))?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(error) if error.raw_os_error() == Some(IN_PROGRESS) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        Ok(Self::new(socket.into()))
    }

    fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            input: Vec::new(),
            idle_since: Instant::now(),
            idle_bound: None,
            requests: 0,
        }
    }

    /// Returns why the connection attempt failed, if it did.
    ///
    /// # Errors
    ///
    /// With the reason of the failure.
    pub fn check_connected(&self) -> io::Result<()> {
        match self.socket.take_error()? {
            Some(error) => Err(error),
            None => Ok(()),
        }
    }

    /// Reads what has arrived.
    ///
    /// # Errors
    ///
    /// When the connection was reset.
    pub fn receive(&mut self) -> io::Result<Received> {
        let length = self.input.len();
        self.input.resize(length + READ_BYTES, 0);
        let read = self.socket.read(&mut self.input[length..]);
        let received = *read.as_ref().unwrap_or(&0);
        self.input.truncate(length + received);
        match read {
            Ok(0) => Ok(Received::End),
            Ok(_) => Ok(Received::Bytes),
            Err(error) if is_transient(&error) => Ok(Received::Nothing),
            Err(error) => Err(error),
        }
    }

    /// Sends what the socket takes and returns how many bytes that were.
    ///
    /// # Errors
    ///
    /// When the connection is broken.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.socket.write(bytes) {
            Ok(sent) => Ok(sent),
            Err(error) if is_transient(&error) => Ok(0),
            Err(error) => Err(error),
        }
    }

    /// Tells whether an idle connection can carry another request: nothing has arrived on it, and
    /// its idle bound isn't near.
    pub fn is_reusable(&mut self) -> bool {
        let fresh = match self.idle_bound {
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

/// `EINPROGRESS`, which the standard library has no stable name for.
const IN_PROGRESS: i32 = 115;

fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

fn set_bounds(socket: &SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(1);
    socket.set_tcp_keepalive(&keepalive)
}
