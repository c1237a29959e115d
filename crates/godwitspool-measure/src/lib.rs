//! Measurements of slopes and policies, one command a table.
//!
//! ```sh
//! cargo run --release --bin godwitspool-measure -- herd --seed 7 --out docs/measurements
//! ```
//!
//! Every command fills a [`Table`], prints it and writes it as CSV. A policy and its simple baselines
//! stand in the same table, from the same run and seed.

mod capacity;
mod command;
mod control;
mod fit;
mod handover;
mod options;
mod plots;
mod policies;
mod process_usage;
mod rollout;
mod series;
mod serving;
mod slopes;
mod system;
mod table;

pub use capacity::{CapacityError, page_matches, write_page};
pub use command::Command;
pub use fit::{Fit, Point};
pub use options::Options;
pub use plots::draw_plots;
pub use series::{Series, time_us};
pub use table::Table;
