use std::{collections::HashMap, io, net::SocketAddr, sync::PoisonError};

use godwitspool_sync::{Mutex, MutexGuard};

use super::Connection;

/// Maximum number of idle connections per address; more would only consume file descriptors.
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool(Mutex<HashMap<SocketAddr, Vec<Connection>>>);

impl Pool {
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
            let mut connection = self.lock().get_mut(&address)?.pop()?;
            if connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool, or closes it if the address has the maximum of idle ones.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        let mut pool = self.lock();
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(connection);
        }
    }

    /// Closes all idle connections to an address.
    pub fn close(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
