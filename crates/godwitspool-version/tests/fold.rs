//! Tests the fold, its snapshots and the encoding of records with repeated, damaged, concurrent and
//! missing records.

#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use godwitspool_types::{Incarnation, Key, KeyDigest, Offset, RequestId, Term, Workspace};
use godwitspool_version::{
    Change, Configuration, ConfigurationChange, Fold, FoldError, HostLife, LeaseKind, LeaseRecord,
    LeaseStep, OrderId, OrderIntent, OrderOutcome, OrderReason, Publish, Record, RecordBody,
    RecordId, SnapshotParts, TargetAction, UsageFigures, UsageRange, UsageSeal, WeightsTarget,
    WindowFrozen, WorkspaceRules, snapshot_records,
};
use proptest::{collection::vec, prelude::*};

fn digest(n: u8) -> KeyDigest {
    Key::from(format!("key {n}").as_str()).digest()
}

fn life(n: u8) -> HostLife {
    HostLife {
        host: format!("h{n}").into(),
        incarnation: Incarnation(u64::from(n)),
    }
}

fn publish(base: Option<Offset>, workspace: &str, share: u32) -> RecordBody {
    let rules = WorkspaceRules {
        share,
        ..WorkspaceRules::default()
    };
    let mut change = ConfigurationChange::default();
    change.workspaces.insert(workspace.into(), Some(rules));
    RecordBody::Publish(Publish {
        base,
        change,
        operator: "op".to_owned(),
    })
}

fn seal(window: u64, dc: u8, source: u8, first: u64, last: u64) -> RecordBody {
    RecordBody::UsageSeal(UsageSeal {
        dc: format!("dc{dc}").into(),
        figures: vec![UsageFigures {
            workspace: "w".into(),
            requests: last + 1 - first,
            ..UsageFigures::default()
        }],
        ranges: vec![UsageRange {
            first,
            last,
            source: life(source),
        }],
        window,
    })
}

fn small_offset() -> impl Strategy<Value = Option<Offset>> {
    proptest::option::of((0..12_u64).prop_map(Offset))
}

fn lease_step() -> impl Strategy<Value = LeaseStep> {
    prop_oneof![
        small_offset().prop_map(|after| LeaseStep::Claim { after }),
        (0..12_u64).prop_map(|term| LeaseStep::Renew(Term(term))),
        (0..12_u64).prop_map(|term| LeaseStep::Release(Term(term))),
    ]
}

fn body() -> impl Strategy<Value = RecordBody> {
    let lease = (lease_step(), 0..3_u8, 0..3_usize).prop_map(|(step, host, kind)| {
        RecordBody::Lease(LeaseRecord {
            step,
            lease: LeaseKind::ALL[kind],
            holder: life(host),
        })
    });
    let intent = (0..4_u128, 0..12_u64).prop_map(|(order, term)| {
        RecordBody::OrderIntent(OrderIntent {
            action: TargetAction::Start(1),
            class: "c".into(),
            dc: "d".into(),
            order: OrderId(RequestId(order)),
            reason: OrderReason::Worth,
            term: Term(term),
        })
    });
    let outcome = (0..4_u128).prop_map(|order| RecordBody::OrderOutcome {
        order: OrderId(RequestId(order)),
        outcome: OrderOutcome::Done(vec!["t".into()]),
    });
    let frozen = (0..4_u64, 0..12_u64).prop_map(|(window, term)| {
        RecordBody::WindowFrozen(WindowFrozen {
            window,
            term: Term(term),
            ..WindowFrozen::default()
        })
    });
    let weights = (0..12_u64, 0..3_u8).prop_map(|(term, version)| {
        RecordBody::WeightsTarget(WeightsTarget {
            model: "m".into(),
            term: Term(term),
            version: format!("v{version}").into(),
        })
    });
    prop_oneof![
        (small_offset(), 0..3_u8, 1..9_u32).prop_map(|(base, w, share)| publish(
            base,
            &format!("w{w}"),
            share
        )),
        (0..4_u8, 0..3_u8).prop_map(|(key, w)| RecordBody::KeyIssue {
            digest: digest(key),
            workspace: format!("w{w}").into(),
        }),
        (0..4_u8).prop_map(|key| RecordBody::KeyWithdraw {
            digest: digest(key),
        }),
        lease,
        intent,
        outcome,
        (0..4_u64, 0..2_u8, 0..2_u8, 1..9_u64, 0..4_u64)
            .prop_map(|(w, dc, source, first, more)| seal(w, dc, source, first, first + more)),
        frozen,
        weights,
        (0..4_u64).prop_map(|fingerprint| RecordBody::QuarantineLift { fingerprint }),
        (0..4_u64).prop_map(|fingerprint| RecordBody::QuarantineAdd {
            fingerprint,
            targets: vec!["t".into()],
        }),
        Just(RecordBody::Unknown),
    ]
}

