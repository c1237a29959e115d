//! Bounded journal of the decisions on recent requests, for the `explain` page.

use std::{
    collections::{HashMap, VecDeque},
    sync::PoisonError,
};

use godwitspool_sync::Mutex;
use godwitspool_types::{Millis, RequestId, TargetName};
use serde::Serialize;

const MAX_REQUESTS: usize = 20_000;
/// Maximum number of recorded steps of a request. Later ones are dropped.
const MAX_STEPS_PER_REQUEST: usize = 64;

/// One decision on a request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub(crate) enum Step {
    /// The caller was authorized.
    Caller { service: String, workspace: String },
    /// The request was admitted after a wait in the queue.
    Admitted { waited_ms: u64 },
    /// The request was sent to a target.
    Sent { attempt: u32, target: TargetName },
    /// An attempt failed.
    Failed { cause: String, reason: String },
    /// The answer was complete.
    Whole { tokens: u32 },
    /// The request was refused, or its answer ended early.
    Refused { ran: &'static str, reason: String },
    /// The request is suspected of crashing targets, and this attempt is its trial.
    Trial,
}

#[derive(Debug, Serialize)]
struct Line {
    at_ms: u64,
    #[serde(flatten)]
    step: Step,
}

/// Steps of recent requests.
#[derive(Debug, Default)]
pub(crate) struct Journal(Mutex<Entries>);

#[derive(Debug, Default)]
struct Entries {
    order: VecDeque<RequestId>,
    steps: HashMap<RequestId, Vec<Line>>,
}

impl Journal {
    /// Appends a step. When there are too many requests, the oldest one is evicted.
    pub(crate) fn append(&self, id: RequestId, step: Step, now: Millis) {
        let mut entries = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Entries { order, steps } = &mut *entries;
        let lines = steps.entry(id).or_insert_with(|| {
            order.push_back(id);
            Vec::new()
        });
        if lines.len() < MAX_STEPS_PER_REQUEST {
            lines.push(Line { at_ms: now.0, step });
        }
        if order.len() > MAX_REQUESTS
            && let Some(oldest) = order.pop_front()
        {
            steps.remove(&oldest);
        }
    }

    /// Returns the steps of a request, or `None` for an unknown or evicted one.
    pub(crate) fn explain(&self, id: RequestId) -> Option<serde_json::Value> {
        let entries = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = entries.steps.get(&id)?;
        Some(serde_json::json!({ "request": id, "steps": lines }))
    }
}
