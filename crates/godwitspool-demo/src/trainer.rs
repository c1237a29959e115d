//! Trainers, which submit steps and fetch and acknowledge their batches.

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

/// Range of fetch numbers reserved for each step, so that they are unique over all steps.
const FETCHES_PER_STEP: u64 = 1_000_000;
const GROUPS_PER_STEP: u32 = 6;
const SAMPLES_PER_GROUP: u32 = 4;
const MAX_TOKENS: u32 = 96;
/// Time that a host may wait for a batch to be complete before it answers.
const BATCH_WAIT_MS: u64 = 300;
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Simulated time to train on a batch.
const TRAIN_TIME: Duration = Duration::from_millis(250);

/// A trainer.
#[derive(Debug)]
pub(crate) struct Trainer {
    pub(crate) client: Client,
    pub(crate) name: TrainerName,
    pub(crate) recorder: Recorder,
    /// Session of the trainer's workspace, for its keys and hosts.
    pub(crate) session: Arc<Session>,
}

/// Result of a trainer's run.
#[derive(Debug, Default)]
pub(crate) struct TrainerResult {
    /// Samples of the batches that it fetched completely.
    pub(crate) deliveries: Vec<Delivery>,
    /// Time spent in completed fetches, including the wait for batches.
    pub(crate) idle: Duration,
    /// Duration of the run.
    pub(crate) total: Duration,
}

/// A sample that a trainer received.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    /// Time when it was received, on the recorder's clock.
    pub(crate) at: Millis,
    /// Number of the fetch that returned it.
    pub(crate) fetch: u64,
    /// Maximum number of tokens requested.
    pub(crate) max_tokens: u32,
    /// Prompt of the sample's group.
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

/// Result of fetching a page of a batch.
enum PageReply {
    /// The page is not available yet, or the request failed.
    Retry,
    /// The host has another batch than the one that earlier pages came from, so the fetch starts
    /// again at the first page.
    Restart,
    Page(PageBody),
}

impl Trainer {
    /// Trains on one step after another until `stopped` is set. Submits the next step before it
    /// fetches a batch, so that the system can work on it meanwhile.
    pub(crate) fn run(&self, stopped: &AtomicBool) -> TrainerResult {
        let mut result = TrainerResult::default();
        let start = Instant::now();
        let mut step = 1;
        let mut submitted = self.submit(step, stopped);
        while submitted {
            submitted = self.submit(step + 1, stopped);
            let fetch_start = Instant::now();
            let Some((digest, deliveries)) = self.fetch(step, stopped) else {
                break;
            };
            result.idle += fetch_start.elapsed();
            result.deliveries.extend(deliveries);
            thread::sleep(TRAIN_TIME);
            self.acknowledge(step, &digest, stopped);
            step += 1;
        }
        result.total = start.elapsed();
        result
    }

    /// Submits a step, and retries until it is accepted. Returns `false` if stopped before.
    fn submit(&self, step: u64, stopped: &AtomicBool) -> bool {
        let groups = (0..GROUPS_PER_STEP).map(|group| GroupBody {
            group,
            max_tokens: MAX_TOKENS,
            messages: self.messages(step, group),
            samples: SAMPLES_PER_GROUP,
        });
        let body = GroupsBody {
            groups: groups.collect(),
            total: GROUPS_PER_STEP,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        while !stopped.load(Ordering::Relaxed) {
            if let Some((200, _)) =
                self.send_to_any_host(Request::post(self.url(step, "groups")), &body)
            {
                let groups = (0..GROUPS_PER_STEP).map(|group| Group {
                    group,
                    samples: SAMPLES_PER_GROUP,
                });
                let (groups, trainer) = (groups.collect(), self.name.clone());
                self.recorder.record(Event::Submitted {
                    groups,
                    step,
                    trainer,
                });
                return true;
            }
            thread::sleep(RETRY_DELAY);
        }
        false
    }

    /// Fetches all pages of a batch. Returns its digest and samples, or `None` if stopped before.
    fn fetch(&self, step: u64, stopped: &AtomicBool) -> Option<(String, Vec<Delivery>)> {
        let mut digest = None::<String>;
        let mut deliveries = Vec::new();
        let mut page = 0;
        let mut fetch = step * FETCHES_PER_STEP;
        while !stopped.load(Ordering::Relaxed) {
            if page == 0 {
                fetch += 1;
                let trainer = self.name.clone();
                self.recorder.record(Event::Fetching {
                    fetch,
                    step,
                    trainer,
                });
            }
            match self.fetch_page(step, page, digest.as_deref()) {
                PageReply::Retry => thread::sleep(RETRY_DELAY),
                PageReply::Restart => {
                    (digest, page) = (None, 0);
                    deliveries.clear();
                }
                PageReply::Page(body) => {
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

    fn fetch_page(&self, step: u64, page: u32, digest: Option<&str>) -> PageReply {
        let digest = digest.map_or_else(String::new, |digest| format!("&digest={digest}"));
        let path = format!("batch?page={page}&wait_ms={BATCH_WAIT_MS}{digest}");
        match self.send_to_any_host(Request::get(self.url(step, &path)), &[]) {
            Some((200, body)) => match serde_json::from_str(&body) {
                Ok(page) => PageReply::Page(page),
                Err(error) => {
                    log::error!(trainer:% = self.name; "can't parse batch page: {error}");
                    PageReply::Retry
                }
            },
            Some((409, _)) => PageReply::Restart,
            _ => PageReply::Retry,
        }
    }

    fn acknowledge(&self, step: u64, digest: &str, stopped: &AtomicBool) {
        let body = serde_json::to_vec(&AckBody { digest }).unwrap_or_default();
        while !stopped.load(Ordering::Relaxed) {
            if let Some((200, _)) =
                self.send_to_any_host(Request::post(self.url(step, "ack")), &body)
            {
                return;
            }
            thread::sleep(RETRY_DELAY);
        }
    }

    /// Sends a request and returns the status with the body or the reason of the refusal. Returns
    /// `None` if the connection failed or the answer ended early.
    fn send_to_any_host(&self, request: Builder, body: &[u8]) -> Option<(u16, String)> {
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
                log::debug!(trainer:% = self.name; "request failed: {reason}");
                None
            }
        }
    }

    /// Returns the URL of an action on a random host.
    fn url(&self, step: u64, action: &str) -> String {
        let no_host = SocketAddr::from(([127, 0, 0, 1], 1));
        let host = self.session.hosts.choose(&mut rand::rng());
        let host = host.map_or(no_host, |(_, address)| *address);
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
                max_tokens: MAX_TOKENS,
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
