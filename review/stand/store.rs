//! Stand-in for the platform's store, with one address for each host, so that a host can be cut off
//! from the store alone.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::net::{Json, Message, base64, read_message, respond};

pub const PARTS: u32 = 8;
const RECENT: usize = 5;
const PAGE_KEYS: usize = 500;

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    topics: HashMap<(String, u32), Partition>,
    group: Group,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    epoch: u64,
    last_seq: Option<u64>,
    recent: Vec<(u64, String)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (Instant, Duration)>,
    topics: Vec<String>,
    /// Who holds a partition, and who is to hold it.
    holders: BTreeMap<(String, u32), (String, String)>,
}

impl Partition {
    fn append(&mut self, keyed: bool, record: Vec<u8>) {
        let offset = self.records.len() as u64;
        if keyed && !record.is_empty() {
            let length = usize::from(record[0]);
            if record.len() > length {
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                let value = record[length + 1..].to_vec();
                if value.is_empty() {
                    self.newest.remove(&key);
                } else {
                    self.newest.insert(key, (offset, value));
                }
            }
        }
        self.records.push(record);
    }
}

impl Group {
    /// Removes members that have been silent, and deals the partitions evenly if members changed. A
    /// partition goes to its next holder once the old one has left, is silent, or has joined with
    /// the generation in which it is no longer listed.
    fn deal(&mut self, mut changed: bool) {
        let now = Instant::now();
        let before = self.members.len();
        self.members
            .retain(|_, (at, ttl)| now.duration_since(*at) < *ttl);
        changed |= before != self.members.len();
        if changed {
            self.generation += 1;
            // Every host gets about as many partitions of each topic.
            let all: Vec<(String, u32)> = (0..PARTS)
                .flat_map(|part| self.topics.iter().map(move |topic| (topic.clone(), part)))
                .collect();
            let most = all.len().div_ceil(self.members.len().max(1));
            let mut counts: BTreeMap<String, usize> = self
                .members
                .keys()
                .map(|member| (member.clone(), 0))
                .collect();
            let mut open = Vec::new();
            let mut wanted = BTreeMap::new();
            for part in all {
                let old = self.holders.get(&part).map(|(holder, _)| holder.clone());
                match old.filter(|old| counts.get(old).is_some_and(|count| *count < most)) {
                    Some(old) => {
                        *counts.entry(old.clone()).or_default() += 1;
                        wanted.insert(part, old);
                    }
                    None => open.push(part),
                }
            }
            for part in open {
                let Some(least) = counts.iter().min_by_key(|(_, count)| **count) else {
                    break;
                };
                let least = least.0.clone();
                *counts.entry(least.clone()).or_default() += 1;
                wanted.insert(part, least);
            }
            let mut holders = BTreeMap::new();
            for (part, next) in wanted {
                let old = self.holders.get(&part).map(|(holder, _)| holder.clone());
                let old = old.filter(|old| self.members.contains_key(old));
                holders.insert(part, (old.unwrap_or_else(|| next.clone()), next));
            }
            self.holders = holders;
        }
    }

    fn release(&mut self, member: &str) {
        let mut moved = false;
        for (holder, next) in self.holders.values_mut() {
            if holder == member && next != member {
                *holder = next.clone();
                moved = true;
            }
        }
        if moved {
            self.generation += 1;
        }
    }
}