fn record() -> impl Strategy<Value = Record> {
    (0..40_u128, body()).prop_map(|(id, body)| Record {
        id: RecordId(RequestId(id)),
        body,
    })
}

fn fold_all(fold: &mut Fold, records: &[Record]) {
    for record in records {
        fold.apply(fold.next(), record).unwrap();
    }
}

proptest! {
    #[test]
    fn snapshot_and_tail_equal_replay(records in vec(record(), 0..60), cut in 0..60_usize) {
        let cut = cut.min(records.len());
        let mut replayed = Fold::default();
        fold_all(&mut replayed, &records[..cut]);
        let mut parts = SnapshotParts::default();
        for record in snapshot_records(&replayed, 200) {
            let RecordBody::Snapshot(part) = Record::decode(&record.encode()).unwrap().body else {
                panic!("not a part");
            };
            parts.add(&part);
        }
        let mut restored = parts.newest().unwrap().clone();
        fold_all(&mut replayed, &records[cut..]);
        fold_all(&mut restored, &records[cut..]);
        prop_assert_eq!(replayed, restored);
    }

    #[test]
    fn a_withdrawn_key_never_comes_back(records in vec(record(), 0..80)) {
        let mut fold = Fold::default();
        let mut withdrawn = std::collections::BTreeSet::new();
        for record in &records {
            fold.apply(fold.next(), record).unwrap();
            if let RecordBody::KeyWithdraw { digest } = &record.body
                && fold.is_withdrawn(digest) {
                withdrawn.insert(*digest);
            }
            for key in fold.configuration().workspaces.values().flat_map(|rules| &rules.keys) {
                prop_assert!(key.withdrawn || !withdrawn.contains(&key.digest));
            }
        }
    }

    #[test]
    fn a_repeated_page_changes_nothing(records in vec(record(), 1..40)) {
        let mut fold = Fold::default();
        fold_all(&mut fold, &records);
        let before = fold.clone();
        for (offset, record) in records.iter().enumerate() {
            prop_assert!(fold.apply(Offset(offset as u64), record).unwrap().is_empty());
        }
        prop_assert_eq!(fold, before);
    }

    #[test]
    fn a_record_survives_its_coding(record in record()) {
        prop_assert_eq!(Record::decode(&record.encode()).unwrap(), record);
    }

    #[test]
    fn damaged_text_is_counted_and_passed_over(record in record(), at in 0..400_usize, byte in any::<u8>()) {
        let mut text = record.encode().into_bytes();
        let at = at % text.len();
        text[at] = byte;
        let text = String::from_utf8_lossy(&text).into_owned();
        let mut fold = Fold::default();
        fold.apply_text(Offset(0), &text).unwrap();
        prop_assert_eq!(fold.next(), Offset(1));
        let damaged = u64::from(Record::decode(&text).is_err());
        prop_assert_eq!(fold.counts().damaged, damaged);
    }
}

#[test]
fn a_gap_is_an_error_that_names_both_ends() {
    let mut fold = Fold::default();
    let error = fold.apply(Offset(3), &Record::new(RecordBody::Unknown));
    let expected = FoldError::Gap {
        expected: Offset(0),
        found: Offset(3),
    };
    assert_eq!(error, Err(expected));
    assert_eq!(fold, Fold::default());
}

