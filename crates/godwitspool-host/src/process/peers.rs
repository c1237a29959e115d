use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use godwitspool_types::Millis;

use super::Shared;
use crate::{
    http::{CallError, Exchange, Request, Response},
    store::{Holding, Store, Topic},
};

/// Age after which the list of holders is asked for anew when it is used.
const AGE_MAX: Millis = Millis(5_000);
/// Least time between two such questions, so that a failing peer doesn't multiply calls.
const AGE_MIN: Millis = Millis(250);

/// Other hosts, and which of them owns what.
#[derive(Debug, Default)]
pub struct Peers(Mutex<Known>);

#[derive(Debug, Default)]
struct Known {
    asked: Option<Millis>,
    holdings: Vec<Holding>,
    suspect: bool,
}

impl Peers {
    fn lock(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the list asked for anew before it is used again.
    pub fn suspect(&self) {
        self.lock().suspect = true;
    }

    /// Returns the address of the host that holds a partition; `None` if it isn't known or is this
    /// host.
    pub fn holder(&self, shared: &Shared, topic: Topic, part: u32) -> Option<SocketAddr> {
        self.refresh(shared);
        let known = self.lock();
        let mut holdings = known.holdings.iter();
        let holding = holdings.find(|holding| holding.topic == topic && holding.part == part)?;
        let address = address(&holding.member)?;
        (address != shared.settings.peer).then_some(address)
    }

    /// Returns the addresses of the other hosts that hold a partition.
    pub fn holders(&self, shared: &Shared) -> Vec<SocketAddr> {
        self.refresh(shared);
        let known = self.lock();
        let held = known
            .holdings
            .iter()
            .filter_map(|holding| address(&holding.member));
        let mut addresses: Vec<SocketAddr> = held
            .filter(|address| *address != shared.settings.peer)
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Asks for the list if it is due.
    pub fn refresh(&self, shared: &Shared) {
        let now = shared.clock.now();
        let mut known = self.lock();
        let age = known.asked.map(|asked| now - asked);
        let due = match age {
            None => true,
            Some(age) => age >= AGE_MAX || (known.suspect && age >= AGE_MIN),
        };
        if !due {
            return;
        }
        known.asked = Some(now);
        drop(known);
        match shared.store.holdings() {
            Ok(holdings) => {
                let mut known = self.lock();
                known.holdings = holdings;
                known.suspect = false;
            }
            Err(error) => log::info!(error:%; "holders of partitions unknown, older list used"),
        }
    }
}

/// Returns where a member of the hosts' group is reached.
pub fn address(member: &str) -> Option<SocketAddr> {
    member.split('#').next()?.parse().ok()
}

/// Sends a request to another host.
///
/// # Errors
///
/// When no whole answer comes in time.
pub fn call(
    shared: &Shared,
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> Result<Response, CallError> {
    let mut request = request.clone();
    request.headers.remove_hop_by_hop();
    Exchange::call(&shared.pool, address, &request, timeout)
}
