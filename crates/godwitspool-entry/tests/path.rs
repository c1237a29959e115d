//! The whole path over real sockets: configuration from the log, a caller's request, an engine's
//! stream.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::engine::{Chunk, Message};
use godwitspool_entry::Entry;
use godwitspool_fakes::{
    ClassOptions, Platform, PlatformOptions, answer_length, prompt_hash, token,
};
use godwitspool_process::{EntrySettings, StewardSettings};
use godwitspool_steward::Steward;
use godwitspool_types::{Dc, Key};
use godwitspool_version::{
    Configuration, ConfigurationChange, KeyRule, Publish, Record, RecordBody, ServiceKind,
    ServiceRef, ServiceRules, WorkspaceRules,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const KEY: &str = "caller-key";
const MAX_TOKENS: u32 = 12;
const SEED: u64 = 3;

fn configuration() -> Configuration {
    let engine = ServiceRules {
        idempotent: true,
        kind: ServiceKind::Engine,
        model: "model".into(),
        ..ServiceRules::default()
    };
    let reference = ServiceRef {
        service: "party/chat".into(),
    };
    let workspace = WorkspaceRules {
        keys: vec![KeyRule {
            digest: Key::from(KEY).digest(),
            withdrawn: false,
        }],
        services: BTreeMap::from([("chat".into(), reference)]),
        ..WorkspaceRules::default()
    };
    Configuration {
        services: BTreeMap::from([("party/chat".into(), engine)]),
        workspaces: BTreeMap::from([("acme".into(), workspace)]),
        ..Configuration::default()
    }
}

fn platform() -> Platform {
    let class = ClassOptions {
        available: BTreeMap::from([(Dc::from("north"), 2)]),
        class: "reserved".into(),
        initial: BTreeMap::from([(Dc::from("north"), 2)]),
        service: "party/chat".into(),
        ..ClassOptions::default()
    };
    let options = PlatformOptions {
        classes: vec![class],
        ..PlatformOptions::default()
    };
    let platform = Platform::start(options).unwrap();
    let change = ConfigurationChange::between(&Configuration::default(), &configuration());
    let publish = Publish {
        change,
        ..Publish::default()
    };
    platform.append(Record::new(RecordBody::Publish(publish)).encode());
    platform
}

struct System {
    entry: Entry,
    _platform: Platform,
    _steward: Steward,
}

fn start() -> System {
    let platform = platform();
    let url = format!("http://{}", platform.address());
    let steward = StewardSettings::default()
        .with_host("n1", "north")
        .with_platform(url);
    let steward = Steward::start(steward).unwrap();
    let settings = EntrySettings::default()
        .with_host("n1", "north")
        .with_steward(steward.address());
    let entry = Entry::start(settings).unwrap();
    let end = Instant::now() + WAIT_TIMEOUT;
    while !entry.ready() && Instant::now() < end {
        thread::sleep(Duration::from_millis(10));
    }
    System {
        entry,
        _platform: platform,
        _steward: steward,
    }
}

/// Sends a request, and repeats it while the entry answers 503 because its view is incomplete.
fn ask(address: SocketAddr, key: &str) -> ureq::http::Response<ureq::Body> {
    let body = serde_json::json!({
        "model": "chat", "max_tokens": MAX_TOKENS, "stream": true, "seed": SEED,
        "messages": [{ "role": "user", "content": "a prompt" }],
    });
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let response = agent
            .post(format!("http://{address}/v1/chat/completions"))
            .header("Authorization", format!("Bearer {key}"))
            .send_json(&body)
            .unwrap();
        if response.status() != 503 || Instant::now() > end {
            return response;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn request_is_streamed_whole_from_an_engine() {
    let system = start();
    let mut response = ask(system.entry.address(), KEY);
    assert_eq!(response.status(), 200);
    let text = response.body_mut().read_to_string().unwrap();
    let events: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    assert_eq!(events.last(), Some(&"[DONE]"), "{text}");
    let tokens: Vec<_> = events[..events.len() - 1]
        .iter()
        .flat_map(|event| serde_json::from_str::<Chunk>(event).unwrap().choices)
        .map(|choice| choice.delta.content)
        .filter(|token| !token.is_empty())
        .collect();
    let message = Message {
        content: "a prompt".to_owned(),
        role: "user".to_owned(),
    };
    let prompt = prompt_hash(&[message], SEED);
    let (count, _) = answer_length(prompt, MAX_TOKENS);
    let expected: Vec<_> = (0..count).map(|index| token(prompt, index)).collect();
    assert_eq!(tokens, expected);
}

#[test]
fn unknown_key_is_refused_as_not_run() {
    let system = start();
    let mut response = ask(system.entry.address(), "another-key");
    assert_eq!(response.status(), 401);
    assert!(response.headers().contains_key("x-request-id"));
    let body = response.body_mut().read_to_string().unwrap();
    assert!(body.contains("\"ran\":\"not-run\""), "{body}");
}
