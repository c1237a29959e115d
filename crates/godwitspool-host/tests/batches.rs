//! Batches: the order of items, decisions after failed runs, ownership, and records in the store.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::{Arc, mpsc},
    time::Duration,
};

use godwitspool_host::{
    StoreBounds,
    batch::{
        Applied, Batch, BatchChange, BatchRecord, BatchRegistry, EventBuffer, Finished, Groups,
        ItemProgress, ItemResult, ItemSpec, ItemState, Items, Lookup, Move, Pace, RunFailure,
        RunView, StoredResults, Submission, Tenure, Verdict, decide_move, order_items,
        partition_of,
    },
    store::{Record, StoredRecord},
};
use godwitspool_types::Millis;
use rstest::rstest;

/// Number of events of each item of a step, recorded on a day with low load in the order in which
/// the items ended. The items are assigned to groups of four in turn.
const EVENTS: [u64; 68] = [
    4, 5, 7, 12, 15, 7, 22, 15, 6, 32, 9, 21, 7, 30, 22, 7, 23, 14, 9, 7, 28, 28, 41, 18, 31, 21,
    21, 7, 8, 32, 22, 9, 34, 41, 29, 26, 5, 13, 8, 12, 39, 12, 12, 40, 11, 19, 12, 22, 25, 45, 20,
    38, 28, 21, 34, 28, 31, 63, 54, 41, 69, 66, 108, 119, 136, 176, 186, 152,
];
/// Number of groups of the step, and of those that its trainer waits for (nine tenths).
const GROUPS: usize = 17;
const WANTED: u32 = 16;
/// Slots at the targets that have the step's version when it arrives: half of a model's targets.
const SLOTS: usize = 24;

fn tenure(epoch: u64) -> Arc<Tenure> {
    Arc::new(Tenure::new(epoch))
}

/// Returns the step with hints that deviate from the actual lengths by up to 50 %.
fn step() -> Submission {
    let items = EVENTS.iter().enumerate().map(|(index, events)| {
        let off = [0.5, 0.8, 1.0, 1.3, 1.5][index * 7 % 5];
        ItemSpec {
            id: format!("i{index}"),
            group: format!("g{}", index * 5 % GROUPS),
            hint: Some((*events as f64 * off) as u64),
            ..ItemSpec::default()
        }
    });
    Submission {
        wanted_groups: WANTED,
        items: items.collect(),
        ..Submission::default()
    }
}

/// Runs the items in the given order on all slots; returns when the wanted number of groups is
/// complete, in units of one event.
fn wanted_at(submission: &Submission, order: &[u32]) -> u64 {
    let mut free_slots: BinaryHeap<Reverse<u64>> = (0..SLOTS).map(|_| Reverse(0)).collect();
    let mut ends = vec![0; submission.items.len()];
    for item in order {
        let Reverse(free) = free_slots.pop().unwrap();
        let item = *item as usize;
        ends[item] = free + EVENTS[item];
        free_slots.push(Reverse(ends[item]));
    }
    let groups = Groups::of(&submission.items);
    let last = |items: &[u32]| items.iter().map(|item| ends[*item as usize]).max().unwrap();
    let mut whole: Vec<u64> = groups.members().map(last).collect();
    whole.sort_unstable();
    whole[WANTED as usize - 1]
}

#[test]
fn a_recorded_step_completes_sooner_than_with_simple_orders() {
    let submission = step();
    let arrival: Vec<u32> = (0..submission.items.len() as u32).collect();
    let shortest_first = {
        let mut order = arrival.clone();
        order.sort_by_key(|item| submission.items.view(*item as usize).unwrap().hint);
        order
    };
    let ordered = wanted_at(&submission, &order_items(&submission));
    let simple = wanted_at(&submission, &arrival).min(wanted_at(&submission, &shortest_first));
    assert!(ordered < simple, "{ordered} events, not below {simple}");
}

#[test]
fn every_item_is_ordered_once() {
    let submission = step();
    let mut order = order_items(&submission);
    order.sort_unstable();
    assert!(order.into_iter().eq(0..submission.items.len() as u32));
}

#[test]
fn moving_a_run_off_a_slow_target_shortens_it() {
    // The run has 60 events at 160 ms each, other targets need 40 ms per event. A move costs the
    // time in which the other target processes the tokens generated so far.
    let (slow, usual, events, reading) = (160, 40, 60, 10);
    let mut pace = Pace::default();
    let mut at = 0;
    let mut left = events;
    while left > 0 {
        at += slow;
        left -= 1;
        pace.push(1, Millis(slow));
        let run = RunView {
            answering: true,
            silent: Millis(0),
            pace,
            median_ms: Some(usual as f64),
            moves: 0,
        };
        if decide_move(&run) == Some(Move::Slow) {
            at += reading + left * usual;
            left = 0;
        }
    }
    assert!(
        at < events * slow / 2,
        "{at} ms, not below half of {} ms",
        events * slow
    );
}

