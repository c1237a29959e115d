//! Encoding of stored values.
//!
//! A value is followed by its extension, if it has one. Builds from before the extension ignore the
//! bytes behind the value, and a value without them decodes to one without an extension.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{ItemProgress, ItemResult, ScoreCall, Submission};

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
struct SubmissionExtension {
    calls: ScoreCalls,
    /// Version of the configuration, in big-endian order. Its length is fixed, so that the chunks of a
    /// batch that two hosts have stored have the same boundaries.
    configuration: [u8; 8],
}

/// Encodes a submission.
pub fn encode_submission(submission: &Submission) -> Vec<u8> {
    let items = submission.items.iter().enumerate();
    let calls: ScoreCalls = items
        .filter_map(|(index, item)| Some((index as u32, item.scorer.clone()?)))
        .collect();
    let extension = SubmissionExtension {
        calls,
        configuration: submission.configuration.to_be_bytes(),
    };
    encode(submission, Some(extension))
}

/// Decodes a submission.
///
/// # Errors
///
/// Fails if the bytes are no submission, or name an item that it doesn't have.
pub fn decode_submission(bytes: &[u8]) -> Result<Submission, String> {
    let describe = |error: postcard::Error| error.to_string();
    let (mut submission, rest) =
        postcard::take_from_bytes::<Submission>(bytes).map_err(describe)?;
    if rest.is_empty() {
        return Ok(submission);
    }
    let (calls, rest) = postcard::take_from_bytes::<ScoreCalls>(rest).map_err(describe)?;
    for (index, call) in calls {
        let item = submission.items.get_mut(index as usize);
        let item = item.ok_or_else(|| format!("reward call of an unknown item {index}"))?;
        item.scorer = Some(call);
    }
    if !rest.is_empty() {
        submission.configuration =
            u64::from_be_bytes(postcard::from_bytes(rest).map_err(describe)?);
    }
    Ok(submission)
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

/// Encodes a value and its extension. Such values are plain data, so encoding them doesn't fail.
fn encode(value: &impl Serialize, extension: Option<impl Serialize>) -> Vec<u8> {
    let encoded = postcard::to_stdvec(value).and_then(|mut bytes| {
        if let Some(extension) = extension {
            bytes.extend(postcard::to_stdvec(&extension)?);
        }
        Ok(bytes)
    });
    encoded.unwrap_or_else(|error| {
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
