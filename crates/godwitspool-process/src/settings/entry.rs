//! Settings of the entry daemon.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
};

use godwitspool_types::{Dc, HostName, Millis};

use super::{LogFormat, parse_tree, read_file, read_log};
use crate::{Findings, yaml::Fields};

const MIB: u32 = 1 << 20;

/// Settings of the entry daemon.
///
/// ```
/// use godwitspool_process::EntrySettings;
///
/// let text = "
/// host: nyarugenge-1
/// dc: nyarugenge
/// callers: 127.0.0.1:8080
/// operators: 127.0.0.1:8081
/// peers: 127.0.0.1:8082
/// steward: 127.0.0.1:8090
/// drain: 30s
/// ";
/// let settings = EntrySettings::parse("entry.yaml", text).unwrap();
/// assert_eq!(settings.dc.as_str(), "nyarugenge");
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Limit on the body of a request, in bytes: 1 KiB to 64 MiB, 8 MiB by default.
    pub body_bytes: u32,
    /// Listening address for callers and trainers, HTTP.
    pub callers: SocketAddr,
    /// Data centre of the host.
    pub dc: Dc,
    /// Limit on the time of a graceful shutdown, 30 s by default.
    pub drain: Millis,
    /// Limit on the headers of a request, in bytes: 1 KiB to 1 MiB, 32 KiB by default.
    pub header_bytes: u32,
    /// Name of the host on which the entry runs.
    pub host: HostName,
    /// Format of log lines, `key-value` by default.
    pub log: LogFormat,
    /// Listening address for operators, HTTP.
    pub operators: SocketAddr,
    /// Listening address for other entries, TCP.
    pub peers: SocketAddr,
    /// Address of the host's steward, TCP.
    pub steward: SocketAddr,
}

impl Default for EntrySettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            body_bytes: 8 * MIB,
            callers: any_port,
            dc: Dc::default(),
            drain: Millis(30_000),
            header_bytes: 32 << 10,
            host: HostName::default(),
            log: LogFormat::default(),
            operators: any_port,
            peers: any_port,
            steward: any_port,
        }
    }
}

impl EntrySettings {
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
        let callers = fields.address("callers");
        let operators = fields.address("operators");
        let peers = fields.address("peers");
        let steward = fields.address("steward");
        Self {
            host: fields.require("host", host).unwrap_or_default(),
            dc: fields.require("dc", dc).unwrap_or_default(),
            callers: fields
                .require("callers", callers)
                .unwrap_or(default.callers),
            operators: fields
                .require("operators", operators)
                .unwrap_or(default.operators),
            peers: fields.require("peers", peers).unwrap_or(default.peers),
            steward: fields
                .require("steward", steward)
                .unwrap_or(default.steward),
            log: read_log(fields).unwrap_or(default.log),
            drain: fields.duration("drain").unwrap_or(default.drain),
            body_bytes: fields
                .count("body_bytes", 1_024, 64 * MIB)
                .unwrap_or(default.body_bytes),
            header_bytes: fields
                .count("header_bytes", 1_024, MIB)
                .unwrap_or(default.header_bytes),
        }
    }

    /// Sets the host and its data centre.
    pub fn with_host(mut self, host: impl Into<HostName>, dc: impl Into<Dc>) -> Self {
        self.host = host.into();
        self.dc = dc.into();
        self
    }

    /// Sets the listening address for callers and trainers.
    pub fn with_callers(mut self, callers: SocketAddr) -> Self {
        self.callers = callers;
        self
    }

    /// Sets the listening address for operators.
    pub fn with_operators(mut self, operators: SocketAddr) -> Self {
        self.operators = operators;
        self
    }

    /// Sets the listening address for other entries.
    pub fn with_peers(mut self, peers: SocketAddr) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the address of the host's steward.
    pub fn with_steward(mut self, steward: SocketAddr) -> Self {
        self.steward = steward;
        self
    }

    /// Sets the limit on the time of a graceful shutdown.
    pub fn with_drain(mut self, drain: Millis) -> Self {
        self.drain = drain;
        self
    }

    /// Sets the limit on the body of a request, in bytes.
    pub fn with_body_bytes(mut self, body_bytes: u32) -> Self {
        self.body_bytes = body_bytes;
        self
    }
}
