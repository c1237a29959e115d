use std::{
    io::{self, Write},
    net::{Shutdown, TcpStream},
    sync::{Arc, PoisonError},
};

use godwitspool_sync::{Mutex, MutexGuard};

use super::Response;

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// No byte of a request has been received.
    #[default]
    Idle,
    /// A part of a request has been received.
    Reading,
    /// The request is being handled, and no byte of its response has been sent.
    Handling,
    /// The response has begun.
    Responding,
    /// The server has sent the last response before the process ends.
    Closed,
}

/// A caller's connection, shared by its thread and the thread that ends the server.
///
/// Both may want to respond to the same request. The phase, which only moves forward within a
/// request, lets one of them do so.
#[derive(Debug)]
pub struct OpenConnection {
    socket: Arc<TcpStream>,
    phase: Mutex<Phase>,
}

impl OpenConnection {
    /// Wraps the socket of a connection that waits for its first request.
    pub fn new(socket: Arc<TcpStream>) -> Self {
        Self {
            socket,
            phase: Mutex::default(),
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.lock()
    }

    /// Enters a phase. Returns false if the server has closed the connection.
    pub fn enter(&self, phase: Phase) -> bool {
        let mut current = self.lock();
        if *current == Phase::Closed {
            return false;
        }
        *current = phase;
        true
    }

    /// Responds in place of the connection's thread, unless that has begun to respond, and closes the
    /// sending direction. Returns the phase that the connection was in.
    ///
    /// # Errors
    ///
    /// Fails if the socket doesn't take the response at once.
    pub fn respond_last(
        &self,
        choose: impl FnOnce(Phase) -> Option<Response>,
    ) -> io::Result<Phase> {
        let mut current = self.lock();
        let phase = *current;
        let Some(response) = choose(phase) else {
            return Ok(phase);
        };
        *current = Phase::Closed;
        let bytes = response.with("Connection", "close").encode();
        let sent = (&*self.socket).write(&bytes)?;
        if sent < bytes.len() {
            return Err(io::ErrorKind::WriteZero.into());
        }
        // The receiving direction stays open: closing it with unread bytes would reset the connection,
        // and the caller might lose the response.
        self.socket.shutdown(Shutdown::Write)?;
        Ok(phase)
    }

    fn lock(&self) -> MutexGuard<'_, Phase> {
        self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
