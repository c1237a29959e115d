//! Slopes of the entry's view, publish and lease records, the fold and snapshots.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use godwitspool_connection::{
    messages::{Member, View},
    platform::{TargetEntry, TargetState},
};
use godwitspool_types::{Incarnation, Key, Offset, Workspace};
use godwitspool_version::{
    Configuration, ConfigurationChange, Fold, HostLife, KeyRule, LeaseKind, LeaseRecord, LeaseStep,
    Publish, Record, RecordBody, ServiceRef, WorkspaceRules,
};

use crate::series::{Series, time_us};

const WORKSPACE_KEYS: usize = 3;
const WORKSPACE_SERVICES: usize = 3;
const SIZES: [usize; 4] = [10, 100, 1_000, 3_000];

pub(super) fn measure() -> Vec<Series> {
    vec![
        Series::measure("view-bytes", "targets", "bytes", &SIZES, |n| {
            encode(&view(n, 0, 0)).len() as f64
        }),
        Series::measure("view-member-bytes", "hosts", "bytes", &SIZES, |n| {
            encode(&view(0, n, 0)).len() as f64
        }),
        Series::measure("view-workspace-bytes", "workspaces", "bytes", &SIZES, |n| {
            encode(&view(0, 0, n)).len() as f64
        }),
        Series::measure("view-code-us", "targets", "us", &SIZES, |n| {
            let view = view(n, 0, 0);
            time_us(20, || decode(&encode(&view)))
        }),
        Series::measure("view-member-code-us", "hosts", "us", &SIZES, |n| {
            let view = view(0, n, 0);
            time_us(20, || decode(&encode(&view)))
        }),
        Series::measure("view-workspace-code-us", "workspaces", "us", &SIZES, |n| {
            let view = view(0, 0, n);
            time_us(20, || decode(&encode(&view)))
        }),
        Series::measure("publish-bytes", "workspaces", "bytes", &[1, 10, 100], |n| {
            publish(0, n).encode().len() as f64
        }),
        Series::measure(
            "publish-fold-us",
            "records",
            "us",
            &[100, 1_000, 5_000],
            publish_fold_us,
        ),
        Series::measure("lease-bytes", "records", "bytes", &[10, 100, 1_000], |n| {
            lease_chain(n).iter().map(String::len).sum::<usize>() as f64
        }),
        Series::measure(
            "lease-fold-us",
            "records",
            "us",
            &[100, 1_000, 10_000],
            lease_fold_us,
        ),
        Series::measure("snapshot-bytes", "workspaces", "bytes", &SIZES, |n| {
            fold_of_one_publish(n).snapshot().len() as f64
        }),
        Series::measure("snapshot-write-us", "workspaces", "us", &SIZES, |n| {
            let fold = fold_of_one_publish(n);
            time_us(5, || fold.snapshot())
        }),
        Series::measure("snapshot-load-us", "workspaces", "us", &SIZES, |n| {
            let text = fold_of_one_publish(n).snapshot();
            time_us(5, || Fold::restore(&text).is_ok())
        }),
    ]
}

fn view(targets: usize, hosts: usize, workspaces: usize) -> View {
    View {
        configuration: Arc::new(configuration(workspaces)),
        members: (0..hosts).map(member).collect(),
        targets: (0..targets).map(target).collect(),
        ..View::default()
    }
}

fn encode(view: &View) -> Vec<u8> {
    postcard::to_stdvec(view).expect("a view has a postcard form")
}

fn decode(bytes: &[u8]) -> View {
    postcard::from_bytes(bytes).expect("the view was encoded just now")
}

fn member(index: usize) -> Member {
    Member {
        host: format!("dc-{}-host-{index}", index % 29).into(),
        dc: format!("dc-{}", index % 29).into(),
        entry: address(index, 8_002),
        leaving: false,
        steward: address(index, 8_003),
    }
}

fn target(index: usize) -> TargetEntry {
    TargetEntry {
        address: address(index, 9_000),
        class: "reserved".into(),
        dc: format!("dc-{}", index % 29).into(),
        model: "assistant".into(),
        service: "party/assistant".into(),
        state: TargetState::Live,
        target: format!("reserved-{index}").into(),
    }
}

fn address(index: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + index as u32), port))
}

fn configuration(workspaces: usize) -> Configuration {
    let workspaces = (0..workspaces).map(|index| (workspace_name(index), workspace(index)));
    Configuration {
        workspaces: workspaces.collect(),
        ..Configuration::default()
    }
}

fn workspace_name(index: usize) -> Workspace {
    format!("party/workspace-{index}").into()
}

fn workspace(index: usize) -> WorkspaceRules {
    let key = |key| {
        let digest = Key::from(format!("key-{index}-{key}").as_str()).digest();
        KeyRule {
            digest,
            withdrawn: false,
        }
    };
    let service = |service| {
        let name = format!("service-{service}");
        (
            name.as_str().into(),
            ServiceRef {
                service: format!("party/{name}").into(),
            },
        )
    };
    WorkspaceRules {
        keys: (0..WORKSPACE_KEYS).map(key).collect(),
        services: (0..WORKSPACE_SERVICES).map(service).collect(),
        ..WorkspaceRules::default()
    }
}

fn publish(first_workspace: usize, workspaces: usize) -> Record {
    let changed = first_workspace..first_workspace + workspaces;
    let change = ConfigurationChange {
        workspaces: changed
            .map(|index| (workspace_name(index), Some(workspace(index))))
            .collect::<BTreeMap<_, _>>(),
        ..ConfigurationChange::default()
    };
    Record::new(RecordBody::Publish(Publish {
        change,
        ..Publish::default()
    }))
}

fn fold_of_one_publish(workspaces: usize) -> Fold {
    let mut fold = Fold::default();
    apply(&mut fold, &publish(0, workspaces));
    fold
}

fn apply(fold: &mut Fold, record: &Record) {
    fold.apply(fold.next(), record)
        .expect("the offset is the next one");
}

/// Returns the time to fold publishes that each change one of a hundred workspaces.
fn publish_fold_us(records: usize) -> f64 {
    let texts = publish_chain(records);
    time_us(1, || {
        let mut fold = Fold::default();
        for (offset, text) in texts.iter().enumerate() {
            fold.apply_text(Offset(offset as u64), text)
                .expect("offsets are in order");
        }
        fold
    })
}

/// Returns publish records, each based on the one before.
fn publish_chain(records: usize) -> Vec<String> {
    let mut base = None;
    (0..records)
        .map(|offset| {
            let mut record = publish(offset % 100, 1);
            if let RecordBody::Publish(publish) = &mut record.body {
                publish.base = base;
            }
            base = Some(Offset(offset as u64));
            record.encode()
        })
        .collect()
}

fn lease_fold_us(records: usize) -> f64 {
    let texts = lease_chain(records);
    time_us(1, || {
        let mut fold = Fold::default();
        for (offset, text) in texts.iter().enumerate() {
            fold.apply_text(Offset(offset as u64), text)
                .expect("offsets are in order");
        }
        fold
    })
}

/// Returns lease claims, each after the one before.
fn lease_chain(records: usize) -> Vec<String> {
    let holder = HostLife {
        host: "dc-7-host-101".into(),
        incarnation: Incarnation(1_796_000_000_000),
    };
    let mut last = None;
    (0..records)
        .map(|offset| {
            let claim = LeaseRecord {
                holder: holder.clone(),
                lease: LeaseKind::Orders,
                step: LeaseStep::Claim { after: last },
            };
            last = Some(Offset(offset as u64));
            Record::new(RecordBody::Lease(claim)).encode()
        })
        .collect()
}
