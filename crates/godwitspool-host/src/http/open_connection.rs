use std::{
    io::{self, Write},
    net::{IpAddr, Shutdown, TcpStream},
    sync::{
        Arc, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::Millis;

use super::{Candidate, Response};
use crate::lease_clock;

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
    address: IpAddr,
    /// Number of requests that have been answered.
    answered: AtomicU64,
    /// When the request began, by the lease clock in milliseconds.
    began: AtomicU64,
    /// Bytes of the server's memory budget that the connection holds.
    held: AtomicUsize,
    /// When bytes last went in either direction, by the same clock.
    progressed: AtomicU64,
}

impl OpenConnection {
    /// Wraps the socket of a connection that waits for its first request.
    pub fn new(socket: Arc<TcpStream>, address: IpAddr) -> Self {
        let now = lease_clock();
        Self {
            socket,
            phase: Mutex::default(),
            address,
            answered: AtomicU64::new(0),
            began: AtomicU64::new(now.0),
            held: AtomicUsize::new(0),
            progressed: AtomicU64::new(now.0),
        }
    }

    /// Returns the caller's address.
    pub fn address(&self) -> IpAddr {
        self.address
    }

    /// Returns the number of bytes of the memory budget that the connection holds.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }

    /// Sets the number of bytes of the memory budget that the connection holds, and returns the previous
    /// one.
    pub fn set_held(&self, bytes: usize) -> usize {
        self.held.swap(bytes, Ordering::SeqCst)
    }

    /// Records that bytes went in either direction.
    pub fn record_progress(&self) {
        self.progressed.store(lease_clock().0, Ordering::Relaxed);
    }

    /// Returns what decides whether the connection is ended in favour of another one.
    pub fn candidate(&self, number: u64, now: Millis) -> Candidate {
        let age = |since: &AtomicU64| Millis(now.0.saturating_sub(since.load(Ordering::Relaxed)));
        Candidate {
            number,
            address: self.address,
            phase: self.phase(),
            bytes: self.held(),
            answered: self.answered.load(Ordering::Relaxed),
            age: age(&self.began),
            quiet: age(&self.progressed),
        }
    }

    /// Ends the connection in favour of another one, unless its request is being handled: refuses a
    /// request that hasn't been read whole, and wakes the connection's thread. Returns whether it was
    /// ended.
    pub fn end(&self, refusal: &Response) -> bool {
        let mut current = self.lock();
        if matches!(*current, Phase::Handling | Phase::Closed) {
            return false;
        }
        if *current == Phase::Reading {
            let bytes = refusal.clone().with("Connection", "close").encode();
            // A caller that doesn't read has its connection closed all the same.
            if let Err(error) = (&*self.socket).write(&bytes) {
                log::debug!(error:%; "can't send a refusal");
            }
        }
        *current = Phase::Closed;
        if let Err(error) = self.socket.shutdown(Shutdown::Both) {
            log::debug!(error:%; "can't shut a connection down");
        }
        true
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
        match phase {
            Phase::Idle => drop(self.answered.fetch_add(1, Ordering::Relaxed)),
            Phase::Reading => self.began.store(lease_clock().0, Ordering::Relaxed),
            Phase::Handling | Phase::Responding | Phase::Closed => {}
        }
        *current = phase;
        drop(current);
        self.record_progress();
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
