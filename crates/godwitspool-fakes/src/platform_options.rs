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
    /// Appends that the log takes a second.
    pub append_rate: u32,
    /// Classes of targets that can be ordered.
    pub classes: Vec<ClassOptions>,
    /// Hosts of the system at the start.
    pub hosts: Vec<HostEntry>,
    /// Age of the host and target lists, in milliseconds.
    pub lag_ms: u64,
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Records that the log keeps.
    pub retention: usize,
    /// Size of a model's weights, in bytes.
    pub weight_bytes: usize,
    /// Downloads that the weight store allows a second.
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
    /// Targets that each data centre has at most.
    pub available: BTreeMap<Dc, u32>,
    /// Name.
    pub class: ClassName,
    /// Whether the orders interface refuses an old term for this class.
    pub fencing: bool,
    /// Targets that run from the start.
    pub initial: BTreeMap<Dc, u32>,
    /// What a target is.
    pub kind: TargetKind,
    /// Whether the class can be reclaimed.
    pub reclaimable: bool,
    /// Time after which a crashed target serves again, in milliseconds.
    pub restart_ms: u64,
    /// Service that the targets run.
    pub service: ServiceName,
    /// Time from order to serving, in milliseconds.
    pub start_ms: u64,
    /// Time from the order to stop to the end, in milliseconds.
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

/// What a target is. Name and address of the options are the platform's to fill in.
#[derive(Clone, Debug)]
pub enum TargetKind {
    /// A model engine.
    Engine(EngineOptions),
    /// A plain service.
    Plain(PlainOptions),
}
