//! A steward holds the usage of an answer before the answer ends. While no steward takes records,
//! answers end and no usage is lost.

mod cluster;

use std::sync::atomic::Ordering;

use cluster::{Cluster, wait_until};
use godwitspool_connection::messages::UsageRecord;

const TOKENS: u32 = 12;

#[test]
fn usage_is_held_before_an_answer_ends() {
    let cluster = Cluster::start(1, 1, 1, 2);
    let answer = cluster.generate(0, "a prompt", TOKENS);
    let held: Vec<UsageRecord> = cluster.usage.records.lock().unwrap().clone();
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

    cluster.order(0, "one", None);
    assert_eq!(cluster.usage.sequences(), [1, 2]);
}

#[test]
fn answers_end_while_no_steward_holds_and_usage_follows() {
    let cluster = Cluster::start(1, 1, 1, 2);
    cluster.usage.refuses.store(true, Ordering::Release);
    for _ in 0..3 {
        cluster
            .generate(0, "a prompt", TOKENS)
            .assert_whole("a prompt", TOKENS);
    }
    assert!(cluster.usage.sequences().is_empty());
    cluster.usage.refuses.store(false, Ordering::Release);
    wait_until(|| cluster.usage.sequences() == [1, 2, 3]);
}
