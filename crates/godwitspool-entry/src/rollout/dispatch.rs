//! Starts samples on targets, within the room that callers' requests leave.

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::AtomicBool},
    thread,
    time::Duration,
};

use godwitspool_connection::{
    messages::{Portion, View},
    platform::{TargetEntry, TargetState as Platform},
};
use godwitspool_request::{TrainingShare, stable_hash};
use godwitspool_rollout::{Freshness, SampleId, ScoreEvent, TrainerDemand};
use godwitspool_sync::Mutex;
use godwitspool_types::{HostName, Millis, ServiceName, TargetName, TrainerName};

use super::{
    journal::SampleEvent,
    rollouts::{State, TargetState},
    running::{Job, RunningStream, StreamProgress},
    scores,
    stream::{self, Stream},
};
use crate::process::shared::Shared;

const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
const TICK_INTERVAL: Millis = Millis(100);
const REMEDY_INTERVAL: Millis = Millis(250);
/// Assumed time per token of a target that has not been measured.
pub(super) const INITIAL_TOKEN_MS: f64 = 20.0;

/// Runs the rollouts of this host until the entry stops.
pub(crate) fn run(shared: &Arc<Shared>) {
    let (mut last_tick, mut last_remedy) = (Millis::ZERO, Millis::ZERO);
    while !shared.stopped() {
        let now = shared.rollouts.clock.now();
        if now - last_tick >= TICK_INTERVAL {
            last_tick = now;
            shared.rollouts.tick(shared);
            scores::handle_event(shared, ScoreEvent::Tick);
            shared.rollouts.send_portion(shared);
        }
        let view = shared.view();
        let streams = {
            let mut state = shared.rollouts.lock();
            state.observe(&view, now);
            state.preempt(&shared.settings.host, now);
            state.move_off_reclaimed(&shared.settings.host, &view, now);
            if now - last_remedy >= REMEDY_INTERVAL {
                last_remedy = now;
                state.measure_paces(now);
                state.sort_queues();
                state.apply_remedies(&shared.settings.host, now);
            }
            state.dispatch(shared, &view, now)
        };
        for stream in streams {
            spawn_stream(shared, stream);
        }
        shared.rollouts.wait(DISPATCH_INTERVAL);
    }
}

fn spawn_stream(shared: &Arc<Shared>, stream: Stream) {
    let shared = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("sample".to_owned())
        .spawn(move || stream.run(&shared));
    if let Err(error) = spawned {
        log::error!("can't start a thread for a sample: {error}");
    }
}

impl State {
    /// Returns whether a sample of this generation is still to be generated.
    pub(super) fn is_wanted(&self, id: &SampleId, generation: u64) -> bool {
        let trainer = self.trainers.get(&id.trainer);
        trainer.is_some_and(|trainer| trainer.steps.generation(id) == Some(generation))
    }

    /// Updates each target's limit on training from its slots and its load.
    fn observe(&mut self, view: &View, now: Millis) {
        for target in &view.targets {
            let slots = view.configuration.services.get(&target.service);
            let Some(slots) = slots.map(|service| service.slots) else {
                continue;
            };
            let known = self
                .targets
                .entry(target.target.clone())
                .or_insert_with(|| TargetState {
                    token_ms: INITIAL_TOKEN_MS,
                    service: target.service.clone(),
                    share: TrainingShare::new(slots),
                    training: 0,
                });
            known.service = target.service.clone();
            let training = known.training + self.portions.streams_elsewhere(&target.target, now);
            let busy = self.portions.busy(&target.target, now);
            known.share.observe(busy.saturating_sub(training), now);
        }
    }

    /// Returns how many more training streams this host may start on a target.
    pub(super) fn room(&self, own: &HostName, target: &TargetName, now: Millis) -> u32 {
        let Some(known) = self.targets.get(target) else {
            return 0;
        };
        let allowed = known.share.room(0);
        let shares = self.wanted_shares(&known.service);
        let part = self
            .portions
            .part(own, &known.service, shares, allowed, now);
        let streams_elsewhere = self.portions.streams_elsewhere(target, now);
        part.saturating_sub(known.training)
            .min(known.share.room(known.training + streams_elsewhere))
    }

    /// Returns whether a target's weights are older than the trainer's staleness bound allows.
    fn has_stale_weights(&self, trainer: &TrainerName, target: &TargetName) -> bool {
        let weights = self.portions.weights(target);
        let (Some(trainer), Some(weights)) = (self.trainers.get(trainer), weights) else {
            return false;
        };
        let order = trainer.steps.image().order();
        let bound = trainer.rules.staleness_versions;
        matches!(order.freshness(weights, bound), Freshness::TooOld { .. })
    }

    /// Returns the sum of the shares of the trainers that have samples of a service to generate.
    fn wanted_shares(&self, service: &ServiceName) -> u32 {
        let wanting = self.trainers.values().filter(|trainer| {
            trainer.rules.service == *service
                && (!trainer.queue.is_empty() || trainer.running_streams > 0)
        });
        wanting.map(|trainer| trainer.rules.share).sum()
    }

    /// Returns the report of this host's training for the other hosts.
    pub(super) fn portion(&self, own: &HostName) -> Portion {
        let streams = self.targets.iter().filter(|(_, known)| known.training > 0);
        let services: BTreeSet<_> = self.targets.values().map(|known| &known.service).collect();
        let shares = services
            .into_iter()
            .map(|service| (service.clone(), self.wanted_shares(service)))
            .filter(|(_, shares)| *shares > 0);
        Portion {
            host: own.clone(),
            streams: streams
                .map(|(target, known)| (target.clone(), known.training))
                .collect(),
            shares: shares.collect(),
        }
    }

