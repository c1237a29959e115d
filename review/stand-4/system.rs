//! The system's processes on loopback addresses, with the stand-ins of the platform around them.

use std::{
    env, fs, io,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, call, serve},
    store::Store,
    worker::{Plan, Worker},
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
/// A key that the tenant gets later.
pub const NEW_KEY: &str = "s989anu6wsjnbanfqasn";
pub const TENANT: &str = "huka270";
pub const MODEL: &str = "daka510000";
/// The program as the deploy file names it.
const PROGRAM: &str = "target/release/godwitspool-host";
/// Number of partitions of a topic.
pub const PARTS: u64 = 8;
/// Time between the starts of two machines; all start within 0.3 s.
const STAGGER: Duration = Duration::from_millis(60);
/// Number of routes that get no requests.
const IDLE_ROUTES: usize = 300;
/// Time until a system that doesn't come up is given up.
const READY: Duration = Duration::from_secs(15);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Signals by their numbers.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Cont = 18,
    Stop = 19,
}

/// What was seen, for `record.txt`.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        self.add_at(Instant::now(), line);
    }

    /// Adds a line about an earlier time.
    pub fn add_at(&self, at: Instant, line: impl AsRef<str>) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let line = format!("{seconds:8.3} {}", line.as_ref());
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self, path: &str) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.sort_by(|a, b| a[..8].cmp(&b[..8]));
        fs::write(path, lines.join("\n") + "\n")
    }
}

/// A process of the system.
pub struct Node {
    pub ip: Ipv4Addr,
    pub child: Child,
}

impl Node {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8405))
    }

    pub fn signal(&self, signal: Signal) {
        unsafe { kill(self.child.id() as i32, signal as i32) };
    }

    /// Sends a request on a new connection.
    pub fn call(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> io::Result<Message> {
        let mut all = vec![("Host", HOST), ("Api-Key", KEY)];
        all.extend_from_slice(headers);
        call(self.front(), method, target, &all, body, timeout)
    }
}

/// The system and the stand-ins.
pub struct System {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub record: Record,
    folder: PathBuf,
    cloud: SocketAddr,
    version: u64,
}

