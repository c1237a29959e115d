//! Calls between the system's own processes: postcard in frames over TCP.
//!
//! A [`Link`] sends requests to one address and matches answers by id, so many calls share one
//! connection, and a late answer is never taken for the answer to another call. A [`Server`]
//! answers them with a bounded number of threads and connections.
//!
//! ```
//! use std::net::TcpListener;
//!
//! use godwitspool_connection::peer::{Link, LinkBounds, ServeBounds, Server};
//!
//! let listener = TcpListener::bind("127.0.0.1:0").unwrap();
//! let address = listener.local_addr().unwrap();
//! let server = Server::start(listener, ServeBounds::default(), |n: u32| n + 1).unwrap();
//! let link = Link::<u32, u32>::new(address, LinkBounds::default());
//! assert_eq!(link.call(&1).unwrap(), 2);
//! server.stop();
//! ```

mod frame;
mod link;
mod pool;
mod server;

use std::net::TcpStream;

use godwitspool_types::Millis;
use socket2::{SockRef, TcpKeepalive};

pub use frame::FrameError;
pub use link::{Link, LinkBounds, LinkError};
pub use server::{ServeBounds, Server, ServerCounts};

/// Makes the operating system close a connection whose other end has been unreachable for
/// `timeout`.
fn enable_keepalive(stream: &TcpStream, timeout: Millis) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let timeout = timeout.duration();
    let interval = (timeout / 4).max(std::time::Duration::from_secs(1));
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(interval)
            .with_interval(interval),
    )?;
    socket.set_tcp_user_timeout(Some(timeout))?;
    stream.set_nodelay(true)
}
