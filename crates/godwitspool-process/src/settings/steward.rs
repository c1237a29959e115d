//! Settings of the steward daemon.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
};

use godwitspool_types::{Dc, HostName, Millis};

use super::{LogFormat, parse_tree, read_file, read_log};
use crate::{
    Findings,
    yaml::{Fields, Node, Value},
};

/// Settings of the steward daemon.
///
/// ```
/// use godwitspool_process::StewardSettings;
///
/// let text = "
/// host: nyarugenge-1
/// dc: nyarugenge
/// steward: 127.0.0.1:8090
/// operators: 127.0.0.1:8091
/// entry: 127.0.0.1:8082
/// platform: http://127.0.0.1:9000
/// term: 3s
/// ";
/// let settings = StewardSettings::parse("steward.yaml", text).unwrap();
/// assert_eq!(settings.term.0, 3_000);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StewardSettings {
    /// Data centre of the host.
    pub dc: Dc,
    /// Limit on the time of a graceful shutdown, 10 s by default.
    pub drain: Millis,
    /// Limit on the drift between the clocks of two hosts, in parts per thousand: 0 to 500, 10 by
    /// default.
    pub drift_permille: u32,
    /// Address of the host's entry for other entries, TCP.
    pub entry: SocketAddr,
    /// Name of the host on which the steward runs.
    pub host: HostName,
    /// Format of log lines, `key-value` by default.
    pub log: LogFormat,
    /// Listening address for operators, HTTP.
    pub operators: SocketAddr,
    /// Hosts known at the start, in addition to the platform's list.
    pub peers: Vec<PeerSettings>,
    /// Base URL of the platform, without a trailing slash.
    pub platform: String,
    /// Listening address for entries and other stewards: TCP calls and UDP gossip.
    pub steward: SocketAddr,
    /// Term of a lease: 200 ms to 1 min, 3 s by default.
    pub term: Millis,
    /// Length of a usage window: 1 s to 1 day, 1 min by default.
    pub window: Millis,
}

/// A host known at the start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Data centre of the host.
    pub dc: Dc,
    /// Address of the host's entry for other entries, TCP.
    pub entry: SocketAddr,
    /// Name of the host; each host may be listed once.
    pub host: HostName,
    /// Address of the host's steward: TCP calls and UDP gossip.
    pub steward: SocketAddr,
}

impl Default for StewardSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            dc: Dc::default(),
            drain: Millis(10_000),
            drift_permille: 10,
            entry: any_port,
            host: HostName::default(),
            log: LogFormat::default(),
            operators: any_port,
            peers: Vec::new(),
            platform: String::new(),
            steward: any_port,
            term: Millis(3_000),
            window: Millis(60_000),
        }
    }
}

