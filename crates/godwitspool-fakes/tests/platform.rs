//! Tests of the fake platform: log, orders, usage reports, weight store, lists and their faults.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::platform::{
    AppendRequest, Appended, HostEntry, HostList, LogPage, OrderAction, OrderAnswer, TargetList,
    TargetOrder, TargetState, UsageReport, UsageRow,
};
use godwitspool_fakes::{
    ClassOptions, EngineOptions, Platform, PlatformEvent, PlatformOptions, TargetKind,
};
use godwitspool_types::{Dc, Offset, Term};
use serde::{Serialize, de::DeserializeOwned};

const LAG: Duration = Duration::from_millis(100);
/// Minimum lag that a test expects; below `LAG` because times are rounded to milliseconds.
const MIN_LAG: Duration = Duration::from_millis(80);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn post<T: DeserializeOwned>(
    platform: &Platform,
    path: &str,
    body: &impl Serialize,
) -> Result<T, ureq::Error> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(500)))
        .build()
        .into();
    let url = format!("http://{}{path}", platform.address());
    agent.post(url).send_json(body)?.body_mut().read_json()
}

fn get<T: DeserializeOwned>(platform: &Platform, path: &str) -> T {
    let url = format!("http://{}{path}", platform.address());
    let mut answer = ureq::get(url).call().expect("the platform responds");
    answer
        .body_mut()
        .read_json()
        .expect("the body matches the protocol")
}

fn append(platform: &Platform, body: &str) -> Result<Appended, ureq::Error> {
    post(
        platform,
        "/log/append",
        &AppendRequest {
            records: vec![body.into()],
        },
    )
}

fn engines(fencing: bool) -> PlatformOptions {
    let dc = Dc::from("gori");
    let class = ClassOptions {
        available: BTreeMap::from([(dc.clone(), 3)]),
        class: "cheap".into(),
        fencing,
        initial: BTreeMap::from([(dc, 1)]),
        kind: TargetKind::Engine(EngineOptions::default()),
        reclaimable: true,
        restart_ms: 20,
        start_ms: 50,
        stop_ms: 50,
        ..ClassOptions::default()
    };
    PlatformOptions {
        classes: vec![class],
        lag_ms: LAG.as_millis() as u64,
        ..PlatformOptions::default()
    }
}

fn order(id: &str, term: u64, action: OrderAction) -> TargetOrder {
    TargetOrder {
        action,
        class: "cheap".into(),
        dc: "gori".into(),
        host: "host".into(),
        order: id.into(),
        term: Term(term),
    }
}

fn wait_until(mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the condition was not met in time"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn the_log_keeps_order_offsets_and_retention() {
    let options = PlatformOptions {
        retention: 3,
        ..PlatformOptions::default()
    };
    let platform = Platform::start(options).unwrap();
    for index in 0..5 {
        assert_eq!(
            append(&platform, &format!("{index}")).unwrap().first,
            Offset(index)
        );
    }
    let page: LogPage = get(&platform, "/log?from=0&max=2");
    assert_eq!((page.end, page.retained), (Offset(5), Offset(2)));
    let bodies = page
        .records
        .iter()
        .map(|record| record.body.as_str())
        .collect::<Vec<_>>();
    assert_eq!(bodies, ["2", "3"]);
}

#[test]
fn appends_are_refused_during_an_outage_and_above_the_rate_limit() {
    let options = PlatformOptions {
        append_rate: 2,
        ..PlatformOptions::default()
    };
    let platform = Platform::start(options).unwrap();
    platform.set_outage(true);
    assert!(matches!(
        append(&platform, "a"),
        Err(ureq::Error::StatusCode(503))
    ));
    platform.set_outage(false);
    assert!(append(&platform, "a").is_ok() && append(&platform, "b").is_ok());
    assert!(matches!(
        append(&platform, "c"),
        Err(ureq::Error::StatusCode(429))
    ));
    assert_eq!(platform.log(Offset(0)).len(), 2);
}

#[test]
fn an_append_with_a_lost_answer_takes_effect() {
    let platform = Platform::start(PlatformOptions::default()).unwrap();
    platform.lose_answers(1);
    assert!(append(&platform, "a").is_err());
    assert_eq!(platform.log(Offset(0)).len(), 1);
    assert!(append(&platform, "b").is_ok());
}

#[test]
fn orders_take_effect_once_and_old_terms_are_fenced() {
    let platform = Platform::start(engines(true)).unwrap();
    let start = order("1", 5, OrderAction::Start(1));
    let first: OrderAnswer = post(&platform, "/orders", &start).unwrap();
    let again: OrderAnswer = post(&platform, "/orders", &start).unwrap();
    assert_eq!(first, again);
    assert_eq!(platform.targets().len(), 2);
    let old: OrderAnswer =
        post(&platform, "/orders", &order("2", 4, OrderAction::Start(1))).unwrap();
    assert_eq!(old, OrderAnswer::Fenced(Term(5)));
    let rest: OrderAnswer =
        post(&platform, "/orders", &order("3", 6, OrderAction::Start(9))).unwrap();
    assert!(matches!(rest, OrderAnswer::Done(names) if names.len() == 1));
    let none: OrderAnswer =
        post(&platform, "/orders", &order("4", 6, OrderAction::Start(1))).unwrap();
    assert_eq!(none, OrderAnswer::NoneAvailable);
}

