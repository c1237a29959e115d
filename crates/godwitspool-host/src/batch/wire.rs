//! Encoding of stored values.
//!
//! A value is followed by its extension, if it has one. Builds from before the extension ignore the
//! bytes behind the value, and a value without them decodes to one without an extension.

use godwitspool_types::{ModelName, Workspace};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{ItemProgress, ItemResult, Items, ScoreCall, Submission};

/// What goes before a submission's items in the store.
#[derive(Deserialize, Serialize)]
struct SubmissionHead {
    id: String,
    workspace: Workspace,
    host: String,
    prefix: String,
    model: ModelName,
    step: u64,
    min_version: u64,
    wanted_groups: u32,
    received_ms: u64,
    retention_ms: u64,
    due_ms: u64,
    attempts: u32,
    single_version: bool,
    /// Number of items, which follow.
    items: usize,
}

impl From<&Submission> for SubmissionHead {
    fn from(submission: &Submission) -> Self {
        Self {
            id: submission.id.clone(),
            workspace: submission.workspace.clone(),
            host: submission.host.clone(),
            prefix: submission.prefix.clone(),
            model: submission.model.clone(),
            step: submission.step,
            min_version: submission.min_version,
            wanted_groups: submission.wanted_groups,
            received_ms: submission.received_ms,
            retention_ms: submission.retention_ms,
            due_ms: submission.due_ms,
            attempts: submission.attempts,
            single_version: submission.single_version,
            items: submission.items.len(),
        }
    }
}

/// A submission without its items.
impl From<SubmissionHead> for Submission {
    fn from(head: SubmissionHead) -> Self {
        Self {
            id: head.id,
            workspace: head.workspace,
            host: head.host,
            prefix: head.prefix,
            model: head.model,
            step: head.step,
            min_version: head.min_version,
            wanted_groups: head.wanted_groups,
            received_ms: head.received_ms,
            retention_ms: head.retention_ms,
            due_ms: head.due_ms,
            attempts: head.attempts,
            single_version: head.single_version,
            ..Self::default()
        }
    }
}

/// The reward calls of a submission, with the indexes of their items.
type ScoreCalls = Vec<(u32, ScoreCall)>;

/// What follows an item's result in the store.
#[derive(Deserialize, Serialize)]
struct ResultExtension {
    score: String,
}

/// What follows an item's partial output in the store.
#[derive(Deserialize, Serialize)]
struct ProgressExtension {
    complete: bool,
}

/// What follows a submission in the store. Builds that know only the reward calls ignore the rest.
#[derive(Serialize)]
struct SubmissionExtension<'a> {
    calls: &'a [(u32, ScoreCall)],
    /// Version of the configuration, in big-endian order. Its length is fixed, so that the chunks of a
    /// batch that two hosts have stored have the same boundaries.
    configuration: [u8; 8],
}

impl<'a> From<&'a Submission> for SubmissionExtension<'a> {
    fn from(submission: &'a Submission) -> Self {
        Self {
            calls: submission.items.calls(),
            configuration: submission.configuration.to_be_bytes(),
        }
    }
}

/// Encodes a submission. Its items are moved, since a copy of them may be more than the machine has.
pub fn encode_submission(mut submission: Submission) -> Vec<u8> {
    let mut head = encode_part(&SubmissionHead::from(&submission));
    let extension = encode_part(&SubmissionExtension::from(&submission));
    let mut bytes = std::mem::take(&mut submission.items).into_bytes();
    bytes.reserve_exact(head.len() + extension.len());
    bytes.extend(extension);
    bytes.splice(0..0, head.drain(..));
    bytes
}

/// Returns the length of an encoded submission.
pub fn encoded_length(submission: &Submission) -> usize {
    let head = encode_part(&SubmissionHead::from(submission));
    let extension = encode_part(&SubmissionExtension::from(submission));
    head.len() + submission.items.encoded_bytes() + extension.len()
}

