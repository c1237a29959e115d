//! Time without a holder of the orders lease after its holder is killed or stopped.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use godwitspool_connection::platform::HostEntry;
use godwitspool_fakes::{Platform, PlatformOptions};
use godwitspool_process::StewardSettings;
use godwitspool_steward::Steward;
use godwitspool_types::Millis;

use crate::{Options, Table};

const HOSTS: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const HOLDER_TIMEOUT: Duration = Duration::from_secs(30);
const ROUNDS: usize = 4;
const LEASE_TERMS: [Millis; 2] = [Millis(1_000), Millis(3_000)];

/// For each lease term, kills or stops the holder [`ROUNDS`] times and measures the time until
/// another steward holds the lease.
pub(crate) fn run(_options: &Options) -> Vec<Table> {
    let columns = [
        "term_ms",
        "end",
        "rounds",
        "least_ms",
        "mean_ms",
        "most_ms",
        "mean_terms",
    ];
    let mut table = Table::new("handover", &columns);
    for term in LEASE_TERMS {
        for (end, graceful) in [("killed", false), ("stopped", true)] {
            match measure(term, graceful) {
                Ok(gaps_ms) => table.push_row(row(term, end, &gaps_ms)),
                Err(error) => eprintln!("handover at a term of {term} was not measured: {error}"),
            }
        }
    }
    vec![table]
}

fn row(term: Millis, end: &str, gaps_ms: &[u64]) -> [String; 7] {
    let mean = gaps_ms.iter().sum::<u64>() as f64 / gaps_ms.len().max(1) as f64;
    [
        term.0.to_string(),
        end.to_owned(),
        gaps_ms.len().to_string(),
        gaps_ms.iter().min().copied().unwrap_or(0).to_string(),
        format!("{mean:.0}"),
        gaps_ms.iter().max().copied().unwrap_or(0).to_string(),
        format!("{:.2}", mean / term.0 as f64),
    ]
}

fn measure(term: Millis, graceful: bool) -> io::Result<Vec<u64>> {
    let platform = Platform::start(PlatformOptions::default())?;
    let mut stewards = Vec::new();
    for number in 0..HOSTS {
        stewards.push(start_steward(&platform, number, term)?);
    }
    let mut gaps_ms = Vec::new();
    for round in 0..ROUNDS {
        publish_hosts(&platform, &stewards);
        let holder = wait_for_holder(&stewards)?;
        let old_holder = stewards.remove(holder);
        let ended_at = Instant::now();
        if graceful {
            old_holder.stop();
        } else {
            // Dropping a steward joins its threads. This happens in the background, so that the
            // time is measured from the kill.
            thread::spawn(move || drop(old_holder));
        }
        wait_for_holder(&stewards)?;
        gaps_ms.push(ended_at.elapsed().as_millis() as u64);
        stewards.push(start_steward(&platform, HOSTS + round, term)?);
    }
    Ok(gaps_ms)
}

fn start_steward(platform: &Platform, number: usize, term: Millis) -> io::Result<Steward> {
    let settings = StewardSettings::default()
        .with_host(format!("h{number}"), "dc")
        .with_platform(format!("http://{}", platform.address()))
        .with_term(term);
    Steward::start(settings)
}

fn publish_hosts(platform: &Platform, stewards: &[Steward]) {
    let hosts = stewards.iter().map(|steward| HostEntry {
        address: steward.address().ip(),
        dc: "dc".into(),
        entry_port: 1,
        host: steward.status()["host"].as_str().unwrap_or_default().into(),
        leaving: false,
        steward_port: steward.address().port(),
    });
    platform.set_hosts(hosts.collect());
}

fn wait_for_holder(stewards: &[Steward]) -> io::Result<usize> {
    let end = Instant::now() + HOLDER_TIMEOUT;
    while Instant::now() < end {
        if let Some(holder) = stewards.iter().position(is_orders_holder) {
            return Ok(holder);
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(io::Error::other("no steward acquired the orders lease"))
}

fn is_orders_holder(steward: &Steward) -> bool {
    let status = steward.status();
    let leases = status["leases"].as_array();
    leases.is_some_and(|leases| {
        let orders = |lease: &&serde_json::Value| lease["lease"] == "orders";
        leases
            .iter()
            .find(orders)
            .is_some_and(|lease| lease["may_act_here"] == true)
    })
}
