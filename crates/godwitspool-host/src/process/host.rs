use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::{
    Adapters, Shared, calls,
    duties::{Desk, Holder, append_usage},
    membership::Membership,
    tails,
};
use crate::{
    Settings,
    batch::{Runner, save_running},
    http::{Bounds, Caller, Request, Response, Server},
    store::Topic,
};

/// Time after the termination signal in which new connections still come: the platform takes a host
/// out after two misses of a question a second.
const STILL_CHOSEN: Duration = Duration::from_millis(2_500);
/// Time kept back for the end of the process before it is killed.
const END_RESERVE: Duration = Duration::from_secs(1);
/// Time between two looks at what still runs during the drain.
const LOOK: Duration = Duration::from_millis(50);
/// Stack of the process's threads.
const STACK_BYTES: usize = 512 * 1024;

/// A running host process.
#[derive(Debug)]
pub struct Host {
    shared: Arc<Shared>,
    front: Server,
    others: Vec<Server>,
    leaving: Vec<JoinHandle<()>>,
}

impl Host {
    /// Starts all threads and listeners.
    ///
    /// # Errors
    ///
    /// When an address can't be bound or a thread can't be started.
    pub fn start(settings: Settings, adapters: Adapters) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(settings, adapters)?);
        let settings = &shared.settings;
        log::info!(
            host:% = settings.host, dc:% = settings.dc, front:% = settings.front,
            member = shared.member, version = env!("CARGO_PKG_VERSION");
            "host starts"
        );
        let front = serve(&shared, settings.front, true, calls::serve)?;
        let mut others = vec![
            serve(&shared, settings.ready, false, answer_ready)?,
            serve(&shared, settings.metrics, false, answer_metrics)?,
            serve(&shared, settings.peer, false, calls::serve_peer)?,
        ];
        if let Some(seed) = settings.seed {
            others.push(serve(&shared, seed, false, calls::serve_peer)?);
        }
        for topic in [Topic::Operator, Topic::Targets] {
            spawn(&shared, "tail", move |shared| tails::follow(&shared, topic))?;
        }
        spawn(&shared, "reports", |shared| shared.reports.receive(&shared))?;
        spawn(&shared, "runner", |shared| {
            if let Err(error) = Runner::new(shared).run() {
                log::error!(error:%; "runner ended");
            }
        })?;
        spawn(&shared, "progress", |shared| save_running(&shared))?;
        let desk = Arc::new(Desk::default());
        let own = Arc::clone(&desk);
        spawn(&shared, "duties", move |shared| {
            Holder::new(shared, own).run();
        })?;
        let leaving = vec![
            spawn(&shared, "membership", move |shared| {
                Membership::new(shared, desk).run();
            })?,
            spawn(&shared, "usage", |shared| append_usage(&shared))?,
        ];
        Ok(Self {
            shared,
            front,
            others,
            leaving,
        })
    }

    /// Takes over settings that may change while the process runs, which are the seeds. Returns
    /// whether others have changed too: those hold from the next start.
    pub fn reload(&self, settings: &Settings) -> bool {
        self.shared.store.add_seeds(&settings.seeds);
        let seeds = self.shared.settings.seeds.clone();
        let unchanged = Settings {
            seeds,
            ..settings.clone()
        };
        unchanged != self.shared.settings
    }

    /// Hands the partitions over, finishes what callers wait for, and returns once that is done or
    /// the time is up.
    pub fn drain(self) {
        let began = Instant::now();
        let grace = self.shared.settings.grace.saturating_sub(END_RESERVE);
        log::info!(connections = self.front.open_connections(); "host drains");
        self.shared.drain();
        self.front.drain();
        let still = STILL_CHOSEN.min(grace / 2);
        while began.elapsed() < still {
            thread::sleep(LOOK);
        }
        self.front.stop();
        while !self.front.is_ended() && began.elapsed() < grace {
            thread::sleep(LOOK);
        }
        while !self.leaving.iter().all(JoinHandle::is_finished) && began.elapsed() < grace {
            thread::sleep(LOOK);
        }
        for server in &self.others {
            server.stop();
        }
        let took_ms = began.elapsed().as_millis() as u64;
        log::info!(connections = self.front.open_connections(), took_ms; "host ends");
    }
}

fn serve(
    shared: &Arc<Shared>,
    address: SocketAddr,
    bounded: bool,
    handle: impl Fn(&Arc<Shared>, &mut Caller, &Request) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<Server> {
    let (own, bounds_of) = (Arc::clone(shared), Arc::clone(shared));
    let bounds = move || {
        let configuration = bounds_of.configuration().filter(|_| bounded);
        configuration.map_or_else(Bounds::default, |configuration| configuration.bounds)
    };
    Server::start(address, bounds, move |caller, request| {
        handle(&own, caller, &request)
    })
}

fn spawn(
    shared: &Arc<Shared>,
    name: &str,
    run: impl FnOnce(Arc<Shared>) + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let own = Arc::clone(shared);
    let thread = thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES);
    thread.spawn(move || run(own))
}

fn answer_ready(shared: &Arc<Shared>, caller: &mut Caller, _: &Request) -> io::Result<()> {
    let status = if shared.is_ready() { 200 } else { 503 };
    caller.respond(&Response::new(status, Vec::new()))
}

fn answer_metrics(shared: &Arc<Shared>, caller: &mut Caller, _: &Request) -> io::Result<()> {
    let text = shared.metrics.text();
    caller.respond(&Response::new(200, text).with("Content-Type", "text/plain; version=0.0.4"))
}
