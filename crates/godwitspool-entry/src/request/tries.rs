//! What plain calls and generations share: the way to a target, and what follows a failure.

use std::{sync::Arc, thread, time::Duration};

use godwitspool_connection::CallError;
use godwitspool_request::{AttemptOutcome, Reason, Refusal, RetryDecision, RetryReason};
use godwitspool_types::Millis;

use crate::{
    process::shared::{OnTarget, Shared},
    request::{
        dispatch::Assignment,
        journal::Step,
        quota::{self, Counted},
        suspicion,
        work::Work,
    },
};

/// Pause between two looks for a target with room, or for a trial.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// An attempt that failed.
#[derive(Clone, Debug)]
pub(crate) struct Failed {
    pub(crate) after: Option<Millis>,
    pub(crate) cause: String,
    pub(crate) health: Option<AttemptOutcome>,
    pub(crate) reason: RetryReason,
}

impl Failed {
    /// Tells what a failed call says of its target. `flowing` is set once tokens came.
    pub(crate) fn new(error: &CallError, flowing: bool, caller: u64) -> Self {
        let lost = if flowing {
            RetryReason::StreamBroken
        } else {
            RetryReason::TargetLost
        };
        let (reason, health) = match error {
            CallError::NotSent { .. } => (
                RetryReason::ConnectFailed,
                Some(AttemptOutcome::Unreachable),
            ),
            CallError::Status {
                status: 429 | 503, ..
            } => (RetryReason::TargetRefused, None),
            CallError::Silent { .. } if !flowing => (
                RetryReason::TargetSilent,
                Some(AttemptOutcome::Failed(caller)),
            ),
            _ => (lost, Some(AttemptOutcome::Failed(caller))),
        };
        let after = match error {
            CallError::Status { retry_after, .. } => retry_after.map(|s| Millis(s * 1_000)),
            _ => None,
        };
        Self {
            after,
            cause: error.to_string(),
            health,
            reason,
        }
    }
}

/// A request that has been let through, on its present target.
#[derive(Debug)]
pub(crate) struct Tries {
    _counted: Counted,
    guard: Option<OnTarget>,
    pub(crate) on: Assignment,
    shared: Arc<Shared>,
    started: Millis,
    trial: bool,
    pub(crate) work: Work,
}

impl Tries {
    /// Lets a request through limits, quarantine and queue.
    pub(crate) fn begin(shared: &Arc<Shared>, mut work: Work) -> Result<Self, Refusal> {
        let arrived = shared.serving.now();
        let counted = quota::begin(shared, &work.caller.workspace)?;
        let trial = enter(shared, &work)?;
        let before = work.need.tried.clone();
        if trial {
            work.need.tried = shared.serving.suspicion.trial_targets();
        }
        let on = shared.serving.dispatch.admit(&work, arrived);
        let on = on.inspect_err(|_| {
            if trial {
                suspicion::leave(shared, work.need.fingerprint, false);
            }
        })?;
        work.need.tried = before;
        let started = shared.serving.now();
        let waited_ms = (started - arrived).0;
        shared.serving.note(work.id, Step::Admitted { waited_ms });
        let mut tries = Self {
            _counted: counted,
            guard: None,
            on,
            shared: Arc::clone(shared),
            started,
            trial,
            work,
        };
        tries.enter();
        Ok(tries)
    }

    /// Records that the present target answered.
    pub(crate) fn answered(&mut self) {
        let now = self.shared.serving.now();
        let dispatch = &self.shared.serving.dispatch;
        dispatch.record(&self.work, &self.on, AttemptOutcome::Answered, now);
        if std::mem::take(&mut self.trial) {
            suspicion::leave(&self.shared, self.work.need.fingerprint, true);
        }
    }

    /// Takes a failure: moves to another target, or returns the refusal.
    pub(crate) fn fail(&mut self, failed: Failed) -> Result<(), Refusal> {
        let serving = &self.shared.serving;
        let step = Step::Failed {
            cause: failed.cause,
            reason: failed.reason.code().to_owned(),
        };
        serving.note(self.work.id, step);
        if let Some(health) = failed.health {
            let now = serving.now();
            serving.dispatch.record(&self.work, &self.on, health, now);
        }
        self.blame(failed.reason);
        self.leave_target();
        let verdict = self.shared.serving.dispatch.fail(
            &mut self.work,
            &self.on.class,
            failed.reason,
            failed.after,
            self.shared.serving.now(),
        );
        match verdict {
            RetryDecision::Refuse(refusal) => Err(refusal),
            RetryDecision::Retry(pause) => {
                thread::sleep(pause.duration());
                self.move_on(failed.reason)
            }
        }
    }

