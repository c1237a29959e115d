use std::fmt;

use postcard::experimental::serialized_size;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{ItemSpec, ScoreCall};

/// The most by which the buffer of the items grows ahead of what is added.
const STEP_BYTES: usize = 64 * 1024;
/// Bytes behind an item for which there is room, so that nothing grows while its body is decoded in place.
const SPARE_BYTES: usize = 8;

/// The items of a submission in the form in which the store keeps them, decoded one at a time.
///
/// Load pattern: a submission of a legal size holds a hundred thousand items, or few with long bodies. As
/// structs of their own, small items take ten times their bytes.
///
/// ```
/// use godwitspool_host::batch::{ItemSpec, Items};
///
/// let item = |id: &str| ItemSpec {
///     id: id.to_owned(),
///     ..ItemSpec::default()
/// };
/// let items: Items = ["a", "b"].map(item).into_iter().collect();
/// assert_eq!(items.view(1).map(|item| item.id), Some("b"));
/// assert_eq!(items.len(), 2);
/// ```
#[derive(Clone, Default, Eq, PartialEq)]
pub struct Items {
    /// The encoded items, one behind the other.
    bytes: Vec<u8>,
    /// Where each item ends in `bytes`.
    ends: Vec<u32>,
    /// The reward calls by the indexes of their items, in this order.
    calls: Vec<(u32, ScoreCall)>,
    /// Bytes of the reward calls.
    call_bytes: usize,
    hints: HintSum,
    /// The largest number of header fields of an item.
    fields: usize,
}

/// The lengths that callers expect of a submission's items.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct HintSum {
    count: u64,
    sum: u64,
}

/// An item whose texts lie in its submission.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemView<'a> {
    /// As [`ItemSpec::id`].
    pub id: &'a str,
    /// As [`ItemSpec::path`].
    pub path: &'a str,
    /// As [`ItemSpec::headers`].
    #[serde(borrow)]
    pub headers: Vec<(&'a str, &'a str)>,
    /// As [`ItemSpec::body`].
    pub body: &'a [u8],
    /// As [`ItemSpec::group`].
    pub group: &'a str,
    /// As [`ItemSpec::hint`].
    pub hint: Option<u64>,
    /// As [`ItemSpec::tokens`].
    pub tokens: u64,
}

impl<'a> From<&'a ItemSpec> for ItemView<'a> {
    fn from(spec: &'a ItemSpec) -> Self {
        let headers = spec.headers.iter();
        Self {
            id: &spec.id,
            path: &spec.path,
            headers: headers
                .map(|(name, value)| (name.as_str(), value.as_str()))
                .collect(),
            body: &spec.body,
            group: &spec.group,
            hint: spec.hint,
            tokens: spec.tokens,
        }
    }
}

impl From<&ItemView<'_>> for ItemSpec {
    fn from(view: &ItemView<'_>) -> Self {
        let headers = view.headers.iter();
        Self {
            id: view.id.to_owned(),
            path: view.path.to_owned(),
            headers: headers
                .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
                .collect(),
            body: view.body.to_owned(),
            group: view.group.to_owned(),
            hint: view.hint,
            tokens: view.tokens,
            scorer: None,
        }
    }
}

impl Items {
    /// Bytes of an item besides its encoded form while its batch runs: where it ends, its place in the order,
    /// its group, its state and its result's place.
    const ITEM_BYTES: usize = 64;
    /// Bytes of a reward call besides its texts, each of which is an allocation of its own.
    pub(super) const CALL_BYTES: usize = 2 * size_of::<(u32, ScoreCall)>();
    /// Bytes of a header field of an item besides its texts while a request is made of the item.
    const FIELD_BYTES: usize = 160;

