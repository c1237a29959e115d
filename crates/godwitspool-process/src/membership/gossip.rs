//! Membership over a UDP socket.

use std::{
    fmt, io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc::Sender,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use godwitspool_connection::{messages::Member, platform::HostEntry};
use godwitspool_types::Dc;

use super::{
    DATAGRAM_BYTES, Datagram, Hints, MemberRecord, Membership, MembershipAction, MembershipCounts,
    MembershipEvent, MembershipRules, RumorBody,
};
use crate::{Clock, Metrics, Watched};

const TICK: Duration = Duration::from_millis(25);

/// What gossip tells its subscriber.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipEvent {
    /// The members or the hints have changed.
    Changed,
    /// A rumor came from another host.
    Heard(RumorBody),
}

/// What gossip has counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GossipCounts {
    /// Datagrams that were damaged.
    pub damaged: u64,
    /// Of the decisions.
    pub membership: MembershipCounts,
    /// Datagrams that came whole.
    pub received: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams that could not be sent.
    pub unsent: u64,
}

/// Membership of this host, kept by a thread until it is stopped or dropped.
///
/// ```
/// use std::{net::UdpSocket, sync::mpsc};
///
/// use godwitspool_process::{
///     Clock,
///     membership::{Gossip, GossipEvent, MemberRecord, MembershipRules},
/// };
///
/// let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
/// let own = MemberRecord::default().with_host("gori-1", "gori");
/// let (sender, _events) = mpsc::channel::<GossipEvent>();
/// let gossip =
///     Gossip::start(socket, own, MembershipRules::default(), Clock::start(), sender).unwrap();
/// assert_eq!(gossip.members().len(), 1);
/// ```
pub struct Gossip {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

struct Shared {
    clock: Clock,
    damaged: AtomicU64,
    membership: Mutex<Membership>,
    received: AtomicU64,
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    socket: UdpSocket,
    stopped: AtomicBool,
    unsent: AtomicU64,
}

impl fmt::Debug for Gossip {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gossip")
            .field("socket", &self.shared.socket)
            .field("counts", &self.counts())
            .finish_non_exhaustive()
    }
}

