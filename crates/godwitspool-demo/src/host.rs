//! A host: an entry and a steward.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Mutex, PoisonError, atomic::AtomicBool},
    time::Duration,
};

use godwitspool_connection::platform::HostEntry;
use godwitspool_entry::Entry;
use godwitspool_fakes::Relay;
use godwitspool_process::{EntrySettings, StewardSettings};
use godwitspool_steward::Steward;
use godwitspool_types::{Dc, HostName, Millis};
use snafu::ResultExt;

use crate::{DemoError, error::StartSnafu};

/// Port of the entry's listener for callers, behind the relay.
const BACKEND_PORT: u16 = 7_006;
/// Port that callers connect to. A relay forwards the connections to [`BACKEND_PORT`].
const CALLERS_PORT: u16 = 7_003;
const ENTRY_PORT: u16 = 7_001;
const ENTRY_OPERATORS_PORT: u16 = 7_004;
const STEWARD_PORT: u16 = 7_002;
const STEWARD_OPERATORS_PORT: u16 = 7_005;
/// Duration of the stewards' leases.
const LEASE_TERM: Millis = Millis(1_500);
/// Length of the windows of usage reports.
const USAGE_WINDOW: Millis = Millis(2_000);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Identity and addresses of a host.
#[derive(Clone, Debug)]
pub(crate) struct HostConfig {
    /// IP address that all listeners of the host bind.
    pub(crate) address: IpAddr,
    pub(crate) dc: Dc,
    pub(crate) host: HostName,
    /// Address of the platform for this data centre.
    pub(crate) platform: SocketAddr,
}

impl HostConfig {
    /// Returns the address that callers connect to.
    pub(crate) fn callers_address(&self) -> SocketAddr {
        self.socket_address(CALLERS_PORT)
    }

    /// Returns the host's entry for the platform's host list, with `address` as its address.
    pub(crate) fn to_host_entry(&self, address: IpAddr) -> HostEntry {
        HostEntry {
            address,
            dc: self.dc.clone(),
            entry_port: ENTRY_PORT,
            host: self.host.clone(),
            leaving: false,
            steward_port: STEWARD_PORT,
        }
    }

    /// Returns the ports on which hosts communicate with each other.
    pub(crate) fn peer_ports() -> [u16; 2] {
        [ENTRY_PORT, STEWARD_PORT]
    }

    fn socket_address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.address, port)
    }

    fn start_entry(&self) -> Result<Entry, DemoError> {
        let settings = EntrySettings::default()
            .with_host(self.host.clone(), self.dc.clone())
            .with_callers(self.socket_address(BACKEND_PORT))
            .with_operators(self.socket_address(ENTRY_OPERATORS_PORT))
            .with_peers(self.socket_address(ENTRY_PORT))
            .with_steward(self.socket_address(STEWARD_PORT));
        Entry::start(settings).context(StartSnafu { component: "entry" })
    }

    fn start_steward(&self) -> Result<Steward, DemoError> {
        let settings = StewardSettings::default()
            .with_host(self.host.clone(), self.dc.clone())
            .with_steward(self.socket_address(STEWARD_PORT))
            .with_operators(self.socket_address(STEWARD_OPERATORS_PORT))
            .with_entry(self.socket_address(ENTRY_PORT))
            .with_platform(format!("http://{}", self.platform))
            .with_term(LEASE_TERM)
            .with_window(USAGE_WINDOW);
        Steward::start(settings).context(StartSnafu {
            component: "steward",
        })
    }
}

/// A running host.
#[derive(Debug)]
pub(crate) struct Host {
    entry: Mutex<Option<Entry>>,
    /// Forwards callers' connections to the entry. Taking the relay down closes the connections, as
    /// the end of the entry's process would.
    callers_relay: Relay,
    pub(crate) config: HostConfig,
    steward: Mutex<Option<Steward>>,
}

impl Host {
    pub(crate) fn start(config: HostConfig) -> Result<Self, DemoError> {
        let steward = config.start_steward()?;
        let entry = config.start_entry()?;
        let callers_relay = Relay::start(
            config.callers_address(),
            config.socket_address(BACKEND_PORT),
        );
        let callers_relay = callers_relay.context(StartSnafu {
            component: "callers relay",
        })?;
        let (entry, steward) = (Mutex::new(Some(entry)), Mutex::new(Some(steward)));
        Ok(Self {
            entry,
            callers_relay,
            config,
            steward,
        })
    }

    /// Returns whether the host can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let entry = self.entry.lock().unwrap_or_else(PoisonError::into_inner);
        entry.as_ref().is_some_and(Entry::ready)
    }

    /// Drains the entry and starts a new one. Returns the number of requests still in progress when
    /// the drain ended.
    pub(crate) fn restart_entry(&self) -> Result<usize, DemoError> {
        let mut entry = self.entry.lock().unwrap_or_else(PoisonError::into_inner);
        let interrupted = AtomicBool::new(false);
        let cut = entry
            .take()
            .map_or(0, |entry| entry.drain(DRAIN_TIMEOUT, &interrupted));
        self.callers_relay.set_down(true);
        *entry = Some(self.config.start_entry()?);
        self.callers_relay.set_down(false);
        Ok(cut)
    }

    /// Stops the entry and the steward.
    pub(crate) fn stop(&self) {
        self.entry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        self.steward
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
    }
}
