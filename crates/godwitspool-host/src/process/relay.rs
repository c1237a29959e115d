//! Relays store calls through other hosts while the store is unreachable from this one.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, PoisonError},
    thread,
    time::{Duration, Instant},
};

use godwitspool_process::{CounterByReason, Histogram, Metrics};
use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::Millis;
use serde::{Deserialize, Serialize};

use super::peers::address;
use crate::{
    http::{CallError, Exchange, Pool, Request, Response},
    lease_clock,
    store::{
        Assignment, Holding, Page, READ_SLACK, Record, Store, StoreError, Tail, Topic, Writer,
    },
};

/// Path of store calls that a host makes on behalf of another.
pub const RELAY_PATH: &str = "/godwitspool/store";
/// Interval at which the store is called directly while it is unreachable.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The same for reads of the targets' entries, which age meanwhile.
const ENTRIES_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of hosts tried for one call.
const MAX_PEERS_PER_CALL: usize = 3;
/// Time allowed for a host's response in addition to the store's own timeout.
const RELAY_TIMEOUT_MARGIN: Duration = Duration::from_millis(300);
/// Time allowed for a host's response to a read, which doesn't wait for records.
const RELAYED_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a relayed read without records. Relayed reads don't wait for new records, so that a
/// host that can't reach the store either is detected quickly.
const EMPTY_READ_DELAY: Duration = Duration::from_millis(200);

/// A store call as it is sent to another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum StoreCall {
    Append(Topic, u32, Vec<Record>, Option<Writer>),
    Holdings,
    Join(String, u64, Duration),
    Leave(String),
    Newest(Topic, u32, Option<String>),
    Read(Topic, u32, u64, Duration),
}

/// Result of a successful store call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum StoreAnswer {
    Done,
    Assignment(Assignment),
    Holdings(Vec<Holding>),
    Page(Page),
    Tail(Tail),
}

/// Metrics of a relay.
#[derive(Debug)]
pub struct RelayMetrics {
    /// Number of calls by way (direct or relayed) and outcome.
    pub calls: CounterByReason,
    /// Durations of direct calls in seconds, without reads, which wait for new records.
    pub seconds: Histogram,
}

impl RelayMetrics {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            calls: metrics
                .counter_by_reason("store_calls", "Calls to the store by way and outcome"),
            seconds: metrics.seconds_histogram("store_seconds", "Times of calls to the store"),
        }
    }
}

/// How recently the store must have answered another call for a page that is late to be a sign of its
/// load rather than of a lost store.
const REACHABLE: Duration = Duration::from_secs(2);

/// A store that is called directly, or through another host while it is unreachable.
#[derive(Debug)]
pub struct Relay {
    metrics: RelayMetrics,
    direct: Arc<dyn Store>,
    /// Addresses of this host, which are never used as peers.
    own_addresses: Vec<SocketAddr>,
    pool: Pool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the store last answered a direct call.
    answered: Option<Instant>,
    /// When the store was last called directly, for each partition that is unreachable there. The
    /// key `None` stands for the hosts' group.
    unreachable: HashMap<Option<(Topic, u32)>, Instant>,
    /// When the newest attempt that failed began, by the lease clock, for each partition.
    failures: HashMap<Option<(Topic, u32)>, Millis>,
    /// The same for direct calls only.
    direct_failures: HashMap<Option<(Topic, u32)>, Millis>,
    /// Other hosts in the order in which they are tried. A host that reached the store moves to the
    /// front, a host that didn't moves to the back.
    peers: Vec<SocketAddr>,
}

impl Relay {
    /// Creates a relay whose first peers are the seeds, except this host's own addresses.
    pub fn new(
        direct: Arc<dyn Store>,
        seeds: &[SocketAddr],
        own_addresses: Vec<SocketAddr>,
        metrics: RelayMetrics,
    ) -> Self {
        let peers = seeds
            .iter()
            .copied()
            .filter(|seed| !own_addresses.contains(seed))
            .collect();
        Self {
            metrics,
            direct,
            own_addresses,
            pool: Pool::default(),
            state: Mutex::new(State {
                peers,
                ..State::default()
            }),
        }
    }

