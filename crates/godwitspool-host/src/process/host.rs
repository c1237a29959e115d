use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use godwitspool_process::ExitOnPanic;

use super::{
    Adapters, DrainPlan, Drained, RETRY_AFTER_END, Shared, calls,
    clients::{Listener, limits},
    duties::{DutyLease, DutyRunner, append_usage},
    membership::Membership,
    tails,
    trims::trim_results,
};
use crate::{
    Settings,
    batch::{Runner, save_running},
    http::{Bounds, Caller, Request, Response, Server},
    memory,
    store::Topic,
};

/// Interval between two checks for remaining work while draining.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Stack size of the process's threads.
const STACK_BYTES: usize = 512 * 1024;

/// A running host process.
#[derive(Debug)]
pub struct Host {
    shared: Arc<Shared>,
    front: Server,
    /// Servers for readiness, metrics and other hosts; they run until the drain is complete.
    other_servers: Vec<Server>,
    /// Threads that hand over state while draining and must finish before the process exits.
    drain_threads: Vec<JoinHandle<()>>,
}

impl Host {
    /// Starts all threads and listeners.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound, or a pipe or thread can't be created.
    pub fn start(settings: Settings, adapters: Adapters) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(settings, adapters)?);
        let settings = &shared.settings;
        log::info!(
            host:% = settings.host, dc:% = settings.dc, front:% = settings.front,
            member = shared.member, version = env!("CARGO_PKG_VERSION");
            "host starts"
        );
        if settings.resources.memory.is_some() {
            memory::keep_little();
        }
        let front = serve(&shared, settings.front, Listener::Front, calls::serve)?;
        let mut other_servers = vec![
            serve(&shared, settings.ready, Listener::Status, answer_ready)?,
            serve(&shared, settings.metrics, Listener::Status, answer_metrics)?,
            serve(&shared, settings.peer, Listener::Peers, calls::serve_peer)?,
        ];
        if let Some(seed) = settings.seed {
            let seeds = serve(&shared, seed, Listener::Peers, calls::serve_peer)?;
            other_servers.push(seeds);
        }
        for topic in [Topic::Operator, Topic::Targets] {
            spawn(&shared, "tail", move |shared| tails::follow(&shared, topic))?;
        }
        spawn(&shared, "reports", |shared| shared.reports.receive(&shared))?;
        spawn(&shared, "permits", |shared| shared.permits.fetch(&shared))?;
        spawn(&shared, "probes", |shared| shared.suspicion.verify(&shared))?;
        spawn(&shared, "suspects", |shared| {
            shared.suspicion.follow(&shared);
        })?;
        spawn(&shared, "runner", |shared| {
            if let Err(error) = Runner::new(shared).run() {
                log::error!(error:%; "batch runner failed");
            }
        })?;
        spawn(&shared, "progress", |shared| save_running(&shared))?;
        spawn(&shared, "trims", |shared| trim_results(&shared))?;
        let duty_lease = Arc::new(DutyLease::default());
        let runner_lease = Arc::clone(&duty_lease);
        let suspects_lease = Arc::clone(&duty_lease);
        spawn(&shared, "suspicion", move |shared| {
            shared.suspicion.send(&shared, &suspects_lease);
        })?;
        spawn(&shared, "duties", move |shared| {
            DutyRunner::new(shared, runner_lease).run();
        })?;
        let drain_threads = vec![
            spawn(&shared, "membership", move |shared| {
                Membership::new(shared, duty_lease).run();
            })?,
            spawn(&shared, "usage", |shared| append_usage(&shared))?,
        ];
        Ok(Self {
            shared,
            front,
            other_servers,
            drain_threads,
        })
    }

    /// Applies settings that may change at run time, which are only the seeds. Returns whether
    /// other settings have changed too; those take effect at the next start.
    pub fn reload(&self, settings: &Settings) -> bool {
        self.shared.store.add_seeds(&settings.seeds);
        let seeds = self.shared.settings.seeds.clone();
        let unchanged = Settings {
            seeds,
            ..settings.clone()
        };
        unchanged != self.shared.settings
    }

    /// Hands over the partitions and answers the requests in flight. Returns once that is done, or just
    /// before the grace period ends.
    pub fn drain(self) {
        let began = Instant::now();
        let plan = DrainPlan::new(self.shared.settings.grace);
        log::info!(
            connections = self.front.open_connections(), close_ms = plan.close.as_millis() as u64,
            last_answer_ms = plan.last_answer.as_millis() as u64, end_ms = plan.end.as_millis() as u64;
            "host drains"
        );
        self.shared.drain(began + plan.last_answer);
        self.front.drain();
        await_until(began + plan.close, || false);
        self.front.stop();
        await_until(began + plan.last_answer, || self.front.is_ended());
        let refusal = self.shared.dialect.refusal(RETRY_AFTER_END);
        let last = self.front.respond_last(&refusal);
        // The callers have their responses; handlers that still wait get time to count them.
        let counted = began + (plan.last_answer + plan.end) / 2;
        await_until(counted, || self.front.is_ended());
        self.shared.ending.finish_service();
        for server in &self.other_servers {
            server.stop();
        }
        await_until(began + plan.end, || {
            self.drain_threads.iter().all(JoinHandle::is_finished)
                && self.other_servers.iter().all(Server::is_ended)
        });
        let drained = |outcome: Drained| self.shared.drained.counted(outcome.as_str());
        log::info!(
            connections = self.front.open_connections(), took_ms = began.elapsed().as_millis() as u64,
            finished = drained(Drained::Finished), refused = drained(Drained::Refused) + last.refused,
            unfinished = drained(Drained::Unfinished) + last.unfinished,
            broken_off = drained(Drained::BrokenOff) + last.responding + last.failed,
            handed_over = self.drain_threads.iter().all(JoinHandle::is_finished);
            "host ends"
        );
    }
}

/// Waits until the condition holds, but not beyond the given time.
fn await_until(until: Instant, condition: impl Fn() -> bool) {
    while Instant::now() < until && !condition() {
        thread::sleep(POLL_INTERVAL.min(until.saturating_duration_since(Instant::now())));
    }
}

/// Starts a server. The bounds of the configuration apply to the front only.
fn serve(
    shared: &Arc<Shared>,
    address: SocketAddr,
    listener: Listener,
    handle: impl Fn(&Arc<Shared>, &mut Caller, Request) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<Server> {
    let limits = limits(shared, listener);
    let (handler_shared, bounds_shared) = (Arc::clone(shared), Arc::clone(shared));
    let bounds = move || {
        let configuration = bounds_shared.configuration();
        let configuration = configuration.filter(|_| listener == Listener::Front);
        configuration.map_or_else(Bounds::default, |configuration| configuration.bounds)
    };
    Server::start_limited(address, limits, bounds, move |caller, request| {
        handle(&handler_shared, caller, request)
    })
}

fn spawn(
    shared: &Arc<Shared>,
    name: &str,
    run: impl FnOnce(Arc<Shared>) + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let thread_shared = Arc::clone(shared);
    let thread = thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES);
    thread.spawn(move || {
        let _guard = ExitOnPanic::default();
        run(thread_shared);
    })
}

fn answer_ready(shared: &Arc<Shared>, caller: &mut Caller, _: Request) -> io::Result<()> {
    let status = if shared.is_ready() { 200 } else { 503 };
    caller.respond(&Response::new(status, Vec::new()))
}

fn answer_metrics(shared: &Arc<Shared>, caller: &mut Caller, _: Request) -> io::Result<()> {
    let text = shared.metrics.text();
    caller.respond(&Response::new(200, text).with("Content-Type", "text/plain; version=0.0.4"))
}
