//! A TCP relay in front of a listener that can close, silence or refuse connections.

use std::{
    fmt,
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::server::lock;

const BUFFER_BYTES: usize = 16 << 10;
const STACK_BYTES: usize = 128 << 10;
const RETRY_DELAY: Duration = Duration::from_millis(10);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A TCP relay to one upstream address.
///
/// ```
/// use std::net::{SocketAddr, TcpListener};
///
/// use godwitspool_fakes::Relay;
///
/// let upstream = TcpListener::bind("127.0.0.1:0")?;
/// let relay = Relay::start(SocketAddr::from(([127, 0, 0, 1], 0)), upstream.local_addr()?)?;
/// relay.silence();
/// relay.cut();
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct Relay {
    accept: Option<JoinHandle<()>>,
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    connections: Mutex<Vec<Arc<Connection>>>,
    /// Whether responses are held back.
    held: Mutex<bool>,
    /// Whether new connections are accepted but carry no data.
    mute: AtomicBool,
    accept_state: Mutex<AcceptState>,
    /// Notified when `held` changes.
    release: Condvar,
    /// Notified when `accept_state` changes.
    wake: Condvar,
}

#[derive(Default)]
struct AcceptState {
    listening: bool,
    /// The phase requested; `listening` follows with a delay.
    phase: Phase,
}

#[derive(Clone, Copy, Default, Eq, PartialEq)]
enum Phase {
    /// Accepts connections.
    #[default]
    Up,
    /// The listener is closed.
    Down,
    /// The listener is closed and the accept thread ends.
    Stopped,
}

struct Connection {
    client: TcpStream,
    /// Whether received data is discarded.
    silent: AtomicBool,
    server: TcpStream,
}

impl Relay {
    /// Listens on an address and relays every connection to the upstream one.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub fn start(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        lock(&shared.accept_state).listening = true;
        let accept = {
            let shared = Arc::clone(&shared);
            thread::spawn(move || accept(listener, address, upstream, &shared))
        };
        Ok(Self {
            accept: Some(accept),
            address,
            shared,
        })
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all open connections; new ones work.
    pub fn cut(&self) {
        for connection in lock(&self.shared.connections).drain(..) {
            connection.close();
        }
    }

    /// Discards all further data on the open connections without closing them; new ones work.
    pub fn silence(&self) {
        for connection in lock(&self.shared.connections).iter() {
            connection.silent.store(true, Ordering::Relaxed);
        }
    }

    /// Silences all open connections, and new ones while set. Connections that were silenced stay
    /// silent.
    pub fn set_partition(&self, on: bool) {
        self.shared.mute.store(on, Ordering::Relaxed);
        if on {
            self.silence();
        }
    }

    /// Holds responses back while set and delivers them afterwards. Requests are relayed without
    /// delay, so the upstream receives each one when it is sent.
    pub fn set_held(&self, on: bool) {
        *lock(&self.shared.held) = on;
        self.shared.release.notify_all();
    }

    /// Closes all open connections and refuses new ones while set.
    pub fn set_down(&self, on: bool) {
        self.set_phase(if on { Phase::Down } else { Phase::Up });
        if on {
            self.cut();
        }
    }

    /// Sets the phase and waits until the accept thread has bound or closed the listener, or until
    /// [`CONNECT_TIMEOUT`].
    fn set_phase(&self, phase: Phase) {
        lock(&self.shared.accept_state).phase = phase;
        self.shared.wake.notify_all();
        if phase != Phase::Up {
            // Unblocks the accept thread.
            drop(TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT));
        }
        let state = lock(&self.shared.accept_state);
        let changing = |state: &mut AcceptState| {
            state.phase == phase && state.listening != (phase == Phase::Up)
        };
        drop(
            self.shared
                .wake
                .wait_timeout_while(state, CONNECT_TIMEOUT, changing),
        );
    }
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.set_held(false);
        self.set_phase(Phase::Stopped);
        self.cut();
        if let Some(accept) = self.accept.take() {
            drop(accept.join());
        }
        self.cut();
    }
}

