//! The platform's store: a log with keyed topics, and the group that shares the partitions.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Wire, serve},
    text::{Json, base64},
};

/// What happens to an append.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// It is done after this time, and not answered.
    Late(Duration),
}

type Decide = Box<dyn Fn(&Message) -> Fault + Send>;

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    epoch: u64,
    last_seq: Option<u64>,
    recent: Vec<(u64, u64, u64)>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn add(&mut self, keyed: bool, record: Vec<u8>) {
        let offset = self.end();
        if keyed && !record.is_empty() {
            let length = usize::from(record[0]) + 1;
            let key = String::from_utf8_lossy(&record[1..length]).into_owned();
            let value = record[length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value));
            }
        }
        self.records.push(record);
    }
}

struct Member {
    joined: Instant,
    ttl: Duration,
}

/// Who holds a partition, and to whom it is dealt.
#[derive(Clone, Debug, Default)]
struct Deal {
    holder: Option<String>,
    dealt: Option<String>,
    /// Generation in which it was dealt anew.
    since: u64,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    deals: BTreeMap<(String, u64), Deal>,
}

#[derive(Default)]
struct State {
    topics: HashMap<(String, u64), Partition>,
    group: Group,
    decide: Option<Decide>,
    appends: u64,
    faulted: u64,
    /// Topic and partition of the newest page that was asked for.
    paged: (String, u64),
}

/// The store. All appends take `APPEND`.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    parts: u64,
    pub address: SocketAddr,
}

/// Topic of the batches, which the store sees in the calls.
pub const BATCHES: &str = "keyed.godwitspool-batches";
/// Topic of their results, whose partitions are dealt.
pub const RESULTS: &str = "keyed.godwitspool-results";
/// Time that a call takes.
const APPEND: Duration = Duration::from_millis(4);

