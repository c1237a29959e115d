//! Interactive callers.

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

use crate::client::{BROKE_OFF, Client, Plain, PlainCall, Refusal, Reply, Tokens};

const MOST_TOKENS: u32 = 48;
const LEAST_TOKENS: u32 = 8;
const LONG_TOKENS: u32 = 900;
const TRIES: u32 = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(150);
const THINK_MS: std::ops::Range<u64> = 30..170;
/// Progress of a stream is recorded at most this often.
const PROGRESS_EVERY: Duration = Duration::from_millis(200);

/// A service as a workspace sees it.
#[derive(Clone, Debug)]
pub(crate) struct Named {
    /// The workspace's name for it.
    pub(crate) alias: String,
    /// Whether it answers without a key.
    pub(crate) open: bool,
    /// Rules.
    pub(crate) rules: ServiceRules,
    /// Qualified name.
    pub(crate) service: ServiceName,
}

/// Keys that the callers of a workspace hold.
#[derive(Clone, Debug)]
pub(crate) struct Keys {
    /// The newest key.
    pub(crate) current: Key,
    /// A key that some callers still use.
    pub(crate) old: Option<Key>,
}

/// What callers of one workspace share.
#[derive(Debug)]
pub(crate) struct Session {
    /// Hosts that the balancer sends to.
    pub(crate) hosts: Vec<(HostName, SocketAddr)>,
    /// Keys.
    pub(crate) keys: Mutex<Keys>,
    /// What became of requests.
    pub(crate) tally: Mutex<Tally>,
    /// Services.
    pub(crate) services: Vec<Named>,
    /// Workspace.
    pub(crate) workspace: Workspace,
}

/// What became of a workspace's requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    /// Requests that broke off.
    pub(crate) failed: BTreeMap<String, u64>,
    /// Times of whole answers, in milliseconds.
    pub(crate) ok_ms: Vec<u64>,
    /// Requests that were refused, by reason.
    pub(crate) refused: BTreeMap<String, u64>,
}

/// A caller.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) client: Client,
    /// Whether it goes on with an old key.
    pub(crate) keeps_old_key: bool,
    pub(crate) recorder: Recorder,
    pub(crate) session: Arc<Session>,
}

/// What a caller asks.
enum Asked {
    Call { body: String, id: RequestId },
    Generation(Generate),
}

impl Asked {
    fn work(&self) -> Work {
        match self {
            Self::Call { id, .. } => Work::Call(*id),
            Self::Generation(asked) => Work::Prompt(prompt_hash(&asked.messages, asked.seed)),
        }
    }
}

/// How one attempt ended.
enum Ended {
    Broken(String),
    Refused(Refusal),
    Whole,
}

impl Caller {
    /// Asks until told to stop.
    pub(crate) fn run(&self, stop: &AtomicBool) {
        let mut rng = rand::rng();
        while !stop.load(Ordering::Relaxed) {
            if let Some(service) = self.session.services.choose(&mut rng) {
                self.ask(service, stop);
            }
            thread::sleep(Duration::from_millis(rng.random_range(THINK_MS)));
        }
    }

    /// Asks once, and again where a refusal says that it did not run.
    fn ask(&self, service: &Named, stop: &AtomicBool) {
        let start = Instant::now();
        let mut last = None;
        for _ in 0..TRIES {
            let (key, _) = self.key();
            let ended = self.attempt(service, Some(&key), ask_text(&mut rand::rng()));
            let valid = self.is_current(&key);
            match ended {
                Ended::Whole => {
                    let mut tally = lock(&self.session.tally);
                    tally.ok_ms.push(start.elapsed().as_millis() as u64);
                    return;
                }
                // A withdrawn key is to be refused.
                Ended::Refused(refusal) if refusal.is_of_key() && !valid => return,
                Ended::Broken(_) if !valid => return,
                Ended::Refused(refusal) if refusal.ran == Ran::NotRun => last = Some(refusal),
                Ended::Refused(refusal) => {
                    last = Some(refusal);
                    break;
                }
                Ended::Broken(reason) => {
                    *lock(&self.session.tally).failed.entry(reason).or_default() += 1;
                    return;
                }
            }
            if stop.load(Ordering::Relaxed) {
                break;
            }
            thread::sleep(RETRY_PAUSE);
        }
        if let Some(refusal) = last {
            *lock(&self.session.tally)
                .refused
                .entry(refusal.reason)
                .or_default() += 1;
        }
    }

    /// Returns the key to show and whether it is one that should work.
    fn key(&self) -> (Key, bool) {
        let keys = lock(&self.session.keys);
        match &keys.old {
            Some(old) if self.keeps_old_key => (old.clone(), false),
            _ => (keys.current.clone(), true),
        }
    }

    /// Returns whether a key is not about to be withdrawn or withdrawn.
    fn is_current(&self, key: &Key) -> bool {
        lock(&self.session.keys).current.digest() == key.digest()
    }

    /// Sends one request, checks the answer and records both.
    fn attempt(&self, service: &Named, key: Option<&Key>, text: String) -> Ended {
        let asked = asked(service, text);
        self.send(service, key, &asked)
    }

