use std::{fmt, sync::Arc};

use super::{MemoryBudget, Response};

/// What a server's clients may make it use, besides the [`Bounds`](super::Bounds) of one request.
#[derive(Clone)]
pub struct Limits {
    /// Memory that all requests and responses may hold together.
    pub memory: Arc<MemoryBudget>,
    /// Number of open connections.
    pub connections: usize,
    /// Number of open connections from one address.
    pub per_address: usize,
    /// Minimum rate of a body in bytes per second, on average beyond the idle timeout. 0 allows any.
    pub rate: u64,
    /// Size of the kernel's buffers for what a connection has received and nobody has read, and for what its
    /// caller hasn't accepted. `None` leaves them to the kernel, which takes several megabytes for each.
    pub buffer: Option<usize>,
    /// Response to a request that is refused before it was handled.
    pub refusal: Response,
    /// Called for each connection that a limit has ended.
    pub observe: Arc<dyn Fn(Limited) + Send + Sync>,
}

impl Default for Limits {
    /// No limits.
    fn default() -> Self {
        Self {
            memory: Arc::new(MemoryBudget::new(usize::MAX)),
            connections: usize::MAX,
            per_address: usize::MAX,
            rate: 0,
            buffer: None,
            refusal: Response::new(503, Vec::new()),
            observe: Arc::new(|_| {}),
        }
    }
}

impl fmt::Debug for Limits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Limits")
            .field("memory", &self.memory)
            .field("connections", &self.connections)
            .field("per_address", &self.per_address)
            .field("rate", &self.rate)
            .field("buffer", &self.buffer)
            .finish_non_exhaustive()
    }
}

/// The limit that has ended a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limited {
    /// The memory for requests and responses is taken.
    Memory,
    /// The number of connections is reached, in all or from one address.
    Connections,
    /// A body or response was slower than the minimum rate.
    Rate,
}

impl Limited {
    /// Returns the name of the limit in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::Rate => "rate",
        }
    }
}
