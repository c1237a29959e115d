//! Replay rate of the log, and size, write time and load time of its snapshots.

use std::time::Instant;

use godwitspool_connection::platform::LogRecord;
use godwitspool_process::log_reader::Replica;
use godwitspool_types::{Key, Offset};
use godwitspool_version::{
    ConfigurationChange, Fold, HostLife, KeyRule, LeaseKind, LeaseRecord, LeaseStep, Publish,
    Record, RecordBody, WorkspaceRules,
};

use crate::{Options, Table, time_us};

const RECORDS: usize = 50_000;
const PAGE_RECORDS: usize = 1_000;
const TIMED_CALLS: u32 = 5;

pub(crate) fn run(_options: &Options) -> Vec<Table> {
    vec![replay(), snapshots()]
}

/// Replays records from the start of the log, as a host without a snapshot does.
fn replay() -> Table {
    let columns = ["records", "of", "bytes_per_record", "records_per_s"];
    let mut table = Table::new("log-replay", &columns);
    let lease = (0..RECORDS)
        .map(|at| record(at, lease(at)))
        .collect::<Vec<_>>();
    let quarantine = (0..RECORDS).map(|at| record(at, quarantine(at))).collect();
    let key = (0..RECORDS).map(|at| record(at, key_issue(at))).collect();
    for (name, records) in [("lease", lease), ("quarantine", quarantine), ("key", key)] {
        let bytes: usize = records.iter().map(|record| record.body.len()).sum();
        let mut replica = Replica::default();
        let started = Instant::now();
        for page in records.chunks(PAGE_RECORDS) {
            replica.apply(page).expect("offsets are in order");
        }
        let seconds = started.elapsed().as_secs_f64();
        table.push_row([
            RECORDS.to_string(),
            name.to_owned(),
            (bytes / RECORDS).to_string(),
            format!("{:.0}", RECORDS as f64 / seconds),
        ]);
    }
    table
}

fn record(at: usize, body: RecordBody) -> LogRecord {
    LogRecord {
        body: Record::new(body).encode(),
        offset: Offset(at as u64),
    }
}

fn lease(at: usize) -> RecordBody {
    RecordBody::Lease(LeaseRecord {
        holder: HostLife::default(),
        lease: LeaseKind::ALL[at % LeaseKind::ALL.len()],
        step: LeaseStep::Claim {
            after: at
                .checked_sub(LeaseKind::ALL.len())
                .map(|at| Offset(at as u64)),
        },
    })
}

fn quarantine(at: usize) -> RecordBody {
    RecordBody::QuarantineAdd {
        fingerprint: at as u64 % 1_000,
        targets: vec!["engine-1".into()],
    }
}

fn key_issue(at: usize) -> RecordBody {
    RecordBody::KeyIssue {
        digest: Key::from(format!("key-{at}").as_str()).digest(),
        workspace: format!("party/workspace-{}", at % 100).into(),
    }
}

/// Measures snapshots with different numbers of workspaces, keys and quarantined requests.
fn snapshots() -> Table {
    let columns = [
        "workspaces",
        "keys_each",
        "quarantined",
        "bytes",
        "write_ms",
        "load_ms",
    ];
    let mut table = Table::new("log-snapshot", &columns);
    let sizes = [
        (8, 3, 0),
        (100, 3, 0),
        (1_000, 3, 0),
        (100, 30, 0),
        (100, 300, 0),
        (8, 3, 1_000),
    ];
    for (workspaces, keys, quarantined) in sizes {
        let fold = fold(workspaces, keys, quarantined);
        let text = fold.snapshot();
        let write_us = time_us(TIMED_CALLS, || fold.snapshot());
        let load_us = time_us(TIMED_CALLS, || Fold::restore(&text).is_ok());
        table.push_row([
            workspaces.to_string(),
            keys.to_string(),
            quarantined.to_string(),
            text.len().to_string(),
            format!("{:.3}", write_us / 1_000.0),
            format!("{:.3}", load_us / 1_000.0),
        ]);
    }
    table
}

fn fold(workspaces: usize, keys: usize, quarantined: usize) -> Fold {
    let rules = |workspace| WorkspaceRules {
        keys: (0..keys).map(|key| key_rule(workspace, key)).collect(),
        ..WorkspaceRules::default()
    };
    let workspaces = (0..workspaces).map(|at| {
        let name = format!("party/workspace-{at}");
        (name.as_str().into(), Some(rules(at)))
    });
    let change = ConfigurationChange {
        workspaces: workspaces.collect(),
        ..ConfigurationChange::default()
    };
    let publish = Publish {
        change,
        ..Publish::default()
    };
    let bodies = (0..quarantined).map(quarantine);
    let bodies = [RecordBody::Publish(publish)].into_iter().chain(bodies);
    let mut fold = Fold::default();
    for body in bodies {
        let applied = fold.apply(fold.next(), &Record::new(body));
        applied.expect("offsets are in order");
    }
    fold
}

fn key_rule(workspace: usize, key: usize) -> KeyRule {
    KeyRule {
        digest: Key::from(format!("{workspace}-{key}").as_str()).digest(),
        withdrawn: false,
    }
}
