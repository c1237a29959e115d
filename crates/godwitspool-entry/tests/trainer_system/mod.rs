//! A fake platform, stewards, entries and engines in one process, and a trainer's calls.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::{
    engine::{Finish, Message},
    platform::HostEntry,
};
use godwitspool_entry::Entry;
use godwitspool_fakes::{
    ClassOptions, EngineOptions, Platform, PlatformOptions, TargetKind, answer_length,
    free_address, prompt_hash, token,
};
use godwitspool_process::{EntrySettings, StewardSettings};
use godwitspool_steward::Steward;
use godwitspool_types::{Dc, Key, Millis, Offset};
use godwitspool_version::{
    Configuration, ConfigurationChange, KeyRule, Publish, Record, RecordBody, ServiceKind,
    ServiceRules, TrainerRules, WorkspaceRules,
};
use serde_json::{Value, json};

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
pub const GROUPS: u32 = 4;
pub const KEY: &str = "trainer-key";
pub const MAX_TOKENS: u32 = 40;
pub const SAMPLES: u32 = 4;

pub fn configuration(scorer: &str) -> Configuration {
    let engine = ServiceRules {
        idempotent: true,
        kind: ServiceKind::Engine,
        model: "model".into(),
        ..ServiceRules::default()
    };
    let workspace = WorkspaceRules {
        keys: vec![KeyRule {
            digest: Key::from(KEY).digest(),
            withdrawn: false,
        }],
        ..WorkspaceRules::default()
    };
    let trainer = TrainerRules {
        scorer: scorer.into(),
        service: "party/chat".into(),
        workspace: "acme".into(),
        ..TrainerRules::default()
    };
    Configuration {
        services: BTreeMap::from([
            ("party/chat".into(), engine),
            ("party/score".into(), ServiceRules::default()),
        ]),
        trainers: BTreeMap::from([("party/motifs".into(), trainer)]),
        weights: BTreeMap::from([("model".into(), "v1".into())]),
        workspaces: BTreeMap::from([("acme".into(), workspace)]),
        ..Configuration::default()
    }
}

pub struct System {
    pub entries: Vec<Option<Entry>>,
    pub hosts: Vec<HostEntry>,
    pub platform: Platform,
    /// Offset of the last publish.
    pub published: Offset,
    pub stewards: Vec<Option<Steward>>,
}

impl System {
    pub fn start(hosts: usize, engines: u32, scorer: &str) -> Self {
        let dc = Dc::from("north");
        let class = ClassOptions {
            available: BTreeMap::from([(dc.clone(), engines)]),
            class: "reserved".into(),
            initial: BTreeMap::from([(dc, engines)]),
            kind: TargetKind::Engine(EngineOptions::default()),
            reclaimable: true,
            service: "party/chat".into(),
            ..ClassOptions::default()
        };
        let options = PlatformOptions {
            classes: vec![class],
            lag_ms: 50,
            ..PlatformOptions::default()
        };
        let platform = Platform::start(options).unwrap();
        let change =
            ConfigurationChange::between(&Configuration::default(), &configuration(scorer));
        let publish = Publish {
            change,
            ..Publish::default()
        };
        let published = platform.append(Record::new(RecordBody::Publish(publish)).encode());
        let mut system = Self {
            entries: Vec::new(),
            hosts: Vec::new(),
            platform,
            published,
            stewards: Vec::new(),
        };
        (0..hosts).for_each(|host| system.add(host));
        system.platform.set_hosts(system.hosts.clone());
        wait_until(|| system.entries.iter().flatten().all(Entry::ready));
        system
    }

    pub fn add(&mut self, host: usize) {
        let name = format!("h{host}");
        let peers = free_address().unwrap();
        let settings = StewardSettings::default()
            .with_host(name.as_str(), "north")
            .with_entry(peers)
            .with_platform(format!("http://{}", self.platform.address()))
            .with_term(Millis(2_000));
        let steward = Steward::start(settings).unwrap();
        let settings = EntrySettings::default()
            .with_host(name.as_str(), "north")
            .with_peers(peers)
            .with_steward(steward.address());
        let entry = Entry::start(settings).unwrap();
        self.hosts.push(HostEntry {
            address: Ipv4Addr::LOCALHOST.into(),
            dc: "north".into(),
            entry_port: entry.peer_address().port(),
            host: name.as_str().into(),
            leaving: false,
            steward_port: steward.address().port(),
        });
        self.entries.push(Some(entry));
        self.stewards.push(Some(steward));
    }

    /// Publishes a version of the model's weights.
    pub fn publish_weights(&mut self, from: &Configuration, version: &str) -> Configuration {
        let mut next = from.clone();
        next.weights.insert("model".into(), version.into());
        let publish = Publish {
            base: Some(self.published),
            change: ConfigurationChange::between(from, &next),
            ..Publish::default()
        };
        let body = Record::new(RecordBody::Publish(publish)).encode();
        self.published = self.platform.append(body);
        next
    }

    /// Stops a host immediately. The platform's list of hosts follows after its lag.
    pub fn kill(&mut self, host: usize) {
        self.entries[host] = None;
        self.stewards[host] = None;
        let name = format!("h{host}");
        self.hosts.retain(|entry| entry.host.as_str() != name);
        self.platform.set_hosts(self.hosts.clone());
    }

