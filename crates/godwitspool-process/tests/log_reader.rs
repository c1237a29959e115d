//! The log reader over real sockets: outages, log retention, failed readers and replaced hosts.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc::{self, Receiver},
    },
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::{
    http::{self, PlatformApi, PlatformError},
    messages::{StewardAnswer, StewardRequest},
    peer::{ServeBounds, Server},
    platform::{
        Appended, HostEntry, HostList, LogPage, OrderAnswer, TargetList, TargetOrder, UsageReport,
    },
};
use godwitspool_fakes::{Platform, PlatformOptions};
use godwitspool_process::{
    Clock,
    log_reader::{LogEvent, LogReader, LogReaderOptions, Replica},
    membership::{Gossip, GossipEvent, MemberRecord, MembershipRules},
};
use godwitspool_types::{Incarnation, Millis, Offset};
use godwitspool_version::{Change, Fold, Record, RecordBody, snapshot_records};

const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// The platform as one host reaches it; a test can make its reads fail by closing the gate.
struct Gated {
    inner: http::Platform,
    open: Arc<AtomicBool>,
    reads: Arc<AtomicUsize>,
}

impl PlatformApi for Gated {
    fn append(&self, records: &[String]) -> Result<Appended, PlatformError> {
        self.inner.append(records)
    }
    fn read(&self, from: Offset, max: usize) -> Result<LogPage, PlatformError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        if self.open.load(Ordering::SeqCst) {
            return self.inner.read(from, max);
        }
        let reason = "gate closed".to_owned();
        Err(PlatformError::Outage {
            call: "read",
            reason,
        })
    }
    fn hosts(&self) -> Result<HostList, PlatformError> {
        self.inner.hosts()
    }
    fn targets(&self) -> Result<TargetList, PlatformError> {
        self.inner.targets()
    }
    fn order(
        &self,
        order: &TargetOrder,
        may_send: &dyn Fn() -> bool,
    ) -> Result<OrderAnswer, PlatformError> {
        self.inner.order(order, may_send)
    }
    fn report(
        &self,
        report: &UsageReport,
        may_send: &dyn Fn() -> bool,
    ) -> Result<(), PlatformError> {
        self.inner.report(report, may_send)
    }
}

struct Host {
    entry: HostEntry,
    events: Receiver<LogEvent>,
    gate: Arc<AtomicBool>,
    reader: Arc<LogReader>,
    reads: Arc<AtomicUsize>,
    gossip: Arc<Gossip>,
    _server: Server,
}

impl Host {
    fn start(number: u64, dc: &str, platform: &Platform) -> Self {
        Self::start_gated(number, dc, platform, true)
    }

    fn start_gated(number: u64, dc: &str, platform: &Platform, open: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let host = format!("{dc}-{number}");
        let own = MemberRecord::default()
            .with_host(host.clone(), dc)
            .with_addresses(address, address)
            .with_life(Incarnation(number));
        let clock = Clock::start();
        let socket = UdpSocket::bind(address).unwrap();
        let (sender, _) = mpsc::channel::<GossipEvent>();
        let rules = MembershipRules::default();
        let gossip = Arc::new(Gossip::start(socket, own, rules, clock, sender).unwrap());
        let gate = Arc::new(AtomicBool::new(open));
        let reads = Arc::new(AtomicUsize::new(0));
        let gated = Gated {
            inner: http::Platform::new(format!("http://{}", platform.address())),
            open: Arc::clone(&gate),
            reads: Arc::clone(&reads),
        };
        let options = LogReaderOptions {
            dc: dc.into(),
            host: host.clone().into(),
            ..LogReaderOptions::default()
        };
        let (sender, events) = mpsc::channel();
        let reader = LogReader::start(options, gated, Arc::clone(&gossip), clock, sender).unwrap();
        let reader = Arc::new(reader);
        let answers = Arc::clone(&reader);
        let handler = move |request| match request {
            StewardRequest::Snapshot => answers.snapshot(),
            StewardRequest::Tail(from) => answers.tail(from, Millis(500)),
            _ => StewardAnswer::NotReady,
        };
        let server = Server::start(listener, ServeBounds::default(), handler).unwrap();
        let entry = listing(&host, dc, address);
        Self {
            entry,
            events,
            gate,
            gossip,
            reader,
            reads,
            _server: server,
        }
    }

    fn next(&self) -> Offset {
        self.reader.read(|replica| replica.fold().next())
    }

    fn is_ready(&self) -> bool {
        self.reader.read(Replica::is_ready)
    }
}