impl Drop for System {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns loopback addresses on which the ports of a machine are free.
fn free_addresses(count: usize) -> Vec<Ipv4Addr> {
    let seed = crate::worker::unix_ms() as u32 ^ std::process::id().wrapping_mul(2_654_435_761);
    let (second, third) = ((seed >> 3) as u8, (seed >> 13) as u8);
    let mut found = Vec::new();
    for last in 1..=250_u8 {
        let ip = Ipv4Addr::new(127, second.max(1), third, last);
        let is_free = |port: u16| TcpListener::bind((ip, port)).is_ok();
        if [8405, 8406, 8407, 7660, 9464].into_iter().all(is_free) {
            found.push(ip);
        }
        if found.len() == count {
            break;
        }
    }
    found
}

impl System {
    /// Starts the stand-ins and `count` machines, and waits until all are ready.
    pub fn start(count: usize, plans: Vec<Plan>) -> io::Result<(Self, Vec<Worker>)> {
        let record = Record::new();
        let store = Store::start(PARTS)?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let cloud = serve(any, |wire, _| wire.respond(200, &[], b"{}"))?;
        let name = format!("godwitspool-review-{}", std::process::id());
        let folder = env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let mut system = Self {
            store,
            nodes: Vec::new(),
            record,
            folder,
            cloud,
            version: 0,
        };
        system.configure(&[KEY]);
        let mut workers = Vec::new();
        for plan in plans {
            workers.push(Worker::start(&system.store, plan)?);
        }
        let addresses = free_addresses(count);
        for (number, ip) in addresses.iter().enumerate() {
            system.start_node(number, *ip, &addresses)?;
            thread::sleep(STAGGER);
        }
        let due = Instant::now() + READY;
        while !system.is_ready(count) {
            if Instant::now() > due {
                return Err(io::Error::other("the system isn't ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        system.record.add(format!("{count} machines are ready"));
        Ok((system, workers))
    }

    /// Returns whether all machines are ready and hold partitions.
    fn is_ready(&self, count: usize) -> bool {
        let ready = |node: &Node| {
            let address = SocketAddr::from((node.ip, 8406));
            let asked = call(
                address,
                "GET",
                "/api/readiness",
                &[],
                b"",
                Duration::from_secs(1),
            );
            asked.is_ok_and(|answer| answer.status() == 200)
        };
        let results = "keyed.godwitspool-results";
        let holders = self.store.holders();
        let held: Vec<_> = holders
            .iter()
            .filter(|(topic, ..)| topic == results)
            .collect();
        let mut members: Vec<&str> = held.iter().map(|(.., member)| member.as_str()).collect();
        members.sort_unstable();
        members.dedup();
        held.len() as u64 == PARTS && members.len() == count && self.nodes.iter().all(ready)
    }

    fn start_node(&mut self, number: usize, ip: Ipv4Addr, all: &[Ipv4Addr]) -> io::Result<()> {
        let seeds: Vec<String> = all
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:8407\""))
            .collect();
        let settings = format!(
            "node = \"front-north-{number}\"\nrole = \"host\"\nclass = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"north\"\nregion = \"kartli\"\n\
             internal_ports = [7660,7675]\nseeds = [{}]\nbootstrap = true\nloss_counted = false\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             [zones]\nnorth = \"kartli\"\n\
             [listen]\nfront = \"{ip}:8405\"\nready = \"{ip}:8406\"\ncontrol = \"{ip}:8407\"\n\
             [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 140\nmax_fds = 8200\nlink_mbps = 1000.0\n\
             disk_mb = 0\n[tolerate]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 5\n\
             drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
             rollback_slack_ms = 250\nskew_max_ms = 5000\nstrict_revoke = false\nrevoke_ms = 5000\n\
             require_fence = true\nlease_ms = 3000\nthaw_slack_ms = 300\nusage_window_s = 5\n\
             usage_off = 0.05\nusage_late_s = 10\nrecovery_s = 12\npass_ms = 120\nretry_after_s = 0\n\
             finish_s = 10\nstatus_ttl_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\nquota_overage = 0.1\n\
             [platform]\naddress = \"{}\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\n\
             parts = {PARTS}\nappend_ms = 4.0\npart_mb_s = 20.0\nread_mb_s = 80.0\nrecord_bytes = 262144\n\
             call_bytes = 2097152\nretention_s = 300\npart_mb = 200\nttl_min_ms = 1000\n\
             [cloud]\naddress = \"{}\"\nrate_per_s = 50.0\nduties = [\"usage_report\",\"autoscale\"]\n\
             duty_per_s = 50.0\n",
            seeds.join(","),
            self.store.address,
            self.cloud,
        );
        let path = self.folder.join(format!("{number}.toml"));
        fs::write(&path, settings)?;
        let log = match env::var_os("LOGS") {
            Some(folder) => {
                fs::File::create(PathBuf::from(folder).join(format!("{number}.log")))?.into()
            }
            None => Stdio::null(),
        };
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env("GODWITSPOOL_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.record
            .add(format!("front-north-{number} starts at {ip}"));
        self.nodes.push(Node { ip, child });
        Ok(())
    }

    /// Writes the next configuration, as the operator does, with these keys of the tenant.
    pub fn configure(&mut self, keys: &[&str]) {
        self.version += 1;
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let keys = keys.join(",");
        let route = |name: &str, prefix: &str, kind: &str, service: &str, more: &str| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
                 \"timeout_ms\":10000,\"goal_ms\":400,\"priority\":1,\"service\":\"{service}\",\
                 \"max_attempts\":3,\"public\":false{more}}}"
            )
        };
        let batch = ",\"retention_s\":40.0,\"due_ms\":7500,\"single_version\":false,\"sticky\":true,\
                     \"resumable\":true";
        let mut routes = vec![
            route("r-i", "/i/", "idempotent", "desk", ""),
            route("r-o", "/o/", "non_idempotent", "desk", ""),
            route("r-s", "/s/", "streaming", "engines", ""),
            route("r-b", "/b/", "rollout", "engines", batch),
        ];
        for number in 0..IDLE_ROUTES {
            let prefix = format!("/idle{number}/");
            routes.push(route(
                &format!("r-{number}"),
                &prefix,
                "idempotent",
                "desk",
                "",
            ));
        }
        let configuration = format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[\
             {{\"name\":\"engines\",\"health_path\":\"/health\",\"max_conns\":160,\"protocol\":\"h1\",\
             \"tls\":false,\"engine\":{{\"slots\":4,\"kv_cache_tokens\":40244,\
             \"models\":[{{\"name\":\"{MODEL}\"}}]}}}},\
             {{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":96,\"protocol\":\"h1\",\
             \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[{keys}],\"priority\":1}}]}}",
            self.version,
            routes.join(",")
        );
        self.store.put("keyed.op", "config", &configuration);
    }

    /// Returns the position in `nodes` of the machine that joined the group under this name, which begins with
    /// its address.
    pub fn node_of(&self, member: &str) -> Option<usize> {
        let ip = member.split(':').next()?;
        self.nodes.iter().position(|node| node.ip.to_string() == ip)
    }
}

/// The body of a batch submission with items of four to a group.
pub fn submission(id: &str, items: usize, step: u64, min_version: u64) -> Vec<u8> {
    let items: Vec<String> = (0..items)
        .map(|number| {
            format!(
                "{{\"id\":\"{id}{number:04x}\",\"path\":\"/b/{id}/{number}\",\"headers\":{{\"Model\":\"{MODEL}\",\
                 \"Token-Counts\":\"270,400\",\"Prompt-Prefix\":\"9c2e41:255,{number:x}:16\"}},\
                 \"body\":\"q83vEjRWeJA=\",\"num_tokens\":670,\"group\":\"{id}g{}\"}}",
                number / 4
            )
        })
        .collect();
    let groups = items.len().div_ceil(4);
    let text = format!(
        "{{\"step\":{step},\"model\":\"{MODEL}\",\"min_version\":{min_version},\"target_groups\":{groups},\
         \"items\":[{}]}}",
        items.join(",")
    );
    text.into_bytes()
}

/// Ends the process with status 2 if the case takes too long; its children are ended first.
fn watch(pids: Vec<u32>, folder: PathBuf, limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in pids {
            unsafe { kill(pid as i32, 9) };
        }
        let _ = fs::remove_dir_all(folder);
        let _ = writeln!(io::stderr(), "the case takes too long");
        std::process::exit(2);
    });
}

impl System {
    /// Has the case end with status 2 if it takes longer than `limit`.
    pub fn limit(&self, limit: Duration) {
        let pids = self.nodes.iter().map(|node| node.child.id()).collect();
        watch(pids, self.folder.clone(), limit);
    }
}
