//! The thread that performs the requests of a [`ReadPlan`].

use std::{
    fmt, io,
    sync::{
        Arc, PoisonError,
        atomic::{AtomicBool, Ordering},
        mpsc::Sender,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use godwitspool_connection::{http::PlatformApi, messages::StewardAnswer};
use godwitspool_sync::{Condvar, Mutex, MutexGuard};
use godwitspool_types::{Dc, HostName, Millis, Offset};

use super::{
    Applied, ReadEvent, ReadPlan, ReadRequest, ReadRules, ReadState, Replica, Source,
    source::{Answer, Sources},
};
use crate::{
    Clock, CounterSample, Metrics,
    membership::{Gossip, Hints},
};

/// Longest sleep before the members and hints are read from gossip again.
const MAX_SLEEP: Duration = Duration::from_millis(25);

/// A notification to the subscriber of [`LogReader`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogEvent {
    /// Records were applied, with these changes in the order of the log.
    Applied(Vec<Applied>),
    /// The state was known to include the log's end at this time.
    Confirmed(Millis),
    /// A snapshot was restored; any part of the state may have changed.
    Restored,
}

/// Options of a [`LogReader`].
#[derive(Clone, Debug, Default)]
pub struct LogReaderOptions {
    /// Data centre of the local host.
    pub dc: Dc,
    /// Name of the local host.
    pub host: HostName,
    /// Timing and limits.
    pub rules: ReadRules,
}

/// Follows the log in a thread until it is dropped.
pub struct LogReader {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

struct Shared {
    changed: Condvar,
    clock: Clock,
    gossip: Arc<Gossip>,
    replica: Mutex<Replica>,
    stopped: AtomicBool,
}

impl fmt::Debug for LogReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogReader")
            .field("counts", &self.read(Replica::counts))
            .finish_non_exhaustive()
    }
}

