//! Makes one sample on one target.

use std::sync::{Arc, atomic::Ordering};

use godwitspool_connection::{
    CallError, TargetClient,
    engine::{Chunk, Finish, Generate, KvHandle, Message},
};
use godwitspool_request::stable_hash;
use godwitspool_rollout::{Sample, SampleFinish, SampleId, Tokens};
use godwitspool_types::{Millis, ModelName, TargetName};

use super::{
    journal::SampleEvent,
    running::{Job, Running, StreamProgress},
    scores,
};
use crate::process::shared::{OnTarget, Shared};

/// Bound on the wait for the next token of a sample.
const TOKEN_IDLE: Millis = Millis(5_000);
const PACE_SMOOTHING: f64 = 0.1;

/// How a stream ended.
#[derive(Debug)]
enum End {
    Broken(String),
    Cancelled,
    Exported(Option<KvHandle>),
    Moved,
    Whole(SampleFinish),
}

/// A sample's stream on a target.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) attempt: u64,
    pub(super) client: TargetClient,
    pub(super) guard: OnTarget,
    pub(super) kv: Option<KvHandle>,
    pub(super) model: ModelName,
    pub(super) running: Arc<Running>,
}

impl Stream {
    /// Makes the sample, and tells the rollouts how it ended.
    pub(super) fn run(mut self, shared: &Arc<Shared>) {
        let end = self.receive(shared);
        if !matches!(end, End::Whole(_) | End::Exported(_)) {
            // An engine that is gone has nothing to cancel.
            self.client
                .cancel(&self.running.request)
                .unwrap_or_default();
        }
        self.settle(shared, end);
    }

    fn receive(&mut self, shared: &Arc<Shared>) -> End {
        let request = self.request();
        let mut stream = match self.client.generate(&request, TOKEN_IDLE) {
            Ok(stream) => stream,
            Err(error) => return End::Broken(error.to_string()),
        };
        loop {
            if self.running.cancelled.load(Ordering::Acquire) || shared.stopped() {
                return End::Cancelled;
            }
            if self.running.progress().move_to.is_some() {
                return self.export();
            }
            match stream.next_chunk() {
                Ok(Some(chunk)) => {
                    if let Some(end) = self.take(&chunk, shared) {
                        return end;
                    }
                }
                Ok(None) => return End::Broken("stream ended without a reason".to_owned()),
                Err(error @ CallError::Silent { .. }) => {
                    self.client.clear_pool();
                    return End::Broken(error.to_string());
                }
                Err(error) => return End::Broken(error.to_string()),
            }
        }
    }

    fn request(&mut self) -> Generate {
        let progress = self.running.progress();
        let kv = self.kv.take();
        let messages = self.running.spec.messages.iter().map(|message| Message {
            content: message.content.clone(),
            role: message.role.clone(),
        });
        Generate {
            max_tokens: self.running.spec.max_tokens,
            messages: messages.collect(),
            model: self.model.clone(),
            request: self.running.request.clone(),
            resume: progress.partial.tokens.iter().map(str::to_owned).collect(),
            kv,
            seed: seed(&self.running.id),
            stream: true,
        }
    }

    /// Takes in a chunk; tells how the stream ended if it did.
    fn take(&self, chunk: &Chunk, shared: &Arc<Shared>) -> Option<End> {
        let choice = chunk.choices.first()?;
        let now = shared.rollouts.clock.now();
        let mut progress = self.running.progress();
        let expected = progress.partial.tokens.len();
        if !choice.delta.content.is_empty() {
            if choice.index as usize != expected {
                let index = choice.index;
                return Some(End::Broken(format!("token {index} instead of {expected}")));
            }
            let StreamProgress { partial, heard, .. } = &mut *progress;
            partial.push(&choice.delta.content, &chunk.weights);
            *heard = now;
        }
        match choice.finish_reason? {
            Finish::Cancelled => Some(End::Broken("cancelled by the engine".to_owned())),
            Finish::Exported => Some(End::Exported(None)),
            Finish::Length => Some(End::Whole(SampleFinish::Length)),
            Finish::Stop => Some(End::Whole(SampleFinish::Stop)),
        }
    }

