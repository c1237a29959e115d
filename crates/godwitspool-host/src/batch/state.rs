use std::{
    ops::{Deref, DerefMut, Range},
    sync::Arc,
    time::Duration,
};

use godwitspool_types::Millis;
use serde::{Deserialize, Serialize};

use super::{
    Groups, ItemResult, RestoredResults, ResultList, RewardOutcome, Submission, order::rank_items,
};
use crate::http::{MemoryBudget, Reservation};

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
/// Maximum time for which an item waits for a target that serves the version of its output. An item that is at no
/// target for 5 s counts as forgotten.
const MAX_BOUND_WAIT: Millis = Millis(3_000);
/// Time without a read after which a complete batch that its caller hasn't ended is removed. Without it the
/// store would fill up with the batches of callers that have gone.
const ABANDONED_AFTER: Duration = Duration::from_mins(15);
/// Number of rejections after which an item is given up: a rejection means that no target can ever
/// serve it.
const MAX_REJECTIONS: u32 = 1;
/// The most items that are counted to say how many wait. What is decided by the number is the same for more.
const MAX_COUNTED: usize = 4_096;
/// Number of items from which on a batch is large: several times those of a trainer's step.
const LARGE_ITEMS: usize = 1_024;
/// The most by which the memory of a partial output is taken ahead of what has arrived.
const OUTPUT_STEP: usize = 64 * 1024;

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

/// An item of a batch that this host runs. It derefs to what has happened to it so far.
#[derive(Debug)]
pub struct Item {
    /// Whether the item waits, runs or has ended.
    pub state: ItemState,
    /// `None` until something has happened, which is true of most items of a large batch.
    past: Option<Box<ItemPast>>,
}

/// What has happened to an item at this host.
#[derive(Debug)]
pub struct ItemPast {
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
    /// Since when the item waits for a target that serves the version of its output although another has room.
    pub bound_since: Option<Millis>,
    /// Partial output.
    pub progress: ItemProgress,
    /// Memory that the partial output takes.
    memory: Reservation,
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

impl ItemPast {
    const NOTHING: Self = Self {
        failures: 0,
        rejections: 0,
        empty_runs: 0,
        moves: 0,
        deferred_since: None,
        bound_since: None,
        progress: ItemProgress {
            text: Vec::new(),
            last_event: None,
            versions: Vec::new(),
            version: None,
            complete: false,
        },
        memory: Reservation::NONE,
        saved_event: None,
        saved_complete: false,
        complete_since: None,
        call_failures: 0,
        call_tries: 0,
        break_event: None,
    };
}

impl Deref for Item {
    type Target = ItemPast;

    fn deref(&self) -> &ItemPast {
        static NOTHING: ItemPast = ItemPast::NOTHING;
        self.past.as_deref().unwrap_or(&NOTHING)
    }
}

impl DerefMut for Item {
    fn deref_mut(&mut self) -> &mut ItemPast {
        self.past.get_or_insert_with(|| Box::new(ItemPast::NOTHING))
    }
}

impl Item {
    const WAITING: Self = Self {
        state: ItemState::Waiting {
            not_before: Millis::ZERO,
        },
        past: None,
    };

    /// Ends the item. Only what the store still holds of its partial output is remembered.
    fn end(&mut self) {
        self.state = ItemState::Done;
        let saved_event = self.saved_event;
        self.past = saved_event.map(|_| {
            Box::new(ItemPast {
                saved_event,
                ..ItemPast::NOTHING
            })
        });
    }

    /// Records that the store doesn't hold the partial output any more. Returns whether it did.
    pub(super) fn forget_saved(&mut self) -> bool {
        let saved = self.saved_event.is_some();
        if saved {
            self.saved_event = None;
            if self.state == ItemState::Done {
                self.past = None;
            }
        }
        saved
    }

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
        self.memory = Reservation::NONE;
    }

