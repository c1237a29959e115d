//! Decisions of the duties: which target loads which version, what a window's report says.

mod loads;

pub use loads::{LoadView, Loading, next_load, plan_loads};
