//! A TCP relay in front of a listener, whose connections can be cut, silenced or refused.

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
const BIND_RETRY: Duration = Duration::from_millis(10);
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
    links: Mutex<Vec<Arc<Link>>>,
    /// Answers are kept back.
    held: Mutex<bool>,
    /// New connections are accepted and stay silent.
    mute: AtomicBool,
    gate: Mutex<Gate>,
    release: Condvar,
    wake: Condvar,
}

#[derive(Default)]
struct Gate {
    /// Whether the listener is bound.
    open: bool,
    phase: Phase,
}

#[derive(Clone, Copy, Default, Eq, PartialEq)]
enum Phase {
    /// Accepts connections.
    #[default]
    Up,
    /// The listener is closed.
    Down,
    /// Ends.
    Stopped,
}

struct Link {
    client: TcpStream,
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
        lock(&shared.gate).open = true;
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
        for link in lock(&self.shared.links).drain(..) {
            link.close();
        }
    }

    /// Makes all open connections silent for good, without closing them; new ones work.
    pub fn silence(&self) {
        for link in lock(&self.shared.links).iter() {
            link.silent.store(true, Ordering::Relaxed);
        }
    }

    /// Makes all open connections silent and new ones as well, until unset.
    pub fn set_partition(&self, on: bool) {
        self.shared.mute.store(on, Ordering::Relaxed);
        if on {
            self.silence();
        }
    }

    /// Keeps answers back until unset, and then delivers them. Requests pass at once, so that what the
    /// upstream gets was sent when it gets it.
    pub fn set_held(&self, on: bool) {
        *lock(&self.shared.held) = on;
        self.shared.release.notify_all();
    }

    /// Closes the listener and all open connections until unset.
    pub fn set_down(&self, on: bool) {
        self.set_phase(if on { Phase::Down } else { Phase::Up });
        if on {
            self.cut();
        }
    }

    /// Returns once the listener is closed or bound, as the phase asks.
    fn set_phase(&self, phase: Phase) {
        lock(&self.shared.gate).phase = phase;
        self.shared.wake.notify_all();
        if phase != Phase::Up {
            // Wakes the thread that waits in accept.
            drop(TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT));
        }
        let gate = lock(&self.shared.gate);
        let changing = |gate: &mut Gate| gate.phase == phase && gate.open != (phase == Phase::Up);
        drop(
            self.shared
                .wake
                .wait_timeout_while(gate, CONNECT_TIMEOUT, changing),
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

impl Link {
    fn close(&self) {
        drop(self.client.shutdown(Shutdown::Both));
        drop(self.server.shutdown(Shutdown::Both));
    }
}

fn accept(listener: TcpListener, address: SocketAddr, upstream: SocketAddr, shared: &Arc<Shared>) {
    let mut listener = Some(listener);
    loop {
        let phase = {
            let mut gate = lock(&shared.gate);
            gate.open = listener.is_some();
            shared.wake.notify_all();
            gate.phase
        };
        match (phase, &listener) {
            (Phase::Stopped, _) => break,
            (Phase::Down, Some(_)) => listener = None,
            (Phase::Down, None) => {
                let gate = lock(&shared.gate);
                drop(
                    shared
                        .wake
                        .wait_while(gate, |gate| gate.phase == Phase::Down),
                );
            }
            (Phase::Up, None) => match TcpListener::bind(address) {
                Ok(bound) => listener = Some(bound),
                Err(_) => thread::sleep(BIND_RETRY),
            },
            (Phase::Up, Some(bound)) => accept_one(bound, upstream, shared),
        }
    }
    drop(listener);
    lock(&shared.gate).open = false;
    shared.wake.notify_all();
}

fn accept_one(bound: &TcpListener, upstream: SocketAddr, shared: &Arc<Shared>) {
    let accepted = bound.accept();
    if lock(&shared.gate).phase != Phase::Up {
        return;
    }
    match accepted {
        Ok((client, _)) => drop(link(client, upstream, shared)),
        Err(_) => thread::sleep(BIND_RETRY),
    }
}

fn link(client: TcpStream, upstream: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    // An upstream that is bound to all addresses is reached over loopback.
    let upstream = match upstream {
        SocketAddr::V4(v4) if v4.ip().is_unspecified() => (Ipv4Addr::LOCALHOST, v4.port()).into(),
        other => other,
    };
    let server = TcpStream::connect_timeout(&upstream, CONNECT_TIMEOUT)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let silent = AtomicBool::new(shared.mute.load(Ordering::Relaxed));
    let link = Arc::new(Link {
        client,
        silent,
        server,
    });
    lock(&shared.links).push(Arc::clone(&link));
    spawn_copy(&link, shared, true)?;
    spawn_copy(&link, shared, false)
}

fn spawn_copy(link: &Arc<Link>, shared: &Arc<Shared>, inward: bool) -> io::Result<()> {
    let link = Arc::clone(link);
    let shared = Arc::clone(shared);
    let copy = move || {
        let (from, to) = if inward {
            (&link.client, &link.server)
        } else {
            (&link.server, &link.client)
        };
        let held = (!inward).then_some(&*shared);
        copy(from, to, &link.silent, held);
        // A silent connection tells neither end that the other has gone.
        if !link.silent.load(Ordering::Relaxed) {
            drop(to.shutdown(Shutdown::Write));
        }
        if inward {
            forget(&link, &shared);
        }
    };
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(copy)
        .map(drop)
}

fn forget(link: &Arc<Link>, shared: &Shared) {
    if link.silent.load(Ordering::Relaxed) {
        link.close();
    }
    lock(&shared.links).retain(|other| !Arc::ptr_eq(other, link));
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
