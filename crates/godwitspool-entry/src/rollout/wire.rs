//! JSON bodies of trainers' requests and answers.

use std::sync::Arc;

use godwitspool_rollout::{GroupSpec, Message, Page, Progress, Sample, Score, Span};
use serde::{Deserialize, Serialize};

/// Body of `POST .../groups`.
#[derive(Debug, Deserialize)]
pub(super) struct GroupsBody {
    groups: Vec<GroupBody>,
    /// Number of groups in the complete step.
    pub(super) total: u32,
}

#[derive(Debug, Deserialize)]
struct GroupBody {
    group: u32,
    max_tokens: u32,
    messages: Vec<Message>,
    samples: u32,
}

/// Body of `POST .../ack`.
#[derive(Debug, Deserialize)]
pub(super) struct AckBody {
    pub(super) digest: String,
}

/// Body of `POST .../rewind`.
#[derive(Debug, Deserialize)]
pub(super) struct RewindBody {
    pub(super) number: u64,
}

/// Answer of `GET .../batch` once the batch is complete.
#[derive(Debug, Serialize)]
pub(super) struct PageBody<'a> {
    digest: String,
    page: u32,
    pages: u32,
    samples: Vec<SampleBody<'a>>,
}

#[derive(Debug, Serialize)]
struct SampleBody<'a> {
    finish: godwitspool_rollout::SampleFinish,
    group: u32,
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    score: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    score_error: Option<&'a str>,
    spans: &'a [Span],
    tokens: Vec<&'a str>,
}

/// Answer while a step isn't complete.
#[derive(Debug, Serialize)]
pub(super) struct ProgressBody {
    state: &'static str,
    #[serde(flatten)]
    progress: Progress,
}

impl GroupsBody {
    pub(super) fn groups(self) -> Vec<GroupSpec> {
        self.groups.into_iter().map(GroupSpec::from).collect()
    }
}

impl From<GroupBody> for GroupSpec {
    fn from(body: GroupBody) -> Self {
        Self {
            group: body.group,
            max_tokens: body.max_tokens,
            messages: body.messages.into(),
            samples: body.samples,
        }
    }
}

impl ProgressBody {
    pub(super) fn new(state: &'static str, progress: Progress) -> Self {
        Self { state, progress }
    }
}

impl<'a> From<&'a Page> for PageBody<'a> {
    fn from(page: &'a Page) -> Self {
        Self {
            digest: page.digest.to_string(),
            page: page.page,
            pages: page.pages,
            samples: page.samples.iter().map(SampleBody::from).collect(),
        }
    }
}

impl<'a> From<&'a Arc<Sample>> for SampleBody<'a> {
    fn from(sample: &'a Arc<Sample>) -> Self {
        let (score, score_error) = match &sample.score {
            Score::Failed(cause) => (None, Some(cause.as_str())),
            Score::NotAsked => (None, None),
            Score::Value(value) => (Some(*value), None),
        };
        Self {
            finish: sample.finish,
            group: sample.id.group,
            index: sample.id.index,
            score,
            score_error,
            spans: &sample.spans,
            tokens: sample.tokens.iter().collect(),
        }
    }
}
