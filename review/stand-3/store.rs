//! Stand-in of the platform's store, a log with keyed topics and a group of members.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{Message, response, serve},
    text::{Json, base64},
};

const PARTS: u32 = 8;
/// Bytes in all topics from which on appends get status 507.
const MAX_BYTES: usize = 400 << 20;
const MAX_PAGE_KEYS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Part {
    records: Vec<Arc<Vec<u8>>>,
    /// Offset and record of the newest value of each key.
    newest: BTreeMap<String, (u64, Arc<Vec<u8>>)>,
    epoch: u64,
    last_seq: Option<u64>,
    recent: Vec<(u64, String)>,
}

impl Part {
    fn append(&mut self, keyed: bool, record: Vec<u8>) {
        let offset = self.records.len() as u64;
        let record = Arc::new(record);
        if keyed && let Some((length, rest)) = record.split_first() {
            let length = usize::from(*length).min(rest.len());
            let key = String::from_utf8_lossy(&rest[..length]).into_owned();
            if rest.len() == length {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, Arc::clone(&record)));
            }
        }
        self.records.push(record);
    }
}

struct Member {
    joined: Instant,
    ttl: Duration,
    topics: Vec<String>,
}

#[derive(Default)]
struct State {
    parts: HashMap<(String, u32), Part>,
    bytes: usize,
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Who is to hold each partition, and who still holds it.
    wanted: BTreeMap<(String, u32), String>,
    held: BTreeMap<(String, u32), String>,
}

impl State {
    /// Removes members whose time is over; returns whether any was.
    fn expire(&mut self) -> bool {
        let before = self.members.len();
        self.members
            .retain(|_, member| member.joined.elapsed() < member.ttl);
        self.members.len() != before
    }

    /// Distributes the partitions evenly; most stay where they are.
    fn deal(&mut self) {
        self.generation += 1;
        let mut topics: Vec<String> = Vec::new();
        for member in self.members.values() {
            for topic in &member.topics {
                if !topics.contains(topic) {
                    topics.push(topic.clone());
                }
            }
        }
        topics.sort();
        let names: Vec<String> = self.members.keys().cloned().collect();
        self.held.retain(|_, holder| names.contains(holder));
        self.wanted.clear();
        for topic in topics {
            let most = (PARTS as usize).div_ceil(names.len().max(1));
            let mut counts: HashMap<String, usize> = HashMap::new();
            let places: Vec<_> = (0..PARTS).map(|part| (topic.clone(), part)).collect();
            for place in &places {
                if let Some(holder) = self.held.get(place) {
                    let count = counts.entry(holder.clone()).or_default();
                    if *count < most {
                        *count += 1;
                        self.wanted.insert(place.clone(), holder.clone());
                    }
                }
            }
            for place in &places {
                if self.wanted.contains_key(place) {
                    continue;
                }
                let least = names
                    .iter()
                    .min_by_key(|name| counts.get(*name).copied().unwrap_or(0));
                if let Some(name) = least.cloned() {
                    *counts.entry(name.clone()).or_default() += 1;
                    self.wanted.insert(place.clone(), name);
                }
            }
        }
    }

    /// Gives partitions without a holder to those who are to hold them.
    fn settle(&mut self) {
        for (place, name) in &self.wanted {
            self.held
                .entry(place.clone())
                .or_insert_with(|| name.clone());
        }
    }
}

