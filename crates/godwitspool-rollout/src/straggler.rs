//! Which running samples hold up a step, and what to do about each.
//!
//! A sample is late for one of two reasons. Its target is slow: then another target makes the rest
//! sooner. Or its answer is long: then no other target of the same pace helps, and only an early
//! start or a faster (emptier) target does. Both are judged by one figure, the time until the
//! sample is whole, on its present target and on the best other one.

use std::collections::BTreeMap;

use godwitspool_types::{Millis, TargetName};

use crate::{Lengths, SampleId, StepNumber};

const UNLEARNT_ANSWERS: f64 = 50.0;
const LONG_FACTOR: f64 = 2.0;
const MIGRATE_TOKENS: u32 = 200;

/// Bounds of the remedies.
#[derive(Clone, Debug, PartialEq)]
pub struct StragglerRules {
    /// Part of a step's tokens that remedies may cost.
    pub extra_work: f64,
    /// Answers of the group from which on its own lengths count.
    pub min_group_answers: usize,
    /// Time saved that a move has to bring, on top of what it costs.
    pub min_gain_ms: Millis,
    /// Part of the remaining time that a move has to save.
    pub min_gain_ratio: f64,
    /// Tokens of prompt that a target reads in the time of one generated token.
    pub prefill_ratio: f64,
    /// Time without a token after which a stream counts as silent.
    pub idle_timeout_ms: Millis,
}

impl Default for StragglerRules {
    fn default() -> Self {
        Self {
            extra_work: 0.04,
            min_group_answers: 4,
            min_gain_ms: Millis(1_000),
            min_gain_ratio: 0.25,
            prefill_ratio: 20.0,
            idle_timeout_ms: Millis(5_000),
        }
    }
}

/// A sample that is being made.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Sample.
    pub id: SampleId,
    /// When its last token came.
    pub last_token_at: Millis,
    /// Most tokens.
    pub max_tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// When it started on its present target.
    pub started_at: Millis,
    /// Target.
    pub target: TargetName,
    /// Tokens so far.
    pub tokens: u32,
    /// Tokens that it brought to its present target.
    pub resumed_tokens: u32,
    /// Second target, when it is hedged.
    pub hedge: Option<TargetName>,
}

/// How fast a target that has room generates.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetPace {
    /// Target.
    pub target: TargetName,
    /// Tokens that one stream gets a second, with one stream more than now.
    pub tokens_per_s: f64,
    /// Streams that it can take.
    pub room: u32,
}

/// What to do about a late sample.
#[derive(Clone, Debug, PartialEq)]
pub enum Remedy {
    /// Runs a second stream elsewhere, behind the tokens so far; the first whole one wins.
    Hedge {
        /// Sample.
        id: SampleId,
        /// Second target.
        to: TargetName,
    },
    /// Exports the KV cache and continues elsewhere.
    Migrate {
        /// Sample.
        id: SampleId,
        /// New target.
        to: TargetName,
    },
    /// Cancels the stream and continues elsewhere, behind the tokens so far.
    Resume {
        /// Sample.
        id: SampleId,
        /// New target.
        to: TargetName,
    },
}

type GroupKey = (StepNumber, u32);

/// Lengths and budget of one trainer's steps.
#[derive(Debug, Default)]
pub struct Stragglers {
    extra: f64,
    groups: BTreeMap<GroupKey, Vec<u32>>,
    made: f64,
    model: Lengths,
    rules: StragglerRules,
}

impl Stragglers {
    /// Creates the judge of a trainer's stragglers.
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

    /// Learns the length of a whole answer.
    pub fn learn(&mut self, id: &SampleId, tokens: u32) {
        self.model.add(u64::from(tokens));
        self.groups
            .entry((id.step, id.group))
            .or_default()
            .push(tokens);
        self.made += f64::from(tokens);
    }

    /// Forgets the groups of a step and of all before it; the model's lengths stay.
    pub fn forget(&mut self, step: StepNumber) {
        self.groups = self.groups.split_off(&(StepNumber(step.0 + 1), 0));
    }

    /// Returns the part of the tokens made that remedies have cost.
    pub fn extra_work(&self) -> f64 {
        if self.made > 0.0 {
            self.extra / self.made
        } else {
            0.0
        }
    }

