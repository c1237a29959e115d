//! Batches by the records of a partition, which the store may append in any order and more than once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use godwitspool_host::{
    StoreBounds,
    batch::{
        Accepted, Assembly, Batch, BatchChange, BatchRecord, Change, EarlyEnds, ItemSpec,
        ParkedBatch, PartitionBatches, Submission, batch_key,
    },
    store::{Record, StoredRecord},
};
use godwitspool_types::Workspace;
use proptest::prelude::*;

/// A write that callers or the owner have asked for.
#[derive(Clone, Copy, Debug)]
enum Write {
    /// One of the appends of a batch's submission.
    Submission(usize, usize),
    End(usize),
    /// The removal of a batch.
    Removal(usize),
    /// The removal of an end whose batch never came.
    EndRemoval(usize),
}

/// Small bounds, by which a submission takes two appends.
fn bounds() -> StoreBounds {
    StoreBounds {
        record_bytes: 300,
        call_bytes: 600,
        ..StoreBounds::default()
    }
}

/// A batch of each of two workspaces under one identifier, and one that an earlier build has stored.
fn batches() -> Vec<Submission> {
    let batch = |workspace: &str, id: &str, stored_key| Submission {
        id: id.to_owned(),
        workspace: Workspace::from(workspace),
        items: vec![ItemSpec::default()].into(),
        host: "h".repeat(50),
        stored_key,
        ..Submission::default()
    };
    let key = |workspace: &str| Some(batch_key(Some(&Workspace::from(workspace)), "same"));
    vec![
        batch("a", "same", key("a")),
        batch("b", "same", key("b")),
        batch("a", "earlier", None),
    ]
}

/// The key under which the batch's own workspace ends it.
fn end_key(batch: &Submission) -> String {
    batch_key(Some(&batch.workspace), &batch.id)
}

/// The partition as the store holds it, and an owner that follows its records.
#[derive(Default)]
struct Partition {
    newest: BTreeMap<String, Vec<u8>>,
    assembly: Assembly,
    followed: PartitionBatches,
    /// Whether there is no memory for any batch.
    full: bool,
}

impl Partition {
    fn append(&mut self, records: Vec<Record>) {
        for record in &records {
            match &record.value {
                Some(value) => drop(self.newest.insert(record.key.clone(), value.clone())),
                None => drop(self.newest.remove(&record.key)),
            }
        }
        let changes = self.assembly.read(0, stored(records));
        for change in changes {
            if let Some(change) = self.adopt(change) {
                self.followed.apply(change);
            }
        }
    }

    /// Returns what an owner has that loads the newest records.
    fn load(&self) -> PartitionBatches {
        let mut loaded = PartitionBatches::default();
        let records = self.newest.iter();
        let records = records.map(|(key, value)| Record::new(key.clone(), value.clone()));
        for change in Assembly::default().read(0, stored(records.collect())) {
            if let Some(change) = self.adopt(change) {
                loaded.apply(change);
            }
        }
        loaded
    }

    fn adopt(&self, change: Change) -> Option<BatchChange> {
        Some(match change {
            Change::Accepted(accepted) => return self.accept(&accepted),
            Change::Ended { key, ended_ms } => BatchChange::Ended {
                key,
                ended_ms: ended_ms.unwrap_or_default(),
            },
            Change::EndRemoved(key) => BatchChange::EndRemoved(key),
            Change::Removed(key) => BatchChange::Removed(key),
        })
    }

    /// Makes a batch if the store has all of its chunks.
    fn accept(&self, accepted: &Accepted) -> Option<BatchChange> {
        let chunks = 0..accepted.chunks;
        let has = |index| {
            self.newest
                .contains_key(&format!("{}/b{index:05}", accepted.key))
        };
        let known = batches();
        let batch = known.into_iter().find(|batch| batch.key() == accepted.key);
        let batch = batch.filter(|_| chunks.into_iter().all(has))?;
        Some(if self.full {
            BatchChange::Parked(ParkedBatch {
                head: batch,
                ..ParkedBatch::default()
            })
        } else {
            BatchChange::Accepted(Batch::new(batch.into(), Vec::new()))
        })
    }

