//! Generates one sample on one target.

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
    running::{Job, RunningStream, StreamProgress},
    scores,
};
use crate::process::shared::{Shared, TargetGuard};

const TOKEN_IDLE_TIMEOUT: Millis = Millis(5_000);
/// Weight of an ended stream's time per token when it is averaged into the target's.
const PACE_SMOOTHING: f64 = 0.1;

/// How a stream ended.
#[derive(Debug)]
enum StreamEnd {
    Broken(String),
    Cancelled,
    Exported(Option<KvHandle>),
    Moved,
    Whole(SampleFinish),
}

/// A sample's stream on a target, before it runs.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) attempt: u64,
    pub(super) client: TargetClient,
    pub(super) guard: TargetGuard,
    pub(super) kv: Option<KvHandle>,
    pub(super) model: ModelName,
    pub(super) running: Arc<RunningStream>,
}

impl Stream {
    /// Generates the sample, and hands it to scoring or queues it again.
    pub(super) fn run(mut self, shared: &Arc<Shared>) {
        let end = self.receive(shared);
        if !matches!(end, StreamEnd::Whole(_) | StreamEnd::Exported(_)) {
            // The engine may be gone, and then there is nothing to cancel.
            self.client
                .cancel(&self.running.request)
                .unwrap_or_default();
        }
        self.finish_stream(shared, end);
    }

