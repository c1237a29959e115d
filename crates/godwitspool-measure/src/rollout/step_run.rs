//! One step on targets that batch continuously, under a policy against stragglers.

use std::collections::{HashMap, VecDeque};

use godwitspool_rollout::{Attempt, Remedy, SampleId, StragglerRules, Stragglers, TargetPace};
use godwitspool_types::{Millis, TargetName};

const TICK_MS: u64 = 100;
const DECIDE_MS: u64 = 500;
/// Milliseconds of an engine's step, and more for each running stream.
const STEP_MS: f64 = 8.0;
const STREAM_MS: f64 = 0.2;
pub(super) const PROMPT_TOKENS: u32 = 200;
pub(super) const MAX_TOKENS: u32 = 16_384;
/// Tokens of prompt that a target reads in the time of a generated one.
const PREFILL_RATIO: f64 = 20.0;
/// A target this much slower than the median gets no new samples.
const SLOW_FACTOR: f64 = 3.0;

/// A policy against stragglers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Policy {
    /// A second stream from the start once a sample has taken twice the median.
    FixedHedge,
    /// Samples stay where they are, in the order of submission.
    None,
    /// The rollouts' own: predicted lengths, longest first, moves and hedges within a budget.
    Predicted,
}

/// A sample to make.
#[derive(Clone, Debug)]
pub(super) struct Need {
    pub(super) group: u32,
    pub(super) index: u32,
    pub(super) tokens: u32,
}

/// The targets of a run.
#[derive(Clone, Debug)]
pub(super) struct Fleet {
    pub(super) slots: u32,
    /// How many times slower than usual each target is.
    pub(super) slowness: Vec<f64>,
}

/// What a step took.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outcome {
    /// Work beyond what one run of every sample takes, as a part of that.
    pub(super) extra: f64,
    pub(super) remedies: u32,
    pub(super) step_s: f64,
}

#[derive(Clone, Debug)]
struct Stream {
    need: usize,
    target: usize,
    started: u64,
    resumed: f64,
    made: f64,
    /// Tokens of prompt and answer still to read, in generated tokens.
    reading: f64,
}

pub(super) struct StepRun {
    fleet: Fleet,
    needs: Vec<Need>,
    policy: Policy,
    queue: VecDeque<usize>,
    streams: Vec<Stream>,
    done: Vec<bool>,
    hedged: Vec<bool>,
    durations: Vec<u64>,
    stragglers: Stragglers,
    now: u64,
    work: f64,
    remedies: u32,
    paces: Vec<f64>,
}

impl StepRun {
    pub(super) fn new(fleet: Fleet, needs: Vec<Need>, policy: Policy) -> Self {
        let mut queue: Vec<usize> = (0..needs.len()).collect();
        if policy == Policy::Predicted {
            // The first of each group tells how long the others will be.
            queue.sort_by_key(|&need| needs[need].index > 0);
        }
        let rules = StragglerRules {
            prefill_ratio: PREFILL_RATIO,
            ..StragglerRules::default()
        };
        Self {
            paces: vec![STEP_MS; fleet.slowness.len()],
            done: vec![false; needs.len()],
            hedged: vec![false; needs.len()],
            durations: Vec::new(),
            fleet,
            needs,
            policy,
            queue: queue.into(),
            streams: Vec::new(),
            stragglers: Stragglers::new(rules),
            now: 0,
            work: 0.0,
            remedies: 0,
        }
    }

    /// Runs until every sample is whole.
    pub(super) fn run(mut self) -> Outcome {
        while self.done.iter().any(|done| !done) {
            self.fill();
            self.advance();
            if self.now.is_multiple_of(DECIDE_MS) {
                match self.policy {
                    Policy::FixedHedge => self.hedge_fixed(),
                    Policy::None => {}
                    Policy::Predicted => self.predict(),
                }
            }
        }
        let needed: f64 = self.needs.iter().map(cost).sum();
        Outcome {
            extra: self.work / needed - 1.0,
            remedies: self.remedies,
            step_s: self.now as f64 / 1_000.0,
        }
    }

