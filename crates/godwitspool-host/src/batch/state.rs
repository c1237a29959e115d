use std::{sync::Arc, time::Duration};

use godwitspool_types::Millis;
use serde::{Deserialize, Serialize};

use super::{ItemResult, RewardOutcome, Submission, groups, order_items, wanted_items};

/// Delay before an item is retried after a run failed. Refused items are not delayed, since the
/// refusing target is paused itself.
const RETRY_BACKOFF: Millis = Millis(100);
/// Number of consecutive broken runs without a new event after which the item is suspected of
/// crashing its targets.
const MAX_EMPTY_RUNS: u32 = 3;
/// Delay before a suspected item is retried. It is shorter than the 5 s without a run after which the
/// platform considers an item forgotten, and much longer than the second that a target needs to
/// restart. It doesn't grow: a sound item that ran on targets that crashed is owed as much as any.
const SUSPECT_BACKOFF: Millis = Millis(4_500);
/// Maximum time for which an item waits for a faster target: by then the slot that was expected has gone
/// to another host's item. It is short compared with the seconds within which a step is due.
const MAX_DEFERRAL: Millis = Millis(500);
/// Time without a read after which a complete batch that its caller hasn't ended is removed. Without it the
/// store would fill up with the batches of callers that have gone.
const ABANDONED_AFTER: Duration = Duration::from_mins(15);
/// Number of rejections after which an item is given up: a rejection means that no target can ever
/// serve it.
const MAX_REJECTIONS: u32 = 1;

/// The partial output of an item.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemProgress {
    /// Data of the events, joined with line feeds.
    pub text: Vec<u8>,
    /// Number of the last event; `None` before the first one.
    pub last_event: Option<u64>,
    /// Versions of the model that generated the output, in the order of use.
    pub versions: Vec<u64>,
    /// Version of the model that generates the next events, if known.
    pub version: Option<u64>,
    /// Whether the output is complete, so that only its reward call is missing. Stored as an
    /// extension.
    #[serde(skip)]
    pub complete: bool,
}

impl ItemProgress {
    /// Appends the data of an event.
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

    /// Returns the versions in ascending order without duplicates.
    pub fn distinct_versions(&self) -> Vec<u64> {
        let mut versions = self.versions.clone();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}

/// The state of an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemState {
    /// The item waits for a target.
    Waiting {
        /// Earliest time at which it may start.
        not_before: Millis,
    },
    /// The item runs at a target.
    Running,
    /// The item has ended. Its result is stored or queued for the store.
    Done,
}

/// An item of a batch that this host runs.
#[derive(Clone, Debug)]
pub struct Item {
    /// Whether the item waits, runs or has ended.
    pub state: ItemState,
    /// Number of runs that the target reported as failed.
    pub failures: u32,
    /// Number of runs that the target rejected permanently.
    pub rejections: u32,
    /// Number of consecutive broken runs without a new event.
    pub empty_runs: u32,
    /// Number of moves to another target.
    pub moves: u32,
    /// Since when the item waits for a faster target although a slower one has a free slot.
    pub deferred_since: Option<Millis>,
    /// Partial output.
    pub progress: ItemProgress,
    /// Number of the last event that the store holds, or may hold; `None` if nothing was saved.
    pub saved_event: Option<u64>,
    /// Whether the store holds, or may hold, that the output is complete.
    pub saved_complete: bool,
    /// When the output was complete at this host.
    pub complete_since: Option<Millis>,
    /// Number of reward calls that a target answered as failed.
    pub call_failures: u32,
    /// Number of reward calls in a row without a valid response.
    pub call_tries: u32,
    /// Number of the last event at the time of the previous broken run.
    break_event: Option<u64>,
}

impl Item {
    /// Returns whether the item is unfinished and has at least `events` events that are not saved.
    pub fn has_unsaved(&self, events: u64) -> bool {
        let known = self.progress.last_event.unwrap_or_default();
        let completed = self.progress.complete && !self.saved_complete;
        self.state != ItemState::Done
            && (completed || known >= self.saved_event.unwrap_or_default() + events)
    }

    /// Returns whether the item's output is complete and its reward call may start.
    fn awaits_call(&self) -> bool {
        self.progress.complete && matches!(self.state, ItemState::Waiting { .. })
    }

    fn discard_output(&mut self) {
        self.progress = ItemProgress::default();
    }

    /// Counts consecutive broken runs without a new event.
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

/// Why a run ended without the complete output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunFailure {
    /// The connection broke or timed out. The output that has arrived is kept.
    Broken,
    /// The target reported a failure, which counts as an attempt.
    Failed,
    /// The target rejected the request permanently.
    Rejected,
    /// The run was moved to another target. The output that has arrived is kept.
    Moved,
    /// The target didn't run the request.
    NotRun,
    /// The output is from a version of the model that is too old, from several where one is required, or
    /// longer than the store takes. It is discarded, and the next run starts over.
    Unusable,
}

impl RunFailure {
    /// Returns the label value in metrics.
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

/// What happens to an item after a failed run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The item is retried.
    Retry,
    /// The item ends without output.
    GiveUp,
}

