//! Runs [`Membership`] over a UDP socket.

use std::{
    fmt, io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc::Sender,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use godwitspool_connection::{messages::Member, platform::HostEntry};
use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::Dc;

use super::{
    Datagram, Hints, MAX_DATAGRAM_BYTES, MemberRecord, Membership, MembershipAction,
    MembershipCounts, MembershipEvent, MembershipRules, RumorBody,
};
use crate::{Clock, CounterSample, Metrics};

/// Interval of [`MembershipEvent::Tick`], and the socket's receive timeout.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// A notification to the subscriber of [`Gossip`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipEvent {
    /// The members or the hints have changed.
    Changed,
    /// A rumor was received for the first time.
    NewRumor(RumorBody),
}

/// Counters of a [`Gossip`] socket and its membership.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GossipCounts {
    /// Received datagrams that could not be decoded.
    pub damaged: u64,
    /// Counters of the membership state machine.
    pub membership: MembershipCounts,
    /// Received datagrams that were decoded.
    pub received: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent, without IP and UDP headers.
    pub sent_bytes: u64,
    /// Datagrams that could not be encoded or sent.
    pub unsent: u64,
}

/// Membership of this host, run by a thread until it is stopped or dropped.
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
    /// Starts the gossip thread on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket's read timeout can't be set or the thread can't be started.
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
        socket.set_read_timeout(Some(TICK_INTERVAL))?;
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

    /// Returns the hosts that are not down, this one included.
    pub fn members(&self) -> Vec<Member> {
        let now = self.shared.clock.now();
        self.shared.membership().members(now)
    }

    /// Returns the highest positions in the log that any host has reported.
    pub fn hints(&self) -> Hints {
        self.shared.membership().hints()
    }

    /// Returns the other data centres that count as cut off.
    pub fn cut_off(&self) -> Vec<Dc> {
        self.shared.membership().cut_off().iter().cloned().collect()
    }

    /// Returns the counters.
    pub fn counts(&self) -> GossipCounts {
        self.shared.counts()
    }

    /// Exports the counters as metrics.
    pub fn register(&self, metrics: &Metrics) {
        let shared = Arc::clone(&self.shared);
        metrics.register_counters(move || samples(&shared.counts()));
    }

    /// Replaces the list of hosts, which comes from the platform or the settings. It may be out of
    /// date: a listed host that is not known is probed before it counts as a member.
    pub fn set_host_list(&self, hosts: Vec<HostEntry>) {
        self.shared.decide(MembershipEvent::HostList(hosts));
    }

    /// Raises the hints that are sent to other hosts.
    pub fn raise_hints(&self, hints: Hints) {
        self.shared.decide(MembershipEvent::RaiseHints(hints));
    }

    /// Spreads a rumor to all hosts.
    pub fn spread_rumor(&self, rumor: RumorBody) {
        self.shared.decide(MembershipEvent::SpreadRumor(rumor));
    }

    /// Announces that this host accepts no new work.
    pub fn leave(&self) {
        self.shared.decide(MembershipEvent::Leave);
    }

    /// Announces that this host is down, and ends the thread.
    pub fn stop(mut self) {
        self.shared.decide(MembershipEvent::Stop);
        self.end();
    }

    fn end(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// Ends the thread without an announcement, so that other hosts see a crash.
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
        // One byte more than the limit, so that an oversized datagram fails to decode instead of
        // being truncated.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut last_tick = self.clock.now();
        while !self.stopped.load(Ordering::Acquire) {
            let mut events = Vec::new();
            match self.socket.recv_from(&mut buffer) {
                Ok((size, from)) => events.extend(self.receive(from, &buffer[..size])),
                Err(error) if is_transient(&error) => {}
                Err(error) => {
                    log::warn!("can't receive a gossip datagram: {error}");
                    thread::sleep(TICK_INTERVAL);
                }
            }
            if (self.clock.now() - last_tick).duration() >= TICK_INTERVAL {
                last_tick = self.clock.now();
                events.extend(self.decide(MembershipEvent::Tick));
            }
            events.dedup();
            for event in events {
                if subscriber.send(event.into()).is_err() {
                    log::debug!("gossip event dropped: the subscriber is gone");
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
        let mut events = Vec::new();
        for action in actions {
            match action {
                MembershipAction::Changed => events.push(GossipEvent::Changed),
                MembershipAction::NewRumor(rumor) => events.push(GossipEvent::NewRumor(rumor)),
                MembershipAction::Send { to, datagram } => self.send(to, &datagram),
            }
        }
        events
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
                log::debug!(peer:% = to; "can't send a gossip datagram: {error}");
            }
        }
    }
}

/// Returns whether a receive only timed out, was interrupted, or reports that an earlier datagram
/// was sent to a closed port.
fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, Interrupted, TimedOut, WouldBlock};
    matches!(
        error.kind(),
        ConnectionRefused | Interrupted | TimedOut | WouldBlock
    )
}

fn samples(counts: &GossipCounts) -> Vec<CounterSample> {
    let sample = |name, help, value| CounterSample { name, help, value };
    let members = &counts.membership;
    vec![
        sample(
            "gossip_damaged",
            "Datagrams that were damaged",
            counts.damaged,
        ),
        sample(
            "gossip_received",
            "Datagrams that came whole",
            counts.received,
        ),
        sample("gossip_sent", "Datagrams sent", counts.sent),
        sample(
            "gossip_sent_bytes",
            "Bytes of the datagrams sent",
            counts.sent_bytes,
        ),
        sample(
            "gossip_unsent",
            "Datagrams that could not be sent",
            counts.unsent,
        ),
        sample("members_down", "Hosts found gone here", members.downs),
        sample(
            "members_suspected",
            "Hosts suspected here",
            members.suspected,
        ),
        sample(
            "membership_pauses",
            "Pauses of this process that were noticed",
            members.pauses,
        ),
        sample(
            "membership_refuted",
            "Suspicions of this host that it refuted",
            members.refuted,
        ),
        sample(
            "membership_twins",
            "Later lives of this host's name",
            members.twins,
        ),
    ]
}
