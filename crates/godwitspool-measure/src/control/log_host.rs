//! A host that runs only gossip and a log reader, over real sockets.

use std::{
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    time::Duration,
};

use godwitspool_connection::{
    http::{self, PlatformApi, PlatformError},
    messages::{StewardAnswer, StewardRequest},
    peer::{ServeBounds, Server},
    platform::{
        Appended, HostEntry, HostList, LogPage, OrderAnswer, TargetList, TargetOrder, UsageReport,
    },
};
use godwitspool_process::{
    Clock,
    log_reader::{LogEvent, LogReader, LogReaderOptions},
    membership::{Gossip, GossipEvent, MemberRecord, MembershipRules},
};
use godwitspool_types::{Incarnation, Millis, Offset};

/// Longest time that a tail request waits for new records.
const MAX_TAIL_WAIT: Millis = Millis(500);
/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_S: u64 = 100;

/// A host that follows the log and serves its tail to other hosts.
pub(super) struct Host {
    pub entry: HostEntry,
    pub gossip: Arc<Gossip>,
    /// Number of reads of the platform's log by this host.
    pub reads: Arc<AtomicUsize>,
    pub reader: Arc<LogReader>,
    _server: Server,
}

impl Host {
    /// Starts a host on a free port of the loopback address, which it uses for both TCP and UDP.
    pub fn start(number: usize, dc: &str, platform: SocketAddr) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").expect("the loopback address has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let socket = UdpSocket::bind(address).expect("the TCP port is also free for UDP");
        let name = format!("{dc}-{number}");
        let own = MemberRecord::default()
            .with_host(name.clone(), dc)
            .with_addresses(address, address)
            .with_life(Incarnation(1));
        let (sender, _) = mpsc::channel::<GossipEvent>();
        let (clock, rules) = (Clock::start(), MembershipRules::default());
        let gossip = Gossip::start(socket, own, rules, clock, sender).expect("a thread starts");
        let gossip = Arc::new(gossip);
        let reads = Arc::new(AtomicUsize::new(0));
        let counting_platform = CountingPlatform {
            platform: http::Platform::new(format!("http://{platform}")),
            reads: Arc::clone(&reads),
        };
        let options = LogReaderOptions {
            dc: dc.into(),
            host: name.as_str().into(),
            ..LogReaderOptions::default()
        };
        let (sender, _) = mpsc::channel::<LogEvent>();
        let reader = LogReader::start(
            options,
            counting_platform,
            Arc::clone(&gossip),
            clock,
            sender,
        );
        let reader = Arc::new(reader.expect("a thread starts"));
        let tail_reader = Arc::clone(&reader);
        let handler = move |request| match request {
            StewardRequest::Snapshot => tail_reader.snapshot(),
            StewardRequest::Tail(from) => tail_reader.tail(from, MAX_TAIL_WAIT),
            _ => StewardAnswer::NotReady,
        };
        let bounds = ServeBounds::default().with_max_threads(256);
        let server = Server::start(listener, bounds, handler).expect("a thread starts");
        Self {
            entry: host_entry(&name, dc, address),
            gossip,
            reads,
            reader,
            _server: server,
        }
    }

    /// Returns the offset of the next record. All records before it are in force.
    pub fn next(&self) -> Offset {
        self.reader.read(|replica| replica.fold().next())
    }
}

/// Returns the entry of a host in the platform's host list.
pub(super) fn host_entry(host: &str, dc: &str, address: SocketAddr) -> HostEntry {
    HostEntry {
        address: address.ip(),
        dc: dc.into(),
        entry_port: address.port(),
        host: host.into(),
        leaving: false,
        steward_port: address.port(),
    }
}

/// Returns the CPU time that this process has used.
pub(super) fn cpu_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    // User and system time are fields 14 and 15. The first two, the PID and the name, end with the
    // last parenthesis.
    let ticks: u64 = fields
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_S)
}

/// Platform client that counts the reads of the log.
struct CountingPlatform {
    platform: http::Platform,
    reads: Arc<AtomicUsize>,
}

impl PlatformApi for CountingPlatform {
    fn append(&self, records: &[String]) -> Result<Appended, PlatformError> {
        self.platform.append(records)
    }

    fn read(&self, from: Offset, max: usize) -> Result<LogPage, PlatformError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.platform.read(from, max)
    }

    fn hosts(&self) -> Result<HostList, PlatformError> {
        self.platform.hosts()
    }

    fn targets(&self) -> Result<TargetList, PlatformError> {
        self.platform.targets()
    }

    fn order(
        &self,
        order: &TargetOrder,
        may_send: &dyn Fn() -> bool,
    ) -> Result<OrderAnswer, PlatformError> {
        self.platform.order(order, may_send)
    }

    fn report(
        &self,
        report: &UsageReport,
        may_send: &dyn Fn() -> bool,
    ) -> Result<(), PlatformError> {
        self.platform.report(report, may_send)
    }
}
