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
use godwitspool_process::EntrySettings;

use crate::{
    connection::{
        callers::{self, Callers},
        peers,
    },
    process::shared::Shared,
    version::feed,
};

/// Pause between looks at what is still in progress during a drain.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// A running entry daemon. Dropping it stops its threads.
#[derive(Debug)]
pub struct Entry {
    address: SocketAddr,
    callers: Option<Callers>,
    feed: Option<JoinHandle<()>>,
    peer: SocketAddr,
    peers: Option<Server>,
    shared: Arc<Shared>,
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
        let callers = callers::listen(listener, Arc::clone(&shared))?;
        let peers = serve_peers(&shared)?;
        Ok(Self {
            address,
            callers: Some(callers),
            feed: Some(feed),
            peer: peers.address(),
            peers: Some(peers),
            shared,
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

    /// Tells whether a view has come in, so that requests can be served.
    pub fn ready(&self) -> bool {
        self.shared.view().revision > 0
    }

    /// Takes no new work and waits for what is in progress, at most for `bound` or until `hurry`.
    ///
    /// Returns the number of requests that were cut.
    pub fn drain(&self, bound: Duration, hurry: &AtomicBool) -> usize {
        self.shared.begin_drain();
        let end = Instant::now() + bound;
        let waits = || Instant::now() < end && !hurry.load(Ordering::Acquire);
        while self.shared.in_progress() > 0 && waits() {
            thread::sleep(DRAIN_POLL);
        }
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
        self.shared.stop();
        self.callers = None;
        if let Some(peers) = self.peers.take() {
            peers.stop();
        }
        if let Some(feed) = self.feed.take() {
            // A panicked feed has nothing left to stop.
            drop(feed.join());
        }
    }
}
