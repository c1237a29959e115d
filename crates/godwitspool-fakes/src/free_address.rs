use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// First port of the first range. All ranges end below the ephemeral ports of Linux (32768 and up),
/// so the kernel doesn't assign a returned port to another socket before the caller binds it.
const FIRST_PORT: u16 = 12_000;
/// Size of the port range of one process.
const PORTS_PER_PROCESS: u16 = 100;
/// Number of port ranges. The process id selects the range, so that parallel test processes use
/// different ports.
const PORT_RANGES: u16 = 200;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address with an unused port, a different one on each call.
///
/// # Errors
///
/// Returns `AddrInUse` if all ports in the range of this process are in use.
///
/// ```
/// use godwitspool_fakes::free_address;
///
/// let (one, other) = (free_address()?, free_address()?);
/// assert_ne!(one, other);
/// assert!(one.port() < 32_768, "not an ephemeral port");
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn free_address() -> io::Result<SocketAddr> {
    let range = process::id() % u32::from(PORT_RANGES);
    let first = FIRST_PORT + range as u16 * PORTS_PER_PROCESS;
    let mut ports = (0..PORTS_PER_PROCESS).map(|_| {
        let number = NEXT.fetch_add(1, Ordering::SeqCst) % PORTS_PER_PROCESS;
        SocketAddr::from((Ipv4Addr::LOCALHOST, first + number))
    });
    let free = ports.find(|address| TcpListener::bind(address).is_ok());
    free.ok_or_else(|| io::ErrorKind::AddrInUse.into())
}
