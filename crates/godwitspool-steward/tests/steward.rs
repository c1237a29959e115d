//! Stewards over real sockets: leases, orders, usage and configuration during kills, lost answers,
//! outages and races.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    thread,
    time::Duration,
};

use godwitspool_connection::{
    messages::{StewardAnswer, StewardRequest, UsageRecord, View},
    peer::{Link, LinkBounds},
    platform::UsageReport,
};
use godwitspool_fakes::{Platform, PlatformEvent};
use godwitspool_process::StewardSettings;
use godwitspool_steward::Steward;
use godwitspool_types::{Millis, Offset, RequestId};
use godwitspool_version::{Configuration, WorkspaceRules};
use support::{
    check_orders, configuration, host_entry, orders, publish, start_platform, wait_until,
};

const LONG_WINDOW: Millis = Millis(60_000);
const TERM: Millis = Millis(1_000);

fn start_all(platform: &Platform, window: Millis) -> Vec<Steward> {
    start_named(platform, window, &["a", "b", "c"])
}

fn start_named(platform: &Platform, window: Millis, names: &[&str]) -> Vec<Steward> {
    let start = |host: &str| {
        let settings = StewardSettings::default()
            .with_host(host, "north")
            .with_platform(format!("http://{}", platform.address()))
            .with_term(TERM)
            .with_window(window);
        Steward::start(settings).unwrap()
    };
    let stewards = names.iter().copied().map(start).collect::<Vec<_>>();
    let hosts = names.iter().zip(&stewards);
    let hosts = hosts.map(|(host, steward)| host_entry(host, steward.address()));
    platform.set_hosts(hosts.collect());
    stewards
}

fn may_act(steward: &Steward, lease: &str) -> bool {
    let status = steward.status();
    let leases = status["leases"].as_array().unwrap();
    let found = leases.iter().find(|entry| entry["lease"] == lease).unwrap();
    found["may_act_here"] == true
}

fn holder(stewards: &[Steward], lease: &str) -> Option<usize> {
    stewards.iter().position(|steward| may_act(steward, lease))
}

fn ask(address: SocketAddr, request: &StewardRequest) -> StewardAnswer {
    let bounds = LinkBounds::default().with_answer_timeout(Millis(5_000));
    Link::new(address, bounds).call(request).unwrap()
}

fn view(steward: &Steward) -> Option<View> {
    match ask(steward.address(), &StewardRequest::View(0)) {
        StewardAnswer::View(view) => Some(*view),
        _ => None,
    }
}

fn members(steward: &Steward) -> usize {
    steward.status()["members"].as_array().unwrap().len()
}

fn usage(host: &str, sequence: u64) -> UsageRecord {
    UsageRecord {
        host: host.into(),
        sequence,
        incarnation: 7,
        output_tokens: 10,
        prompt_tokens: 3,
        request: RequestId::random(),
        service: "party/chat".into(),
        workspace: "acme".into(),
    }
}

fn reports(platform: &Platform) -> Vec<(UsageReport, bool)> {
    let events = platform.history().into_iter().map(|record| record.event);
    events
        .filter_map(|event| match event {
            PlatformEvent::Usage { report, stored } => Some((report, stored)),
            _ => None,
        })
        .collect()
}

/// Returns the number of reported requests, counting each window once.
fn reported_requests(platform: &Platform) -> u64 {
    let mut windows = BTreeMap::new();
    for (report, stored) in reports(platform) {
        assert!(stored, "a window was reported with other figures");
        windows.insert(report.window, report.rows);
    }
    let rows = windows.into_values().flatten();
    rows.map(|row| row.requests).sum()
}

#[test]
fn orders_go_on_under_a_later_term_after_the_holder_is_killed() {
    let platform = start_platform();
    let first = publish(&platform, None, &configuration(2));
    let mut stewards = start_all(&platform, LONG_WINDOW);
    wait_until("the first order", || platform.targets().len() == 2);
    let killed = holder(&stewards, "orders").unwrap();
    drop(stewards.remove(killed));
    publish(&platform, Some(first), &configuration(5));
    wait_until("the successor's order", || platform.targets().len() == 5);
    check_orders(&platform);
    let sent = orders(&platform);
    assert!(sent.first().unwrap().term < sent.last().unwrap().term);
}

