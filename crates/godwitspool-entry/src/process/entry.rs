//! The entry daemon: starts and stops its threads.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use godwitspool_connection::peer::{ServeBounds, Server};
use godwitspool_process::{EntrySettings, OperatorHttp};

use crate::{
    connection::{
        callers::{self, Callers},
        peers,
    },
    process::{operators, shared::Shared, upkeep},
    request::idempotency,
    rollout::dispatch,
    version::feed,
};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// During this part of a drain new requests are still served, since the load balancer keeps sending
/// them until it has seen that the entry isn't ready.
const BALANCER_GRACE: Duration = Duration::from_secs(5);
/// The grace period for the balancer is at most the drain's time divided by this.
const BALANCER_GRACE_DIVISOR: u32 = 3;

/// A running entry daemon. Dropping it stops its threads.
#[derive(Debug)]
pub struct Entry {
    address: SocketAddr,
    callers: Option<Callers>,
    feed: Option<JoinHandle<()>>,
    operators: OperatorHttp,
    peer: SocketAddr,
    peers: Option<Server>,
    rollouts: Option<JoinHandle<()>>,
    shared: Arc<Shared>,
    upkeep: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Binds the addresses of the settings, starts the threads and follows the stewards.
    ///
    /// # Errors
    /// Fails if an address can't be bound or a thread can't be started.
    pub fn start(settings: EntrySettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.callers)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(settings));
        let feed = thread::Builder::new().name("view-feed".to_owned()).spawn({
            let shared = Arc::clone(&shared);
            move || feed::follow(&shared)
        })?;
        let rollouts = thread::Builder::new().name("rollouts".to_owned()).spawn({
            let shared = Arc::clone(&shared);
            move || dispatch::run(&shared)
        })?;
        let operators = operators::serve(&shared)?;
        let upkeep = upkeep::start(&shared)?;
        let callers = callers::listen(listener, Arc::clone(&shared))?;
        let peers = serve_peers(&shared)?;
        Ok(Self {
            address,
            callers: Some(callers),
            feed: Some(feed),
            operators,
            peer: peers.address(),
            peers: Some(peers),
            rollouts: Some(rollouts),
            shared,
            upkeep,
        })
    }

    /// Returns the bound address for callers and trainers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bound address for other entries.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the bound address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns whether the entry has received a view, which it needs to serve requests.
    pub fn ready(&self) -> bool {
        self.shared.view().revision > 0
    }

    /// Drains the entry.
    ///
    /// The entry reports that it isn't ready, and serves new requests for a grace period until the
    /// load balancer has noticed. Then it refuses new requests and waits for those in progress. The
    /// wait ends after `timeout` in all, or as soon as `interrupted` is set. Finally the entry
    /// hands over its idempotency keys to other hosts.
    ///
    /// Returns the number of requests that were still in progress at the end.
    pub fn drain(&self, timeout: Duration, interrupted: &AtomicBool) -> usize {
        self.shared.begin_leaving();
        let end = Instant::now() + timeout;
        let grace_end = Instant::now() + BALANCER_GRACE.min(timeout / BALANCER_GRACE_DIVISOR);
        while Instant::now() < grace_end && !interrupted.load(Ordering::Acquire) {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        self.shared.begin_drain();
        let may_wait = || Instant::now() < end && !interrupted.load(Ordering::Acquire);
        while self.shared.in_progress() > 0 && may_wait() {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        idempotency::hand_over(&self.shared);
        self.shared.in_progress()
    }
}

fn serve_peers(shared: &Arc<Shared>) -> io::Result<Server> {
    let listener = TcpListener::bind(shared.settings.peers)?;
    let shared = Arc::clone(shared);
    let handler = move |message| peers::answer(&shared, message);
    Server::start(listener, ServeBounds::default(), handler)
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.shared.begin_drain();
        self.shared.stop();
        if let Some(peers) = self.peers.take() {
            peers.stop();
        }
        let own = [self.feed.take(), self.rollouts.take()];
        for thread in self.upkeep.drain(..).chain(own.into_iter().flatten()) {
            // The result of a panicked thread isn't needed.
            drop(thread.join());
        }
        // The listener stops last, so that late callers get the answer that their request didn't run.
        self.callers = None;
    }
}
