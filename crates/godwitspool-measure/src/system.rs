//! One host with an entry and a steward, a fake platform and fake engines, over real sockets.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::engine::{Generate, Message};
use godwitspool_entry::Entry;
use godwitspool_fakes::{ClassOptions, EngineOptions, Platform, PlatformOptions, TargetKind};
use godwitspool_process::{EntrySettings, StewardSettings};
use godwitspool_steward::Steward;
use godwitspool_types::{Dc, Key};
use godwitspool_version::{
    ClassRules, Configuration, ConfigurationChange, DcRules, KeyRule, Publish, Record, RecordBody,
    ServiceKind, ServiceRef, ServiceRules, WorkspaceRules,
};
use ureq::Agent;

const CLASS: &str = "reserved";
const DC: &str = "north";
const KEY: &str = "measured-key";
const MODEL: &str = "model";
const SERVICE: &str = "party/chat";
/// Name of the threads of the fakes, used to separate their CPU time from the entry's.
pub(crate) const FAKES_THREAD: &str = "stand-ins";
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// One entry, one steward and a fake platform with fake engines, all in this process.
#[derive(Debug)]
pub(crate) struct System {
    pub(crate) entry: Entry,
    pub(crate) platform: Platform,
    _steward: Steward,
}

impl System {
    /// Starts the fakes and the daemons and waits until the entry serves requests.
    pub(crate) fn start(engines: u32, options: EngineOptions) -> io::Result<Self> {
        // The threads of the fakes inherit the name of the thread that starts them.
        let builder = thread::Builder::new().name(FAKES_THREAD.to_owned());
        let platform = builder
            .spawn(move || start_platform(engines, options))?
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("a fake panicked while it was started")))?;
        let url = format!("http://{}", platform.address());
        let steward = StewardSettings::default()
            .with_host("n1", DC)
            .with_platform(url);
        let steward = Steward::start(steward)?;
        let settings = EntrySettings::default()
            .with_host("n1", DC)
            .with_steward(steward.address());
        let system = Self {
            entry: Entry::start(settings)?,
            platform,
            _steward: steward,
        };
        system.wait_until_ready()?;
        Ok(system)
    }

    /// Returns the addresses of the engines.
    pub(crate) fn engines(&self) -> Vec<SocketAddr> {
        self.platform
            .targets()
            .iter()
            .map(|target| target.address)
            .collect()
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        let caller = Caller::new(self.entry.address());
        while Instant::now() < end {
            if caller.generate("is it served", 1).is_ok() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other(
            "timed out waiting for the entry to answer a request",
        ))
    }
}

fn start_platform(engines: u32, options: EngineOptions) -> io::Result<Platform> {
    let engine = EngineOptions {
        model: MODEL.into(),
        ..options
    };
    let class = ClassOptions {
        available: BTreeMap::from([(Dc::from(DC), engines)]),
        class: CLASS.into(),
        initial: BTreeMap::from([(Dc::from(DC), engines)]),
        kind: TargetKind::Engine(engine),
        service: SERVICE.into(),
        ..ClassOptions::default()
    };
    let options = PlatformOptions {
        classes: vec![class],
        ..PlatformOptions::default()
    };
    let platform = Platform::start(options)?;
    let change = ConfigurationChange::between(&Configuration::default(), &configuration(engines));
    let publish = Publish {
        change,
        ..Publish::default()
    };
    platform.append(Record::new(RecordBody::Publish(publish)).encode());
    Ok(platform)
}

fn configuration(engines: u32) -> Configuration {
    let service = ServiceRules {
        deadline_ms: 60_000,
        idempotent: true,
        kind: ServiceKind::Engine,
        model: MODEL.into(),
        slots: 512,
    };
    let class = ClassRules {
        cost_per_hour: 1_000,
        service: SERVICE.into(),
        ..ClassRules::default()
    };
    let bounds = BTreeMap::from([(CLASS.into(), engines)]);
    let dc = DcRules {
        ceiling: bounds.clone(),
        floor: bounds,
        ..DcRules::default()
    };
    let workspace = WorkspaceRules {
        concurrency: 10_000,
        keys: vec![KeyRule {
            digest: Key::from(KEY).digest(),
            withdrawn: false,
        }],
        rate_per_s: 100_000,
        services: BTreeMap::from([(
            MODEL.into(),
            ServiceRef {
                service: SERVICE.into(),
            },
        )]),
        ..WorkspaceRules::default()
    };
    Configuration {
        classes: BTreeMap::from([(CLASS.into(), class)]),
        dcs: BTreeMap::from([(DC.into(), dc)]),
        services: BTreeMap::from([(SERVICE.into(), service)]),
        workspaces: BTreeMap::from([("acme".into(), workspace)]),
        ..Configuration::default()
    }
}

/// A client that requests streams from an entry, or directly from an engine.
#[derive(Debug)]
pub(crate) struct Caller {
    address: SocketAddr,
    agent: Agent,
    url: String,
}

impl Caller {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder().proxy(None).build();
        let url = format!("http://{address}/v1/chat/completions");
        Self {
            address,
            agent: Agent::new_with_config(config),
            url,
        }
    }

    /// Requests a stream, reads it to its end and returns the number of tokens.
    pub(crate) fn generate(&self, prompt: &str, max_tokens: u32) -> io::Result<u64> {
        let response = self
            .agent
            .post(&self.url)
            .header("Authorization", format!("Bearer {KEY}"))
            .send_json(request(prompt, max_tokens))
            .map_err(io::Error::other)?;
        let mut tokens = 0;
        for line in BufReader::new(response.into_body().into_reader()).lines() {
            let line = line?;
            if line == "data: [DONE]" {
                return Ok(tokens);
            }
            tokens += u64::from(line.starts_with("data: ") && !line.contains("finish_reason"));
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    }

    /// Returns the bytes of an HTTP request for a stream, for callers that do not read the response.
    pub(crate) fn raw_request(&self, prompt: &str, max_tokens: u32) -> io::Result<Vec<u8>> {
        let body = serde_json::to_vec(&request(prompt, max_tokens))?;
        let mut bytes = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {KEY}\r\n\
             Content-Length: {}\r\n\r\n",
            self.address,
            body.len()
        )
        .into_bytes();
        bytes.extend(body);
        Ok(bytes)
    }
}

fn request(prompt: &str, max_tokens: u32) -> Generate {
    let message = Message {
        content: prompt.to_owned(),
        role: "user".to_owned(),
    };
    Generate {
        max_tokens,
        messages: vec![message],
        model: MODEL.into(),
        stream: true,
        ..Generate::default()
    }
}
