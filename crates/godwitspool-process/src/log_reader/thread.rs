//! The thread that follows the log.

use std::{
    fmt, io,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
        mpsc::Sender,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use godwitspool_connection::{http::PlatformApi, messages::StewardAnswer};
use godwitspool_types::{Dc, HostName, Millis, Offset};

use super::{
    Applied, Ask, ReadEvent, ReadPlan, ReadRules, ReadState, Replica, Source,
    source::{Answer, Sources},
};
use crate::{
    Clock, Metrics, Watched,
    membership::{Gossip, Hints},
};

/// Longest sleep between looks at what membership knows.
const PAUSE: Duration = Duration::from_millis(25);

/// What the log reader tells its subscriber.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogEvent {
    /// Records were applied.
    Applied(Vec<Applied>),
    /// The log's end is in force, as of this time.
    Confirmed(Millis),
    /// A snapshot was restored; anything may have changed.
    Restored,
}

/// Who follows the log, and by which times.
#[derive(Clone, Debug, Default)]
pub struct LogReaderOptions {
    /// Data centre.
    pub dc: Dc,
    /// Host.
    pub host: HostName,
    /// Times.
    pub rules: ReadRules,
}

/// Follows the log until it is dropped.
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
    /// When no thread can be started.
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

    /// Looks at what is in force. The log reader waits meanwhile, so look briefly.
    pub fn read<T>(&self, look: impl FnOnce(&Replica) -> T) -> T {
        look(&self.shared.replica())
    }

    /// Shows what was counted among a process's metrics.
    pub fn register(&self, metrics: &Metrics) {
        let shared = Arc::clone(&self.shared);
        metrics.watch(move || {
            let counts = shared.replica().counts();
            let watched = |name, help, value| Watched { name, help, value };
            vec![
                watched("log_applied", "Records of the log applied", counts.applied),
                watched("log_gaps", "Gaps in the log that were noticed", counts.gaps),
                watched("log_restored", "Snapshots restored", counts.restored),
            ]
        });
    }

    /// Answers another host that asks for a snapshot.
    pub fn snapshot(&self) -> StewardAnswer {
        self.read(Replica::snapshot_answer)
    }

    /// Answers another host that asks for the records from an offset on, once there are some or the
    /// time is up.
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

// ---

struct Follower<Platform, Event> {
    plan: ReadPlan,
    shared: Arc<Shared>,
    sources: Sources<Platform>,
    subscriber: Sender<Event>,
}

impl<Platform: PlatformApi, Event: From<LogEvent>> Follower<Platform, Event> {
    fn run(&mut self) {
        while !self.shared.stopped.load(Ordering::Acquire) {
            self.look_around();
            let now = self.shared.clock.now();
            match self.plan.ask(now, &mut rand::rng()) {
                Some(ask) => self.carry_out(&ask),
                None => thread::sleep((self.plan.due() - now).duration().min(PAUSE)),
            }
        }
    }

    fn look_around(&mut self) {
        let event = ReadEvent::Known {
            members: self.shared.gossip.members(),
            hints: self.shared.gossip.hints(),
        };
        self.decide(event);
    }

    fn carry_out(&mut self, ask: &Ask) {
        let begun = self.shared.clock.now();
        let next = self.shared.replica().fold().next();
        let answer = match ask {
            Ask::Records(source) => self.sources.records(source, next),
            Ask::Snapshot(source) => self.sources.snapshot(source, next),
        };
        match answer {
            Answer::Failed(reason) => {
                log::warn!(source:? = ask.source(); "log not read: {reason}");
                self.decide(ReadEvent::Failed);
            }
            Answer::Gap => self.gap(ask.source()),
            Answer::Records { records, end, age } => {
                let applied = self.shared.replica().apply(&records);
                match applied {
                    Ok(applied) => self.came(applied, end, begun - age),
                    Err(error) => {
                        log::error!(source:? = ask.source(); "{error}");
                        self.decide(ReadEvent::Gap);
                    }
                }
            }
            Answer::Snapshot(fold) => {
                if self.shared.replica().restore(*fold) {
                    self.tell(LogEvent::Restored);
                    // More may follow the snapshot, so its end says nothing about the log's.
                    let end = self.shared.replica().end();
                    self.advance(end.next());
                } else {
                    self.decide(ReadEvent::Failed);
                }
            }
        }
    }

    fn gap(&mut self, source: &Source) {
        self.shared.replica().note_gap();
        log::error!(source:? = source; "records that follow those in force are gone");
        self.decide(ReadEvent::Gap);
    }

    fn came(&mut self, applied: Vec<Applied>, end: Offset, at: Millis) {
        if !applied.is_empty() {
            self.tell(LogEvent::Applied(applied));
        }
        self.shared.replica().confirm(end, at);
        self.advance(end);
        let replica = self.shared.replica();
        let confirmed = replica.is_ready() && replica.fold().next() >= end;
        drop(replica);
        if confirmed {
            self.tell(LogEvent::Confirmed(at));
        }
    }

    /// Notes how far records are in force, and lets other hosts know.
    fn advance(&mut self, end: Offset) {
        let replica = self.shared.replica();
        let next = replica.fold().next();
        let hints = Hints {
            end: replica.end(),
            folded: next,
            withdrawal: replica.withdrawal(),
        };
        drop(replica);
        self.decide(ReadEvent::Came { next, end });
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

    fn tell(&self, event: LogEvent) {
        if self.subscriber.send(event.into()).is_err() {
            log::debug!("nobody listens to the log reader");
        }
    }
}
