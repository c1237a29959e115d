//! Decisions of the host that holds the duties: which target loads which version of a model.

mod lease;
mod load_limit;
mod loads;

pub use lease::{Lease, TermStart};
pub use load_limit::LoadLimit;
pub use loads::{LoadView, Loading, next_load, plan_loads};