    /// Preempts training streams on targets where training takes the headroom kept for callers'
    /// requests. The streams with the fewest tokens go first; they resume later on any target.
    fn preempt(&mut self, own: &HostName, now: Millis) {
        let mut preempted = Vec::new();
        for (target, known) in &self.targets {
            let all = known.training + self.portions.streams_elsewhere(target, now);
            let wanted = known.share.cuts(all);
            if wanted > 0 && known.training > 0 {
                log::info!(target_name:% = target, host:% = own, wanted; "training preempted");
                preempted.push((target.clone(), (wanted * known.training).div_ceil(all)));
            }
        }
        for (target, count) in preempted {
            let mut streams: Vec<_> = self
                .running
                .values()
                .filter(|running| running.target == target)
                .map(|running| (running.progress().partial.tokens.len(), running))
                .collect();
            streams.sort_by_key(|(tokens, _)| *tokens);
            for (_, running) in streams.into_iter().take(count as usize) {
                running.progress().move_to = Some(TargetName::default());
            }
        }
    }

    /// Starts jobs in the order of the trainers' shares until no trainer can start another.
    fn dispatch(&mut self, shared: &Arc<Shared>, view: &View, now: Millis) -> Vec<Stream> {
        let mut streams = Vec::new();
        if shared.draining() {
            return streams;
        }
        self.set_shares(view, now);
        let mut blocked: Vec<TrainerName> = Vec::new();
        while let Some(name) = self.shares.next(now, 1.0, |name| !blocked.contains(name)) {
            if let Some(stream) = self.start_next(shared, view, &name, now) {
                streams.push(stream);
            } else {
                self.shares.refund(&name, 1.0);
                blocked.push(name);
            }
        }
        streams
    }

    /// Updates the share, deadline and queue length of each trainer.
    fn set_shares(&mut self, view: &View, now: Millis) {
        for (name, trainer) in &mut self.trainers {
            if trainer.queue.is_empty() {
                trainer.queued_since = now;
            }
            let demand = TrainerDemand {
                share: trainer.rules.share,
                deadline: Some(trainer.queued_since + Millis(trainer.rules.step_ms)),
                remaining: Millis::ZERO,
                waiting: trainer.queue.len() as u32,
            };
            self.shares.set(name.clone(), demand);
        }
        for name in self.trainers.keys() {
            if !view.configuration.trainers.contains_key(name) {
                self.shares.remove(name);
            }
        }
    }

    /// Starts a trainer's next job on the best target with room.
    fn start_next(
        &mut self,
        shared: &Arc<Shared>,
        view: &View,
        name: &TrainerName,
        now: Millis,
    ) -> Option<Stream> {
        let trainer = self.trainers.get(name)?;
        let service = view.configuration.services.get(&trainer.rules.service)?;
        let job = trainer.queue.front()?;
        let target = self
            .choose(shared, view, job, &trainer.rules.service, now)?
            .clone();
        let model = service.model.clone();
        let job = self.trainers.get_mut(name)?.queue.pop_front()?;
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let resumed_tokens = job.partial.tokens.len() as u32;
        let event = if job.hedge {
            SampleEvent::Hedged(target.target.clone())
        } else {
            SampleEvent::Started(target.target.clone(), resumed_tokens)
        };
        self.journal.record(now, &job.partial.id, event);
        if let Some(known) = self.targets.get_mut(&target.target) {
            known.training += 1;
        }
        if let Some(trainer) = self.trainers.get_mut(name) {
            trainer.running_streams += 1;
        }
        let host = shared.settings.host.as_str();
        let running = Arc::new(RunningStream {
            cancelled: AtomicBool::new(false),
            generation: job.generation,
            id: job.partial.id.clone(),
            is_hedge: job.hedge,
            request: stream::request_name(&job.partial.id, attempt, host),
            spec: job.spec,
            started_at: now,
            target: target.target.clone(),
            progress: Mutex::new(StreamProgress {
                hedge: None,
                last_token_at: now,
                move_to: None,
                partial: job.partial,
                resumed_tokens,
            }),
        });
        self.running.insert(attempt, Arc::clone(&running));
        Some(Stream {
            attempt,
            client: shared.client(target.address),
            guard: shared.track_target(&target.target),
            kv: job.kv,
            model,
            running,
        })
    }

    /// Returns the best target with room for a job: the preferred one, then any that the job need
    /// not avoid, then one in this data centre, then the one that its group hashes to, which
    /// keeps a group together.
    fn choose<'a>(
        &self,
        shared: &Arc<Shared>,
        view: &'a View,
        job: &Job,
        service: &ServiceName,
        now: Millis,
    ) -> Option<&'a TargetEntry> {
        let targets = view.targets.iter();
        let eligible = targets.filter(|target| {
            target.service == *service
                && target.state == Platform::Live
                && !self.is_slow(&target.target)
                && !self.has_stale_weights(&job.partial.id.trainer, &target.target)
                && self.room(&shared.settings.host, &target.target, now) > 0
        });
        let id = &job.partial.id;
        let group = format!("{}/{}/{}", id.trainer, id.step, id.group);
        eligible.max_by_key(|target| {
            let is_preferred = job.preferred.as_ref() == Some(&target.target);
            let is_local = target.dc == shared.settings.dc;
            let affinity = stable_hash(format!("{group}\0{}", target.target).as_bytes());
            let is_avoided = stream::is_avoided(job, &target.target);
            (is_preferred, !is_avoided, is_local, affinity)
        })
    }
}
