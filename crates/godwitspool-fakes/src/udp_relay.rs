//! A UDP relay to one address, which can drop all datagrams.

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

const DATAGRAM_BYTES: usize = 64 << 10;
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);

/// A UDP relay between the last sender and one upstream address.
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
    cut: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl UdpRelay {
    /// Relays between an address and an upstream one.
    ///
    /// # Errors
    ///
    /// Returns the error of binding an address.
    pub fn start(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let front = Arc::new(UdpSocket::bind(listen)?);
        let back = Arc::new(UdpSocket::bind((upstream.ip(), 0))?);
        let address = front.local_addr()?;
        let cut = Arc::new(AtomicBool::new(false));
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
            copy(&front, &back, &cut, &stopped, inward)?,
            copy(&back, &front, &cut, &stopped, outward)?,
        ];
        Ok(Self {
            address,
            cut,
            stopped,
            threads,
        })
    }

    /// Returns the address that clients send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all datagrams until unset.
    pub fn set_partition(&self, on: bool) {
        self.cut.store(on, Ordering::Relaxed);
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
    cut: &Arc<AtomicBool>,
    stopped: &Arc<AtomicBool>,
    route: impl Fn(SocketAddr) -> Option<SocketAddr> + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    from.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
    let (from, to) = (Arc::clone(from), Arc::clone(to));
    let (cut, stopped) = (Arc::clone(cut), Arc::clone(stopped));
    thread::Builder::new().spawn(move || {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        while !stopped.load(Ordering::Relaxed) {
            let Ok((length, sender)) = from.recv_from(&mut buffer) else {
                continue;
            };
            let receiver = route(sender).filter(|_| !cut.load(Ordering::Relaxed));
            if let Some(receiver) = receiver {
                drop(to.send_to(&buffer[..length], receiver));
            }
        }
    })
}