    /// Adds seeds to the known hosts.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        let mut state = self.lock();
        for seed in seeds {
            if !self.own_addresses.contains(seed) && !state.peers.contains(seed) {
                state.peers.push(*seed);
            }
        }
    }

    /// Executes a call of another host directly on the store, and returns the encoded result.
    pub fn serve(&self, request: &Request) -> Response {
        let call = match postcard::from_bytes::<StoreCall>(&request.body) {
            Ok(call) => call,
            Err(error) => {
                log::warn!(error:%; "invalid relayed store call");
                return Response::new(400, Vec::new());
            }
        };
        let answer = execute(self.direct.as_ref(), &call);
        match postcard::to_stdvec(&answer) {
            Ok(bytes) => Response::new(200, bytes),
            Err(error) => {
                log::error!(error:%; "can't encode the result of a relayed store call");
                Response::new(500, Vec::new())
            }
        }
    }

    /// Returns when the newest attempt to call the store about a partition that failed began, by the
    /// lease clock, whether it was made directly or through another host.
    pub fn last_failure(&self, topic: Topic, part: u32) -> Option<Millis> {
        self.lock().failures.get(&Some((topic, part))).copied()
    }

    /// Returns the same for direct calls only. A call through another host may also fail because of that
    /// host, while the store answers.
    pub fn last_direct_failure(&self, topic: Topic, part: u32) -> Option<Millis> {
        let state = self.lock();
        state.direct_failures.get(&Some((topic, part))).copied()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls the store directly or, if that fails, through other hosts. While the store is
    /// unreachable and other hosts are known, it is called directly only once per retry interval.
    fn call(&self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        let place = call.partition();
        let mut state = self.lock();
        let no_peers = state.peers.is_empty();
        let last_direct = state.unreachable.get_mut(&place);
        let due = last_direct
            .as_ref()
            .is_none_or(|last_direct| last_direct.elapsed() >= retry_interval(place));
        let direct = due || no_peers;
        if let Some(last_direct) = last_direct.filter(|_| direct) {
            *last_direct = Instant::now();
        }
        drop(state);
        let mut failure = None;
        if direct {
            let began = Instant::now();
            let mut answer = self.call_directly(call);
            // A long poll may hang with its connection while new ones work. The targets' entries age
            // meanwhile, so the store is tried again before other hosts are asked.
            if let (
                StoreCall::Read(Topic::Targets, part, from, wait),
                Err(StoreError::Unknown { .. }),
            ) = (call, &answer)
                && !wait.is_zero()
            {
                let again = StoreCall::Read(Topic::Targets, *part, *from, Duration::ZERO);
                answer = self.call_directly(&again);
            }
            match answer {
                answer if self.is_slow(call, &answer, began) => return answer,
                Err(error @ (StoreError::NotDone { .. } | StoreError::Unknown { .. })) => {
                    failure = Some(error);
                }
                answer => return answer,
            }
        }
        let answer = self.call_peers(call, failure);
        if matches!(&answer, Ok(StoreAnswer::Tail(tail)) if tail.records.is_empty()) {
            thread::sleep(EMPTY_READ_DELAY);
        }
        self.metrics.calls.count(if answer.is_ok() {
            "relayed"
        } else {
            "relayed, failed"
        });
        answer
    }

    /// Calls the store directly, and records whether it was reached.
    fn call_directly(&self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        let place = call.partition();
        let (began, lease_began) = (Instant::now(), lease_clock());
        let answer = execute(self.direct.as_ref(), call);
        if !matches!(call, StoreCall::Read(..)) {
            self.metrics.seconds.observe(began.elapsed().as_secs_f64());
        }
        self.metrics.calls.count(match &answer {
            Ok(_) => "direct",
            Err(StoreError::NoRoom { .. }) => "direct, no room",
            Err(_) => "direct, failed",
        });
        let is_slow = self.is_slow(call, &answer, began);
        let mut state = self.lock();
        if let Err(error @ (StoreError::NotDone { .. } | StoreError::Unknown { .. })) = &answer {
            state.failures.insert(place, lease_began);
            state.direct_failures.insert(place, lease_began);
            if is_slow {
                return answer;
            }
            let was_reachable = state.unreachable.insert(place, Instant::now()).is_none();
            drop(state);
            if was_reachable {
                log::warn!(place:?, error:%; "store lost, other hosts are asked");
            }
        } else {
            state.answered = Some(Instant::now());
            let was_unreachable = state.unreachable.remove(&place).is_some();
            drop(state);
            if was_unreachable {
                log::info!(place:?; "store regained");
            }
        }
        answer
    }

    /// Returns whether a call that failed is one of a page that the store was too slow to send, while it has
    /// answered other calls: another host would only ask for the page once more.
    fn is_slow(
        &self,
        call: &StoreCall,
        answer: &Result<StoreAnswer, StoreError>,
        began: Instant,
    ) -> bool {
        let is_page = matches!(
            call,
            StoreCall::Newest(Topic::Batches | Topic::Results | Topic::Suspects, ..)
        );
        let answered = self.lock().answered;
        is_page
            && matches!(answer, Err(StoreError::Unknown { .. }))
            && began.elapsed() >= READ_SLACK
            && answered.is_some_and(|answered| answered.elapsed() <= REACHABLE)
    }

    /// Calls the store through other hosts, one after the other. If any attempt has an unknown
    /// outcome, so has the call.
    fn call_peers(
        &self,
        call: &StoreCall,
        mut failure: Option<StoreError>,
    ) -> Result<StoreAnswer, StoreError> {
        let relayed = match call {
            StoreCall::Read(topic, part, from, _) => {
                StoreCall::Read(*topic, *part, *from, Duration::ZERO)
            }
            other => other.clone(),
        };
        let body = postcard::to_stdvec(&relayed).map_err(|error| StoreError::NotDone {
            reason: error.to_string(),
        })?;
        let timeout = match call {
            StoreCall::Read(..) => RELAYED_READ_TIMEOUT,
            _ => READ_SLACK + RELAY_TIMEOUT_MARGIN,
        };
        let peers = self.lock().peers.clone();
        for peer in peers.into_iter().take(MAX_PEERS_PER_CALL) {
            let request = Request::new("POST", RELAY_PATH, body.clone());
            let began = lease_clock();
            let answer = Exchange::call(&self.pool, peer, &request, timeout);
            let timed_out = matches!(answer, Err(CallError::Late { .. }));
            let error = match answer {
                Ok(answer) if answer.status == 200 => {
                    match postcard::from_bytes::<Result<StoreAnswer, StoreError>>(&answer.body) {
                        Ok(Err(
                            error @ (StoreError::NotDone { .. } | StoreError::Unknown { .. }),
                        )) => error,
                        Ok(answer) => {
                            self.move_to_front(peer);
                            return answer;
                        }
                        Err(error) => StoreError::Unknown {
                            reason: error.to_string(),
                        },
                    }
                }
                Ok(answer) if matches!(answer.status, 400..=499 | 503) => StoreError::NotDone {
                    reason: format!("{peer} responded with status {}", answer.status),
                },
                // The host may have made the call.
                Ok(answer) => StoreError::Unknown {
                    reason: format!("{peer} responded with status {}", answer.status),
                },
                Err(error) if error.was_sent() => StoreError::Unknown {
                    reason: format!("{peer}: {error}"),
                },
                Err(error) => StoreError::NotDone {
                    reason: format!("{peer}: {error}"),
                },
            };
            self.lock().failures.insert(call.partition(), began);
            self.move_to_back(peer);
            let replaceable = matches!(failure, None | Some(StoreError::NotDone { .. }));
            if replaceable {
                failure = Some(error);
            }
            if timed_out {
                // The time allowed for the call is used up; its caller retries.
                break;
            }
        }
        Err(failure.unwrap_or_else(|| StoreError::NotDone {
            reason: "no other host is known".to_owned(),
        }))
    }

    /// Moves a host to the front, so that it is tried first.
    fn move_to_front(&self, peer: SocketAddr) {
        let peers = &mut self.lock().peers;
        if let Some(index) = peers.iter().position(|known| *known == peer) {
            peers[..=index].rotate_right(1);
        }
    }

    /// Moves a host to the back, so that it is tried last.
    fn move_to_back(&self, peer: SocketAddr) {
        let peers = &mut self.lock().peers;
        if let Some(index) = peers.iter().position(|known| *known == peer) {
            peers[index..].rotate_left(1);
        }
    }

    /// Adds the hosts that hold a partition, ahead of the known hosts and seeds.
    fn add_members(&self, holdings: &[Holding]) {
        let members = holdings
            .iter()
            .filter_map(|holding| address(&holding.member));
        let mut state = self.lock();
        for member in members {
            if !self.own_addresses.contains(&member) && !state.peers.contains(&member) {
                state.peers.insert(0, member);
            }
        }
    }
}