fn listing(host: &str, dc: &str, address: SocketAddr) -> HostEntry {
    HostEntry {
        address: address.ip(),
        dc: dc.into(),
        entry_port: address.port(),
        host: host.into(),
        leaving: false,
        steward_port: address.port(),
    }
}

fn introduce(hosts: &[&Host]) {
    let listed: Vec<_> = hosts.iter().map(|host| host.entry.clone()).collect();
    for host in hosts {
        host.gossip.set_host_list(listed.clone());
    }
    wait_until("all hosts see each other", || {
        hosts
            .iter()
            .all(|host| host.gossip.members().len() == hosts.len())
    });
}

fn platform(retention: usize) -> Platform {
    Platform::start(PlatformOptions {
        retention,
        ..PlatformOptions::default()
    })
    .unwrap()
}

fn append(platform: &Platform, fingerprint: u64) -> Offset {
    let body = RecordBody::QuarantineAdd {
        fingerprint,
        targets: Vec::new(),
    };
    platform.append(Record::new(body).encode())
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {what}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Waits for an interval in which exactly two hosts read the platform, and returns their indexes.
fn settle_on_two_readers(hosts: &[Host]) -> Vec<usize> {
    let start = Instant::now();
    let reads = || hosts.iter().map(|host| host.reads.load(Ordering::SeqCst));
    loop {
        let before: Vec<_> = reads().collect();
        thread::sleep(Duration::from_millis(800));
        let grown = reads().zip(before).enumerate();
        let grown = grown.filter(|(_, (after, before))| after > before);
        let readers: Vec<_> = grown.map(|(at, _)| at).collect();
        if readers.len() == 2 {
            return readers;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "readers {readers:?}");
    }
}

#[test]
fn every_host_gets_every_record_and_only_readers_read_the_platform() {
    let platform = platform(1_000);
    let hosts: Vec<_> = (1..=4)
        .map(|number| Host::start(number, "gori", &platform))
        .collect();
    introduce(&hosts.iter().collect::<Vec<_>>());
    wait_until("ready", || hosts.iter().all(Host::is_ready));
    for fingerprint in 0..20 {
        append(&platform, fingerprint);
    }
    wait_until("all records", || {
        hosts.iter().all(|host| host.next() == Offset(20))
    });
    settle_on_two_readers(&hosts);
    let expected = hosts[0].reader.read(|replica| replica.fold().clone());
    for host in &hosts {
        assert_eq!(host.reader.read(|replica| replica.fold().clone()), expected);
    }
}

#[test]
fn subscribers_get_changes_in_order_with_their_offsets() {
    let platform = platform(1_000);
    append(&platform, 1);
    append(&platform, 2);
    let host = Host::start(1, "gori", &platform);
    let mut seen = Vec::new();
    while seen.len() < 2 {
        if let LogEvent::Applied(applied) = host.events.recv_timeout(WAIT_TIMEOUT).unwrap() {
            seen.extend(
                applied
                    .into_iter()
                    .map(|applied| (applied.offset, applied.change)),
            );
        }
    }
    assert_eq!(
        seen,
        [
            (Offset(0), Change::Quarantine(1)),
            (Offset(1), Change::Quarantine(2))
        ]
    );
    let is_confirmed = |event| matches!(event, LogEvent::Confirmed(_));
    while !is_confirmed(host.events.recv_timeout(WAIT_TIMEOUT).unwrap()) {}
}

#[test]
fn with_neither_platform_nor_peer_a_host_is_not_ready() {
    let platform = platform(1_000);
    append(&platform, 1);
    let host = Host::start_gated(1, "gori", &platform, false);
    wait_until("reads of the platform", || {
        host.reads.load(Ordering::SeqCst) > 3
    });
    assert!(!host.is_ready());
    assert_eq!(host.reader.snapshot(), StewardAnswer::NotReady);
    assert_eq!(
        host.reader.tail(Offset(0), Millis(0)),
        StewardAnswer::NotReady
    );
    host.gate.store(true, Ordering::SeqCst);
    wait_until("ready", || host.is_ready());
}

#[test]
fn a_replaced_host_starts_from_peers_while_the_platform_is_down() {
    let platform = platform(1_000);
    for fingerprint in 0..30 {
        append(&platform, fingerprint);
    }
    let old: Vec<_> = (1..=2)
        .map(|number| Host::start(number, "gori", &platform))
        .collect();
    introduce(&[&old[0], &old[1]]);
    wait_until("ready", || old.iter().all(|host| host.next() == Offset(30)));
    platform.set_outage(true);
    let new = Host::start(3, "gori", &platform);
    introduce(&[&old[0], &old[1], &new]);
    wait_until("ready", || new.is_ready());
    assert_eq!(new.next(), Offset(30));
    platform.set_outage(false);
    append(&platform, 99);
    wait_until("the next record", || new.next() == Offset(31));
}

#[test]
fn a_new_host_is_not_ready_until_it_has_caught_up_with_the_peer_ahead() {
    let platform = platform(1_000);
    append(&platform, 1);
    let ahead = Host::start(1, "gori", &platform);
    let behind = Host::start(2, "gori", &platform);
    introduce(&[&ahead, &behind]);
    wait_until("both ready", || ahead.is_ready() && behind.is_ready());
    behind.gate.store(false, Ordering::SeqCst);
    // `behind` can't reach the platform, so only `ahead` reads the next records from it.
    for fingerprint in 2..10 {
        append(&platform, fingerprint);
    }
    wait_until("ahead", || ahead.next() == Offset(9));
    let new = Host::start_gated(3, "gori", &platform, false);
    introduce(&[&ahead, &behind, &new]);
    wait_until("ready", || new.is_ready());
    assert_eq!(new.next(), Offset(9));
}

#[test]
fn a_cut_off_data_centre_reads_from_another() {
    let platform = platform(1_000);
    let cut_off = Host::start_gated(1, "gori", &platform, false);
    let connected = Host::start(2, "tbilisi", &platform);
    introduce(&[&cut_off, &connected]);
    append(&platform, 1);
    wait_until("first record", || {
        cut_off.is_ready() && cut_off.next() == Offset(1)
    });
    append(&platform, 2);
    wait_until("second record", || cut_off.next() == Offset(2));
}

#[test]
fn the_next_reader_takes_over_when_both_readers_die() {
    let platform = platform(1_000);
    let mut hosts: Vec<_> = (1..=5)
        .map(|number| Host::start(number, "gori", &platform))
        .collect();
    introduce(&hosts.iter().collect::<Vec<_>>());
    wait_until("ready", || hosts.iter().all(Host::is_ready));
    let readers = settle_on_two_readers(&hosts);
    for at in readers.into_iter().rev() {
        drop(hosts.remove(at));
    }
    append(&platform, 1);
    wait_until("the next record", || {
        hosts.iter().all(|host| host.next() == Offset(1))
    });
}

#[test]
fn a_gap_left_by_retention_is_detected_and_closed_by_a_snapshot() {
    let platform = platform(40);
    append(&platform, 1);
    let host = Host::start(1, "gori", &platform);
    wait_until("ready", || host.next() == Offset(1));
    host.gate.store(false, Ordering::SeqCst);
    let mut fold = Fold::default();
    for record in platform.log(Offset(0)) {
        fold.apply_text(record.offset, &record.body).unwrap();
    }
    for fingerprint in 2..60 {
        let offset = append(&platform, fingerprint);
        let body = platform.log(offset)[0].body.clone();
        fold.apply_text(offset, &body).unwrap();
    }
    for record in snapshot_records(&fold, 1_000) {
        platform.append(record.encode());
    }
    append(&platform, 60);
    host.gate.store(true, Ordering::SeqCst);
    wait_until("the last record after the gap", || {
        host.reader
            .read(|replica| replica.fold().quarantine().contains_key(&60))
    });
    let counts = host.reader.read(Replica::counts);
    assert!(counts.gaps > 0 && counts.restored == 1, "{counts:?}");
    assert_eq!(
        host.reader
            .read(|replica| replica.fold().quarantine().len()),
        60
    );
}

#[test]
fn a_gap_without_a_snapshot_keeps_the_state_in_force() {
    let platform = platform(10);
    append(&platform, 1);
    let host = Host::start(1, "gori", &platform);
    wait_until("ready", || host.next() == Offset(1));
    host.gate.store(false, Ordering::SeqCst);
    for fingerprint in 2..40 {
        append(&platform, fingerprint);
    }
    host.gate.store(true, Ordering::SeqCst);
    wait_until("the gap to be counted", || {
        host.reader.read(Replica::counts).gaps > 0
    });
    assert_eq!(host.next(), Offset(1));
    assert!(host.is_ready());
}

#[test]
fn the_state_in_force_never_moves_back() {
    let platform = platform(1_000);
    for fingerprint in 0..10 {
        append(&platform, fingerprint);
    }
    let host = Host::start(1, "gori", &platform);
    wait_until("ready", || host.next() == Offset(10));
    let mut replica = host.reader.read(Clone::clone);
    assert!(!replica.restore(Fold::default()));
    let old = platform.log(Offset(0));
    assert_eq!(replica.apply(&old[..3]), Ok(Vec::new()));
    assert_eq!(replica.fold().next(), Offset(10));
}
