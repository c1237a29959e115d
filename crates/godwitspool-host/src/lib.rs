//! One process a host, for platforms that give the hosts a store and no disk.
//!
//! Callers' requests are forwarded to targets; batches are stored before they are accepted, run by
//! the one host that owns their partition, and readable at every host. Hosts agree on nothing among
//! themselves: the store deals partitions and duties, and epochs shut earlier owners out.
//!
//! The platform's messages are met at three edges: [`store::Store`], [`dialect::Dialect`] and
//! [`dialect::Duties`].

pub mod batch;
pub mod dialect;
pub mod duty;
pub mod http;
pub mod process;
pub mod request;
mod settings;
pub mod store;
pub mod version;

pub use settings::{Settings, StoreBounds};
