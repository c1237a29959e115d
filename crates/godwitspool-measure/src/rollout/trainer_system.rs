//! Hosts, a fake platform with fake engines, and a trainer client, over real sockets.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::platform::HostEntry;
use godwitspool_entry::Entry;
use godwitspool_fakes::{ClassOptions, Platform, PlatformOptions};
use godwitspool_process::{EntrySettings, StewardSettings};
use godwitspool_rollout::rank_hosts;
use godwitspool_steward::Steward;
use godwitspool_types::{Dc, HostName, Key, Millis, TrainerName};
use godwitspool_version::{
    ClassRules, Configuration, ConfigurationChange, DcRules, KeyRule, Publish, Record, RecordBody,
    ServiceKind, ServiceRules, TrainerRules, WorkspaceRules,
};
use serde_json::{Value, json};
use ureq::Agent;

const RETRY_TIMEOUT: Duration = Duration::from_mins(1);
const DCS: [&str; 2] = ["north", "south"];
const KEY: &str = "trainer-key";
const MAX_TOKENS: u32 = 48;
const SERVICE: &str = "party/chat";
const TRAINER: &str = "party/motifs";

/// Hosts and engines in two data centres. The engines of the second one are reclaimable.
pub(super) struct TrainerSystem {
    hosts: Vec<(HostEntry, Entry, Steward)>,
    pub(super) platform: Platform,
}

impl TrainerSystem {
    pub(super) fn start(hosts: usize, engines: u32) -> io::Result<Self> {
        let platform = start_platform(engines)?;
        let mut system = Self {
            hosts: Vec::new(),
            platform,
        };
        for host in 0..hosts {
            system.add_host(&format!("h{host}"), DCS[host % DCS.len()])?;
        }
        system.publish_host_list();
        thread::sleep(Duration::from_secs(3));
        Ok(system)
    }

    fn add_host(&mut self, name: &str, dc: &str) -> io::Result<()> {
        let peers = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        let settings = StewardSettings::default()
            .with_host(name, dc)
            .with_entry(peers)
            .with_platform(format!("http://{}", self.platform.address()))
            .with_term(Millis(2_000));
        let steward = Steward::start(settings)?;
        let settings = EntrySettings::default()
            .with_host(name, dc)
            .with_peers(peers)
            .with_steward(steward.address());
        let entry = Entry::start(settings)?;
        let listed = HostEntry {
            address: Ipv4Addr::LOCALHOST.into(),
            dc: dc.into(),
            entry_port: peers.port(),
            host: name.into(),
            leaving: false,
            steward_port: steward.address().port(),
        };
        self.hosts.push((listed, entry, steward));
        Ok(())
    }

    fn publish_host_list(&self) {
        let listed = self.hosts.iter().map(|(listed, ..)| listed.clone());
        self.platform.set_hosts(listed.collect());
    }

    /// Kills the host that is home of the trainer's steps without announcing it to the others, and
    /// removes it from the platform's host list.
    pub(super) fn kill_home(&mut self) {
        let names = self.hosts.iter().map(|(listed, ..)| listed.host.clone());
        let ranked: Vec<HostName> = rank_hosts(&TrainerName::from(TRAINER), names);
        self.hosts
            .retain(|(listed, ..)| Some(&listed.host) != ranked.first());
        self.publish_host_list();
    }

    pub(super) fn submit(&self, step: u64, groups: u32, samples: u32) -> io::Result<()> {
        let specs = (0..groups).map(|group| {
            json!({ "group": group, "samples": samples, "max_tokens": MAX_TOKENS,
                "messages": [{ "role": "user", "content": format!("step {step}, group {group}") }] })
        });
        let specs: Vec<_> = specs.collect();
        let body = json!({ "groups": specs, "total": groups });
        self.retry_on_hosts(|address| post(address, &format!("{step}/groups"), &body))
            .map(drop)
    }

    pub(super) fn fetch(&self, step: u64) -> io::Result<Value> {
        self.retry_on_hosts(|address| get(address, &format!("{step}/batch?wait_ms=2000")))
    }

    pub(super) fn acknowledge(&self, step: u64, batch: &Value) -> io::Result<()> {
        let body = json!({ "digest": batch["digest"] });
        self.retry_on_hosts(|address| post(address, &format!("{step}/ack"), &body))
            .map(drop)
    }

    /// Sends a request to one host after the other until one responds with status 200.
    fn retry_on_hosts(&self, send: impl Fn(SocketAddr) -> Option<Value>) -> io::Result<Value> {
        let end = Instant::now() + RETRY_TIMEOUT;
        while Instant::now() < end {
            for (_, entry, _) in &self.hosts {
                if let Some(answer) = send(entry.address()) {
                    return Ok(answer);
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(io::Error::other(
            "timed out: no host answered the trainer with status 200",
        ))
    }
}

fn start_platform(engines: u32) -> io::Result<Platform> {
    let class = |dc: &str, reclaimable| ClassOptions {
        available: BTreeMap::from([(Dc::from(dc), engines)]),
        class: dc.into(),
        initial: BTreeMap::from([(Dc::from(dc), engines)]),
        reclaimable,
        service: SERVICE.into(),
        ..ClassOptions::default()
    };
    let platform = Platform::start(PlatformOptions {
        classes: vec![class(DCS[0], false), class(DCS[1], true)],
        ..PlatformOptions::default()
    })?;
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
        idempotent: true,
        kind: ServiceKind::Engine,
        model: "model".into(),
        ..ServiceRules::default()
    };
    let trainer = TrainerRules {
        service: SERVICE.into(),
        workspace: "acme".into(),
        ..TrainerRules::default()
    };
    let workspace = WorkspaceRules {
        keys: vec![KeyRule {
            digest: Key::from(KEY).digest(),
            withdrawn: false,
        }],
        ..WorkspaceRules::default()
    };
    let mut configuration = Configuration {
        services: BTreeMap::from([(SERVICE.into(), service)]),
        trainers: BTreeMap::from([(TRAINER.into(), trainer)]),
        weights: BTreeMap::from([("model".into(), "v1".into())]),
        workspaces: BTreeMap::from([("acme".into(), workspace)]),
        ..Configuration::default()
    };
    for name in DCS {
        let class = ClassRules {
            service: SERVICE.into(),
            ..ClassRules::default()
        };
        configuration.classes.insert(name.into(), class);
        let bounds = BTreeMap::from([(name.into(), engines)]);
        let dc = DcRules {
            ceiling: bounds.clone(),
            floor: bounds,
            ..DcRules::default()
        };
        configuration.dcs.insert(name.into(), dc);
    }
    configuration
}

fn new_agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(5)));
    Agent::new_with_config(config.build())
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}/v1/trainers/motifs/steps/{path}")
}

fn post(address: SocketAddr, path: &str, body: &Value) -> Option<Value> {
    let request = new_agent().post(url(address, path));
    let request = request.header("Authorization", format!("Bearer {KEY}"));
    parse_success(request.send_json(body).ok()?)
}

fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let request = new_agent().get(url(address, path));
    let request = request.header("Authorization", format!("Bearer {KEY}"));
    parse_success(request.call().ok()?)
}

fn parse_success(mut response: ureq::http::Response<ureq::Body>) -> Option<Value> {
    let text = response.body_mut().read_to_string().ok()?;
    let is_ok = response.status().as_u16() == 200;
    is_ok.then(|| serde_json::from_str(&text).ok()).flatten()
}