    /// Finds the items in an encoded submission: `count` of them at the beginning of `bytes`. Also returns where
    /// they end; what follows must be [split off](Self::split_off).
    ///
    /// # Errors
    ///
    /// Fails if the bytes hold fewer items, or are too many.
    pub(super) fn find(bytes: Vec<u8>, count: usize) -> Result<(Self, usize), String> {
        let whole = u32::try_from(bytes.len()).map_err(|error| error.to_string())?;
        // Each item has at least a byte, so a count beyond that is no reason to allocate.
        let mut ends = Vec::with_capacity(count.min(bytes.len()));
        let mut hints = HintSum::default();
        let mut fields = 0;
        let mut rest = &bytes[..];
        for _ in 0..count {
            let (view, behind) = postcard::take_from_bytes::<ItemView<'_>>(rest)
                .map_err(|error| error.to_string())?;
            hints.add(view.hint);
            fields = view.headers.len().max(fields);
            rest = behind;
            ends.push(whole - rest.len() as u32);
        }
        let end = bytes.len() - rest.len();
        let items = Self {
            bytes,
            ends,
            calls: Vec::new(),
            call_bytes: 0,
            hints,
            fields,
        };
        Ok((items, end))
    }

    /// Returns what follows the items.
    pub(super) fn bytes_from(&self, end: usize) -> &[u8] {
        &self.bytes[end..]
    }

    /// Removes and returns what follows the items.
    pub(super) fn split_off(&mut self, end: usize) -> Vec<u8> {
        let rest = self.bytes.split_off(end);
        self.bytes.shrink_to_fit();
        rest
    }

    /// Adds an item at the end, but for its body, which `write` appends and has `body_length` bytes. `reserve` is
    /// asked for memory before the items grow, with all that they then have.
    ///
    /// # Errors
    ///
    /// Fails if the memory is refused, the body can't be written or the item can't be encoded. The items are of
    /// no use then.
    pub fn push(
        &mut self,
        item: &ItemView<'_>,
        call: Option<ScoreCall>,
        body_length: usize,
        reserve: &mut dyn FnMut(usize) -> bool,
        write: impl FnOnce(&mut Vec<u8>) -> Result<(), String>,
    ) -> Result<(), PushError> {
        let invalid = |error: postcard::Error| PushError::Invalid {
            reason: error.to_string(),
        };
        // The fields of an item in their order.
        let before = (item.id, item.path, &item.headers, body_length);
        let behind = (item.group, item.hint, item.tokens);
        let size = serialized_size(&before).and_then(|size| Ok(size + serialized_size(&behind)?));
        let size = size.map_err(invalid)? + body_length;
        let call_bytes = call.as_ref().map_or(0, memory_of);
        self.grow(size, call_bytes, reserve)?;
        let bytes = std::mem::take(&mut self.bytes);
        let mut bytes = postcard::to_extend(&before, bytes).map_err(invalid)?;
        let body_at = bytes.len();
        write(&mut bytes).map_err(|reason| PushError::Invalid { reason })?;
        if bytes.len() - body_at != body_length {
            let reason = format!("body has {} bytes", bytes.len() - body_at);
            return Err(PushError::Invalid { reason });
        }
        self.bytes = postcard::to_extend(&behind, bytes).map_err(invalid)?;
        self.hints.add(item.hint);
        self.fields = item.headers.len().max(self.fields);
        let index = self.ends.len() as u32;
        self.ends.push(self.bytes.len() as u32);
        self.call_bytes += call_bytes;
        self.calls.extend(call.map(|call| (index, call)));
        Ok(())
    }

    /// Makes room for an item of `size` bytes and its reward call: in steps, so that the allocator copies little
    /// and little is taken that isn't used.
    fn grow(
        &mut self,
        size: usize,
        call_bytes: usize,
        reserve: &mut dyn FnMut(usize) -> bool,
    ) -> Result<(), PushError> {
        let needed = self.bytes.len() + size + SPARE_BYTES;
        if u32::try_from(needed).is_err() {
            return Err(PushError::NoMemory);
        }
        let more_bytes = if needed > self.bytes.capacity() {
            (size + SPARE_BYTES).max(needed.min(STEP_BYTES))
        } else {
            0
        };
        let more_ends = if self.ends.len() == self.ends.capacity() {
            (self.ends.len() + 8).min(STEP_BYTES / size_of::<u32>())
        } else {
            0
        };
        if more_bytes + more_ends + call_bytes > 0 {
            let more = more_bytes + more_ends * size_of::<u32>() + call_bytes;
            if !reserve(self.memory() + more) {
                return Err(PushError::NoMemory);
            }
            self.bytes.reserve_exact(more_bytes);
            self.ends.reserve_exact(more_ends);
        }
        Ok(())
    }

