//! A stand-in of the platform's store, by "The platform's metadata store" of the users' protocol.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::net::{Json, Peer, Request, Server, base64};

const APPEND_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Partition {
    /// Records from offset 0 on.
    records: Vec<Arc<Vec<u8>>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    epoch: u64,
    last_seq: Option<u64>,
    recent: Vec<(u64, String)>,
}

struct Member {
    joined: Instant,
    ttl: Duration,
    topics: Vec<String>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Who holds a partition, and who is to hold it.
    holders: BTreeMap<(String, u32), String>,
    wanted: BTreeMap<(String, u32), String>,
}

#[derive(Default)]
struct State {
    topics: HashMap<(String, u32), Partition>,
    group: Group,
}

struct Inner {
    state: Mutex<State>,
    changed: Condvar,
    parts: u32,
}

pub struct Store {
    server: Server,
    inner: Arc<Inner>,
}

impl Store {
    pub fn start(address: SocketAddr, parts: u32) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            state: Mutex::default(),
            changed: Condvar::new(),
            parts,
        });
        let own = Arc::clone(&inner);
        let server = Server::start(address, move |peer, request| own.serve(peer, &request))?;
        Ok(Self { server, inner })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Writes a keyed record as the operator, a trainer or a worker does. An empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.inner.lock();
        let partition = state.topics.entry((topic.to_owned(), 0)).or_default();
        partition.append(true, record);
        drop(state);
        self.inner.changed.notify_all();
    }

    /// Returns the member that holds a partition.
    pub fn holder(&self, topic: &str, part: u32) -> Option<String> {
        let state = self.inner.lock();
        state.group.holders.get(&(topic.to_owned(), part)).cloned()
    }

    /// Returns the newest value of a key in partition 0 of a topic.
    pub fn value(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.inner.lock();
        let partition = state.topics.get(&(topic.to_owned(), 0))?;
        partition.newest.get(key).map(|(_, value)| value.clone())
    }

    /// Returns the topic and partition that hold a key that begins so.
    pub fn find_key(&self, prefix: &str) -> Vec<(String, u32, String)> {
        let state = self.inner.lock();
        let mut found = Vec::new();
        for ((topic, part), partition) in &state.topics {
            for key in partition
                .newest
                .keys()
                .filter(|key| key.starts_with(prefix))
            {
                found.push((topic.clone(), *part, key.clone()));
            }
        }
        found.sort();
        found
    }
}

impl Partition {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn append(&mut self, keyed: bool, record: Vec<u8>) {
        if keyed {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
            let value = record[1 + length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (self.end(), value));
            }
        }
        self.records.push(Arc::new(record));
    }
}

impl Group {
    /// Removes members that haven't joined in time.
    fn expire(&mut self) {
        let before = self.members.len();
        self.members
            .retain(|_, member| member.joined.elapsed() < member.ttl);
        if self.members.len() < before {
            self.deal(0);
        }
    }

    /// Distributes the partitions evenly. A partition stays where it is if that is even enough.
    fn deal(&mut self, parts: u32) {
        self.generation += 1;
        let members = &self.members;
        self.holders
            .retain(|_, member| members.contains_key(member));
        let mut topics: Vec<String> = members
            .values()
            .flat_map(|member| member.topics.clone())
            .collect();
        topics.sort();
        topics.dedup();
        let known = self
            .wanted
            .keys()
            .map(|(_, part)| part + 1)
            .max()
            .unwrap_or(0);
        let parts = parts.max(known);
        let mut wanted = BTreeMap::new();
        for topic in topics {
            let able: Vec<&String> = members
                .iter()
                .filter(|(_, member)| member.topics.contains(&topic))
                .map(|(name, _)| name)
                .collect();
            let most = (parts as usize).div_ceil(able.len().max(1));
            let mut shares: HashMap<&String, usize> = HashMap::new();
            let mut open = Vec::new();
            for part in 0..parts {
                let place = (topic.clone(), part);
                let old = self.wanted.get(&place);
                let old = old.and_then(|old| able.iter().copied().find(|name| *name == old));
                match old {
                    Some(name) if shares.get(name).copied().unwrap_or(0) < most => {
                        *shares.entry(name).or_default() += 1;
                        wanted.insert(place, name.clone());
                    }
                    _ => open.push(place),
                }
            }
            for place in open {
                let least = able
                    .iter()
                    .copied()
                    .min_by_key(|name| shares.get(*name).copied().unwrap_or(0));
                if let Some(name) = least {
                    *shares.entry(name).or_default() += 1;
                    wanted.insert(place, name.clone());
                }
            }
        }
        self.wanted = wanted;
    }