#[rstest]
#[case(RunView { answering: true, silent: Millis(300), pace: Pace { interval_ms: 40.0, events: 9 }, median_ms: Some(40.0), moves: 0 }, None)]
#[case(RunView { answering: true, silent: Millis(900), pace: Pace { interval_ms: 40.0, events: 9 }, median_ms: Some(40.0), moves: 0 }, Some(Move::Silent))]
#[case(RunView { answering: true, silent: Millis(900), pace: Pace { interval_ms: 40.0, events: 9 }, median_ms: Some(40.0), moves: 1 }, None)]
#[case(RunView { answering: false, silent: Millis(900), pace: Pace::default(), median_ms: Some(40.0), moves: 0 }, Some(Move::Queued))]
#[case(RunView { answering: true, silent: Millis(9_000), pace: Pace::default(), median_ms: None, moves: 9 }, None)]
fn moves_depend_on_silence_queue_wait_and_pace(
    #[case] run: RunView,
    #[case] expected: Option<Move>,
) {
    assert_eq!(decide_move(&run), expected);
}

fn batch(items: usize, attempts: u32) -> Batch {
    let spec = |index| ItemSpec {
        id: format!("i{index}"),
        ..ItemSpec::default()
    };
    let submission = Submission {
        id: "b".to_owned(),
        attempts,
        items: (0..items).map(spec).collect(),
        ..Submission::default()
    };
    Batch::new(Arc::new(submission), Vec::new())
}

#[test]
fn only_reported_failures_count_as_attempts() {
    let mut batch = batch(1, 2);
    for failure in [
        RunFailure::Broken,
        RunFailure::NotRun,
        RunFailure::Moved,
        RunFailure::Unusable,
    ] {
        for _ in 0..5 {
            assert_eq!(batch.fail(0, failure, Millis(0)), Verdict::Retry);
        }
    }
    assert_eq!(batch.fail(0, RunFailure::Failed, Millis(0)), Verdict::Retry);
    assert_eq!(
        batch.fail(0, RunFailure::Failed, Millis(0)),
        Verdict::GiveUp
    );
    assert_eq!(batch.items[0].state, ItemState::Done);
}

#[test]
fn partial_output_is_kept_unless_it_is_unusable() {
    let mut batch = batch(1, 3);
    batch.items[0].progress.version = Some(4);
    batch.items[0].progress.push(1, b"a");
    batch.fail(0, RunFailure::Broken, Millis(0));
    assert_eq!(batch.items[0].progress.last_event, Some(1));
    batch.fail(0, RunFailure::Unusable, Millis(0));
    assert_eq!(batch.items[0].progress.last_event, None);
}

#[rstest]
#[case(1_000)]
#[case(600)]
fn a_submission_can_be_read_from_its_records(#[case] record_bytes: usize) {
    let bounds = StoreBounds {
        record_bytes,
        call_bytes: 2_000,
        ..StoreBounds::default()
    };
    let mut submission = step();
    submission.id = "b".to_owned();
    let calls = BatchRecord::of_submission(&submission, &bounds);
    let mut bytes = Vec::new();
    let mut whole = None;
    for (offset, record) in calls.into_iter().flatten().enumerate() {
        assert!(record.value.as_ref().unwrap().len() <= record_bytes);
        assert!(whole.is_none(), "the commit record comes last");
        let offset = offset as u64;
        match BatchRecord::read(StoredRecord { offset, record }).unwrap() {
            BatchRecord::Chunk { bytes: part, .. } => bytes.extend(part),
            BatchRecord::Commit { chunk_count, .. } => whole = Some(chunk_count),
            other => panic!("{other:?}"),
        }
    }
    assert!(whole.unwrap() > 1);
    let read: EarlierSubmission = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read.items.len(), submission.items.len());
    let items: Items = read.items.into();
    assert_eq!((read.id, items), (submission.id, submission.items));
    assert_eq!(read.wanted_groups, submission.wanted_groups);
}

