//! Batches of requests that are submitted once and run in the background. Each result keeps its
//! position, so callers can read results page by page.
//!
//! A batch is stored completely in a partition of the store before it is accepted, so any host can
//! accept it. One host at a time owns the partition: it runs the items, and appends each result
//! under its epoch before callers can read the result.

mod backoff;
mod batch_key;
mod early_ends;
mod epoch;
mod event_buffer;
mod item_work;
mod items;
mod lengths;
mod loader;
mod order;
mod owner;
mod ownership_lease;
mod pace;
mod partition_batches;
mod partition_copy;
mod progress;
mod record;
mod registry;
mod result_list;
mod reward;
mod runner;
mod state;
mod stored_batch;
mod stored_results;
mod tenure;
mod wire;

pub use backoff::Backoff;
pub use batch_key::{batch_id, batch_key};
pub use early_ends::EarlyEnds;
pub use epoch::next_epoch;
pub use event_buffer::EventBuffer;
pub use items::{Groups, ItemView, Items, PushError};
pub use lengths::{EVENT_TOKENS, RouteLengths};
pub use loader::{Accepted, Assembly, Change};
pub use order::{order_items, predicted_tokens};
pub use owner::Owner;
pub use ownership_lease::OwnershipLease;
pub use pace::{Move, Pace, RunView, decide_move, median_pace};
pub use partition_batches::{Applied, BatchChange, Expired, ParkedBatch, PartitionBatches};
pub use partition_copy::PartitionCopy;
pub use progress::{save_progress, save_running};
pub use record::{BatchRecord, EncodedSubmission, partition_of};
pub use registry::{BatchRegistry, Lookup, OwnedPartition, page};
pub use result_list::ResultList;
pub use reward::{RewardOutcome, call_backoff};
pub use runner::Runner;
pub use state::{
    Batch, BatchLife, Finished, Item, ItemPast, ItemProgress, ItemState, RunFailure, Verdict,
};
pub use stored_batch::{LoadError, StoredBatch, read_results, read_submission};
pub use stored_results::{RestoredResults, StoredResults};
pub use tenure::Tenure;

use godwitspool_types::{ModelName, Workspace};
use serde::{Deserialize, Serialize};

use crate::{process::Shared, version::Fingerprint};

/// A batch as it was submitted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Submission {
    /// Identifier of the batch.
    pub id: String,
    /// Workspace of the caller that submitted it.
    pub workspace: Workspace,
    /// Host of the route to which it was submitted.
    pub host: String,
    /// Path prefix of that route.
    pub prefix: String,
    /// Model that must serve the items.
    pub model: ModelName,
    /// Number of the trainer's step.
    pub step: u64,
    /// Oldest version of the model that may serve an item.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub wanted_groups: u32,
    /// When it was submitted, in milliseconds since 1970.
    pub received_ms: u64,
    /// How long its items must be retried, in milliseconds.
    pub retention_ms: u64,
    /// Time from the submission until its results are due, in milliseconds.
    pub due_ms: u64,
    /// Number of failed runs after which an item is given up: it ends without output.
    pub attempts: u32,
    /// Whether all tokens of a result must come from one version of the model.
    pub single_version: bool,
    /// The items, in the order of the submission.
    pub items: Items,
    /// Version of the configuration by which the batch was accepted. Stored as an extension.
    pub configuration: u64,
    /// Key under which it is stored, if that isn't its identifier. The records' keys contain it.
    pub stored_key: Option<String>,
}

impl Submission {
    /// Returns the key under which the batch is stored and looked up.
    pub fn key(&self) -> &str {
        self.stored_key.as_deref().unwrap_or(&self.id)
    }

    /// Returns the submission without its items.
    pub(crate) fn without_items(&self) -> Self {
        Self {
            id: self.id.clone(),
            workspace: self.workspace.clone(),
            host: self.host.clone(),
            prefix: self.prefix.clone(),
            model: self.model.clone(),
            items: Items::default(),
            stored_key: self.stored_key.clone(),
            ..*self
        }
    }

    /// Returns whether the batch may run by the configuration of this version. An older configuration
    /// than that which accepted the batch may lack its routes, or name services that they have left.
    ///
    /// ```
    /// use godwitspool_host::batch::Submission;
    ///
    /// let submission = Submission {
    ///     configuration: 7,
    ///     ..Submission::default()
    /// };
    /// assert!(!submission.runs_under(6));
    /// assert!(submission.runs_under(7));
    /// ```
    pub fn runs_under(&self, version: u64) -> bool {
        self.configuration <= version
    }
}

/// An item: one request of a batch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemSpec {
    /// Identifier of the item within the batch; also the identifier of its request.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Names and values of the request's header fields.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Name of its group. Items of a group share a prompt, and the trainer uses only complete
    /// groups.
    pub group: String,
    /// The caller's estimate of the number of generated tokens, if it gave one.
    pub hint: Option<u64>,
    /// Tokens of the prompt plus the maximum number of generated tokens.
    pub tokens: u64,
    /// The call that scores the output, if the item has one. Stored as an extension.
    #[serde(skip)]
    pub scorer: Option<ScoreCall>,
}

/// The prompt of an item, as far as its header fields tell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Number of tokens, 0 if it isn't told.
    pub tokens: u64,
    /// Identifier and number of tokens of each part at its beginning that other prompts may share.
    pub parts: Vec<(String, u64)>,
}

impl ItemView<'_> {
    /// Returns the fingerprint of the item in batches of a workspace and host.
    pub fn fingerprint(&self, workspace: &Workspace, host: &str) -> Fingerprint {
        Fingerprint::new(Some(workspace), "POST", host, self.path, self.body).with_id(self.id)
    }
}

/// Returns the name under which this host claims the items and reward calls of a batch.
fn claimant(shared: &Shared, batch: &str) -> String {
    format!("{}/{batch}", shared.member)
}

/// A reward call: the request that scores an item's complete output.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ScoreCall {
    /// Identifier of the request.
    pub id: String,
    /// Value of the `Host` field, which selects the route together with the path.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Vec<u8>,
}

impl ScoreCall {
    /// Returns the fingerprint of the call.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::new(None, "POST", &self.host, &self.path, &self.body).with_id(&self.id)
    }
}

/// The result of an item.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemResult {
    /// Index of the item in its batch.
    pub item: u32,
    /// Whether the output is complete. Otherwise the item was given up and has no output.
    pub completed: bool,
    /// Data of all events, joined with line feeds.
    pub output: Vec<u8>,
    /// Versions of the model that generated the output, in ascending order.
    pub versions: Vec<u64>,
    /// Signature of the successful response to the reward call; `None` if the item has no call or
    /// was given up. Stored as an extension.
    #[serde(skip)]
    pub score: Option<String>,
}

/// A page of a batch's results.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResultPage {
    /// Number of items of the batch.
    pub total: usize,
    /// Position of the first result after this page.
    pub next: u64,
    /// Identifier and result of each item of the page, ordered by position.
    pub results: Vec<(String, std::sync::Arc<ItemResult>)>,
}
