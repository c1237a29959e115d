//! Starts samples on targets, within what the interactive leaves.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, atomic::AtomicBool},
    thread,
    time::Duration,
};

use godwitspool_connection::{
    messages::{Portion, View},
    platform::{TargetEntry, TargetState as Platform},
};
use godwitspool_request::{TrainingShare, stable_hash};
use godwitspool_rollout::{Freshness, SampleId, ScoreEvent, TrainerDemand};
use godwitspool_types::{HostName, Millis, ServiceName, TargetName, TrainerName};

use super::{
    journal::SampleEvent,
    rollouts::{State, TargetState},
    running::{Job, Running, StreamProgress},
    scores,
    stream::{self, Stream},
};
use crate::process::shared::Shared;

const ROUND_PAUSE: Duration = Duration::from_millis(20);
const TICK_MS: Millis = Millis(100);
const REMEDY_MS: Millis = Millis(250);
pub(super) const FIRST_PACE_MS: f64 = 20.0;

/// Runs the rollouts of this host until the entry stops.
pub(crate) fn run(shared: &Arc<Shared>) {
    let (mut ticked, mut remedied) = (Millis::ZERO, Millis::ZERO);
    while !shared.stopped() {
        let now = shared.rollouts.clock.now();
        if now - ticked >= TICK_MS {
            ticked = now;
            shared.rollouts.tick(shared);
            scores::tell(shared, ScoreEvent::Tick);
            shared.rollouts.tell_portion(shared);
        }
        let view = shared.view();
        let streams = {
            let mut state = shared.rollouts.lock();
            state.observe(&view, now);
            state.cut(&shared.settings.host, now);
            state.reclaim(&shared.settings.host, &view, now);
            if now - remedied >= REMEDY_MS {
                remedied = now;
                state.measure_paces(now);
                state.sort_queues();
                state.remedy(&shared.settings.host, now);
            }
            state.dispatch(shared, &view, now)
        };
        for stream in streams {
            start(shared, stream);
        }
        shared.rollouts.wait(ROUND_PAUSE);
    }
}

fn start(shared: &Arc<Shared>, stream: Stream) {
    let shared = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("sample".to_owned())
        .spawn(move || stream.run(&shared));
    if let Err(error) = spawned {
        log::error!("no thread for a sample: {error}");
    }
}

