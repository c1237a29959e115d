//! A fake platform with one class of targets, and checks on its history.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::{
    collections::{BTreeMap, BTreeSet},
    thread,
    time::{Duration, Instant},
};

use godwitspool_connection::platform::{HostEntry, TargetOrder};
use godwitspool_fakes::{ClassOptions, Platform, PlatformEvent, PlatformOptions};
use godwitspool_types::{Dc, Offset};
use godwitspool_version::{
    ClassRules, Configuration, ConfigurationChange, DcRules, Publish, Record, RecordBody,
    ServiceRules,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Waits until the condition holds and panics if it doesn't within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a platform whose targets ignore fencing tokens.
pub fn start_platform() -> Platform {
    let class = ClassOptions {
        available: BTreeMap::from([(Dc::from("north"), 50)]),
        class: "reserved".into(),
        fencing: false,
        service: "party/chat".into(),
        ..ClassOptions::default()
    };
    let options = PlatformOptions {
        classes: vec![class],
        ..PlatformOptions::default()
    };
    Platform::start(options).unwrap()
}

/// Returns a configuration with a floor of targets.
pub fn configuration(floor: u32) -> Configuration {
    let class = ClassRules {
        cost_per_hour: 1_000,
        service: "party/chat".into(),
        start_ms: 500,
        ..ClassRules::default()
    };
    let dc = DcRules {
        ceiling: BTreeMap::from([("reserved".into(), 50)]),
        floor: BTreeMap::from([("reserved".into(), floor)]),
        orders_per_minute: 60,
    };
    Configuration {
        classes: BTreeMap::from([("reserved".into(), class)]),
        dcs: BTreeMap::from([("north".into(), dc)]),
        services: BTreeMap::from([("party/chat".into(), ServiceRules::default())]),
        ..Configuration::default()
    }
}

/// Publishes a complete configuration and returns the offset of its record.
pub fn publish(platform: &Platform, base: Option<Offset>, new: &Configuration) -> Offset {
    let change = ConfigurationChange::between(&Configuration::default(), new);
    let publish = Publish {
        base,
        change,
        operator: "test".to_owned(),
    };
    platform.append(Record::new(RecordBody::Publish(publish)).encode())
}

/// Returns an entry for the platform's list of hosts.
pub fn host_entry(host: &str, steward: std::net::SocketAddr) -> HostEntry {
    HostEntry {
        address: steward.ip(),
        dc: "north".into(),
        entry_port: 1,
        host: host.into(),
        leaving: false,
        steward_port: steward.port(),
    }
}

/// Returns the orders that the platform received, oldest first.
pub fn orders(platform: &Platform) -> Vec<TargetOrder> {
    let events = platform.history().into_iter().map(|record| record.event);
    events
        .filter_map(|event| match event {
            PlatformEvent::Order { order, .. } => Some(order),
            _ => None,
        })
        .collect()
}

/// Asserts that the terms of the orders never decrease and that no two hosts sent orders under the
/// same term.
pub fn check_orders(platform: &Platform) {
    let orders = orders(platform);
    for pair in orders.windows(2) {
        let (one, next) = (&pair[0], &pair[1]);
        assert!(one.term <= next.term, "order under an old term: {orders:?}");
    }
    let hosts = orders.iter().map(|order| (order.term, &order.host));
    let hosts = hosts.collect::<BTreeSet<_>>();
    let terms = hosts.iter().map(|(term, _)| term).collect::<BTreeSet<_>>();
    assert_eq!(
        hosts.len(),
        terms.len(),
        "two hosts sent orders under one term: {hosts:?}"
    );
}
