use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use godwitspool_host::http::{Bounds, Caller, Request, Response, Server};
use serde_json::{Value, json};

use crate::read_rate::ReadRate;

/// Maximum number of keys per page, as in the protocol.
const MAX_PAGE_KEYS: usize = 500;
/// Maximum size of the values of a page, as in the protocol. A page has one key at least.
const MAX_PAGE_BYTES: usize = 1024 * 1024;
/// Number of latest appends that are recognized when repeated, as in the protocol.
const MAX_RECENT_APPENDS: usize = 5;
/// Maximum total size of the records of one append, unless another one is set. The platform's default.
const MAX_CALL_BYTES: usize = 2 * 1024 * 1024;
/// Time until the connection of an unanswered call is closed.
const SILENCE_DURATION: Duration = Duration::from_secs(20);

/// Fault of a call to the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// The store responds with status 503 and doesn't execute the call.
    Busy,
    /// The store executes the call and sends no response.
    LoseAnswer,
    /// The store neither executes the call nor sends a response.
    Silent,
    /// The store sends no response and executes the call after this time.
    Late(Duration),
    /// The store closes the connection without a response and doesn't execute the call.
    Reset,
}

/// An in-memory fake of the platform's record store, with the calls `/api/log-*` of its protocol.
#[derive(Debug)]
pub struct PlatformStore {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

type FaultFn = Box<dyn Fn(&Request) -> StoreFault + Send>;

#[derive(Default)]
struct State {
    /// Partitions by topic and number.
    topics: HashMap<(String, u32), Partition>,
    group: Group,
    fault: Option<FaultFn>,
    /// Maximum total size of the records of one append.
    call_bytes: Option<usize>,
    /// Total size of what hosts have appended from which on appends are refused.
    room_bytes: Option<usize>,
    reads: ReadRate,
    /// Number of calls by path and topic.
    calls: HashMap<(String, String), usize>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State")
            .field("calls", &self.calls)
            .finish_non_exhaustive()
    }
}

#[derive(Debug, Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    /// Offset of the first retained record.
    first: u64,
    /// Total size of the retained records that hosts have appended.
    appended_bytes: usize,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    /// Highest epoch of an append; lower ones are fenced.
    epoch: u64,
    /// Sequence number of the last append in this epoch.
    last_seq: Option<u64>,
    /// Sequence numbers and answers of the latest appends.
    recent: Vec<(u64, Value)>,
}

/// The members that share the partitions among themselves.
#[derive(Debug, Default)]
struct Group {
    /// Number of assignments so far.
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Owner by topic and partition number.
    owners: BTreeMap<(String, u32), String>,
}

/// A member as of its last join.
#[derive(Debug)]
struct Member {
    joined_at: Instant,
    ttl: Duration,
    /// Topics whose partitions it may be assigned. They may differ between members.
    topics: Vec<String>,
}

impl PlatformStore {
    /// Starts a store with `parts` partitions per topic.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub fn start(parts: u32) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let own = Arc::clone(&shared);
        let handle =
            move |caller: &mut Caller, request: Request| own.serve(caller, &request, parts);
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(address, Bounds::default, handle)?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the function that returns the fault of each further call.
    pub fn set_fault(&self, decide: impl Fn(&Request) -> StoreFault + Send + 'static) {
        self.shared.lock().fault = Some(Box::new(decide));
    }

    /// Removes the function set by [`set_fault`](Self::set_fault).
    pub fn clear_fault(&self) {
        self.shared.lock().fault = None;
    }

    /// Sets the maximum total size of the records of one append. Larger ones get status 413.
    pub fn limit_calls(&self, bytes: usize) {
        self.shared.lock().call_bytes = Some(bytes);
    }

    /// Sets the total size of the records of hosts, superseded ones included, from which on every append
    /// of a host gets status 507. Without a limit no append does.
    pub fn limit_room(&self, bytes: Option<usize>) {
        self.shared.lock().room_bytes = bytes;
    }

    /// Sets the rate that the responses of all reads share. They are sent one behind another, even if the
    /// caller has given up meanwhile; a read gets status 503 while more than 2 s are queued.
    pub fn limit_reads(&self, bytes_per_s: Option<u64>) {
        self.shared.lock().reads = ReadRate::new(bytes_per_s);
    }

