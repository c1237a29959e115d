//! Entries in front of fake targets, with a view that the test controls.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::{
    engine::{Chunk, Message},
    messages::{Member, StewardAnswer, StewardRequest, UsageRecord, View},
    peer::{ServeBounds, Server},
    platform::{TargetEntry, TargetState},
};
use godwitspool_entry::Entry;
use godwitspool_fakes::{
    Engine, EngineOptions, PlainOptions, PlainService, answer_length, prompt_hash, token,
};
use godwitspool_process::EntrySettings;
use godwitspool_types::{Key, Offset};
use godwitspool_version::{
    Configuration, KeyRule, ServiceKind, ServiceRef, ServiceRules, WorkspaceRules,
};
use serde_json::Value;

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
pub const KEY: &str = "gsk-caller-key";
const SEED: u64 = 3;

pub struct Cluster {
    pub engines: Vec<Engine>,
    pub entries: Vec<Entry>,
    pub plains: Vec<PlainService>,
    /// Usage records that the fake steward holds.
    pub usage: Arc<Usage>,
    _steward: Server,
    view: Arc<Mutex<View>>,
}

/// Usage records that the fake steward holds.
#[derive(Default)]
pub struct Usage {
    pub records: Mutex<Vec<UsageRecord>>,
    /// Set while the steward refuses records.
    pub refuses: AtomicBool,
}

impl Usage {
    pub fn sequences(&self) -> Vec<u64> {
        let records = self.records.lock().unwrap();
        records.iter().map(|record| record.sequence).collect()
    }
}

pub fn configuration() -> Configuration {
    let chat = ServiceRules {
        idempotent: true,
        kind: ServiceKind::Engine,
        model: "model".into(),
        ..ServiceRules::default()
    };
    let reference = |service: &str| ServiceRef {
        service: service.into(),
    };
    let services = [
        ("chat".into(), reference("party/chat")),
        ("orders".into(), reference("party/orders")),
    ];
    let workspace = WorkspaceRules {
        keys: vec![KeyRule {
            digest: Key::from(KEY).digest(),
            withdrawn: false,
        }],
        rate_per_s: 10_000,
        concurrency: 1_000,
        services: services.into(),
        ..WorkspaceRules::default()
    };
    let orders = ServiceRules::default();
    Configuration {
        services: [("party/chat".into(), chat), ("party/orders".into(), orders)].into(),
        workspaces: [("acme".into(), workspace)].into(),
        ..Configuration::default()
    }
}

impl Cluster {
    /// Starts entries, engines and plain services, and waits until every entry serves.
    pub fn start(entries: usize, engines: usize, plains: usize, step_ms: u64) -> Self {
        let engines = (0..engines).map(|index| {
            let options = EngineOptions {
                step_ms,
                target: format!("engine-{index}").into(),
                ..EngineOptions::default()
            };
            Engine::start(options).unwrap()
        });
        let plains = (0..plains).map(|index| {
            let options = PlainOptions {
                target: format!("plain-{index}").into(),
                ..PlainOptions::default()
            };
            PlainService::start(options).unwrap()
        });
        let view = Arc::new(Mutex::new(View::default()));
        let usage = Arc::new(Usage::default());
        let steward = serve_view(&view, &usage);
        let settings = |index: usize| {
            EntrySettings::default()
                .with_host(format!("n{index}"), "north")
                .with_steward(steward.address())
        };
        let entries: Vec<Entry> = (0..entries)
            .map(|index| Entry::start(settings(index)).unwrap())
            .collect();
        let cluster = Self {
            engines: engines.collect(),
            entries,
            plains: plains.collect(),
            usage,
            _steward: steward,
            view,
        };
        cluster.publish(|view| {
            view.configuration = Arc::new(configuration());
            view.targets = cluster.targets();
            view.members = cluster.members();
        });
        cluster
    }

    /// Changes the view and waits until every entry has applied it.
    pub fn publish(&self, change: impl FnOnce(&mut View)) {
        let offset = {
            let mut view = self.view.lock().unwrap();
            change(&mut view);
            view.revision += 1;
            view.offset = Offset(view.revision);
            view.offset
        };
        for entry in &self.entries {
            let path = format!("http://{}/status", entry.operator_address());
            wait_until(|| json(&path)["offset"] == offset.0);
        }
        // The entry polls for a new view every 20 ms.
        thread::sleep(Duration::from_millis(200));
    }

    pub fn configure(&self, change: impl FnOnce(&mut Configuration)) {
        self.publish(|view| change(Arc::make_mut(&mut view.configuration)));
    }

    fn targets(&self) -> Vec<TargetEntry> {
        let engines = self.engines.iter();
        let engines = engines.map(|engine| (engine.target(), engine.address(), "party/chat"));
        let plains = self.plains.iter();
        let plains = plains.map(|plain| (plain.target(), plain.address(), "party/orders"));
        engines
            .chain(plains)
            .map(|(target, address, service)| TargetEntry {
                address,
                class: "reserved".into(),
                dc: "north".into(),
                model: "model".into(),
                service: service.into(),
                state: TargetState::Live,
                target: target.clone(),
            })
            .collect()
    }