/// A submission as builds decode it that keep its items as structs.
#[derive(serde::Deserialize)]
#[allow(dead_code, reason = "the order of the fields is the format")]
struct EarlierSubmission {
    id: String,
    workspace: String,
    host: String,
    prefix: String,
    model: String,
    step: u64,
    min_version: u64,
    wanted_groups: u32,
    received_ms: u64,
    retention_ms: u64,
    due_ms: u64,
    attempts: u32,
    single_version: bool,
    items: Vec<ItemSpec>,
}

#[test]
fn results_are_readable_only_once_published_under_the_owners_epoch() {
    let registry = BatchRegistry::new(4).unwrap();
    let part = partition_of("b", 4);
    let (sender, _receiver) = mpsc::channel();
    registry.open(part, tenure(7), vec![batch(2, 1)], sender);
    let finished = || Finished {
        batch: "b".to_owned(),
        result: ItemResult {
            item: 1,
            completed: true,
            output: b"x".to_vec(),
            versions: vec![1],
            ..ItemResult::default()
        },
        ..Finished::default()
    };
    let read = || match registry.read("b", None, 0, Duration::ZERO) {
        Lookup::Found(page) => page.results.len(),
        other => panic!("{other:?}"),
    };
    registry.publish_results(part, 6, vec![finished()]);
    assert_eq!(read(), 0, "results of an earlier owner are ignored");
    registry.publish_results(part, 7, vec![finished()]);
    assert_eq!(read(), 1);
    registry.close(part, 6);
    assert_eq!(
        read(),
        1,
        "a late close of an earlier owner changes nothing"
    );
    registry.close(part, 7);
    assert_eq!(
        registry.read("b", None, 0, Duration::ZERO),
        Lookup::NotOwned
    );
}

/// Load pattern: an item crashes each target that runs it, so each run breaks before its first
/// event and takes a target down for seconds. If the item were retried without a longer delay, it
/// would crash a target every tenth of a second.
#[test]
fn an_item_that_crashes_its_targets_is_delayed() {
    let mut suspect = batch(1, 2);
    let mut now = Millis(0);
    let mut runs = 0;
    while now < Millis(12_000) {
        match suspect.next_item(now) {
            Ok(item) => {
                runs += 1;
                assert_eq!(suspect.fail(item, RunFailure::Broken, now), Verdict::Retry);
            }
            Err(next) => now = next.unwrap(),
        }
    }
    // The first three runs start within 200 ms, the fourth at 4.7 s.
    assert!(runs <= 5, "{runs} targets crashed in 12 s");
}

/// Load pattern: in bursts of crashes, several targets crash one after the other while they run the same
/// sound item. Afterwards all targets have room.
#[test]
fn a_sound_item_is_placed_again_within_seconds_after_bursts_of_crashes() {
    let mut unlucky = batch(1, 2);
    let mut now = Millis(0);
    for crash in 1..=40 {
        let item = unlucky.next_item(now).unwrap();
        assert_eq!(unlucky.fail(item, RunFailure::Broken, now), Verdict::Retry);
        let next = unlucky.next_item(now).unwrap_err().unwrap();
        assert!(
            next - now < Millis(5_000),
            "after {crash} crashes the item waits {} ms",
            (next - now).0
        );
        now = next;
    }
}

#[test]
fn an_item_whose_runs_make_progress_is_not_delayed() {
    let mut item = batch(1, 2);
    for round in 1..20 {
        item.items[0].progress = progress(round);
        item.fail(0, RunFailure::Broken, Millis(0));
        assert_eq!(item.next_item(Millis(100)), Ok(0));
    }
}

/// Returns the partial output of an item after the given number of events.
fn progress(events: u64) -> ItemProgress {
    let mut progress = ItemProgress {
        version: Some(3),
        ..ItemProgress::default()
    };
    for number in 1..=events {
        progress.push(number, format!("e{number}").as_bytes());
    }
    progress
}

#[test]
fn a_partition_is_lost_to_a_higher_epoch_but_not_to_a_lower_one() {
    let registry = BatchRegistry::new(4).unwrap();
    let part = partition_of("b", 4);
    let (sender, _receiver) = mpsc::channel();
    registry.open(part, tenure(7), vec![batch(2, 1)], sender);
    registry.observe_epoch(part, 6);
    assert_eq!(registry.owned(), [(part, 7)]);
    registry.observe_epoch(part, 8);
    assert_eq!(registry.owned(), []);
    assert!(registry.is_superseded(part, 7));
    assert!(!registry.is_superseded(part, 9));
}

