//! Moves or hedges samples that are late, moves samples off reclaimed targets, and sorts the
//! queues.

use std::collections::HashMap;

use godwitspool_connection::{messages::View, platform::TargetState as Platform};
use godwitspool_rollout::{
    Attempt, ReclaimBudget, ReclaimMove, ReclaimedStream, Remedy, StepNumber, TargetPace,
    plan_reclaim,
};
use godwitspool_types::{HostName, Millis, TargetName};

use super::{
    dispatch::INITIAL_TOKEN_MS,
    rollouts::State,
    running::{Job, RunningStream},
    stream,
};

/// A stream with fewer new tokens than this isn't used to measure its target.
const MIN_PACE_TOKENS: u32 = 5;
/// Part by which the measured time per token of an idle target moves back to the initial one at
/// each measurement, since an old measurement may no longer hold.
const IDLE_PACE_DECAY: f64 = 0.02;
/// A target slower than the median of its service by this factor gets no new samples.
const SLOW_TARGET_FACTOR: f64 = 3.0;

impl State {
    /// Measures the time per token of each target from its running streams.
    pub(super) fn measure_paces(&mut self, now: Millis) {
        let mut sums: HashMap<TargetName, (f64, f64)> = HashMap::new();
        for running in self.running.values() {
            let progress = running.progress();
            let new_tokens = progress.partial.tokens.len() as u32 - progress.resumed_tokens;
            if new_tokens >= MIN_PACE_TOKENS {
                let sum = sums.entry(running.target.clone()).or_default();
                sum.0 += (now - running.started_at).0 as f64;
                sum.1 += f64::from(new_tokens);
            }
        }
        for (target, known) in &mut self.targets {
            match sums.get(target) {
                Some((ms, tokens)) => known.token_ms = ms / tokens,
                None => known.token_ms += IDLE_PACE_DECAY * (INITIAL_TOKEN_MS - known.token_ms),
            }
        }
    }

    /// Returns whether a target is much slower than the others of its service.
    pub(super) fn is_slow(&self, target: &TargetName) -> bool {
        let Some(known) = self.targets.get(target) else {
            return false;
        };
        let peers = self
            .targets
            .values()
            .filter(|peer| peer.service == known.service);
        let mut paces: Vec<f64> = peers.map(|peer| peer.token_ms).collect();
        paces.sort_by(f64::total_cmp);
        known.token_ms > SLOW_TARGET_FACTOR * paces[paces.len() / 2]
    }

    /// Sorts each queue: started samples first, then the others, both in the order of their steps.
    /// Within a step, the first unstarted sample of each group precedes the other unstarted ones.
    /// Among equals, the sample with the longer expected answer comes first.
    pub(super) fn sort_queues(&mut self) {
        let mut longest: HashMap<(StepNumber, u32), u32> = HashMap::new();
        for running in self.running.values() {
            let longest_run = longest
                .entry((running.id.step, running.id.group))
                .or_default();
            *longest_run = (*longest_run).max(running.progress().partial.tokens.len() as u32);
        }
        for trainer in self.trainers.values_mut() {
            let stragglers = &trainer.stragglers;
            let mut lengths: HashMap<(StepNumber, u32), f64> = HashMap::new();
            for job in &trainer.queue {
                let group = (job.partial.id.step, job.partial.id.group);
                lengths.entry(group).or_insert_with(|| {
                    let running = longest.get(&group).copied().unwrap_or(0);
                    stragglers.expected_length(&job.partial.id, running, job.spec.max_tokens)
                });
            }
            trainer.queue.make_contiguous().sort_by(|a, b| {
                let key = |job: &Job| {
                    let id = &job.partial.id;
                    let is_unstarted = job.partial.tokens.is_empty() && job.kv.is_none();
                    (is_unstarted, id.step, is_unstarted && id.index > 0)
                };
                let length = |job: &Job| lengths[&(job.partial.id.step, job.partial.id.group)];
                key(a)
                    .cmp(&key(b))
                    .then_with(|| length(b).total_cmp(&length(a)))
            });
        }
    }

