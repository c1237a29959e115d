//! HTTP/1.1 over TCP without TLS: one server and one client implementation for the whole process.
//!
//! Sockets are non-blocking, and [`wait`] polls several of them together. A thread that waits for a
//! target can therefore notice that the caller of the request has disconnected.

mod budget;
mod connection;
mod decode;
mod exchange;
mod limits;
mod memory_budget;
mod message;
mod open_connection;
mod pool;
mod read_error;
mod server;
mod wait;

pub use budget::{
    COVERED_BYTES, Candidate, LARGE_BYTES, Ledger, choose_closed, choose_refused, is_too_slow,
};
pub use connection::{Connection, KernelTimeouts, Received};
pub use decode::{BodyDecoder, ChunkState, DecodeError, decode_request, decode_response};
pub use exchange::{CallError, Exchange, Progress};
pub use limits::{Limited, Limits};
pub use memory_budget::{MemoryBudget, Reclaim, Reservation};
pub use message::{Headers, Request, Response};
pub use open_connection::{OpenConnection, Phase};
pub use pool::Pool;
pub use read_error::ReadError;
pub use server::{Bounds, Caller, LastResponses, Server};
pub use wait::{Interest, Waker, wait};