impl State {
    /// Tells whether a sample is still being made under a generation.
    pub(super) fn is_wanted(&self, id: &SampleId, generation: u64) -> bool {
        let trainer = self.trainers.get(&id.trainer);
        trainer.is_some_and(|trainer| trainer.steps.generation(id) == Some(generation))
    }

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
                    pace_ms: FIRST_PACE_MS,
                    service: target.service.clone(),
                    share: TrainingShare::new(slots),
                    training: 0,
                });
            known.service = target.service.clone();
            let training = known.training + self.portions.elsewhere(&target.target, now);
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
        let shares = self.shares_of(&known.service);
        let part = self
            .portions
            .part(own, &known.service, shares, allowed, now);
        let elsewhere = self.portions.elsewhere(target, now);
        part.saturating_sub(known.training)
            .min(known.share.room(known.training + elsewhere))
    }

    /// Tells whether a target's weights are older than the trainer takes samples of.
    fn is_too_old(&self, trainer: &TrainerName, target: &TargetName) -> bool {
        let weights = self.portions.weights(target);
        let (Some(trainer), Some(weights)) = (self.trainers.get(trainer), weights) else {
            return false;
        };
        let order = trainer.steps.image().order();
        let bound = trainer.rules.staleness_versions;
        matches!(order.freshness(weights, bound), Freshness::TooOld { .. })
    }

    /// Adds up the shares of the trainers that want work of a service.
    fn shares_of(&self, service: &ServiceName) -> u32 {
        let wanting = self.trainers.values().filter(|trainer| {
            trainer.rules.service == *service && (!trainer.queue.is_empty() || trainer.runs > 0)
        });
        wanting.map(|trainer| trainer.rules.share).sum()
    }

    /// Returns this host's part of the training, for the other hosts.
    pub(super) fn portion(&self, own: &HostName) -> Portion {
        let streams = self.targets.iter().filter(|(_, known)| known.training > 0);
        let services: BTreeSet<_> = self.targets.values().map(|known| &known.service).collect();
        let shares = services
            .into_iter()
            .map(|service| (service.clone(), self.shares_of(service)))
            .filter(|(_, shares)| *shares > 0);
        Portion {
            host: own.clone(),
            streams: streams
                .map(|(target, known)| (target.clone(), known.training))
                .collect(),
            shares: shares.collect(),
        }
    }

    /// Cuts streams off targets whose headroom for the interactive is eaten; they resume later.
    fn cut(&mut self, own: &HostName, now: Millis) {
        let mut cuts = Vec::new();
        for (target, known) in &self.targets {
            let all = known.training + self.portions.elsewhere(target, now);
            let wanted = known.share.cuts(all);
            if wanted > 0 && known.training > 0 {
                log::info!(target_name:% = target, host:% = own, wanted; "training is cut");
                cuts.push((target.clone(), (wanted * known.training).div_ceil(all)));
            }
        }
        for (target, count) in cuts {
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

    // -----------------------------------------------------------------------------------------------
    // Starts

    fn dispatch(&mut self, shared: &Arc<Shared>, view: &View, now: Millis) -> Vec<Stream> {
        let mut streams = Vec::new();
        if shared.draining() {
            return streams;
        }
        self.set_shares(view, now);
        let mut blocked: Vec<TrainerName> = Vec::new();
        while let Some(name) = self.shares.next(now, 1.0, |name| !blocked.contains(name)) {
            if let Some(stream) = self.begin(shared, view, &name, now) {
                streams.push(stream);
            } else {
                self.shares.refund(&name, 1.0);
                blocked.push(name);
            }
        }
        streams
    }

    fn set_shares(&mut self, view: &View, now: Millis) {
        for (name, trainer) in &mut self.trainers {
            if trainer.queue.is_empty() {
                trainer.since = now;
            }
            let rules = TrainerDemand {
                share: trainer.rules.share,
                deadline: Some(trainer.since + Millis(trainer.rules.step_ms)),
                remaining: Millis::ZERO,
                waiting: trainer.queue.len() as u32,
            };
            self.shares.set(name.clone(), rules);
        }
        for name in self.trainers.keys() {
            if !view.configuration.trainers.contains_key(name) {
                self.shares.remove(name);
            }
        }
    }

    /// Begins a trainer's next job on the best target with room.
    fn begin(
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
        self.attempt += 1;
        let attempt = self.attempt;
        let resumed = job.partial.tokens.len() as u32;
        let event = if job.hedge {
            SampleEvent::Hedged(target.target.clone())
        } else {
            SampleEvent::Started(target.target.clone(), resumed)
        };
        self.journal.note(now, &job.partial.id, event);
        if let Some(known) = self.targets.get_mut(&target.target) {
            known.training += 1;
        }
        if let Some(trainer) = self.trainers.get_mut(name) {
            trainer.runs += 1;
        }
        let host = shared.settings.host.as_str();
        let running = Arc::new(Running {
            cancelled: AtomicBool::new(false),
            generation: job.generation,
            id: job.partial.id.clone(),
            is_hedge: job.hedge,
            request: stream::request_name(&job.partial.id, attempt, host),
            spec: job.spec,
            started: now,
            target: target.target.clone(),
            progress: Mutex::new(StreamProgress {
                hedge: None,
                heard: now,
                move_to: None,
                partial: job.partial,
                resumed,
            }),
        });
        self.running.insert(attempt, Arc::clone(&running));
        Some(Stream {
            attempt,
            client: shared.client(target.address),
            guard: shared.enter_target(&target.target),
            kv: job.kv,
            model,
            running,
        })
    }

    /// Chooses the target that the job is meant for, else the one that its group prefers.
    fn choose<'a>(
        &self,
        shared: &Arc<Shared>,
        view: &'a View,
        job: &Job,
        service: &ServiceName,
        now: Millis,
    ) -> Option<&'a TargetEntry> {
        let targets = view.targets.iter();
        let fitting = targets.filter(|target| {
            target.service == *service
                && target.state == Platform::Live
                && !self.is_slow(&target.target)
                && !self.is_too_old(&job.partial.id.trainer, &target.target)
                && self.room(&shared.settings.host, &target.target, now) > 0
        });
        let id = &job.partial.id;
        let group = format!("{}/{}/{}", id.trainer, id.step, id.group);
        fitting.max_by_key(|target| {
            let is_meant = job.to.as_ref() == Some(&target.target);
            let is_near = target.dc == shared.settings.dc;
            let affinity = stable_hash(format!("{group}\0{}", target.target).as_bytes());
            let is_avoided = stream::is_avoided(job, &target.target);
            (is_meant, !is_avoided, is_near, affinity)
        })
    }
}