    /// Takes the KV cache along; a target that can't export is left behind its tokens.
    fn export(&self) -> End {
        match self.client.export(&self.running.request) {
            Ok(handle) => End::Exported(Some(handle)),
            Err(error) => {
                log::debug!(sample:% = self.running.id; "not exported: {error}");
                End::Moved
            }
        }
    }

    fn settle(self, shared: &Arc<Shared>, end: End) {
        let now = shared.rollouts.clock.now();
        let progress = self.running.progress().clone();
        let target = self.running.target.clone();
        let mut state = shared.rollouts.lock();
        state.running.remove(&self.attempt);
        let made = progress.partial.tokens.len() as u32;
        if let Some(known) = state.targets.get_mut(&target) {
            known.training = known.training.saturating_sub(1);
            let fresh = made.saturating_sub(progress.resumed);
            if fresh > 0 {
                let pace = (now - self.running.started).0 as f64 / f64::from(fresh);
                known.pace_ms += PACE_SMOOTHING * (pace - known.pace_ms);
            }
        }
        if let Some(trainer) = state.trainers.get_mut(&self.running.id.trainer) {
            trainer.runs = trainer.runs.saturating_sub(1);
        }
        drop(self.guard);
        let event = match &end {
            End::Broken(cause) => SampleEvent::Broken(target.clone(), cause.clone(), made),
            End::Cancelled => SampleEvent::Cancelled,
            End::Exported(_) => SampleEvent::Exported(target.clone(), made),
            End::Moved => SampleEvent::Moved(target.clone(), made),
            End::Whole(_) => {
                let spans = progress.partial.spans.iter();
                SampleEvent::Whole(made, spans.map(|span| span.version.clone()).collect())
            }
        };
        state.journal.note(now, &self.running.id, event);
        let wanted = state.is_wanted(&self.running.id, self.running.generation);
        match end {
            End::Whole(finish) if wanted => {
                let mut sample = progress.partial;
                sample.finish = finish;
                // The first whole answer wins.
                state.cancel(&self.running.id);
                drop(state);
                scores::finish(shared, self.running.generation, sample);
            }
            End::Broken(_) | End::Exported(_) | End::Moved if wanted && !self.running.is_hedge => {
                let kv = match end {
                    End::Exported(kv) => kv,
                    _ => None,
                };
                let covered = kv.as_ref().map_or(made, |kv| kv.tokens);
                state.enqueue(Job {
                    generation: self.running.generation,
                    hedge: false,
                    // A cache that covers other tokens than were received can't be continued.
                    kv: kv.filter(|_| covered == made),
                    partial: progress.partial,
                    spec: self.running.spec.clone(),
                    to: progress.move_to,
                    avoid: Some(target),
                });
            }
            _ => {}
        }
    }
}

/// Returns the sampling seed: the same for every attempt at a sample.
fn seed(id: &SampleId) -> u64 {
    stable_hash(id.to_string().as_bytes())
}

/// Returns a copy of a sample's part for a second stream.
pub(super) fn part_of(sample: &Sample) -> Sample {
    let tokens: Tokens = sample.tokens.iter().collect();
    Sample {
        tokens,
        ..sample.clone()
    }
}

/// Names a stream on its engine.
pub(super) fn request_name(id: &SampleId, attempt: u64, host: &str) -> String {
    let name = format!("{id}-{attempt}-{host}");
    name.replace(|c: char| !c.is_ascii_alphanumeric() && c != '-', "-")
}

/// Returns the target that a job is best not given to.
pub(super) fn is_avoided(job: &Job, target: &TargetName) -> bool {
    job.avoid.as_ref() == Some(target)
}
