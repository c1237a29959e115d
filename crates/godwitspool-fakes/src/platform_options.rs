//! Options of the platform.

use std::{collections::BTreeMap, net::SocketAddr};

use godwitspool_connection::platform::HostEntry;
use godwitspool_types::{ClassName, Dc, ServiceName};

use crate::{engine_options::EngineOptions, plain_service::PlainOptions};

/// Options of a [`Platform`](crate::Platform).
///
/// ```
/// use godwitspool_fakes::PlatformOptions;
///
/// let options = PlatformOptions { append_rate: 50, ..PlatformOptions::default() };
/// assert!(options.classes.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Maximum number of appends per second; further ones get status 429.
    pub append_rate: u32,
    /// Classes of targets that can be ordered.
    pub classes: Vec<ClassOptions>,
    /// Initial host list.
    pub hosts: Vec<HostEntry>,
    /// Delay until readers see a change of the host or target list, in milliseconds.
    pub lag_ms: u64,
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Maximum number of records that the log retains.
    pub retention: usize,
    /// Size of a model's weights, in bytes.
    pub weight_bytes: usize,
    /// Maximum number of weight downloads per second; further ones get status 429.
    pub weight_rate: u32,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            append_rate: 300,
            classes: Vec::new(),
            hosts: Vec::new(),
            lag_ms: 500,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            retention: 100_000,
            weight_bytes: 64 << 10,
            weight_rate: 100,
        }
    }
}

/// A class of targets.
#[derive(Clone, Debug)]
pub struct ClassOptions {
    /// Maximum number of targets by data centre, applied to start orders; 0 for one without an entry.
    pub available: BTreeMap<Dc, u32>,
    /// Name of the class.
    pub class: ClassName,
    /// Whether target orders, and the engines of the class, refuse a term below the highest seen.
    pub fencing: bool,
    /// Number of targets to start with, by data centre.
    pub initial: BTreeMap<Dc, u32>,
    /// Kind of the targets and their options.
    pub kind: TargetKind,
    /// Whether [`Platform::reclaim`](crate::Platform::reclaim) applies to the class.
    pub reclaimable: bool,
    /// Time after which a crashed target is restarted, in milliseconds.
    pub restart_ms: u64,
    /// Service that the targets run.
    pub service: ServiceName,
    /// Time from a start order until the target serves, in milliseconds.
    pub start_ms: u64,
    /// Time from a stop order until the target ends, in milliseconds.
    pub stop_ms: u64,
}

impl Default for ClassOptions {
    fn default() -> Self {
        Self {
            available: BTreeMap::new(),
            class: ClassName::default(),
            fencing: true,
            initial: BTreeMap::new(),
            kind: TargetKind::Engine(EngineOptions::default()),
            reclaimable: false,
            restart_ms: 1_000,
            service: ServiceName::default(),
            start_ms: 500,
            stop_ms: 5_000,
        }
    }
}

/// Kind of a target. The platform overrides the name in the options, and the fencing of engines.
#[derive(Clone, Debug)]
pub enum TargetKind {
    /// A model engine.
    Engine(EngineOptions),
    /// A plain service.
    Plain(PlainOptions),
}
