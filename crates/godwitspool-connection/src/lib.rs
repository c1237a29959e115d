//! What lives for a connection: platform and target clients, peer links, streams and silence
//! detection.
//!
//! Wire types are types of their own. The platform and the targets speak JSON over HTTP; the system's
//! own processes speak postcard over TCP and UDP.

mod call_error;
mod checked_body;
pub mod engine;
pub mod http;
mod lane;
pub mod messages;
pub mod peer;
mod plain_call;
pub mod platform;
mod target_client;
mod token_stream;

pub use call_error::CallError;
pub use plain_call::{Header, PlainAnswer, PlainCall};
pub use target_client::TargetClient;
pub use token_stream::TokenStream;
