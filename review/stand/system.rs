//! Host processes with their settings, the platform's API, and calls of clients.

use std::{
    collections::BTreeMap,
    env, fs,
    io::Read,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio, exit, id},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    log::Log,
    net::{Json, base64, call, call_stream, read_message, respond},
    store::{PARTS, Store},
    worker::{Options, Worker},
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
/// Everything ends after this time.
const LIMIT: Duration = Duration::from_secs(116);

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FILES: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());
/// Set once all processes are ended; none is started any more.
static ENDED: AtomicBool = AtomicBool::new(false);

/// Ends all processes that were started, and removes their files.
pub fn end_all() {
    let mut children = CHILDREN
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    ENDED.store(true, Ordering::SeqCst);
    for child in &mut *children {
        let _ = child.kill();
        let _ = child.wait();
    }
    if env::var_os("KEEP").is_none() {
        for file in &*FILES
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
        {
            let _ = fs::remove_file(file);
        }
    }
}

pub struct HostProcess {
    pub ip: Ipv4Addr,
    pub node: String,
    settings: PathBuf,
    output: PathBuf,
    /// Whether the host is cut off from the store.
    pub cut: Arc<AtomicBool>,
    /// Index among the children.
    child: Mutex<usize>,
}

pub struct System {
    pub hosts: Vec<HostProcess>,
    pub store: Arc<Store>,
    pub workers: Mutex<Vec<Arc<Worker>>>,
    pub log: Arc<Log>,
    pub began: Instant,
}

/// One answer to a client.
pub struct Answer {
    pub status: u16,
    pub body: Json,
}