impl Connection {
    fn close(&self) {
        drop(self.client.shutdown(Shutdown::Both));
        drop(self.server.shutdown(Shutdown::Both));
    }
}

fn accept(listener: TcpListener, address: SocketAddr, upstream: SocketAddr, shared: &Arc<Shared>) {
    let mut listener = Some(listener);
    loop {
        let phase = {
            let mut state = lock(&shared.accept_state);
            state.listening = listener.is_some();
            shared.wake.notify_all();
            state.phase
        };
        match (phase, &listener) {
            (Phase::Stopped, _) => break,
            (Phase::Down, Some(_)) => listener = None,
            (Phase::Down, None) => {
                let state = lock(&shared.accept_state);
                drop(
                    shared
                        .wake
                        .wait_while(state, |state| state.phase == Phase::Down),
                );
            }
            (Phase::Up, None) => match TcpListener::bind(address) {
                Ok(bound) => listener = Some(bound),
                Err(_) => thread::sleep(RETRY_DELAY),
            },
            (Phase::Up, Some(bound)) => accept_one(bound, upstream, shared),
        }
    }
    drop(listener);
    lock(&shared.accept_state).listening = false;
    shared.wake.notify_all();
}

fn accept_one(bound: &TcpListener, upstream: SocketAddr, shared: &Arc<Shared>) {
    let accepted = bound.accept();
    if lock(&shared.accept_state).phase != Phase::Up {
        return;
    }
    match accepted {
        Ok((client, _)) => drop(connect(client, upstream, shared)),
        Err(_) => thread::sleep(RETRY_DELAY),
    }
}

fn connect(client: TcpStream, upstream: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    // An upstream that listens on all addresses is reached over loopback.
    let upstream = match upstream {
        SocketAddr::V4(v4) if v4.ip().is_unspecified() => (Ipv4Addr::LOCALHOST, v4.port()).into(),
        other => other,
    };
    let server = TcpStream::connect_timeout(&upstream, CONNECT_TIMEOUT)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let silent = AtomicBool::new(shared.mute.load(Ordering::Relaxed));
    let connection = Arc::new(Connection {
        client,
        silent,
        server,
    });
    lock(&shared.connections).push(Arc::clone(&connection));
    spawn_copy(&connection, shared, true)?;
    spawn_copy(&connection, shared, false)
}

fn spawn_copy(
    connection: &Arc<Connection>,
    shared: &Arc<Shared>,
    to_server: bool,
) -> io::Result<()> {
    let connection = Arc::clone(connection);
    let shared = Arc::clone(shared);
    let copy = move || {
        let (from, to) = if to_server {
            (&connection.client, &connection.server)
        } else {
            (&connection.server, &connection.client)
        };
        let held = (!to_server).then_some(&*shared);
        copy(from, to, &connection.silent, held);
        // A silent connection doesn't forward the end of the stream either.
        if !connection.silent.load(Ordering::Relaxed) {
            drop(to.shutdown(Shutdown::Write));
        }
        if to_server {
            remove(&connection, &shared);
        }
    };
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(copy)
        .map(drop)
}

fn remove(connection: &Arc<Connection>, shared: &Shared) {
    if connection.silent.load(Ordering::Relaxed) {
        connection.close();
    }
    lock(&shared.connections).retain(|other| !Arc::ptr_eq(other, connection));
}

fn copy(mut from: &TcpStream, mut to: &TcpStream, silent: &AtomicBool, held: Option<&Shared>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match from.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(_) if silent.load(Ordering::Relaxed) => {}
            Ok(count) => {
                if let Some(shared) = held {
                    drop(shared.release.wait_while(lock(&shared.held), |held| *held));
                }
                if to.write_all(&buffer[..count]).is_err() {
                    return;
                }
            }
        }
    }
}
