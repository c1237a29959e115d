//! Membership: failure detection time, false positives, network load and CPU time.

use std::{
    net::UdpSocket,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::platform::HostEntry;
use godwitspool_process::{
    Clock,
    membership::{Gossip, GossipEvent, MemberRecord, MembershipRules, simulated::Net},
};
use godwitspool_types::{Incarnation, Millis};

use super::log_host::{cpu_time, host_entry};
use crate::{Options, Table};

const SIZES: [usize; 3] = [10, 50, 131];
const LOSSES: [f64; 2] = [0.0, 0.05];
const KILLS: usize = 20;
const FALSE_POSITIVE_RUN: Millis = Millis(600_000);
const LOAD_RUN: Millis = Millis(60_000);
const CONVERGENCE_TIMEOUT: Millis = Millis(120_000);
/// Number of other data centres at the design size.
const REMOTE_DCS: usize = 28;
const SOCKET_SIZES: [usize; 2] = [10, 50];
const SOCKET_RUN: Duration = Duration::from_secs(10);

pub(crate) fn run(options: &Options) -> Vec<Table> {
    vec![
        detection(options.seed),
        false_positives(options.seed),
        load(options.seed),
        sockets(),
    ]
}

fn data_centre(hosts: usize, loss: f64, seed: u64) -> Net {
    let mut net = Net::new(seed);
    net.add_hosts("tbilisi", hosts);
    let converged = net.run_until(CONVERGENCE_TIMEOUT, |net| net.all_see(hosts));
    assert!(
        converged.is_some(),
        "{hosts} hosts did not find each other within {CONVERGENCE_TIMEOUT}"
    );
    net.loss = loss;
    net
}

/// Kills one host per run and measures the times until the first other host and until all others
/// have removed it.
fn detection(seed: u64) -> Table {
    let columns = [
        "hosts",
        "loss_percent",
        "kills",
        "first_ms",
        "mean_ms",
        "max_ms",
    ];
    let mut table = Table::new("membership-detection", &columns);
    for hosts in SIZES {
        for loss in LOSSES {
            let times: Vec<_> = (0..KILLS)
                .map(|kill| measure_kill(hosts, loss, seed, kill))
                .collect();
            let mean = |pick: fn(&DetectionTimes) -> u64| {
                times.iter().map(pick).sum::<u64>() / times.len() as u64
            };
            let max = times
                .iter()
                .map(|latency| latency.all_ms)
                .max()
                .unwrap_or_default();
            table.push_row([
                hosts.to_string(),
                format!("{:.0}", loss * 100.0),
                KILLS.to_string(),
                mean(|latency| latency.first_ms).to_string(),
                mean(|latency| latency.all_ms).to_string(),
                max.to_string(),
            ]);
        }
    }
    table
}

/// Times from the kill of a host until the first other host, and until all others, removed it.
struct DetectionTimes {
    first_ms: u64,
    all_ms: u64,
}

fn measure_kill(hosts: usize, loss: f64, seed: u64, kill: usize) -> DetectionTimes {
    let mut net = data_centre(hosts, loss, seed + kill as u64);
    net.run_for(Millis(1_000 + 37 * kill as u64));
    net.hosts[0].is_running = false;
    let views_alive = |net: &Net| (1..hosts).filter(|host| net.sees(*host, 0)).count();
    let until_first = net.run_until(CONVERGENCE_TIMEOUT, |net| views_alive(net) < hosts - 1);
    let after_first = net.run_until(CONVERGENCE_TIMEOUT, |net| views_alive(net) == 0);
    let first_ms = until_first.unwrap_or(CONVERGENCE_TIMEOUT).0;
    DetectionTimes {
        first_ms,
        all_ms: first_ms + after_first.unwrap_or(CONVERGENCE_TIMEOUT).0,
    }
}

/// Counts suspicions and removals while all hosts are alive.
fn false_positives(seed: u64) -> Table {
    let columns = [
        "hosts",
        "loss_percent",
        "host_hours",
        "suspected",
        "refuted",
        "removed",
    ];
    let mut table = Table::new("membership-false-positives", &columns);
    for hosts in SIZES {
        for loss in [0.05, 0.15] {
            let mut net = data_centre(hosts, loss, seed);
            net.run_for(FALSE_POSITIVE_RUN);
            let counts = || net.hosts.iter().map(|host| host.membership.counts());
            let hours = hosts as f64 * FALSE_POSITIVE_RUN.seconds() / 3_600.0;
            table.push_row([
                hosts.to_string(),
                format!("{:.0}", loss * 100.0),
                format!("{hours:.1}"),
                counts()
                    .map(|counts| counts.suspected)
                    .sum::<u64>()
                    .to_string(),
                counts()
                    .map(|counts| counts.refuted)
                    .sum::<u64>()
                    .to_string(),
                counts().map(|counts| counts.downs).sum::<u64>().to_string(),
            ]);
        }
    }
    table
}

/// Measures what hosts send, and how long their decisions and coding take, while no host starts or
/// stops.
fn load(seed: u64) -> Table {
    let columns = [
        "hosts",
        "other_dcs",
        "loss_percent",
        "mean_bytes_per_s",
        "max_bytes_per_s",
        "datagrams_per_s",
        "mean_core_percent",
        "max_core_percent",
    ];
    let mut table = Table::new("membership-load", &columns);
    for (hosts, dcs) in [(10, 0), (50, 0), (131, 0), (4, 2), (131, REMOTE_DCS)] {
        for loss in LOSSES {
            table.push_row(load_row(hosts, dcs, loss, seed));
        }
    }
    table
}

fn load_row(hosts: usize, dcs: usize, loss: f64, seed: u64) -> [String; 8] {
    let mut net = Net::new(seed);
    net.add_hosts("tbilisi", hosts);
    for dc in 0..dcs {
        net.add_hosts(&format!("dc-{dc:02}"), 1);
    }
    let converged = net.run_until(CONVERGENCE_TIMEOUT, |net| net.all_see_local(hosts));
    assert!(
        converged.is_some(),
        "{hosts} hosts did not find each other within {CONVERGENCE_TIMEOUT}"
    );
    net.loss = loss;
    net.run_for(Millis(10_000));
    let before: Vec<_> = net
        .hosts
        .iter()
        .map(|host| (host.sent, host.busy_time))
        .collect();
    net.run_for(LOAD_RUN);
    let seconds = LOAD_RUN.seconds();
    let local_hosts = || net.hosts.iter().zip(&before).take(hosts);
    let rates =
        local_hosts().map(|(host, (sent, _))| (host.sent.bytes - sent.bytes) as f64 / seconds);
    let rates: Vec<_> = rates.collect();
    let datagrams = local_hosts().map(|(host, (sent, _))| host.sent.datagrams - sent.datagrams);
    let cores = local_hosts().map(|(host, (_, busy_before))| {
        host.busy_time.saturating_sub(*busy_before).as_secs_f64() / seconds
    });
    let cores: Vec<_> = cores.map(|core| core * 100.0).collect();
    [
        hosts.to_string(),
        dcs.to_string(),
        format!("{:.0}", loss * 100.0),
        format!("{:.0}", mean(&rates)),
        format!("{:.0}", max(&rates)),
        format!(
            "{:.1}",
            datagrams.sum::<u64>() as f64 / hosts as f64 / seconds
        ),
        format!("{:.3}", mean(&cores)),
        format!("{:.3}", max(&cores)),
    ]
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Measures hosts over real sockets of this machine. The CPU time is that of the whole process,
/// including time in the kernel, divided by the number of hosts.
fn sockets() -> Table {
    let columns = [
        "hosts",
        "seconds",
        "bytes_per_s",
        "datagrams_per_s",
        "core_percent",
        "removed",
    ];
    let mut table = Table::new("membership-sockets", &columns);
    for hosts in SOCKET_SIZES {
        let gossips = start_all(hosts);
        let before: Vec<_> = gossips.iter().map(Gossip::counts).collect();
        let cpu_before = cpu_time();
        thread::sleep(SOCKET_RUN);
        let cpu_seconds = cpu_time().saturating_sub(cpu_before).as_secs_f64();
        let seconds = SOCKET_RUN.as_secs_f64() * hosts as f64;
        let deltas = gossips.iter().zip(&before).map(|(gossip, before)| {
            let counts = gossip.counts();
            (
                counts.sent - before.sent,
                counts.sent_bytes - before.sent_bytes,
            )
        });
        let (sent, bytes) = deltas.fold((0, 0), |sum, delta| (sum.0 + delta.0, sum.1 + delta.1));
        let removed: u64 = gossips
            .iter()
            .map(|gossip| gossip.counts().membership.downs)
            .sum();
        table.push_row([
            hosts.to_string(),
            SOCKET_RUN.as_secs().to_string(),
            format!("{:.0}", bytes as f64 / seconds),
            format!("{:.1}", sent as f64 / seconds),
            format!("{:.3}", cpu_seconds * 100.0 / seconds),
            removed.to_string(),
        ]);
    }
    table
}

fn start_all(hosts: usize) -> Vec<Gossip> {
    let started: Vec<_> = (0..hosts).map(start).collect();
    let listed: Vec<_> = started.iter().map(|(_, entry)| entry.clone()).collect();
    let gossips: Vec<_> = started.into_iter().map(|(gossip, _)| gossip).collect();
    for gossip in &gossips {
        gossip.set_host_list(listed.clone());
    }
    let waiting_since = Instant::now();
    while gossips.iter().any(|gossip| gossip.members().len() < hosts) {
        assert!(
            waiting_since.elapsed() < Duration::from_mins(1),
            "{hosts} hosts did not find each other within a minute"
        );
        thread::sleep(Duration::from_millis(20));
    }
    gossips
}

fn start(number: usize) -> (Gossip, HostEntry) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("the loopback address has a free port");
    let address = socket.local_addr().expect("a bound socket has an address");
    let name = format!("gori-{number}");
    let own = MemberRecord::default()
        .with_host(name.clone(), "gori")
        .with_addresses(address, address)
        .with_life(Incarnation(1));
    let (sender, _) = mpsc::channel::<GossipEvent>();
    let rules = MembershipRules::default();
    let gossip = Gossip::start(socket, own, rules, Clock::start(), sender);
    (
        gossip.expect("the gossip thread starts"),
        host_entry(&name, "gori", address),
    )
}
