//! Usage is held by a steward before the end of an answer, and nothing of it is lost meanwhile.

mod bench;

use std::sync::atomic::Ordering;

use bench::{Bench, wait_until};
use godwitspool_connection::messages::UsageRecord;

const TOKENS: u32 = 12;

#[test]
fn usage_is_held_before_an_answer_ends() {
    let bench = Bench::start(1, 1, 1, 2);
    let answer = bench.generate(0, "a prompt", TOKENS);
    let held: Vec<UsageRecord> = bench.usage.records.lock().unwrap().clone();
    answer.assert_whole("a prompt", TOKENS);
    let [record] = &held[..] else {
        panic!("held: {held:?}")
    };
    let sent = answer.body.matches("\"index\"").count() as u64;
    assert_eq!(record.workspace.as_str(), "acme");
    assert_eq!(record.service.as_str(), "party/chat");
    assert!(
        record.output_tokens > 0 && record.output_tokens <= sent,
        "{record:?}"
    );

    bench.order(0, "one", None);
    assert_eq!(bench.usage.sequences(), [1, 2]);
}

#[test]
fn answers_end_while_no_steward_holds_and_usage_follows() {
    let bench = Bench::start(1, 1, 1, 2);
    bench.usage.refuses.store(true, Ordering::Release);
    for _ in 0..3 {
        bench
            .generate(0, "a prompt", TOKENS)
            .assert_whole("a prompt", TOKENS);
    }
    assert!(bench.usage.sequences().is_empty());
    bench.usage.refuses.store(false, Ordering::Release);
    wait_until(|| bench.usage.sequences() == [1, 2, 3]);
}