    /// Moves or hedges samples that are late, for trainers whose queue is empty.
    pub(super) fn apply_remedies(&mut self, own: &HostName, now: Millis) {
        let mut paces: Vec<_> = self
            .targets
            .iter()
            .map(|(target, known)| TargetPace {
                target: target.clone(),
                tokens_per_s: 1_000.0 / known.token_ms.max(0.1),
                room: self.room(own, target, now),
            })
            .collect();
        let running: Vec<_> = self.running.values().cloned().collect();
        let (mut hedges, mut moves) = (Vec::new(), HashMap::new());
        for (name, trainer) in &mut self.trainers {
            if !trainer.queue.is_empty() {
                continue;
            }
            let streams = running.iter().filter(|running| running.id.trainer == *name);
            let attempts: Vec<_> = streams.filter_map(|running| attempt_of(running)).collect();
            let remedies = trainer
                .stragglers
                .decide(&attempts, &mut paces, Millis::ZERO, now);
            for remedy in remedies {
                match remedy {
                    Remedy::Hedge { id, to } => hedges.push((id, to)),
                    Remedy::Migrate { id, to } | Remedy::Resume { id, to } => {
                        moves.insert(id, to);
                    }
                }
            }
        }
        for running in running.iter().filter(|running| !running.is_hedge) {
            if let Some(to) = moves.get(&running.id) {
                running.progress().move_to = Some(to.clone());
            }
            if let Some((_, to)) = hedges.iter().find(|(id, _)| *id == running.id) {
                let mut progress = running.progress();
                progress.hedge = Some(to.clone());
                let partial = stream::copy_partial(&progress.partial);
                drop(progress);
                self.enqueue(Job {
                    generation: running.generation,
                    hedge: true,
                    kv: None,
                    partial,
                    spec: running.spec.clone(),
                    preferred: Some(to.clone()),
                    avoid: Some(running.target.clone()),
                });
            }
        }
    }

    /// Moves samples off targets that the platform reclaims within seconds.
    pub(super) fn move_off_reclaimed(&mut self, own: &HostName, view: &View, now: Millis) {
        let is_reclaimed = |target: &TargetName| {
            let known = view.targets.iter().find(|entry| entry.target == *target);
            known.is_some_and(|entry| entry.state == Platform::Reclaimed)
        };
        let streams: Vec<_> = self
            .running
            .values()
            .filter(|running| is_reclaimed(&running.target) && running.progress().move_to.is_none())
            .cloned()
            .collect();
        if streams.is_empty() {
            return;
        }
        let live = view
            .targets
            .iter()
            .filter(|entry| entry.state == Platform::Live);
        let budget = ReclaimBudget {
            room: live.map(|entry| self.room(own, &entry.target, now)).sum(),
            ..ReclaimBudget::default()
        };
        let reclaimed = streams.iter().map(|running| self.reclaimed_stream(running));
        for (id, chosen) in plan_reclaim(reclaimed.collect(), &budget) {
            let stream = streams.iter().find(|running| running.id == id);
            // All moves keep the tokens. Only samples expected to end in time stay.
            if let Some(running) = stream.filter(|_| chosen != ReclaimMove::Finish) {
                running.progress().move_to = Some(TargetName::default());
            }
        }
    }

    fn reclaimed_stream(&self, running: &RunningStream) -> ReclaimedStream {
        let tokens = running.progress().partial.tokens.len() as u32;
        let trainer = self.trainers.get(&running.id.trainer);
        let remaining = trainer.map_or(0.0, |trainer| {
            let token_limit = running.spec.max_tokens;
            trainer
                .stragglers
                .expected_remaining(&running.id, tokens, token_limit)
        });
        let pace = self.targets.get(&running.target);
        let token_ms = pace.map_or(INITIAL_TOKEN_MS, |known| known.token_ms);
        ReclaimedStream {
            id: running.id.clone(),
            remaining_ms: Millis((remaining * token_ms) as u64),
            tokens,
        }
    }
}

fn attempt_of(running: &RunningStream) -> Option<Attempt> {
    let progress = running.progress();
    if progress.move_to.is_some() || running.is_hedge {
        return None;
    }
    Some(Attempt {
        id: running.id.clone(),
        last_token_at: progress.last_token_at,
        max_tokens: running.spec.max_tokens,
        prompt_tokens: (running.spec.bytes() / 4) as u32,
        started_at: running.started_at,
        target: running.target.clone(),
        tokens: progress.partial.tokens.len() as u32,
        resumed_tokens: progress.resumed_tokens,
        hedge: progress.hedge.clone(),
    })
}
