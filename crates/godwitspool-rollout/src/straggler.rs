//! Straggler handling: which running samples delay a step, and what to do about each.
//!
//! A sample is late for one of two reasons. If its target is slow, another target completes it
//! sooner. If its answer is long, another target of the same speed does not help; only an early
//! start or a faster (less loaded) target does. Both cases compare the same estimate: the time
//! until the sample is complete on its current target and on the best other one.

use std::collections::BTreeMap;

use godwitspool_types::{Millis, TargetName};

use crate::{Lengths, SampleId, StepNumber};

/// The budget assumes at least this many completed answers of mean length, so that remedies are
/// possible early in a run.
const MIN_BUDGET_ANSWERS: f64 = 50.0;
/// A running sample with this many times the mean length marks its group as long.
const LONG_ANSWER_FACTOR: f64 = 2.0;
/// Samples with fewer tokens are resumed without their KV cache.
const MIN_MIGRATE_TOKENS: u32 = 200;

/// Limits for remedies.
#[derive(Clone, Debug, PartialEq)]
pub struct StragglerRules {
    /// Maximum cost of remedies, relative to the tokens of completed answers.
    pub max_extra_work: f64,
    /// Number of completed answers in a group from which their lengths are used for estimates.
    pub min_group_answers: usize,
    /// Minimum time that a remedy must save. The saving must also exceed the time that its cost
    /// takes.
    pub min_gain_ms: Millis,
    /// Minimum fraction of the remaining time that a remedy must save.
    pub min_gain_ratio: f64,
    /// Number of prompt tokens that a target prefills in the time of one generated token.
    pub prefill_ratio: f64,
    /// Time without a new token after which a stream is hedged rather than moved.
    pub idle_timeout_ms: Millis,
}

impl Default for StragglerRules {
    fn default() -> Self {
        Self {
            max_extra_work: 0.04,
            min_group_answers: 4,
            min_gain_ms: Millis(1_000),
            min_gain_ratio: 0.25,
            prefill_ratio: 20.0,
            idle_timeout_ms: Millis(5_000),
        }
    }
}

/// A running sample.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Identity of the sample.
    pub id: SampleId,
    /// When the last token arrived.
    pub last_token_at: Millis,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// When the sample started on its current target.
    pub started_at: Millis,
    /// Current target.
    pub target: TargetName,
    /// Number of answer tokens so far, including resumed ones.
    pub tokens: u32,
    /// Number of answer tokens that the sample already had when it started on its current target.
    pub resumed_tokens: u32,
    /// Target of the second stream if the sample is hedged.
    pub hedge: Option<TargetName>,
}

/// Expected speed and free capacity of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetPace {
    /// The target to start more streams on.
    pub target: TargetName,
    /// Tokens per second for each stream after one more stream is started.
    pub tokens_per_s: f64,
    /// Number of further streams that the target can accept.
    pub room: u32,
}

/// An action against a late sample.
#[derive(Clone, Debug, PartialEq)]
pub enum Remedy {
    /// Starts a second stream on another target, after the tokens so far. The first complete answer
    /// wins.
    Hedge {
        /// The sample to hedge.
        id: SampleId,
        /// Target of the second stream.
        to: TargetName,
    },
    /// Exports the KV cache and continues on another target.
    Migrate {
        /// The sample to move.
        id: SampleId,
        /// Target to continue on.
        to: TargetName,
    },
    /// Cancels the stream and continues on another target, which prefills the tokens so far.
    Resume {
        /// The sample to move.
        id: SampleId,
        /// Target to continue on.
        to: TargetName,
    },
}

type GroupKey = (StepNumber, u32);

/// Length estimates and remedy budget of one trainer.
#[derive(Debug, Default)]
pub struct Stragglers {
    /// Cost of all remedies, in generated tokens.
    remedy_cost: f64,
    groups: BTreeMap<GroupKey, Vec<u32>>,
    completed_tokens: f64,
    all_lengths: Lengths,
    rules: StragglerRules,
}

