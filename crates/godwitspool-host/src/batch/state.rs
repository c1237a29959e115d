use std::sync::Arc;

use godwitspool_types::Millis;
use serde::{Deserialize, Serialize};

use super::{ItemResult, Submission, order_items};

/// Pause before an item is tried again after its target failed it; a target that refuses for lack
/// of room pauses itself.
const RETRY_BACKOFF: Millis = Millis(100);
/// Broken runs in a row without an event after which an item may be what crashes its targets.
const MAX_EMPTY_RUNS: u32 = 3;
/// Pause of such an item, doubled with each further run. Below the 5 s without a run after which the
/// platform's rules count an item as forgotten, and long beside the second that a target takes to
/// come back.
const SUSPECT_BACKOFF: Millis = Millis(4_500);
/// Doublings after which the pause stays.
const MAX_DOUBLINGS: u32 = 6;
/// Rejections of an item after which it is given up: one says that it can never be done.
const MAX_REJECTIONS: u32 = 1;

/// What an item has generated so far.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemProgress {
    /// Data of the events, one a line.
    pub text: Vec<u8>,
    /// Number of the last event.
    pub last_event: Option<u64>,
    /// Versions that generated it, in the order of use.
    pub versions: Vec<u64>,
    /// Version that generates now.
    pub version: Option<u64>,
}

impl ItemProgress {
    /// Adds an event.
    pub fn push(&mut self, number: u64, data: &[u8]) {
        if self.last_event.is_some() {
            self.text.push(b'\n');
        }
        self.text.extend_from_slice(data);
        self.last_event = Some(number);
        if let Some(version) = self.version
            && self.versions.last() != Some(&version)
        {
            self.versions.push(version);
        }
    }

    /// Returns the versions ascending, each once.
    pub fn distinct_versions(&self) -> Vec<u64> {
        let mut versions = self.versions.clone();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}

/// Where an item stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemState {
    /// It may start, no sooner than at a time.
    Waiting {
        /// The time.
        not_before: Millis,
    },
    /// It runs at a target.
    Running,
    /// It has ended; its result is listed or on its way to the store.
    Done,
}

/// An item of a batch that this host runs.
#[derive(Clone, Debug)]
pub struct Item {
    /// Where it stands.
    pub state: ItemState,
    /// Runs that failed at their target.
    pub failures: u32,
    /// Runs that the target rejected for good.
    pub rejections: u32,
    /// Broken runs in a row that generated nothing.
    pub empty_runs: u32,
    /// Runs that were moved to another target.
    pub moves: u32,
    /// What was generated so far.
    pub progress: ItemProgress,
    /// Number of the last event that a record of the store holds, or may hold.
    pub saved_event: Option<u64>,
    /// Number of the last event when a run broke last.
    break_event: Option<u64>,
}

impl Item {
    /// Tells whether so many events more than the store holds were generated.
    pub fn has_unsaved(&self, events: u64) -> bool {
        let known = self.progress.last_event.unwrap_or_default();
        self.state != ItemState::Done && known >= self.saved_event.unwrap_or_default() + events
    }

    /// Counts a broken run.
    fn record_break(&mut self) {
        let last = self.progress.last_event;
        self.empty_runs = if last == self.break_event {
            self.empty_runs + 1
        } else {
            0
        };
        self.break_event = last;
    }
}

/// How a run ended without the whole output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunFailure {
    /// The connection broke or fell silent; what has arrived stays.
    Broken,
    /// The target failed the request: an attempt is used up.
    Failed,
    /// The target rejected the request for good.
    Rejected,
    /// It goes on at another target; what has arrived stays.
    Moved,
    /// The target didn't run it.
    NotRun,
    /// The output can't be used, so the next run starts from the beginning.
    Unusable,
}

impl RunFailure {
    /// Returns the value as it stands in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Failed => "failed",
            Self::Moved => "moved",
            Self::NotRun => "not run",
            Self::Rejected => "rejected",
            Self::Unusable => "unusable",
        }
    }
}

/// What follows a failed run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The item is tried again.
    Retry,
    /// The item is given up.
    GiveUp,
}

/// An item that ended, on its way to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finished {
    /// The batch.
    pub batch: String,
    /// The result.
    pub result: ItemResult,
}