#[test]
fn a_class_without_fencing_accepts_old_terms() {
    let platform = Platform::start(engines(false)).unwrap();
    for (id, term) in [("1", 5), ("2", 4)] {
        let answer: OrderAnswer = post(
            &platform,
            "/orders",
            &order(id, term, OrderAction::Start(1)),
        )
        .unwrap();
        assert!(matches!(answer, OrderAnswer::Done(_)));
    }
}

#[test]
fn targets_are_listed_with_a_lag_and_end_after_a_reclaim() {
    let platform = Platform::start(engines(true)).unwrap();
    let _: OrderAnswer = post(&platform, "/orders", &order("1", 1, OrderAction::Start(1))).unwrap();
    let ordered = Instant::now();
    wait_until(|| get::<TargetList>(&platform, "/targets").targets.len() == 2);
    assert!(ordered.elapsed() >= MIN_LAG, "the list does not lag");
    wait_until(|| {
        let listed: TargetList = get(&platform, "/targets");
        listed
            .targets
            .iter()
            .filter(|entry| entry.state == TargetState::Live)
            .count()
            == 2
    });
    let names = platform.reclaim(&Dc::from("gori"), 100);
    assert_eq!(names.len(), 2);
    wait_until(|| get::<TargetList>(&platform, "/targets").targets.is_empty());
    assert!(platform.engines().iter().all(|engine| engine.is_crashed()));
    assert!(platform.billed_ms()["cheap"] > 0);
}

#[test]
fn a_crashed_target_is_restarted() {
    let platform = Platform::start(engines(true)).unwrap();
    let engine = platform.running_engines().remove(0);
    engine.crash();
    wait_until(|| !engine.is_crashed());
}

#[test]
fn a_usage_report_with_other_rows_for_the_same_window_is_refused() {
    let platform = Platform::start(PlatformOptions::default()).unwrap();
    let report = |requests| UsageReport {
        host: "host".into(),
        rows: vec![UsageRow {
            requests,
            ..UsageRow::default()
        }],
        term: Term(1),
        window: 7,
    };
    let url = format!("http://{}/usage", platform.address());
    assert!(ureq::post(&url).send_json(report(1)).is_ok());
    assert!(ureq::post(&url).send_json(report(1)).is_ok());
    assert!(matches!(
        ureq::post(&url).send_json(report(2)),
        Err(ureq::Error::StatusCode(409))
    ));
    let stored = platform
        .history()
        .into_iter()
        .filter_map(|record| match record.event {
            PlatformEvent::Usage { stored, .. } => Some(stored),
            _ => None,
        });
    assert_eq!(stored.collect::<Vec<_>>(), [true, true, false]);
}

#[test]
fn the_weight_store_limits_its_rate() {
    let options = PlatformOptions {
        weight_rate: 1,
        ..PlatformOptions::default()
    };
    let platform = Platform::start(options).unwrap();
    let url = format!("http://{}/weights/model/v2", platform.address());
    assert!(ureq::get(&url).call().is_ok());
    assert!(matches!(
        ureq::get(&url).call(),
        Err(ureq::Error::StatusCode(429))
    ));
}

#[test]
fn a_data_centre_has_its_own_view_which_can_be_partitioned_or_held() {
    let platform = Platform::start(PlatformOptions::default()).unwrap();
    let dc = Dc::from("gori");
    let host = HostEntry {
        address: [127, 0, 0, 9].into(),
        dc: dc.clone(),
        entry_port: 1,
        host: "one".into(),
        leaving: false,
        steward_port: 2,
    };
    let address = platform.open_view(&dc, vec![host.clone()]).unwrap();
    let hosts = || {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(500)))
            .build()
            .into();
        let mut answer = agent.get(format!("http://{address}/hosts")).call()?;
        answer.body_mut().read_json::<HostList>()
    };
    assert_eq!(hosts().unwrap().hosts, [host]);
    assert!(get::<HostList>(&platform, "/hosts").hosts.is_empty());
    platform.set_view_partition(&dc, true);
    assert!(hosts().is_err());
    platform.set_view_partition(&dc, false);
    assert!(hosts().is_ok());
    platform.set_view_held(&dc, true);
    thread::scope(|scope| {
        let held = scope.spawn(hosts);
        thread::sleep(Duration::from_millis(50));
        assert!(!held.is_finished());
        platform.set_view_held(&dc, false);
        assert!(held.join().unwrap().is_ok());
    });
}