    /// Gives the request more time, since its answer flows.
    pub(crate) fn extend(&mut self, span: Millis) {
        self.work.attempts.deadline = self.shared.serving.now() + span;
    }

    // -----------------------------------------------------------------------

    /// A target that broke off may have crashed by one of the requests in flight on it.
    fn blame(&mut self, reason: RetryReason) {
        if matches!(reason, RetryReason::StreamBroken | RetryReason::TargetLost) {
            let flying = self.shared.serving.dispatch.flying(self.on.id);
            suspicion::crashed(&self.shared, self.on.id, &self.on.target, &flying);
            self.trial = false;
        } else if std::mem::take(&mut self.trial) {
            suspicion::leave(&self.shared, self.work.need.fingerprint, false);
        }
    }

    fn move_on(&mut self, reason: RetryReason) -> Result<(), Refusal> {
        self.work.need.tried.push(self.on.id);
        let refused = |refusal: Refusal| Refusal {
            ran: if self.work.attempts.maybe_ran {
                godwitspool_types::Ran::Unknown
            } else {
                refusal.ran
            },
            ..refusal
        };
        self.trial = enter(&self.shared, &self.work).map_err(refused)?;
        let on = find(&self.shared, &self.work, self.trial);
        let on = on.map_err(|reason| {
            if self.trial {
                suspicion::leave(&self.shared, self.work.need.fingerprint, false);
            }
            refused(reason.into())
        })?;
        self.on = on;
        self.shared.serving.retries.count(reason.code());
        self.enter();
        Ok(())
    }

    fn enter(&mut self) {
        if self.trial {
            let print = self.work.need.fingerprint;
            self.shared.serving.note(self.work.id, Step::Trial);
            self.shared.serving.suspicion.note_trial(self.on.id, print);
        }
        let guard = self.shared.enter_chosen(&self.on.target, Some(self.on.id));
        self.guard = Some(guard);
        let step = Step::Sent {
            attempt: self.work.attempts.retried + self.work.attempts.resumed,
            target: self.on.target.clone(),
        };
        self.shared.serving.note(self.work.id, step);
    }

    fn leave_target(&mut self) {
        if self.guard.take().is_some() {
            let print = self.work.need.fingerprint;
            self.shared.serving.dispatch.land(self.on.id, print);
        }
    }
}

impl Drop for Tries {
    fn drop(&mut self) {
        self.leave_target();
        if self.trial {
            suspicion::leave(&self.shared, self.work.need.fingerprint, false);
        }
        let now = self.shared.serving.now();
        let held = now - self.started;
        self.shared.serving.dispatch.finish(&self.work, held, now);
    }
}

/// Waits until a suspect may be tried; tells whether the request is on trial.
fn enter(shared: &Arc<Shared>, work: &Work) -> Result<bool, Refusal> {
    loop {
        match suspicion::enter(shared, work.need.fingerprint) {
            Err(refusal)
                if refusal.reason == Reason::SuspectBusy
                    && shared.serving.now() < work.attempts.deadline =>
            {
                thread::sleep(LOOK_PAUSE);
            }
            outcome => return outcome,
        }
    }
}

/// Looks for another target until the deadline; targets that were tried come last.
fn find(shared: &Arc<Shared>, work: &Work, trial: bool) -> Result<Assignment, Reason> {
    let dispatch = &shared.serving.dispatch;
    loop {
        let now = shared.serving.now();
        let trials = if trial {
            shared.serving.suspicion.trial_targets()
        } else {
            Vec::new()
        };
        let mut need = work.need.clone();
        need.tried.extend(&trials);
        let mut found = dispatch.choose(&need, now);
        if found
            .as_ref()
            .is_err_and(|reason| *reason == Reason::NoTarget)
        {
            need.tried = trials;
            found = dispatch.choose(&need, now);
        }
        match found {
            Err(_) if now < work.attempts.deadline => thread::sleep(LOOK_PAUSE),
            found => return found,
        }
    }
}