impl Gossip {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// When the socket can't be set up or no thread can be started.
    pub fn start<Event>(
        socket: UdpSocket,
        own: MemberRecord,
        rules: MembershipRules,
        clock: Clock,
        subscriber: Sender<Event>,
    ) -> io::Result<Self>
    where
        Event: From<GossipEvent> + Send + 'static,
    {
        socket.set_read_timeout(Some(TICK))?;
        let shared = Arc::new(Shared {
            clock,
            damaged: AtomicU64::new(0),
            membership: Mutex::new(Membership::new(own, rules, clock.now())),
            received: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            socket,
            stopped: AtomicBool::new(false),
            unsent: AtomicU64::new(0),
        });
        let own = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("gossip".to_owned())
            .spawn(move || own.run(&subscriber))?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Returns the hosts that live or leave, this one included.
    pub fn members(&self) -> Vec<Member> {
        let now = self.shared.clock.now();
        self.shared.membership().members(now)
    }

    /// Returns the highest positions in the log that any host is known to know.
    pub fn hints(&self) -> Hints {
        self.shared.membership().hints()
    }

    /// Returns the data centres that aren't heard.
    pub fn cut_off(&self) -> Vec<Dc> {
        self.shared.membership().cut_off().iter().cloned().collect()
    }

    /// Returns what was counted.
    pub fn counts(&self) -> GossipCounts {
        self.shared.counts()
    }

    /// Shows what was counted among a process's metrics.
    pub fn register(&self, metrics: &Metrics) {
        let shared = Arc::clone(&self.shared);
        metrics.watch(move || watched(&shared.counts()));
    }

    /// Takes the platform's lagging list, or the hosts of the settings.
    pub fn set_host_list(&self, hosts: Vec<HostEntry>) {
        self.shared.decide(MembershipEvent::Listed(hosts));
    }

    /// Makes positions in the log known to other hosts.
    pub fn know(&self, hints: Hints) {
        self.shared.decide(MembershipEvent::Know(hints));
    }

    /// Tells all hosts a rumor.
    pub fn tell(&self, rumor: RumorBody) {
        self.shared.decide(MembershipEvent::Tell(rumor));
    }

    /// Tells all hosts that this one takes no new work.
    pub fn leave(&self) {
        self.shared.decide(MembershipEvent::Leave);
    }

    /// Tells all hosts that this one is gone, and ends the thread.
    pub fn stop(mut self) {
        self.shared.decide(MembershipEvent::Gone);
        self.end();
    }

    fn end(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// Ends the thread without a word, as a process that dies.
impl Drop for Gossip {
    fn drop(&mut self) {
        self.end();
    }
}

impl Shared {
    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn counts(&self) -> GossipCounts {
        GossipCounts {
            damaged: self.damaged.load(Ordering::Relaxed),
            membership: self.membership().counts(),
            received: self.received.load(Ordering::Relaxed),
            sent: self.sent.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            unsent: self.unsent.load(Ordering::Relaxed),
        }
    }

    fn run<Event: From<GossipEvent>>(&self, subscriber: &Sender<Event>) {
        // One byte more than allowed, so that a longer datagram is seen as such.
        let mut buffer = [0; DATAGRAM_BYTES + 1];
        let mut ticked = self.clock.now();
        while !self.stopped.load(Ordering::Acquire) {
            let mut told = Vec::new();
            match self.socket.recv_from(&mut buffer) {
                Ok((size, from)) => told.extend(self.receive(from, &buffer[..size])),
                Err(error) if passes(&error) => {}
                Err(error) => {
                    log::warn!("gossip can't receive: {error}");
                    thread::sleep(TICK);
                }
            }
            if (self.clock.now() - ticked).duration() >= TICK {
                ticked = self.clock.now();
                told.extend(self.decide(MembershipEvent::Tick));
            }
            told.dedup();
            for event in told {
                if subscriber.send(event.into()).is_err() {
                    log::debug!("nobody listens to gossip");
                }
            }
        }
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) -> Vec<GossipEvent> {
        match Datagram::decode(bytes) {
            Ok(datagram) => {
                self.received.fetch_add(1, Ordering::Relaxed);
                let datagram = Box::new(datagram);
                self.decide(MembershipEvent::Received { from, datagram })
            }
            Err(error) => {
                self.damaged.fetch_add(1, Ordering::Relaxed);
                log::debug!(peer:% = from; "{error}");
                Vec::new()
            }
        }
    }

    fn decide(&self, event: MembershipEvent) -> Vec<GossipEvent> {
        let now = self.clock.now();
        let actions = self.membership().decide(event, now, &mut rand::rng());
        let mut told = Vec::new();
        for action in actions {
            match action {
                MembershipAction::Changed => told.push(GossipEvent::Changed),
                MembershipAction::Heard(rumor) => told.push(GossipEvent::Heard(rumor)),
                MembershipAction::Send { to, datagram } => self.send(to, &datagram),
            }
        }
        told
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let sent = datagram
            .encode()
            .map_err(io::Error::other)
            .and_then(|bytes| self.socket.send_to(&bytes, to));
        match sent {
            Ok(bytes) => {
                self.sent.fetch_add(1, Ordering::Relaxed);
                self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
            }
            Err(error) => {
                self.unsent.fetch_add(1, Ordering::Relaxed);
                log::debug!(peer:% = to; "datagram not sent: {error}");
            }
        }
    }
}

/// Whether the time was up, or an earlier datagram met a closed port.
fn passes(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, Interrupted, TimedOut, WouldBlock};
    matches!(
        error.kind(),
        ConnectionRefused | Interrupted | TimedOut | WouldBlock
    )
}

fn watched(counts: &GossipCounts) -> Vec<Watched> {
    let watched = |name, help, value| Watched { name, help, value };
    let members = &counts.membership;
    vec![
        watched(
            "gossip_damaged",
            "Datagrams that were damaged",
            counts.damaged,
        ),
        watched(
            "gossip_received",
            "Datagrams that came whole",
            counts.received,
        ),
        watched("gossip_sent", "Datagrams sent", counts.sent),
        watched(
            "gossip_sent_bytes",
            "Bytes of the datagrams sent",
            counts.sent_bytes,
        ),
        watched(
            "gossip_unsent",
            "Datagrams that could not be sent",
            counts.unsent,
        ),
        watched("members_down", "Hosts found gone here", members.downs),
        watched(
            "members_suspected",
            "Hosts suspected here",
            members.suspected,
        ),
        watched(
            "membership_pauses",
            "Pauses of this process that were noticed",
            members.pauses,
        ),
        watched(
            "membership_refuted",
            "Suspicions of this host that it refuted",
            members.refuted,
        ),
        watched(
            "membership_twins",
            "Later lives of this host's name",
            members.twins,
        ),
    ]
}