impl LogReader {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start<Event>(
        options: LogReaderOptions,
        platform: impl PlatformApi + 'static,
        gossip: Arc<Gossip>,
        clock: Clock,
        subscriber: Sender<Event>,
    ) -> io::Result<Self>
    where
        Event: From<LogEvent> + Send + 'static,
    {
        let shared = Arc::new(Shared {
            changed: Condvar::new(),
            clock,
            gossip,
            replica: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let LogReaderOptions { dc, host, rules } = options;
        let mut follower = Follower {
            plan: ReadPlan::new(host, dc, rules, clock.now()),
            shared: Arc::clone(&shared),
            sources: Sources::new(platform),
            subscriber,
        };
        let thread = thread::Builder::new()
            .name("log-reader".to_owned())
            .spawn(move || follower.run())?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Calls a function with the replica. The replica is locked meanwhile, so the function should
    /// return quickly.
    pub fn read<T>(&self, inspect: impl FnOnce(&Replica) -> T) -> T {
        inspect(&self.shared.replica())
    }

    /// Exports the counters as metrics.
    pub fn register(&self, metrics: &Metrics) {
        let shared = Arc::clone(&self.shared);
        metrics.register_counters(move || {
            let counts = shared.replica().counts();
            let sample = |name, help, value| CounterSample { name, help, value };
            vec![
                sample("log_applied", "Records of the log applied", counts.applied),
                sample("log_gaps", "Gaps in the log that were noticed", counts.gaps),
                sample("log_restored", "Snapshots restored", counts.restored),
            ]
        });
    }

    /// Answers another host's request for a snapshot.
    pub fn snapshot(&self) -> StewardAnswer {
        self.read(Replica::snapshot_answer)
    }

    /// Answers another host's request for the records from an offset on. Blocks until there are
    /// any, for at most `wait`.
    pub fn tail(&self, from: Offset, wait: Millis) -> StewardAnswer {
        let idle = |replica: &mut Replica| {
            let stopped = self.shared.stopped.load(Ordering::Acquire);
            replica.is_ready() && replica.fold().next() <= from && !stopped
        };
        let (replica, _) = self
            .shared
            .changed
            .wait_timeout_while(self.shared.replica(), wait.duration(), idle)
            .unwrap_or_else(PoisonError::into_inner);
        replica.tail_answer(from, self.shared.clock.now())
    }
}

impl Drop for LogReader {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.shared.changed.notify_all();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

impl Shared {
    fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Follower<Platform, Event> {
    plan: ReadPlan,
    shared: Arc<Shared>,
    sources: Sources<Platform>,
    subscriber: Sender<Event>,
}

impl<Platform: PlatformApi, Event: From<LogEvent>> Follower<Platform, Event> {
    fn run(&mut self) {
        while !self.shared.stopped.load(Ordering::Acquire) {
            self.update_peers();
            let now = self.shared.clock.now();
            match self.plan.next_request(now, &mut rand::rng()) {
                Some(request) => self.perform(&request),
                None => thread::sleep((self.plan.due() - now).duration().min(MAX_SLEEP)),
            }
        }
    }

    fn update_peers(&mut self) {
        let event = ReadEvent::Peers {
            members: self.shared.gossip.members(),
            hints: self.shared.gossip.hints(),
        };
        self.decide(event);
    }

    fn perform(&mut self, request: &ReadRequest) {
        let begun = self.shared.clock.now();
        let next = self.shared.replica().fold().next();
        let answer = match request {
            ReadRequest::Records(source) => self.sources.records(source, next),
            ReadRequest::Snapshot(source) => self.sources.snapshot(source, next),
        };
        match answer {
            Answer::Failed(reason) => {
                log::warn!(source:? = request.source(); "can't read the log: {reason}");
                self.decide(ReadEvent::Failed);
            }
            Answer::Gap => self.handle_gap(request.source()),
            Answer::Records { records, end, age } => {
                let applied = self.shared.replica().apply(&records);
                match applied {
                    Ok(applied) => self.handle_applied(applied, end, begun - age),
                    Err(error) => {
                        log::error!(source:? = request.source(); "{error}");
                        self.decide(ReadEvent::Gap);
                    }
                }
            }
            Answer::Snapshot(fold) => {
                if self.shared.replica().restore(*fold) {
                    self.notify(LogEvent::Restored);
                    // Records may follow the snapshot, so the end of the log is not known yet.
                    let end = self.shared.replica().end();
                    self.advance(end.next());
                } else {
                    self.decide(ReadEvent::Failed);
                }
            }
        }
    }

    fn handle_gap(&mut self, source: &Source) {
        self.shared.replica().count_gap();
        log::error!(source:? = source; "source no longer retains the records that follow those applied");
        self.decide(ReadEvent::Gap);
    }

    fn handle_applied(&mut self, applied: Vec<Applied>, end: Offset, at: Millis) {
        if !applied.is_empty() {
            self.notify(LogEvent::Applied(applied));
        }
        self.shared.replica().confirm(end, at);
        self.advance(end);
        let replica = self.shared.replica();
        let confirmed = replica.is_ready() && replica.fold().next() >= end;
        drop(replica);
        if confirmed {
            self.notify(LogEvent::Confirmed(at));
        }
    }

    /// Updates the plan, the hints for other hosts and waiting [`LogReader::tail`] calls after the
    /// replica has advanced.
    fn advance(&mut self, end: Offset) {
        let replica = self.shared.replica();
        let next = replica.fold().next();
        let hints = Hints {
            end: replica.end(),
            folded: next,
            withdrawal: replica.withdrawal(),
        };
        drop(replica);
        self.decide(ReadEvent::Progress { next, end });
        if self.plan.state() == ReadState::Ready {
            self.shared.replica().set_ready();
            self.shared.gossip.raise_hints(hints);
        }
        self.shared.changed.notify_all();
    }

    fn decide(&mut self, event: ReadEvent) {
        let now = self.shared.clock.now();
        self.plan.decide(event, now, &mut rand::rng());
    }

    fn notify(&self, event: LogEvent) {
        if self.subscriber.send(event.into()).is_err() {
            log::debug!("log event dropped: the subscriber is gone");
        }
    }
}