/// The result of an item that has ended and is queued for the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finished {
    /// Identifier of the batch.
    pub batch: String,
    /// Result of the item.
    pub result: ItemResult,
}

/// A batch at the host that owns its partition.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The batch as it was submitted.
    pub submission: Arc<Submission>,
    /// State of each item, in the order of the submission.
    pub items: Vec<Item>,
    /// Results that the store has confirmed, by position.
    pub results: Vec<Arc<ItemResult>>,
    /// Whether the caller has ended the batch.
    pub ended: bool,
    /// When callers last read the results at this host, or when it took the batch over, in milliseconds
    /// since 1970.
    pub read_ms: u64,
    /// Indexes of the items in the order in which they start.
    order: Vec<usize>,
    /// Number of items of the wanted groups, which are the first in the order.
    wanted: usize,
    /// Number of each item's group.
    group_numbers: Vec<usize>,
}

impl Batch {
    /// Creates a batch from its submission and the results that the store holds.
    pub fn new(submission: Arc<Submission>, results: Vec<Arc<ItemResult>>) -> Self {
        let waiting = Item {
            state: ItemState::Waiting {
                not_before: Millis::ZERO,
            },
            failures: 0,
            empty_runs: 0,
            rejections: 0,
            moves: 0,
            deferred_since: None,
            progress: ItemProgress::default(),
            saved_event: None,
            saved_complete: false,
            complete_since: None,
            call_failures: 0,
            call_tries: 0,
            break_event: None,
        };
        let mut items = vec![waiting; submission.items.len()];
        for result in &results {
            if let Some(item) = items.get_mut(result.item as usize) {
                item.state = ItemState::Done;
            }
        }
        let mut group_numbers = vec![0; submission.items.len()];
        for (number, items) in groups(&submission.items).into_values().enumerate() {
            for item in items {
                group_numbers[item] = number;
            }
        }
        Self {
            order: order_items(&submission),
            wanted: wanted_items(&submission),
            group_numbers,
            read_ms: submission.received_ms,
            submission,
            items,
            results,
            ended: false,
        }
    }

    /// Restores the partial output of an item that an earlier owner has saved. The first call for
    /// an item wins.
    pub fn resume(&mut self, item: u32, progress: ItemProgress) {
        let item = self.items.get_mut(item as usize);
        if let Some(item) = item.filter(|item| item.progress.last_event.is_none()) {
            item.saved_event = progress.last_event;
            item.saved_complete = progress.complete;
            if item.state != ItemState::Done {
                item.progress = progress;
            }
        }
    }

    /// Returns the items whose reward call may start now, and whether others wait for theirs. Items
    /// of groups with the fewest unfinished items come first: a trainer can use only whole groups.
    pub fn next_calls(&self, now: Millis) -> (Vec<usize>, bool) {
        let waiting = |index: &usize| self.items[*index].awaits_call();
        let mut calls: Vec<usize> = self.order.iter().copied().filter(waiting).collect();
        if self.ended || calls.is_empty() {
            return (Vec::new(), false);
        }
        let mut unfinished = vec![0_usize; self.items.len()];
        for (index, item) in self.items.iter().enumerate() {
            unfinished[self.group_numbers[index]] += usize::from(item.state != ItemState::Done);
        }
        let count = calls.len();
        calls.retain(|index| {
            matches!(self.items[*index].state, ItemState::Waiting { not_before } if not_before <= now)
        });
        calls.sort_by_key(|index| unfinished[self.group_numbers[*index]]);
        let others = calls.len() < count;
        (calls, others)
    }

    /// Records that the output of an item is complete; its reward call follows.
    pub fn complete_text(&mut self, index: usize, now: Millis) {
        let item = &mut self.items[index];
        item.progress.complete = true;
        item.complete_since = Some(now);
        item.state = ItemState::Waiting { not_before: now };
    }

    /// Records how an item's reward call ended; returns the item's result once it has one. `attempts`
    /// is the number of failed calls after which the item is given up, and `draw` a random number in
    /// `0.0..1.0` that spreads the next call.
    pub fn end_call(
        &mut self,
        index: usize,
        outcome: RewardOutcome,
        attempts: u32,
        now: Millis,
        draw: f64,
    ) -> Option<Finished> {
        let item = &mut self.items[index];
        match outcome {
            RewardOutcome::Scored(score) => {
                let mut finished = self.finish(index, true);
                finished.result.score = Some(score);
                return Some(finished);
            }
            RewardOutcome::Failed => item.call_failures += 1,
            RewardOutcome::NotRun | RewardOutcome::Broken => {}
        }
        if item.call_failures >= attempts.max(1) {
            return Some(self.finish(index, false));
        }
        let pause = super::call_backoff(item.call_tries, draw);
        item.call_tries += 1;
        item.state = ItemState::Waiting {
            not_before: now + pause,
        };
        None
    }

