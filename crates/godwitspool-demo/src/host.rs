//! A host of the system: an entry and a steward.

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

const BEHIND_PORT: u16 = 7_006;
const CALLERS_PORT: u16 = 7_003;
const ENTRY_PORT: u16 = 7_001;
const ENTRY_OPERATORS_PORT: u16 = 7_004;
const STEWARD_PORT: u16 = 7_002;
const STEWARD_OPERATORS_PORT: u16 = 7_005;
const TERM: Millis = Millis(1_500);
const WINDOW: Millis = Millis(2_000);
const DRAIN: Duration = Duration::from_secs(20);

/// Where a host runs.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    /// Address.
    pub(crate) address: IpAddr,
    /// Data centre.
    pub(crate) dc: Dc,
    /// Name.
    pub(crate) host: HostName,
    /// Address of the platform as the data centre sees it.
    pub(crate) platform: SocketAddr,
}

impl Place {
    /// Returns the address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.at(CALLERS_PORT)
    }

    /// Returns the host as the platform lists it.
    pub(crate) fn listed(&self, address: IpAddr) -> HostEntry {
        HostEntry {
            address,
            dc: self.dc.clone(),
            entry_port: ENTRY_PORT,
            host: self.host.clone(),
            leaving: false,
            steward_port: STEWARD_PORT,
        }
    }

    /// Returns the ports on which hosts talk to hosts.
    pub(crate) fn peer_ports() -> [u16; 2] {
        [ENTRY_PORT, STEWARD_PORT]
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.address, port)
    }

    fn start_entry(&self) -> Result<Entry, DemoError> {
        let settings = EntrySettings::default()
            .with_host(self.host.clone(), self.dc.clone())
            .with_callers(self.at(BEHIND_PORT))
            .with_operators(self.at(ENTRY_OPERATORS_PORT))
            .with_peers(self.at(ENTRY_PORT))
            .with_steward(self.at(STEWARD_PORT));
        Entry::start(settings).context(StartSnafu { part: "entry" })
    }

    fn start_steward(&self) -> Result<Steward, DemoError> {
        let settings = StewardSettings::default()
            .with_host(self.host.clone(), self.dc.clone())
            .with_steward(self.at(STEWARD_PORT))
            .with_operators(self.at(STEWARD_OPERATORS_PORT))
            .with_entry(self.at(ENTRY_PORT))
            .with_platform(format!("http://{}", self.platform))
            .with_term(TERM)
            .with_window(WINDOW);
        Steward::start(settings).context(StartSnafu { part: "steward" })
    }
}

/// A running host.
#[derive(Debug)]
pub(crate) struct Host {
    entry: Mutex<Option<Entry>>,
    /// Carries callers' connections, which end with the entry as they would with its process.
    front: Relay,
    /// Where it runs.
    pub(crate) place: Place,
    steward: Mutex<Option<Steward>>,
}

impl Host {
    pub(crate) fn start(place: Place) -> Result<Self, DemoError> {
        let steward = place.start_steward()?;
        let entry = place.start_entry()?;
        let front = Relay::start(place.callers(), place.at(BEHIND_PORT));
        let front = front.context(StartSnafu { part: "front" })?;
        let (entry, steward) = (Mutex::new(Some(entry)), Mutex::new(Some(steward)));
        Ok(Self {
            entry,
            front,
            place,
            steward,
        })
    }

    /// Returns whether callers can be sent to it.
    pub(crate) fn is_ready(&self) -> bool {
        let entry = self.entry.lock().unwrap_or_else(PoisonError::into_inner);
        entry.as_ref().is_some_and(Entry::ready)
    }

    /// Drains the entry and starts it again; returns how many requests the drain cut.
    pub(crate) fn restart_entry(&self) -> Result<usize, DemoError> {
        let mut entry = self.entry.lock().unwrap_or_else(PoisonError::into_inner);
        let hurry = AtomicBool::new(false);
        let cut = entry.take().map_or(0, |entry| entry.drain(DRAIN, &hurry));
        self.front.set_down(true);
        *entry = Some(self.place.start_entry()?);
        self.front.set_down(false);
        Ok(cut)
    }

    /// Stops entry and steward.
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
