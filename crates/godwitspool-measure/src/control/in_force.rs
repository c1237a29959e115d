//! Time from appending a record to the log until it is in force on every host.

use std::{
    ops::Range,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use godwitspool_fakes::{Platform, PlatformOptions};
use godwitspool_process::log_reader::Replica;
use godwitspool_types::Offset;
use godwitspool_version::{Record, RecordBody};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::log_host::{Host, cpu_time};
use crate::{Options, Table};

const CHANGES: u64 = 40;
/// Range of the random pause before each change, in milliseconds.
const SPACING_MS: Range<u64> = 200..900;
const CATCH_UP_TIMEOUT: Duration = Duration::from_mins(1);

pub(crate) fn run(options: &Options) -> Vec<Table> {
    let columns = [
        "hosts",
        "dcs",
        "platform",
        "changes",
        "mean_ms",
        "p95_ms",
        "max_ms",
        "platform_reads_per_s",
        "gossip_bytes_per_host_s",
        "core_percent_per_host",
    ];
    let mut table = Table::new("in-force", &columns);
    for (hosts, dcs) in [(11, 3), (11, 4), (40, 1), (40, 4)] {
        table.push_row(row(hosts, dcs, 0, options.seed));
    }
    table.push_row(row(11, 3, 300, options.seed));
    vec![table]
}

/// Appends changes one at a time while the platform delays its answers by `delay_ms`.
fn row(hosts: usize, dcs: usize, delay_ms: u64, seed: u64) -> [String; 10] {
    let platform = Platform::start(PlatformOptions::default()).expect("a port is free");
    let address = platform.address();
    let start = |number| Host::start(number, &format!("dc-{}", number % dcs), address);
    let followers: Vec<_> = (0..hosts).map(start).collect();
    connect_hosts(&followers);
    platform.set_slow(delay_ms);
    let mut rng = StdRng::seed_from_u64(seed);
    let (started, cpu_before) = (Instant::now(), cpu_time());
    let reads = || {
        followers
            .iter()
            .map(|host| host.reads.load(Ordering::Relaxed))
            .sum::<usize>()
    };
    let sent = || {
        followers
            .iter()
            .map(|host| host.gossip.counts().sent_bytes)
            .sum::<u64>()
    };
    let (reads_before, sent_before) = (reads(), sent());
    let mut times: Vec<_> = (0..CHANGES)
        .map(|change| {
            thread::sleep(Duration::from_millis(rng.random_range(SPACING_MS)));
            time_one(&platform, &followers, change)
        })
        .collect();
    let seconds = started.elapsed().as_secs_f64();
    let host_seconds = seconds * hosts as f64;
    let cpu_used = cpu_time().saturating_sub(cpu_before).as_secs_f64();
    times.sort_unstable();
    let ms = |time: Duration| format!("{:.0}", time.as_secs_f64() * 1_000.0);
    [
        hosts.to_string(),
        dcs.to_string(),
        if delay_ms == 0 {
            "fast".to_owned()
        } else {
            format!("{delay_ms} ms late")
        },
        CHANGES.to_string(),
        ms(times.iter().sum::<Duration>() / CHANGES as u32),
        ms(times[times.len() * 95 / 100]),
        ms(times[times.len() - 1]),
        format!("{:.1}", (reads() - reads_before) as f64 / seconds),
        format!("{:.0}", (sent() - sent_before) as f64 / host_seconds),
        format!("{:.2}", cpu_used * 100.0 / host_seconds),
    ]
}

fn connect_hosts(followers: &[Host]) {
    let listed: Vec<_> = followers.iter().map(|host| host.entry.clone()).collect();
    for host in followers {
        host.gossip.set_host_list(listed.clone());
    }
    // A host knows only the first few hosts of other data centres, so the condition is a ready log
    // reader on every host rather than complete membership.
    wait_until(|| {
        followers
            .iter()
            .all(|host| host.reader.read(Replica::is_ready))
    });
    thread::sleep(Duration::from_secs(3));
}

/// Appends one record and returns the time until it is in force on every host.
fn time_one(platform: &Platform, followers: &[Host], change: u64) -> Duration {
    let body = RecordBody::QuarantineAdd {
        fingerprint: change,
        targets: Vec::new(),
    };
    let started = Instant::now();
    let Offset(offset) = platform.append(Record::new(body).encode());
    wait_until(|| followers.iter().all(|host| host.next() > Offset(offset)));
    started.elapsed()
}

fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < CATCH_UP_TIMEOUT,
            "a host did not catch up within {CATCH_UP_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(1));
    }
}