/// A batch at the host that owns it.
#[derive(Clone, Debug)]
pub struct Batch {
    /// As it was submitted.
    pub submission: Arc<Submission>,
    /// The items.
    pub items: Vec<Item>,
    /// Results that the store holds, by position.
    pub results: Vec<Arc<ItemResult>>,
    /// Whether it has been ended.
    pub ended: bool,
    order: Vec<usize>,
}

impl Batch {
    /// Takes over a batch with the results that the store holds.
    pub fn new(submission: Arc<Submission>, results: Vec<Arc<ItemResult>>) -> Self {
        let waiting = Item {
            state: ItemState::Waiting {
                not_before: Millis::ZERO,
            },
            failures: 0,
            empty_runs: 0,
            rejections: 0,
            moves: 0,
            progress: ItemProgress::default(),
            saved_event: None,
            break_event: None,
        };
        let mut items = vec![waiting; submission.items.len()];
        for result in &results {
            if let Some(item) = items.get_mut(result.item as usize) {
                item.state = ItemState::Done;
            }
        }
        Self {
            order: order_items(&submission),
            submission,
            items,
            results,
            ended: false,
        }
    }

    /// Takes over what an earlier owner has saved of an item.
    pub fn resume(&mut self, item: u32, progress: ItemProgress) {
        let item = self.items.get_mut(item as usize);
        if let Some(item) = item.filter(|item| item.progress.last_event.is_none()) {
            item.saved_event = progress.last_event;
            if item.state != ItemState::Done {
                item.progress = progress;
            }
        }
    }

    /// Returns the next item that may start now.
    ///
    /// # Errors
    ///
    /// With the time at which the first one may, if none may now.
    pub fn next_item(&self, now: Millis) -> Result<usize, Option<Millis>> {
        if self.ended {
            return Err(None);
        }
        let mut soonest: Option<Millis> = None;
        for index in &self.order {
            match self.items[*index].state {
                ItemState::Waiting { not_before } if not_before <= now => return Ok(*index),
                ItemState::Waiting { not_before } => {
                    soonest = Some(soonest.map_or(not_before, |other| other.min(not_before)));
                }
                ItemState::Running | ItemState::Done => {}
            }
        }
        Err(soonest)
    }

    /// Returns whether any item has neither a result nor was given up.
    pub fn is_open(&self) -> bool {
        !self.ended && self.results.len() < self.items.len()
    }

    /// Takes over the failure of a run and decides what follows.
    pub fn fail(&mut self, item: usize, failure: RunFailure, now: Millis) -> Verdict {
        let attempts = self.submission.attempts.max(1);
        let item = &mut self.items[item];
        match failure {
            RunFailure::Failed => item.failures += 1,
            RunFailure::Rejected => item.rejections += 1,
            RunFailure::Unusable => item.progress = ItemProgress::default(),
            RunFailure::Moved => item.moves += 1,
            RunFailure::Broken => item.record_break(),
            RunFailure::NotRun => {}
        }
        if item.failures >= attempts || item.rejections >= MAX_REJECTIONS {
            item.state = ItemState::Done;
            return Verdict::GiveUp;
        }
        let pause = match failure {
            RunFailure::Moved | RunFailure::NotRun => Millis::ZERO,
            RunFailure::Broken if item.empty_runs >= MAX_EMPTY_RUNS => {
                let doublings = (item.empty_runs - MAX_EMPTY_RUNS).min(MAX_DOUBLINGS);
                Millis(SUSPECT_BACKOFF.0 << doublings)
            }
            _ => RETRY_BACKOFF,
        };
        item.state = ItemState::Waiting {
            not_before: now + pause,
        };
        Verdict::Retry
    }

    /// Returns the result of an item that ended, and marks it so.
    pub fn finish(&mut self, index: usize, completed: bool) -> Finished {
        let item = &mut self.items[index];
        item.state = ItemState::Done;
        let progress = std::mem::take(&mut item.progress);
        Finished {
            batch: self.submission.id.clone(),
            result: ItemResult {
                item: index as u32,
                completed,
                versions: if completed {
                    progress.distinct_versions()
                } else {
                    Vec::new()
                },
                output: if completed { progress.text } else { Vec::new() },
            },
        }
    }
}
