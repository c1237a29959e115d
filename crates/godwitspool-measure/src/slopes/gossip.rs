//! Slopes of membership: the cost for a host of each further host in its data centre, and of each
//! further data centre.

use std::time::Duration;

use godwitspool_process::membership::simulated::Net;
use godwitspool_types::Millis;

use crate::series::Series;

const CONVERGENCE_TIMEOUT: Millis = Millis(120_000);
const DC_HOSTS: usize = 6;
const LOAD_RUN: Millis = Millis(30_000);

pub(super) fn measure(seed: u64) -> Vec<Series> {
    let (hosts, dcs) = ([10, 50, 131], [2, 4, 8]);
    let loads_by_hosts: Vec<_> = hosts.iter().map(|&hosts| load(1, hosts, seed)).collect();
    let loads_by_dcs: Vec<_> = dcs.iter().map(|&dcs| load(dcs, DC_HOSTS, seed)).collect();
    let series =
        |name, size_unit, unit, sizes: &[usize], loads: &[Load], pick: fn(&Load) -> f64| {
            let mut values = loads.iter().map(pick);
            Series::measure(name, size_unit, unit, sizes, |_| {
                values.next().unwrap_or(0.0)
            })
        };
    vec![
        series(
            "gossip-bytes",
            "hosts",
            "bytes/s",
            &hosts,
            &loads_by_hosts,
            |load| load.bytes,
        ),
        series(
            "gossip-us",
            "hosts",
            "us/s",
            &hosts,
            &loads_by_hosts,
            |load| load.busy_us,
        ),
        series(
            "gossip-dc-bytes",
            "dcs",
            "bytes/s",
            &dcs,
            &loads_by_dcs,
            |load| load.bytes,
        ),
        series("gossip-dc-us", "dcs", "us/s", &dcs, &loads_by_dcs, |load| {
            load.busy_us
        }),
    ]
}

/// Cost per second: the maximum of each value over all hosts.
#[derive(Clone, Copy, Debug)]
struct Load {
    bytes: f64,
    /// Time spent in decisions and in encoding and decoding datagrams.
    busy_us: f64,
}

fn load(dcs: usize, hosts: usize, seed: u64) -> Load {
    let mut net = Net::new(seed);
    for dc in 0..dcs {
        net.add_hosts(&format!("dc-{dc}"), hosts);
    }
    let all = dcs * hosts;
    net.run_until(CONVERGENCE_TIMEOUT, |net| net.all_see(all));
    let before: Vec<_> = net
        .hosts
        .iter()
        .map(|host| (host.sent.bytes, host.busy_time))
        .collect();
    net.run_for(LOAD_RUN);
    let seconds = LOAD_RUN.seconds();
    let mut busiest = Load {
        bytes: 0.0,
        busy_us: 0.0,
    };
    for (host, (bytes, busy_before)) in net.hosts.iter().zip(before) {
        let busy: Duration = host.busy_time.saturating_sub(busy_before);
        busiest.bytes = busiest
            .bytes
            .max((host.sent.bytes - bytes) as f64 / seconds);
        busiest.busy_us = busiest.busy_us.max(busy.as_secs_f64() * 1e6 / seconds);
    }
    busiest
}
