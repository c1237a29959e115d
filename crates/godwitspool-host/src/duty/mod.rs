//! Decisions of the host that holds the duties: which target loads which version of a model.

mod loads;

pub use loads::{LoadView, Loading, next_load, plan_loads};
