//! The hosts of a small deployment, their workers and the rest of the platform.

use std::{
    fmt::Display,
    fs::{self, File},
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, call, response, serve},
    store::Store,
};

pub const HOST: &str = "desk.example";
pub const MODEL: &str = "m0";
pub const FRONT: u16 = 18405;
const READY: u16 = 18406;
const CONTROL: u16 = 18407;

/// Processes that were started and haven't been waited for.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and then this one if a case takes too long.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        let processes = PROCESSES
            .lock()
            .map(|processes| processes.clone())
            .unwrap_or_default();
        for process in processes {
            let _ = Command::new("kill")
                .args(["-KILL", &process.to_string()])
                .status();
        }
        eprintln!("not run: it takes longer than {limit:?}");
        std::process::exit(2);
    });
}

/// What was sent, answered and run, in the order of time.
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

    pub fn add(&self, line: impl Display) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {line}");
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &str) -> io::Result<()> {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(path, text)
    }
}

/// A process of the system on a machine of its own.
pub struct Machine {
    pub ip: String,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

pub struct System {
    pub record: Record,
    pub store: Store,
    pub machines: Vec<Arc<Machine>>,
    folder: PathBuf,
    memory_mb: u64,
    stopping: Arc<AtomicBool>,
}

impl Drop for System {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        for machine in &self.machines {
            if let Some(child) = machine.child.lock().unwrap().as_mut() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl System {
    /// Starts the store, the platform's API and the machines.
    pub fn start(machines: usize, memory_mb: u64, configuration: &str) -> io::Result<Self> {
        let record = Record::new();
        let store = Store::default();
        let address = store.start()?;
        store.put("keyed.op", "config", configuration);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let cloud = serve(any, |_, socket| {
            socket.write_all(&response(200, &[], b"{}"))
        })?;
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("godwitspool-review-{id}"));
        fs::create_dir_all(&folder)?;
        let net = free_net(id, machines)?;
        let ips: Vec<String> = (0..machines)
            .map(|index| format!("{net}.{}", index + 2))
            .collect();
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{CONTROL}\""))
            .collect();
        let mut system = Self {
            record,
            store,
            machines: Vec::new(),
            folder,
            memory_mb,
            stopping: Arc::default(),
        };
        for (index, ip) in ips.iter().enumerate() {
            let settings = system.folder.join(format!("{index}.toml"));
            let text = format!(
                "node = \"front-{index}\"\nclass = \"front\"\nip = \"{ip}\"\nzone = \"north\"\nregion = \"land\"\n\
                 internal_ports = [17660, 17675]\nseeds = [{}]\nbootstrap = true\nheartbeat_ms = 1200\n\
                 [zones]\nnorth = \"land\"\n[listen]\nfront = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\"\n\
                 control = \"{ip}:{CONTROL}\"\n[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = {memory_mb}\n\
                 max_fds = 8200\nlink_mbps = 1000.0\ndisk_mb = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n\
                 contact_ms = 3000\nack_ms = 4000\ncatch_up_s = 5\ndrain_ms = 2000\ngrace_s = 8\n\
                 loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nskew_max_ms = 5000\n\
                 strict_revoke = false\nrevoke_ms = 5000\nrequire_fence = true\nlease_ms = 3000\n\
                 thaw_slack_ms = 300\nusage_window_s = 5\nusage_off = 0.05\nusage_late_s = 10\nrecovery_s = 12\n\
                 pass_ms = 120\nfinish_s = 10\nstatus_ttl_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\n\
                 [platform]\naddress = \"{address}\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\n\
                 parts = 8\nappend_ms = 4.0\npart_mb_s = 20.0\nread_mb_s = 80.0\nrecord_bytes = 262144\n\
                 call_bytes = 2097152\nretention_s = 300\npart_mb = 200\nttl_min_ms = 1000\n[cloud]\n\
                 address = \"{cloud}\"\nrate_per_s = 50.0\nduties = [\"usage_report\"]\nduty_per_s = 50.0\n",
                seeds.join(", "),
            );
            fs::write(&settings, text)?;
            let machine = Machine {
                ip: ip.clone(),
                settings,
                log: system.folder.join(format!("{index}.log")),
                child: Mutex::default(),
            };
            machine.run()?;
            system.machines.push(Arc::new(machine));
        }
        Ok(system)
    }

