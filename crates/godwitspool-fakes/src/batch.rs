//! Continuous batching: requests join and leave between steps, bounded by KV blocks.

use std::collections::VecDeque;

use godwitspool_connection::engine::{Choice, Chunk, Delta, Finish, KvHandle, Load};
use godwitspool_types::WeightVersion;

use crate::{
    engine_event::{EngineEvent, VersionSpan},
    server::EventStream,
    token::{answer_length, token},
};

/// A generation request that waits or runs on the engine.
pub(crate) struct Sequence {
    /// KV blocks reserved while the request runs.
    pub(crate) blocks: u64,
    /// Index after the last token of the answer.
    pub(crate) end: u32,
    /// Why the answer ends once it reaches `end`.
    pub(crate) finish: Finish,
    /// Index of the next token.
    pub(crate) next: u32,
    /// Whether the prompt crashes the engine.
    pub(crate) poison: bool,
    /// Number of remaining prefill steps.
    pub(crate) prefill: u32,
    /// Hash of the messages and the seed.
    pub(crate) prompt: u64,
    /// Identifier of the request on the engine.
    pub(crate) request: String,
    /// Weight versions that produced the tokens.
    pub(crate) spans: Vec<VersionSpan>,
    pub(crate) stream: EventStream,
}

impl Sequence {
    /// Returns the record of the stream's end; `finish` is `None` if it was interrupted.
    pub(crate) fn ended(&self, finish: Option<Finish>) -> EngineEvent {
        EngineEvent::Ended {
            finish,
            prompt: self.prompt,
            request: self.request.clone(),
            spans: self.spans.clone(),
        }
    }

    /// Returns the index after the last token of an answer, and why the answer ends there.
    pub(crate) fn end_for(prompt: u64, max_tokens: u32) -> (u32, Finish) {
        answer_length(prompt, max_tokens)
    }

    /// Ends the stream and returns the record.
    pub(crate) fn end(mut self, finish: Finish, weights: &WeightVersion) -> EngineEvent {
        let chunk = self.chunk(String::new(), Some(finish), weights);
        let sent = self.stream.send(&chunk).and_then(|()| self.stream.end());
        self.ended(sent.is_ok().then_some(finish))
    }

    /// Performs one prefill step or sends one token.
    fn advance(&mut self, weights: &WeightVersion) -> Advance {
        if self.prefill > 0 {
            self.prefill -= 1;
            return Advance::Incomplete;
        }
        if self.next < self.end && !self.send_token(weights) {
            return Advance::Disconnected;
        }
        if self.next < self.end {
            Advance::Incomplete
        } else {
            Advance::Done
        }
    }

    /// Sends the next token. Returns false if the client has disconnected.
    fn send_token(&mut self, weights: &WeightVersion) -> bool {
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

/// State of a request after a step.
enum Advance {
    /// The client has disconnected.
    Disconnected,
    /// The answer is complete.
    Done,
    /// More steps are needed.
    Incomplete,
}

/// Result of a step.
pub(crate) struct StepResult {
    /// Whether a poison prompt was next to run, which crashes the engine.
    pub(crate) crash: bool,
    /// Records of the streams that ended.
    pub(crate) events: Vec<EngineEvent>,
}

/// The waiting and running requests of an engine.
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

    /// Returns the current load.
    pub(crate) fn load(&self, weights: &WeightVersion) -> Load {
        Load {
            kv_used: self.kv_used,
            kv_total: self.kv_total,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            weights: weights.clone(),
        }
    }

    /// Admits waiting requests that fit and advances every running request by one step.
    pub(crate) fn step(&mut self, weights: &WeightVersion) -> StepResult {
        let crash = self.admit();
        let mut stepped = StepResult {
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
                Advance::Disconnected => sequence.ended(None),
                Advance::Done => {
                    let finish = sequence.finish;
                    sequence.end(finish, weights)
                }
                Advance::Incomplete => {
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

    /// Ends a request and returns the record; `None` if the request is unknown.
    pub(crate) fn cancel(&mut self, request: &str, weights: &WeightVersion) -> Option<EngineEvent> {
        let sequence = self.remove(request)?;
        Some(sequence.end(Finish::Cancelled, weights))
    }

    /// Ends a request and returns the handle of its KV cache and the record; `None` if the request
    /// is unknown.
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

    /// Drops all requests, as a crash does, and returns their records.
    pub(crate) fn clear(&mut self) -> Vec<EngineEvent> {
        self.kv_used = 0;
        let all = self.running.drain(..).chain(self.waiting.drain(..));
        all.map(|sequence| sequence.ended(None)).collect()
    }

    /// Returns a record for every running stream.
    pub(crate) fn running_records(&self) -> impl Iterator<Item = EngineEvent> {
        self.running.iter().map(|sequence| sequence.ended(None))
    }

    /// Admits waiting requests in order while their KV blocks fit; a request that is too large is
    /// admitted once no other one runs. Returns true if a poison prompt is next.
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