    /// Takes memory for the partial output, which has grown. Returns false if there is none.
    pub(super) fn reserve_output(&mut self, budget: &Arc<MemoryBudget>) -> bool {
        let length = self.progress.text.len();
        if length <= self.memory.bytes() {
            return true;
        }
        self.memory.attach(budget);
        self.memory.resize(length + OUTPUT_STEP.min(length))
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
#[derive(Debug, Default)]
pub struct Finished {
    /// Identifier of the batch.
    pub batch: String,
    /// Result of the item.
    pub result: ItemResult,
    /// Memory that its output takes.
    pub memory: Reservation,
}

/// What decides how long a batch is kept.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BatchLife {
    /// When it was submitted, in milliseconds since 1970.
    pub received_ms: u64,
    /// When callers last read it, in milliseconds since 1970.
    pub read_ms: u64,
    /// Whether its caller has ended it.
    pub ended: bool,
    /// Whether all results are stored.
    pub complete: bool,
}

impl BatchLife {
    /// As [`Batch::is_expired`].
    pub fn is_expired(&self, now_ms: u64, ttl: Duration) -> bool {
        let past = |since_ms: u64, time: Duration| since_ms + (time.as_millis() as u64) < now_ms;
        let done = self.ended || (self.complete && past(self.read_ms, ABANDONED_AFTER));
        done && past(self.received_ms, ttl)
    }

    /// Returns whether no item of it runs any more.
    pub fn is_closed(&self) -> bool {
        self.ended || self.complete
    }
}

/// A batch at the host that owns its partition.
#[derive(Debug)]
pub struct Batch {
    /// The batch as it was submitted.
    pub submission: Arc<Submission>,
    /// State of each item, in the order of the submission.
    pub items: Vec<Item>,
    /// Results that the store has confirmed.
    pub results: ResultList,
    /// Whether the caller has ended the batch.
    pub ended: bool,
    /// When callers last read the results at this host, or when it took the batch over, in milliseconds
    /// since 1970.
    pub read_ms: u64,
    /// Memory that the batch takes.
    pub(super) memory: Reservation,
    /// Indexes of the items in the order in which they start.
    order: Vec<u32>,
    /// Places in the order of the items of the wanted groups, and of the others. Those that have ended are left
    /// out at both sides.
    open: [Range<usize>; 2],
    /// Number of each item's group.
    group_numbers: Vec<u32>,
}

impl Batch {
    /// Creates a batch from its submission and the results that the store holds.
    pub fn new(submission: Arc<Submission>, results: Vec<Arc<ItemResult>>) -> Self {
        let mut batch = Self::reserved(submission, Reservation::default());
        for result in &results {
            batch.end_item(result.item as usize);
        }
        batch.results = results.into();
        batch
    }

    /// Creates a batch without results, which takes the given memory.
    pub(super) fn reserved(submission: Arc<Submission>, memory: Reservation) -> Self {
        let groups = Groups::of(&submission.items);
        let (order, wanted) = rank_items(&submission, &groups);
        Self {
            open: [0..wanted, wanted..order.len()],
            order,
            group_numbers: groups.into_numbers(),
            items: submission.items.iter().map(|_| Item::WAITING).collect(),
            read_ms: submission.received_ms,
            submission,
            memory,
            results: ResultList::default(),
            ended: false,
        }
    }

    /// Ends an item, whose result is stored or queued for the store.
    pub(super) fn end_item(&mut self, index: usize) {
        let Some(item) = self.items.get_mut(index) else {
            return;
        };
        item.end();
        let Self {
            items, open, order, ..
        } = self;
        let done = |place: usize| items[order[place] as usize].state == ItemState::Done;
        for places in open {
            while places.start < places.end && done(places.start) {
                places.start += 1;
            }
            while places.start < places.end && done(places.end - 1) {
                places.end -= 1;
            }
        }
    }

    /// Returns the items that haven't ended, and some that have, in the order in which they start: those of the
    /// wanted groups, and the others.
    fn open_items(&self) -> [impl DoubleEndedIterator<Item = usize>; 2] {
        let items = |places: &Range<usize>| {
            let items = self.order[places.clone()].iter();
            items.map(|item| *item as usize)
        };
        [items(&self.open[0]), items(&self.open[1])]
    }

