//! Reports on steps and samples for operators and trainers.

use godwitspool_rollout::SampleId;
use serde_json::{Value, json};

use super::rollouts::{Rollouts, Trainer};

impl Rollouts {
    /// Returns the events and state of a sample on this host, for operators. `None` if the host
    /// doesn't know it.
    pub(crate) fn sample_report(&self, id: &SampleId) -> Option<Value> {
        let state = self.lock();
        let events = state.journal.explain(id);
        let trainer = state.trainers.get(&id.trainer)?;
        let sample = trainer.steps.image().sample(id);
        let waits = trainer.queue.iter().any(|job| job.partial.id == *id);
        let is_known = sample.is_some() || waits || !events.is_empty();
        is_known.then(|| {
            json!({
                "events": events,
                "sample": id.to_string(),
                "spans": sample.map(|sample| &sample.spans),
                "waits": waits,
                "whole": sample.is_some(),
            })
        })
    }

    /// Returns the steps and streams on this host, for operators.
    pub(crate) fn status(&self) -> Value {
        let state = self.lock();
        let trainers = state.trainers.iter().map(|(name, trainer)| {
            let running = state.running.values();
            let running = running
                .filter(|running| running.id.trainer == *name)
                .count();
            let status = trainer.status(running);
            (name.to_string(), status)
        });
        Value::Object(trainers.collect())
    }

    /// Returns the events of a sample on this host.
    pub(crate) fn sample_events(&self, id: &SampleId) -> Vec<String> {
        self.lock().journal.explain(id)
    }
}

impl Trainer {
    fn status(&self, running: usize) -> Value {
        let image = self.steps.image();
        let steps: Vec<_> = image
            .progress()
            .map(|(step, progress)| json!({ "step": step, "progress": progress }))
            .collect();
        let counts = self.steps.counts();
        json!({
            "acknowledged": counts.acknowledged,
            "bytes": image.bytes(),
            "dropped": counts.dropped,
            "extra_work": self.stragglers.extra_work(),
            "frozen": counts.frozen,
            "home": self.steps.is_home(),
            "queued": self.queue.len(),
            "refused": counts.refused,
            "remade": counts.remade,
            "replica": self.steps.is_replica(),
            "running": running,
            "steps": steps,
            "takeovers": counts.takeovers,
            "tenure": self.steps.epoch().to_string(),
        })
    }
}