#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(&self) -> io::Result<SocketAddr> {
        let own = self.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        serve(any, move |call, socket| own.answer(call, socket))
    }

    /// Writes a record as the operator or a worker does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.inner.0.lock().unwrap();
        state
            .parts
            .entry((topic.to_owned(), 0))
            .or_default()
            .append(true, record);
        drop(state);
        self.inner.1.notify_all();
    }

    fn answer(&self, call: &Message, socket: &mut TcpStream) -> io::Result<()> {
        let (status, body) = match call.path() {
            "/api/log-append" => self.append(call),
            "/api/log-read" => self.read(call),
            "/api/log-newest" => self.newest(call),
            "/api/log-join" => self.join(call),
            "/api/log-leave" => self.leave(call),
            "/api/log-owners" => self.owners(),
            _ => (404, Vec::new()),
        };
        socket.write_all(&response(status, &[], &body))
    }

    fn append(&self, call: &Message) -> (u16, Vec<u8>) {
        let topic = call.query("topic").unwrap_or_default();
        if matches!(topic.as_str(), "keyed.op" | "keyed.servers") {
            return (403, Vec::new());
        }
        let mut state = self.inner.0.lock().unwrap();
        if state.bytes + call.body.len() > MAX_BYTES {
            return (507, Vec::new());
        }
        let keyed = topic.starts_with("keyed.");
        let place = (topic, call.number("part").unwrap_or(0) as u32);
        let part = state.parts.entry(place).or_default();
        let writer = call.number("epoch").zip(call.number("seq"));
        if let Some((epoch, seq)) = writer {
            if epoch < part.epoch {
                return (409, br#"{"why":"fenced"}"#.to_vec());
            }
            if epoch > part.epoch {
                part.epoch = epoch;
                part.last_seq = None;
                part.recent.clear();
            }
            if !call.body.is_empty() {
                if let Some((_, answer)) = part.recent.iter().find(|(old, _)| *old == seq) {
                    return (200, answer.clone().into_bytes());
                }
                if let Some(last) = part.last_seq.filter(|last| last + 1 != seq) {
                    let why = format!(r#"{{"why":"seq","seq":{}}}"#, last + 1);
                    return (409, why.into_bytes());
                }
                part.last_seq = Some(seq);
            }
        }
        let offset = part.records.len();
        let mut rest = &call.body[..];
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, tail)) = tail.split_at_checked(length) else {
                return (400, Vec::new());
            };
            part.append(keyed, record.to_vec());
            rest = tail;
        }
        let answer = format!(
            r#"{{"offset":{offset},"end_offset":{}}}"#,
            part.records.len()
        );
        if let Some((_, seq)) = writer.filter(|_| !call.body.is_empty()) {
            part.recent.push((seq, answer.clone()));
            if part.recent.len() > 5 {
                part.recent.remove(0);
            }
        }
        state.bytes += call.body.len();
        drop(state);
        self.inner.1.notify_all();
        (200, answer.into_bytes())
    }

    fn read(&self, call: &Message) -> (u16, Vec<u8>) {
        let place = (
            call.query("topic").unwrap_or_default(),
            call.number("part").unwrap_or(0) as u32,
        );
        let from = call.number("start_from").unwrap_or(0) as usize;
        let most = call.number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let due = Instant::now() + Duration::from_millis(call.number("wait_ms").unwrap_or(0));
        let mut state = self.inner.0.lock().unwrap();
        loop {
            let part = state.parts.entry(place.clone()).or_default();
            let left = due.saturating_duration_since(Instant::now());
            if part.records.len() > from || left.is_zero() {
                let mut bytes = (part.records.len() as u64).to_be_bytes().to_vec();
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                for record in part.records.iter().skip(from) {
                    if bytes.len() > 16 && bytes.len() + record.len() > most {
                        break;
                    }
                    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(record);
                }
                return (200, bytes);
            }
            state = self.inner.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, call: &Message) -> (u16, Vec<u8>) {
        let place = (
            call.query("topic").unwrap_or_default(),
            call.number("part").unwrap_or(0) as u32,
        );
        let after = call.query("after");
        let mut state = self.inner.0.lock().unwrap();
        let part = state.parts.entry(place).or_default();
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, (offset, record)) in &part.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= MAX_PAGE_KEYS || (bytes > 0 && bytes + record.len() > MAX_PAGE_BYTES)
            {
                more = true;
                break;
            }
            bytes += record.len();
            let value = base64(&record[1 + key.len()..]);
            items.push(format!(
                r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#
            ));
        }
        let end = part.records.len();
        let items = items.join(",");
        let page = format!(r#"{{"items":[{items}],"has_more":{more},"end_offset":{end}}}"#);
        (200, page.into_bytes())
    }

    fn join(&self, call: &Message) -> (u16, Vec<u8>) {
        let body = Json::parse(&call.body);
        let name = body.get("member").text().to_owned();
        let topics = body
            .get("topics")
            .list()
            .iter()
            .map(|topic| topic.text().to_owned())
            .collect();
        let known = body.get("generation").number();
        let mut state = self.inner.0.lock().unwrap();
        let member = Member {
            joined: Instant::now(),
            ttl: Duration::from_millis(body.get("ttl_ms").number()),
            topics,
        };
        let new = state.members.insert(name.clone(), member).is_none();
        if state.expire() || new {
            state.deal();
        }
        if known >= state.generation {
            // The member has seen this assignment, so it has given up what isn't listed any more.
            let state = &mut *state;
            let wanted = &state.wanted;
            state
                .held
                .retain(|place, holder| *holder != name || wanted.get(place) == Some(&name));
        }
        state.settle();
        let rows = state
            .wanted
            .iter()
            .filter(|(place, wanted)| **wanted == name && state.held.get(*place) == Some(&name));
        let rows: Vec<String> = rows
            .map(|((topic, part), _)| format!(r#"["{topic}",{part},0]"#))
            .collect();
        let rows = rows.join(",");
        (
            200,
            format!(r#"{{"generation":{},"parts":[{rows}]}}"#, state.generation).into_bytes(),
        )
    }

    fn leave(&self, call: &Message) -> (u16, Vec<u8>) {
        let body = Json::parse(&call.body);
        let mut state = self.inner.0.lock().unwrap();
        if state.members.remove(body.get("member").text()).is_some() {
            state.deal();
            state.settle();
        }
        (200, b"{}".to_vec())
    }

    fn owners(&self) -> (u16, Vec<u8>) {
        let mut state = self.inner.0.lock().unwrap();
        if state.expire() {
            state.deal();
            state.settle();
        }
        let rows = state.held.iter();
        let rows: Vec<String> = rows
            .map(|((topic, part), name)| format!(r#"["{topic}",{part},"{name}",0]"#))
            .collect();
        (
            200,
            format!(r#"{{"parts":[{}]}}"#, rows.join(",")).into_bytes(),
        )
    }
}