impl System {
    /// Starts the store, the platform's API and the hosts. `bounds` holds further lines of `[bounds]`.
    pub fn start(folder: &str, hosts: u8, status_ttl_s: u64) -> Arc<Self> {
        let log = Arc::new(Log::create(&format!("{folder}/record.txt")));
        let store = Arc::new(Store::default());
        let cloud = start_cloud(&log);
        thread::spawn(|| {
            thread::sleep(LIMIT);
            eprintln!("time is up");
            end_all();
            exit(2);
        });
        let net = free_net();
        let ips: Vec<Ipv4Addr> = (0..hosts)
            .map(|n| Ipv4Addr::new(127, net.0, net.1, 2 + n))
            .collect();
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:8407\""))
            .collect();
        let zones = ["tbilisi-depot", "rustavi-depot", "mtskheta-depot"];
        let mut processes = Vec::new();
        for (number, ip) in ips.iter().enumerate() {
            let cut = Arc::new(AtomicBool::new(false));
            let address = store.listen(Arc::clone(&cut));
            let zone = zones[number % zones.len()];
            let node = format!("front-{zone}-{}", number + 1);
            let text = format!(
                "node = \"{node}\"\nrole = \"host\"\nclass = \"front\"\nserves = [\"front\",\"control\"]\n\
                 ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"kartli\"\ninternal_ports = [7660,7675]\n\
                 seeds = [{}]\nbootstrap = true\nheartbeat_ms = 1200\n\
                 [listen]\nfront = \"{ip}:8405\"\nready = \"{ip}:8406\"\ncontrol = \"{ip}:8407\"\n\
                 [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\n\
                 grace_s = 8\nconfig_apply_ms = 2000\nrequire_fence = true\nlease_ms = 3000\nthaw_slack_ms = 300\n\
                 usage_window_s = 5\nusage_late_s = 10\nrecovery_s = 12\nfinish_s = 10\nstatus_ttl_s = {status_ttl_s}\n\
                 cancel_ms = 3000\nsettle_ms = 1000\n\
                 [platform]\naddress = \"{address}\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\n\
                 parts = {PARTS}\nappend_ms = 4.0\nrecord_bytes = 262144\ncall_bytes = 2097152\nretention_s = 300\n\
                 ttl_min_ms = 1000\n[cloud]\naddress = \"{cloud}\"\nduties = [\"usage_report\"]\nduty_per_s = 50.0\n",
                seeds.join(",")
            );
            let settings = env::temp_dir().join(format!("review-{}-{number}.toml", id()));
            let output = env::temp_dir().join(format!("review-{}-{number}.log", id()));
            fs::write(&settings, text).expect("settings can be written");
            FILES
                .lock()
                .unwrap()
                .extend([settings.clone(), output.clone()]);
            let _ = fs::remove_file(&output);
            let child = Mutex::new(spawn(&settings, &output));
            log.line(&format!("{node} started"));
            processes.push(HostProcess {
                ip: *ip,
                node,
                settings,
                output,
                cut,
                child,
            });
        }
        Arc::new(Self {
            hosts: processes,
            store,
            workers: Mutex::default(),
            log,
            began: Instant::now(),
        })
    }

    /// Starts a model worker with all models at version 1.
    pub fn add_worker(
        &self,
        name: &str,
        slots: usize,
        models: &[&str],
        interval_ms: u64,
    ) -> Arc<Worker> {
        let models = models.iter().map(|model| ((*model).to_owned(), 1));
        self.start_worker(Options {
            name: name.to_owned(),
            service: "assistant-llm".to_owned(),
            slots,
            models: models.collect(),
            interval: Duration::from_millis(interval_ms),
            crashes: false,
        })
    }

    /// Starts a worker without models.
    pub fn add_plain_worker(&self, name: &str, crashes: bool) -> Arc<Worker> {
        self.start_worker(Options {
            name: name.to_owned(),
            service: "order-desk".to_owned(),
            slots: 6,
            models: BTreeMap::new(),
            interval: Duration::from_millis(25),
            crashes,
        })
    }

    fn start_worker(&self, options: Options) -> Arc<Worker> {
        let worker = Worker::start(options, &self.store, &self.log);
        self.workers.lock().unwrap().push(Arc::clone(&worker));
        worker
    }

    /// Sends a request of the streaming route. Returns the status, the body and whether it is complete.
    pub fn stream(
        &self,
        host: usize,
        target: &str,
        id: &str,
    ) -> std::io::Result<(u16, String, bool)> {
        let request = format!(
            "POST {target} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbody"
        );
        call_stream(
            self.hosts[host].front(),
            request.as_bytes(),
            Duration::from_secs(3),
        )
    }

    /// Sends a request with a long body. Returns the status, the body and whether it is complete.
    pub fn long(
        &self,
        host: usize,
        target: &str,
        id: &str,
        body: &[u8],
    ) -> std::io::Result<(u16, String, bool)> {
        let mut request = format!(
            "POST {target} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 2000\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(body);
        call_stream(self.hosts[host].front(), &request, Duration::from_secs(3))
    }

    /// Sends a request of the plain route; the status is `None` without an answer.
    pub fn request(&self, host: usize, target: &str, id: &str, body: &[u8]) -> Option<u16> {
        let headers = [
            ("Host", HOST.to_owned()),
            ("Api-Key", KEY.to_owned()),
            ("Request-Id", id.to_owned()),
            ("Deadline-Ms", "800".to_owned()),
        ];
        let front = self.hosts[host].front();
        let answer = call(
            front,
            "POST",
            target,
            &headers,
            body,
            Duration::from_millis(900),
        );
        answer.ok().map(|answer| answer.status())
    }

    /// Writes a configuration. The store's answer is its acknowledgement.
    pub fn configure(&self, version: u64, routes: &[String], models: &[&str], slots: usize) {
        let models: Vec<String> = models
            .iter()
            .map(|model| format!("{{\"name\":\"{model}\"}}"))
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"assistant-llm\",\"health_path\":\"/health\",\
             \"max_conns\":160,\"engine\":{{\"slots\":{slots},\"models\":[{}]}}}},\
             {{\"name\":\"order-desk\",\"health_path\":\"/health\",\"max_conns\":96}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"]}}]}}",
            routes.join(","),
            models.join(",")
        );
        self.store.put("keyed.op", "config", &text);
        self.log.line(&format!(
            "operator: configuration {version} acknowledged, {} routes",
            routes.len()
        ));
    }

    /// A trainer names a version.
    pub fn name_version(&self, model: &str, version: u64) {
        let text = format!("{{\"model\":\"{model}\",\"version\":{version}}}");
        self.store
            .put("keyed.op", &format!("version/{model}"), &text);
        self.log
            .line(&format!("trainer: version {version} of {model} named"));
    }

    /// Waits until all hosts are ready; fails the case otherwise.
    pub fn await_ready(&self) {
        for host in &self.hosts {
            self.until(20, &format!("{} is ready", host.node), || host.is_ready());
            self.log.line(&format!("{} is ready", host.node));
        }
    }

    pub fn until(&self, seconds: u64, what: &str, condition: impl Fn() -> bool) {
        let due = Instant::now() + Duration::from_secs(seconds);
        while !condition() {
            if Instant::now() > due {
                self.log
                    .line(&format!("couldn't run: not so in time: {what}"));
                panic!("not so in time: {what}");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Submits a batch. Items are (id, events, group).
    pub fn submit(
        &self,
        host: usize,
        prefix: &str,
        batch: &str,
        body: &Submission<'_>,
    ) -> Option<u16> {
        let items: Vec<String> = body
            .items
            .iter()
            .map(|(id, events, group)| {
                format!(
                    "{{\"id\":\"{id}\",\"path\":\"{prefix}{id}\",\"headers\":{{\"Model\":\"{}\",\"Token-Counts\":\"16,{events}\",\
                     \"Prompt-Prefix\":\"9c2e41:16\"}},\"body\":\"{}\",\"num_tokens\":{},\"group\":\"{group}\"}}",
                    body.model, base64(format!("body of {id}").as_bytes()), 16 + events
                )
            })
            .collect();
        let text = format!(
            "{{\"step\":{},\"model\":\"{}\",\"min_version\":{},\"target_groups\":{},\"items\":[{}]}}",
            body.step,
            body.model,
            body.min_version,
            body.groups,
            items.join(",")
        );
        let headers = [
            ("Host", HOST.to_owned()),
            ("Api-Key", KEY.to_owned()),
            ("Request-Id", batch.to_owned()),
            ("Deadline-Ms", "12000".to_owned()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let target = format!("{prefix}{batch}");
        let answer = call(
            self.hosts[host].front(),
            "POST",
            &target,
            &headers,
            text.as_bytes(),
            Duration::from_secs(5),
        );
        let status = answer.as_ref().ok().map(crate::net::Message::status);
        self.log.line(&format!(
            "client: submission {batch}, {} items, to {} -> {}",
            body.items.len(),
            self.hosts[host].node,
            shown(&answer.map(|answer| answer.status()))
        ));
        status
    }

    /// Submits a batch until it is accepted, at another host after each failure.
    pub fn submit_until_accepted(
        &self,
        first: usize,
        prefix: &str,
        batch: &str,
        body: &Submission<'_>,
    ) {
        for attempt in 0..40 {
            let host = (first + attempt) % self.hosts.len();
            if self.submit(host, prefix, batch, body) == Some(202) {
                return;
            }
            thread::sleep(Duration::from_millis(250));
        }
        panic!("{batch} was never accepted");
    }

    pub fn read(&self, host: usize, batch: &str, after: usize) -> Option<Answer> {
        let headers = [
            ("Host", HOST.to_owned()),
            ("Api-Key", KEY.to_owned()),
            ("Request-Id", format!("r{after}{batch}")),
            ("Deadline-Ms", "2000".to_owned()),
            ("Wait-Ms", "1000".to_owned()),
        ];
        let target = format!("/api/lots/{batch}?after={after}");
        let answer = call(
            self.hosts[host].front(),
            "GET",
            &target,
            &headers,
            b"",
            Duration::from_millis(3_500),
        );
        match answer {
            Ok(answer) => Some(Answer {
                status: answer.status(),
                body: Json::parse(&answer.body),
            }),
            Err(error) => {
                self.log.line(&format!(
                    "client: read of {batch} at {}: {error}",
                    self.hosts[host].node
                ));
                None
            }
        }
    }

    /// Reads what is listed after the known results, once.
    pub fn read_on(&self, host: usize, batch: &str, known: &mut Vec<Json>) -> Option<u16> {
        let answer = self.read(host, batch, known.len())?;
        for result in answer.body.get("results").list() {
            self.log.line(&format!(
                "client: {batch} position {}: item {} {} versions {:?}",
                known.len(),
                result.get("id").text(),
                result.get("state").text(),
                result
                    .get("versions")
                    .list()
                    .iter()
                    .map(Json::number)
                    .collect::<Vec<_>>()
            ));
            known.push(result.clone());
        }
        Some(answer.status)
    }

    pub fn end_batch(&self, host: usize, batch: &str) -> Option<u16> {
        let headers = [
            ("Host", HOST.to_owned()),
            ("Api-Key", KEY.to_owned()),
            ("Request-Id", format!("e{batch}")),
            ("Deadline-Ms", "2000".to_owned()),
        ];
        let answer = call(
            self.hosts[host].front(),
            "DELETE",
            &format!("/api/lots/{batch}"),
            &headers,
            b"",
            Duration::from_secs(4),
        );
        let answer = answer.map(|answer| answer.status());
        self.log.line(&format!(
            "client: end of {batch} at {} -> {}",
            self.hosts[host].node,
            shown(&answer)
        ));
        answer.ok()
    }
}

/// What a trainer submits.
pub struct Submission<'a> {
    pub model: &'a str,
    pub step: u64,
    pub min_version: u64,
    pub groups: usize,
    pub items: Vec<(String, u64, String)>,
}

impl HostProcess {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8405))
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, 8406));
        let answer = call(
            address,
            "GET",
            "/api/readiness",
            &[],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the status with which the process has ended, if it has.
    pub fn ended(&self) -> Option<String> {
        let mut children = CHILDREN.lock().unwrap();
        let status = children[*self.child.lock().unwrap()]
            .try_wait()
            .ok()
            .flatten();
        status.map(|status| status.to_string())
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        let children = CHILDREN.lock().unwrap();
        let id = children[*self.child.lock().unwrap()].id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "SIGTERM can be sent"
        );
    }

    /// Starts the process again, as the platform does after an end.
    pub fn restart(&self) {
        *self.child.lock().unwrap() = spawn(&self.settings, &self.output);
    }

    /// Returns the lines of the process's own log that contain a text.
    pub fn lines(&self, part: &str) -> Vec<String> {
        let text = fs::read(&self.output).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        text.lines()
            .filter(|line| line.contains(part))
            .map(str::to_owned)
            .collect()
    }
}