/// Decodes the part of a submission that goes before its items, from its first bytes; returns it with the
/// number of items.
///
/// # Errors
///
/// Fails if the bytes don't begin a submission.
pub fn decode_head(bytes: &[u8]) -> Result<(Submission, usize), String> {
    let (head, _) = take_head(bytes)?;
    let count = head.items;
    Ok((head.into(), count))
}

/// Decodes a submission. `reserve` is asked for the memory that it takes beyond its bytes and what each item
/// takes; `None` if there is none.
///
/// # Errors
///
/// Fails if the bytes are no submission, or name an item that it doesn't have.
pub fn decode_submission(
    mut bytes: Vec<u8>,
    reserve: &mut dyn FnMut(usize) -> bool,
) -> Result<Option<Submission>, String> {
    let describe = |error: postcard::Error| error.to_string();
    let (head, items_at) = take_head(&bytes)?;
    bytes.drain(..items_at);
    let (mut items, extension_at) = Items::find(bytes, head.items)?;
    // The reward calls take the place of the extension once it is decoded.
    let extension = items.bytes_from(extension_at);
    let calls = postcard::take_from_bytes::<usize>(extension).map_or(0, |(calls, _)| calls);
    if !reserve(extension.len() + calls.min(extension.len()) * Items::CALL_BYTES) {
        return Ok(None);
    }
    let extension = items.split_off(extension_at);
    let mut submission = Submission {
        items,
        ..head.into()
    };
    if extension.is_empty() {
        return Ok(Some(submission));
    }
    let (calls, rest) = postcard::take_from_bytes::<ScoreCalls>(&extension).map_err(describe)?;
    submission.items.set_calls(calls)?;
    if !rest.is_empty() {
        submission.configuration =
            u64::from_be_bytes(postcard::from_bytes(rest).map_err(describe)?);
    }
    Ok(Some(submission))
}

/// Returns the head of an encoded submission, and where its items begin.
fn take_head(bytes: &[u8]) -> Result<(SubmissionHead, usize), String> {
    let taken = postcard::take_from_bytes::<SubmissionHead>(bytes);
    let (head, rest) = taken.map_err(|error| error.to_string())?;
    Ok((head, bytes.len() - rest.len()))
}

/// Encodes the result of an item.
pub fn encode_result(result: &ItemResult) -> Vec<u8> {
    let score = result.score.clone();
    encode(result, score.map(|score| ResultExtension { score }))
}

/// Decodes the result of an item.
///
/// # Errors
///
/// Fails if the bytes are no result.
pub fn decode_result(bytes: &[u8]) -> Result<ItemResult, String> {
    let (mut result, extension) = decode::<ItemResult, ResultExtension>(bytes)?;
    result.score = extension.map(|extension| extension.score);
    Ok(result)
}

/// Encodes the partial output of an item.
pub fn encode_progress(progress: &ItemProgress) -> Vec<u8> {
    let complete = progress.complete;
    encode(progress, complete.then_some(ProgressExtension { complete }))
}

/// Decodes the partial output of an item.
///
/// # Errors
///
/// Fails if the bytes are no partial output.
pub fn decode_progress(bytes: &[u8]) -> Result<ItemProgress, String> {
    let (mut progress, extension) = decode::<ItemProgress, ProgressExtension>(bytes)?;
    progress.complete = extension.is_some_and(|extension| extension.complete);
    Ok(progress)
}

/// Encodes a value and its extension.
fn encode(value: &impl Serialize, extension: Option<impl Serialize>) -> Vec<u8> {
    let mut bytes = encode_part(value);
    if let Some(extension) = extension {
        bytes.extend(encode_part(&extension));
    }
    bytes
}

/// Encodes a value. Such values are plain data, so encoding them doesn't fail.
fn encode_part(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_else(|error| {
        log::error!(error:%; "can't encode a record value");
        Vec::new()
    })
}

fn decode<T: DeserializeOwned, E: DeserializeOwned>(
    bytes: &[u8],
) -> Result<(T, Option<E>), String> {
    let describe = |error: postcard::Error| error.to_string();
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(describe)?;
    let extension = (!rest.is_empty()).then(|| postcard::from_bytes(rest));
    Ok((value, extension.transpose().map_err(describe)?))
}
