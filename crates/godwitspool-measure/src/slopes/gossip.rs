//! Slopes of membership: what a host more in the data centre, or a data centre more, costs a host.

use std::time::Duration;

use godwitspool_process::membership::simulated::Net;
use godwitspool_types::Millis;

use crate::series::Series;

const FIND: Millis = Millis(120_000);
const HOSTS_OF_DC: usize = 6;
const WATCHED: Millis = Millis(30_000);

pub(super) fn measure(seed: u64) -> Vec<Series> {
    let (hosts, dcs) = ([10, 50, 131], [2, 4, 8]);
    let near: Vec<_> = hosts.iter().map(|&hosts| load(1, hosts, seed)).collect();
    let far: Vec<_> = dcs
        .iter()
        .map(|&dcs| load(dcs, HOSTS_OF_DC, seed))
        .collect();
    let series = |name, of, unit, sizes: &[usize], loads: &[Load], pick: fn(&Load) -> f64| {
        let mut figures = loads.iter().map(pick);
        Series::measure(name, of, unit, sizes, |_| figures.next().unwrap_or(0.0))
    };
    vec![
        series("gossip-bytes", "hosts", "bytes/s", &hosts, &near, |load| {
            load.bytes
        }),
        series("gossip-us", "hosts", "us/s", &hosts, &near, |load| {
            load.work_us
        }),
        series("gossip-dc-bytes", "dcs", "bytes/s", &dcs, &far, |load| {
            load.bytes
        }),
        series("gossip-dc-us", "dcs", "us/s", &dcs, &far, |load| {
            load.work_us
        }),
    ]
}

/// What the busiest host spends in a second.
#[derive(Clone, Copy, Debug)]
struct Load {
    bytes: f64,
    work_us: f64,
}

fn load(dcs: usize, hosts: usize, seed: u64) -> Load {
    let mut net = Net::new(seed);
    for dc in 0..dcs {
        net.add_hosts(&format!("dc-{dc}"), hosts);
    }
    let all = dcs * hosts;
    net.run_until(FIND, |net| net.all_see(all));
    let before: Vec<_> = net
        .hosts
        .iter()
        .map(|host| (host.sent.bytes, host.busy_time))
        .collect();
    net.run_for(WATCHED);
    let seconds = WATCHED.seconds();
    let mut busiest = Load {
        bytes: 0.0,
        work_us: 0.0,
    };
    for (host, (bytes, worked)) in net.hosts.iter().zip(before) {
        let work: Duration = host.busy_time.saturating_sub(worked);
        busiest.bytes = busiest
            .bytes
            .max((host.sent.bytes - bytes) as f64 / seconds);
        busiest.work_us = busiest.work_us.max(work.as_secs_f64() * 1e6 / seconds);
    }
    busiest
}
