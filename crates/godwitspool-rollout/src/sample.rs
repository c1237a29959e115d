//! Samples: the answers that a trainer receives for its prompts.

use std::{fmt, str::FromStr, sync::Arc};

use godwitspool_types::{TrainerName, WeightVersion};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::Tokens;

/// Number of a training step, counted by the trainer.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StepNumber(pub u64);

impl fmt::Display for StepNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Identity of a sample. It is fixed before the first token, so a sample belongs to exactly one
/// step.
///
/// ```
/// use godwitspool_rollout::{SampleId, StepNumber};
///
/// let id = SampleId { trainer: "t".into(), step: StepNumber(3), group: 1, index: 2 };
/// assert_eq!(id.to_string(), "t/3/1/2");
/// assert_eq!("t/3/1/2".parse(), Ok(id));
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SampleId {
    /// The trainer that submitted the prompt.
    pub trainer: TrainerName,
    /// The step whose batch contains the sample.
    pub step: StepNumber,
    /// Number of the group in the step, from 0.
    pub group: u32,
    /// Index in the group, from 0.
    pub index: u32,
}

impl fmt::Display for SampleId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}/{}/{}/{}",
            self.trainer, self.step, self.group, self.index
        )
    }
}

/// The error for a text that is not a valid sample ID.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("invalid sample ID \"{text}\", expected TRAINER/STEP/GROUP/INDEX"))]
pub struct SampleIdError {
    text: String,
}

impl FromStr for SampleId {
    type Err = SampleIdError;

    /// Parses `TRAINER/STEP/GROUP/INDEX`. The trainer's name may contain slashes.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let read = || {
            let mut parts = text.rsplitn(4, '/');
            let (index, group) = (parts.next()?, parts.next()?);
            let (step, trainer) = (parts.next()?, parts.next()?);
            Some(Self {
                trainer: trainer.into(),
                step: StepNumber(step.parse().ok()?),
                group: group.parse().ok()?,
                index: index.parse().ok()?,
            })
        };
        read().context(SampleIdSnafu { text })
    }
}

/// A message of a prompt.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Text of the message.
    pub content: String,
    /// Role of the author: `system`, `user` or `assistant`.
    pub role: String,
}

/// A group of samples that share one prompt.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupSpec {
    /// Number of the group in the step, from 0.
    pub group: u32,
    /// Maximum number of tokens in each answer.
    pub max_tokens: u32,
    /// Messages of the prompt.
    pub messages: Arc<[Message]>,
    /// Number of samples to generate.
    pub samples: u32,
}

impl GroupSpec {
    /// Returns the approximate size of the prompt in bytes.
    pub fn bytes(&self) -> usize {
        let texts = self.messages.iter().map(|m| m.content.len() + m.role.len());
        texts.sum::<usize>() + self.messages.len() * size_of::<Message>()
    }
}

/// A run of consecutive tokens that the same weight version produced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Span {
    /// Number of tokens in the run, at least 1.
    pub tokens: u32,
    /// Version that produced them, as named by the engine in each chunk.
    pub version: WeightVersion,
}

/// Why a sample ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SampleFinish {
    /// The answer reached the maximum number of tokens.
    Length,
    /// The answer is complete.
    #[default]
    Stop,
}

/// Result of scoring a sample.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Score {
    /// Scoring failed after all retries, for this reason.
    Failed(String),
    /// The trainer did not request scoring.
    #[default]
    NotAsked,
    /// Score returned by the scoring service.
    Value(f64),
}

/// An answer with the weight versions that produced it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    /// Identity of the sample.
    pub id: SampleId,
    /// Why the answer ended.
    pub finish: SampleFinish,
    /// Result of scoring.
    pub score: Score,
    /// Weight versions in token order. The spans cover all tokens.
    pub spans: Vec<Span>,
    /// Tokens of the answer.
    pub tokens: Tokens,
}

impl Sample {
    /// Creates a sample without tokens.
    ///
    /// ```
    /// use godwitspool_rollout::{Sample, SampleId};
    ///
    /// let mut sample = Sample::new(SampleId::default());
    /// sample.push("a", &"v1".into());
    /// sample.push("b", &"v2".into());
    /// assert_eq!(sample.spans.len(), 2);
    /// ```
    pub fn new(id: SampleId) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    /// Appends a token and the weight version that produced it.
    pub fn push(&mut self, token: &str, version: &WeightVersion) {
        self.tokens.push(token);
        match self.spans.last_mut() {
            Some(span) if span.version == *version => span.tokens += 1,
            _ => self.spans.push(Span {
                tokens: 1,
                version: version.clone(),
            }),
        }
    }

    /// Returns the approximate memory size in bytes.
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.tokens.bytes() + self.spans.capacity() * size_of::<Span>()
    }

    /// Returns `true` if the spans cover all tokens and none is empty.
    pub fn is_consistent(&self) -> bool {
        let covered: u64 = self.spans.iter().map(|span| u64::from(span.tokens)).sum();
        covered == self.tokens.len() as u64 && self.spans.iter().all(|span| span.tokens > 0)
    }
}