impl Stragglers {
    /// Creates an instance without recorded lengths.
    ///
    /// ```
    /// use godwitspool_rollout::{StragglerRules, Stragglers};
    ///
    /// assert_eq!(Stragglers::new(StragglerRules::default()).extra_work(), 0.0);
    /// ```
    pub fn new(rules: StragglerRules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Records the length of a complete answer.
    pub fn learn(&mut self, id: &SampleId, tokens: u32) {
        self.all_lengths.add(u64::from(tokens));
        self.groups
            .entry((id.step, id.group))
            .or_default()
            .push(tokens);
        self.completed_tokens += f64::from(tokens);
    }

    /// Removes the lengths of the groups in a step and all earlier ones. The length distribution
    /// over all answers is kept.
    pub fn forget(&mut self, step: StepNumber) {
        self.groups = self.groups.split_off(&(StepNumber(step.0 + 1), 0));
    }

    /// Returns the cost of all remedies relative to the tokens of completed answers.
    pub fn extra_work(&self) -> f64 {
        if self.completed_tokens > 0.0 {
            self.remedy_cost / self.completed_tokens
        } else {
            0.0
        }
    }

    /// Returns how many more tokens to expect from a sample that already has `tokens`.
    pub fn expected_remaining(&self, id: &SampleId, tokens: u32, max_tokens: u32) -> f64 {
        let from_all = self.all_lengths.expected_remaining(u64::from(tokens));
        let own = self.groups.get(&(id.step, id.group));
        let own = own.filter(|lengths| lengths.len() >= self.rules.min_group_answers);
        // The group may not have an answer as long as this one yet, so the estimate over all
        // answers is the lower bound.
        let expected = own.map_or(from_all, |lengths| {
            mean_remaining(lengths, tokens).max(from_all)
        });
        expected.min(f64::from(max_tokens.saturating_sub(tokens)))
    }

    /// Returns the expected length of a waiting sample.
    ///
    /// `longest_running` is the highest token count among the running samples of its group. Once
    /// that is far above the mean, the whole group is expected to be long, even before any of its
    /// samples is complete.
    pub fn expected_length(&self, id: &SampleId, longest_running: u32, max_tokens: u32) -> f64 {
        let usual = self.expected_remaining(id, 0, max_tokens);
        if f64::from(longest_running) < self.all_lengths.mean() * LONG_ANSWER_FACTOR {
            return usual;
        }
        let seen =
            f64::from(longest_running) + self.expected_remaining(id, longest_running, max_tokens);
        usual.max(seen)
    }

    /// Chooses remedies for the running samples, starting with the one that ends last.
    ///
    /// `queue_ms` is how long the waiting samples keep the targets busy; a sample that ends before
    /// that is not late. The free capacity in `paces` is reduced by the chosen remedies.
    pub fn decide(
        &mut self,
        running: &[Attempt],
        paces: &mut [TargetPace],
        queue_ms: Millis,
        now: Millis,
    ) -> Vec<Remedy> {
        let mut late: Vec<_> = running
            .iter()
            .filter(|attempt| attempt.hedge.is_none())
            .map(|attempt| (self.remaining_ms(attempt, now), attempt))
            .collect();
        late.sort_by(|a, b| b.0.total_cmp(&a.0));
        // The step cannot end before the queue is empty, nor before the samples handled so far.
        let mut step_end = queue_ms.0 as f64;
        let mut remedies = Vec::new();
        for (remaining, attempt) in late {
            if remaining <= step_end {
                break;
            }
            match self.choose_remedy(attempt, remaining, step_end, paces, now) {
                Some((remedy, moved_ms)) => {
                    step_end = step_end.max(moved_ms);
                    remedies.push(remedy);
                }
                None => step_end = step_end.max(remaining),
            }
        }
        remedies
    }

    /// Returns the milliseconds until a sample is complete on its current target.
    fn remaining_ms(&self, attempt: &Attempt, now: Millis) -> f64 {
        let expected = self.expected_remaining(&attempt.id, attempt.tokens, attempt.max_tokens);
        let generated = f64::from(attempt.tokens.saturating_sub(attempt.resumed_tokens).max(1));
        let spent = (now - attempt.started_at).0 as f64;
        let silent = (now - attempt.last_token_at).0 as f64;
        expected * (spent.max(1.0) / generated) + silent
    }

    /// Returns a remedy for one sample and the milliseconds until it is complete with that remedy.
    ///
    /// Returns `None` if no remedy saves enough time or fits into the budget.
    fn choose_remedy(
        &mut self,
        attempt: &Attempt,
        remaining: f64,
        step_end: f64,
        paces: &mut [TargetPace],
        now: Millis,
    ) -> Option<(Remedy, f64)> {
        let others = paces.iter_mut().filter(|pace| {
            pace.room > 0 && pace.tokens_per_s > 0.0 && pace.target != attempt.target
        });
        let best = others.max_by(|a, b| a.tokens_per_s.total_cmp(&b.tokens_per_s))?;
        let expected = self.expected_remaining(&attempt.id, attempt.tokens, attempt.max_tokens);
        let prefill = f64::from(attempt.prompt_tokens + attempt.tokens) / self.rules.prefill_ratio;
        let is_stalled = now - attempt.last_token_at >= self.rules.idle_timeout_ms;
        // A hedge generates the remaining tokens twice, a move only prefills the existing ones.
        let cost = if is_stalled {
            prefill + expected
        } else {
            prefill
        };
        let ms_per_token = 1_000.0 / best.tokens_per_s;
        let moved_ms = (prefill + expected) * ms_per_token;
        let gain = remaining - moved_ms.max(step_end);
        let is_worthwhile = gain > cost * ms_per_token / f64::from(best.room.max(1))
            && gain >= self.rules.min_gain_ms.0 as f64
            && gain >= self.rules.min_gain_ratio * remaining;
        let budget = self.rules.max_extra_work
            * self
                .completed_tokens
                .max(self.all_lengths.mean() * MIN_BUDGET_ANSWERS);
        if !is_worthwhile || self.remedy_cost + cost > budget {
            return None;
        }
        self.remedy_cost += cost;
        best.room -= 1;
        let (id, to) = (attempt.id.clone(), best.target.clone());
        let remedy = if is_stalled {
            Remedy::Hedge { id, to }
        } else if attempt.tokens >= MIN_MIGRATE_TOKENS {
            Remedy::Migrate { id, to }
        } else {
            Remedy::Resume { id, to }
        };
        Some((remedy, moved_ms))
    }
}

/// Returns the mean remainder of the answers longer than `tokens`, or 0.0 if there are none.
fn mean_remaining(lengths: &[u32], tokens: u32) -> f64 {
    let longer = lengths.iter().filter(|length| **length > tokens);
    let remainders = longer.map(|length| f64::from(length - tokens));
    let count = remainders.clone().count();
    if count > 0 {
        remainders.sum::<f64>() / count as f64
    } else {
        0.0
    }
}