    /// Returns the tokens still to expect from a sample that has `tokens` already.
    pub fn expected_remaining(&self, id: &SampleId, tokens: u32, max_tokens: u32) -> f64 {
        let model = self.model.expected_remaining(u64::from(tokens));
        let own = self.groups.get(&(id.step, id.group));
        let own = own.filter(|lengths| lengths.len() >= self.rules.min_group_answers);
        // A group may have seen no answer as long as this one; the model has.
        let rest = own.map_or(model, |lengths| mean_rest(lengths, tokens).max(model));
        rest.min(f64::from(max_tokens.saturating_sub(tokens)))
    }

    /// Returns the length to expect of a sample that waits.
    ///
    /// `longest` is the most tokens that a running sample of its group has: once that is far beyond
    /// the usual, the others are expected to be as long before any of them is whole.
    pub fn expected_length(&self, id: &SampleId, longest: u32, max_tokens: u32) -> f64 {
        let usual = self.expected_remaining(id, 0, max_tokens);
        if f64::from(longest) < self.model.mean() * LONG_FACTOR {
            return usual;
        }
        let seen = f64::from(longest) + self.expected_remaining(id, longest, max_tokens);
        usual.max(seen)
    }

    /// Chooses remedies for the running samples.
    ///
    /// `queue_ms` is how long the samples that wait keep the targets busy: nothing that ends
    /// before that is late. `paces` are the targets with room, which shrinks as remedies take it.
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
        // The step can't end before the queue, nor before the samples that stay or were moved.
        let mut end = queue_ms.0 as f64;
        let mut remedies = Vec::new();
        for (remaining, attempt) in late {
            if remaining <= end {
                break;
            }
            match self.remedy(attempt, remaining, end, paces, now) {
                Some((remedy, elsewhere)) => {
                    end = end.max(elsewhere);
                    remedies.push(remedy);
                }
                None => end = end.max(remaining),
            }
        }
        remedies
    }

    /// Returns the milliseconds until a sample is whole on its present target.
    fn remaining_ms(&self, attempt: &Attempt, now: Millis) -> f64 {
        let rest = self.expected_remaining(&attempt.id, attempt.tokens, attempt.max_tokens);
        let made = f64::from(attempt.tokens.saturating_sub(attempt.resumed_tokens).max(1));
        let spent = (now - attempt.started_at).0 as f64;
        let silent = (now - attempt.last_token_at).0 as f64;
        rest * (spent.max(1.0) / made) + silent
    }

    fn remedy(
        &mut self,
        attempt: &Attempt,
        remaining: f64,
        end: f64,
        paces: &mut [TargetPace],
        now: Millis,
    ) -> Option<(Remedy, f64)> {
        let others = paces.iter_mut().filter(|pace| {
            pace.room > 0 && pace.tokens_per_s > 0.0 && pace.target != attempt.target
        });
        let best = others.max_by(|a, b| a.tokens_per_s.total_cmp(&b.tokens_per_s))?;
        let rest = self.expected_remaining(&attempt.id, attempt.tokens, attempt.max_tokens);
        let read = f64::from(attempt.prompt_tokens + attempt.tokens) / self.rules.prefill_ratio;
        let is_silent = now - attempt.last_token_at >= self.rules.idle_timeout_ms;
        // A hedge runs the rest twice; a move only reads what it brings along.
        let cost = if is_silent { read + rest } else { read };
        let ms_per_token = 1_000.0 / best.tokens_per_s;
        let elsewhere = (read + rest) * ms_per_token;
        let gain = remaining - elsewhere.max(end);
        let pays = gain > cost * ms_per_token / f64::from(best.room.max(1))
            && gain >= self.rules.min_gain_ms.0 as f64
            && gain >= self.rules.min_gain_ratio * remaining;
        let budget = self.rules.extra_work * self.made.max(self.model.mean() * UNLEARNT_ANSWERS);
        if !pays || self.extra + cost > budget {
            return None;
        }
        self.extra += cost;
        best.room -= 1;
        let (id, to) = (attempt.id.clone(), best.target.clone());
        let remedy = if is_silent {
            Remedy::Hedge { id, to }
        } else if attempt.tokens >= MIGRATE_TOKENS {
            Remedy::Migrate { id, to }
        } else {
            Remedy::Resume { id, to }
        };
        Some((remedy, elsewhere))
    }
}

/// Returns the mean rest of the answers that grew longer; none did, nothing is expected.
fn mean_rest(lengths: &[u32], tokens: u32) -> f64 {
    let longer = lengths.iter().filter(|length| **length > tokens);
    let rests = longer.map(|length| f64::from(length - tokens));
    let count = rests.clone().count();
    if count > 0 {
        rests.sum::<f64>() / count as f64
    } else {
        0.0
    }
}