    /// Restores the results that the store holds.
    pub(super) fn restore(&mut self, results: RestoredResults) {
        for item in results.items {
            self.end_item(item as usize);
        }
        self.results = results.list;
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
        if self.ended || self.submission.items.calls().is_empty() {
            return (Vec::new(), false);
        }
        let waiting = |index: &usize| self.items[*index].awaits_call();
        let open = self.open_items().into_iter().flatten();
        let mut calls: Vec<usize> = open.filter(waiting).collect();
        if calls.is_empty() {
            return (Vec::new(), false);
        }
        let mut unfinished = vec![0_usize; self.items.len()];
        for (index, item) in self.items.iter().enumerate() {
            unfinished[self.group_numbers[index] as usize] +=
                usize::from(item.state != ItemState::Done);
        }
        let count = calls.len();
        calls.retain(|index| {
            matches!(self.items[*index].state, ItemState::Waiting { not_before } if not_before <= now)
        });
        calls.sort_by_key(|index| unfinished[self.group_numbers[*index] as usize]);
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
        for index in self.open_items().into_iter().flatten() {
            if self.items[index].progress.complete {
                continue;
            }
            match self.items[index].state {
                ItemState::Waiting { not_before } if not_before <= now => return Ok(index),
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
        let may_start = |index: &usize| {
            let item = &self.items[*index];
            !item.progress.complete
                && matches!(item.state, ItemState::Waiting { not_before } if not_before <= now)
        };
        let [wanted, _] = self.open_items();
        let ready = wanted.filter(may_start).take(MAX_COUNTED).count();
        if ready == 0 {
            return Ok(vec![(next, None)]);
        }
        let mut items = vec![(next, Some(0))];
        let [wanted, mut others] = self.open_items();
        let shortest = wanted.rev().find(may_start);
        if let Some(shortest) = shortest.filter(|shortest| *shortest != next) {
            items.push((shortest, Some(ready - 1)));
        }
        let other = others.find(may_start);
        items.extend(other.map(|other| (other, None)));
        Ok(items)
    }

    /// Records that an item waits for a faster target although a slower one has a free slot. Returns
    /// whether it may go on to wait.
    pub fn defer(&mut self, item: usize, now: Millis) -> bool {
        let since = *self.items[item].deferred_since.get_or_insert(now);
        now - since < MAX_DEFERRAL
    }

    /// Records that an item waits for a target that serves the version of its output although another has room.
    /// Returns whether it may go on to wait: no longer than it takes to generate the output again, `redo`.
    ///
    /// Load pattern: the target of some items is lost, and the only other one of their version is full with long items.
    /// How long it stays full isn't known; by this bound an item loses at most as much again as if it had started over
    /// at once.
    pub fn await_version(&mut self, item: usize, redo: Millis, now: Millis) -> bool {
        let since = *self.items[item].bound_since.get_or_insert(now);
        now - since < redo.min(MAX_BOUND_WAIT)
    }

    /// Records that an item runs.
    pub fn start(&mut self, item: usize) {
        self.items[item].state = ItemState::Running;
        self.items[item].deferred_since = None;
        self.items[item].bound_since = None;
    }

    /// Has a waiting item start no sooner than at the given time.
    pub fn postpone(&mut self, item: usize, not_before: Millis) {
        self.items[item].state = ItemState::Waiting { not_before };
    }

    /// Returns whether the batch has so many items that its own go behind those of others.
    pub(super) fn is_large(&self) -> bool {
        self.items.len() > LARGE_ITEMS
    }

    /// Returns the number of items that wait for a target, but not more than some thousands.
    pub fn waiting_items(&self) -> usize {
        let items = self.open_items().into_iter().flatten();
        let waiting = items.filter(|index| {
            let item = &self.items[*index];
            !item.progress.complete && matches!(item.state, ItemState::Waiting { .. })
        });
        waiting.take(MAX_COUNTED).count()
    }

    /// Returns whether the batch may be removed, `ttl` after its submission: it was ended, or all results
    /// are stored and callers have left without an end.
    pub fn is_expired(&self, now_ms: u64, ttl: Duration) -> bool {
        self.life().is_expired(now_ms, ttl)
    }

    /// Returns what decides how long the batch is kept.
    pub(super) fn life(&self) -> BatchLife {
        BatchLife {
            received_ms: self.submission.received_ms,
            read_ms: self.read_ms,
            ended: self.ended,
            complete: self.results.len() >= self.items.len(),
        }
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
    pub fn fail(&mut self, index: usize, failure: RunFailure, now: Millis) -> Verdict {
        let attempts = self.submission.attempts.max(1);
        let item = &mut self.items[index];
        match failure {
            RunFailure::Failed => item.failures += 1,
            RunFailure::Rejected => item.rejections += 1,
            RunFailure::Unusable => item.discard_output(),
            RunFailure::Moved => item.moves += 1,
            RunFailure::Broken => item.record_break(),
            RunFailure::NotRun => {}
        }
        if item.failures >= attempts || item.rejections >= MAX_REJECTIONS {
            self.end_item(index);
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
        let progress = std::mem::take(&mut self.items[index].progress);
        let memory = std::mem::take(&mut self.items[index].memory);
        self.end_item(index);
        Finished {
            memory,
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