#[test]
fn only_new_events_are_saved_and_a_closed_batch_removes_its_progress() {
    let bounds = StoreBounds::default();
    let registry = BatchRegistry::new(4).unwrap();
    let part = partition_of("b", 4);
    let (sender, _receiver) = mpsc::channel();
    registry.open(part, tenure(7), vec![batch(2, 1)], sender);
    let advance = |events| {
        let mut parts = registry.lock();
        let batches = &mut parts.get_mut(&part).unwrap().batches;
        let batch = batches.loaded.get_mut("b").unwrap();
        batch.items[0].progress = progress(events);
    };
    let keys = || {
        let unsaved = registry.unsaved(20, &bounds);
        let records = unsaved.into_iter().flat_map(|(_, records)| records);
        records
            .map(|record| (record.key, record.value.is_some()))
            .collect::<Vec<_>>()
    };
    advance(19);
    assert_eq!(keys(), [], "too few new events for a record");
    advance(30);
    assert_eq!(keys(), [("b/p00000000".to_owned(), true)]);
    advance(35);
    assert_eq!(keys(), [], "too few events since the last record");
    let end = BatchChange::Ended {
        key: "b".to_owned(),
        ended_ms: 0,
    };
    assert_eq!(registry.apply(part, end), Applied::Ended);
    assert_eq!(keys(), [("b/p00000000".to_owned(), false)]);
    assert_eq!(keys(), [], "the tombstone is written only once");
}

#[test]
fn closing_a_partition_returns_all_unsaved_progress() {
    let bounds = StoreBounds::default();
    let registry = BatchRegistry::new(4).unwrap();
    let part = partition_of("b", 4);
    let (sender, receiver) = mpsc::channel();
    let mut given = batch(2, 1);
    given.items[1].progress = progress(3);
    registry.open(part, tenure(7), vec![given], sender);
    let records = registry.take_unsaved(part, 7, &bounds);
    assert_eq!(registry.owned(), []);
    assert!(
        receiver.recv().is_err(),
        "the channel to the writer is closed"
    );
    let offset = 0;
    let read: Vec<BatchRecord> = records
        .into_iter()
        .map(|record| BatchRecord::read(StoredRecord { offset, record }).unwrap())
        .collect();
    let [
        BatchRecord::Progress {
            item: 1,
            progress: saved,
            ..
        },
    ] = &read[..]
    else {
        panic!("{read:?}");
    };
    let mut next = batch(2, 1);
    next.resume(1, saved.clone());
    assert_eq!(next.items[1].progress, progress(3));
    next.resume(1, progress(9));
    assert_eq!(
        next.items[1].progress,
        progress(3),
        "later calls change nothing"
    );
}

#[test]
fn progress_that_does_not_fit_into_a_record_is_not_saved() {
    let bounds = StoreBounds {
        record_bytes: 300,
        ..StoreBounds::default()
    };
    assert!(BatchRecord::of_progress("b", 0, &progress(2), &bounds).is_some());
    assert!(BatchRecord::of_progress("b", 0, &progress(100), &bounds).is_none());
}

/// Returns a result with an output of the given size.
fn result(item: u32, bytes: usize) -> ItemResult {
    ItemResult {
        item,
        completed: true,
        output: (0..bytes).map(|index| index as u8).collect(),
        versions: vec![3],
        ..ItemResult::default()
    }
}

/// Adds offsets to records, as the store does.
fn stored(records: impl IntoIterator<Item = Record>) -> Vec<StoredRecord> {
    let records = records.into_iter().enumerate();
    records
        .map(|(offset, record)| StoredRecord {
            offset: offset as u64,
            record,
        })
        .collect()
}

#[test]
fn results_larger_than_a_record_are_split_and_read_whole() {
    let bounds = StoreBounds {
        record_bytes: 1_000,
        ..StoreBounds::default()
    };
    let results = [result(4, 100), result(2, 5_000), result(0, 744)];
    let mut records: Vec<Record> = Vec::new();
    for (position, result) in results.iter().enumerate() {
        records.extend(BatchRecord::of_result(
            "b",
            position as u64,
            result,
            &bounds,
        ));
    }
    assert!(records.len() > results.len());
    for record in &records {
        assert!(record.value.as_ref().unwrap().len() <= bounds.record_bytes);
    }
    let keys: Vec<String> = records.iter().map(|record| record.key.clone()).collect();
    let read = StoredResults::read(0, stored(records)).take_results("b");
    let read: Vec<&ItemResult> = read.list.kept_from(0).map(Arc::as_ref).collect();
    assert_eq!(read, results.iter().collect::<Vec<_>>());

    let shared: Vec<Arc<ItemResult>> = results.into_iter().map(Arc::new).collect();
    let submission = Submission {
        id: "b".to_owned(),
        ..Submission::default()
    };
    let (_, removed) = BatchRecord::of_removal(&submission, &shared, &bounds);
    assert!(removed.iter().all(|record| record.value.is_none()));
    let removed: Vec<String> = removed.into_iter().map(|record| record.key).collect();
    assert_eq!(removed, keys, "every chunk is removed");
}

