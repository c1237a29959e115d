//! The immutable batch of a completed step.

use std::{fmt, sync::Arc};

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use crate::{Sample, Score};

/// Digest of a batch's contents. Pages with the same digest belong to the same batch.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Digest(pub u64);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A step's samples in order of group and index. A batch never changes after its creation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Batch {
    /// Digest of the samples, including their tokens, versions and scores.
    pub digest: Digest,
    /// All samples of the step, in order of group and index.
    pub samples: Vec<Arc<Sample>>,
}

/// One page of a batch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Page {
    /// Digest of the whole batch.
    pub digest: Digest,
    /// Page number, from 0.
    pub page: u32,
    /// Number of pages in the batch.
    pub pages: u32,
    /// Samples on this page.
    pub samples: Vec<Arc<Sample>>,
}

impl Batch {
    /// Creates a batch. The samples must be in order of group and index.
    ///
    /// ```
    /// use godwitspool_rollout::{Batch, Sample, SampleId};
    ///
    /// let samples = vec![Sample::new(SampleId::default()).into()];
    /// assert_eq!(Batch::new(samples.clone()).digest, Batch::new(samples).digest);
    /// ```
    pub fn new(samples: Vec<Arc<Sample>>) -> Self {
        let mut bytes = Vec::with_capacity(samples.len() * size_of::<u64>());
        for sample in &samples {
            bytes.extend(digest(sample).to_le_bytes());
        }
        Self {
            digest: Digest(rapidhash_v3(&bytes)),
            samples,
        }
    }

    /// Returns a page of at most `size` samples, or `None` if the batch has no such page.
    pub fn page(&self, page: u32, size: usize) -> Option<Page> {
        let size = size.max(1);
        let pages = self.samples.len().div_ceil(size).max(1) as u32;
        if page >= pages {
            return None;
        }
        let start = page as usize * size;
        let end = (start + size).min(self.samples.len());
        Some(Page {
            digest: self.digest,
            page,
            pages,
            samples: self.samples[start..end].to_vec(),
        })
    }
}

fn digest(sample: &Sample) -> u64 {
    let (id, tokens, finish) = (&sample.id, sample.tokens.len(), sample.finish);
    let mut text = format!("{id}\0{tokens}\0{finish:?}\0");
    for span in &sample.spans {
        for part in [&span.tokens.to_string(), span.version.as_str()] {
            text += part;
            text += "\0";
        }
    }
    match &sample.score {
        Score::Failed(reason) => text += reason,
        Score::NotAsked => text += "-",
        Score::Value(value) => text += &value.to_bits().to_string(),
    }
    text += "\0";
    text += sample.tokens.text();
    rapidhash_v3(text.as_bytes())
}
