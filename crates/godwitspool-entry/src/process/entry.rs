//! The daemon: starts its threads and stops them.

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

/// Pause between looks at what is still in progress during a drain.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// Time for which new requests are served on, while the balancer has not yet noticed the leaving.
const BALANCER_LAG: Duration = Duration::from_secs(5);
/// The balancer's lag takes at most this part of a drain.
const LAG_PART: u32 = 3;

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
    /// Binds the callers' address and starts to follow the stewards.
    ///
    /// # Errors
    /// The callers' address can't be bound.
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

    /// Returns the address on which callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address on which other entries are answered.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the address on which operators are answered.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Tells whether a view has come in, so that requests can be served.
    pub fn ready(&self) -> bool {
        self.shared.view().revision > 0
    }

    /// Leaves: serves on while the balancer lags, then takes no new work and waits for what is in
    /// progress; at most for `bound` in all or until `hurry`.
    ///
    /// Returns the number of requests that were cut.
    pub fn drain(&self, bound: Duration, hurry: &AtomicBool) -> usize {
        self.shared.begin_leaving();
        let end = Instant::now() + bound;
        let lag = Instant::now() + BALANCER_LAG.min(bound / LAG_PART);
        while Instant::now() < lag && !hurry.load(Ordering::Acquire) {
            thread::sleep(DRAIN_POLL);
        }
        self.shared.begin_drain();
        let waits = || Instant::now() < end && !hurry.load(Ordering::Acquire);
        while self.shared.in_progress() > 0 && waits() {
            thread::sleep(DRAIN_POLL);
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
            // A panicked thread has nothing left to stop.
            drop(thread.join());
        }
        // Last, so that whoever still calls is told that nothing ran.
        self.callers = None;
    }
}
