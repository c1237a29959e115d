//! Simulates one training step on targets with continuous batching, under one straggler policy.

use std::collections::{HashMap, VecDeque};

use godwitspool_rollout::{Attempt, Remedy, SampleId, StragglerRules, Stragglers, TargetPace};
use godwitspool_types::{Millis, TargetName};

const TICK_MS: u64 = 100;
const DECISION_INTERVAL_MS: u64 = 500;
/// Duration of an engine step without streams.
const ENGINE_STEP_MS: f64 = 8.0;
/// Time that each running stream adds to an engine step.
const MS_PER_STREAM: f64 = 0.2;
pub(super) const PROMPT_TOKENS: u32 = 200;
pub(super) const MAX_TOKENS: u32 = 16_384;
/// Number of prompt tokens that a target processes in the time that it takes to generate one.
const PREFILL_RATIO: f64 = 20.0;
/// Under [`Policy::Predicted`], a target that is slower than the median by more than this factor
/// gets no new samples.
const SLOW_TARGET_FACTOR: f64 = 3.0;

/// How to handle stragglers. The names are printed in the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Policy {
    /// Hedges a sample that takes more than twice the median time with a second stream, which
    /// starts from the first token.
    FixedHedge,
    /// Starts samples in the order of submission and never moves or hedges one.
    None,
    /// The policy of [`Stragglers`]: predicts lengths, starts the longest first, and moves and
    /// hedges samples within a budget.
    Predicted,
}

/// A sample of the step and the number of tokens that it will have.
#[derive(Clone, Debug)]
pub(super) struct PlannedSample {
    pub(super) group: u32,
    pub(super) index: u32,
    pub(super) tokens: u32,
}

/// The targets of a run.
#[derive(Clone, Debug)]
pub(super) struct Fleet {
    pub(super) slots: u32,
    /// Factor by which each target is slower than normal.
    pub(super) slowdowns: Vec<f64>,
}

/// Result of a simulated step.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outcome {
    /// Work beyond generating each sample once, relative to that.
    pub(super) extra_work: f64,
    /// Number of hedges, migrations and resumptions.
    pub(super) remedies: u32,
    pub(super) step_s: f64,
}

#[derive(Clone, Debug)]
struct Stream {
    sample: usize,
    target: usize,
    started: u64,
    /// Tokens that were generated before this stream started.
    resumed: f64,
    /// Tokens of the answer so far, including the resumed ones.
    generated: f64,
    /// Remaining prefill of prompt and earlier answer, in units of one generated token.
    prefill: f64,
}

pub(super) struct StepRun {
    fleet: Fleet,
    samples: Vec<PlannedSample>,
    policy: Policy,
    queue: VecDeque<usize>,
    streams: Vec<Stream>,
    /// Whether each sample is complete.
    done: Vec<bool>,
    hedged: Vec<bool>,
    /// Times from the first start of each complete sample to its completion.
    durations_ms: Vec<u64>,
    stragglers: Stragglers,
    now: u64,
    /// Work so far, in units of one generated token.
    work: f64,
    remedies: u32,
    /// Measured milliseconds per token, by target.
    pace_ms: Vec<f64>,
}

impl StepRun {
    pub(super) fn new(fleet: Fleet, samples: Vec<PlannedSample>, policy: Policy) -> Self {
        let mut queue: Vec<usize> = (0..samples.len()).collect();
        if policy == Policy::Predicted {
            // The length of the first sample of each group predicts the lengths of the others.
            queue.sort_by_key(|&sample| samples[sample].index > 0);
        }
        let rules = StragglerRules {
            prefill_ratio: PREFILL_RATIO,
            ..StragglerRules::default()
        };
        Self {
            pace_ms: vec![ENGINE_STEP_MS; fleet.slowdowns.len()],
            done: vec![false; samples.len()],
            hedged: vec![false; samples.len()],
            durations_ms: Vec::new(),
            fleet,
            samples,
            policy,
            queue: queue.into(),
            streams: Vec::new(),
            stragglers: Stragglers::new(rules),
            now: 0,
            work: 0.0,
            remedies: 0,
        }
    }

    /// Runs until all samples are complete.
    pub(super) fn run(mut self) -> Outcome {
        while self.done.iter().any(|done| !done) {
            self.start_queued();
            self.advance();
            if self.now.is_multiple_of(DECISION_INTERVAL_MS) {
                match self.policy {
                    Policy::FixedHedge => self.hedge_fixed(),
                    Policy::None => {}
                    Policy::Predicted => self.apply_predicted(),
                }
            }
        }
        let needed: f64 = self.samples.iter().map(cost_in_tokens).sum();
        Outcome {
            extra_work: self.work / needed - 1.0,
            remedies: self.remedies,
            step_s: self.now as f64 / 1_000.0,
        }
    }