impl StewardSettings {
    /// Loads a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings in the file, or one if it can't be read.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Findings> {
        let path = path.as_ref();
        Self::parse(&path.display().to_string(), &read_file(path)?)
    }

    /// Parses settings; `file` is the name used in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let node = parse_tree(file, text)?;
        let mut fields = Fields::open(&node);
        let settings = Self::read(&mut fields);
        Findings::from(fields.finish()).into_result(settings)
    }

    fn read(fields: &mut Fields<'_>) -> Self {
        let default = Self::default();
        let host = fields.name("host").map(HostName::from);
        let dc = fields.name("dc").map(Dc::from);
        let steward = fields.address("steward");
        let operators = fields.address("operators");
        let entry = fields.address("entry");
        let platform = read_platform(fields);
        Self {
            host: fields.require("host", host).unwrap_or_default(),
            dc: fields.require("dc", dc).unwrap_or_default(),
            steward: fields
                .require("steward", steward)
                .unwrap_or(default.steward),
            operators: fields
                .require("operators", operators)
                .unwrap_or(default.operators),
            entry: fields.require("entry", entry).unwrap_or(default.entry),
            platform: fields.require("platform", platform).unwrap_or_default(),
            peers: read_peers(fields),
            log: read_log(fields).unwrap_or(default.log),
            drain: fields.duration("drain").unwrap_or(default.drain),
            drift_permille: fields
                .count("drift_permille", 0, 500)
                .unwrap_or(default.drift_permille),
            term: read_duration_within(fields, "term", MIN_TERM, MAX_TERM).unwrap_or(default.term),
            window: read_duration_within(fields, "window", MIN_WINDOW, MAX_WINDOW)
                .unwrap_or(default.window),
        }
    }

    /// Sets the host and its data centre.
    pub fn with_host(mut self, host: impl Into<HostName>, dc: impl Into<Dc>) -> Self {
        self.host = host.into();
        self.dc = dc.into();
        self
    }

    /// Sets the listening address for entries and other stewards.
    pub fn with_steward(mut self, steward: SocketAddr) -> Self {
        self.steward = steward;
        self
    }

    /// Sets the listening address for operators.
    pub fn with_operators(mut self, operators: SocketAddr) -> Self {
        self.operators = operators;
        self
    }

    /// Sets the address of the host's entry.
    pub fn with_entry(mut self, entry: SocketAddr) -> Self {
        self.entry = entry;
        self
    }

    /// Sets the platform's base URL.
    pub fn with_platform(mut self, platform: impl Into<String>) -> Self {
        self.platform = platform.into();
        self
    }

    /// Sets the hosts known at the start.
    pub fn with_peers(mut self, peers: Vec<PeerSettings>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the term of a lease.
    pub fn with_term(mut self, term: Millis) -> Self {
        self.term = term;
        self
    }

    /// Sets the length of a usage window.
    pub fn with_window(mut self, window: Millis) -> Self {
        self.window = window;
        self
    }
}

const MIN_TERM: Millis = Millis(200);
const MAX_TERM: Millis = Millis(60_000);
const MIN_WINDOW: Millis = Millis(1_000);
const MAX_WINDOW: Millis = Millis(86_400_000);

fn read_duration_within(
    fields: &mut Fields<'_>,
    key: &'static str,
    min: Millis,
    max: Millis,
) -> Option<Millis> {
    let place = fields.entry(key)?.node.place.clone();
    let span = fields.duration(key)?;
    if (min..=max).contains(&span) {
        return Some(span);
    }
    let message = format!("{key} is {span}, expected {min} to {max}");
    fields.report(&place, message);
    None
}

fn read_platform(fields: &mut Fields<'_>) -> Option<String> {
    let expected = "a base URL by IP number, such as http://10.0.0.9:9000";
    fields.read("platform", expected, |value| match value {
        Value::Text(text) => text
            .strip_prefix("http://")
            .and_then(|rest| rest.trim_end_matches('/').parse::<SocketAddr>().ok())
            .map(|_| text.trim_end_matches('/').to_owned()),
        _ => None,
    })
}

fn read_peers(fields: &mut Fields<'_>) -> Vec<PeerSettings> {
    let mut peers: Vec<PeerSettings> = Vec::new();
    for node in fields.list("peers") {
        let Some(peer) = read_peer(fields, node) else {
            continue;
        };
        if peers.iter().any(|other| other.host == peer.host) {
            let message = format!("host {} is listed twice among the peers", peer.host);
            fields.report(&node.place, message);
        }
        peers.push(peer);
    }
    peers
}

fn read_peer(parent: &mut Fields<'_>, node: &Node) -> Option<PeerSettings> {
    let mut fields = Fields::open(node);
    let host = fields.name("host").map(HostName::from);
    let host = fields.require("host", host);
    let dc = fields.name("dc").map(Dc::from);
    let dc = fields.require("dc", dc);
    let entry = fields.address("entry");
    let entry = fields.require("entry", entry);
    let steward = fields.address("steward");
    let steward = fields.require("steward", steward);
    parent.extend(fields.finish());
    Some(PeerSettings {
        dc: dc?,
        entry: entry?,
        host: host?,
        steward: steward?,
    })
}