    fn running(&self, target: usize) -> u32 {
        let own = self.streams.iter().filter(|stream| stream.target == target);
        own.count() as u32
    }

    fn counts(&self) -> Vec<u32> {
        let mut counts = vec![0; self.fleet.slowness.len()];
        for stream in &self.streams {
            counts[stream.target] += 1;
        }
        counts
    }

    fn token_ms(&self, target: usize, running: u32) -> f64 {
        (STEP_MS + STREAM_MS * f64::from(running)) * self.fleet.slowness[target]
    }

    fn is_slow(&self, target: usize) -> bool {
        let mut sorted = self.paces.clone();
        sorted.sort_by(f64::total_cmp);
        self.policy == Policy::Predicted
            && self.paces[target] > SLOW_FACTOR * sorted[sorted.len() / 2]
    }

    fn fill(&mut self) {
        let mut counts = self.counts();
        while let Some(&need) = self.queue.front() {
            let free = (0..counts.len())
                .filter(|&target| counts[target] < self.fleet.slots && !self.is_slow(target));
            let Some(target) = free.min_by_key(|&target| counts[target]) else {
                return;
            };
            self.queue.pop_front();
            counts[target] += 1;
            self.begin(need, target, 0.0);
        }
    }

    fn begin(&mut self, need: usize, target: usize, tokens: f64) {
        let reading = (f64::from(PROMPT_TOKENS) + tokens) / PREFILL_RATIO;
        self.work += reading;
        self.streams.push(Stream {
            need,
            target,
            started: self.now,
            resumed: tokens,
            made: tokens,
            reading,
        });
    }

    fn advance(&mut self) {
        let counts = self.counts();
        self.now += TICK_MS;
        let mut whole = Vec::new();
        for at in 0..self.streams.len() {
            let target = self.streams[at].target;
            let mut tokens = TICK_MS as f64 / self.token_ms(target, counts[target]);
            let stream = &mut self.streams[at];
            let read = tokens.min(stream.reading);
            stream.reading -= read;
            tokens -= read;
            let left = f64::from(self.needs[stream.need].tokens) - stream.made;
            let made = tokens.min(left);
            stream.made += made;
            self.work += made;
            if left <= tokens {
                whole.push(stream.need);
            }
        }
        for need in whole {
            if !std::mem::replace(&mut self.done[need], true) {
                let started = self.streams.iter().filter(|stream| stream.need == need);
                let first = started
                    .map(|stream| stream.started)
                    .min()
                    .unwrap_or(self.now);
                self.durations.push(self.now - first);
                self.stragglers
                    .learn(&id_of(&self.needs[need]), self.needs[need].tokens);
            }
        }
        let done = &self.done;
        self.streams.retain(|stream| !done[stream.need]);
    }

    // -----------------------------------------------------------------------------------------------
    // Policies

    fn hedge_fixed(&mut self) {
        if self.durations.len() < 32 {
            return;
        }
        let mut sorted = self.durations.clone();
        sorted.sort_unstable();
        let bound = 2 * sorted[sorted.len() / 2];
        let late: Vec<_> = self
            .streams
            .iter()
            .filter(|stream| !self.hedged[stream.need] && self.now - stream.started > bound)
            .map(|stream| (stream.need, stream.target))
            .collect();
        let mut counts = self.counts();
        for (need, own) in late {
            let others = (0..counts.len())
                .filter(|&target| target != own && counts[target] < self.fleet.slots);
            if let Some(target) = others.min_by_key(|&target| counts[target]) {
                counts[target] += 1;
                self.hedged[need] = true;
                self.remedies += 1;
                self.begin(need, target, 0.0);
            }
        }
    }