    fn running(&self, target: usize) -> u32 {
        let on_target = self.streams.iter().filter(|stream| stream.target == target);
        on_target.count() as u32
    }

    fn stream_counts(&self) -> Vec<u32> {
        let mut stream_counts = vec![0; self.fleet.slowdowns.len()];
        for stream in &self.streams {
            stream_counts[stream.target] += 1;
        }
        stream_counts
    }

    fn token_ms(&self, target: usize, running: u32) -> f64 {
        (ENGINE_STEP_MS + MS_PER_STREAM * f64::from(running)) * self.fleet.slowdowns[target]
    }

    fn is_slow(&self, target: usize) -> bool {
        let mut sorted = self.pace_ms.clone();
        sorted.sort_by(f64::total_cmp);
        self.policy == Policy::Predicted
            && self.pace_ms[target] > SLOW_TARGET_FACTOR * sorted[sorted.len() / 2]
    }

    fn start_queued(&mut self) {
        let mut stream_counts = self.stream_counts();
        while let Some(&sample) = self.queue.front() {
            let free = (0..stream_counts.len()).filter(|&target| {
                stream_counts[target] < self.fleet.slots && !self.is_slow(target)
            });
            let Some(target) = free.min_by_key(|&target| stream_counts[target]) else {
                return;
            };
            self.queue.pop_front();
            stream_counts[target] += 1;
            self.start_stream(sample, target, 0.0);
        }
    }

    fn start_stream(&mut self, sample: usize, target: usize, tokens: f64) {
        let prefill = (f64::from(PROMPT_TOKENS) + tokens) / PREFILL_RATIO;
        self.work += prefill;
        self.streams.push(Stream {
            sample,
            target,
            started: self.now,
            resumed: tokens,
            generated: tokens,
            prefill,
        });
    }

    fn advance(&mut self) {
        let stream_counts = self.stream_counts();
        self.now += TICK_MS;
        let mut completed = Vec::new();
        for stream_index in 0..self.streams.len() {
            let target = self.streams[stream_index].target;
            let mut tokens = TICK_MS as f64 / self.token_ms(target, stream_counts[target]);
            let stream = &mut self.streams[stream_index];
            let read = tokens.min(stream.prefill);
            stream.prefill -= read;
            tokens -= read;
            let left = f64::from(self.samples[stream.sample].tokens) - stream.generated;
            let generated = tokens.min(left);
            stream.generated += generated;
            self.work += generated;
            if left <= tokens {
                completed.push(stream.sample);
            }
        }
        for sample in completed {
            if !std::mem::replace(&mut self.done[sample], true) {
                let started = self.streams.iter().filter(|stream| stream.sample == sample);
                let first = started
                    .map(|stream| stream.started)
                    .min()
                    .unwrap_or(self.now);
                self.durations_ms.push(self.now - first);
                self.stragglers.learn(
                    &sample_id(&self.samples[sample]),
                    self.samples[sample].tokens,
                );
            }
        }
        let done = &self.done;
        self.streams.retain(|stream| !done[stream.sample]);
    }

    fn hedge_fixed(&mut self) {
        if self.durations_ms.len() < 32 {
            return;
        }
        let mut sorted = self.durations_ms.clone();
        sorted.sort_unstable();
        let max_duration = 2 * sorted[sorted.len() / 2];
        let late_streams: Vec<_> = self
            .streams
            .iter()
            .filter(|stream| {
                !self.hedged[stream.sample] && self.now - stream.started > max_duration
            })
            .map(|stream| (stream.sample, stream.target))
            .collect();
        let mut stream_counts = self.stream_counts();
        for (sample, late_target) in late_streams {
            let others = (0..stream_counts.len()).filter(|&target| {
                target != late_target && stream_counts[target] < self.fleet.slots
            });
            if let Some(target) = others.min_by_key(|&target| stream_counts[target]) {
                stream_counts[target] += 1;
                self.hedged[sample] = true;
                self.remedies += 1;
                self.start_stream(sample, target, 0.0);
            }
        }
    }

