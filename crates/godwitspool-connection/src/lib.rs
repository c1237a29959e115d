//! What lives for a connection: platform and target clients, peer links, streams and silence
//! detection.
//!
//! Wire types are types of their own. The platform and the targets speak JSON over HTTP; the system's
//! own processes speak postcard over TCP and UDP.

pub mod engine;
pub mod http;
pub mod messages;
pub mod peer;
pub mod platform;
