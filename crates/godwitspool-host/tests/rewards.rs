//! Reward calls: when they start, how they end, and what the store keeps of them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;

use godwitspool_host::{
    StoreBounds,
    batch::{
        Batch, BatchRecord, ItemProgress, ItemResult, ItemSpec, RewardOutcome, ScoreCall,
        StoredResults, Submission,
    },
    store::{Record, StoredRecord},
};
use godwitspool_types::Millis;

/// Returns a batch of items with reward calls, one for each name of a group.
fn batch(groups: &[&str]) -> Batch {
    let items = groups.iter().enumerate().map(|(index, group)| ItemSpec {
        id: format!("i{index}"),
        group: (*group).to_owned(),
        scorer: Some(ScoreCall {
            id: format!("s{index}"),
            ..ScoreCall::default()
        }),
        ..ItemSpec::default()
    });
    let submission = Submission {
        id: "b".to_owned(),
        attempts: 3,
        items: items.collect(),
        ..Submission::default()
    };
    Batch::new(Arc::new(submission), Vec::new())
}

fn scored(stamp: &str) -> RewardOutcome {
    RewardOutcome::Scored(stamp.to_owned())
}

#[test]
fn an_item_is_finished_by_its_score_and_not_by_its_output() {
    let mut batch = batch(&["g"]);
    batch.complete_text(0, Millis(10));
    assert_eq!(
        batch.next_item(Millis(10)),
        Err(None),
        "the output isn't generated again"
    );
    assert_eq!(batch.next_calls(Millis(10)), (vec![0], false));
    let finished = batch.end_call(0, scored("x"), 3, Millis(40), 0.0).unwrap();
    assert!(finished.result.completed);
    assert_eq!(finished.result.score.as_deref(), Some("x"));
}

/// The outputs of two groups are complete but for one item each, and a place for a call is free.
/// The call of the group that lacks less starts first.
#[test]
fn calls_of_nearly_complete_groups_start_first() {
    let mut batch = batch(&["a", "a", "a", "b", "b", "b"]);
    for item in 0..6 {
        batch.complete_text(item, Millis(0));
    }
    for item in [4, 5] {
        batch
            .end_call(item, scored("x"), 3, Millis(0), 0.0)
            .unwrap();
    }
    assert_eq!(batch.next_calls(Millis(0)).0[0], 3);
}

#[test]
fn only_failures_that_targets_report_count_as_attempts() {
    let mut batch = batch(&["g"]);
    batch.complete_text(0, Millis(0));
    let mut now = Millis(0);
    for outcome in [RewardOutcome::Broken, RewardOutcome::NotRun]
        .iter()
        .cycle()
        .take(20)
    {
        assert!(batch.end_call(0, outcome.clone(), 3, now, 0.5).is_none());
        assert_eq!(
            batch.next_calls(now),
            (Vec::new(), true),
            "repeated with a delay"
        );
        now = now + Millis(1_000);
        assert_eq!(batch.next_calls(now).0, [0]);
    }
    for _ in 0..2 {
        assert!(
            batch
                .end_call(0, RewardOutcome::Failed, 3, now, 0.5)
                .is_none()
        );
    }
    let finished = batch
        .end_call(0, RewardOutcome::Failed, 3, now, 0.5)
        .unwrap();
    assert!(!finished.result.completed);
    assert_eq!(finished.result.score, None);
}

#[test]
fn an_ended_batch_makes_no_calls() {
    let mut batch = batch(&["g"]);
    batch.complete_text(0, Millis(0));
    batch.ended = true;
    assert_eq!(batch.next_calls(Millis(0)), (Vec::new(), false));
}

fn stored(records: Vec<Record>) -> Vec<StoredRecord> {
    let records = records.into_iter().enumerate();
    let records = records.map(|(offset, record)| StoredRecord {
        offset: offset as u64,
        record,
    });
    records.collect()
}

#[test]
fn a_new_owner_makes_only_the_call_of_a_complete_output() {
    let bounds = StoreBounds::default();
    let mut before = batch(&["g", "g"]);
    before.items[0].progress.push(1, b"text");
    before.complete_text(0, Millis(0));
    let record = BatchRecord::of_progress("b", 0, &before.items[0].progress, &bounds).unwrap();
    let score = ItemResult {
        item: 1,
        completed: true,
        score: Some("x".to_owned()),
        ..ItemResult::default()
    };
    let mut records = vec![record];
    records.extend(BatchRecord::of_result("b", 0, &score, &bounds));
    let mut results = StoredResults::read(0, stored(records));
    let results_read = results.take_results("b").list.all_kept().unwrap();
    assert_eq!(*results_read[0], score);
    let mut after = Batch::new(Arc::clone(&before.submission), results_read);
    for (item, progress) in results.take_progress("b") {
        after.resume(item, progress);
    }
    assert_eq!(after.next_item(Millis(0)), Err(None));
    assert_eq!(after.next_calls(Millis(0)).0, [0]);
    let finished = after.end_call(0, scored("y"), 3, Millis(0), 0.0).unwrap();
    assert_eq!(finished.result.output, b"text");
}

/// Hosts of builds before and after reward calls work on the same store.
#[test]
fn values_without_an_extension_are_read_and_extensions_are_passed_over() {
    let bounds = StoreBounds::default();
    let mut progress = ItemProgress::default();
    progress.push(1, b"text");
    let plain = postcard::to_stdvec(&progress).unwrap();
    let record = BatchRecord::of_progress("b", 0, &progress, &bounds).unwrap();
    assert_eq!(record.value.as_deref(), Some(&plain[..]));
    let complete = ItemProgress {
        complete: true,
        ..progress.clone()
    };
    let record = BatchRecord::of_progress("b", 0, &complete, &bounds).unwrap();
    let old: ItemProgress = postcard::from_bytes(&record.value.unwrap()).unwrap();
    assert_eq!(old, progress);
}