#[test]
fn a_read_that_overlaps_an_append_shows_whole_results_up_to_the_first_gap() {
    let bounds = StoreBounds {
        record_bytes: 1_000,
        ..StoreBounds::default()
    };
    let mut records = BatchRecord::of_result("b", 0, &result(7, 10), &bounds);
    let mut large = BatchRecord::of_result("b", 1, &result(3, 5_000), &bounds);
    large.pop();
    records.extend(large);
    records.extend(BatchRecord::of_result("b", 2, &result(1, 10), &bounds));
    let read = StoredResults::read(0, stored(records)).take_results("b");
    let items: Vec<u32> = read.list.kept_from(0).map(|result| result.item).collect();
    assert_eq!(items, [7]);
}

/// Guards against LOST: an owner whose last read hung opens its partition after its successor on the same
/// host has, and takes the successor's place, which nobody runs then.
#[test]
fn a_slow_owner_doesnt_replace_its_successor() {
    let registry = BatchRegistry::new(4).unwrap();
    let part = partition_of("b", 4);
    let (sender, _receiver) = mpsc::channel();
    registry.open(part, tenure(9), vec![batch(2, 1)], sender.clone());
    registry.open(part, tenure(7), Vec::new(), sender);
    registry.close(part, 7);
    assert_eq!(registry.owned(), [(part, 9)]);
}

/// Guards against LOST: the results of a batch that no caller has ended are removed when its TTL is over,
/// although callers still read them.
#[test]
fn a_complete_batch_is_kept_until_it_is_ended_or_abandoned() {
    const TTL: Duration = Duration::from_mins(2);
    let ms = |time: Duration| time.as_millis() as u64;
    let mut batch = batch(1, 1);
    batch.results.push(Arc::default());
    let over = batch.submission.received_ms + ms(TTL) + 1;
    assert!(!batch.is_expired(over, TTL), "it is open");
    batch.read_ms = over;
    let abandoned = over + ms(Duration::from_mins(15));
    assert!(!batch.is_expired(abandoned, TTL), "it was read");
    assert!(batch.is_expired(abandoned + 1, TTL));
    batch.ended = true;
    assert!(batch.is_expired(over, TTL));
    assert!(!batch.is_expired(over - 1, TTL));
    batch.ended = false;
    batch.results.clear();
    assert!(!batch.is_expired(abandoned + 1, TTL), "items are missing");
}

/// Guards against ORDER: events are lost or joined by where the bytes of a stream happen to be split.
#[test]
fn events_dont_depend_on_how_their_bytes_arrive() {
    const STREAM: &[u8] = b"\n\nid: 1\ndata: a\n\n\n: x\n\nid: 2\ndata: b\n\n\n\nid: 3";
    let read = |parts: &[&[u8]]| {
        let mut buffer = EventBuffer::default();
        let mut events = Vec::new();
        for part in parts {
            buffer.push(part);
            while let Some(lines) = buffer.next_event() {
                events.push(lines.to_vec());
            }
        }
        (events, buffer.pending())
    };
    let events = [&b"id: 1\ndata: a"[..], b": x", b"id: 2\ndata: b"];
    let whole = (events.map(<[u8]>::to_vec).to_vec(), b"id: 3".len());
    for first in 0..=STREAM.len() {
        for second in first..=STREAM.len() {
            let (start, rest) = STREAM.split_at(first);
            let (middle, end) = rest.split_at(second - first);
            assert_eq!(read(&[start, middle, end]), whole, "{first}, {second}");
        }
    }
    let bytes: Vec<&[u8]> = STREAM.chunks(1).collect();
    assert_eq!(read(&bytes), whole);
}

/// Guards against LOST: an item waits for the version of its output for as long as other items take.
#[rstest]
#[case::short_output(500, 500)]
#[case::long_output(420_000, 3_000)]
fn an_item_waits_for_its_version_for_a_bounded_time(#[case] redo: u64, #[case] bound: u64) {
    let mut batch = batch(1, 1);
    let mut waits = |at| batch.await_version(0, Millis(redo), Millis(at));
    assert!(waits(100) && waits(99 + bound) && !waits(100 + bound));
    batch.start(0);
    assert!(batch.await_version(0, Millis(redo), Millis(100 + bound)));
}