    fn send(&self, service: &Named, key: Option<&Key>, asked: &Asked) -> Ended {
        let Some((host, address)) = self.session.hosts.choose(&mut rand::rng()) else {
            return Ended::Broken("no host".to_owned());
        };
        let request = RequestId::random();
        self.recorder.record(Event::Sent {
            host: host.clone(),
            key: key.map(Key::digest),
            open: service.open,
            repeatable: service.rules.idempotent,
            request,
            service: service.service.clone(),
            work: asked.work(),
            workspace: self.session.workspace.clone(),
        });
        let (ended, event) = match self.exchange(service, key, asked, *address, request) {
            Reply::Complete(Answer::Whole) => (
                Ended::Whole,
                Event::Answered {
                    answer: Answer::Whole,
                    request,
                },
            ),
            Reply::Complete(answer) => {
                let reason = format!("{answer:?} answer");
                (Ended::Broken(reason), Event::Answered { answer, request })
            }
            Reply::Refused(refusal) => {
                let (key, ran) = (refusal.is_of_key(), refusal.ran);
                (
                    Ended::Refused(refusal),
                    Event::Refused { key, ran, request },
                )
            }
            Reply::Broken(reason) => {
                if let Some(reason) = reason.strip_prefix(BROKE_OFF) {
                    let reason = reason.to_owned();
                    self.recorder.record(Event::Explained { reason, request });
                }
                (Ended::Broken(reason), Event::Broken(request))
            }
        };
        self.recorder.record(event);
        ended
    }

    fn exchange(
        &self,
        service: &Named,
        key: Option<&Key>,
        asked: &Asked,
        address: SocketAddr,
        request: RequestId,
    ) -> Reply<Answer> {
        match asked {
            Asked::Generation(asked) => {
                let mut recorded = Instant::now();
                let progress = || {
                    if recorded.elapsed() >= PROGRESS_EVERY {
                        recorded = Instant::now();
                        self.recorder.record(Event::Progress(request));
                    }
                };
                match self.client.generate(address, key, asked, progress) {
                    Reply::Complete(tokens) => Reply::Complete(judge_tokens(asked, &tokens)),
                    Reply::Broken(reason) => Reply::Broken(reason),
                    Reply::Refused(refusal) => Reply::Refused(refusal),
                }
            }
            Asked::Call { body, id } => {
                let path = format!("look-up?call={id}");
                let call = PlainCall {
                    body: body.clone(),
                    path,
                    service: &service.alias,
                };
                match self.client.call(address, key, &call) {
                    Reply::Complete(plain) => Reply::Complete(judge_plain(body, *id, &plain)),
                    Reply::Broken(reason) => Reply::Broken(reason),
                    Reply::Refused(refusal) => Reply::Refused(refusal),
                }
            }
        }
    }

    // ---- Callers with a purpose ----

    /// Sends requests that must not run, until told to stop: without a key and with wrong ones.
    pub(crate) fn intrude(&self, stop: &AtomicBool, every: Duration) {
        let mut wrong = [None, Some(Key::random()), Some(Key::from("gsk-"))]
            .into_iter()
            .cycle();
        while !stop.load(Ordering::Relaxed) {
            let services = self.session.services.iter().filter(|service| !service.open);
            let services = services.collect::<Vec<_>>();
            if let (Some(service), Some(key)) = (services.choose(&mut rand::rng()), wrong.next()) {
                self.attempt(service, key.as_ref(), ask_text(&mut rand::rng()));
            }
            thread::sleep(every);
        }
    }

    /// Asks for an answer that takes longer than a withdrawn key may work.
    pub(crate) fn ask_long(&self, key: &Key) {
        let mut services = self.session.services.iter().filter(|service| !service.open);
        let engine = services.find(|service| service.rules.kind == ServiceKind::Engine);
        let Some(service) = engine else {
            return;
        };
        let mut long = asked(service, ask_text(&mut rand::rng()));
        if let Asked::Generation(asked) = &mut long {
            asked.max_tokens = LONG_TOKENS;
        }
        self.send(service, Some(key), &long);
    }

    /// Sends a request that crashes each target that runs it, again and again.
    pub(crate) fn poison(&self, times: u32, stop: &AtomicBool) {
        let mut services = self.session.services.iter();
        let engine = services.find(|service| service.rules.kind == ServiceKind::Engine);
        let Some(service) = engine else {
            return;
        };
        let text = format!("poison-prompt {}", ask_text(&mut rand::rng()));
        for _ in 0..times {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let (key, _) = self.key();
            self.attempt(service, Some(&key), text.clone());
            thread::sleep(RETRY_PAUSE);
        }
    }
}

fn asked(service: &Named, text: String) -> Asked {
    if service.rules.kind == ServiceKind::Plain {
        return Asked::Call {
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
    Asked::Generation(Generate {
        max_tokens: rand::rng().random_range(LEAST_TOKENS..=MOST_TOKENS),
        messages: vec![message("system", system), message("user", text)],
        model: service.alias.as_str().into(),
        seed: 1,
        stream: true,
        ..Generate::default()
    })
}

fn ask_text(rng: &mut impl Rng) -> String {
    format!(
        "lining {:016x}{:016x}",
        rng.random::<u64>(),
        rng.random::<u64>()
    )
}

/// Compares tokens with those that the prompt must give.
fn judge_tokens(asked: &Generate, got: &Tokens) -> Answer {
    let prompt = prompt_hash(&asked.messages, asked.seed);
    judge_answer(
        prompt,
        asked.max_tokens,
        got.texts.iter().map(String::as_str),
    )
}

/// Compares tokens with those that a prompt's hash must give.
pub(crate) fn judge_answer<'a>(
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

fn judge_plain(body: &str, id: RequestId, got: &Plain) -> Answer {
    if serde_json::from_str::<serde_json::Value>(&got.body).is_err() {
        return Answer::Cut;
    }
    let own = got.status == 200 && got.body.contains(body) && got.body.contains(&id.to_string());
    if own { Answer::Whole } else { Answer::Foreign }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
