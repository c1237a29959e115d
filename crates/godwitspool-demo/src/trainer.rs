//! Trainers: they submit steps, fetch batches and learn from them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::engine::Message;
use godwitspool_history::{Event, Group, Recorder, SampleName, Span};
use godwitspool_types::{Millis, TrainerName, WeightVersion};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use ureq::http::{Request, request::Builder};

use crate::{
    caller::{Session, lock},
    client::{Client, Reply},
};

/// Most fetches of a step; fetches are counted over all steps.
const FETCHES: u64 = 1_000_000;
const GROUPS: u32 = 6;
const SAMPLES: u32 = 4;
const MOST_TOKENS: u32 = 96;
const WAIT_MS: u64 = 300;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const TRAIN: Duration = Duration::from_millis(250);

/// A trainer.
#[derive(Debug)]
pub(crate) struct Trainer {
    pub(crate) client: Client,
    pub(crate) name: TrainerName,
    pub(crate) recorder: Recorder,
    /// Its workspace's keys and hosts.
    pub(crate) session: Arc<Session>,
}

/// What a trainer's work came to.
#[derive(Debug, Default)]
pub(crate) struct Trained {
    /// The samples that it got.
    pub(crate) deliveries: Vec<Delivery>,
    /// Time that it waited for batches.
    pub(crate) idle: Duration,
    /// Time that it worked.
    pub(crate) total: Duration,
}

/// A sample as a trainer got it.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    pub(crate) at: Millis,
    pub(crate) fetch: u64,
    /// Most tokens asked for.
    pub(crate) max_tokens: u32,
    /// Prompt of its group.
    pub(crate) messages: Vec<Message>,
    pub(crate) sample: SampleName,
    pub(crate) spans: Vec<Span>,
    pub(crate) tokens: Vec<String>,
}

#[derive(Serialize)]
struct GroupsBody {
    groups: Vec<GroupBody>,
    total: u32,
}

#[derive(Serialize)]
struct GroupBody {
    group: u32,
    max_tokens: u32,
    messages: Vec<Message>,
    samples: u32,
}

#[derive(Serialize)]
struct AckBody<'a> {
    digest: &'a str,
}

#[derive(Deserialize)]
struct PageBody {
    digest: String,
    pages: u32,
    samples: Vec<SampleBody>,
}

#[derive(Deserialize)]
struct SampleBody {
    group: u32,
    index: u32,
    spans: Vec<SpanBody>,
    tokens: Vec<String>,
}

#[derive(Deserialize)]
struct SpanBody {
    tokens: u32,
    version: WeightVersion,
}

/// What came of asking for a page.
enum Asked {
    Again,
    FromStart,
    Page(PageBody),
}

impl Trainer {
    /// Works step after step until told to stop. The next step is submitted before a batch is fetched.
    pub(crate) fn run(&self, halt: &AtomicBool) -> Trained {
        let mut trained = Trained::default();
        let start = Instant::now();
        let mut step = 1;
        let mut submitted = self.submit(step, halt);
        while submitted {
            submitted = self.submit(step + 1, halt);
            let asked = Instant::now();
            let Some((digest, deliveries)) = self.fetch(step, halt) else {
                break;
            };
            trained.idle += asked.elapsed();
            trained.deliveries.extend(deliveries);
            thread::sleep(TRAIN);
            self.acknowledge(step, &digest, halt);
            step += 1;
        }
        trained.total = start.elapsed();
        trained
    }