    /// Returns the bytes that the items take.
    pub fn memory(&self) -> usize {
        self.bytes.capacity() + self.ends.capacity() * size_of::<u32>() + self.call_bytes
    }

    /// Returns the bytes that the items take while they are encoded for the store: reward calls are copied.
    pub fn memory_to_encode(&self) -> usize {
        self.memory() + self.call_bytes
    }

    /// Returns the bytes that the items take at most while they are loaded into a batch.
    pub fn memory_to_load(&self) -> usize {
        self.memory_in_batch() + self.call_bytes
    }

    /// Returns the bytes that the items take in a batch that runs.
    pub fn memory_in_batch(&self) -> usize {
        self.memory() + self.len() * Self::ITEM_BYTES + self.fields * Self::FIELD_BYTES
    }

    /// Returns the bytes that each item takes in a batch that runs, besides its encoded form.
    pub(super) fn bytes_per_item() -> usize {
        Self::ITEM_BYTES + size_of::<u32>()
    }

    /// Returns the bytes that the request of an item takes while it is made, and while it is sent.
    pub fn memory_of_run(&self, index: usize) -> (usize, usize) {
        let begin = index.checked_sub(1).map_or(0, |before| self.ends[before]);
        let length = self
            .ends
            .get(index)
            .map_or(0, |end| (*end - begin) as usize);
        (length * 2 + self.fields * Self::FIELD_BYTES, length)
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns an item; `None` if there is none with this index.
    pub fn view(&self, index: usize) -> Option<ItemView<'_>> {
        let end = *self.ends.get(index)? as usize;
        let begin = index.checked_sub(1).map_or(0, |before| self.ends[before]);
        // What was pushed or found decodes.
        postcard::from_bytes(&self.bytes[begin as usize..end]).ok()
    }

    /// Returns the items in the order of the submission.
    pub fn iter(&self) -> impl Iterator<Item = ItemView<'_>> {
        (0..self.len()).filter_map(|index| self.view(index))
    }

    /// Returns an item's reward call, if it has one.
    pub fn call(&self, index: usize) -> Option<&ScoreCall> {
        let found = self
            .calls
            .binary_search_by_key(&index, |(item, _)| *item as usize);
        found.ok().map(|found| &self.calls[found].1)
    }

    /// Returns the reward calls with the indexes of their items.
    pub fn calls(&self) -> &[(u32, ScoreCall)] {
        &self.calls
    }

    /// Sets the reward calls, given in the order of their items.
    ///
    /// # Errors
    ///
    /// Fails if a call is of an unknown item.
    pub(super) fn set_calls(&mut self, calls: Vec<(u32, ScoreCall)>) -> Result<(), String> {
        let unknown = calls.iter().find(|(item, _)| *item as usize >= self.len());
        if let Some((item, _)) = unknown {
            return Err(format!("reward call of an unknown item {item}"));
        }
        self.call_bytes = calls.iter().map(|(_, call)| memory_of(call)).sum();
        self.calls = calls;
        Ok(())
    }

    /// Returns the mean of the items' hints, if any has one.
    pub fn mean_hint(&self) -> Option<f64> {
        let HintSum { count, sum } = self.hints;
        (count > 0).then(|| sum as f64 / count as f64)
    }

    /// Returns the length of the encoded items.
    pub(super) fn encoded_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the encoded items.
    pub(super) fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}

