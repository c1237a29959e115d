//! Time without a holder after the holder of the orders lease is killed or leaves.

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
const LOOK: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_secs(30);
const ROUNDS: usize = 4;
const TERMS: [Millis; 2] = [Millis(1_000), Millis(3_000)];

/// Kills holders, lets others leave, and tells how long nobody was in charge.
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
    for term in TERMS {
        for (end, graceful) in [("killed", false), ("stopped", true)] {
            match measure(term, graceful) {
                Ok(spans) => table.push_row(row(term, end, &spans)),
                Err(error) => eprintln!("handover at a term of {term} is missing: {error}"),
            }
        }
    }
    vec![table]
}

fn row(term: Millis, end: &str, spans: &[u64]) -> [String; 7] {
    let mean = spans.iter().sum::<u64>() as f64 / spans.len().max(1) as f64;
    [
        term.0.to_string(),
        end.to_owned(),
        spans.len().to_string(),
        spans.iter().min().copied().unwrap_or(0).to_string(),
        format!("{mean:.0}"),
        spans.iter().max().copied().unwrap_or(0).to_string(),
        format!("{:.2}", mean / term.0 as f64),
    ]
}

fn measure(term: Millis, graceful: bool) -> io::Result<Vec<u64>> {
    let platform = Platform::start(PlatformOptions::default())?;
    let mut stewards = Vec::new();
    for number in 0..HOSTS {
        stewards.push(start(&platform, number, term)?);
    }
    let mut spans = Vec::new();
    for round in 0..ROUNDS {
        list(&platform, &stewards);
        let holder = wait_for_holder(&stewards)?;
        let ended = stewards.remove(holder);
        let begun = Instant::now();
        if graceful {
            ended.stop();
        } else {
            // Its threads are joined elsewhere, so that the time counts from the kill.
            thread::spawn(move || drop(ended));
        }
        wait_for_holder(&stewards)?;
        spans.push(begun.elapsed().as_millis() as u64);
        stewards.push(start(&platform, HOSTS + round, term)?);
    }
    Ok(spans)
}

fn start(platform: &Platform, number: usize, term: Millis) -> io::Result<Steward> {
    let settings = StewardSettings::default()
        .with_host(format!("h{number}"), "dc")
        .with_platform(format!("http://{}", platform.address()))
        .with_term(term);
    Steward::start(settings)
}

fn list(platform: &Platform, stewards: &[Steward]) {
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
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if let Some(holder) = stewards.iter().position(may_act) {
            return Ok(holder);
        }
        thread::sleep(LOOK);
    }
    Err(io::Error::other("nobody took the lease"))
}

fn may_act(steward: &Steward) -> bool {
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
