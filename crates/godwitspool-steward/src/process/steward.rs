//! The daemon: starts its threads and stops them.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use godwitspool_connection::{
    http::Platform,
    peer::{ServeBounds, Server},
};
use godwitspool_process::StewardSettings;

use crate::{
    connection::answers,
    version::{board::Board, follow},
};

/// A running steward daemon. Dropping it stops its threads.
#[derive(Debug)]
pub struct Steward {
    address: SocketAddr,
    server: Option<Server>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Steward {
    /// Binds the steward's address and starts to follow the platform.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn start(settings: StewardSettings) -> io::Result<Self> {
        let board = Arc::new(Board::default());
        let platform = Platform::new(settings.platform);
        let stopped = Arc::new(AtomicBool::new(false));
        let server = {
            let board = Arc::clone(&board);
            let listener = TcpListener::bind(settings.steward)?;
            let handler = move |request| answers::answer(&board, &request);
            Server::start(listener, ServeBounds::default(), handler)?
        };
        let mut threads = Vec::new();
        for (name, follow) in [
            (
                "log",
                follow::follow_log as fn(&Platform, &Arc<Board>, &AtomicBool),
            ),
            ("lists", follow::follow_lists),
        ] {
            let (board, platform) = (Arc::clone(&board), platform.clone());
            let stopped = Arc::clone(&stopped);
            let thread = thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || follow(&platform, &board, &stopped))?;
            threads.push(thread);
        }
        Ok(Self {
            address: server.address(),
            server: Some(server),
            stopped,
            threads,
        })
    }

    /// Returns the address on which entries and other stewards are answered.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Steward {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        if let Some(server) = self.server.take() {
            server.stop();
        }
        for thread in self.threads.drain(..) {
            // A panicked thread has nothing left to stop.
            drop(thread.join());
        }
    }
}
