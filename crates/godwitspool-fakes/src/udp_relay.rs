//! A UDP relay to one upstream address that can drop all datagrams.

use std::{
    fmt, io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::server::lock;

const MAX_DATAGRAM_BYTES: usize = 64 << 10;
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);

/// A UDP relay between one upstream address and the client that sent the latest datagram.
///
/// ```
/// use std::net::UdpSocket;
///
/// use godwitspool_fakes::UdpRelay;
///
/// let upstream = UdpSocket::bind("127.0.0.1:0")?;
/// let relay = UdpRelay::start("127.0.0.1:0".parse().unwrap(), upstream.local_addr()?)?;
/// let client = UdpSocket::bind("127.0.0.1:0")?;
/// client.send_to(b"hello", relay.address())?;
/// let mut buffer = [0; 8];
/// let (length, from) = upstream.recv_from(&mut buffer)?;
/// assert_eq!(&buffer[..length], b"hello");
/// upstream.send_to(b"answer", from)?;
/// assert_eq!(client.recv_from(&mut buffer)?, (6, relay.address()));
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct UdpRelay {
    address: SocketAddr,
    partitioned: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl UdpRelay {
    /// Listens on an address and relays datagrams to and from the upstream address.
    ///
    /// # Errors
    ///
    /// Returns the error of binding an address or of configuring a socket.
    pub fn start(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let front = Arc::new(UdpSocket::bind(listen)?);
        let back = Arc::new(UdpSocket::bind((upstream.ip(), 0))?);
        let address = front.local_addr()?;
        let partitioned = Arc::new(AtomicBool::new(false));
        let stopped = Arc::new(AtomicBool::new(false));
        let client = Arc::new(Mutex::new(None::<SocketAddr>));
        let inward = {
            let client = Arc::clone(&client);
            move |from: SocketAddr| {
                *lock(&client) = Some(from);
                Some(upstream)
            }
        };
        let outward = move |_| *lock(&client);
        let threads = vec![
            copy(&front, &back, &partitioned, &stopped, inward)?,
            copy(&back, &front, &partitioned, &stopped, outward)?,
        ];
        Ok(Self {
            address,
            partitioned,
            stopped,
            threads,
        })
    }

    /// Returns the address that clients send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all datagrams in both directions while set.
    pub fn set_partition(&self, on: bool) {
        self.partitioned.store(on, Ordering::Relaxed);
    }
}

impl fmt::Debug for UdpRelay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UdpRelay")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
    }
}

fn copy(
    from: &Arc<UdpSocket>,
    to: &Arc<UdpSocket>,
    partitioned: &Arc<AtomicBool>,
    stopped: &Arc<AtomicBool>,
    route: impl Fn(SocketAddr) -> Option<SocketAddr> + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    from.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
    let (from, to) = (Arc::clone(from), Arc::clone(to));
    let (partitioned, stopped) = (Arc::clone(partitioned), Arc::clone(stopped));
    thread::Builder::new().spawn(move || {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !stopped.load(Ordering::Relaxed) {
            let Ok((length, sender)) = from.recv_from(&mut buffer) else {
                continue;
            };
            let receiver = route(sender).filter(|_| !partitioned.load(Ordering::Relaxed));
            if let Some(receiver) = receiver {
                drop(to.send_to(&buffer[..length], receiver));
            }
        }
    })
}
