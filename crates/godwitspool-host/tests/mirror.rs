//! Mirrors of the store's keyed partitions.

use godwitspool_host::{
    store::{Record, StoredRecord, Tail},
    version::{Fetched, Mirror},
};
use godwitspool_types::Millis;

fn stored(offset: u64, key: &str, value: Option<&str>) -> StoredRecord {
    let record = match value {
        Some(value) => Record::new(key, value),
        None => Record::tombstone(key),
    };
    StoredRecord { offset, record }
}

fn keys(changes: &[godwitspool_host::version::MirrorChange]) -> Vec<(&str, bool)> {
    changes
        .iter()
        .map(|change| (change.key.as_str(), change.value.is_some()))
        .collect()
}

#[test]
fn a_mirror_ignores_older_records() {
    let mut mirror = Mirror::default();
    assert_eq!(mirror.next(), None);
    let all = Fetched::All {
        records: vec![stored(4, "config", Some("new"))],
        end: 6,
    };
    assert_eq!(keys(&mirror.update(all, Millis(1))), [("config", true)]);
    assert_eq!(mirror.next(), Some(6));
    let again = Tail {
        next: 7,
        records: vec![stored(3, "config", Some("old"))],
    };
    assert!(
        mirror.update(Fetched::Tail(again), Millis(2)).is_empty(),
        "older records are ignored"
    );
}

#[test]
fn keys_missing_from_a_full_read_are_removed_and_may_come_back() {
    let mut mirror = Mirror::default();
    let first = Fetched::All {
        records: vec![stored(1, "a", Some("1")), stored(2, "b", Some("1"))],
        end: 3,
    };
    mirror.update(first, Millis(1));
    let second = Fetched::All {
        records: vec![stored(2, "b", Some("1"))],
        end: 9,
    };
    assert_eq!(keys(&mirror.update(second, Millis(2))), [("a", false)]);
    let back = Tail {
        next: 10,
        records: vec![stored(9, "a", Some("2"))],
    };
    assert_eq!(
        keys(&mirror.update(Fetched::Tail(back), Millis(3))),
        [("a", true)]
    );
}
