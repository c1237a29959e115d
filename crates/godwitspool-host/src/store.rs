//! The edge to the platform's store: a partitioned log that keeps the newest record of each key.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// How long after the time that a read waits its answer is given up.
pub const READ_SLACK: Duration = Duration::from_millis(700);

/// What a partition of the store holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// Submitted batches and their ends; any host appends.
    Batches,
    /// Lease of the duties, frozen usage windows.
    Duty,
    /// The operators' configuration and the named versions of models.
    Operator,
    /// Results of batches; only the partition's owner appends.
    Results,
    /// What targets say of themselves.
    Targets,
    /// Usage that hosts have counted; kept for a short time only.
    Usage,
}

impl Topic {
    /// Topics whose partitions are dealt to the hosts, each to one.
    pub const ASSIGNED: [Self; 2] = [Self::Duty, Self::Results];
}

/// A record with its key; one without a value removes the key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Content.
    pub value: Option<Vec<u8>>,
}

impl Record {
    /// Creates a record.
    pub fn new(key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self {
            key: key.into(),
            value: Some(value.into()),
        }
    }

    /// Creates a record that removes a key.
    pub fn tombstone(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            value: None,
        }
    }
}

/// A record where it lies in its partition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredRecord {
    /// Offset.
    pub offset: u64,
    /// The record.
    pub record: Record,
}

/// Makes appends to a partition repeatable and shuts out earlier writers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Writer {
    /// Appends of lower epochs are refused once this one was seen.
    pub epoch: u64,
    /// Number of this append within the epoch, from 0.
    pub seq: u64,
}

/// What came of a call to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
pub enum StoreError {
    /// Nothing was done: the store refused, or no connection came about.
    #[snafu(display("nothing done: {reason}"))]
    NotDone {
        /// Why.
        reason: String,
    },
    /// The call may have been carried out, or may yet be.
    #[snafu(display("unknown whether it was done: {reason}"))]
    Unknown {
        /// Why.
        reason: String,
    },
    /// A writer of a higher epoch has taken over, or another sequence number was expected.
    #[snafu(display("fenced: {reason}"))]
    Fenced {
        /// What the store said.
        reason: String,
    },
    /// Records from the asked offset on are gone.
    #[snafu(display("history before offset {first} is gone"))]
    Gone {
        /// First offset that is still held.
        first: u64,
    },
    /// The answer can't be read.
    #[snafu(display("unreadable answer: {reason}"))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
}

/// Records that follow an offset.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tail {
    /// Offset behind the last record of the answer.
    pub next: u64,
    /// The records; unreadable ones are left out.
    pub records: Vec<StoredRecord>,
}

/// Newest records of keys, in the order of their keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Offset behind the partition's last record.
    pub end: u64,
    /// Whether more keys follow.
    pub more: bool,
    /// The records.
    pub records: Vec<StoredRecord>,
}

/// Partitions that a member of the hosts' group holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Grows with each change of the group.
    pub generation: u64,
    /// The member's partitions.
    pub parts: Vec<(Topic, u32)>,
}

/// Who holds a partition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    /// Topic.
    pub topic: Topic,
    /// Partition.
    pub part: u32,
    /// The member, by the name under which it joined.
    pub member: String,
}

/// The platform's store. Calls block, each with its own bound on time.
pub trait Store: Send + Sync {
    /// Appends records, all or none.
    ///
    /// # Errors
    ///
    /// When they aren't known to be appended.
    fn append(
        &self,
        topic: Topic,
        part: u32,
        records: &[Record],
        writer: Option<Writer>,
    ) -> Result<(), StoreError>;

    /// Reads the records from an offset on; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// When they can't be read or are gone.
    fn read(&self, topic: Topic, part: u32, from: u64, wait: Duration) -> Result<Tail, StoreError>;

    /// Reads the newest record of each key that follows `after`, up to a page.
    ///
    /// # Errors
    ///
    /// When the page can't be read.
    fn newest(&self, topic: Topic, part: u32, after: Option<&str>) -> Result<Page, StoreError>;

    /// Joins the hosts' group or stays in it.
    ///
    /// # Errors
    ///
    /// When the membership isn't known to be renewed.
    fn join(&self, member: &str, generation: u64, ttl: Duration) -> Result<Assignment, StoreError>;

    /// Leaves the hosts' group.
    ///
    /// # Errors
    ///
    /// When the member isn't known to have left.
    fn leave(&self, member: &str) -> Result<(), StoreError>;

    /// Returns who holds which partition.
    ///
    /// # Errors
    ///
    /// When the store doesn't say.
    fn holdings(&self) -> Result<Vec<Holding>, StoreError>;
}

/// Reads the newest records of all keys of a partition that follow `after`.
///
/// # Errors
///
/// When a page can't be read.
pub fn read_all(
    store: &dyn Store,
    topic: Topic,
    part: u32,
    after: Option<&str>,
    wanted: impl Fn(&str) -> bool,
) -> Result<(Vec<StoredRecord>, u64), StoreError> {
    let mut records: Vec<StoredRecord> = Vec::new();
    let mut after = after.map(str::to_owned);
    let mut end = None;
    loop {
        let page = store.newest(topic, part, after.as_deref())?;
        // Pages are no snapshot: what follows the first page's end is read again by the tail.
        end = end.or(Some(page.end));
        let last = page.records.last().map(|stored| stored.record.key.clone());
        let whole = page.records.iter().all(|stored| wanted(&stored.record.key));
        records.extend(
            page.records
                .into_iter()
                .filter(|stored| wanted(&stored.record.key)),
        );
        if !page.more || last.is_none() || !whole {
            return Ok((records, end.unwrap_or_default()));
        }
        after = last;
    }
}
