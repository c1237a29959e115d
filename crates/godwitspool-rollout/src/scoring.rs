//! Calls of scoring services.

use std::collections::{BTreeMap, VecDeque};

use godwitspool_types::Millis;

use crate::Score;

/// Bounds of scoring calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoringRules {
    /// Calls of one score before it is reported as failed.
    pub max_attempts: u32,
    /// Wait before the second call; it doubles with each further one.
    pub backoff_ms: Millis,
    /// Calls at once.
    pub concurrency: usize,
    /// Time in which a call is to be answered.
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

/// What happened to a score. The key is the sample or the group, and the call's idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum ScoreEvent {
    /// A score is wanted.
    Ask(String),
    /// The service answered.
    Answered(String, f64),
    /// The score is no longer wanted.
    Cancel(String),
    /// A call failed.
    Failed(String, String),
    /// Time has passed.
    Tick,
}

/// What to do for a score.
#[derive(Clone, Debug, PartialEq)]
pub enum ScoreAction {
    /// Calls the service with the key as idempotency key.
    Call(String),
    /// The score is settled.
    Settle(String, Score),
}

/// Scores that are wanted.
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
    Resting(Millis),
}

impl Scoring {
    /// Creates scoring under the given bounds.
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

    /// Decides what follows from an event.
    pub fn decide(&mut self, event: ScoreEvent, now: Millis) -> Vec<ScoreAction> {
        let mut actions = Vec::new();
        match event {
            ScoreEvent::Ask(key) => self.ask(key),
            ScoreEvent::Answered(key, value) => {
                if self.calls.remove(&key).is_some() {
                    actions.push(ScoreAction::Settle(key, Score::Value(value)));
                }
            }
            ScoreEvent::Cancel(key) => {
                self.calls.remove(&key);
            }
            ScoreEvent::Failed(key, reason) => self.fail(key, reason, now, &mut actions),
            ScoreEvent::Tick => self.expire(now, &mut actions),
        }
        self.call(now, &mut actions);
        actions
    }

    fn ask(&mut self, key: String) {
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
        call.state = CallState::Resting(now + Millis(self.rules.backoff_ms.0 << doublings));
    }

    fn expire(&mut self, now: Millis, actions: &mut Vec<ScoreAction>) {
        let timeout = self.rules.timeout_ms;
        let is_expired =
            |call: &Call| matches!(call.state, CallState::Called(at) if now - at >= timeout);
        let expired = self.calls.iter().filter(|(_, call)| is_expired(call));
        let expired: Vec<_> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
            self.fail(key, "timeout".to_owned(), now, actions);
        }
        for (key, call) in &mut self.calls {
            if matches!(call.state, CallState::Resting(until) if until <= now) {
                call.state = CallState::Queued;
                self.queue.push_back(key.clone());
            }
        }
    }

    fn call(&mut self, now: Millis, actions: &mut Vec<ScoreAction>) {
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
