//! HTTP/1.1 on plain sockets: one server and one client for the whole process.
//!
//! Sockets don't block; their owners wait on several at once with [`wait`], so a request sees its
//! caller leave while the target works.

mod connection;
mod decode;
mod exchange;
mod message;
mod pool;
mod server;
mod wait;

pub use connection::{Connection, Received};
pub use decode::{BodyDecoder, Chunk, DecodeError, decode_request, decode_response};
pub use exchange::{CallError, Exchange, Progress};
pub use message::{Headers, Request, Response};
pub use pool::Pool;
pub use server::{Bounds, Caller, ReadError, Server};
pub use wait::{Interest, Waker, wait};
