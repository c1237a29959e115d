use std::{
    io,
    os::fd::{AsFd, BorrowedFd, OwnedFd},
    time::{Duration, Instant},
};

use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    io::{Errno, read, write},
    pipe::{PipeFlags, pipe_with},
};

/// Events to poll a socket for, or the events that occurred on it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Interest {
    /// Bytes can be read, or the peer has closed the stream.
    pub read: bool,
    /// Bytes can be written, or a connection attempt has completed.
    pub write: bool,
    /// The peer has closed its end.
    pub hangup: bool,
}

/// Waits until a socket is ready or the timeout expires, and returns the events of each socket.
/// Without a timeout it waits indefinitely. Signals don't end the wait.
///
/// # Errors
///
/// Returns the error of `poll`.
pub fn wait(
    sockets: &[(BorrowedFd<'_>, Interest)],
    timeout: Option<Duration>,
) -> io::Result<Vec<Interest>> {
    let mut polled: Vec<PollFd<'_>> = sockets
        .iter()
        .map(|(socket, interest)| PollFd::from_borrowed_fd(*socket, flags(*interest)))
        .collect();
    let deadline = timeout.map(|timeout| Instant::now() + timeout);
    loop {
        let left = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        let left = left.map(|left| Timespec {
            tv_sec: i64::try_from(left.as_secs()).unwrap_or(i64::MAX),
            tv_nsec: i64::from(left.subsec_nanos()),
        });
        match poll(&mut polled, left.as_ref()) {
            Ok(_) => {
                return Ok(polled
                    .iter()
                    .map(|polled| ready(polled.revents()))
                    .collect());
            }
            Err(Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
    }
}

fn flags(interest: Interest) -> PollFlags {
    let mut flags = PollFlags::empty();
    flags.set(PollFlags::IN, interest.read);
    flags.set(PollFlags::OUT, interest.write);
    flags.set(PollFlags::RDHUP, interest.hangup);
    flags
}

fn ready(flags: PollFlags) -> Interest {
    let broken = flags.intersects(PollFlags::HUP | PollFlags::ERR | PollFlags::NVAL);
    Interest {
        read: broken || flags.contains(PollFlags::IN),
        write: broken || flags.contains(PollFlags::OUT),
        hangup: broken || flags.contains(PollFlags::RDHUP),
    }
}

/// Wakes a thread that is blocked in [`wait`], through a pipe.
#[derive(Debug)]
pub struct Waker {
    reader: OwnedFd,
    writer: OwnedFd,
}

impl Waker {
    /// Creates the pipe.
    ///
    /// # Errors
    ///
    /// Fails if the pipe can't be created.
    pub fn new() -> io::Result<Self> {
        let (reader, writer) = pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK)?;
        Ok(Self { reader, writer })
    }

    /// Wakes the waiting thread. If the pipe is full, a wake-up is pending already.
    pub fn wake(&self) {
        let _ = write(&self.writer, &[1]);
    }

    /// Discards pending wake-ups.
    pub fn clear(&self) {
        let mut bytes = [0; 64];
        while read(&self.reader, &mut bytes).is_ok_and(|length| length == bytes.len()) {}
    }

    /// Returns the descriptor and interest to include in a [`wait`].
    pub fn socket(&self) -> (BorrowedFd<'_>, Interest) {
        let interest = Interest {
            read: true,
            ..Interest::default()
        };
        (self.reader.as_fd(), interest)
    }
}
