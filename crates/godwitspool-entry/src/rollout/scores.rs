//! Scoring of complete samples.

use std::{sync::Arc, thread};

use godwitspool_connection::{messages::View, platform::TargetState};
use godwitspool_rollout::{Sample, Score, ScoreAction, ScoreEvent, StepEvent};
use godwitspool_types::ServiceName;
use serde::{Deserialize, Serialize};

use super::journal::SampleEvent;
use crate::process::shared::Shared;

const PATH: &str = "/score";

/// Request to a scorer. It may be repeated for the same sample.
#[derive(Debug, Serialize)]
struct ScoreRequest {
    sample: String,
    tokens: Vec<String>,
}

/// A scorer's response.
#[derive(Debug, Deserialize)]
struct ScoreResponse {
    score: f64,
}

/// Scores a complete sample if its trainer has a scorer, and passes it to its step.
pub(super) fn finish(shared: &Arc<Shared>, generation: u64, sample: Sample) {
    let now = shared.rollouts.clock.now();
    let trainer = sample.id.trainer.clone();
    let mut state = shared.rollouts.lock();
    let Some(trainer_state) = state.trainers.get_mut(&trainer) else {
        return;
    };
    trainer_state
        .stragglers
        .learn(&sample.id, sample.tokens.len() as u32);
    if trainer_state.rules.scorer.as_str().is_empty() {
        drop(state);
        let event = StepEvent::Finished { generation, sample };
        return shared.rollouts.handle_event(shared, &trainer, event);
    }
    let key = format!("{}.{generation}", sample.id);
    state.unscored.insert(key.clone(), (generation, sample));
    let actions = state.scoring.decide(ScoreEvent::Ask(key), now);
    drop(state);
    execute(shared, actions);
}

/// Passes an event to scoring, and executes the actions that it decides.
pub(super) fn handle_event(shared: &Arc<Shared>, event: ScoreEvent) {
    let now = shared.rollouts.clock.now();
    let actions = shared.rollouts.lock().scoring.decide(event, now);
    execute(shared, actions);
}

fn execute(shared: &Arc<Shared>, actions: Vec<ScoreAction>) {
    for action in actions {
        match action {
            ScoreAction::Call(key) => spawn_call(shared, key),
            ScoreAction::Settle(key, score) => submit(shared, &key, score),
        }
    }
}

/// Passes a sample with its score to its step.
fn submit(shared: &Arc<Shared>, key: &str, score: Score) {
    let now = shared.rollouts.clock.now();
    let mut state = shared.rollouts.lock();
    let Some((generation, mut sample)) = state.unscored.remove(key) else {
        return;
    };
    if let Score::Failed(cause) = &score {
        let event = SampleEvent::Unscored(cause.clone());
        state.journal.record(now, &sample.id, event);
    }
    drop(state);
    sample.score = score;
    let trainer = sample.id.trainer.clone();
    let event = StepEvent::Finished { generation, sample };
    shared.rollouts.handle_event(shared, &trainer, event);
}

fn spawn_call(shared: &Arc<Shared>, key: String) {
    let shared = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("score".to_owned())
        .spawn(move || {
            let event = match call_scorer(&shared, &key) {
                Ok(score) => ScoreEvent::Answered(key, score),
                Err(cause) => ScoreEvent::Failed(key, cause),
            };
            handle_event(&shared, event);
        });
    if let Err(error) = spawned {
        // Scoring repeats the call after its timeout.
        log::error!("can't start a thread for a call to a scorer: {error}");
    }
}

/// Calls a live target of the scorer, chosen by the key's hash.
fn call_scorer(shared: &Arc<Shared>, key: &str) -> Result<f64, String> {
    let view = shared.view();
    let (request, scorer) = {
        let state = shared.rollouts.lock();
        let (_, sample) = state.unscored.get(key).ok_or("no longer wanted")?;
        let trainer = state.trainers.get(&sample.id.trainer);
        let scorer = trainer.map(|trainer| trainer.rules.scorer.clone());
        let request = ScoreRequest {
            sample: sample.id.to_string(),
            tokens: sample.tokens.iter().map(str::to_owned).collect(),
        };
        (request, scorer.unwrap_or_default())
    };
    let address = scorer_address(&view, &scorer, key).ok_or("no target of the scorer is live")?;
    let answer = shared
        .client(address)
        .post::<_, ScoreResponse>(PATH, &request);
    answer
        .map(|scored| scored.score)
        .map_err(|error| error.to_string())
}

fn scorer_address(view: &View, scorer: &ServiceName, key: &str) -> Option<std::net::SocketAddr> {
    let targets = view.targets.iter();
    let live =
        targets.filter(|target| target.service == *scorer && target.state == TargetState::Live);
    let live: Vec<_> = live.collect();
    let at = godwitspool_request::stable_hash(key.as_bytes()) as usize;
    live.get(at.checked_rem(live.len())?)
        .map(|target| target.address)
}
