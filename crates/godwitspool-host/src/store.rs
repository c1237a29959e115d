//! Interface to the platform's store: a partitioned log that keeps the newest record of each key.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Time that a read's answer may take beyond its wait before the read times out.
pub const READ_SLACK: Duration = Duration::from_millis(700);

/// Topics of the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// Submitted batches and their ends. Any host appends.
    Batches,
    /// Frozen usage windows. The host that is assigned its partition holds the duties.
    Duty,
    /// The operators' configuration and the named versions of models.
    Operator,
    /// Results of batches and progress of their items. Only the partition's owner appends results.
    Results,
    /// Entries with which targets register themselves.
    Targets,
    /// Requests that hosts have counted for usage; the store keeps them for a short time only.
    Usage,
    /// Requests that are suspected of ending their targets. Any host appends.
    Suspects,
}

impl Topic {
    /// Topics whose partitions the store assigns to hosts, each to one host.
    pub const ASSIGNED: [Self; 2] = [Self::Duty, Self::Results];
}

/// A keyed record. A record without a value is a tombstone: it removes the key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Key; only the newest record of each key is kept.
    pub key: String,
    /// Content; `None` removes the key.
    pub value: Option<Vec<u8>>,
}

impl Record {
    /// Creates a record with a value.
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

/// A record with its offset in the partition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredRecord {
    /// Offset within the partition; grows with each append.
    pub offset: u64,
    /// Key and value.
    pub record: Record,
}

/// Makes appends to a partition idempotent and fences off earlier writers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Writer {
    /// Epoch of the writer. The store refuses appends of lower epochs than the highest it has seen.
    pub epoch: u64,
    /// Sequence number of the append within the epoch, starting at 0.
    pub seq: u64,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
pub enum StoreError {
    /// The call had no effect: the store refused it, or no connection could be made.
    #[snafu(display("no effect: {reason}"))]
    NotDone {
        /// The underlying error, or the status and body of the response.
        reason: String,
    },
    /// The call may have taken effect, or may still take effect.
    #[snafu(display("outcome unknown: {reason}"))]
    Unknown {
        /// The underlying error, or the status and body of the response.
        reason: String,
    },
    /// A writer with a higher epoch has taken over, or another sequence number was expected.
    #[snafu(display("fenced: {reason}"))]
    Fenced {
        /// The store's explanation.
        reason: String,
    },
    /// The records at the requested offset are no longer retained.
    #[snafu(display("records before offset {first} are no longer retained"))]
    Gone {
        /// First offset that is still retained.
        first: u64,
    },
    /// The answer can't be decoded.
    #[snafu(display("answer can't be decoded: {reason}"))]
    Unreadable {
        /// The decoding error.
        reason: String,
    },
    /// The store holds as much as it takes. The append had no effect, and the store serves other calls.
    #[snafu(display("no room: {reason}"))]
    NoRoom {
        /// The status and body of the response.
        reason: String,
    },
}

/// Records from an offset on.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tail {
    /// Offset after the last record of the answer; the next read starts there.
    pub next: u64,
    /// The records without those that can't be decoded.
    pub records: Vec<StoredRecord>,
}

/// A page of newest records, ordered by key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Offset after the partition's last record.
    pub end: u64,
    /// Whether more keys follow.
    pub more: bool,
    /// Newest record of each key of the page.
    pub records: Vec<StoredRecord>,
}

/// Partitions that are assigned to a member of the hosts' group.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Generation of the group; grows with each change of its members.
    pub generation: u64,
    /// Topic and number of each partition that the member holds.
    pub parts: Vec<(Topic, u32)>,
}

/// The member that holds a partition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    /// Topic of the partition.
    pub topic: Topic,
    /// Number of the partition within the topic.
    pub part: u32,
    /// Name under which the member joined.
    pub member: String,
}

/// The platform's store. Calls block, each with its own timeout.
pub trait Store: Send + Sync {
    /// Appends records atomically.
    ///
    /// # Errors
    ///
    /// Fails unless the store confirms the append.
    fn append(
        &self,
        topic: Topic,
        part: u32,
        records: &[Record],
        writer: Option<Writer>,
    ) -> Result<(), StoreError>;

    /// Reads the records from an offset on; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Gone`] if records at the offset are no longer retained, another error
    /// if the store doesn't answer.
    fn read(&self, topic: Topic, part: u32, from: u64, wait: Duration) -> Result<Tail, StoreError>;

    /// Reads a page of the newest records of the keys after `after`, or of all keys.
    ///
    /// # Errors
    ///
    /// Fails if the page can't be read.
    fn newest(&self, topic: Topic, part: u32, after: Option<&str>) -> Result<Page, StoreError>;

    /// Removes the records before an offset, except the newest of each key.
    ///
    /// # Errors
    ///
    /// Fails unless the store confirms the trim.
    fn trim(&self, topic: Topic, part: u32, before: u64) -> Result<(), StoreError>;

    /// Joins the hosts' group, or renews the membership for `ttl`.
    ///
    /// # Errors
    ///
    /// Fails unless the store confirms the membership.
    fn join(&self, member: &str, generation: u64, ttl: Duration) -> Result<Assignment, StoreError>;

    /// Leaves the hosts' group.
    ///
    /// # Errors
    ///
    /// Fails unless the store confirms that the member has left.
    fn leave(&self, member: &str) -> Result<(), StoreError>;

    /// Returns the holder of each assigned partition.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer.
    fn holdings(&self) -> Result<Vec<Holding>, StoreError>;
}

/// Reads the newest records of a partition's keys after `after`, or of all keys, in pages. Stops
/// after the first page with a key that `wanted` refuses, and leaves such keys out.
///
/// Also returns the offset from which a reader continues with [`Store::read`].
///
/// # Errors
///
/// Fails if a page can't be read.
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
        // Pages are not a consistent snapshot, so the end of the first page is returned: reading
        // the tail from there covers every record that was appended in between.
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