    /// Appends a keyed record to partition 0 of a topic, as an operator or a target does. A record
    /// without a value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&Value>) {
        let value = value.map(|value| value.to_string().into_bytes());
        self.put_raw(topic, key, &value.unwrap_or_default());
    }

    /// Appends a keyed record to partition 0 of a topic with any bytes as its value.
    pub fn put_raw(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut state = self.shared.lock();
        let partition = state.topics.entry((topic.to_owned(), 0)).or_default();
        partition.append(true, record);
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Drops all records of a topic except the newest of each key. Reads from a dropped offset get
    /// status 410.
    pub fn compact(&self, topic: &str) {
        let mut state = self.shared.lock();
        let partitions = state
            .topics
            .iter_mut()
            .filter(|((name, _), _)| name == topic);
        for (_, partition) in partitions {
            partition.first += partition.records.len() as u64;
            partition.records.clear();
            partition.appended_bytes = 0;
        }
    }

    /// Reassigns all partitions without regard to their owners. `parts` is the number of partitions
    /// per topic.
    pub fn rebalance(&self, parts: u32) {
        let mut state = self.shared.lock();
        state.group.owners.clear();
        state.group.assign(parts);
    }

    /// Returns the names of the members that hold partitions, one for each partition.
    pub fn holders(&self) -> Vec<String> {
        let state = self.shared.lock();
        state.group.owners.values().cloned().collect()
    }

    /// Returns partition, key and value of the newest records of a topic, sorted.
    pub fn newest(&self, topic: &str) -> Vec<(u32, String, Vec<u8>)> {
        let state = self.shared.lock();
        let partitions = state.topics.iter().filter(|((name, _), _)| name == topic);
        let records = partitions.flat_map(|((_, part), partition)| {
            let newest = partition.newest.iter();
            newest.map(|(key, (_, value))| (*part, key.clone(), value.clone()))
        });
        let mut records: Vec<_> = records.collect();
        records.sort();
        records
    }

    /// Returns the total size of the retained records that hosts have appended.
    pub fn stored_bytes(&self) -> usize {
        self.shared.lock().stored_bytes()
    }

    /// Returns the number of calls to a path, including those with a fault.
    pub fn calls(&self, path: &str) -> usize {
        self.count_calls(path, |_| true)
    }

    /// Returns the number of calls to a path for one of the topics, including those with a fault.
    pub fn calls_for(&self, path: &str, topics: &[&str]) -> usize {
        self.count_calls(path, |topic| topics.contains(&topic))
    }

    fn count_calls(&self, path: &str, wanted: impl Fn(&str) -> bool) -> usize {
        let state = self.shared.lock();
        let calls = state.calls.iter();
        let calls = calls.filter(|((call, topic), _)| call == path && wanted(topic));
        calls.map(|(_, count)| count).sum()
    }
}

impl Drop for PlatformStore {
    fn drop(&mut self) {
        self.server.stop();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, caller: &mut Caller, request: &Request, parts: u32) -> io::Result<()> {
        let closed = || Err(io::ErrorKind::ConnectionAborted.into());
        let mut state = self.lock();
        let call = (request.path().to_owned(), topic_part(request).0);
        *state.calls.entry(call).or_default() += 1;
        let fault = state
            .fault
            .as_ref()
            .map(|decide| decide(request))
            .unwrap_or_default();
        drop(state);
        match fault {
            StoreFault::Busy => return caller.respond(&Response::new(503, Vec::new())),
            StoreFault::Reset => return closed(),
            StoreFault::Silent => {
                thread::sleep(SILENCE_DURATION);
                return closed();
            }
            StoreFault::Late(after) => {
                thread::sleep(after);
                self.answer(request, parts);
                return closed();
            }
            StoreFault::None | StoreFault::LoseAnswer => {}
        }
        let answer = self.answer(request, parts);
        if fault == StoreFault::LoseAnswer {
            thread::sleep(SILENCE_DURATION);
            return closed();
        }
        caller.respond(&answer)
    }

    fn answer(&self, request: &Request, parts: u32) -> Response {
        match request.path() {
            "/api/log-append" => self.append(request),
            "/api/log-read" => self.at_rate(|| self.read(request)),
            "/api/log-newest" => self.at_rate(|| self.page(request)),
            "/api/log-join" => self.join(request, parts),
            "/api/log-trim" => self.trim(request),
            "/api/log-leave" => {
                let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let member = body["member"].as_str().unwrap_or_default();
                let mut state = self.lock();
                state.group.members.remove(member);
                state.group.assign(parts);
                Response::new(200, "{}")
            }
            "/api/log-owners" => {
                let mut state = self.lock();
                if state.group.expire(Instant::now()) {
                    state.group.assign(parts);
                }
                let owners = state.group.owners.iter();
                let rows = owners.map(|((topic, part), member)| json!([topic, part, member, 0]));
                json_response(200, &json!({ "parts": rows.collect::<Vec<_>>() }))
            }
            _ => Response::new(404, Vec::new()),
        }
    }