pub fn route(name: &str, prefix: &str, single_version: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"rollout\",\"timeout_ms\":10000,\
         \"goal_ms\":400,\"priority\":0,\"service\":\"assistant-llm\",\"max_attempts\":3,\"retention_s\":90.0,\
         \"due_ms\":7500,\"single_version\":{single_version},\"sticky\":true}}"
    )
}

/// Returns the route of the plain requests.
pub fn plain_route() -> String {
    format!(
        "{{\"name\":\"booking\",\"host\":\"{HOST}\",\"path_prefix\":\"/booking/\",\"kind\":\"idempotent\",\
         \"timeout_ms\":2000,\"goal_ms\":150,\"priority\":2,\"service\":\"order-desk\",\"max_attempts\":2}}"
    )
}

/// Returns the route of the plain streams.
pub fn stream_route() -> String {
    format!(
        "{{\"name\":\"advice\",\"host\":\"{HOST}\",\"path_prefix\":\"/advice/\",\"kind\":\"streaming\",\
         \"timeout_ms\":2000,\"goal_ms\":150,\"priority\":2,\"service\":\"order-desk\",\"max_attempts\":1}}"
    )
}

fn shown<T: std::fmt::Display>(answer: &std::io::Result<T>) -> String {
    match answer {
        Ok(status) => status.to_string(),
        Err(error) => format!("no answer ({error})"),
    }
}