    fn join(&mut self, body: &Json, parts: u32) -> String {
        self.expire();
        let name = body.get("member").text().to_owned();
        let topics: Vec<String> = body
            .get("topics")
            .list()
            .iter()
            .map(|topic| topic.text().to_owned())
            .collect();
        let member = Member {
            joined: Instant::now(),
            ttl: Duration::from_millis(body.get("ttl_ms").number() as u64),
            topics: topics.clone(),
        };
        let seen = body.get("generation").number() as u64;
        let before = self.members.insert(name.clone(), member);
        if before.is_none_or(|before| before.topics != topics) {
            self.deal(parts);
        } else if seen >= self.generation {
            // The member knows the newest assignment, so what it isn't to hold is free.
            let wanted = &self.wanted;
            self.holders
                .retain(|place, holder| *holder != name || wanted.get(place) == Some(&name));
        }
        let mut rows = Vec::new();
        for (place, wanted) in &self.wanted {
            let holder = self.holders.get(place);
            if *wanted == name && holder.is_none_or(|holder| *holder == name) {
                rows.push(format!("[\"{}\",{},0]", place.0, place.1));
                self.holders.insert(place.clone(), name.clone());
            }
        }
        format!(
            "{{\"generation\":{},\"parts\":[{}]}}",
            self.generation,
            rows.join(",")
        )
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn serve(&self, peer: &mut Peer, request: &Request) -> io::Result<()> {
        let (status, body) = self.answer(request);
        peer.respond(
            status,
            &[("Content-Type", "application/json".to_owned())],
            &body,
        )
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let json = |text: String| (200, text.into_bytes());
        match request.path() {
            "/api/log-append" => self.append(request),
            "/api/log-read" => self.read(request),
            "/api/log-newest" => self.newest(request),
            "/api/log-join" => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                json(self.lock().group.join(&body, self.parts))
            }
            "/api/log-leave" => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let mut state = self.lock();
                if state
                    .group
                    .members
                    .remove(body.get("member").text())
                    .is_some()
                {
                    state.group.deal(self.parts);
                }
                json("{}".to_owned())
            }
            "/api/log-owners" => {
                let mut state = self.lock();
                state.group.expire();
                let rows = state.group.holders.iter();
                let rows: Vec<String> = rows
                    .map(|((topic, part), member)| format!("[\"{topic}\",{part},\"{member}\",0]"))
                    .collect();
                json(format!("{{\"parts\":[{}]}}", rows.join(",")))
            }
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, request: &Request) -> (u16, Vec<u8>) {
        std::thread::sleep(APPEND_TIME);
        let topic = request.query("topic").unwrap_or_default();
        let part = request.query_number("part").unwrap_or(0) as u32;
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        let (epoch, seq) = (request.query_number("epoch"), request.query_number("seq"));
        let mut state = self.lock();
        let keyed = topic.starts_with("keyed.");
        let partition = state.topics.entry((topic, part)).or_default();
        if let (Some(epoch), Some(seq)) = (epoch, seq) {
            if epoch < partition.epoch {
                return (409, b"{\"why\":\"fenced\"}".to_vec());
            }
            if epoch > partition.epoch {
                partition.epoch = epoch;
                partition.last_seq = None;
                partition.recent.clear();
            }
            if !request.body.is_empty() {
                if let Some((_, answer)) = partition.recent.iter().find(|(old, _)| *old == seq) {
                    return (200, answer.clone().into_bytes());
                }
                let expected = partition.last_seq.map(|last| last + 1);
                if expected.is_some_and(|expected| expected != seq) {
                    return (409, b"{\"why\":\"seq\"}".to_vec());
                }
                partition.last_seq = Some(seq);
            }
        }
        let offset = partition.end();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            partition.append(keyed, rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let answer = format!("{{\"offset\":{offset},\"end_offset\":{}}}", partition.end());
        if let Some(seq) = seq.filter(|_| !request.body.is_empty()) {
            partition.recent.push((seq, answer.clone()));
            let surplus = partition.recent.len().saturating_sub(5);
            partition.recent.drain(..surplus);
        }
        drop(state);
        self.changed.notify_all();
        (200, answer.into_bytes())
    }

    fn read(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let part = request.query_number("part").unwrap_or(0) as u32;
        let from = request.query_number("start_from").unwrap_or(0);
        let most = request.query_number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let due =
            Instant::now() + Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
        let mut state = self.lock();
        loop {
            let partition = state.topics.entry((topic.clone(), part)).or_default();
            let left = due.saturating_duration_since(Instant::now());
            if partition.end() > from || left.is_zero() {
                let mut bytes = partition.end().to_be_bytes().to_vec();
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                for record in partition.records.iter().skip(from as usize) {
                    if bytes.len() > 16 && bytes.len() + record.len() > most {
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

    fn newest(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let part = request.query_number("part").unwrap_or(0) as u32;
        let after = request.query("after").unwrap_or_default();
        let mut state = self.lock();
        let partition = state.topics.entry((topic, part)).or_default();
        let mut rows = Vec::new();
        let (mut size, mut more) = (0, false);
        for (key, (offset, value)) in partition.newest.range(after.clone()..) {
            if *key == after {
                continue;
            }
            if rows.len() == 500 || (size > 0 && size + value.len() * 4 / 3 > 1_000_000) {
                more = true;
                break;
            }
            size += value.len() * 4 / 3 + key.len() + 40;
            rows.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            ));
        }
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{more},\"end_offset\":{}}}",
            rows.join(","),
            partition.end()
        );
        (200, body.into_bytes())
    }
}
