//! What was decided on the last requests, for operators.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, PoisonError},
};

use godwitspool_types::{Millis, RequestId, TargetName};
use serde::Serialize;

/// Requests that are remembered.
const MAX_REQUESTS: usize = 20_000;
/// Steps that are remembered of a request.
const MAX_STEPS: usize = 64;

/// One decision on a request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub(crate) enum Step {
    /// The caller was found.
    Caller { service: String, workspace: String },
    /// The request waited in the queue and was let through.
    Admitted { waited_ms: u64 },
    /// The request was handed to a target.
    Sent { attempt: u32, target: TargetName },
    /// An attempt failed.
    Failed { cause: String, reason: String },
    /// The answer was whole.
    Whole { tokens: u32 },
    /// The request was refused, or its answer ended early.
    Refused { ran: &'static str, reason: String },
    /// The request is suspected of a crash and on trial.
    Trial,
}

#[derive(Debug, Serialize)]
struct Line {
    at_ms: u64,
    #[serde(flatten)]
    step: Step,
}

/// A bounded journal by request.
#[derive(Debug, Default)]
pub(crate) struct Journal(Mutex<Held>);

#[derive(Debug, Default)]
struct Held {
    order: VecDeque<RequestId>,
    steps: HashMap<RequestId, Vec<Line>>,
}

impl Journal {
    /// Adds a step; the oldest request is forgotten when there are too many.
    pub(crate) fn add(&self, id: RequestId, step: Step, now: Millis) {
        let mut held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Held { order, steps } = &mut *held;
        let lines = steps.entry(id).or_insert_with(|| {
            order.push_back(id);
            Vec::new()
        });
        if lines.len() < MAX_STEPS {
            lines.push(Line { at_ms: now.0, step });
        }
        if order.len() > MAX_REQUESTS
            && let Some(oldest) = order.pop_front()
        {
            steps.remove(&oldest);
        }
    }

    /// Returns what was decided on a request.
    pub(crate) fn explain(&self, id: RequestId) -> Option<serde_json::Value> {
        let held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = held.steps.get(&id)?;
        Some(serde_json::json!({ "request": id, "steps": lines }))
    }
}
