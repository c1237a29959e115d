//! YAML as a tree whose every node knows its place.
//!
//! A serde derive stops at the first mistake; reading a tree lets all mistakes be found in one run.

mod fields;
mod node;

pub use fields::{Fields, parse_duration};
pub(crate) use fields::{NAME, is_name};
pub use node::{Entry, Node, Value, parse};
