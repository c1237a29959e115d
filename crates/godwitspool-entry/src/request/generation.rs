//! Generation requests: streamed to the caller from one engine, or from several in turn.

use std::{io::Read, sync::Arc};

use godwitspool_connection::{
    CallError, TargetClient,
    engine::{Chunk, Finish, Generate},
};
use godwitspool_request::{AnswerAssembler, Reason, Refusal as Decided, StreamToken, TokenOutcome};
use godwitspool_types::{Millis, Ran, RequestId};
use tiny_http::Request;

use crate::{
    connection::answer::Answering,
    process::{billing::Got, shared::Shared},
    request::{
        authorize::{self, OpenGuard},
        dispatch::Paces,
        journal::Step,
        refusal::Refusal,
        tries::{Failed, Tries},
        work::{self, Work},
    },
};

const PATH: &str = "/v1/chat/completions";

/// Answers a generation request.
pub(crate) fn handle(mut request: Request, shared: &Arc<Shared>) {
    let id = RequestId::random();
    let prepared = prepare(&mut request, shared, id);
    let mut answering = Answering::new(request, id, Arc::clone(shared));
    let ending = prepared.and_then(|prepared| {
        let tries = Tries::begin(shared, prepared.work.clone())?;
        let mut generation = Generation {
            answering: &mut answering,
            generate: prepared.generate,
            open: prepared.open,
            shared: Arc::clone(shared),
            span: prepared.span,
            stitch: AnswerAssembler::default(),
            tries,
        };
        let ending = generation.run();
        generation.bill(&ending);
        ending
    });
    match ending {
        Ok(Ending::Left) => {}
        Ok(Ending::Whole) => answering.finish(),
        Err(refusal) => answering.refuse(&refusal),
    }
}

/// A request whose caller is known.
struct Prepared {
    generate: Generate,
    open: OpenGuard,
    span: Millis,
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
    serving.note(
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
    let print = work::fingerprint(&caller.service, PATH, &body);
    let work = Work::new(id, caller, print, &view.configuration, now);
    Ok(Prepared {
        generate,
        open,
        span: work.deadline - now,
        work,
    })
}

/// Reads the body of a request.
pub(crate) fn read_body(request: &mut Request, shared: &Shared) -> Result<Vec<u8>, Refusal> {
    let most = u64::from(shared.settings.body_bytes);
    let mut body = Vec::new();
    request
        .as_reader()
        .take(most + 1)
        .read_to_end(&mut body)
        .map_err(|error| Refusal::BadBody {
            message: error.to_string(),
        })?;
    if body.len() as u64 > most {
        return Err(Reason::BodyTooLarge.into());
    }
    Ok(body)
}

/// How a generation ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// The caller went away.
    Left,
    /// The answer is whole, but for its end.
    Whole,
}

/// How an attempt ended.
enum Ended {
    /// The key was withdrawn.
    Cut,
    Failed(Failed),
    /// The caller went away.
    Left,
    /// The engine says that the request is wrong.
    Wrong(String),
    Whole,
}

/// A generation under way.
struct Generation<'a> {
    answering: &'a mut Answering,
    generate: Generate,
    open: OpenGuard,
    shared: Arc<Shared>,
    span: Millis,
    stitch: AnswerAssembler,
    tries: Tries,
}

