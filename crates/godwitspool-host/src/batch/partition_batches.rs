use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
    time::Duration,
};

use godwitspool_types::Workspace;

use super::{
    Batch, BatchLife, EarlyEnds, StoredBatch, Submission,
    batch_key::{batch_id, batch_key},
};

/// The batches of a partition, as the records of the store make them.
///
/// An owner that follows the records and one that loads the newest of each key come to the same state, in whatever
/// order the store has done the writes. Both apply what they read by [`Self::apply`].
#[derive(Debug, Default)]
pub struct PartitionBatches {
    /// Batches whose items are known, by key.
    pub loaded: BTreeMap<String, Batch>,
    /// Batches that are in the store only, since there is no memory for them, by key.
    pub parked: BTreeMap<String, ParkedBatch>,
    /// Ends that came before the submission of their batch.
    pub early_ends: EarlyEnds,
}

/// A batch that is in the store only. Its items don't run, and it is read from the store.
#[derive(Clone, Debug, Default)]
pub struct ParkedBatch {
    /// The batch without its items.
    pub head: Submission,
    /// What decides how long it is kept.
    pub life: BatchLife,
    /// Memory that it needs at least.
    pub wanted: usize,
    /// Number of chunks of its submission.
    pub chunks: u32,
}

/// What records of the store change for a partition's batches.
#[derive(Debug)]
pub enum BatchChange {
    /// A submission is whole.
    Accepted(Batch),
    /// A caller has ended the batch with a key.
    Ended {
        /// Key of the batch.
        key: String,
        /// When it was ended, in milliseconds since 1970.
        ended_ms: u64,
    },
    /// The record of the end of the batch with a key was removed.
    EndRemoved(String),
    /// A submission is whole, and there is no memory for it.
    Parked(ParkedBatch),
    /// The records of the batch with a key were removed.
    Removed(String),
    /// The submission of the batch with a key isn't whole, or can't be decoded.
    Unreadable(String),
}

impl BatchChange {
    /// Returns the key of the batch.
    pub fn key(&self) -> &str {
        match self {
            Self::Accepted(batch) => batch.submission.key(),
            Self::Parked(parked) => parked.head.key(),
            Self::Ended { key, .. }
            | Self::EndRemoved(key)
            | Self::Removed(key)
            | Self::Unreadable(key) => key,
        }
    }
}

/// What became of a [`BatchChange`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The batch is new, and its items have to run.
    Accepted,
    /// The batch is new, and its caller had ended it before.
    AcceptedEnded,
    /// The batch is ended now.
    Ended,
    /// The end is kept until the submission comes.
    EndedEarly,
    /// Nothing has changed, or something was removed.
    Nothing,
}

/// What of a partition is to be removed from the store.
#[derive(Debug, Default)]
pub struct Expired {
    /// Batches with their results.
    pub kept: Vec<StoredBatch>,
    /// Keys of batches that aren't kept whole.
    pub stored: Vec<String>,
    /// Keys of batches that were ended and whose submission never came.
    pub ends: Vec<String>,
}

impl From<Vec<Batch>> for PartitionBatches {
    fn from(batches: Vec<Batch>) -> Self {
        let keyed = |batch: Batch| (batch.submission.key().to_owned(), batch);
        Self {
            loaded: batches.into_iter().map(keyed).collect(),
            ..Self::default()
        }
    }
}

impl PartitionBatches {
    /// Applies a change.
    pub fn apply(&mut self, change: BatchChange) -> Applied {
        match change {
            BatchChange::Accepted(batch) => self.accept(batch),
            BatchChange::Ended { key, ended_ms } => self.end(&key, ended_ms),
            BatchChange::EndRemoved(key) => {
                // A batch that was ended stays so.
                self.early_ends.remove(&key);
                Applied::Nothing
            }
            BatchChange::Parked(parked) => self.park(parked),
            BatchChange::Removed(key) => {
                self.loaded.remove(&key);
                self.parked.remove(&key);
                Applied::Nothing
            }
            BatchChange::Unreadable(_) => Applied::Nothing,
        }
    }

