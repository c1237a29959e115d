//! The store through another host, while it turns this one away.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use godwitspool_process::{Histogram, Reasons};
use serde::{Deserialize, Serialize};

use super::peers::address;
use crate::{
    http::{CallError, Exchange, Pool, Request, Response},
    store::{
        Assignment, Holding, Page, READ_SLACK, Record, Store, StoreError, Tail, Topic, Writer,
    },
};

/// Path under which a host makes calls to the store for another.
pub const RELAY_PATH: &str = "/godwitspool/store";
/// While the store turns this host away it is tried directly once in this time.
const DIRECT_PERIOD: Duration = Duration::from_secs(1);
/// Hosts that are asked for one call.
const PEERS_ASKED: usize = 3;
/// Bound on a host's answer beside the store's own time.
const RELAY_SLACK: Duration = Duration::from_millis(300);
/// Pause after a relayed read that brought nothing: relayed reads don't wait for news, so that a
/// host which can't reach the store either is found out soon.
const NEWS_PAUSE: Duration = Duration::from_millis(200);

/// A call to the store on another host's behalf.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum StoreCall {
    Append(Topic, u32, Vec<Record>, Option<Writer>),
    Holdings,
    Join(String, u64, Duration),
    Leave(String),
    Newest(Topic, u32, Option<String>),
    Read(Topic, u32, u64, Duration),
}

/// What the store answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum StoreAnswer {
    Done,
    Assignment(Assignment),
    Holdings(Vec<Holding>),
    Page(Page),
    Tail(Tail),
}

/// What a relay counts.
#[derive(Debug)]
pub struct RelayMetrics {
    /// Calls by way and outcome.
    pub calls: Reasons,
    /// Times of calls, those that wait for news left out.
    pub seconds: Histogram,
}

/// The store, directly or through another host.
#[derive(Debug)]
pub struct Relay {
    metrics: RelayMetrics,
    direct: Arc<dyn Store>,
    own: Vec<SocketAddr>,
    pool: Pool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the store was tried directly last, for each partition where it turns this host away; one
    /// entry stands for the hosts' group.
    away: HashMap<Option<(Topic, u32)>, Instant>,
    /// Other hosts; the one that answered last stands first.
    peers: Vec<SocketAddr>,
}

impl Relay {
    /// Creates a relay that knows the seeds.
    pub fn new(
        direct: Arc<dyn Store>,
        seeds: &[SocketAddr],
        own: Vec<SocketAddr>,
        metrics: RelayMetrics,
    ) -> Self {
        let peers = seeds
            .iter()
            .copied()
            .filter(|seed| !own.contains(seed))
            .collect();
        Self {
            metrics,
            direct,
            own,
            pool: Pool::default(),
            state: Mutex::new(State {
                away: HashMap::new(),
                peers,
            }),
        }
    }

