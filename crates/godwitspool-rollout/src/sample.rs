//! Samples: what a trainer gets for one prompt.

use std::{fmt, str::FromStr, sync::Arc};

use godwitspool_types::{TrainerName, WeightVersion};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::Tokens;

/// Number of a trainer's step.
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

/// Identity of a sample, fixed before its first token: no sample can be in two steps.
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
    /// Trainer.
    pub trainer: TrainerName,
    /// Step.
    pub step: StepNumber,
    /// Group in the step, from 0.
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

/// A text that names no sample.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("\"{text}\" is no TRAINER/STEP/GROUP/INDEX"))]
pub struct SampleIdError {
    text: String,
}

impl FromStr for SampleId {
    type Err = SampleIdError;

    /// Reads `TRAINER/STEP/GROUP/INDEX`; a trainer's name may contain slashes.
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
    /// Text.
    pub content: String,
    /// `system`, `user` or `assistant`.
    pub role: String,
}

/// A prompt that is sampled several times.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupSpec {
    /// Group in the step, from 0.
    pub group: u32,
    /// Most tokens of a sample.
    pub max_tokens: u32,
    /// Prompt.
    pub messages: Arc<[Message]>,
    /// Samples in the group.
    pub samples: u32,
}

impl GroupSpec {
    /// Returns the bytes that the prompt holds.
    pub fn bytes(&self) -> usize {
        let texts = self.messages.iter().map(|m| m.content.len() + m.role.len());
        texts.sum::<usize>() + self.messages.len() * size_of::<Message>()
    }
}

/// A run of tokens that one weight version produced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Span {
    /// Tokens in the run.
    pub tokens: u32,
    /// Version that produced them, as the engine named it in each chunk.
    pub version: WeightVersion,
}

/// Why a sample ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SampleFinish {
    /// The most tokens asked for were reached.
    Length,
    /// The answer is complete.
    #[default]
    Stop,
}

/// What scoring gave.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Score {
    /// Scoring failed for good; there is no figure.
    Failed(String),
    /// No score was asked for.
    #[default]
    NotAsked,
    /// Figure of the scoring service.
    Value(f64),
}

/// A whole answer with the versions that produced it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    /// Identity.
    pub id: SampleId,
    /// Why it ended.
    pub finish: SampleFinish,
    /// Score.
    pub score: Score,
    /// Versions in order of the tokens; the spans cover all tokens.
    pub spans: Vec<Span>,
    /// Tokens.
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

    /// Appends a token and the version that its chunk names.
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

    /// Returns the bytes that the sample holds.
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.tokens.bytes() + self.spans.capacity() * size_of::<Span>()
    }

    /// Tells whether the spans cover all tokens.
    pub fn is_consistent(&self) -> bool {
        let covered: u64 = self.spans.iter().map(|span| u64::from(span.tokens)).sum();
        covered == self.tokens.len() as u64 && self.spans.iter().all(|span| span.tokens > 0)
    }
}
