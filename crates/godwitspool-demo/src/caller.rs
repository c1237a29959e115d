//! Interactive callers, which check the answers that they get.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::engine::{Generate, Message};
use godwitspool_fakes::{answer_length, prompt_hash, token};
use godwitspool_history::{Answer, Event, Recorder, Work};
use godwitspool_types::{HostName, Key, Ran, RequestId, ServiceName, Workspace};
use godwitspool_version::{ServiceKind, ServiceRules};
use rand::{Rng, seq::IndexedRandom};

use crate::client::{Client, ERROR_EVENT_PREFIX, PlainAnswer, PlainCall, Refusal, Reply, Tokens};

const MAX_TOKENS: u32 = 48;
const MIN_TOKENS: u32 = 8;
/// Maximum number of tokens of a long answer, which takes longer than a withdrawn key may still
/// work.
const LONG_ANSWER_TOKENS: u32 = 900;
const MAX_ATTEMPTS: u32 = 4;
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Pause of a caller between two requests, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 30..170;
/// Minimum time between two recorded progress events of a stream.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// A service that a workspace can use.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceService {
    /// The workspace's name for the service.
    pub(crate) alias: String,
    /// Whether the service can be called without a key.
    pub(crate) open: bool,
    pub(crate) rules: ServiceRules,
    /// Qualified name, which is the same for all workspaces.
    pub(crate) service: ServiceName,
}

/// Keys that the callers of a workspace use.
#[derive(Clone, Debug)]
pub(crate) struct Keys {
    /// The newest key.
    pub(crate) current: Key,
    /// The previous key while it is being withdrawn, which some callers still use.
    pub(crate) old: Option<Key>,
}

/// State that the callers and trainers of one workspace share.
#[derive(Debug)]
pub(crate) struct Session {
    /// Hosts. Each request goes to a random one, as behind a load balancer.
    pub(crate) hosts: Vec<(HostName, SocketAddr)>,
    pub(crate) keys: Mutex<Keys>,
    /// Results of the callers' requests.
    pub(crate) stats: Mutex<RequestStats>,
    pub(crate) services: Vec<WorkspaceService>,
    pub(crate) workspace: Workspace,
}

/// Results of a workspace's requests, after retries.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestStats {
    /// Requests whose connection failed or whose answer was interrupted or wrong, by reason.
    pub(crate) failed: BTreeMap<String, u64>,
    /// Latencies of complete answers, including retries, in milliseconds.
    pub(crate) ok_ms: Vec<u64>,
    /// Requests whose last attempt was refused, by reason.
    pub(crate) refused: BTreeMap<String, u64>,
}

/// A caller of a workspace.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) client: Client,
    /// Whether the caller uses the old key of the session while there is one.
    pub(crate) keeps_old_key: bool,
    pub(crate) recorder: Recorder,
    pub(crate) session: Arc<Session>,
}

/// Content of a caller's request.
enum Payload {
    Call { body: String, id: RequestId },
    Generation(Generate),
}

impl Payload {
    fn work(&self) -> Work {
        match self {
            Self::Call { id, .. } => Work::Call(*id),
            Self::Generation(generation) => {
                Work::Prompt(prompt_hash(&generation.messages, generation.seed))
            }
        }
    }
}

/// Result of one attempt.
enum Attempt {
    Broken(String),
    Refused(Refusal),
    Whole,
}

impl Caller {
    /// Sends requests to random services until `stop` is set.
    pub(crate) fn run(&self, stop: &AtomicBool) {
        let mut rng = rand::rng();
        while !stop.load(Ordering::Relaxed) {
            if let Some(service) = self.session.services.choose(&mut rng) {
                self.send_with_retries(service, stop);
            }
            thread::sleep(Duration::from_millis(rng.random_range(THINK_TIME_MS)));
        }
    }

