//! Continuous batching: requests join and leave between steps, bounded by KV blocks.

use std::collections::VecDeque;

use godwitspool_connection::engine::{Choice, Chunk, Delta, Finish, KvHandle, Load};
use godwitspool_types::WeightVersion;

use crate::{
    engine_event::{EngineEvent, VersionSpan},
    server::EventStream,
    token::{answer_length, token},
};

/// A request on the engine.
pub(crate) struct Sequence {
    /// KV blocks that it takes.
    pub(crate) blocks: u64,
    /// Index behind the last token of the answer.
    pub(crate) end: u32,
    /// Why the answer ends.
    pub(crate) finish: Finish,
    /// Index of the next token.
    pub(crate) next: u32,
    /// Whether the prompt crashes the engine.
    pub(crate) poison: bool,
    /// Steps of prompt computation that are left.
    pub(crate) prefill: u32,
    /// Hash of prompt and seed.
    pub(crate) prompt: u64,
    /// Identity.
    pub(crate) request: String,
    /// Versions that produced its tokens.
    pub(crate) spans: Vec<VersionSpan>,
    /// Where tokens go.
    pub(crate) stream: EventStream,
}

impl Sequence {
    /// Makes the record of the stream's end.
    pub(crate) fn ended(&self, finish: Option<Finish>) -> EngineEvent {
        EngineEvent::Ended {
            finish,
            prompt: self.prompt,
            request: self.request.clone(),
            spans: self.spans.clone(),
        }
    }

    /// Sets where the answer ends.
    pub(crate) fn end_for(prompt: u64, max_tokens: u32) -> (u32, Finish) {
        answer_length(prompt, max_tokens)
    }

    /// Ends the stream; returns the record.
    pub(crate) fn end(mut self, finish: Finish, weights: &WeightVersion) -> EngineEvent {
        let chunk = self.chunk(String::new(), Some(finish), weights);
        let sent = self.stream.send(&chunk).and_then(|()| self.stream.end());
        self.ended(sent.is_ok().then_some(finish))
    }

    /// Computes a part of the prompt or one token.
    fn advance(&mut self, weights: &WeightVersion) -> Advance {
        if self.prefill > 0 {
            self.prefill -= 1;
            return Advance::Goes;
        }
        if self.next < self.end && !self.produce(weights) {
            return Advance::Cut;
        }
        if self.next < self.end {
            Advance::Goes
        } else {
            Advance::Done
        }
    }

    fn produce(&mut self, weights: &WeightVersion) -> bool {
        let chunk = self.chunk(token(self.prompt, self.next), None, weights);
        if self.stream.send(&chunk).is_err() {
            return false;
        }
        match self.spans.last_mut() {
            Some(span) if span.version == *weights => span.to = self.next + 1,
            _ => self.spans.push(VersionSpan {
                from: self.next,
                to: self.next + 1,
                version: weights.clone(),
            }),
        }
        self.next += 1;
        true
    }

    fn chunk(&self, content: String, finish: Option<Finish>, weights: &WeightVersion) -> Chunk {
        let choice = Choice {
            delta: Delta { content },
            finish_reason: finish,
            index: self.next,
        };
        Chunk {
            choices: vec![choice],
            id: self.request.clone(),
            weights: weights.clone(),
        }
    }
}

/// How a request came out of a step.
enum Advance {
    /// The client has gone.
    Cut,
    /// The answer is complete.
    Done,
    /// The answer goes on.
    Goes,
}

/// What a step led to.
pub(crate) struct Stepped {
    /// Set when a poison prompt started to run.
    pub(crate) crash: bool,
    /// Records of the streams that ended.
    pub(crate) events: Vec<EngineEvent>,
}

/// The requests on an engine.
pub(crate) struct Batch {
    kv_total: u64,
    kv_used: u64,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
}

impl Batch {
    pub(crate) fn new(kv_total: u64) -> Self {
        Self {
            kv_total,
            kv_used: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Queues a request.
    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    /// Reports the load of this moment.
    pub(crate) fn load(&self, weights: &WeightVersion) -> Load {
        Load {
            kv_used: self.kv_used,
            kv_total: self.kv_total,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            weights: weights.clone(),
        }
    }

    /// Admits what fits and produces one token of every running request.
    pub(crate) fn step(&mut self, weights: &WeightVersion) -> Stepped {
        let crash = self.admit();
        let mut stepped = Stepped {
            crash,
            events: Vec::new(),
        };
        if crash {
            return stepped;
        }
        let mut kept = Vec::with_capacity(self.running.len());
        for mut sequence in self.running.drain(..) {
            let blocks = sequence.blocks;
            let ended = match sequence.advance(weights) {
                Advance::Cut => sequence.ended(None),
                Advance::Done => {
                    let finish = sequence.finish;
                    sequence.end(finish, weights)
                }
                Advance::Goes => {
                    kept.push(sequence);
                    continue;
                }
            };
            self.kv_used -= blocks;
            stepped.events.push(ended);
        }
        self.running = kept;
        stepped
    }

    /// Ends a request by its identity.
    pub(crate) fn cancel(&mut self, request: &str, weights: &WeightVersion) -> Option<EngineEvent> {
        let sequence = self.remove(request)?;
        Some(sequence.end(Finish::Cancelled, weights))
    }

    /// Ends a request and hands out its KV cache.
    pub(crate) fn export(
        &mut self,
        request: &str,
        weights: &WeightVersion,
    ) -> Option<(KvHandle, EngineEvent)> {
        let sequence = self.remove(request)?;
        let handle = KvHandle {
            blob: format!("{:016x}", sequence.prompt),
            tokens: sequence.next,
        };
        Some((handle, sequence.end(Finish::Exported, weights)))
    }

    /// Drops all requests, as a crash does.
    pub(crate) fn clear(&mut self) -> Vec<EngineEvent> {
        self.kv_used = 0;
        let all = self.running.drain(..).chain(self.waiting.drain(..));
        all.map(|sequence| sequence.ended(None)).collect()
    }

    /// Makes a record of every open stream.
    pub(crate) fn open(&self) -> impl Iterator<Item = EngineEvent> {
        self.running.iter().map(|sequence| sequence.ended(None))
    }

    fn admit(&mut self) -> bool {
        while let Some(next) = self.waiting.front() {
            let fits = self.kv_used + next.blocks <= self.kv_total || self.running.is_empty();
            if !fits {
                break;
            }
            if next.poison {
                return true;
            }
            self.kv_used += next.blocks;
            self.running.extend(self.waiting.pop_front());
        }
        false
    }

    fn remove(&mut self, request: &str) -> Option<Sequence> {
        if let Some(at) = self
            .running
            .iter()
            .position(|sequence| sequence.request == request)
        {
            let sequence = self.running.remove(at);
            self.kv_used -= sequence.blocks;
            return Some(sequence);
        }
        let at = self
            .waiting
            .iter()
            .position(|sequence| sequence.request == request)?;
        self.waiting.remove(at)
    }
}
