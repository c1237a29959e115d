//! Generation requests, streamed to the caller. When an engine fails, another one resumes the
//! answer.

use std::{io::Read, sync::Arc};

use godwitspool_connection::{
    CallError, TargetClient,
    engine::{Chunk, Finish, Generate},
};
use godwitspool_request::{
    AnswerAssembler, Reason, Refusal as PolicyRefusal, StreamToken, TokenOutcome,
};
use godwitspool_types::{Millis, Ran, RequestId};
use tiny_http::Request;

use crate::{
    connection::answer::Responder,
    process::{billing::AnswerUsage, shared::Shared},
    request::{
        admitted::{AdmittedRequest, FailedAttempt},
        authorize::{self, OpenGuard},
        dispatch::IdleTimeouts,
        journal::Step,
        refusal::Refusal,
        work::{self, Work},
    },
};

const PATH: &str = "/v1/chat/completions";

/// Serves a generation request.
pub(crate) fn handle(mut request: Request, shared: &Arc<Shared>) {
    let id = RequestId::random();
    let prepared = prepare(&mut request, shared, id);
    let mut responder = Responder::new(request, id, Arc::clone(shared));
    let end = prepared.and_then(|prepared| {
        let admitted = AdmittedRequest::begin(shared, prepared.work.clone())?;
        let mut generation = Generation {
            responder: &mut responder,
            generate: prepared.generate,
            open: prepared.open,
            shared: Arc::clone(shared),
            time_limit: prepared.time_limit,
            assembler: AnswerAssembler::default(),
            admitted,
        };
        let end = generation.run();
        generation.record_usage(&end);
        end
    });
    match end {
        Ok(GenerationEnd::CallerLeft) => {}
        Ok(GenerationEnd::Complete) => responder.finish(),
        Err(refusal) => responder.refuse(&refusal),
    }
}

/// A request that is authorized and parsed.
struct Prepared {
    generate: Generate,
    open: OpenGuard,
    time_limit: Millis,
    work: Work,
}

fn prepare(
    request: &mut Request,
    shared: &Arc<Shared>,
    id: RequestId,
) -> Result<Prepared, Refusal> {
    if shared.draining() {
        return Err(Reason::Draining.into());
    }
    let body = read_body(request, shared)?;
    let mut generate: Generate =
        serde_json::from_slice(&body).map_err(|error| Refusal::BadBody {
            message: error.to_string(),
        })?;
    let serving = &shared.serving;
    let now = serving.now();
    let digest = authorize::digest_of(request);
    let alias = generate.model.as_str().into();
    let caller = serving.keys.check(digest.as_ref(), &alias, now)?;
    let open = serving.keys.open(id, digest);
    serving.record_step(
        id,
        Step::Caller {
            service: caller.service.to_string(),
            workspace: caller.workspace.to_string(),
        },
    );
    let view = shared.view();
    if let Some(rules) = view.configuration.services.get(&caller.service) {
        generate.model = rules.model.clone();
    }
    generate.stream = true;
    let request_fingerprint = work::fingerprint(&caller.service, PATH, &body);
    let work = Work::new(id, caller, request_fingerprint, &view.configuration, now);
    Ok(Prepared {
        generate,
        open,
        time_limit: work.deadline - now,
        work,
    })
}

/// Reads the body of a request, up to the limit in the settings.
pub(crate) fn read_body(request: &mut Request, shared: &Shared) -> Result<Vec<u8>, Refusal> {
    let max_bytes = u64::from(shared.settings.body_bytes);
    let mut body = Vec::new();
    request
        .as_reader()
        .take(max_bytes + 1)
        .read_to_end(&mut body)
        .map_err(|error| Refusal::BadBody {
            message: error.to_string(),
        })?;
    if body.len() as u64 > max_bytes {
        return Err(Reason::BodyTooLarge.into());
    }
    Ok(body)
}

/// How a generation ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum GenerationEnd {
    /// The caller closed the connection.
    CallerLeft,
    /// All tokens were sent; the terminator is still to be sent.
    Complete,
}

/// How one attempt of a generation ended.
enum AttemptEnd {
    /// The request's key was withdrawn.
    KeyWithdrawn,
    Failed(FailedAttempt),
    /// The caller closed the connection.
    CallerLeft,
    /// The engine rejected the request as invalid.
    Rejected(String),
    Complete,
}

/// A generation in progress.
struct Generation<'a> {
    responder: &'a mut Responder,
    generate: Generate,
    open: OpenGuard,
    shared: Arc<Shared>,
    /// Time limit of the request. It starts again when an attempt fails after tokens have arrived.
    time_limit: Millis,
    assembler: AnswerAssembler,
    admitted: AdmittedRequest,
}