    fn predict(&mut self) {
        self.observe();
        self.sort_queue();
        let attempts: Vec<_> = self
            .streams
            .iter()
            .map(|stream| self.attempt(stream))
            .collect();
        let mut paces: Vec<_> = (0..self.paces.len())
            .map(|target| TargetPace {
                target: name(target),
                tokens_per_s: 1_000.0 / self.paces[target],
                room: self.fleet.slots - self.running(target),
            })
            .collect();
        let slots = self.fleet.slots * self.paces.len() as u32;
        let waiting = self.queue.iter().map(|&need| {
            self.stragglers
                .expected_remaining(&id_of(&self.needs[need]), 0, MAX_TOKENS)
        });
        let queue_ms = waiting.sum::<f64>() * STEP_MS / f64::from(slots);
        let now = Millis(self.now);
        let remedies = self
            .stragglers
            .decide(&attempts, &mut paces, Millis(queue_ms as u64), now);
        for remedy in remedies {
            let (id, to, is_hedge) = match remedy {
                Remedy::Hedge { id, to } => (id, to, true),
                Remedy::Migrate { id, to } | Remedy::Resume { id, to } => (id, to, false),
            };
            let is_need = |need: &Need| need.group == id.group && need.index == id.index;
            let Some(need) = self.needs.iter().position(is_need) else {
                continue;
            };
            let Some(at) = self.streams.iter().position(|stream| stream.need == need) else {
                continue;
            };
            let made = self.streams[at].made;
            if !is_hedge {
                self.streams.swap_remove(at);
            }
            self.remedies += 1;
            let target = to.as_str().parse().unwrap_or(0);
            self.begin(need, target, made);
        }
    }

    /// Measures the pace of each target by its present streams.
    fn observe(&mut self) {
        let mut sums: HashMap<usize, (f64, f64)> = HashMap::new();
        for stream in &self.streams {
            let made = stream.made - stream.resumed;
            if made >= 1.0 {
                let sum = sums.entry(stream.target).or_default();
                sum.0 += (self.now - stream.started) as f64;
                sum.1 += made;
            }
        }
        let now = self.now;
        for target in 0..self.paces.len() {
            let known = sums.get(&target);
            // An empty target's pace is that of its last streams, never less than one stream's.
            if let Some((ms, tokens)) = known {
                self.paces[target] = ms / tokens;
            } else if now > 0 && self.running(target) == 0 {
                self.paces[target] = self.paces[target].max(STEP_MS);
            }
        }
    }

    fn sort_queue(&mut self) {
        let mut longest: HashMap<u32, u32> = HashMap::new();
        for stream in &self.streams {
            let most = longest.entry(self.needs[stream.need].group).or_default();
            *most = (*most).max(stream.made as u32);
        }
        let mut rests = HashMap::new();
        for need in &self.needs {
            let running = longest.get(&need.group).copied().unwrap_or(0);
            rests.entry(need.group).or_insert_with(|| {
                self.stragglers
                    .expected_length(&id_of(need), running, MAX_TOKENS)
            });
        }
        let rest = |need: usize| rests[&self.needs[need].group];
        let is_rest = |need: usize| self.needs[need].index > 0;
        self.queue.make_contiguous().sort_by(|&a, &b| {
            is_rest(a)
                .cmp(&is_rest(b))
                .then(rest(b).total_cmp(&rest(a)))
        });
    }

    fn attempt(&self, stream: &Stream) -> Attempt {
        Attempt {
            id: id_of(&self.needs[stream.need]),
            last_token_at: Millis(self.now),
            max_tokens: MAX_TOKENS,
            prompt_tokens: PROMPT_TOKENS,
            started_at: Millis(stream.started),
            target: name(stream.target),
            tokens: stream.made as u32,
            resumed_tokens: stream.resumed as u32,
            hedge: None,
        }
    }
}

fn cost(need: &Need) -> f64 {
    f64::from(PROMPT_TOKENS) / PREFILL_RATIO + f64::from(need.tokens)
}

fn name(target: usize) -> TargetName {
    target.to_string().into()
}

fn id_of(need: &Need) -> SampleId {
    SampleId {
        group: need.group,
        index: need.index,
        ..SampleId::default()
    }
}