impl Store {
    /// Starts a listener for one host. While `cut` is set, the host and the store don't reach each other.
    pub fn listen(self: &Arc<Self>, cut: Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, cut) = (Arc::clone(&store), Arc::clone(&cut));
                thread::spawn(move || store.serve(stream, &cut));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream, cut: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
            if cut.load(Ordering::SeqCst) {
                return wait_closed(&mut stream);
            }
            let (status, body) = self.answer(&request);
            if cut.load(Ordering::SeqCst) {
                return wait_closed(&mut stream);
            }
            if respond(&mut stream, status, &[], &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        match request.path() {
            "/api/log-append" => self.append(request),
            "/api/log-read" => self.read(request),
            "/api/log-newest" => self.newest_page(request),
            "/api/log-join" => self.join(request),
            "/api/log-leave" => {
                let body = Json::parse(&request.body);
                let mut state = self.state.lock().unwrap();
                let left = state
                    .group
                    .members
                    .remove(body.get("member").text())
                    .is_some();
                state.group.deal(left);
                (200, b"{}".to_vec())
            }
            "/api/log-owners" => {
                let mut state = self.state.lock().unwrap();
                state.group.deal(false);
                let rows: Vec<String> = state
                    .group
                    .holders
                    .iter()
                    .map(|((topic, part), (holder, _))| {
                        format!("[\"{topic}\",{part},\"{holder}\",0]")
                    })
                    .collect();
                (
                    200,
                    format!("{{\"parts\":[{}]}}", rows.join(",")).into_bytes(),
                )
            }
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.parameter("topic").unwrap_or_default().to_owned();
        let part = request.number("part").unwrap_or_default() as u32;
        if matches!(topic.as_str(), "keyed.op" | "keyed.servers") {
            return (403, Vec::new());
        }
        let keyed = topic.starts_with("keyed.");
        let mut state = self.state.lock().unwrap();
        let partition = state.topics.entry((topic, part)).or_default();
        let sequence = request.number("epoch").zip(request.number("seq"));
        if let Some((epoch, seq)) = sequence {
            if epoch < partition.epoch {
                return (409, b"{\"why\":\"fenced\"}".to_vec());
            }
            if epoch > partition.epoch {
                partition.epoch = epoch;
                partition.last_seq = None;
                partition.recent.clear();
            }
            if request.body.is_empty() {
                let end = partition.records.len();
                return (
                    200,
                    format!("{{\"offset\":{end},\"end_offset\":{end}}}").into_bytes(),
                );
            }
            if let Some((_, answer)) = partition.recent.iter().find(|(old, _)| *old == seq) {
                return (200, answer.clone().into_bytes());
            }
            let expected = partition.last_seq.map(|last| last + 1);
            if expected.is_some_and(|expected| expected != seq) {
                let expected = expected.unwrap_or_default();
                return (
                    409,
                    format!("{{\"why\":\"seq\",\"seq\":{expected}}}").into_bytes(),
                );
            }
            partition.last_seq = Some(seq);
        }
        let offset = partition.records.len();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length {
                return (400, Vec::new());
            }
            partition.append(keyed, rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let answer = format!(
            "{{\"offset\":{offset},\"end_offset\":{}}}",
            partition.records.len()
        );
        if let Some((_, seq)) = sequence {
            partition.recent.push((seq, answer.clone()));
            let surplus = partition.recent.len().saturating_sub(RECENT);
            partition.recent.drain(..surplus);
        }
        drop(state);
        self.changed.notify_all();
        (200, answer.into_bytes())
    }

    fn read(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.parameter("topic").unwrap_or_default().to_owned();
        let part = request.number("part").unwrap_or_default() as u32;
        let from = request.number("start_from").unwrap_or_default() as usize;
        let due =
            Instant::now() + Duration::from_millis(request.number("wait_ms").unwrap_or_default());
        let mut state = self.state.lock().unwrap();
        loop {
            let partition = state.topics.entry((topic.clone(), part)).or_default();
            let left = due.saturating_duration_since(Instant::now());
            if partition.records.len() > from || left.is_zero() {
                let mut bytes = (partition.records.len() as u64).to_be_bytes().to_vec();
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                for record in partition.records.iter().skip(from) {
                    if bytes.len() > 1 << 20 {
                        break;
                    }
                    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(record);
                }
                return (200, bytes);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest_page(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.parameter("topic").unwrap_or_default().to_owned();
        let part = request.number("part").unwrap_or_default() as u32;
        let after = request.parameter("after").unwrap_or_default().to_owned();
        let mut state = self.state.lock().unwrap();
        let partition = state.topics.entry((topic, part)).or_default();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in partition.newest.iter().filter(|(key, _)| **key > after) {
            if items.len() == PAGE_KEYS || (bytes > 0 && bytes + value.len() > 1 << 20) {
                more = true;
                break;
            }
            bytes += value.len();
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let end = partition.records.len();
        let items = items.join(",");
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":{more},\"end_offset\":{end}}}")
                .into_bytes(),
        )
    }

    fn join(&self, request: &Message) -> (u16, Vec<u8>) {
        let body = Json::parse(&request.body);
        let member = body.get("member").text().to_owned();
        let ttl = Duration::from_millis(body.get("ttl_ms").number().max(1_000));
        let mut state = self.state.lock().unwrap();
        let group = &mut state.group;
        group.topics = body
            .get("topics")
            .list()
            .iter()
            .map(|t| t.text().to_owned())
            .collect();
        group.deal(false);
        let new = group
            .members
            .insert(member.clone(), (Instant::now(), ttl))
            .is_none();
        group.deal(new);
        if body.get("generation").number() >= group.generation {
            group.release(&member);
        }
        let rows: Vec<String> = group
            .holders
            .iter()
            .filter(|(_, (holder, next))| *holder == member && *next == member)
            .map(|((topic, part), _)| format!("[\"{topic}\",{part},0]"))
            .collect();
        let rows = rows.join(",");
        (
            200,
            format!("{{\"generation\":{},\"parts\":[{rows}]}}", group.generation).into_bytes(),
        )
    }

    /// Writes a keyed record to partition 0, as the operator or a worker does; an empty value drops it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        state
            .topics
            .entry((topic.to_owned(), 0))
            .or_default()
            .append(true, record);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the member that holds each partition of a topic.
    pub fn holders(&self, topic: &str) -> Vec<(u32, String)> {
        let state = self.state.lock().unwrap();
        let holders = state
            .group
            .holders
            .iter()
            .filter(|((name, _), _)| name == topic);
        holders
            .map(|((_, part), (holder, _))| (*part, holder.clone()))
            .collect()
    }
}

/// Reads and drops what arrives until the other side closes the connection.
fn wait_closed(stream: &mut TcpStream) {
    use std::io::Read;
    let mut bytes = [0; 4096];
    while stream.read(&mut bytes).is_ok_and(|read| read > 0) {}
}
