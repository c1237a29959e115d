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

/// What a socket is waited for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Interest {
    /// Bytes or the end of the stream have arrived.
    pub read: bool,
    /// Bytes can be sent, or a connection attempt has ended.
    pub write: bool,
    /// The other side has closed its end.
    pub hangup: bool,
}

/// Waits until a socket is ready or the time has passed; returns what is ready of each.
///
/// # Errors
///
/// When the operating system refuses the wait. A signal doesn't end it.
pub fn wait(
    sockets: &[(BorrowedFd<'_>, Interest)],
    timeout: Option<Duration>,
) -> io::Result<Vec<Interest>> {
    let mut polled: Vec<PollFd<'_>> = sockets
        .iter()
        .map(|(socket, interest)| PollFd::from_borrowed_fd(*socket, flags(*interest)))
        .collect();
    let due = timeout.map(|timeout| Instant::now() + timeout);
    loop {
        let left = due.map(|due| due.saturating_duration_since(Instant::now()));
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

/// Ends a [`wait`] of another thread.
#[derive(Debug)]
pub struct Waker {
    reader: OwnedFd,
    writer: OwnedFd,
}

impl Waker {
    /// Opens the pipe.
    ///
    /// # Errors
    ///
    /// When no pipe can be opened.
    pub fn new() -> io::Result<Self> {
        let (reader, writer) = pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK)?;
        Ok(Self { reader, writer })
    }

    /// Ends the wait. A full pipe has ended it already.
    pub fn wake(&self) {
        let _ = write(&self.writer, &[1]);
    }

    /// Forgets the wake-ups so far.
    pub fn clear(&self) {
        let mut bytes = [0; 64];
        while read(&self.reader, &mut bytes).is_ok_and(|length| length == bytes.len()) {}
    }

    /// Returns what a wait includes.
    pub fn socket(&self) -> (BorrowedFd<'_>, Interest) {
        let interest = Interest {
            read: true,
            ..Interest::default()
        };
        (self.reader.as_fd(), interest)
    }
}
