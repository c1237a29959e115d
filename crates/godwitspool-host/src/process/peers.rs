use std::{net::SocketAddr, sync::PoisonError, time::Duration};

use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::Millis;
use rapidhash::v3::rapidhash_v3;

use super::Shared;
use crate::{
    http::{CallError, Exchange, Request, Reservation, Response},
    store::{Holding, Store, Topic},
};

/// Age after which the list of holders is refreshed when it is used.
const MAX_AGE: Millis = Millis(5_000);
/// Minimum interval between two refreshes, so that a failing peer doesn't cause a flood of calls.
const MIN_REFRESH_INTERVAL: Millis = Millis(250);

/// Cached list of which host holds which partition.
#[derive(Debug, Default)]
pub struct Peers(Mutex<HoldingsCache>);

#[derive(Debug, Default)]
struct HoldingsCache {
    /// When the list was last requested.
    requested_at: Option<Millis>,
    holdings: Vec<Holding>,
    /// Addresses of the other hosts in the list, each once.
    others: Vec<SocketAddr>,
    /// Whether this host is in the list.
    includes_own: bool,
    /// Whether the list must be refreshed before its maximum age.
    stale: bool,
}

impl Peers {
    fn lock(&self) -> MutexGuard<'_, HoldingsCache> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks the list as stale, so that it is refreshed before its next use, except within the
    /// minimum interval.
    pub fn mark_stale(&self) {
        self.lock().stale = true;
    }

    /// Returns the address of the host that holds a partition, or `None` if the holder is unknown
    /// or is this host.
    pub fn holder(&self, shared: &Shared, topic: Topic, part: u32) -> Option<SocketAddr> {
        self.refresh(shared);
        let cache = self.lock();
        let mut holdings = cache.holdings.iter();
        let holding = holdings.find(|holding| holding.topic == topic && holding.part == part)?;
        let address = address(&holding.member)?;
        (address != shared.settings.peer).then_some(address)
    }

    /// Returns the addresses of all other hosts that hold at least one partition, as last listed. Never
    /// blocks: the membership's renewal refreshes the list.
    pub fn holders(&self) -> Vec<SocketAddr> {
        self.lock().others.clone()
    }

    /// Returns the number of other hosts that hold at least one partition, as last listed.
    pub fn holder_count(&self) -> usize {
        self.lock().others.len()
    }

    /// Returns the addresses of the hosts that limit the requests to a target, this one included: its
    /// home first, then the one that stands in. All hosts that know the same list agree on them.
    pub fn homes(&self, shared: &Shared, target: &str) -> Vec<SocketAddr> {
        let cache = self.lock();
        let mut homes = cache.others.clone();
        if cache.includes_own {
            homes.push(shared.settings.peer);
        }
        drop(cache);
        let weight = |home: &SocketAddr| rapidhash_v3(format!("{target}@{home}").as_bytes());
        homes.sort_by_cached_key(|home| std::cmp::Reverse(weight(home)));
        homes
    }

    /// Refreshes the list if it is too old or marked as stale.
    pub fn refresh(&self, shared: &Shared) {
        let now = shared.clock.now();
        let cache = self.lock();
        let age = cache.requested_at.map(|requested_at| now - requested_at);
        let due = match age {
            None => true,
            Some(age) => age >= MAX_AGE || (cache.stale && age >= MIN_REFRESH_INTERVAL),
        };
        if !due {
            return;
        }
        drop(cache);
        self.reload(shared);
    }

    /// Refreshes the list whatever its age, and returns it; `None` if the store doesn't return one.
    pub fn reload(&self, shared: &Shared) -> Option<Vec<Holding>> {
        self.lock().requested_at = Some(shared.clock.now());
        match shared.store.holdings() {
            Ok(holdings) => {
                let members = holdings.iter();
                let mut others: Vec<SocketAddr> =
                    members.filter_map(|held| address(&held.member)).collect();
                others.sort_unstable();
                others.dedup();
                let own = shared.settings.peer;
                let mut cache = self.lock();
                cache.includes_own = others.contains(&own);
                others.retain(|other| *other != own);
                cache.others = others;
                cache.holdings.clone_from(&holdings);
                cache.stale = false;
                Some(holdings)
            }
            Err(error) => {
                log::info!(error:%; "can't refresh the list of partition holders");
                None
            }
        }
    }
}

/// Returns the address in a member's name, which has the form `address#incarnation`, with a suffix for
/// standbys.
pub fn address(member: &str) -> Option<SocketAddr> {
    member.split('#').next()?.parse().ok()
}

/// Sends a request to another host and blocks until the response is complete, which takes its memory from
/// `memory`. The fields of the request are those of this connection.
///
/// # Errors
///
/// Returns an error if the exchange fails or no complete response arrives within the timeout.
pub fn call(
    shared: &Shared,
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
    memory: &mut Reservation,
) -> Result<Response, CallError> {
    Exchange::call_within(&shared.pool, address, request, timeout, memory)
}