    fn submit(&self, step: u64, halt: &AtomicBool) -> bool {
        let groups = (0..GROUPS).map(|group| GroupBody {
            group,
            max_tokens: MOST_TOKENS,
            messages: self.messages(step, group),
            samples: SAMPLES,
        });
        let body = GroupsBody {
            groups: groups.collect(),
            total: GROUPS,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        while !halt.load(Ordering::Relaxed) {
            if let Some((200, _)) = self.ask(Request::post(self.url(step, "groups")), &body) {
                let groups = (0..GROUPS).map(|group| Group {
                    group,
                    samples: SAMPLES,
                });
                let (groups, trainer) = (groups.collect(), self.name.clone());
                self.recorder.record(Event::Submitted {
                    groups,
                    step,
                    trainer,
                });
                return true;
            }
            thread::sleep(RETRY_PAUSE);
        }
        false
    }

    /// Fetches all pages of a batch.
    fn fetch(&self, step: u64, halt: &AtomicBool) -> Option<(String, Vec<Delivery>)> {
        let mut digest = None::<String>;
        let mut deliveries = Vec::new();
        let mut page = 0;
        let mut fetch = step * FETCHES;
        while !halt.load(Ordering::Relaxed) {
            if page == 0 {
                fetch += 1;
                let trainer = self.name.clone();
                self.recorder.record(Event::Fetching {
                    fetch,
                    step,
                    trainer,
                });
            }
            match self.ask_page(step, page, digest.as_deref()) {
                Asked::Again => thread::sleep(RETRY_PAUSE),
                Asked::FromStart => {
                    (digest, page) = (None, 0);
                    deliveries.clear();
                }
                Asked::Page(body) => {
                    deliveries.extend(self.deliveries(step, fetch, body.samples));
                    page += 1;
                    if page >= body.pages {
                        let trainer = self.name.clone();
                        self.recorder.record(Event::Fetched {
                            fetch,
                            step,
                            trainer,
                        });
                        return Some((body.digest, deliveries));
                    }
                    digest = Some(body.digest);
                }
            }
        }
        None
    }

    fn ask_page(&self, step: u64, page: u32, digest: Option<&str>) -> Asked {
        let digest = digest.map_or_else(String::new, |digest| format!("&digest={digest}"));
        let path = format!("batch?page={page}&wait_ms={WAIT_MS}{digest}");
        match self.ask(Request::get(self.url(step, &path)), &[]) {
            Some((200, body)) => match serde_json::from_str(&body) {
                Ok(page) => Asked::Page(page),
                Err(error) => {
                    log::error!(trainer:% = self.name; "page: {error}");
                    Asked::Again
                }
            },
            Some((409, _)) => Asked::FromStart,
            _ => Asked::Again,
        }
    }

    fn acknowledge(&self, step: u64, digest: &str, halt: &AtomicBool) {
        let body = serde_json::to_vec(&AckBody { digest }).unwrap_or_default();
        while !halt.load(Ordering::Relaxed) {
            if let Some((200, _)) = self.ask(Request::post(self.url(step, "ack")), &body) {
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Sends a request to any host and returns status and body.
    fn ask(&self, request: Builder, body: &[u8]) -> Option<(u16, String)> {
        let key = lock(&self.session.keys).current.clone();
        match self.client.send(request, Some(&key), body.to_vec()) {
            Reply::Complete(mut response) => {
                let status = response.status().as_u16();
                let body = response
                    .body_mut()
                    .with_config()
                    .limit(u64::MAX)
                    .read_to_string();
                Some((status, body.ok()?))
            }
            Reply::Refused(refusal) => Some((refusal.status, refusal.reason)),
            Reply::Broken(reason) => {
                log::debug!(trainer:% = self.name; "broken: {reason}");
                None
            }
        }
    }

    fn url(&self, step: u64, action: &str) -> String {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let host = self.session.hosts.choose(&mut rand::rng());
        let host = host.map_or(nowhere, |(_, address)| *address);
        format!(
            "http://{host}/v1/trainers/{}/steps/{step}/{action}",
            self.name
        )
    }

    fn messages(&self, step: u64, group: u32) -> Vec<Message> {
        let message = |role: &str, content: String| Message {
            content,
            role: role.to_owned(),
        };
        vec![
            message(
                "system",
                format!("You learn for {}. {}", self.name, "Be bold. ".repeat(20)),
            ),
            message("user", format!("{} step {step} group {group}", self.name)),
        ]
    }

    fn deliveries(&self, step: u64, fetch: u64, samples: Vec<SampleBody>) -> Vec<Delivery> {
        let at = self.recorder.now();
        let deliveries = samples.into_iter().map(|body| {
            let mut from = 0;
            let spans = body.spans.into_iter().map(|span| {
                let to = from + span.tokens;
                let span = Span {
                    from,
                    to,
                    version: span.version,
                };
                from = to;
                span
            });
            let (group, index) = (body.group, body.index);
            Delivery {
                at,
                fetch,
                max_tokens: MOST_TOKENS,
                messages: self.messages(step, group),
                sample: SampleName {
                    trainer: self.name.clone(),
                    step,
                    group,
                    index,
                },
                spans: spans.collect(),
                tokens: body.tokens,
            }
        });
        deliveries.collect()
    }
}