    /// Returns the next item that may start now.
    ///
    /// # Errors
    ///
    /// If no item may start now, returns the earliest time at which a waiting one may, or `None` if
    /// no item is waiting.
    pub fn next_item(&self, now: Millis) -> Result<usize, Option<Millis>> {
        if self.ended {
            return Err(None);
        }
        let mut soonest: Option<Millis> = None;
        for index in &self.order {
            if self.items[*index].progress.complete {
                continue;
            }
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

    /// Returns the items of which one may start now, in the order in which they are tried: the next
    /// one; if that waits for a faster target, the shortest of the wanted groups; and then the next one
    /// of the other groups. Each comes with the number of wanted items that go before it, `None` if it
    /// isn't wanted itself.
    ///
    /// Load pattern: targets differ in speed, and a free slot at a slow one is of use to items that don't
    /// decide when the step is complete.
    ///
    /// # Errors
    ///
    /// As [`Self::next_item`].
    pub fn next_items(&self, now: Millis) -> Result<Vec<(usize, Option<usize>)>, Option<Millis>> {
        let next = self.next_item(now)?;
        let may_start = |index: &&usize| {
            let item = &self.items[**index];
            !item.progress.complete
                && matches!(item.state, ItemState::Waiting { not_before } if not_before <= now)
        };
        let (wanted, others) = self.order.split_at(self.wanted);
        let ready = wanted.iter().filter(may_start).count();
        if ready == 0 {
            return Ok(vec![(next, None)]);
        }
        let mut items = vec![(next, Some(0))];
        let shortest = wanted.iter().rev().find(may_start);
        if let Some(shortest) = shortest.filter(|shortest| **shortest != next) {
            items.push((*shortest, Some(ready - 1)));
        }
        let other = others.iter().find(may_start);
        items.extend(other.map(|other| (*other, None)));
        Ok(items)
    }

    /// Records that an item waits for a faster target although a slower one has a free slot. Returns
    /// whether it may go on to wait.
    pub fn defer(&mut self, item: usize, now: Millis) -> bool {
        let since = *self.items[item].deferred_since.get_or_insert(now);
        now - since < MAX_DEFERRAL
    }

    /// Records that an item runs.
    pub fn start(&mut self, item: usize) {
        self.items[item].state = ItemState::Running;
        self.items[item].deferred_since = None;
    }

    /// Has a waiting item start no sooner than at the given time.
    pub fn postpone(&mut self, item: usize, not_before: Millis) {
        self.items[item].state = ItemState::Waiting { not_before };
    }

    /// Returns the number of items that wait for a target.
    pub fn waiting_items(&self) -> usize {
        let items = self.items.iter();
        items
            .filter(|item| {
                !item.progress.complete && matches!(item.state, ItemState::Waiting { .. })
            })
            .count()
    }

    /// Returns whether the batch may be removed, `ttl` after its submission: it was ended, or all results
    /// are stored and callers have left without an end.
    pub fn is_expired(&self, now_ms: u64, ttl: Duration) -> bool {
        let past = |since_ms: u64, time: Duration| since_ms + (time.as_millis() as u64) < now_ms;
        let complete = self.results.len() >= self.items.len();
        let done = self.ended || (complete && past(self.read_ms, ABANDONED_AFTER));
        done && past(self.submission.received_ms, ttl)
    }

    /// Returns whether the batch was not ended and some item has no stored result. Batches that are
    /// not open are closed.
    pub fn is_open(&self) -> bool {
        !self.ended && self.results.len() < self.items.len()
    }

    /// Returns the only version of the model that may continue an item's partial output; `None` if it
    /// has none, or may come from several versions.
    pub fn pinned_version(&self, item: usize) -> Option<u64> {
        let progress = &self.items[item].progress;
        let bound = self.submission.single_version && progress.last_event.is_some();
        progress.version.filter(|_| bound)
    }

    /// Discards an item's partial output, which no target can continue. Its next run starts over.
    pub fn discard_output(&mut self, item: usize) {
        self.items[item].discard_output();
    }

    /// Records a failed run of an item and decides whether the item is retried.
    pub fn fail(&mut self, item: usize, failure: RunFailure, now: Millis) -> Verdict {
        let attempts = self.submission.attempts.max(1);
        let item = &mut self.items[item];
        match failure {
            RunFailure::Failed => item.failures += 1,
            RunFailure::Rejected => item.rejections += 1,
            RunFailure::Unusable => item.discard_output(),
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
            RunFailure::Broken if item.empty_runs >= MAX_EMPTY_RUNS => SUSPECT_BACKOFF,
            _ => RETRY_BACKOFF,
        };
        item.state = ItemState::Waiting {
            not_before: now + pause,
        };
        Verdict::Retry
    }

    /// Marks an item as done and returns its result, which has output only if it is completed.
    pub fn finish(&mut self, index: usize, completed: bool) -> Finished {
        let item = &mut self.items[index];
        item.state = ItemState::Done;
        let progress = std::mem::take(&mut item.progress);
        Finished {
            batch: self.submission.key().to_owned(),
            result: ItemResult {
                item: index as u32,
                completed,
                score: None,
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
