//! The process that runs on each host, for platforms that provide a store but no disk.
//!
//! Callers' requests are forwarded to targets. Batches are stored before they are accepted, run by
//! the one host that owns their partition, and can be read from every host. Hosts need no consensus
//! among themselves: the store assigns partitions and duties, and epochs fence earlier owners.
//!
//! Three traits connect the process to a platform: [`store::Store`], [`dialect::Dialect`] and
//! [`dialect::Duties`].

pub mod batch;
pub mod dialect;
pub mod duty;
pub mod http;
mod lease_clock;
pub mod memory;
pub mod process;
pub mod request;
mod settings;
pub mod store;
pub mod version;

pub use lease_clock::lease_clock;
pub use settings::{ClientLimits, Resources, Settings, StoreBounds};