    fn members(&self) -> Vec<Member> {
        let member = |(index, entry): (usize, &Entry)| Member {
            host: format!("n{index}").into(),
            dc: "north".into(),
            entry: entry.peer_address(),
            leaving: false,
            steward: SocketAddr::from(([127, 0, 0, 1], 9)),
        };
        self.entries.iter().enumerate().map(member).collect()
    }

    pub fn metrics(&self, entry: usize) -> String {
        let address = self.entries[entry].operator_address();
        text(&format!("http://{address}/metrics"))
    }

    /// Asks for a generation through an entry.
    pub fn generate(&self, entry: usize, prompt: &str, tokens: u32) -> Answer {
        generate(self.entries[entry].address(), KEY, prompt, tokens)
    }

    /// Calls the plain service through an entry.
    pub fn order(&self, entry: usize, call: &str, key: Option<&str>) -> Answer {
        let address = self.entries[entry].address();
        let url = format!("http://{address}/services/orders/book?call={call}");
        let mut request = agent()
            .post(url)
            .header("Authorization", format!("Bearer {KEY}"));
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        Answer::read(request.send(call).unwrap())
    }
}

fn serve_view(view: &Arc<Mutex<View>>, usage: &Arc<Usage>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (view, usage) = (Arc::clone(view), Arc::clone(usage));
    Server::start(listener, ServeBounds::default(), move |request| {
        let known = match request {
            StewardRequest::View(known) => known,
            StewardRequest::HoldUsage(_) if usage.refuses.load(Ordering::Acquire) => {
                return StewardAnswer::NotReady;
            }
            StewardRequest::HoldUsage(records) => {
                usage.records.lock().unwrap().extend(records);
                return StewardAnswer::Done;
            }
            _ => return StewardAnswer::Done,
        };
        let end = Instant::now() + Duration::from_millis(500);
        while view.lock().unwrap().revision == known && Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
        }
        StewardAnswer::View(Box::new(view.lock().unwrap().clone()))
    })
    .unwrap()
}

/// An answer as the caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub body: String,
    pub id: String,
    pub status: u16,
}

impl Answer {
    fn read(mut response: ureq::http::Response<ureq::Body>) -> Self {
        let id = response.headers().get("x-request-id");
        let id = id.map(|id| id.to_str().unwrap().to_owned());
        Self {
            id: id.unwrap_or_default(),
            status: response.status().as_u16(),
            body: response.body_mut().read_to_string().unwrap_or_default(),
        }
    }

    /// Returns the reason of a refusal, or of the error event that ended the stream.
    pub fn reason(&self) -> String {
        let line = self.body.trim().lines().last().unwrap_or_default();
        let line = line.strip_prefix("data: ").unwrap_or(line);
        let value: Value = serde_json::from_str(line).unwrap_or_default();
        value["error"]["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns whether the request ran, as the answer says.
    pub fn ran(&self) -> String {
        let line = self.body.trim().lines().last().unwrap_or_default();
        let line = line.strip_prefix("data: ").unwrap_or(line);
        let value: Value = serde_json::from_str(line).unwrap_or_default();
        value["error"]["ran"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Checks that a generation has all tokens of its prompt once, and the terminator.
    pub fn assert_whole(&self, prompt: &str, max_tokens: u32) {
        assert_eq!(self.status, 200, "{}", self.body);
        let events: Vec<_> = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .collect();
        assert_eq!(events.last(), Some(&"[DONE]"), "{}", self.body);
        let tokens: Vec<_> = events[..events.len() - 1]
            .iter()
            .flat_map(|event| serde_json::from_str::<Chunk>(event).unwrap().choices)
            .map(|choice| choice.delta.content)
            .filter(|token| !token.is_empty())
            .collect();
        let message = Message {
            content: prompt.to_owned(),
            role: "user".to_owned(),
        };
        let hash = prompt_hash(&[message], SEED);
        let (count, _) = answer_length(hash, max_tokens);
        let expected: Vec<_> = (0..count).map(|index| token(hash, index)).collect();
        assert_eq!(tokens, expected);
    }
}

pub fn generate(address: SocketAddr, key: &str, prompt: &str, tokens: u32) -> Answer {
    let body = serde_json::json!({
        "model": "chat", "max_tokens": tokens, "stream": true, "seed": SEED,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let response = agent()
        .post(format!("http://{address}/v1/chat/completions"))
        .header("Authorization", format!("Bearer {key}"))
        .send_json(&body);
    Answer::read(response.unwrap())
}

/// Returns a prompt whose answer has at least `min_tokens` tokens.
pub fn long_prompt(min_tokens: u32, max_tokens: u32) -> String {
    let long = |index: &u32| {
        let message = Message {
            content: format!("prompt {index}"),
            role: "user".to_owned(),
        };
        answer_length(prompt_hash(&[message], SEED), max_tokens).0 >= min_tokens
    };
    format!("prompt {}", (0..10_000).find(long).unwrap())
}

pub fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_global(Some(2 * WAIT_TIMEOUT))
        .build();
    ureq::Agent::new_with_config(config)
}

pub fn text(url: &str) -> String {
    let mut response = agent().get(url).call().unwrap();
    response.body_mut().read_to_string().unwrap()
}

pub fn json(url: &str) -> Value {
    serde_json::from_str(&text(url)).unwrap()
}

pub fn wait_until(condition: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "condition not met within {WAIT_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}