fn spawn(settings: &PathBuf, output: &PathBuf) -> usize {
    let output = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(output)
        .expect("a log file");
    let mut command = Command::new("target/release/godwitspool-host");
    command.env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = env::var_os(name) {
            command.env(name, value);
        }
    }
    command.env("GODWITSPOOL_NODE_FILE", settings);
    command
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::null());
    // Started under the lock, so that a process is either ended with the others or not started.
    let mut children = CHILDREN.lock().unwrap();
    assert!(!ENDED.load(Ordering::SeqCst), "the run has ended");
    let child = command.spawn();
    let child = child.expect("target/release/godwitspool-host can be started");
    children.push(child);
    children.len() - 1
}

fn start_cloud(log: &Arc<Log>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let log = Arc::clone(log);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let log = Arc::clone(&log);
            thread::spawn(move || {
                let mut buffer = Vec::new();
                while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
                    let body = String::from_utf8_lossy(&request.body).into_owned();
                    log.line(&format!(
                        "platform: {} {} by {} fence {}",
                        request.path(),
                        body,
                        request.header("Duty-Holder").unwrap_or_default(),
                        request.header("Fence-Token").unwrap_or_default()
                    ));
                    if respond(&mut stream, 200, &[], b"").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Returns the second and third byte of loopback addresses that nobody uses.
fn free_net() -> (u8, u8) {
    let mut bytes = [0; 64];
    let random = fs::File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    random.expect("random bytes");
    for pair in bytes.chunks(2) {
        let net = (pair[0] | 1, pair[1]);
        let free = (2..8).all(|last| {
            let ip = Ipv4Addr::new(127, net.0, net.1, last);
            [8405, 8406, 8407, 7660, 9464]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if free {
            return net;
        }
    }
    panic!("no free loopback addresses");
}

/// Cuts a host off from the store, or ends the cut.
pub fn cut(host: &HostProcess, log: &Log, on: bool) {
    host.cut.store(on, Ordering::SeqCst);
    let what = if on {
        "is cut off from the store"
    } else {
        "reaches the store again"
    };
    log.line(&format!("{} {what}", host.node));
}