#[test]
fn a_lost_answer_doubles_no_order() {
    let platform = start_platform();
    let stewards = start_all(&platform, LONG_WINDOW);
    wait_until("a holder", || holder(&stewards, "orders").is_some());
    // Enough to cover the intent, the order and the outcome besides the lease renewals.
    platform.lose_answers(40);
    publish(&platform, None, &configuration(4));
    wait_until("the targets", || platform.targets().len() == 4);
    wait_until("the outcome", || {
        let status = stewards[0].status();
        let (open, last) = (&status["orders"]["open"], &status["orders"]["last"]);
        open.as_array().unwrap().is_empty() && !last.as_array().unwrap().is_empty()
    });
    assert_eq!(platform.targets().len(), 4);
    let identities = orders(&platform).into_iter().map(|order| order.order);
    assert_eq!(identities.collect::<BTreeSet<_>>().len(), 1);
}

#[test]
fn an_outage_of_the_log_stops_orders_and_nothing_else() {
    let platform = start_platform();
    let first = publish(&platform, None, &configuration(1));
    let stewards = start_all(&platform, LONG_WINDOW);
    wait_until("the first order", || platform.targets().len() == 1);
    platform.set_outage(true);
    wait_until("no holder", || holder(&stewards, "orders").is_none());
    let sent = orders(&platform).len();
    publish(&platform, Some(first), &configuration(3));
    // Entries still get the current configuration, with its age.
    let before = view(&stewards[0]).unwrap().configuration;
    wait_until("the age", || view(&stewards[0]).unwrap().age_ms > 1_500);
    assert_eq!(view(&stewards[0]).unwrap().configuration, before);
    assert_eq!(orders(&platform).len(), sent);
    platform.set_outage(false);
    wait_until("the order after the outage", || {
        platform.targets().len() == 3
    });
    check_orders(&platform);
}

#[test]
fn two_operators_who_race_end_in_one_configuration() {
    let platform = start_platform();
    let stewards = start_all(&platform, LONG_WINDOW);
    wait_until("views", || {
        stewards.iter().all(|steward| view(steward).is_some())
    });
    let with_workspace = |name: &str| Configuration {
        workspaces: BTreeMap::from([(name.into(), WorkspaceRules::default())]),
        ..Configuration::default()
    };
    publish(&platform, None, &with_workspace("first"));
    let second = publish(&platform, None, &with_workspace("second"));
    wait_until("both publishes everywhere", || {
        let views = stewards.iter().filter_map(view);
        views.filter(|view| view.offset > second).count() == 3
    });
    for steward in &stewards {
        let view = view(steward).unwrap();
        assert_eq!(*view.configuration, with_workspace("first"));
    }
}

#[test]
fn a_graceful_end_releases_the_lease() {
    let platform = start_platform();
    let mut stewards = start_all(&platform, LONG_WINDOW);
    wait_until("a holder", || holder(&stewards, "orders").is_some());
    let left = holder(&stewards, "orders").unwrap();
    stewards.remove(left).stop();
    wait_until("a successor", || holder(&stewards, "orders").is_some());
    let records = platform.log(Offset(0)).into_iter();
    let releases = records.filter(|record| record.body.contains("release"));
    assert!(releases.count() >= 1);
}

#[test]
fn usage_outlives_its_host_and_a_lost_acknowledgement() {
    let platform = start_platform();
    let window = Millis(2_000);
    let mut stewards = start_all(&platform, window);
    wait_until("members", || {
        stewards.iter().all(|steward| members(steward) == 3)
    });
    wait_until("views", || {
        stewards.iter().all(|steward| view(steward).is_some())
    });
    let records = (1..=20).map(|sequence| usage("a", sequence)).collect();
    let answer = ask(stewards[0].address(), &StewardRequest::HoldUsage(records));
    assert_eq!(answer, StewardAnswer::Done);
    drop(stewards.remove(0));
    let records = (1..=5).map(|sequence| usage("b", sequence)).collect();
    ask(stewards[0].address(), &StewardRequest::HoldUsage(records));
    platform.lose_answers(2);
    wait_until("all requests in reports", || {
        reported_requests(&platform) >= 25
    });
    thread::sleep(Duration::from_millis(2 * window.0));
    assert_eq!(reported_requests(&platform), 25);
}

#[test]
fn usage_is_gathered_from_hosts_that_don_t_seal() {
    let platform = start_platform();
    let names = ["a", "b", "c", "d", "e", "f"];
    let stewards = start_named(&platform, Millis(2_000), &names);
    wait_until("members", || {
        stewards
            .iter()
            .all(|steward| members(steward) == names.len())
    });
    wait_until("views", || {
        stewards.iter().all(|steward| view(steward).is_some())
    });
    for (name, steward) in names.iter().zip(&stewards) {
        let records = (1..=4).map(|sequence| usage(name, sequence)).collect();
        ask(steward.address(), &StewardRequest::HoldUsage(records));
    }
    let all = 4 * names.len() as u64;
    wait_until("all requests in reports", || {
        reported_requests(&platform) >= all
    });
    assert_eq!(reported_requests(&platform), all);
}