    /// Returns whether the submission of a batch is known.
    pub fn knows(&self, key: &str) -> bool {
        self.loaded.contains_key(key) || self.parked.contains_key(key)
    }

    /// Returns a loaded batch if it belongs to the workspace, or to any if none is given.
    pub fn find(&self, key: &str, workspace: Option<&Workspace>) -> Option<&Batch> {
        let batch = self.loaded.get(key)?;
        let allowed = workspace.is_none_or(|workspace| batch.submission.workspace == *workspace);
        allowed.then_some(batch)
    }

    /// Replaces a parked batch by the batch, which has been loaded. Returns whether it was parked.
    pub fn unpark(&mut self, mut batch: Batch) -> bool {
        let key = batch.submission.key().to_owned();
        let Some(parked) = self.parked.remove(&key) else {
            return false;
        };
        batch.ended = parked.life.ended;
        batch.read_ms = parked.life.read_ms;
        self.loaded.insert(key, batch);
        true
    }

    /// Returns what has expired, `ttl` after it was submitted or ended.
    pub fn expired(&self, now_ms: u64, ttl: Duration) -> Expired {
        let mut expired = Expired {
            ends: self.early_ends.expired(now_ms, ttl),
            ..Expired::default()
        };
        for (key, batch) in &self.loaded {
            if batch.is_expired(now_ms, ttl) {
                match batch.results.all_kept() {
                    Some(results) => {
                        expired.kept.push((Arc::clone(&batch.submission), results));
                    }
                    None => expired.stored.push(key.clone()),
                }
            }
        }
        let parked = self.parked.iter();
        let over = parked.filter(|(_, parked)| parked.life.is_expired(now_ms, ttl));
        expired.stored.extend(over.map(|(key, _)| key.clone()));
        expired
    }

    fn accept(&mut self, mut batch: Batch) -> Applied {
        let key = batch.submission.key();
        if self.parked.contains_key(key) {
            return Applied::Nothing;
        }
        let Entry::Vacant(entry) = self.loaded.entry(key.to_owned()) else {
            // A caller that got no answer has sent its submission again.
            return Applied::Nothing;
        };
        let ended = self.early_ends.take(&batch.submission);
        batch.ended |= ended;
        entry.insert(batch);
        accepted(ended)
    }

    fn park(&mut self, mut parked: ParkedBatch) -> Applied {
        let key = parked.head.key().to_owned();
        if self.knows(&key) {
            return Applied::Nothing;
        }
        let ended = self.early_ends.take(&parked.head);
        parked.life.ended |= ended;
        self.parked.insert(key, parked);
        accepted(ended)
    }

    fn end(&mut self, key: &str, ended_ms: u64) -> Applied {
        let loaded = find_ended(&mut self.loaded, key, |batch| &batch.submission);
        let ended = match loaded {
            Some(batch) => Some(&mut batch.ended),
            None => find_ended(&mut self.parked, key, |parked| &parked.head)
                .map(|parked| &mut parked.life.ended),
        };
        let Some(ended) = ended else {
            self.early_ends.insert(key, ended_ms);
            return Applied::EndedEarly;
        };
        if std::mem::replace(ended, true) {
            Applied::Nothing
        } else {
            Applied::Ended
        }
    }
}

fn accepted(ended: bool) -> Applied {
    if ended {
        Applied::AcceptedEnded
    } else {
        Applied::Accepted
    }
}

/// Returns the batch that an end with this key is meant for. A batch that was stored by an earlier build has
/// its identifier as its key, and is ended by its own workspace only.
fn find_ended<'a, T>(
    batches: &'a mut BTreeMap<String, T>,
    key: &str,
    submission: impl Fn(&T) -> &Submission,
) -> Option<&'a mut T> {
    if batches.contains_key(key) {
        return batches.get_mut(key);
    }
    let earlier = batches.get_mut(batch_id(key))?;
    let stored = submission(earlier);
    let own = batch_key(Some(&stored.workspace), &stored.id);
    (own == key).then_some(earlier)
}