#[test]
fn of_two_racing_publishes_the_first_wins_and_the_loser_is_told() {
    let mut fold = Fold::default();
    let first = Record::new(publish(None, "w", 1));
    let second = Record::new(publish(None, "w", 2));
    fold.apply(Offset(0), &first).unwrap();
    let changes = fold.apply(Offset(1), &second).unwrap();
    let lost = Change::PublishLost {
        id: second.id,
        published: Some(Offset(0)),
    };
    assert_eq!(changes, [lost]);
    assert_eq!(fold.configuration().workspaces["w"].share, 1);
    assert!(!fold.outcome(second.id).unwrap().counted);
    assert!(fold.outcome(first.id).unwrap().counted);
}

#[test]
fn a_repeated_publish_keeps_its_first_outcome() {
    let mut fold = Fold::default();
    let record = Record::new(publish(None, "w", 1));
    fold.apply(Offset(0), &record).unwrap();
    let changes = fold.apply(Offset(1), &record).unwrap();
    assert_eq!(changes, [Change::Ignored]);
    assert!(fold.outcome(record.id).unwrap().counted);
    assert_eq!(fold.counts().repeated, 1);
}

#[test]
fn a_publish_keeps_issued_keys() {
    let mut fold = Fold::default();
    let workspace = Workspace::from("w");
    let issue = RecordBody::KeyIssue {
        digest: digest(1),
        workspace: workspace.clone(),
    };
    for body in [
        publish(None, "w", 1),
        issue,
        publish(Some(Offset(0)), "w", 2),
    ] {
        fold.apply(fold.next(), &Record::new(body)).unwrap();
    }
    let rules = &fold.configuration().workspaces[&workspace];
    assert_eq!(rules.share, 2);
    assert_eq!(rules.keys.len(), 1);
    assert!(!rules.keys[0].withdrawn);
}

#[test]
fn an_unknown_kind_is_counted() {
    let mut fold = Fold::default();
    let text = r#"{"id":"00000000000000000000000000000007","body":{"kind":"later","n":[1]}}"#;
    fold.apply_text(Offset(0), text).unwrap();
    assert_eq!(fold.counts().unknown, 1);
    assert_eq!(fold.next(), Offset(1));
}

#[test]
fn an_intent_counts_only_under_the_current_term() {
    let mut fold = Fold::default();
    let claim = |after| {
        RecordBody::Lease(LeaseRecord {
            step: LeaseStep::Claim { after },
            lease: LeaseKind::Orders,
            holder: life(1),
        })
    };
    let intent = |order, term| {
        RecordBody::OrderIntent(OrderIntent {
            action: TargetAction::Start(1),
            class: "c".into(),
            dc: "d".into(),
            order: OrderId(RequestId(order)),
            reason: OrderReason::Floor,
            term: Term(term),
        })
    };
    let bodies = [
        claim(None),
        intent(1, 0),
        claim(Some(Offset(0))),
        intent(2, 0),
    ];
    for body in bodies {
        fold.apply(fold.next(), &Record::new(body)).unwrap();
    }
    let open = &fold.orders().open;
    assert_eq!(open.len(), 1);
    assert_eq!(open[0].intent.order, OrderId(RequestId(1)));
}

#[test]
fn a_change_turns_one_configuration_into_the_other() {
    let mut old = Configuration::default();
    old.workspaces
        .insert("gone".into(), WorkspaceRules::default());
    old.open_routes.insert("shut".into());
    let mut new = Configuration::default();
    new.workspaces
        .insert("come".into(), WorkspaceRules::default());
    let change = ConfigurationChange::between(&old, &new);
    change.apply(&mut old);
    assert_eq!(old, new);
    assert!(ConfigurationChange::between(&old, &new).is_empty());
}

#[test]
fn a_renewal_of_an_ended_term_does_not_count() {
    let mut fold = Fold::default();
    let step = |step| {
        RecordBody::Lease(LeaseRecord {
            step,
            lease: LeaseKind::Orders,
            holder: life(1),
        })
    };
    let claim = |after| step(LeaseStep::Claim { after });
    let renewal = step(LeaseStep::Renew(Term(0)));
    for body in [claim(None), claim(Some(Offset(0))), renewal] {
        fold.apply(fold.next(), &Record::new(body)).unwrap();
    }
    assert_eq!(fold.lease(LeaseKind::Orders).last, Some(Offset(1)));
    assert_eq!(fold.counts().overtaken, 1);
}
