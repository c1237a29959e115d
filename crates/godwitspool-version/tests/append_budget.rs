//! Tests the append budget and the conditions under which snapshots are written.

use godwitspool_types::{Incarnation, Millis, Offset, Term};
use godwitspool_version::{
    AppendBudget, HostLife, LeaseKind, LeaseRecord, LeaseStep, Record, RecordBody, SnapshotCadence,
    SnapshotPosition, Stream, StreamLimits,
};
use rstest::rstest;

const LIMITS: StreamLimits = StreamLimits {
    burst: 3,
    per_minute: 60,
    max_queued: 200,
};

fn lift() -> Record {
    Record::new(RecordBody::QuarantineLift { fingerprint: 1 })
}

fn claim() -> Record {
    Record::new(RecordBody::Lease(LeaseRecord {
        step: LeaseStep::Claim { after: None },
        lease: LeaseKind::Orders,
        holder: HostLife::default(),
    }))
}

#[test]
fn a_stream_keeps_to_its_rate_and_loses_nothing() {
    let mut budget = AppendBudget::new([(Stream::Configuration, LIMITS)]);
    for _ in 0..100 {
        assert!(budget.offer(lift()));
    }
    let taken = (0..=30_000)
        .step_by(100)
        .map(|at| budget.take_batch(Millis(at)).len());
    assert_eq!(taken.sum::<usize>(), 3 + 30);
    let counts = budget.counts()[&Stream::Configuration];
    assert_eq!((counts.appended, counts.waiting), (33, 67));
}

#[test]
fn leases_go_before_a_flood_of_another_stream() {
    let mut budget = AppendBudget::new([(Stream::Configuration, LIMITS), (Stream::Lease, LIMITS)]);
    for _ in 0..100 {
        budget.offer(lift());
    }
    let claim = claim();
    budget.offer(claim.clone());
    assert_eq!(budget.take_batch(Millis(0))[0], claim);
}

/// Renewals that wait while the budget is used up are all older than the term when they are read
/// back, so a holder that appends them in order never may act again.
#[test]
fn only_the_newest_waiting_record_of_a_lease_is_appended() {
    let mut budget = AppendBudget::new([(Stream::Lease, LIMITS)]);
    let record = |lease, incarnation, step| {
        let holder = HostLife {
            incarnation: Incarnation(incarnation),
            ..HostLife::default()
        };
        Record::new(RecordBody::Lease(LeaseRecord {
            step,
            lease,
            holder,
        }))
    };
    let renewal = || record(LeaseKind::Orders, 1, LeaseStep::Renew(Term(7)));
    for _ in 0..LIMITS.burst {
        assert!(budget.offer(record(LeaseKind::Usage, 2, LeaseStep::Renew(Term(9)))));
        assert_eq!(budget.take_batch(Millis(0)).len(), 1);
    }
    for _ in 0..45 {
        assert!(budget.offer(renewal()));
    }
    let newest = renewal();
    assert!(budget.offer(newest.clone()));
    let other = record(LeaseKind::Usage, 1, LeaseStep::Renew(Term(8)));
    assert!(budget.offer(other.clone()));
    assert_eq!(budget.counts()[&Stream::Lease].waiting, 2);
    assert_eq!(budget.take_batch(Millis(2_000)), [newest, other]);
}

#[test]
fn a_full_queue_refuses_and_counts() {
    let mut budget = AppendBudget::new([(Stream::Configuration, LIMITS)]);
    let taken = (0..300).filter(|_| budget.offer(lift())).count();
    assert_eq!(taken, LIMITS.max_queued);
    assert_eq!(budget.counts()[&Stream::Configuration].refused, 100);
}

#[rstest]
#[case::nothing_new(1_000, 900, Some(1_000), 10_000_000, false)]
#[case::little_new(1_000, 0, Some(990), 0, false)]
#[case::time(1_000, 0, Some(990), 300_000, true)]
#[case::records(60_000, 0, Some(9_000), 0, true)]
#[case::retention_nears(1_000, 500, Some(790), 0, true)]
#[case::retention_is_far(1_000, 500, Some(900), 0, false)]
#[case::none_yet(1_000, 500, None, 0, true)]
fn a_snapshot_is_due(
    #[case] end: u64,
    #[case] retained: u64,
    #[case] snapshot: Option<u64>,
    #[case] now: u64,
    #[case] due: bool,
) {
    let position = SnapshotPosition {
        end: Offset(end),
        retained: Offset(retained),
        snapshot: snapshot.map(Offset),
        written: Millis(0),
    };
    assert_eq!(
        SnapshotCadence::default().is_due(position, Millis(now)),
        due
    );
}