    /// Sends a request, and a new one after each refusal as not run, up to [`MAX_ATTEMPTS`] in all.
    fn send_with_retries(&self, service: &WorkspaceService, stop: &AtomicBool) {
        let start = Instant::now();
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            let (key, _) = self.key();
            let result = self.attempt(service, Some(&key), random_prompt(&mut rand::rng()));
            let valid = self.is_current(&key);
            match result {
                Attempt::Whole => {
                    let mut stats = lock(&self.session.stats);
                    stats.ok_ms.push(start.elapsed().as_millis() as u64);
                    return;
                }
                // Failures with a key that was replaced are expected and not counted.
                Attempt::Refused(refusal) if refusal.is_key_refusal() && !valid => return,
                Attempt::Broken(_) if !valid => return,
                Attempt::Refused(refusal) if refusal.ran == Ran::NotRun => last = Some(refusal),
                Attempt::Refused(refusal) => {
                    last = Some(refusal);
                    break;
                }
                Attempt::Broken(reason) => {
                    *lock(&self.session.stats).failed.entry(reason).or_default() += 1;
                    return;
                }
            }
            if stop.load(Ordering::Relaxed) {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
        if let Some(refusal) = last {
            *lock(&self.session.stats)
                .refused
                .entry(refusal.reason)
                .or_default() += 1;
        }
    }

    /// Returns the key to send and whether it is the current key.
    fn key(&self) -> (Key, bool) {
        let keys = lock(&self.session.keys);
        match &keys.old {
            Some(old) if self.keeps_old_key => (old.clone(), false),
            _ => (keys.current.clone(), true),
        }
    }

    /// Returns whether a key is the current one, and so neither withdrawn nor about to be.
    fn is_current(&self, key: &Key) -> bool {
        lock(&self.session.keys).current.digest() == key.digest()
    }

    /// Sends a new request once, checks the answer and records both.
    fn attempt(&self, service: &WorkspaceService, key: Option<&Key>, text: String) -> Attempt {
        let payload = new_payload(service, text);
        self.send(service, key, &payload)
    }

    fn send(&self, service: &WorkspaceService, key: Option<&Key>, payload: &Payload) -> Attempt {
        let Some((host, address)) = self.session.hosts.choose(&mut rand::rng()) else {
            return Attempt::Broken("no host".to_owned());
        };
        let request = RequestId::random();
        self.recorder.record(Event::Sent {
            host: host.clone(),
            key: key.map(Key::digest),
            open: service.open,
            repeatable: service.rules.idempotent,
            request,
            service: service.service.clone(),
            work: payload.work(),
            workspace: self.session.workspace.clone(),
        });
        let (result, event) = match self.exchange(service, key, payload, *address, request) {
            Reply::Complete(Answer::Whole) => (
                Attempt::Whole,
                Event::Answered {
                    answer: Answer::Whole,
                    request,
                },
            ),
            Reply::Complete(answer) => {
                let reason = format!("{answer:?} answer");
                (Attempt::Broken(reason), Event::Answered { answer, request })
            }
            Reply::Refused(refusal) => {
                let (key, ran) = (refusal.is_key_refusal(), refusal.ran);
                (
                    Attempt::Refused(refusal),
                    Event::Refused { key, ran, request },
                )
            }
            Reply::Broken(reason) => {
                if let Some(reason) = reason.strip_prefix(ERROR_EVENT_PREFIX) {
                    let reason = reason.to_owned();
                    self.recorder.record(Event::Explained { reason, request });
                }
                (Attempt::Broken(reason), Event::Broken(request))
            }
        };
        self.recorder.record(event);
        result
    }

    fn exchange(
        &self,
        service: &WorkspaceService,
        key: Option<&Key>,
        payload: &Payload,
        address: SocketAddr,
        request: RequestId,
    ) -> Reply<Answer> {
        match payload {
            Payload::Generation(generation) => {
                let mut recorded = Instant::now();
                let progress = || {
                    if recorded.elapsed() >= PROGRESS_INTERVAL {
                        recorded = Instant::now();
                        self.recorder.record(Event::Progress(request));
                    }
                };
                match self.client.generate(address, key, generation, progress) {
                    Reply::Complete(tokens) => Reply::Complete(check_tokens(generation, &tokens)),
                    Reply::Broken(reason) => Reply::Broken(reason),
                    Reply::Refused(refusal) => Reply::Refused(refusal),
                }
            }
            Payload::Call { body, id } => {
                let path = format!("look-up?call={id}");
                let call = PlainCall {
                    body: body.clone(),
                    path,
                    service: &service.alias,
                };
                match self.client.call(address, key, &call) {
                    Reply::Complete(plain) => Reply::Complete(check_plain(body, *id, &plain)),
                    Reply::Broken(reason) => Reply::Broken(reason),
                    Reply::Refused(refusal) => Reply::Refused(refusal),
                }
            }
        }
    }

    /// Sends requests without a key and with invalid keys until `stop` is set. None of them may
    /// run.
    pub(crate) fn send_unauthorized(&self, stop: &AtomicBool, interval: Duration) {
        let mut invalid_keys = [None, Some(Key::random()), Some(Key::from("gsk-"))]
            .into_iter()
            .cycle();
        while !stop.load(Ordering::Relaxed) {
            let services = self.session.services.iter().filter(|service| !service.open);
            let services = services.collect::<Vec<_>>();
            if let (Some(service), Some(key)) =
                (services.choose(&mut rand::rng()), invalid_keys.next())
            {
                self.attempt(service, key.as_ref(), random_prompt(&mut rand::rng()));
            }
            thread::sleep(interval);
        }
    }

    /// Requests an answer that takes longer than a withdrawn key may still work.
    pub(crate) fn request_long_answer(&self, key: &Key) {
        let mut services = self.session.services.iter().filter(|service| !service.open);
        let engine = services.find(|service| service.rules.kind == ServiceKind::Engine);
        let Some(service) = engine else {
            return;
        };
        let mut long = new_payload(service, random_prompt(&mut rand::rng()));
        if let Payload::Generation(generation) = &mut long {
            generation.max_tokens = LONG_ANSWER_TOKENS;
        }
        self.send(service, Some(key), &long);
    }

    /// Sends a request that crashes every target that runs it, `times` times.
    pub(crate) fn send_poison(&self, times: u32, stop: &AtomicBool) {
        let mut services = self.session.services.iter();
        let engine = services.find(|service| service.rules.kind == ServiceKind::Engine);
        let Some(service) = engine else {
            return;
        };
        let text = format!("poison-prompt {}", random_prompt(&mut rand::rng()));
        for _ in 0..times {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let (key, _) = self.key();
            self.attempt(service, Some(&key), text.clone());
            thread::sleep(RETRY_DELAY);
        }
    }
}

fn new_payload(service: &WorkspaceService, text: String) -> Payload {
    if service.rules.kind == ServiceKind::Plain {
        return Payload::Call {
            body: text,
            id: RequestId::random(),
        };
    }
    let system = format!(
        "You answer for {}. {}",
        service.service,
        "Be brief. ".repeat(20)
    );
    let message = |role: &str, content: String| Message {
        content,
        role: role.to_owned(),
    };
    Payload::Generation(Generate {
        max_tokens: rand::rng().random_range(MIN_TOKENS..=MAX_TOKENS),
        messages: vec![message("system", system), message("user", text)],
        model: service.alias.as_str().into(),
        seed: 1,
        stream: true,
        ..Generate::default()
    })
}

fn random_prompt(rng: &mut impl Rng) -> String {
    format!(
        "lining {:016x}{:016x}",
        rng.random::<u64>(),
        rng.random::<u64>()
    )
}

/// Compares tokens with those that the fake engine generates for the request.
fn check_tokens(generation: &Generate, got: &Tokens) -> Answer {
    let prompt = prompt_hash(&generation.messages, generation.seed);
    check_answer(
        prompt,
        generation.max_tokens,
        got.texts.iter().map(String::as_str),
    )
}

/// Compares tokens with those that the fake engine generates for a prompt's hash.
pub(crate) fn check_answer<'a>(
    prompt: u64,
    max_tokens: u32,
    got: impl ExactSizeIterator<Item = &'a str>,
) -> Answer {
    let (count, _) = answer_length(prompt, max_tokens);
    let length = got.len();
    let same = got
        .zip(0..)
        .all(|(text, index)| text == token(prompt, index));
    match (same, length.cmp(&(count as usize))) {
        (true, std::cmp::Ordering::Equal) => Answer::Whole,
        (true, std::cmp::Ordering::Less) => Answer::Cut,
        _ => Answer::Foreign,
    }
}

/// Checks that the answer of a plain service contains the body and the id of its call.
fn check_plain(body: &str, id: RequestId, got: &PlainAnswer) -> Answer {
    if serde_json::from_str::<serde_json::Value>(&got.body).is_err() {
        return Answer::Cut;
    }
    let matches =
        got.status == 200 && got.body.contains(body) && got.body.contains(&id.to_string());
    if matches {
        Answer::Whole
    } else {
        Answer::Foreign
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
