//! HTTP/1.1 over TCP without TLS: the process's only HTTP server and client.
//!
//! Sockets are non-blocking, and [`wait`] polls several of them at once. A request can therefore
//! notice that its caller has disconnected while it waits for a target.

mod connection;
mod decode;
mod exchange;
mod message;
mod pool;
mod server;
mod wait;

pub use connection::{Connection, Received};
pub use decode::{BodyDecoder, ChunkState, DecodeError, decode_request, decode_response};
pub use exchange::{CallError, Exchange, Progress};
pub use message::{Headers, Request, Response};
pub use pool::Pool;
pub use server::{Bounds, Caller, ReadError, Server};
pub use wait::{Interest, Waker, wait};
