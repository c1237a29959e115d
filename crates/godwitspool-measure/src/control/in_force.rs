//! Time from the acceptance of a record to its being in force on every host.

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

use super::rig::{Host, processor_time};
use crate::{Options, Table};

const CHANGES: u64 = 40;
/// Bounds of the random time between changes, in milliseconds.
const SPACING_MS: Range<u64> = 200..900;
const PATIENCE: Duration = Duration::from_mins(1);

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

/// Appends changes one at a time; the platform's answers are `slow_ms` late.
fn row(hosts: usize, dcs: usize, slow_ms: u64, seed: u64) -> [String; 10] {
    let platform = Platform::start(PlatformOptions::default()).expect("a port is free");
    let address = platform.address();
    let start = |number| Host::start(number, &format!("dc-{}", number % dcs), address);
    let rig: Vec<_> = (0..hosts).map(start).collect();
    introduce(&rig);
    platform.set_slow(slow_ms);
    let mut rng = StdRng::seed_from_u64(seed);
    let (begun, worked) = (Instant::now(), processor_time());
    let reads = || {
        rig.iter()
            .map(|host| host.reads.load(Ordering::Relaxed))
            .sum::<usize>()
    };
    let sent = || {
        rig.iter()
            .map(|host| host.gossip.counts().sent_bytes)
            .sum::<u64>()
    };
    let (reads_before, sent_before) = (reads(), sent());
    let mut times: Vec<_> = (0..CHANGES)
        .map(|change| {
            thread::sleep(Duration::from_millis(rng.random_range(SPACING_MS)));
            time_one(&platform, &rig, change)
        })
        .collect();
    let seconds = begun.elapsed().as_secs_f64();
    let host_seconds = seconds * hosts as f64;
    let worked = processor_time().saturating_sub(worked).as_secs_f64();
    times.sort_unstable();
    let ms = |time: Duration| format!("{:.0}", time.as_secs_f64() * 1_000.0);
    [
        hosts.to_string(),
        dcs.to_string(),
        if slow_ms == 0 {
            "fast".to_owned()
        } else {
            format!("{slow_ms} ms late")
        },
        CHANGES.to_string(),
        ms(times.iter().sum::<Duration>() / CHANGES as u32),
        ms(times[times.len() * 95 / 100]),
        ms(times[times.len() - 1]),
        format!("{:.1}", (reads() - reads_before) as f64 / seconds),
        format!("{:.0}", (sent() - sent_before) as f64 / host_seconds),
        format!("{:.2}", worked * 100.0 / host_seconds),
    ]
}

fn introduce(rig: &[Host]) {
    let listed: Vec<_> = rig.iter().map(|host| host.entry.clone()).collect();
    for host in rig {
        host.gossip.set_host_list(listed.clone());
    }
    // Hosts of other data centres are known by their first few only.
    wait_until(|| rig.iter().all(|host| host.reader.read(Replica::is_ready)));
    thread::sleep(Duration::from_secs(3));
}

/// Appends one record and times until it is in force on every host.
fn time_one(platform: &Platform, rig: &[Host], change: u64) -> Duration {
    let body = RecordBody::QuarantineAdd {
        fingerprint: change,
        targets: Vec::new(),
    };
    let begun = Instant::now();
    let Offset(offset) = platform.append(Record::new(body).encode());
    wait_until(|| rig.iter().all(|host| host.next() > Offset(offset)));
    begun.elapsed()
}

fn wait_until(holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "a host doesn't follow");
        thread::sleep(Duration::from_millis(1));
    }
}