    fn apply_predicted(&mut self) {
        self.measure_paces();
        self.sort_queue();
        let attempts: Vec<_> = self
            .streams
            .iter()
            .map(|stream| self.attempt(stream))
            .collect();
        let mut target_paces: Vec<_> = (0..self.pace_ms.len())
            .map(|target| TargetPace {
                target: target_name(target),
                tokens_per_s: 1_000.0 / self.pace_ms[target],
                room: self.fleet.slots - self.running(target),
            })
            .collect();
        let slots = self.fleet.slots * self.pace_ms.len() as u32;
        let waiting = self.queue.iter().map(|&sample| {
            self.stragglers
                .expected_remaining(&sample_id(&self.samples[sample]), 0, MAX_TOKENS)
        });
        let queue_ms = waiting.sum::<f64>() * ENGINE_STEP_MS / f64::from(slots);
        let now = Millis(self.now);
        let remedies =
            self.stragglers
                .decide(&attempts, &mut target_paces, Millis(queue_ms as u64), now);
        for remedy in remedies {
            let (id, to, is_hedge) = match remedy {
                Remedy::Hedge { id, to } => (id, to, true),
                Remedy::Migrate { id, to } | Remedy::Resume { id, to } => (id, to, false),
            };
            let is_affected =
                |sample: &PlannedSample| sample.group == id.group && sample.index == id.index;
            let Some(sample) = self.samples.iter().position(is_affected) else {
                continue;
            };
            let Some(stream_index) = self
                .streams
                .iter()
                .position(|stream| stream.sample == sample)
            else {
                continue;
            };
            let generated = self.streams[stream_index].generated;
            if !is_hedge {
                self.streams.swap_remove(stream_index);
            }
            self.remedies += 1;
            let target = to.as_str().parse().unwrap_or(0);
            self.start_stream(sample, target, generated);
        }
    }

    /// Measures the milliseconds per token of each target from its running streams.
    fn measure_paces(&mut self) {
        let mut sums: HashMap<usize, (f64, f64)> = HashMap::new();
        for stream in &self.streams {
            let generated = stream.generated - stream.resumed;
            if generated >= 1.0 {
                let sum = sums.entry(stream.target).or_default();
                sum.0 += (self.now - stream.started) as f64;
                sum.1 += generated;
            }
        }
        let now = self.now;
        for target in 0..self.pace_ms.len() {
            let known = sums.get(&target);
            // A target without streams keeps its last pace, but at least that of an idle engine.
            if let Some((ms, tokens)) = known {
                self.pace_ms[target] = ms / tokens;
            } else if now > 0 && self.running(target) == 0 {
                self.pace_ms[target] = self.pace_ms[target].max(ENGINE_STEP_MS);
            }
        }
    }

    /// Sorts the queue: the first sample of each group comes first, and both these and the others are
    /// ordered by the expected length of their group's answers, longest first.
    fn sort_queue(&mut self) {
        let mut longest: HashMap<u32, u32> = HashMap::new();
        for stream in &self.streams {
            let longest_answer = longest
                .entry(self.samples[stream.sample].group)
                .or_default();
            *longest_answer = (*longest_answer).max(stream.generated as u32);
        }
        let mut expected_lengths = HashMap::new();
        for sample in &self.samples {
            let running = longest.get(&sample.group).copied().unwrap_or(0);
            expected_lengths.entry(sample.group).or_insert_with(|| {
                self.stragglers
                    .expected_length(&sample_id(sample), running, MAX_TOKENS)
            });
        }
        let expected = |sample: usize| expected_lengths[&self.samples[sample].group];
        let is_follower = |sample: usize| self.samples[sample].index > 0;
        self.queue.make_contiguous().sort_by(|&a, &b| {
            is_follower(a)
                .cmp(&is_follower(b))
                .then(expected(b).total_cmp(&expected(a)))
        });
    }

    fn attempt(&self, stream: &Stream) -> Attempt {
        Attempt {
            id: sample_id(&self.samples[stream.sample]),
            last_token_at: Millis(self.now),
            max_tokens: MAX_TOKENS,
            prompt_tokens: PROMPT_TOKENS,
            started_at: Millis(stream.started),
            target: target_name(stream.target),
            tokens: stream.generated as u32,
            resumed_tokens: stream.resumed as u32,
            hedge: None,
        }
    }
}

fn cost_in_tokens(sample: &PlannedSample) -> f64 {
    f64::from(PROMPT_TOKENS) / PREFILL_RATIO + f64::from(sample.tokens)
}

fn target_name(target: usize) -> TargetName {
    target.to_string().into()
}

fn sample_id(sample: &PlannedSample) -> SampleId {
    SampleId {
        group: sample.group,
        index: sample.index,
        ..SampleId::default()
    }
}