    fn receive(&mut self, shared: &Arc<Shared>) -> StreamEnd {
        let request = self.request();
        let mut stream = match self.client.generate(&request, TOKEN_IDLE_TIMEOUT) {
            Ok(stream) => stream,
            Err(error) => return StreamEnd::Broken(error.to_string()),
        };
        loop {
            if self.running.cancelled.load(Ordering::Acquire) || shared.stopped() {
                return StreamEnd::Cancelled;
            }
            if self.running.progress().move_to.is_some() {
                return self.export();
            }
            match stream.next_chunk() {
                Ok(Some(chunk)) => {
                    if let Some(end) = self.handle_chunk(&chunk, shared) {
                        return end;
                    }
                }
                Ok(None) => return StreamEnd::Broken("stream ended without a reason".to_owned()),
                Err(error @ CallError::Silent { .. }) => {
                    self.client.clear_pool();
                    return StreamEnd::Broken(error.to_string());
                }
                Err(error) => return StreamEnd::Broken(error.to_string()),
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

    /// Appends a chunk to the sample. Returns how the stream ended if this chunk is the last one or
    /// out of order.
    fn handle_chunk(&self, chunk: &Chunk, shared: &Arc<Shared>) -> Option<StreamEnd> {
        let choice = chunk.choices.first()?;
        let now = shared.rollouts.clock.now();
        let mut progress = self.running.progress();
        let expected = progress.partial.tokens.len();
        if !choice.delta.content.is_empty() {
            if choice.index as usize != expected {
                let index = choice.index;
                return Some(StreamEnd::Broken(format!(
                    "token {index} instead of {expected}"
                )));
            }
            let StreamProgress {
                partial,
                last_token_at,
                ..
            } = &mut *progress;
            partial.push(&choice.delta.content, &chunk.weights);
            *last_token_at = now;
        }
        match choice.finish_reason? {
            Finish::Cancelled => Some(StreamEnd::Broken("cancelled by the engine".to_owned())),
            Finish::Exported => Some(StreamEnd::Exported(None)),
            Finish::Length => Some(StreamEnd::Whole(SampleFinish::Length)),
            Finish::Stop => Some(StreamEnd::Whole(SampleFinish::Stop)),
        }
    }

    /// Exports the KV cache for the next target. If that fails, the sample moves with its tokens
    /// only.
    fn export(&self) -> StreamEnd {
        match self.client.export(&self.running.request) {
            Ok(handle) => StreamEnd::Exported(Some(handle)),
            Err(error) => {
                log::debug!(sample:% = self.running.id; "can't export the KV cache: {error}");
                StreamEnd::Moved
            }
        }
    }

    /// Records the end of the stream. A complete sample goes to scoring; one that ended early is
    /// queued again with its tokens, unless it is a hedge.
    fn finish_stream(self, shared: &Arc<Shared>, end: StreamEnd) {
        let now = shared.rollouts.clock.now();
        let progress = self.running.progress().clone();
        let target = self.running.target.clone();
        let mut state = shared.rollouts.lock();
        state.running.remove(&self.attempt);
        let token_count = progress.partial.tokens.len() as u32;
        if let Some(known) = state.targets.get_mut(&target) {
            known.training = known.training.saturating_sub(1);
            let new_tokens = token_count.saturating_sub(progress.resumed_tokens);
            if new_tokens > 0 {
                let measured = (now - self.running.started_at).0 as f64 / f64::from(new_tokens);
                known.token_ms += PACE_SMOOTHING * (measured - known.token_ms);
            }
        }
        if let Some(trainer) = state.trainers.get_mut(&self.running.id.trainer) {
            trainer.running_streams = trainer.running_streams.saturating_sub(1);
        }
        drop(self.guard);
        let event = match &end {
            StreamEnd::Broken(cause) => {
                SampleEvent::Broken(target.clone(), cause.clone(), token_count)
            }
            StreamEnd::Cancelled => SampleEvent::Cancelled,
            StreamEnd::Exported(_) => SampleEvent::Exported(target.clone(), token_count),
            StreamEnd::Moved => SampleEvent::Moved(target.clone(), token_count),
            StreamEnd::Whole(_) => {
                let spans = progress.partial.spans.iter();
                SampleEvent::Whole(
                    token_count,
                    spans.map(|span| span.version.clone()).collect(),
                )
            }
        };
        state.journal.record(now, &self.running.id, event);
        let wanted = state.is_wanted(&self.running.id, self.running.generation);
        match end {
            StreamEnd::Whole(finish) if wanted => {
                let mut sample = progress.partial;
                sample.finish = finish;
                // The first complete stream wins; the others of the sample are cancelled.
                state.cancel(&self.running.id);
                drop(state);
                scores::finish(shared, self.running.generation, sample);
            }
            StreamEnd::Broken(_) | StreamEnd::Exported(_) | StreamEnd::Moved
                if wanted && !self.running.is_hedge =>
            {
                let kv = match end {
                    StreamEnd::Exported(kv) => kv,
                    _ => None,
                };
                let covered = kv.as_ref().map_or(token_count, |kv| kv.tokens);
                state.enqueue(Job {
                    generation: self.running.generation,
                    hedge: false,
                    // A cache that covers more or fewer tokens than were received can't be resumed.
                    kv: kv.filter(|_| covered == token_count),
                    partial: progress.partial,
                    spec: self.running.spec.clone(),
                    preferred: progress.move_to,
                    avoid: Some(target),
                });
            }
            _ => {}
        }
    }
}

/// Returns the sampling seed, which is the same for every attempt at a sample.
fn seed(id: &SampleId) -> u64 {
    stable_hash(id.to_string().as_bytes())
}

/// Returns a copy of a partial sample for a second stream.
pub(super) fn copy_partial(sample: &Sample) -> Sample {
    let tokens: Tokens = sample.tokens.iter().collect();
    Sample {
        tokens,
        ..sample.clone()
    }
}

/// Returns the name of a stream on its engine.
pub(super) fn request_name(id: &SampleId, attempt: u64, host: &str) -> String {
    let name = format!("{id}-{attempt}-{host}");
    name.replace(|c: char| !c.is_ascii_alphanumeric() && c != '-', "-")
}

/// Returns whether a job should avoid a target.
pub(super) fn is_avoided(job: &Job, target: &TargetName) -> bool {
    job.avoid.as_ref() == Some(target)
}
