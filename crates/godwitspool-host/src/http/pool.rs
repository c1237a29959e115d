use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::PoisonError,
    time::{Duration, Instant},
};

use godwitspool_sync::{Mutex, MutexGuard};

use super::Connection;

/// Maximum number of idle connections per address; more would only consume file descriptors.
const MAX_IDLE_PER_ADDRESS: usize = 16;
/// Interval between two searches for idle connections that can't be used any more.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<Idle>,
    interval: Duration,
}

#[derive(Debug)]
struct Idle {
    connections: HashMap<SocketAddr, Vec<Connection>>,
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
            swept_at: Instant::now(),
        };
        Self {
            idle: Mutex::new(idle),
            interval,
        }
    }

    /// Returns an idle connection, or starts a new one.
    ///
    /// # Errors
    ///
    /// Returns the error if the connection attempt fails immediately.
    pub fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        match self.take(address) {
            Some(connection) => Ok(connection),
            None => Connection::connect(address),
        }
    }

    /// Takes an idle connection that can carry another request, and closes those that can't.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let mut connection = self.lock().connections.get_mut(&address)?.pop()?;
            if connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool, or closes it if the address has the maximum of idle ones. Now
    /// and then, closes the connections that can't be used any more: nobody asks for those to addresses
    /// that are gone.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        let mut pool = self.lock();
        if pool.swept_at.elapsed() >= self.interval {
            pool.sweep();
        }
        let idle = pool.connections.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(connection);
        }
    }

    /// Closes all idle connections to an address.
    pub fn close(&self, address: SocketAddr) {
        self.lock().connections.remove(&address);
    }

    /// Returns the number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.lock().connections.values().map(Vec::len).sum()
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
    }
}
