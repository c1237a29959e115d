//! Clients of the platform and of targets, and the calls between the system's own processes.
//!
//! The types sent over the network are defined here, apart from the domain types of the other
//! crates. The platform and the targets are called with JSON over HTTP; the system's own processes
//! exchange postcard messages over TCP and UDP.

mod call_error;
mod checked_body;
pub mod engine;
pub mod http;
pub mod messages;
pub mod peer;
mod plain_call;
pub mod platform;
mod target_client;
mod target_connection;
mod token_stream;

pub use call_error::CallError;
pub use plain_call::{Header, PlainAnswer, PlainCall};
pub use target_client::TargetClient;
pub use token_stream::TokenStream;
