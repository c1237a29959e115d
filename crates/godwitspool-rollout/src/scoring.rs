//! Calls to scoring services.

use std::collections::{BTreeMap, VecDeque};

use godwitspool_types::Millis;

use crate::Score;

/// Limits for scoring calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoringRules {
    /// Number of calls for one score before it is reported as failed.
    pub max_attempts: u32,
    /// Delay before the second call. It doubles before each further one.
    pub backoff_ms: Millis,
    /// Maximum number of concurrent calls.
    pub concurrency: usize,
    /// Time after which an unanswered call has failed.
    pub timeout_ms: Millis,
}

impl Default for ScoringRules {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            backoff_ms: Millis(200),
            concurrency: 32,
            timeout_ms: Millis(10_000),
        }
    }
}

/// An event for one score. The key identifies the sample or group and is also the idempotency key
/// of the call.
#[derive(Clone, Debug, PartialEq)]
pub enum ScoreEvent {
    /// A score is requested. A repeated request for a pending key has no effect.
    Ask(String),
    /// The service answered with this score.
    Answered(String, f64),
    /// The score is no longer needed.
    Cancel(String),
    /// A call failed for the given reason.
    Failed(String, String),
    /// Time has passed.
    Tick,
}

/// An action for one score.
#[derive(Clone, Debug, PartialEq)]
pub enum ScoreAction {
    /// Calls the service with the key as idempotency key.
    Call(String),
    /// Reports the final score, or the reason of the last failure.
    Settle(String, Score),
}

/// All requested scores that are not settled yet.
#[derive(Debug, Default)]
pub struct Scoring {
    calls: BTreeMap<String, Call>,
    queue: VecDeque<String>,
    rules: ScoringRules,
}

#[derive(Debug)]
struct Call {
    attempts: u32,
    state: CallState,
}

#[derive(Debug, PartialEq)]
enum CallState {
    Called(Millis),
    Queued,
    BackingOff(Millis),
}

impl Scoring {
    /// Creates an instance without requested scores.
    ///
    /// ```
    /// use godwitspool_rollout::{ScoreAction, ScoreEvent, Scoring, ScoringRules};
    /// use godwitspool_types::Millis;
    ///
    /// let mut scoring = Scoring::new(ScoringRules::default());
    /// let actions = scoring.decide(ScoreEvent::Ask("t/1/0/0".into()), Millis(0));
    /// assert_eq!(actions, [ScoreAction::Call("t/1/0/0".into())]);
    /// ```
    pub fn new(rules: ScoringRules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Applies an event and returns the resulting actions, including calls that can start now.
    pub fn decide(&mut self, event: ScoreEvent, now: Millis) -> Vec<ScoreAction> {
        let mut actions = Vec::new();
        match event {
            ScoreEvent::Ask(key) => self.enqueue(key),
            ScoreEvent::Answered(key, value) => {
                if self.calls.remove(&key).is_some() {
                    actions.push(ScoreAction::Settle(key, Score::Value(value)));
                }
            }
            ScoreEvent::Cancel(key) => {
                self.calls.remove(&key);
            }
            ScoreEvent::Failed(key, reason) => self.fail(key, reason, now, &mut actions),
            ScoreEvent::Tick => self.time_out(now, &mut actions),
        }
        self.start_calls(now, &mut actions);
        actions
    }

    fn enqueue(&mut self, key: String) {
        if !self.calls.contains_key(&key) {
            let state = CallState::Queued;
            self.calls.insert(key.clone(), Call { attempts: 0, state });
            self.queue.push_back(key);
        }
    }

    fn fail(&mut self, key: String, reason: String, now: Millis, actions: &mut Vec<ScoreAction>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        if !matches!(call.state, CallState::Called(_)) {
            return;
        }
        if call.attempts >= self.rules.max_attempts {
            self.calls.remove(&key);
            actions.push(ScoreAction::Settle(key, Score::Failed(reason)));
            return;
        }
        let doublings = call.attempts.saturating_sub(1).min(16);
        call.state = CallState::BackingOff(now + Millis(self.rules.backoff_ms.0 << doublings));
    }

    fn time_out(&mut self, now: Millis, actions: &mut Vec<ScoreAction>) {
        let timeout = self.rules.timeout_ms;
        let is_expired =
            |call: &Call| matches!(call.state, CallState::Called(at) if now - at >= timeout);
        let expired = self.calls.iter().filter(|(_, call)| is_expired(call));
        let expired: Vec<_> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
            self.fail(key, "timeout".to_owned(), now, actions);
        }
        for (key, call) in &mut self.calls {
            if matches!(call.state, CallState::BackingOff(until) if until <= now) {
                call.state = CallState::Queued;
                self.queue.push_back(key.clone());
            }
        }
    }

    fn start_calls(&mut self, now: Millis, actions: &mut Vec<ScoreAction>) {
        let called = self.calls.values();
        let called = called.filter(|call| matches!(call.state, CallState::Called(_)));
        let mut free = self.rules.concurrency.saturating_sub(called.count());
        while free > 0 {
            let Some(key) = self.queue.pop_front() else {
                return;
            };
            let Some(call) = self.calls.get_mut(&key) else {
                continue;
            };
            if call.state == CallState::Queued {
                call.state = CallState::Called(now);
                call.attempts += 1;
                free -= 1;
                actions.push(ScoreAction::Call(key));
            }
        }
    }
}