    /// Takes over new seeds beside the hosts that are known.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        let mut state = self.lock();
        for seed in seeds {
            if !self.own.contains(seed) && !state.peers.contains(seed) {
                state.peers.push(*seed);
            }
        }
    }

    /// Carries out a call that another host sent.
    pub fn serve(&self, request: &Request) -> Response {
        let call = match postcard::from_bytes::<StoreCall>(&request.body) {
            Ok(call) => call,
            Err(error) => {
                log::warn!(error:%; "relayed call can't be read");
                return Response::new(400, Vec::new());
            }
        };
        let answer = perform(self.direct.as_ref(), &call);
        match postcard::to_stdvec(&answer) {
            Ok(bytes) => Response::new(200, bytes),
            Err(error) => {
                log::error!(error:%; "relayed answer can't be encoded");
                Response::new(500, Vec::new())
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call(&self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        let place = call.place();
        let mut state = self.lock();
        let alone = state.peers.is_empty();
        let tried = state.away.get_mut(&place);
        let due = tried
            .as_ref()
            .is_none_or(|tried| tried.elapsed() >= DIRECT_PERIOD);
        let direct = due || alone;
        if let Some(tried) = tried.filter(|_| direct) {
            *tried = Instant::now();
        }
        drop(state);
        let mut failure = None;
        if direct {
            let began = Instant::now();
            let answer = perform(self.direct.as_ref(), call);
            if !matches!(call, StoreCall::Read(..)) {
                self.metrics.seconds.observe(began.elapsed().as_secs_f64());
            }
            self.metrics.calls.count(if answer.is_ok() {
                "direct"
            } else {
                "direct, failed"
            });
            match answer {
                Err(error @ (StoreError::NotDone { .. } | StoreError::Unknown { .. })) => {
                    if self.lock().away.insert(place, Instant::now()).is_none() {
                        log::warn!(place:?, error:%; "store lost, other hosts are asked");
                    }
                    failure = Some(error);
                }
                answer => {
                    if self.lock().away.remove(&place).is_some() {
                        log::info!(place:?; "store regained");
                    }
                    return answer;
                }
            }
        }
        let answer = self.ask(call, failure);
        if matches!(&answer, Ok(StoreAnswer::Tail(tail)) if tail.records.is_empty()) {
            thread::sleep(NEWS_PAUSE);
        }
        self.metrics.calls.count(if answer.is_ok() {
            "relayed"
        } else {
            "relayed, failed"
        });
        answer
    }

    /// Asks other hosts. The outcome is unknown if it is so at any of the tries.
    fn ask(
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
        let peers = self.lock().peers.clone();
        for peer in peers.into_iter().take(PEERS_ASKED) {
            let request = Request::new("POST", RELAY_PATH, body.clone());
            let answer = Exchange::call(&self.pool, peer, &request, READ_SLACK + RELAY_SLACK);
            let late = matches!(answer, Err(CallError::Late { .. }));
            let error = match answer {
                Ok(answer) if answer.status == 200 => {
                    match postcard::from_bytes::<Result<StoreAnswer, StoreError>>(&answer.body) {
                        Ok(Err(
                            error @ (StoreError::NotDone { .. } | StoreError::Unknown { .. }),
                        )) => error,
                        Ok(answer) => {
                            self.prefer(peer);
                            return answer;
                        }
                        Err(error) => StoreError::Unknown {
                            reason: error.to_string(),
                        },
                    }
                }
                Ok(answer) => StoreError::NotDone {
                    reason: format!("{peer} answers {}", answer.status),
                },
                Err(error) if error.was_sent() => StoreError::Unknown {
                    reason: format!("{peer}: {error}"),
                },
                Err(error) => StoreError::NotDone {
                    reason: format!("{peer}: {error}"),
                },
            };
            self.defer(peer);
            let known = matches!(failure, None | Some(StoreError::NotDone { .. }));
            if known {
                failure = Some(error);
            }
            if late {
                // The time of the call is spent; its caller repeats it.
                break;
            }
        }
        Err(failure.unwrap_or_else(|| StoreError::NotDone {
            reason: "no other host is known".to_owned(),
        }))
    }

    /// Asks a host first from now on.
    fn prefer(&self, peer: SocketAddr) {
        let peers = &mut self.lock().peers;
        if let Some(index) = peers.iter().position(|known| *known == peer) {
            peers[..=index].rotate_right(1);
        }
    }

    /// Asks a host last from now on.
    fn defer(&self, peer: SocketAddr) {
        let peers = &mut self.lock().peers;
        if let Some(index) = peers.iter().position(|known| *known == peer) {
            peers[index..].rotate_left(1);
        }
    }

    /// Takes over the hosts that hold something; seeds stay known.
    fn learn(&self, holdings: &[Holding]) {
        let members = holdings
            .iter()
            .filter_map(|holding| address(&holding.member));
        let mut state = self.lock();
        for member in members {
            if !self.own.contains(&member) && !state.peers.contains(&member) {
                state.peers.insert(0, member);
            }
        }
    }
}

impl StoreCall {
    /// Returns the partition that it concerns, or none for the hosts' group.
    fn place(&self) -> Option<(Topic, u32)> {
        match self {
            Self::Append(topic, part, ..)
            | Self::Newest(topic, part, _)
            | Self::Read(topic, part, ..) => Some((*topic, *part)),
            Self::Holdings | Self::Join(..) | Self::Leave(_) => None,
        }
    }
}

/// Carries out a call.
fn perform(store: &dyn Store, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
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

fn unexpected<T>(answer: &StoreAnswer) -> Result<T, StoreError> {
    Err(StoreError::Unreadable {
        reason: format!("unexpected answer {answer:?}"),
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
            other => unexpected(&other),
        }
    }

    fn newest(&self, topic: Topic, part: u32, after: Option<&str>) -> Result<Page, StoreError> {
        match self.call(&StoreCall::Newest(topic, part, after.map(str::to_owned)))? {
            StoreAnswer::Page(page) => Ok(page),
            other => unexpected(&other),
        }
    }

    fn join(&self, member: &str, generation: u64, ttl: Duration) -> Result<Assignment, StoreError> {
        match self.call(&StoreCall::Join(member.to_owned(), generation, ttl))? {
            StoreAnswer::Assignment(assignment) => Ok(assignment),
            other => unexpected(&other),
        }
    }

    fn leave(&self, member: &str) -> Result<(), StoreError> {
        self.call(&StoreCall::Leave(member.to_owned())).map(drop)
    }

    fn holdings(&self) -> Result<Vec<Holding>, StoreError> {
        match self.call(&StoreCall::Holdings)? {
            StoreAnswer::Holdings(holdings) => {
                self.learn(&holdings);
                Ok(holdings)
            }
            other => unexpected(&other),
        }
    }
}