    /// Returns the response of a read when the rate of all reads lets it be sent.
    fn at_rate(&self, read: impl FnOnce() -> Response) -> Response {
        let queue = |bytes| self.lock().reads.queue(bytes, Instant::now());
        let response = queue(0).map(|_| read());
        let queued = response.and_then(|response| Some((queue(response.body.len())?, response)));
        let Some((wait, response)) = queued else {
            return json_response(503, &json!({ "error": "try later" }));
        };
        thread::sleep(wait);
        response
    }

    fn append(&self, request: &Request) -> Response {
        let (topic, part) = topic_part(request);
        if matches!(topic.as_str(), "keyed.op" | "keyed.servers") {
            return Response::new(403, Vec::new());
        }
        let number = |name| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let mut state = self.lock();
        if !state.has_room() {
            return json_response(507, &json!({ "error": "no room" }));
        }
        if request.body.len() > state.call_bytes.unwrap_or(MAX_CALL_BYTES) {
            return Response::new(413, Vec::new());
        }
        let keyed = topic.starts_with("keyed.");
        let partition = state.topics.entry((topic, part)).or_default();
        if let (Some(epoch), Some(seq)) = (number("epoch"), number("seq")) {
            if epoch < partition.epoch {
                return json_response(409, &json!({ "why": "fenced" }));
            }
            if epoch > partition.epoch {
                partition.epoch = epoch;
                partition.last_seq = None;
                partition.recent.clear();
            }
            if !request.body.is_empty() {
                if let Some((_, answer)) = partition.recent.iter().find(|(old, _)| *old == seq) {
                    return json_response(200, answer);
                }
                let expected = partition.last_seq.map(|last| last + 1);
                if expected.is_some_and(|expected| expected != seq) {
                    return json_response(409, &json!({ "why": "seq", "seq": expected }));
                }
                partition.last_seq = Some(seq);
            }
        }
        if number("at").is_some_and(|at| at != partition.end()) {
            return json_response(412, &json!({ "end_offset": partition.end() }));
        }
        let offset = partition.end();
        let mut rest = &request.body[..];
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, tail)) = tail.split_at_checked(length) else {
                return Response::new(400, Vec::new());
            };
            partition.append(keyed, record.to_vec());
            partition.appended_bytes += length;
            rest = tail;
        }
        let answer = json!({ "offset": offset, "end_offset": partition.end() });
        if let Some(seq) = number("seq").filter(|_| !request.body.is_empty()) {
            partition.recent.push((seq, answer.clone()));
            let surplus = partition.recent.len().saturating_sub(MAX_RECENT_APPENDS);
            partition.recent.drain(..surplus);
        }
        drop(state);
        self.changed.notify_all();
        json_response(200, &answer)
    }

    fn trim(&self, request: &Request) -> Response {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (Some(topic), Some(part), Some(before)) = (
            body["topic"].as_str(),
            body["part"].as_u64(),
            body["before"].as_u64(),
        ) else {
            return Response::new(400, Vec::new());
        };
        let mut state = self.lock();
        let place = (topic.to_owned(), part as u32);
        state.topics.entry(place).or_default().trim(before);
        Response::new(200, "{}")
    }

    fn read(&self, request: &Request) -> Response {
        let number = |name| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("start_from").unwrap_or_default();
        let deadline =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut state = self.lock();
        loop {
            let partition = state.topics.entry(topic_part(request)).or_default();
            if from < partition.first {
                return json_response(410, &json!({ "first_offset": partition.first }));
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if partition.end() > from || left.is_zero() {
                let mut bytes = partition.end().to_be_bytes().to_vec();
                bytes.extend_from_slice(&partition.first.to_be_bytes());
                let skipped = (from - partition.first) as usize;
                for record in partition.records.iter().skip(skipped) {
                    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(record);
                }
                return Response::new(200, bytes);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn page(&self, request: &Request) -> Response {
        use base64::{Engine as _, prelude::BASE64_STANDARD};

        let after = request.parameter("after").unwrap_or_default().to_owned();
        let mut state = self.lock();
        let partition = state.topics.entry(topic_part(request)).or_default();
        let newest = partition.newest.iter().filter(|(key, _)| **key > after);
        let mut items: Vec<Value> = Vec::new();
        let (mut used, mut more) = (0, false);
        for (key, (offset, value)) in newest {
            used += value.len();
            more = items.len() == MAX_PAGE_KEYS || (used > MAX_PAGE_BYTES && !items.is_empty());
            if more {
                break;
            }
            let value = BASE64_STANDARD.encode(value);
            items.push(json!({ "key": key, "offset": offset, "value": value }));
        }
        let end = partition.end();
        json_response(
            200,
            &json!({ "items": items, "has_more": more, "end_offset": end }),
        )
    }

    fn join(&self, request: &Request, parts: u32) -> Response {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let member = body["member"].as_str().unwrap_or_default().to_owned();
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(3_000));
        let topics = body["topics"].as_array().into_iter().flatten();
        let topics: Vec<String> = topics
            .filter_map(|name| name.as_str().map(str::to_owned))
            .collect();
        let mut state = self.lock();
        let group = &mut state.group;
        let now = Instant::now();
        let joined = Member {
            joined_at: now,
            ttl,
            topics: topics.clone(),
        };
        let before = group.members.insert(member.clone(), joined);
        let renewed = before.is_some_and(|before| before.topics == topics);
        if group.expire(now) || !renewed {
            group.assign(parts);
        }
        let owned = group.owners.iter().filter(|(_, owner)| **owner == member);
        let rows: Vec<Value> = owned
            .map(|((topic, part), _)| json!([topic, part, 0]))
            .collect();
        let ttl_ms = ttl.as_millis() as u64;
        let answer = json!({ "generation": group.generation, "ttl_ms": ttl_ms, "parts": rows });
        json_response(200, &answer)
    }
}

impl State {
    fn has_room(&self) -> bool {
        let used = self.stored_bytes();
        self.room_bytes.is_none_or(|limit| used < limit)
    }

    fn stored_bytes(&self) -> usize {
        let partitions = self.topics.values();
        partitions.map(|partition| partition.appended_bytes).sum()
    }
}

impl Partition {
    /// Drops the records before an offset, except the newest of each key.
    fn trim(&mut self, before: u64) {
        let count = before.min(self.end()).saturating_sub(self.first);
        self.records.drain(..count as usize);
        self.first += count;
        let records = self.records.iter().map(Vec::len);
        let newest = self.newest.iter();
        let kept = newest.filter(|(_, (offset, _))| *offset < self.first);
        let kept = kept.map(|(key, (_, value))| 1 + key.len() + value.len());
        self.appended_bytes = records.chain(kept).sum();
    }

    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, keyed: bool, record: Vec<u8>) {
        let offset = self.end();
        if let Some((length, rest)) = record.split_first().filter(|_| keyed)
            && let Some((key, value)) = rest.split_at_checked(usize::from(*length))
        {
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value.to_vec()));
            }
        }
        self.records.push(record);
    }
}