    /// Returns the address of the live entry number `at`, counted modulo their number.
    pub fn address(&self, at: usize) -> SocketAddr {
        let live: Vec<_> = self.entries.iter().flatten().collect();
        live[at % live.len()].address()
    }

    pub fn post(&self, at: usize, path: &str, body: &Value) -> (u16, Value) {
        let url = format!(
            "http://{}/v1/trainers/motifs/steps/{path}",
            self.address(at)
        );
        let answer = agent()
            .post(url)
            .header("Authorization", format!("Bearer {KEY}"))
            .send_json(body);
        read(answer)
    }

    pub fn get(&self, at: usize, path: &str) -> (u16, Value) {
        let url = format!(
            "http://{}/v1/trainers/motifs/steps/{path}",
            self.address(at)
        );
        let answer = agent()
            .get(url)
            .header("Authorization", format!("Bearer {KEY}"))
            .call();
        read(answer)
    }

    /// Submits a step until it is accepted.
    #[track_caller]
    pub fn submit(&self, at: usize, step: u64) {
        let body = submission(step);
        wait_until(|| self.post(at, &format!("{step}/groups"), &body).0 == 200);
    }

    /// Fetches the batch once it is complete, from any entry.
    #[track_caller]
    pub fn fetch(&self, at: usize, step: u64) -> Value {
        let mut batch = Value::Null;
        wait_until(|| {
            let (status, body) = self.get(at, &format!("{step}/batch?wait_ms=1000"));
            batch = body;
            status == 200
        });
        batch
    }

    #[track_caller]
    pub fn acknowledge(&self, at: usize, step: u64, batch: &Value) {
        let body = json!({ "digest": batch["digest"] });
        let mut answer = (0, Value::Null);
        wait_until(|| {
            answer = self.post(at, &format!("{step}/ack"), &body);
            answer.0 != 503 && answer.0 != 0
        });
        assert_eq!(answer.0, 200, "{answer:?}");
    }
}

/// Prints the state of every host if a test fails, to show what it waited for.
impl Drop for System {
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        for entry in self.entries.iter().flatten() {
            let url = format!("http://{}/status", entry.operator_address());
            eprintln!("entry: {:?}", read(agent().get(url).call()));
        }
        for steward in self.stewards.iter().flatten() {
            eprintln!("steward: {}", steward.status());
        }
    }
}

pub fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(10)))
        .build();
    ureq::Agent::new_with_config(config)
}

pub fn read(answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> (u16, Value) {
    let Ok(mut answer) = answer else {
        return (0, Value::Null);
    };
    let status = answer.status().as_u16();
    let text = answer.body_mut().read_to_string().unwrap_or_default();
    (
        status,
        serde_json::from_str(&text).unwrap_or(Value::String(text)),
    )
}

#[track_caller]
pub fn wait_until(mut is_done: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !is_done() {
        assert!(
            Instant::now() < end,
            "condition not met within {WAIT_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the body that submits a step.
pub fn submission(step: u64) -> Value {
    let groups: Vec<_> = (0..GROUPS)
        .map(|group| {
            json!({ "group": group, "samples": SAMPLES, "max_tokens": MAX_TOKENS,
                "messages": [{ "role": "user", "content": prompt(step, group) }] })
        })
        .collect();
    json!({ "groups": groups, "total": GROUPS })
}

pub fn prompt(step: u64, group: u32) -> String {
    format!("step {step}, group {group}")
}

/// Checks that a batch has every sample once and complete, with spans that cover its tokens.
pub fn check(step: u64, batch: &Value) {
    assert_eq!(batch["pages"], 1, "{batch}");
    let samples = batch["samples"].as_array().unwrap();
    let ids = samples
        .iter()
        .map(|sample| (number(sample, "group"), number(sample, "index")));
    let expected = (0..GROUPS).flat_map(|group| (0..SAMPLES).map(move |index| (group, index)));
    assert_eq!(ids.collect::<Vec<_>>(), expected.collect::<Vec<_>>());
    for sample in samples {
        let group = number(sample, "group");
        let index = number(sample, "index");
        let hash = hash_of(step, group, index);
        let (count, finish) = answer_length(hash, MAX_TOKENS);
        let tokens: Vec<_> = (0..count).map(|index| token(hash, index)).collect();
        assert_eq!(sample["tokens"], json!(tokens), "{group}/{index}");
        let expected_finish = if finish == Finish::Length {
            "length"
        } else {
            "stop"
        };
        assert_eq!(sample["finish"], expected_finish);
        let spans = sample["spans"].as_array().unwrap();
        let covered: u32 = spans.iter().map(|span| number(span, "tokens")).sum();
        assert_eq!(covered, count);
    }
}

/// Returns the engines' hash of a sample's prompt and seed.
pub fn hash_of(step: u64, group: u32, index: u32) -> u64 {
    let id = format!("party/motifs/{step}/{group}/{index}");
    let seed = rapidhash::v3::rapidhash_v3(id.as_bytes());
    let message = Message {
        content: prompt(step, group),
        role: "user".to_owned(),
    };
    prompt_hash(&[message], seed)
}

pub fn number(value: &Value, field: &str) -> u32 {
    value[field].as_u64().unwrap() as u32
}
