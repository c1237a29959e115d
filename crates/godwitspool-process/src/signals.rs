//! Signals that end a process.

use std::{io, sync::mpsc::Sender, thread};

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shutdown {
    /// Leave gracefully: the first SIGTERM or SIGINT.
    Drain,
    /// End at once: any later one.
    Now,
}

/// Sends each SIGTERM and SIGINT of the process to a channel from now on.
///
/// # Errors
///
/// When the signals can't be caught or no thread can be started.
pub fn watch<Event>(subscriber: Sender<Event>) -> io::Result<()>
where
    Event: From<Shutdown> + Send + 'static,
{
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let watch = move || {
        let mut shutdown = Shutdown::Drain;
        for _ in signals.forever() {
            if subscriber.send(shutdown.into()).is_err() {
                return;
            }
            shutdown = Shutdown::Now;
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(watch)
        .map(drop)
}