impl Generation<'_> {
    fn run(&mut self) -> Result<Ending, Refusal> {
        let mut attempt = 0;
        loop {
            match self.attempt(attempt) {
                Ended::Whole => {
                    self.tries.answered();
                    let tokens = self.stitch.tokens().len() as u32;
                    self.shared
                        .serving
                        .note(self.tries.work.id, Step::Whole { tokens });
                    return Ok(Ending::Whole);
                }
                Ended::Left => return Ok(Ending::Left),
                Ended::Cut => return Err(Reason::KeyWithdrawnMidway.into()),
                Ended::Wrong(message) => {
                    log::info!("engine refuses a request: {message}");
                    let refusal = Decided {
                        ran: Ran::Ran,
                        ..Reason::RequestInvalid.into()
                    };
                    return Err(refusal.into());
                }
                Ended::Failed(failed) => {
                    if !self.stitch.tokens().is_empty() {
                        self.tries.extend(self.span);
                    }
                    self.tries.fail(failed)?;
                    attempt = self.stitch.restart();
                }
            }
        }
    }

    /// Counts what the caller got. A whole answer's end waits until other hosts hold the count.
    fn bill(&self, ending: &Result<Ending, Refusal>) {
        let tokens = self.stitch.tokens().len() as u64;
        if tokens > 0 || *ending == Ok(Ending::Whole) {
            let got = Got {
                request: self.tries.work.id,
                tokens,
            };
            self.shared
                .billing
                .count(&self.shared, &self.tries.work.caller, got);
        }
    }

    fn attempt(&mut self, attempt: u32) -> Ended {
        let target = self.tries.on.target.clone();
        let mut paces = self.shared.serving.dispatch.paces(&target);
        let ended = self.read(attempt, &mut paces);
        self.shared.serving.dispatch.set_paces(&target, paces);
        if let Err(CallError::Silent { .. }) = &ended {
            // Its siblings in the pool may be as dead; the next request opens a new one.
            self.shared.client(self.tries.on.address).condemn_pooled();
        }
        match ended {
            Ok(ended) => ended,
            // Every token has come; only the terminator is missing.
            Err(_) if self.stitch.is_finished() => Ended::Whole,
            Err(CallError::Status {
                status: 400..=428 | 430..=499,
                message,
                ..
            }) => Ended::Wrong(message),
            Err(error) => {
                let flowing = !self.stitch.tokens().is_empty();
                let caller = self.tries.work.need.caller;
                Ended::Failed(Failed::new(&error, flowing, caller))
            }
        }
    }

    /// Reads one engine's stream.
    fn read(&mut self, attempt: u32, paces: &mut Paces) -> Result<Ended, CallError> {
        self.generate.request = format!("{}-{attempt}", self.tries.work.id);
        self.generate.resume = self.stitch.tokens().to_vec();
        let serving = &self.shared.serving;
        let mut heard = serving.now();
        let patience = self.tries.work.patience(heard);
        let client = self.client();
        let mut stream = client.generate(&self.generate, paces.first.current().min(patience))?;
        let mut first = true;
        loop {
            let chunk = stream.next_chunk()?;
            let now = self.shared.serving.now();
            if std::mem::take(&mut first) {
                paces.first.observe(now - heard);
            } else {
                paces.next.observe(now - heard);
            }
            heard = now;
            stream.set_idle(paces.next.current());
            if self.open.is_cut() {
                return Ok(Ended::Cut);
            }
            let Some(chunk) = chunk else {
                self.stitch.terminate(attempt);
                return if self.stitch.is_complete() {
                    Ok(Ended::Whole)
                } else {
                    Err(CallError::Truncated)
                };
            };
            if let Some(ended) = self.pass(attempt, chunk)? {
                return Ok(ended);
            }
        }
    }

    /// Passes a chunk on to the caller.
    fn pass(&mut self, attempt: u32, mut chunk: Chunk) -> Result<Option<Ended>, CallError> {
        let Some(choice) = chunk.choices.first() else {
            return Ok(None);
        };
        let last = matches!(choice.finish_reason, Some(Finish::Length | Finish::Stop));
        let early = choice.finish_reason.is_some() && !last;
        let piece = StreamToken {
            attempt,
            index: choice.index,
            last,
            text: choice.delta.content.clone(),
        };
        let stitched = self.stitch.push(&piece);
        if stitched == TokenOutcome::Gap {
            let cause = format!("token {} is missing", self.stitch.tokens().len());
            return Err(CallError::Protocol { cause });
        }
        if early {
            return Err(CallError::Truncated);
        }
        if stitched == TokenOutcome::Next || last {
            chunk.id = self.tries.work.id.to_string();
            if self.answering.send(&chunk).is_err() {
                return Ok(Some(Ended::Left));
            }
        }
        Ok(None)
    }

    /// Returns the client; a request that may not run twice gets a connection of its own.
    fn client(&self) -> TargetClient {
        let address = self.tries.on.address;
        if self.tries.work.attempts.idempotent {
            self.shared.client(address)
        } else {
            TargetClient::new(address)
        }
    }
}
