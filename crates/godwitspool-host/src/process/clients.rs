//! What clients may make this process use, and the log of those that a limit has ended.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use godwitspool_sync::Mutex;
use godwitspool_types::Millis;

use super::Shared;
use crate::{
    ClientLimits, Resources,
    http::{Limited, Limits, MemoryBudget},
    lease_clock,
};

/// Bytes of each client connection besides the memory budget: its thread's stack, buffers, and what the
/// kernel has received for it.
const CONNECTION_BYTES: u64 = 128 * 1024;
/// Size of the kernel's buffers in each direction as it is set; the kernel doubles it for its own use. At a round
/// trip of 1 ms it still lets a connection carry 512 Mbit/s. With half of it, bodies of 64 KB and more
/// cost more processor time on loopback.
const SOCKET_BUFFER: usize = 64 * 1024;
/// Descriptors of a machine that are reserved for files.
const FILES: u32 = 200;
/// Connections of a port for probes, which come once a second from few places.
const STATUS_CONNECTIONS: usize = 8;
/// Minimum rate of bodies and responses in bytes per second: a quarter of what 192 connections each get
/// of 45 Mbit/s, the slowest link of a host.
const MIN_RATE: u64 = 8 * 1024;
/// Minimum interval between two lines about limits.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Retry delay sent to callers that were refused for a limit: a stalled caller is told from others after
/// a second.
const RETRY_AFTER_LIMIT: Duration = Duration::from_secs(1);

/// Kinds of listeners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Listener {
    /// For callers.
    Front,
    /// For other hosts.
    Peers,
    /// For probes and metrics.
    Status,
}

/// What a listener's clients may use of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientShare {
    /// Bytes of memory for requests and responses.
    pub memory: usize,
    /// Number of open connections.
    pub connections: usize,
    /// Number of open connections from one address.
    pub per_address: usize,
}

impl ClientShare {
    /// Returns what callers may use. Half of the memory is for their requests and responses and a fifth for
    /// their connections; the rest is for the process itself. A quarter of the sockets is theirs, so that
    /// accepting them never starves the store and targets. One address may take three quarters of the
    /// connections, since callers behind one proxy share it.
    ///
    /// ```
    /// use godwitspool_host::{ClientLimits, Resources, process::ClientShare};
    ///
    /// let small = Resources {
    ///     descriptors: Some(3_075),
    ///     memory: Some(120 << 20),
    ///     ..Resources::default()
    /// };
    /// let share = ClientShare::of_callers(&small, &ClientLimits::default());
    /// assert_eq!((share.memory, share.connections), (60 << 20, 192));
    /// let unknown = ClientShare::of_callers(&Resources::default(), &ClientLimits::default());
    /// assert_eq!(unknown.connections, usize::MAX);
    /// ```
    pub fn of_callers(resources: &Resources, limits: &ClientLimits) -> Self {
        let memory = resources.memory.map_or(u64::MAX, |bytes| bytes / 2);
        let by_memory = resources
            .memory
            .map_or(u64::MAX, |bytes| bytes / 5 / CONNECTION_BYTES);
        let by_sockets = sockets(resources).map_or(u64::MAX, |sockets| u64::from(sockets / 4));
        let connections = limits
            .connections
            .map_or(by_memory.min(by_sockets), u64::from);
        let per_address = limits.per_address.map_or(connections / 4 * 3, u64::from);
        Self {
            memory: limits.memory.unwrap_or(memory) as usize,
            connections: connections.max(1) as usize,
            per_address: per_address.max(1) as usize,
        }
    }

    /// Returns what other hosts may use at one port: a tenth of the memory, which holds several appends
    /// of the largest size, and an eighth of the sockets.
    pub fn of_peers(resources: &Resources) -> Self {
        let memory = resources.memory.map_or(u64::MAX, |bytes| bytes / 10);
        let connections = sockets(resources).map_or(u32::MAX, |sockets| sockets / 8);
        Self {
            memory: memory as usize,
            connections: connections.max(1) as usize,
            per_address: connections.max(1) as usize,
        }
    }
}

/// Returns the maximum number of idle connections to targets and other hosts: a quarter of the sockets.
pub(super) fn max_idle_connections(resources: &Resources) -> usize {
    sockets(resources).map_or(usize::MAX, |sockets| sockets as usize / 4)
}

/// Returns the number of descriptors for sockets and pipes.
fn sockets(resources: &Resources) -> Option<u32> {
    let descriptors = resources.descriptors?;
    Some(descriptors.saturating_sub(FILES).max(descriptors / 2))
}

/// Returns the limits of a listener.
pub(super) fn limits(shared: &Arc<Shared>, listener: Listener) -> Limits {
    let settings = &shared.settings;
    let resources = &settings.resources;
    let share = match listener {
        Listener::Front => ClientShare::of_callers(resources, &settings.clients),
        Listener::Status if resources.descriptors.is_some() => ClientShare {
            connections: STATUS_CONNECTIONS,
            per_address: STATUS_CONNECTIONS,
            ..ClientShare::of_peers(resources)
        },
        Listener::Peers | Listener::Status => ClientShare::of_peers(resources),
    };
    // Machines whose limits aren't known serve as before.
    let rate = resources.memory.map_or(0, |_| MIN_RATE);
    let limited = shared.limited.clone();
    let log = LimitLog::default();
    let memory = match listener {
        Listener::Front => Arc::clone(&shared.memory),
        Listener::Peers | Listener::Status => Arc::new(MemoryBudget::new(share.memory)),
    };
    let limits = Limits {
        memory,
        connections: share.connections,
        per_address: share.per_address,
        rate: settings.clients.rate.unwrap_or(rate),
        buffer: resources.memory.map(|_| SOCKET_BUFFER),
        refusal: shared.dialect.refusal(RETRY_AFTER_LIMIT),
        observe: Arc::new(move |limit: Limited| {
            limited.count(limit.as_str());
            log.observe(limit, listener);
        }),
    };
    if resources.memory.is_some() || resources.descriptors.is_some() {
        log::info!(listener:?, limits:?; "limits on clients");
    }
    limits
}

/// Logs connections that limits have ended, one line a second at most.
#[derive(Debug, Default)]
struct LimitLog(Mutex<LimitCount>);

#[derive(Debug, Default)]
struct LimitCount {
    logged_at: Option<Millis>,
    /// Number of connections since the last line.
    unlogged: u64,
}

impl LimitLog {
    fn observe(&self, limit: Limited, listener: Listener) {
        let now = lease_clock();
        let mut count = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        count.unlogged += 1;
        let interval = Millis::from(LINE_INTERVAL);
        if count.logged_at.is_some_and(|last| now - last < interval) {
            return;
        }
        count.logged_at = Some(now);
        let connections = std::mem::take(&mut count.unlogged);
        drop(count);
        log::info!(limit = limit.as_str(), listener:?, connections; "clients limited");
    }
}
