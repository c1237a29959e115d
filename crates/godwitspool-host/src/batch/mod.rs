//! Batches: submitted once, run later, readable in fixed positions.
//!
//! A batch lies whole in a partition of the store before it is accepted, so any host accepts it.
//! One host at a time owns the partition of its results: it runs the items and appends each result
//! under its epoch before the result is shown.

mod order;
mod owner;
mod pace;
mod progress;
mod record;
mod registry;
mod runner;
mod state;
mod stored_results;

pub use order::{order_items, predicted_tokens};
pub use owner::{Owner, StoredBatch, read_stored};
pub use pace::{Move, Pace, RunView, decide_move, median_pace};
pub use progress::{save_progress, save_running};
pub use record::{BatchRecord, partition_of};
pub use registry::{BatchRegistry, Lookup, OwnedPartition, page};
pub use runner::Runner;
pub use state::{Batch, Finished, Item, ItemProgress, ItemState, RunFailure, Verdict};
pub use stored_results::StoredResults;

use std::collections::HashMap;

use godwitspool_types::{ModelName, Workspace};
use serde::{Deserialize, Serialize};

/// A batch as it was submitted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// Identifier of the batch.
    pub id: String,
    /// Whose batch it is.
    pub workspace: Workspace,
    /// Host of its route.
    pub host: String,
    /// Prefix of its route.
    pub prefix: String,
    /// Its model.
    pub model: ModelName,
    /// The trainer's step.
    pub step: u64,
    /// Oldest version of the model that may serve.
    pub min_version: u64,
    /// Whole groups that the trainer waits for.
    pub wanted_groups: u32,
    /// When it was submitted, in milliseconds from 1970.
    pub received_ms: u64,
    /// How long its items must be tried, in milliseconds.
    pub retention_ms: u64,
    /// When its results are due after the submission, in milliseconds.
    pub due_ms: u64,
    /// Failed runs after which an item is given up.
    pub attempts: u32,
    /// Whether a result may hold tokens of one version only.
    pub single_version: bool,
    /// The items.
    pub items: Vec<ItemSpec>,
}

/// A request of a batch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemSpec {
    /// Identifier.
    pub id: String,
    /// Path at the target.
    pub path: String,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Items of a group share their prompt and count only together.
    pub group: String,
    /// The caller's estimate of the tokens that are generated.
    pub hint: Option<u64>,
    /// Prompt's tokens and the most that may be generated.
    pub tokens: u64,
}

/// Result of an item.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemResult {
    /// The item's index in its batch.
    pub item: u32,
    /// Whether the output is whole; otherwise the item was given up.
    pub completed: bool,
    /// Data of all events, one a line.
    pub output: Vec<u8>,
    /// Versions of the model that generated it, ascending.
    pub versions: Vec<u64>,
}

/// Results as a caller reads them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResultPage {
    /// Items of the batch.
    pub total: usize,
    /// Position behind the last result of this page.
    pub next: u64,
    /// Identifier and result of each position.
    pub results: Vec<(String, std::sync::Arc<ItemResult>)>,
}

/// Returns the items of each group, in the order of the batch.
pub fn groups(items: &[ItemSpec]) -> HashMap<&str, Vec<usize>> {
    let mut groups: HashMap<&str, Vec<usize>> = HashMap::new();
    for (index, item) in items.iter().enumerate() {
        groups.entry(&item.group).or_default().push(index);
    }
    groups
}