impl Generation<'_> {
    fn run(&mut self) -> Result<GenerationEnd, Refusal> {
        let mut attempt = 0;
        loop {
            match self.attempt(attempt) {
                AttemptEnd::Complete => {
                    self.admitted.answered();
                    let tokens = self.assembler.tokens().len() as u32;
                    self.shared
                        .serving
                        .record_step(self.admitted.work.id, Step::Whole { tokens });
                    return Ok(GenerationEnd::Complete);
                }
                AttemptEnd::CallerLeft => return Ok(GenerationEnd::CallerLeft),
                AttemptEnd::KeyWithdrawn => return Err(Reason::KeyWithdrawnMidway.into()),
                AttemptEnd::Rejected(message) => {
                    log::info!("engine rejected a request as invalid: {message}");
                    let refusal = PolicyRefusal {
                        ran: Ran::Ran,
                        ..Reason::RequestInvalid.into()
                    };
                    return Err(refusal.into());
                }
                AttemptEnd::Failed(failed) => {
                    if !self.assembler.tokens().is_empty() {
                        self.admitted.extend(self.time_limit);
                    }
                    self.admitted.fail(failed)?;
                    attempt = self.assembler.restart();
                }
            }
        }
    }

    /// Bills the tokens sent to the caller, and waits for a bounded time until a steward holds the
    /// usage record. The answer ends only afterwards.
    fn record_usage(&self, end: &Result<GenerationEnd, Refusal>) {
        let tokens = self.assembler.tokens().len() as u64;
        if tokens > 0 || *end == Ok(GenerationEnd::Complete) {
            let usage = AnswerUsage {
                request: self.admitted.work.id,
                tokens,
            };
            self.shared
                .billing
                .record_and_wait(&self.shared, &self.admitted.work.caller, usage);
        }
    }

    fn attempt(&mut self, attempt: u32) -> AttemptEnd {
        let target = self.admitted.assignment.target.clone();
        let mut idle_timeouts = self.shared.serving.dispatch.idle_timeouts(&target);
        let ended = self.read_stream(attempt, &mut idle_timeouts);
        self.shared
            .serving
            .dispatch
            .set_idle_timeouts(&target, idle_timeouts);
        if let Err(CallError::Silent { .. }) = &ended {
            // Other pooled connections to the target may be broken too, so the next request opens a
            // new one.
            self.shared
                .client(self.admitted.assignment.address)
                .clear_pool();
        }
        match ended {
            Ok(ended) => ended,
            // All tokens have arrived and only the terminator is missing.
            Err(_) if self.assembler.is_finished() => AttemptEnd::Complete,
            Err(CallError::Status {
                status: 400..=428 | 430..=499,
                message,
                ..
            }) => AttemptEnd::Rejected(message),
            Err(error) => {
                let streaming = !self.assembler.tokens().is_empty();
                let caller = self.admitted.work.need.caller;
                AttemptEnd::Failed(FailedAttempt::new(&error, streaming, caller))
            }
        }
    }

    /// Reads one engine's stream and forwards it to the caller.
    fn read_stream(
        &mut self,
        attempt: u32,
        idle_timeouts: &mut IdleTimeouts,
    ) -> Result<AttemptEnd, CallError> {
        self.generate.request = format!("{}-{attempt}", self.admitted.work.id);
        self.generate.resume = self.assembler.tokens().to_vec();
        let serving = &self.shared.serving;
        let mut last_chunk_at = serving.now();
        let first_timeout = self.admitted.work.first_byte_timeout(last_chunk_at);
        let client = self.client();
        let mut stream = client.generate(
            &self.generate,
            idle_timeouts.first.current().min(first_timeout),
        )?;
        let mut first = true;
        loop {
            let chunk = stream.next_chunk()?;
            let now = self.shared.serving.now();
            if std::mem::take(&mut first) {
                idle_timeouts.first.observe(now - last_chunk_at);
            } else {
                idle_timeouts.next.observe(now - last_chunk_at);
            }
            last_chunk_at = now;
            stream.set_idle_timeout(idle_timeouts.next.current());
            if self.open.is_withdrawn() {
                return Ok(AttemptEnd::KeyWithdrawn);
            }
            let Some(chunk) = chunk else {
                self.assembler.terminate(attempt);
                return if self.assembler.is_complete() {
                    Ok(AttemptEnd::Complete)
                } else {
                    Err(CallError::Truncated)
                };
            };
            if let Some(ended) = self.forward(attempt, chunk)? {
                return Ok(ended);
            }
        }
    }

    /// Forwards a chunk to the caller, unless an earlier attempt already sent its token.
    fn forward(&mut self, attempt: u32, mut chunk: Chunk) -> Result<Option<AttemptEnd>, CallError> {
        let Some(choice) = chunk.choices.first() else {
            return Ok(None);
        };
        let last = matches!(choice.finish_reason, Some(Finish::Length | Finish::Stop));
        let ended_early = choice.finish_reason.is_some() && !last;
        let token = StreamToken {
            attempt,
            index: choice.index,
            last,
            text: choice.delta.content.clone(),
        };
        let outcome = self.assembler.push(&token);
        if outcome == TokenOutcome::Gap {
            let cause = format!("token {} is missing", self.assembler.tokens().len());
            return Err(CallError::Protocol { cause });
        }
        if ended_early {
            return Err(CallError::Truncated);
        }
        if outcome == TokenOutcome::Next || last {
            chunk.id = self.admitted.work.id.to_string();
            if self.responder.send(&chunk).is_err() {
                return Ok(Some(AttemptEnd::CallerLeft));
            }
        }
        Ok(None)
    }

    /// Returns the target's client. A request that must not run twice gets a client of its own,
    /// with no pooled connections, since one of those may be broken.
    fn client(&self) -> TargetClient {
        let address = self.admitted.assignment.address;
        if self.admitted.work.attempts.idempotent {
            self.shared.client(address)
        } else {
            TargetClient::new(address)
        }
    }
}