impl HintSum {
    fn add(&mut self, hint: Option<u64>) {
        if let Some(hint) = hint {
            self.count += 1;
            self.sum = self.sum.saturating_add(hint.max(1));
        }
    }
}

/// Returns the bytes that a reward call takes.
fn memory_of(call: &ScoreCall) -> usize {
    let texts = call.id.len() + call.host.len() + call.path.len() + call.body.len();
    Items::CALL_BYTES + texts
}

/// Why an item wasn't added.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PushError {
    /// The item is malformed.
    #[snafu(display("{reason}"))]
    Invalid {
        /// What is wrong.
        reason: String,
    },
    /// There is no memory for it.
    #[snafu(display("no memory for it"))]
    NoMemory,
}

impl fmt::Debug for Items {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.iter()).finish()
    }
}

impl FromIterator<ItemSpec> for Items {
    fn from_iter<T: IntoIterator<Item = ItemSpec>>(specs: T) -> Self {
        let mut items = Self::default();
        for spec in specs {
            let pushed = items.push(
                &ItemView::from(&spec),
                spec.scorer.clone(),
                spec.body.len(),
                &mut |_| true,
                |bytes| {
                    bytes.extend_from_slice(&spec.body);
                    Ok(())
                },
            );
            if let Err(error) = pushed {
                log::error!(index = items.len(), error:%; "item can't be encoded");
            }
        }
        items
    }
}

impl From<Vec<ItemSpec>> for Items {
    fn from(specs: Vec<ItemSpec>) -> Self {
        specs.into_iter().collect()
    }
}

/// The groups of a submission's items.
///
/// ```
/// use godwitspool_host::batch::{Groups, ItemSpec, Items};
///
/// let item = |group: &str| ItemSpec {
///     group: group.to_owned(),
///     ..ItemSpec::default()
/// };
/// let items: Items = ["a", "b", "a"].map(item).into_iter().collect();
/// let groups = Groups::of(&items);
/// assert!(groups.members().any(|members| members == [0, 2]));
/// assert_eq!(groups.number(0), groups.number(2));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Groups {
    /// Number of each item's group.
    numbers: Vec<u32>,
    /// The items by group, and in the order of the batch.
    members: Vec<u32>,
    /// Where each group ends in `members`.
    ends: Vec<u32>,
}

impl Groups {
    /// Numbers the groups of a submission's items.
    pub fn of(items: &Items) -> Self {
        let groups = items.iter().map(|item| rapidhash_v3(item.group.as_bytes()));
        let mut keyed: Vec<(u64, u32)> = groups.zip(0..).collect();
        keyed.sort_unstable();
        let mut numbers = vec![0; keyed.len()];
        let mut ends: Vec<u32> = Vec::new();
        for group in keyed.chunk_by(|one, other| one.0 == other.0) {
            for (_, item) in group {
                numbers[*item as usize] = ends.len() as u32;
            }
            let begin = ends.last().copied().unwrap_or_default();
            ends.push(begin + group.len() as u32);
        }
        Self {
            numbers,
            members: keyed.into_iter().map(|(_, item)| item).collect(),
            ends,
        }
    }

    /// Returns the number of an item's group.
    pub fn number(&self, item: usize) -> usize {
        self.numbers.get(item).map_or(0, |number| *number as usize)
    }

    /// Returns the indexes of a group's items, in the order of the batch.
    pub fn group(&self, number: usize) -> &[u32] {
        let begin = number.checked_sub(1).map_or(0, |before| self.ends[before]);
        &self.members[begin as usize..self.ends[number] as usize]
    }

    /// Returns the indexes of each group's items, in the order of the groups' numbers.
    pub fn members(&self) -> impl Iterator<Item = &[u32]> {
        (0..self.ends.len()).map(|number| self.group(number))
    }

    /// Returns the number of each item's group.
    pub(super) fn into_numbers(self) -> Vec<u32> {
        self.numbers
    }
}
