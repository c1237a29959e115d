use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// First port that is handed out. The ports end below those that Linux gives to sockets without a
/// port of their own (32768 and up), so none is taken between the answer and its use.
const FIRST_PORT: u16 = 12_000;
/// Ports of one process.
const PROCESS_PORTS: u16 = 100;
/// Processes that have ports of their own; their ids tell them apart.
const PROCESSES: u16 = 200;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address that nobody uses, each time another one.
///
/// # Errors
///
/// When all ports of this process are used.
///
/// ```
/// use godwitspool_fakes::free_address;
///
/// let (one, other) = (free_address()?, free_address()?);
/// assert_ne!(one, other);
/// assert!(one.port() < 32_768, "never one that the system gives to others");
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn free_address() -> io::Result<SocketAddr> {
    let own = process::id() % u32::from(PROCESSES);
    let first = FIRST_PORT + own as u16 * PROCESS_PORTS;
    let mut ports = (0..PROCESS_PORTS).map(|_| {
        let number = NEXT.fetch_add(1, Ordering::SeqCst) % PROCESS_PORTS;
        SocketAddr::from((Ipv4Addr::LOCALHOST, first + number))
    });
    let free = ports.find(|address| TcpListener::bind(address).is_ok());
    free.ok_or_else(|| io::ErrorKind::AddrInUse.into())
}