impl Store {
    pub fn start(parts: u64) -> io::Result<Self> {
        let mut store = Self {
            state: Arc::default(),
            changed: Arc::default(),
            parts,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let own = store.clone();
        store.address = serve(store.address, move |wire, request| {
            own.serve(wire, &request)
        })?;
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what becomes of the appends from now on.
    pub fn set_fault(&self, decide: impl Fn(&Message) -> Fault + Send + 'static) {
        let mut state = self.lock();
        state.decide = Some(Box::new(decide));
        (state.appends, state.faulted) = (0, 0);
    }

    /// Ends the disruption. Returns the number of appends since it began, and of those not answered.
    pub fn clear_fault(&self) -> (u64, u64) {
        let mut state = self.lock();
        state.decide = None;
        (state.appends, state.faulted)
    }

    /// Writes a keyed record to partition 0 of a topic, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.lock();
        let partition = state.topics.entry((topic.to_owned(), 0)).or_default();
        partition.add(true, record);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the holder of each partition that has one.
    pub fn holders(&self) -> Vec<(String, u64, String)> {
        let mut state = self.lock();
        state.group.expire();
        let deals = state.group.deals.iter();
        deals
            .filter_map(|((topic, part), deal)| Some((topic.clone(), *part, deal.holder.clone()?)))
            .collect()
    }

    /// Returns the time since the last join of a member; `None` if there is no such member.
    pub fn joined(&self, member: &str) -> Option<Duration> {
        let state = self.lock();
        let member = state.group.members.get(member)?;
        Some(member.joined.elapsed())
    }

    /// Returns the partition of batches that was last read by pages.
    pub fn paged(&self) -> u64 {
        self.lock().paged.1
    }

    fn serve(&self, wire: &mut Wire, request: &Message) -> io::Result<()> {
        if request.path() == "/api/log-append" {
            let mut state = self.lock();
            state.appends += 1;
            let fault = state
                .decide
                .as_ref()
                .map_or(Fault::None, |decide| decide(request));
            state.faulted += u64::from(fault != Fault::None);
            drop(state);
            if let Fault::Late(after) = fault {
                let (own, request) = (self.clone(), request.clone());
                thread::spawn(move || {
                    thread::sleep(after);
                    own.append(&request);
                });
                // Nothing further comes on this connection.
                while !wire.is_closed() {
                    thread::sleep(Duration::from_millis(50));
                }
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            thread::sleep(APPEND);
        }
        let (status, body) = self.answer(request);
        let kind = [("Content-Type", "application/json")];
        wire.respond(status, &kind, &body)
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        match request.path() {
            "/api/log-append" => self.append(request),
            "/api/log-read" => self.read(request),
            "/api/log-newest" => self.newest(request),
            "/api/log-join" => self.join(&Json::read(&request.body)),
            "/api/log-leave" => {
                let body = Json::read(&request.body);
                let mut state = self.lock();
                if state
                    .group
                    .members
                    .remove(body.get("member").text())
                    .is_some()
                {
                    state.group.deal();
                }
                (200, b"{}".to_vec())
            }
            "/api/log-owners" => {
                let rows: Vec<String> = self
                    .holders()
                    .into_iter()
                    .map(|(topic, part, member)| format!("[\"{topic}\",{part},\"{member}\",0]"))
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
        let topic = request.query("topic").unwrap_or_default();
        if matches!(topic.as_str(), "keyed.op" | "keyed.servers") {
            return (403, Vec::new());
        }
        let keyed = topic.starts_with("keyed.");
        let part = request.number("part").unwrap_or_default();
        let mut state = self.lock();
        let partition = state.topics.entry((topic, part)).or_default();
        if let Some(epoch) = request.number("epoch") {
            let seq = request.number("seq").unwrap_or_default();
            if epoch < partition.epoch {
                return (409, b"{\"why\":\"fenced\"}".to_vec());
            }
            if epoch > partition.epoch {
                partition.epoch = epoch;
                partition.last_seq = None;
                partition.recent.clear();
            }
            if !request.body.is_empty() {
                let known = partition.recent.iter().find(|(known, ..)| *known == seq);
                if let Some((_, from, to)) = known {
                    return (
                        200,
                        format!("{{\"offset\":{from},\"end_offset\":{to}}}").into_bytes(),
                    );
                }
                if let Some(last) = partition.last_seq.filter(|last| last + 1 != seq) {
                    let answer = format!("{{\"why\":\"seq\",\"seq\":{}}}", last + 1);
                    return (409, answer.into_bytes());
                }
                partition.last_seq = Some(seq);
            }
        }
        let from = partition.end();
        let mut rest = &request.body[..];
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, tail)) = tail.split_at_checked(length) else {
                return (400, Vec::new());
            };
            partition.add(keyed, record.to_vec());
            rest = tail;
        }
        let to = partition.end();
        if let Some(seq) = request.number("seq").filter(|_| !request.body.is_empty()) {
            partition.recent.push((seq, from, to));
            let surplus = partition.recent.len().saturating_sub(5);
            partition.recent.drain(..surplus);
        }
        drop(state);
        self.changed.notify_all();
        (
            200,
            format!("{{\"offset\":{from},\"end_offset\":{to}}}").into_bytes(),
        )
    }

    fn read(&self, request: &Message) -> (u16, Vec<u8>) {
        let place = (
            request.query("topic").unwrap_or_default(),
            request.number("part").unwrap_or_default(),
        );
        let from = request.number("start_from").unwrap_or_default();
        let wait = request.number("wait_ms").unwrap_or_default();
        let due = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let partition = state.topics.entry(place.clone()).or_default();
            let left = due.saturating_duration_since(Instant::now());
            if partition.end() > from || left.is_zero() {
                let mut bytes = partition.end().to_be_bytes().to_vec();
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                for record in partition.records.iter().skip(from as usize) {
                    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(record);
                    if bytes.len() > 1024 * 1024 {
                        break;
                    }
                }
                return (200, bytes);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, request: &Message) -> (u16, Vec<u8>) {
        let place = (
            request.query("topic").unwrap_or_default(),
            request.number("part").unwrap_or_default(),
        );
        let after = request.query("after").unwrap_or_default();
        let mut state = self.lock();
        if place.0 == BATCHES {
            state.paged = place.clone();
        }
        let partition = state.topics.entry(place).or_default();
        let (mut items, mut used, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in partition.newest.iter().filter(|(key, _)| **key > after) {
            used += value.len();
            more = items.len() == 500 || (used > 1024 * 1024 && !items.is_empty());
            if more {
                break;
            }
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"offset\":{offset},\"value\":\"{value}\"}}"
            ));
        }
        let end = partition.end();
        let items = items.join(",");
        let answer = format!("{{\"items\":[{items}],\"has_more\":{more},\"end_offset\":{end}}}");
        (200, answer.into_bytes())
    }

    fn join(&self, body: &Json) -> (u16, Vec<u8>) {
        let member = body.get("member").text().to_owned();
        let known = body.get("generation").number();
        let ttl = Duration::from_millis(body.get("ttl_ms").number());
        let mut state = self.lock();
        let group = &mut state.group;
        group.expire();
        for topic in body.get("topics").list() {
            for part in 0..self.parts {
                group
                    .deals
                    .entry((topic.text().to_owned(), part))
                    .or_default();
            }
        }
        let joined = Instant::now();
        let new = group
            .members
            .insert(member.clone(), Member { joined, ttl })
            .is_none();
        if new {
            group.deal();
        }
        let mut rows = Vec::new();
        for ((topic, part), deal) in &mut group.deals {
            let holds = deal.holder.as_ref() == Some(&member);
            if holds && deal.dealt.as_ref() != Some(&member) && known >= deal.since {
                deal.holder = None;
            }
            if deal.dealt.as_ref() == Some(&member) && (holds || deal.holder.is_none()) {
                deal.holder = Some(member.clone());
                rows.push(format!("[\"{topic}\",{part},0]"));
            }
        }
        let answer = format!(
            "{{\"generation\":{},\"parts\":[{}]}}",
            group.generation,
            rows.join(",")
        );
        (200, answer.into_bytes())
    }
}

impl Group {
    fn expire(&mut self) {
        let before = self.members.len();
        self.members
            .retain(|_, member| member.joined.elapsed() < member.ttl);
        if self.members.len() != before {
            self.deal();
        }
    }

    /// Deals the partitions evenly, and moves as few as that takes. A member that is there keeps a partition
    /// until it has heard of the deal.
    fn deal(&mut self) {
        self.generation += 1;
        let mut held: BTreeMap<String, Vec<(String, u64)>> = BTreeMap::new();
        for member in self.members.keys() {
            held.insert(member.clone(), Vec::new());
        }
        let mut free = Vec::new();
        for (place, deal) in &mut self.deals {
            match deal.dealt.as_ref().and_then(|member| held.get_mut(member)) {
                Some(own) => own.push(place.clone()),
                None => free.push(place.clone()),
            }
            if deal
                .holder
                .as_ref()
                .is_some_and(|holder| !self.members.contains_key(holder))
            {
                deal.holder = None;
            }
        }
        if held.is_empty() {
            return;
        }
        let by_count = |held: &BTreeMap<String, Vec<(String, u64)>>| {
            let mut members: Vec<(usize, String)> = held
                .iter()
                .map(|(member, own)| (own.len(), member.clone()))
                .collect();
            members.sort();
            members
        };
        loop {
            let members = by_count(&held);
            let (least, to) = members[0].clone();
            let (most, from) = members[members.len() - 1].clone();
            let place = match free.pop() {
                Some(place) => place,
                None if most > least + 1 => {
                    let own = held.entry(from).or_default();
                    own.sort_by_key(|(_, part)| *part);
                    let Some(place) = own.pop() else { return };
                    place
                }
                None => return,
            };
            held.entry(to.clone()).or_default().push(place.clone());
            let deal = self.deals.entry(place).or_default();
            deal.dealt = Some(to);
            deal.since = self.generation;
        }
    }
}
