use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::PoisonError,
    time::{Duration, Instant},
};

use godwitspool_sync::{Mutex, MutexGuard};

use super::{Connection, KernelTimeouts};

/// Maximum number of idle connections per address; more would only consume file descriptors.
const MAX_IDLE_PER_ADDRESS: usize = 16;
/// Interval between two searches for idle connections that can't be used any more.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<Idle>,
    interval: Duration,
    /// Maximum number of idle connections in all.
    limit: usize,
    timeouts: KernelTimeouts,
}

#[derive(Debug)]
struct Idle {
    connections: HashMap<SocketAddr, Vec<Connection>>,
    /// Number of connections.
    count: usize,
    swept_at: Instant,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(SWEEP_INTERVAL)
    }
}

impl Pool {
    /// Creates an empty pool, which searches at the given interval for connections that can't be used
    /// any more.
    pub fn new(interval: Duration) -> Self {
        let idle = Idle {
            connections: HashMap::new(),
            count: 0,
            swept_at: Instant::now(),
        };
        Self {
            idle: Mutex::new(idle),
            interval,
            limit: usize::MAX,
            timeouts: KernelTimeouts::Off,
        }
    }

    /// Returns the pool with connections that the kernel gives up, for exchanges without timeouts of their own.
    #[must_use]
    pub fn with_kernel_timeouts(mut self) -> Self {
        self.timeouts = KernelTimeouts::On;
        self
    }

    /// Returns the pool with a maximum number of idle connections in all, so that they leave descriptors
    /// to those in use.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Returns an idle connection, or starts a new one.
    ///
    /// # Errors
    ///
    /// Returns the error if the connection attempt fails immediately.
    pub fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        match self.take(address) {
            Some(connection) => Ok(connection),
            None => Connection::connect(address, self.timeouts),
        }
    }

    /// Takes an idle connection that can carry another request, and closes those that can't.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let mut pool = self.lock();
            let mut connection = pool.connections.get_mut(&address)?.pop()?;
            pool.count -= 1;
            drop(pool);
            if connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool, or closes it if the maximum of idle ones is reached. Now
    /// and then, closes the connections that can't be used any more: nobody asks for those to addresses
    /// that are gone.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        let mut pool = self.lock();
        if pool.swept_at.elapsed() >= self.interval {
            pool.sweep();
        }
        if pool.count >= self.limit {
            return;
        }
        let idle = pool.connections.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(connection);
            pool.count += 1;
        }
    }

    /// Closes all idle connections to an address.
    pub fn close(&self, address: SocketAddr) {
        let mut pool = self.lock();
        let closed = pool.connections.remove(&address).unwrap_or_default();
        pool.count -= closed.len();
    }

    /// Returns the number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.lock().count
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Idle {
    fn sweep(&mut self) {
        self.swept_at = Instant::now();
        self.connections.retain(|_, idle| {
            idle.retain_mut(Connection::is_reusable);
            !idle.is_empty()
        });
        self.count = self.connections.values().map(Vec::len).sum();
    }
}
