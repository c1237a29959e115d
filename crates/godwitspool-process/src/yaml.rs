//! YAML parsed into a tree in which every node has its place in the file.
//!
//! A serde derive stops at the first mistake; with a tree, all mistakes are found in one run.

mod fields;
mod node;

pub(crate) use fields::{EXPECTED_NAME, is_name};
pub use fields::{Fields, parse_duration};
pub use node::{Entry, Node, Value, parse};
