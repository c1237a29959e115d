use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use super::Connection;

/// Idle connections kept to one address; more would only hold descriptors.
const IDLE_MAX: usize = 16;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool(Mutex<HashMap<SocketAddr, Vec<Connection>>>);

impl Pool {
    /// Returns an idle connection, or begins to connect.
    ///
    /// # Errors
    ///
    /// When the attempt fails at once.
    pub fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        match self.take(address) {
            Some(connection) => Ok(connection),
            None => Connection::connect(address),
        }
    }

    /// Returns an idle connection that can carry another request.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let mut connection = self.lock().get_mut(&address)?.pop()?;
            if connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Keeps an idle connection.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        let mut pool = self.lock();
        let idle = pool.entry(address).or_default();
        if idle.len() < IDLE_MAX {
            idle.push(connection);
        }
    }

    /// Closes the idle connections to an address.
    pub fn close(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
