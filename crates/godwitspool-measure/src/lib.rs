//! Measurements of costs by size (slopes) and of policies.
//!
//! ```sh
//! cargo run --release --bin godwitspool-measure -- herd --seed 7 --out docs/measurements
//! ```
//!
//! Every [`Command`] fills one or more [`Table`]s, which are printed and written as CSV. A policy and
//! the simple baselines it is compared with are rows of the same table, from the same run and seed.

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
