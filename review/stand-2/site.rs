//! A small deployment: host processes as the deploy file starts them, and stand-ins of everything else.

use std::{
    env, fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{Fields, Json, Request, Response, Server, base64, send},
    record::Record,
    store::Store,
    worker::{Run, Worker, WorkerOptions},
};

/// The command of `deploy/system.toml`.
const PROGRAM: &str = "target/release/godwitspool-host";
pub const HOST: &str = "a.example";
pub const MODEL: &str = "m0";
pub const PARTS: u32 = 8;
const METRICS_PORT: u16 = 9464;
const GRACE: Duration = Duration::from_secs(8);

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Processes that were started and haven't been waited for.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills the processes that were started and are left.
pub fn end_all() {
    let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    for process in started.iter() {
        unsafe {
            kill(*process, SIGKILL);
        }
    }
}

fn forget(process: u32) {
    let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    started.retain(|known| *known != process as i32);
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    pub child: Mutex<Option<Child>>,
    settings: PathBuf,
    log: PathBuf,
}

/// What the settings of the hosts say, where cases differ.
#[derive(Clone, Debug)]
pub struct Options {
    pub hosts: u8,
    pub memory_mb: u64,
    pub writes_per_s: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hosts: 3,
            memory_mb: 140,
            writes_per_s: 800,
        }
    }
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub workers: Vec<Arc<Worker>>,
    pub hosts: Vec<Host>,
    pub options: Options,
    net: (u8, u8),
    cloud: Server,
    folder: PathBuf,
}

