use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::{
    Submission,
    batch_key::{batch_key, workspace_hash},
};

/// Maximum number of ends that a partition keeps. An identifier has a few hundred bytes at most.
const MAX_ENDS: usize = 1024;

/// Ends of batches whose submission isn't known yet, by the key of the batch.
///
/// Load pattern: the store does a write seconds after it gave no answer, or a host that was suspended sends one late,
/// so the submission of a batch may be stored behind its end, which the caller knows as acknowledged. Callers also
/// end batches that were removed long ago or never existed, as often as they like. So an end is kept as long as a
/// batch would be, and a workspace with too many of them loses its own oldest ones.
///
/// ```
/// use std::time::Duration;
///
/// use godwitspool_host::batch::{EarlyEnds, Submission, batch_key};
/// use godwitspool_types::Workspace;
///
/// let submission = Submission {
///     id: "step-1".to_owned(),
///     workspace: Workspace::from("a"),
///     stored_key: Some(batch_key(Some(&Workspace::from("a")), "step-1")),
///     ..Submission::default()
/// };
/// let mut ends = EarlyEnds::default();
/// ends.insert(&batch_key(Some(&Workspace::from("b")), "step-1"), 1_000);
/// assert!(!ends.take(&submission), "the end of another workspace's batch");
///
/// ends.insert(submission.key(), 2_000);
/// assert_eq!(ends.expired(2_000, Duration::from_secs(2)).len(), 0);
/// assert!(ends.take(&submission));
/// assert_eq!(ends.expired(4_000, Duration::from_secs(2)).len(), 1);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EarlyEnds {
    /// When each batch was ended, in milliseconds since 1970.
    ends: BTreeMap<String, u64>,
    /// Keys of the ends that were dropped before their time, which the store still has.
    dropped: Vec<String>,
}

impl EarlyEnds {
    /// Keeps the end of a batch that isn't known. If there are too many ends, the oldest of the workspace with the
    /// most of them is dropped.
    pub fn insert(&mut self, key: &str, ended_ms: u64) {
        self.ends.insert(key.to_owned(), ended_ms);
        if self.ends.len() <= MAX_ENDS {
            return;
        }
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for key in self.ends.keys() {
            *counts.entry(workspace_hash(key)).or_default() += 1;
        }
        let of_most = |key: &str| counts[workspace_hash(key)];
        let oldest = self
            .ends
            .iter()
            .max_by_key(|(key, ended_ms)| (of_most(key), std::cmp::Reverse(**ended_ms)));
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.ends.remove(&key);
            self.dropped.push(key);
        }
    }

    /// Takes the end that is meant for a batch which has been submitted. Returns whether there is one.
    pub fn take(&mut self, submission: &Submission) -> bool {
        // Builds before this one stored batches under their identifiers, and ends are stored under the key.
        let own = batch_key(Some(&submission.workspace), &submission.id);
        let ended = self.ends.remove(submission.key()).is_some();
        let ended_by_key = submission.key() != own && self.ends.remove(&own).is_some();
        ended || ended_by_key
    }

    /// Forgets the end of a batch, whose record has been removed from the store.
    pub fn remove(&mut self, key: &str) {
        self.ends.remove(key);
        self.dropped.retain(|dropped| dropped != key);
    }

    /// Returns the keys of the ends whose records are to be removed from the store: those that are older than `ttl`,
    /// and those that were dropped.
    pub fn expired(&self, now_ms: u64, ttl: Duration) -> Vec<String> {
        let ttl_ms = ttl.as_millis() as u64;
        let over = self.ends.iter();
        let over = over.filter(|(_, ended_ms)| ended_ms.saturating_add(ttl_ms) < now_ms);
        let keys = over.map(|(key, _)| key);
        keys.chain(&self.dropped).cloned().collect()
    }
}
