//! Decisions of the host that holds the duties: which target loads which version of a model.

mod lease;
mod loads;

pub use lease::{Lease, TermStart};
pub use loads::{LoadView, Loading, next_load, plan_loads};