impl StoreCall {
    /// Returns the partition of the call, or `None` for calls about the hosts' group.
    fn partition(&self) -> Option<(Topic, u32)> {
        match self {
            Self::Append(topic, part, ..)
            | Self::Newest(topic, part, _)
            | Self::Read(topic, part, ..) => Some((*topic, *part)),
            Self::Holdings | Self::Join(..) | Self::Leave(_) => None,
        }
    }
}

/// Returns the interval at which the store is called directly while it is unreachable.
fn retry_interval(place: Option<(Topic, u32)>) -> Duration {
    match place {
        Some((Topic::Targets, _)) => ENTRIES_RETRY_INTERVAL,
        _ => DIRECT_RETRY_INTERVAL,
    }
}

/// Executes a call on a store.
fn execute(store: &dyn Store, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
    match call {
        StoreCall::Append(topic, part, records, writer) => store
            .append(*topic, *part, records, *writer)
            .map(|()| StoreAnswer::Done),
        StoreCall::Holdings => store.holdings().map(StoreAnswer::Holdings),
        StoreCall::Join(member, generation, ttl) => store
            .join(member, *generation, *ttl)
            .map(StoreAnswer::Assignment),
        StoreCall::Leave(member) => store.leave(member).map(|()| StoreAnswer::Done),
        StoreCall::Newest(topic, part, after) => store
            .newest(*topic, *part, after.as_deref())
            .map(StoreAnswer::Page),
        StoreCall::Read(topic, part, from, wait) => store
            .read(*topic, *part, *from, *wait)
            .map(StoreAnswer::Tail),
    }
}

