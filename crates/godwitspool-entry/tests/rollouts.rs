//! Trainers' steps over real sockets, with what goes wrong around them.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::{
    engine::{Finish, Message},
    platform::{HostEntry, TargetEntry, TargetState},
};
use godwitspool_entry::Entry;
use godwitspool_fakes::{
    ClassOptions, Engine, EngineEvent, EngineOptions, Platform, PlatformOptions, Scorer, SwapFault,
    TargetKind, answer_tokens, prompt_hash, token,
};
use godwitspool_process::{EntrySettings, StewardSettings};
use godwitspool_steward::Steward;
use godwitspool_types::{Dc, Key, Millis, Offset};
use godwitspool_version::{
    Configuration, ConfigurationChange, KeyRule, Publish, Record, RecordBody, ServiceKind,
    ServiceRules, TrainerRules, WorkspaceRules,
};
use serde_json::{Value, json};

const BOUND: Duration = Duration::from_secs(40);
const GROUPS: u32 = 4;
const KEY: &str = "trainer-key";
const MAX_TOKENS: u32 = 40;
const SAMPLES: u32 = 4;

fn configuration(scorer: &str) -> Configuration {
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

struct System {
    entries: Vec<Option<Entry>>,
    hosts: Vec<HostEntry>,
    platform: Platform,
    /// Offset of the last publish.
    published: Offset,
    stewards: Vec<Option<Steward>>,
}

impl System {
    fn start(hosts: usize, engines: u32, scorer: &str) -> Self {
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
        wait(|| system.entries.iter().flatten().all(Entry::ready));
        system
    }

    fn add(&mut self, host: usize) {
        let name = format!("h{host}");
        let peers = free_address();
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
    fn publish_weights(&mut self, from: &Configuration, version: &str) -> Configuration {
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

    /// Ends a host at once; the platform's list says so a while later.
    fn kill(&mut self, host: usize) {
        self.entries[host] = None;
        self.stewards[host] = None;
        let name = format!("h{host}");
        self.hosts.retain(|entry| entry.host.as_str() != name);
        self.platform.set_hosts(self.hosts.clone());
    }

    fn address(&self, at: usize) -> SocketAddr {
        let live: Vec<_> = self.entries.iter().flatten().collect();
        live[at % live.len()].address()
    }

    fn post(&self, at: usize, path: &str, body: &Value) -> (u16, Value) {
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

    fn get(&self, at: usize, path: &str) -> (u16, Value) {
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
    fn submit(&self, at: usize, step: u64) {
        let groups: Vec<_> = (0..GROUPS)
            .map(|group| {
                json!({ "group": group, "samples": SAMPLES, "max_tokens": MAX_TOKENS,
                    "messages": [{ "role": "user", "content": prompt(step, group) }] })
            })
            .collect();
        let body = json!({ "groups": groups, "total": GROUPS });
        wait(|| self.post(at, &format!("{step}/groups"), &body).0 == 200);
    }

    /// Fetches the batch once it is whole, from any entry.
    #[track_caller]
    fn fetch(&self, at: usize, step: u64) -> Value {
        let mut batch = Value::Null;
        wait(|| {
            let (status, body) = self.get(at, &format!("{step}/batch?wait_ms=1000"));
            batch = body;
            status == 200
        });
        batch
    }

    #[track_caller]
    fn acknowledge(&self, at: usize, step: u64, batch: &Value) {
        let body = json!({ "digest": batch["digest"] });
        let mut answer = (0, Value::Null);
        wait(|| {
            answer = self.post(at, &format!("{step}/ack"), &body);
            answer.0 != 503 && answer.0 != 0
        });
        assert_eq!(answer.0, 200, "{answer:?}");
    }
}

/// Returns an address that nobody uses now.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(10)))
        .build();
    ureq::Agent::new_with_config(config)
}

fn read(answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> (u16, Value) {
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
fn wait(mut is_done: impl FnMut() -> bool) {
    let end = Instant::now() + BOUND;
    while !is_done() {
        assert!(Instant::now() < end, "not within {BOUND:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn prompt(step: u64, group: u32) -> String {
    format!("step {step}, group {group}")
}

/// Checks that a batch has every sample once, whole, and named by the version that made it.
fn check(step: u64, batch: &Value) {
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
        let (count, finish) = answer_tokens(hash, MAX_TOKENS);
        let tokens: Vec<_> = (0..count).map(|index| token(hash, index)).collect();
        assert_eq!(sample["tokens"], json!(tokens), "{group}/{index}");
        let named = if finish == Finish::Length {
            "length"
        } else {
            "stop"
        };
        assert_eq!(sample["finish"], named);
        let spans = sample["spans"].as_array().unwrap();
        let covered: u32 = spans.iter().map(|span| number(span, "tokens")).sum();
        assert_eq!(covered, count);
    }
}

/// Returns the hash by which engines know a sample's prompt and seed.
fn hash_of(step: u64, group: u32, index: u32) -> u64 {
    let id = format!("party/motifs/{step}/{group}/{index}");
    let seed = rapidhash::v3::rapidhash_v3(id.as_bytes());
    let message = Message {
        content: prompt(step, group),
        role: "user".to_owned(),
    };
    prompt_hash(&[message], seed)
}

fn number(value: &Value, field: &str) -> u32 {
    value[field].as_u64().unwrap() as u32
}

// ---------------------------------------------------------------------------------------------------

#[test]
fn a_step_comes_whole_through_any_entry() {
    let system = System::start(3, 2, "");
    for step in 1..4 {
        system.submit(step as usize, step);
        system.submit(step as usize + 1, step);
        let batch = system.fetch(step as usize + 2, step);
        check(step, &batch);
        assert_eq!(system.fetch(step as usize, step), batch, "a lost answer");
        system.acknowledge(step as usize, step, &batch);
        system.acknowledge(step as usize + 1, step, &batch);
        let (status, body) = system.get(0, &format!("{step}/batch"));
        assert_eq!(
            (status, &body["error"]["reason"]),
            (409, &json!("acknowledged"))
        );
    }
    let (status, body) = system.get(0, "9/batch");
    assert_eq!(
        (status, &body["error"]["reason"]),
        (404, &json!("unknown-step"))
    );
}

#[test]
fn a_key_of_another_workspace_is_refused() {
    let system = System::start(1, 1, "");
    let url = format!(
        "http://{}/v1/trainers/motifs/steps/1/batch",
        system.address(0)
    );
    let answer = agent()
        .get(url)
        .header("Authorization", "Bearer other")
        .call();
    assert_eq!(read(answer).0, 401);
}

#[test]
fn an_engine_that_crashes_loses_and_doubles_no_sample() {
    let system = System::start(2, 3, "");
    system.submit(0, 1);
    let engines = system.platform.engines();
    wait(|| engines.iter().any(|engine| !engine.history().is_empty()));
    thread::sleep(Duration::from_millis(100));
    engines[0].crash();
    engines[1].silence();
    let batch = system.fetch(0, 1);
    check(1, &batch);
}

#[test]
fn a_step_survives_the_death_of_any_host() {
    for victim in 0..3 {
        let mut system = System::start(3, 2, "");
        system.submit(0, 1);
        system.submit(1, 2);
        let first = system.fetch(0, 1);
        system.kill(victim);
        assert_eq!(system.fetch(0, 1), first, "host {victim} died");
        system.acknowledge(1, 1, &first);
        let second = system.fetch(1, 2);
        check(2, &second);
        system.acknowledge(0, 2, &second);
    }
}

#[test]
fn a_log_outage_holds_up_no_step() {
    let system = System::start(2, 2, "");
    system.submit(0, 1);
    system.platform.set_outage(true);
    let first = system.fetch(0, 1);
    system.acknowledge(0, 1, &first);
    system.submit(1, 2);
    let second = system.fetch(1, 2);
    check(2, &second);
    system.acknowledge(0, 2, &second);
}

#[test]
fn samples_of_reclaimed_targets_go_on_elsewhere() {
    let system = System::start(1, 3, "");
    system.submit(0, 1);
    let engines = system.platform.engines();
    wait(|| engines.iter().any(|engine| !engine.history().is_empty()));
    let targets: Vec<TargetEntry> = system
        .platform
        .targets()
        .into_iter()
        .enumerate()
        .map(|(at, entry)| TargetEntry {
            state: if at < 2 {
                TargetState::Reclaimed
            } else {
                entry.state
            },
            ..entry
        })
        .collect();
    let going: BTreeSet<_> = targets[..2]
        .iter()
        .map(|entry| entry.target.clone())
        .collect();
    system.platform.set_targets(targets);
    thread::sleep(Duration::from_secs(1));
    for engine in engines
        .iter()
        .filter(|engine| going.contains(engine.target()))
    {
        engine.crash();
    }
    let batch = system.fetch(0, 1);
    check(1, &batch);
}

#[test]
fn scores_come_with_the_samples_and_failures_are_said() {
    let scorer = Scorer::start(SocketAddr::from(([127, 0, 0, 1], 0)), 1).unwrap();
    let system = System::start(1, 2, "party/score");
    let mut targets = system.platform.targets();
    let with_scorer = |system: &System, targets: &mut Vec<TargetEntry>, address| {
        targets.push(TargetEntry {
            address,
            class: "scorers".into(),
            dc: "north".into(),
            model: "".into(),
            service: "party/score".into(),
            state: TargetState::Live,
            target: "scorer".into(),
        });
        system.platform.set_targets(targets.clone());
    };
    with_scorer(&system, &mut targets, scorer.address());
    system.submit(0, 1);
    let batch = system.fetch(0, 1);
    check(1, &batch);
    let samples = batch["samples"].as_array().unwrap();
    assert!(samples.iter().all(|sample| sample["score"].is_f64()));
    targets.retain(|target| target.target.as_str() != "scorer");
    // Nobody listens on this port.
    with_scorer(&system, &mut targets, SocketAddr::from(([127, 0, 0, 1], 1)));
    thread::sleep(Duration::from_millis(600));
    system.submit(0, 2);
    let batch = system.fetch(0, 2);
    let samples = batch["samples"].as_array().unwrap();
    assert!(
        samples
            .iter()
            .all(|sample| sample["score_error"].is_string())
    );
    assert!(samples.iter().all(|sample| sample.get("score").is_none()));
}

#[test]
fn new_weights_reach_all_engines_and_no_sample_is_mislabelled() {
    let mut system = System::start(1, 4, "");
    let engines = system.platform.engines();
    engines[0].set_swap_fault(SwapFault::FalseSuccess);
    engines[1].set_swap_fault(SwapFault::Fails);
    let mut configuration = configuration("");
    for (step, version) in (1..).zip(["v2", "v3", "v4"]) {
        system.submit(0, step);
        configuration = system.publish_weights(&configuration, version);
        let sound = &engines[2..];
        wait(|| {
            sound
                .iter()
                .all(|engine| engine.weights().as_str() == version)
        });
        let batch = system.fetch(0, step);
        check(step, &batch);
        check_labels(step, &batch, &engines);
        system.acknowledge(0, step, &batch);
    }
    assert_eq!(engines[0].weights().as_str(), "v1");
    engines[0].set_swap_fault(SwapFault::None);
    engines[1].set_swap_fault(SwapFault::None);
    system.publish_weights(&configuration, "v5");
    wait(|| {
        engines
            .iter()
            .all(|engine| engine.weights().as_str() == "v5")
    });
}

/// Checks that engines made the tokens of each sample with the versions that it names.
fn check_labels(step: u64, batch: &Value, engines: &[Arc<Engine>]) {
    let mut made: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for record in engines.iter().flat_map(|engine| engine.history()) {
        if let EngineEvent::Ended { prompt, spans, .. } = record.event {
            let versions = spans.iter().map(|span| span.version.to_string());
            made.entry(prompt).or_default().extend(versions);
        }
    }
    for sample in batch["samples"].as_array().unwrap() {
        let (group, index) = (number(sample, "group"), number(sample, "index"));
        let hash = hash_of(step, group, index);
        for span in sample["spans"].as_array().unwrap() {
            let version = span["version"].as_str().unwrap();
            assert!(
                made[&hash].contains(version),
                "{step}/{group}/{index}: {span}"
            );
        }
    }
}

#[test]
fn a_sample_is_explained() {
    let system = System::start(1, 1, "");
    system.submit(0, 1);
    system.fetch(0, 1);
    let (status, lines) = system.get(0, "1/samples/0/0");
    assert_eq!(status, 200);
    let text = lines.to_string();
    assert!(
        text.contains("started on") && text.contains("of v1"),
        "{text}"
    );
}