impl Group {
    /// Removes the members that have not renewed their membership in time; returns whether there were any.
    fn expire(&mut self, now: Instant) -> bool {
        let count = self.members.len();
        self.members
            .retain(|_, member| now.duration_since(member.joined_at) < member.ttl);
        self.members.len() < count
    }

    /// Assigns the partitions of each topic evenly to the members that joined for it. A partition keeps
    /// its owner if that is still such a member and has no more than its share.
    fn assign(&mut self, parts: u32) {
        self.generation += 1;
        let topics = self.members.values().flat_map(|member| &member.topics);
        let topics: BTreeSet<&String> = topics.collect();
        let all = topics
            .into_iter()
            .flat_map(|topic| (0..parts).map(move |part| (topic.clone(), part)));
        let all: Vec<(String, u32)> = all.collect();
        let candidates = |topic: &String| {
            let members = self.members.iter();
            let joined = members.filter(|(_, member)| member.topics.contains(topic));
            joined.map(|(name, _)| name).collect::<Vec<_>>()
        };
        let mut shares: HashMap<&String, usize> = HashMap::new();
        let mut owners = BTreeMap::new();
        let mut unassigned = Vec::new();
        for topic_part in &all {
            let members = candidates(&topic_part.0);
            let max_share = all.len().div_ceil(members.len().max(1));
            let current = self
                .owners
                .get(topic_part)
                .and_then(|old| members.iter().copied().find(|member| *member == old));
            match current {
                Some(member) if shares.get(member).copied().unwrap_or_default() < max_share => {
                    *shares.entry(member).or_default() += 1;
                    owners.insert(topic_part.clone(), member.clone());
                }
                _ => unassigned.push(topic_part),
            }
        }
        for topic_part in unassigned {
            let members = candidates(&topic_part.0);
            let least_loaded = members
                .iter()
                .min_by_key(|member| shares.get(*member).copied());
            if let Some(member) = least_loaded {
                *shares.entry(member).or_default() += 1;
                owners.insert(topic_part.clone(), (*member).clone());
            }
        }
        self.owners = owners;
    }
}

/// Returns the topic and partition number of a call.
fn topic_part(request: &Request) -> (String, u32) {
    let topic = request.parameter("topic").unwrap_or_default().to_owned();
    let part = request.parameter("part").and_then(|text| text.parse().ok());
    (topic, part.unwrap_or_default())
}

fn json_response(status: u16, body: &Value) -> Response {
    Response::new(status, body.to_string()).with("Content-Type", "application/json")
}