fn unexpected_answer<T>(answer: &StoreAnswer) -> Result<T, StoreError> {
    Err(StoreError::Unreadable {
        reason: format!("unexpected result of a relayed call: {answer:?}"),
    })
}

impl Store for Relay {
    fn append(
        &self,
        topic: Topic,
        part: u32,
        records: &[Record],
        writer: Option<Writer>,
    ) -> Result<(), StoreError> {
        self.call(&StoreCall::Append(topic, part, records.to_vec(), writer))
            .map(drop)
    }

    fn read(&self, topic: Topic, part: u32, from: u64, wait: Duration) -> Result<Tail, StoreError> {
        match self.call(&StoreCall::Read(topic, part, from, wait))? {
            StoreAnswer::Tail(tail) => Ok(tail),
            other => unexpected_answer(&other),
        }
    }

    fn newest(&self, topic: Topic, part: u32, after: Option<&str>) -> Result<Page, StoreError> {
        match self.call(&StoreCall::Newest(topic, part, after.map(str::to_owned)))? {
            StoreAnswer::Page(page) => Ok(page),
            other => unexpected_answer(&other),
        }
    }

    fn join(&self, member: &str, generation: u64, ttl: Duration) -> Result<Assignment, StoreError> {
        match self.call(&StoreCall::Join(member.to_owned(), generation, ttl))? {
            StoreAnswer::Assignment(assignment) => Ok(assignment),
            other => unexpected_answer(&other),
        }
    }

    /// Trims through no other host: one that doesn't reach the store loses its partitions, and the next owner trims.
    fn trim(&self, topic: Topic, part: u32, before: u64) -> Result<(), StoreError> {
        self.direct.trim(topic, part, before)
    }

    fn leave(&self, member: &str) -> Result<(), StoreError> {
        self.call(&StoreCall::Leave(member.to_owned())).map(drop)
    }

    fn holdings(&self) -> Result<Vec<Holding>, StoreError> {
        match self.call(&StoreCall::Holdings)? {
            StoreAnswer::Holdings(holdings) => {
                self.add_members(&holdings);
                Ok(holdings)
            }
            other => unexpected_answer(&other),
        }
    }
}
