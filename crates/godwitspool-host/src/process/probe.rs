use std::{
    io,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Timeout for connecting: several round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);
/// Delay of a second connection. A process that ends may close its connections before its listener.
const SECOND_DELAY: Duration = Duration::from_millis(50);

/// What a connection to a target shows of it after others have broken off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// Nothing listens at its address any more.
    Ended,
    /// It takes connections.
    Alive,
    /// It can't be reached.
    Unknown,
}

impl Probe {
    /// Connects to a target's address. Blocks until both connections are made or one has failed.
    pub fn of(address: SocketAddr) -> Self {
        for delay in [Duration::ZERO, SECOND_DELAY] {
            thread::sleep(delay);
            match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    return Self::Ended;
                }
                Err(error) => {
                    log::debug!(address:%, error:%; "can't tell whether a target has ended");
                    return Self::Unknown;
                }
            }
        }
        Self::Alive
    }

    /// Returns the label value in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "target ended",
            Self::Alive => "target alive",
            Self::Unknown => "target unknown",
        }
    }
}