impl Site {
    /// Starts the stand-ins of the platform, the operator's first configuration, and the hosts.
    pub fn start(
        record: Arc<Record>,
        options: Options,
        tenants: &[(&str, &str)],
    ) -> io::Result<Self> {
        let net = free_net(options.hosts)?;
        let any = |last: u8, port: u16| SocketAddr::from(([127, net.0, net.1, last], port));
        let store = Arc::new(Store::start(any(2, 8408), PARTS)?);
        let own_record = Arc::clone(&record);
        let cloud = Server::start(any(3, 8408), move |peer, request| {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            let fence = request.fields.get("Fence-Token").unwrap_or_default();
            let holder = request.fields.get("Duty-Holder").unwrap_or_default();
            own_record.line(&format!(
                "platform {} {holder} {fence} {text}",
                request.path()
            ));
            peer.respond(200, &[], b"")
        })?;
        let folder = env::temp_dir().join(format!("godwitspool-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut site = Self {
            record,
            store,
            runs: Arc::default(),
            workers: Vec::new(),
            hosts: Vec::new(),
            options,
            net,
            cloud,
            folder,
        };
        site.configure(1, &[], tenants);
        for index in 0..site.options.hosts {
            let ip = Ipv4Addr::new(127, net.0, net.1, 10 + index);
            let name = format!("front-{}", index + 1);
            let host = Host {
                settings: site.folder.join(format!("{name}.toml")),
                log: site.folder.join(format!("{name}.log")),
                name,
                ip,
                child: Mutex::new(None),
            };
            site.hosts.push(host);
        }
        for index in 0..site.hosts.len() {
            site.start_host(index)?;
        }
        Ok(site)
    }

    pub fn address(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.net.0, self.net.1, last], port))
    }

    /// Writes a configuration: `/i/` idempotent, `/b/` rollouts, and further routes.
    pub fn configure(&self, version: u64, more: &[&str], tenants: &[(&str, &str)]) {
        let mut routes = vec![
            route("lookup", "/i/", "idempotent", "desk", false),
            route("rollout", "/b/", "rollout", "engine", false),
        ];
        routes.extend(more.iter().map(|route| (*route).to_owned()));
        let tenants: Vec<String> = tenants
            .iter()
            .map(|(name, key)| format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"]}}"))
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":160}},{{\"name\":\"engine\",\"health_path\":\"/health\",\"max_conns\":160,\"engine\":{{\"slots\":16,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
            routes.join(","),
            tenants.join(",")
        );
        self.record
            .line(&format!("operator writes configuration {version}"));
        self.store.put("keyed.op", "config", &text);
    }

    pub fn add_worker(&mut self, service: &str, slots: u32) -> io::Result<()> {
        let index = self.workers.len() as u8;
        let models = if service == "engine" {
            vec![(MODEL.to_owned(), 1)]
        } else {
            Vec::new()
        };
        let options = WorkerOptions {
            name: format!("i-{}{index}", &service[..1]),
            address: self.address(100 + index, 9000),
            service: service.to_owned(),
            zone: "north".to_owned(),
            slots,
            models,
        };
        let worker = Worker::start(options, &self.store, &self.record, &self.runs)?;
        self.workers.push(worker);
        Ok(())
    }

    /// Starts the process of a host with the settings that are in effect now.
    pub fn start_host(&self, index: usize) -> io::Result<()> {
        let seeds: Vec<String> = self
            .hosts
            .iter()
            .map(|host| format!("\"{}:7003\"", host.ip))
            .collect();
        let Options {
            memory_mb,
            writes_per_s,
            ..
        } = self.options;
        let host = &self.hosts[index];
        let (name, ip) = (&host.name, host.ip);
        let text = format!(
            "node = \"{name}\"\nrole = \"host\"\nclass = \"front\"\nserves = [\"front\", \"control\"]\nip = \"{ip}\"\nzone = \"north\"\nregion = \"r\"\n\
             internal_ports = [7660, 7675]\nseeds = [{}]\nbootstrap = true\ndiscovery = \"platform\"\nheartbeat_ms = 1200\n\
             [listen]\nfront = \"{ip}:7001\"\nready = \"{ip}:7002\"\ncontrol = \"{ip}:7003\"\n\
             [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = {memory_mb}\nmax_fds = 8200\nlink_mbps = 1000.0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
             rollback_slack_ms = 250\nskew_max_ms = 5000\nrequire_fence = true\nlease_ms = 3000\nthaw_slack_ms = 300\nusage_window_s = 5\nusage_off = 0.05\nusage_late_s = 10\n\
             recovery_s = 12\npass_ms = 120\nstatus_ttl_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\n\
             [platform]\naddress = \"{}\"\nform = \"log\"\nwrites_per_s = {writes_per_s}\nreads_per_s = 2000\nparts = {PARTS}\nappend_ms = 4.0\nrecord_bytes = 262144\ncall_bytes = 2097152\nretention_s = 300\npart_mb = 200\nttl_min_ms = 1000\n\
             [cloud]\naddress = \"{}\"\nrate_per_s = 50.0\nduty_per_s = 50.0\n",
            seeds.join(", "),
            self.store.address(),
            self.cloud.address,
        );
        fs::write(&host.settings, text)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&host.log)?;
        let child = Command::new(PROGRAM)
            .env("GODWITSPOOL_NODE_FILE", &host.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()?;
        STARTED
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(child.id() as i32);
        self.record
            .line(&format!("host {name} starts, process {}", child.id()));
        *host.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&self, index: usize, signal: i32) {
        let host = &self.hosts[index];
        if let Some(child) = host.child.lock().unwrap().as_ref() {
            self.record
                .line(&format!("host {} gets signal {signal}", host.name));
            unsafe {
                kill(child.id() as i32, signal);
            }
        }
    }

    /// Waits until the process of a host has ended.
    pub fn await_end(&self, index: usize) {
        let host = &self.hosts[index];
        let child = host.child.lock().unwrap().take();
        if let Some(mut child) = child {
            // The platform kills a process that is still there when the grace period is over.
            let due = Instant::now() + GRACE;
            while matches!(child.try_wait(), Ok(None)) {
                if Instant::now() > due {
                    let _ = child.kill();
                }
                thread::sleep(Duration::from_millis(10));
            }
            let status = child.wait();
            forget(child.id());
            self.record
                .line(&format!("host {} has ended: {status:?}", host.name));
        }
    }

    /// Returns the resident memory of a host's process in bytes; `None` if it has ended.
    pub fn memory(&self, index: usize) -> Option<u64> {
        let mut child = self.hosts[index].child.lock().unwrap();
        let child = child.as_mut()?;
        if child.try_wait().ok()?.is_some() {
            return None;
        }
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb * 1024)
    }

    /// Returns the host whose process holds a partition of the results.
    pub fn owner(&self, topic: &str, part: u32) -> Option<usize> {
        let member = self.store.holder(topic, part)?;
        let ip = member.split(':').next()?.to_owned();
        self.hosts.iter().position(|host| host.ip.to_string() == ip)
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.hosts[index].ip, 7001))
    }

    /// Returns whether a host answers that it is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let request = Request {
            method: "GET".to_owned(),
            target: "/api/readiness".to_owned(),
            fields: Fields(vec![("Host".to_owned(), "x".to_owned())]),
            body: Vec::new(),
        };
        let address = SocketAddr::from((self.hosts[index].ip, 7002));
        send(address, &request, Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200)
    }

    pub fn await_ready(&self, index: usize, within: Duration) -> Result<(), String> {
        let due = Instant::now() + within;
        while !self.is_ready(index) {
            if Instant::now() > due {
                return Err(format!("host {} isn't ready", self.hosts[index].name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record
            .line(&format!("host {} is ready", self.hosts[index].name));
        Ok(())
    }

    /// Sends a client's request to a host and records both.
    pub fn call(&self, index: usize, request: &Request, timeout: Duration) -> Option<Response> {
        let id = request
            .fields
            .get("Request-Id")
            .unwrap_or_default()
            .to_owned();
        let key = request.fields.get("Api-Key").unwrap_or_default().to_owned();
        let (name, what) = (
            &self.hosts[index].name,
            format!("{} {}", request.method, request.target),
        );
        let answer = send(self.front(index), request, timeout);
        match &answer {
            Ok(answer) => {
                let body = String::from_utf8_lossy(&answer.body[..answer.body.len().min(160)])
                    .into_owned();
                self.record.line(&format!(
                    "client {id} ({key}) {what} at {name}: {} {body}",
                    answer.status
                ));
            }
            Err(error) => self.record.line(&format!(
                "client {id} ({key}) {what} at {name}: no answer, {error}"
            )),
        }
        answer.ok()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in &self.hosts {
            if let Some(mut child) = host.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
                forget(child.id());
            }
        }
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Finds a loopback network in which all ports of the hosts are free.
fn free_net(hosts: u8) -> io::Result<(u8, u8)> {
    let id = std::process::id();
    for attempt in 0..200_u32 {
        let number = id.wrapping_mul(31).wrapping_add(attempt * 97);
        let net = (1 + (number >> 8) as u8 % 250, 1 + (number as u8) % 250);
        let free = (0..hosts).all(|index| {
            let ip = Ipv4Addr::new(127, net.0, net.1, 10 + index);
            [7001, 7002, 7003, 7660, METRICS_PORT]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if free {
            return Ok(net);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

pub fn route(name: &str, prefix: &str, kind: &str, service: &str, public: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":10000,\"goal_ms\":400,\"priority\":0,\"service\":\"{service}\",\"max_attempts\":3,\"retention_s\":40.0,\"due_ms\":7500,\"single_version\":false,\"resumable\":true,\"public\":{public}}}"
    )
}

/// Returns a client's request.
pub fn request(method: &str, target: &str, id: &str, key: &str, body: Vec<u8>) -> Request {
    let field = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    Request {
        method: method.to_owned(),
        target: target.to_owned(),
        fields: Fields(vec![
            field("Host", HOST),
            field("Request-Id", id),
            field("Deadline-Ms", "2000"),
            field("Api-Key", key),
            field("Content-Type", "application/json"),
        ]),
        body,
    }
}

/// An item of a submission.
#[derive(Clone, Debug)]
pub struct Item {
    pub id: String,
    pub path: String,
    pub group: String,
    pub body: Vec<u8>,
}

/// Returns the body of a submission.
pub fn submission(step: u64, min_version: u64, groups: usize, items: &[Item]) -> Vec<u8> {
    let items: Vec<String> = items
        .iter()
        .map(|item| {
            format!(
                "{{\"id\":\"{}\",\"path\":\"{}\",\"headers\":{{\"Model\":\"{MODEL}\",\"Token-Counts\":\"16,400\",\"Prompt-Prefix\":\"9c2e41:16\"}},\"body\":\"{}\",\"num_tokens\":416,\"group\":\"{}\"}}",
                item.id,
                item.path,
                base64(&item.body),
                item.group
            )
        })
        .collect();
    format!(
        "{{\"step\":{step},\"model\":\"{MODEL}\",\"min_version\":{min_version},\"target_groups\":{groups},\"items\":[{}]}}",
        items.join(",")
    )
    .into_bytes()
}

/// Returns total, next position and results of a page.
pub fn page(answer: &Response) -> Option<(u64, u64, Vec<(String, String)>)> {
    let body = Json::parse(&answer.body)?;
    let rows = body.get("results").list().iter();
    let rows = rows.map(|row| {
        (
            row.get("id").text().to_owned(),
            row.get("state").text().to_owned(),
        )
    });
    let number = |name| body.get(name).number() as u64;
    Some((number("total"), number("next_token"), rows.collect()))
}
