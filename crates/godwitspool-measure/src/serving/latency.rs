//! Latency that the entry adds to a request, over real sockets.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::{
    messages::{StewardAnswer, StewardRequest, View},
    peer::{ServeBounds, Server},
    platform::{TargetEntry, TargetState},
};
use godwitspool_entry::Entry;
use godwitspool_fakes::{PlainOptions, PlainService};
use godwitspool_process::EntrySettings;
use godwitspool_types::{Key, Offset};
use godwitspool_version::{Configuration, KeyRule, ServiceRef, ServiceRules, WorkspaceRules};

use crate::{Options, Table};

const KEY: &str = "gsk-measure";
const RATE_PER_S: u64 = 500;
const CALLERS: u64 = 16;
const ROUNDS: u64 = 4;
const ROUND_TIME: Duration = Duration::from_secs(3);
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls a plain service that responds without delay, alternately directly and through the entry.
pub(crate) fn run(_options: &Options) -> Vec<Table> {
    let columns = ["path", "calls", "failed", "p50_ms", "p99_ms", "p999_ms"];
    let mut table = Table::new("latency", &columns);
    match measure() {
        Ok(paths) => {
            for path in &paths {
                table.push_row(path.cells());
            }
            let added_ms =
                |quantile: f64| paths[1].quantile_ms(quantile) - paths[0].quantile_ms(quantile);
            table.push_row([
                "added".to_owned(),
                String::new(),
                String::new(),
                format!("{:.3}", added_ms(0.5)),
                format!("{:.3}", added_ms(0.99)),
                format!("{:.3}", added_ms(0.999)),
            ]);
        }
        Err(error) => log::error!("latency measurement failed: {error}"),
    }
    vec![table]
}

/// Calls on one path, directly to the service or through the entry.
struct MeasuredPath {
    failed: usize,
    name: &'static str,
    times_ms: Vec<f64>,
}

impl MeasuredPath {
    fn quantile_ms(&self, quantile: f64) -> f64 {
        let index = (self.times_ms.len() as f64 * quantile) as usize;
        self.times_ms.get(index).copied().unwrap_or(f64::NAN)
    }

    fn cells(&self) -> [String; 6] {
        [
            self.name.to_owned(),
            (self.times_ms.len() + self.failed).to_string(),
            self.failed.to_string(),
            format!("{:.3}", self.quantile_ms(0.5)),
            format!("{:.3}", self.quantile_ms(0.99)),
            format!("{:.3}", self.quantile_ms(0.999)),
        ]
    }
}

fn measure() -> std::io::Result<[MeasuredPath; 2]> {
    let service = PlainService::start(PlainOptions {
        delay_ms: 0,
        ..PlainOptions::default()
    })?;
    let view = Arc::new(Mutex::new(view(&service)));
    let steward = serve_view(&view)?;
    let settings = EntrySettings::default()
        .with_host("n0", "north")
        .with_steward(steward.address());
    let entry = Entry::start(settings)?;
    let direct = format!("http://{}/ping", service.address());
    let through = format!("http://{}/services/orders/ping", entry.address());
    let end = Instant::now() + READY_TIMEOUT;
    while call(&new_agent(), &through).is_none() && Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
    }
    let mut paths = [("direct", direct), ("through the entry", through)].map(|(name, url)| {
        let path = MeasuredPath {
            failed: 0,
            name,
            times_ms: Vec::new(),
        };
        (path, url)
    });
    for _ in 0..ROUNDS {
        for (path, url) in &mut paths {
            let times = send_round(url);
            path.failed += times.iter().filter(|time| time.is_none()).count();
            path.times_ms.extend(times.into_iter().flatten());
        }
    }
    Ok(paths.map(|(mut path, _)| {
        path.times_ms.sort_by(f64::total_cmp);
        path
    }))
}

/// Sends calls at a fixed rate and returns their times in milliseconds, `None` for a failed call. A
/// time starts when the call is due, so a late start counts.
fn send_round(url: &str) -> Vec<Option<f64>> {
    let begin = Instant::now();
    let calls = RATE_PER_S * ROUND_TIME.as_secs() / CALLERS;
    let interval = Duration::from_secs(1) * CALLERS as u32 / RATE_PER_S as u32;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let offset = interval * caller as u32 / CALLERS as u32;
                scope.spawn(move || {
                    let agent = new_agent();
                    let send_call = |call_index: u64| {
                        let due = begin + offset + interval * call_index as u32;
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                        call(&agent, url).map(|()| due.elapsed().as_secs_f64() * 1_000.0)
                    };
                    (0..calls).map(send_call).collect::<Vec<_>>()
                })
            })
            .collect();
        let times = callers.into_iter().filter_map(|caller| caller.join().ok());
        times.flatten().collect()
    })
}

fn new_agent() -> ureq::Agent {
    ureq::Agent::new_with_defaults()
}

fn call(agent: &ureq::Agent, url: &str) -> Option<()> {
    let key = format!("Bearer {KEY}");
    let mut response = agent.get(url).header("Authorization", key).call().ok()?;
    response.body_mut().read_to_vec().ok().map(drop)
}

fn view(service: &PlainService) -> View {
    let reference = ServiceRef {
        service: "party/orders".into(),
    };
    let workspace = WorkspaceRules {
        concurrency: 1_000,
        keys: vec![KeyRule {
            digest: Key::from(KEY).digest(),
            withdrawn: false,
        }],
        rate_per_s: 100_000,
        services: [("orders".into(), reference)].into(),
        ..WorkspaceRules::default()
    };
    let rules = ServiceRules {
        idempotent: true,
        slots: 256,
        ..ServiceRules::default()
    };
    let configuration = Configuration {
        services: [("party/orders".into(), rules)].into(),
        workspaces: [("acme".into(), workspace)].into(),
        ..Configuration::default()
    };
    let target = TargetEntry {
        address: service.address(),
        class: "reserved".into(),
        dc: "north".into(),
        model: "".into(),
        service: "party/orders".into(),
        state: TargetState::Live,
        target: service.target().clone(),
    };
    View {
        configuration: Arc::new(configuration),
        offset: Offset(1),
        revision: 1,
        targets: vec![target],
        ..View::default()
    }
}

/// Starts a server that gives the entry its view in place of a steward.
fn serve_view(view: &Arc<Mutex<View>>) -> std::io::Result<Server> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let view = Arc::clone(view);
    Server::start(listener, ServeBounds::default(), move |request| {
        let StewardRequest::View(known_revision) = request else {
            return StewardAnswer::Done;
        };
        if known_revision != 0 {
            thread::sleep(Duration::from_millis(500));
        }
        let view = view.lock().unwrap_or_else(PoisonError::into_inner);
        StewardAnswer::View(Box::new(view.clone()))
    })
}