    fn write(&mut self, write: Write) {
        let batches = batches();
        match write {
            Write::Submission(batch, call) => {
                let mut calls = BatchRecord::of_submission(&batches[batch], &bounds());
                assert_eq!(calls.len(), 2);
                // The closing record is sent once the store has the chunks.
                if call == 1 && !self.newest.contains_key(&calls[0][0].key) {
                    return;
                }
                self.append(calls.swap_remove(call));
            }
            Write::End(batch) => {
                self.append(vec![BatchRecord::of_end(&end_key(&batches[batch]), 1)]);
            }
            Write::Removal(batch) => {
                let (removal, _) = BatchRecord::of_removal(&batches[batch], &[], &bounds());
                self.append(removal);
            }
            Write::EndRemoval(batch) => {
                // The owner removes an end only as long as there is no batch.
                let key = end_key(&batches[batch]);
                if self
                    .followed
                    .early_ends
                    .expired(u64::MAX, Duration::ZERO)
                    .contains(&key)
                {
                    self.append(vec![BatchRecord::of_removed_end(&key)]);
                }
            }
        }
    }
}

fn stored(records: Vec<Record>) -> Vec<StoredRecord> {
    let stored = |record| StoredRecord { offset: 0, record };
    records.into_iter().map(stored).collect()
}

/// Keys of the batches whose items run, of those that are ended, and of the ends without a batch.
fn state(batches: &PartitionBatches) -> [BTreeSet<String>; 3] {
    let loaded = batches.loaded.iter();
    let loaded = loaded.map(|(key, batch)| (key.clone(), batch.ended));
    let parked = batches.parked.iter();
    let parked = parked.map(|(key, parked)| (key.clone(), parked.life.ended));
    let (ended, open): (Vec<_>, Vec<_>) = loaded.chain(parked).partition(|(_, ended)| *ended);
    let keys = |rows: Vec<(String, bool)>| rows.into_iter().map(|(key, _)| key).collect();
    let ends = batches.early_ends.expired(u64::MAX, Duration::ZERO);
    [keys(open), keys(ended), ends.into_iter().collect()]
}

fn writes() -> impl Strategy<Value = Vec<Write>> {
    let write = prop_oneof![
        4 => (0..3_usize, 0..2_usize).prop_map(|(batch, call)| Write::Submission(batch, call)),
        3 => (0..3_usize).prop_map(Write::End),
        1 => (0..3_usize).prop_map(Write::Removal),
        1 => (0..3_usize).prop_map(Write::EndRemoval),
    ];
    prop::collection::vec(write, 0..24)
}

proptest! {
    /// Guards against UNASKED: an owner that follows the records runs a batch that one which loads them takes as
    /// ended, since the end was stored before the submission, between its appends, or before it was sent again.
    #[test]
    fn following_and_loading_agree(writes in writes(), full in any::<bool>()) {
        let mut partition = Partition { full, ..Partition::default() };
        for write in writes {
            partition.write(write);
            prop_assert_eq!(state(&partition.followed), state(&partition.load()));
            let [open, ..] = state(&partition.followed);
            for batch in batches().iter().filter(|batch| open.contains(batch.key())) {
                let ends = [end_key(batch), batch.key().to_owned()];
                for key in ends.map(|key| BatchRecord::of_removed_end(&key).key) {
                    prop_assert!(!partition.newest.contains_key(&key), "{} runs behind its end", batch.key());
                }
            }
        }
    }
}

/// Guards against memory that a caller fills: ends of batches that never come are bounded, and a workspace that
/// sends many of them takes none from another one.
#[test]
fn a_flood_of_ends_drops_only_its_own() {
    let key = |workspace: &str, id: usize| {
        batch_key(Some(&Workspace::from(workspace)), &format!("b-{id}"))
    };
    let mut ends = EarlyEnds::default();
    ends.insert(&key("quiet", 0), 0);
    for id in 0..1_300 {
        ends.insert(&key("loud", id), id as u64 + 1);
    }
    let dropped = ends.expired(0, Duration::ZERO);
    assert!(
        dropped.len() > 200,
        "{} of 1,301 ends dropped",
        dropped.len()
    );
    assert!(dropped.contains(&key("loud", 0)) && !dropped.contains(&key("loud", 1_299)));
    assert!(!dropped.contains(&key("quiet", 0)));
}