    /// Does what the platform does for the processes: ends one that exceeds the memory of its machine,
    /// and starts again what has ended.
    pub fn supervise(&self) {
        for (index, machine) in self.machines.iter().enumerate() {
            let (machine, record) = (Arc::clone(machine), self.record.clone());
            let (most_kb, stopping) = (self.memory_mb * 1_024, Arc::clone(&self.stopping));
            thread::spawn(move || {
                while !stopping.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                    let mut child = machine.child.lock().unwrap();
                    if stopping.load(Ordering::SeqCst) {
                        return;
                    }
                    let Some(process) = child.as_mut() else {
                        continue;
                    };
                    let kb = memory_kb(process.id());
                    let why = if kb > most_kb {
                        let _ = process.kill();
                        let _ = process.wait();
                        format!("ended: {kb} kB of {most_kb} kB")
                    } else if let Ok(Some(status)) = process.try_wait() {
                        format!("ended by itself: {status}")
                    } else {
                        continue;
                    };
                    record.add(format!("machine {index}: process {why}"));
                    PROCESSES.lock().unwrap().retain(|id| *id != process.id());
                    *child = None;
                    drop(child);
                    thread::sleep(Duration::from_millis(500));
                    if !stopping.load(Ordering::SeqCst) && machine.run().is_err() {
                        record.add(format!("machine {index}: can't start the process"));
                    }
                }
            });
        }
    }

    /// Waits until all machines are ready; returns whether they are.
    pub fn await_ready(&self) -> bool {
        let due = Instant::now() + Duration::from_secs(20);
        while Instant::now() < due {
            let ready = self
                .machines
                .iter()
                .filter(|machine| machine.is_ready())
                .count();
            if ready == self.machines.len() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        let machine = &self.machines[index % self.machines.len()];
        format!("{}:{FRONT}", machine.ip).parse().unwrap()
    }

    /// Writes the entry of a worker that has just started.
    pub fn register(&self, name: &str, service: &str, address: SocketAddr, slots: u32) {
        self.store.put(
            "keyed.servers",
            name,
            &entry(service, address, slots, None, unix_ms()),
        );
    }
}

/// Returns the entry of a worker that started at a time, in milliseconds since 1970.
pub fn entry(
    service: &str,
    address: SocketAddr,
    slots: u32,
    version: Option<u64>,
    born: u64,
) -> String {
    let models =
        version.map(|version| format!(r#"{{"name":"{MODEL}","version":{version},"adapters":[]}}"#));
    let models = models.unwrap_or_default();
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"north","version":"1","slots":{slots},"state":"ready","cold_left_ms":0,"seq":1,"born":{born},"stage":"both","models":[{models}]}}"#
    )
}

impl Machine {
    fn run(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/godwitspool-host")
            .env("GODWITSPOOL_NODE_FILE", &self.settings)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        PROCESSES.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = format!("{}:{READY}", self.ip).parse().unwrap();
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

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let child = self.child.lock().unwrap();
        if let Some(child) = child.as_ref() {
            let _ = Command::new("kill")
                .args([format!("-{name}"), child.id().to_string()])
                .status();
        }
    }
}

pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns the memory of a process without what it maps of files, such as its program.
fn memory_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns the first three parts of loopback addresses at which nobody listens.
fn free_net(id: u32, machines: usize) -> io::Result<String> {
    for attempt in 0..50 {
        let net = format!(
            "127.{}.{}",
            20 + (id + attempt) % 200,
            1 + (id / 200 + attempt) % 250
        );
        let free = (0..machines).all(|index| {
            let ports = [FRONT, READY, CONTROL, 17660, 9464];
            ports
                .iter()
                .all(|port| TcpListener::bind(format!("{net}.{}:{port}", index + 2)).is_ok())
        });
        if free {
            return Ok(net);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Returns a configuration with the services `plain` and `engine`, and two tenants.
pub fn configuration(version: u64, max_body_bytes: usize) -> String {
    configuration_with(version, max_body_bytes, false)
}

/// The same, with samples of a single version if that is set.
pub fn configuration_with(version: u64, max_body_bytes: usize, single_version: bool) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{prefix}","kind":"{kind}","service":"{service}","priority":1,"max_attempts":3{more}}}"#
        )
    };
    let batch = format!(
        r#","goal_ms":400,"timeout_ms":10000,"due_ms":7500,"retention_s":60,"single_version":{single_version},"sticky":true"#
    );
    let routes = [
        route(
            "lookup",
            "/lookup/",
            "idempotent",
            "plain",
            r#","goal_ms":400,"timeout_ms":4000"#,
        ),
        route(
            "upload",
            "/upload/",
            "idempotent",
            "store",
            r#","goal_ms":8000,"timeout_ms":20000"#,
        ),
        route(
            "talk",
            "/talk/",
            "streaming",
            "talker",
            r#","goal_ms":400,"timeout_ms":30000,"sticky":true"#,
        ),
        route("batch", "/batch/", "rollout", "engine", &batch),
    ];
    let engine = format!(r#","engine":{{"slots":12,"models":[{{"name":"{MODEL}"}}]}}"#);
    let service = |name: &str, more: &str| {
        format!(r#"{{"name":"{name}","health_path":"/health","max_conns":160{more}}}"#)
    };
    let services = [
        service("plain", ""),
        service("store", ""),
        service("talker", ""),
        service("engine", &engine),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":{max_body_bytes},"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"huka","api_keys":["key-huka"]}},{{"name":"puhu","api_keys":["key-puhu"]}}]}}"#,
        routes.join(","),
        services.join(","),
    )
}

/// Returns whether a worker is asked for, and answers 421 if it is another one.
pub fn is_meant(name: &str, request: &Message, socket: &mut TcpStream) -> io::Result<bool> {
    let expected = request.get("Expect-Instance");
    if expected.is_none_or(|expected| expected == name) {
        return Ok(true);
    }
    let id = request.get("Request-Id").unwrap_or("").to_owned();
    socket.write_all(&response(
        421,
        &[("Request-Id", id), ("Not-Run", "1".to_owned())],
        b"",
    ))?;
    Ok(false)
}

pub fn stamp(request: &Message) -> Vec<(&'static str, String)> {
    let id = request.get("Request-Id").unwrap_or("").to_owned();
    let stamp = format!("stamp-{id}");
    vec![("Request-Id", id), ("Server-Stamp", stamp)]
}
