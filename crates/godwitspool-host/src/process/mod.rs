//! What lives for the process: shared state, threads that follow the store, duties, peers.

mod calls;
mod duties;
mod host;
mod membership;
mod peers;
mod relay;
mod reports;
mod shared;
mod tails;
mod usage;

pub use host::Host;
pub use relay::Relay;
pub use reports::{LoadNotice, Notice, RunReport};
pub use shared::{Adapters, Shared, unix_ms};
pub use tails::news_wait;
pub use usage::UsageBook;
