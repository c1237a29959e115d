//! Admission, attempts and retries, shared by plain calls and generations.

use std::{sync::Arc, thread, time::Duration};

use godwitspool_connection::CallError;
use godwitspool_request::{AttemptOutcome, Reason, Refusal, RetryDecision, RetryReason};
use godwitspool_types::Millis;

use crate::{
    process::shared::{Shared, TargetGuard},
    request::{
        dispatch::Assignment,
        journal::Step,
        quota::{self, QuotaGuard},
        suspicion,
        work::Work,
    },
};

/// Time between two searches for a target with room, or two requests for a trial.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An attempt that failed.
#[derive(Clone, Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) retry_delay: Option<Millis>,
    pub(crate) cause: String,
    pub(crate) outcome: Option<AttemptOutcome>,
    pub(crate) reason: RetryReason,
}

impl FailedAttempt {
    /// Derives the retry reason and the outcome to record for the target from a failed call.
    /// `streaming` is set once tokens have arrived.
    pub(crate) fn new(error: &CallError, streaming: bool, caller: u64) -> Self {
        let lost = if streaming {
            RetryReason::StreamBroken
        } else {
            RetryReason::TargetLost
        };
        let (reason, outcome) = match error {
            CallError::NotSent { .. } => (
                RetryReason::ConnectFailed,
                Some(AttemptOutcome::Unreachable),
            ),
            CallError::Status {
                status: 429 | 503, ..
            } => (RetryReason::TargetRefused, None),
            CallError::Silent { .. } if !streaming => (
                RetryReason::TargetSilent,
                Some(AttemptOutcome::Failed(caller)),
            ),
            _ => (lost, Some(AttemptOutcome::Failed(caller))),
        };
        let retry_delay = match error {
            CallError::Status { retry_after, .. } => retry_after.map(|s| Millis(s * 1_000)),
            _ => None,
        };
        Self {
            retry_delay,
            cause: error.to_string(),
            outcome,
            reason,
        }
    }
}

/// An admitted request and the target of its current attempt.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    _quota: QuotaGuard,
    target_guard: Option<TargetGuard>,
    pub(crate) assignment: Assignment,
    shared: Arc<Shared>,
    started: Millis,
    on_trial: bool,
    pub(crate) work: Work,
}

impl AdmittedRequest {
    /// Takes a request through limits, quarantine and queue, and begins its first attempt.
    pub(crate) fn begin(shared: &Arc<Shared>, mut work: Work) -> Result<Self, Refusal> {
        let arrived = shared.serving.now();
        let quota_guard = quota::begin(shared, &work.caller.workspace)?;
        let on_trial = wait_for_trial(shared, &work)?;
        let previously_tried = work.need.tried.clone();
        if on_trial {
            work.need.tried = shared.serving.suspicion.trial_targets();
        }
        let assignment = shared.serving.dispatch.admit(&work, arrived);
        let assignment = assignment.inspect_err(|_| {
            if on_trial {
                suspicion::end_trial(shared, work.need.fingerprint, false);
            }
        })?;
        work.need.tried = previously_tried;
        let started = shared.serving.now();
        let waited_ms = (started - arrived).0;
        shared
            .serving
            .record_step(work.id, Step::Admitted { waited_ms });
        let mut admitted = Self {
            _quota: quota_guard,
            target_guard: None,
            assignment,
            shared: Arc::clone(shared),
            started,
            on_trial,
            work,
        };
        admitted.begin_attempt();
        Ok(admitted)
    }

    /// Records that the current target answered.
    pub(crate) fn answered(&mut self) {
        let now = self.shared.serving.now();
        let dispatch = &self.shared.serving.dispatch;
        dispatch.record(&self.work, &self.assignment, AttemptOutcome::Answered, now);
        if std::mem::take(&mut self.on_trial) {
            suspicion::end_trial(&self.shared, self.work.need.fingerprint, true);
        }
    }

    /// Handles a failed attempt: begins another attempt, or returns the refusal.
    pub(crate) fn fail(&mut self, failed: FailedAttempt) -> Result<(), Refusal> {
        let serving = &self.shared.serving;
        let step = Step::Failed {
            cause: failed.cause,
            reason: failed.reason.code().to_owned(),
        };
        serving.record_step(self.work.id, step);
        if let Some(outcome) = failed.outcome {
            let now = serving.now();
            serving
                .dispatch
                .record(&self.work, &self.assignment, outcome, now);
        }
        self.report_failure(failed.reason);
        self.end_attempt();
        let decision = self.shared.serving.dispatch.fail(
            &mut self.work,
            &self.assignment.class,
            failed.reason,
            failed.retry_delay,
            self.shared.serving.now(),
        );
        match decision {
            RetryDecision::Refuse(refusal) => Err(refusal),
            RetryDecision::Retry(pause) => {
                thread::sleep(pause.duration());
                self.retry_on_other_target(failed.reason)
            }
        }
    }

    /// Extends the deadline of a request whose answer is already being streamed.
    pub(crate) fn extend(&mut self, span: Millis) {
        self.work.attempts.deadline = self.shared.serving.now() + span;
    }

    /// Reports a crash if the target broke off, since one of the requests in flight on it may have
    /// caused that. Any other failure ends a trial without a crash.
    fn report_failure(&mut self, reason: RetryReason) {
        if matches!(reason, RetryReason::StreamBroken | RetryReason::TargetLost) {
            let in_flight = self.shared.serving.dispatch.in_flight(self.assignment.id);
            suspicion::report_crash(
                &self.shared,
                self.assignment.id,
                &self.assignment.target,
                &in_flight,
            );
            self.on_trial = false;
        } else if std::mem::take(&mut self.on_trial) {
            suspicion::end_trial(&self.shared, self.work.need.fingerprint, false);
        }
    }

    /// Begins an attempt on another target.
    fn retry_on_other_target(&mut self, reason: RetryReason) -> Result<(), Refusal> {
        self.work.need.tried.push(self.assignment.id);
        let refused = |refusal: Refusal| Refusal {
            ran: if self.work.attempts.maybe_ran {
                godwitspool_types::Ran::Unknown
            } else {
                refusal.ran
            },
            ..refusal
        };
        self.on_trial = wait_for_trial(&self.shared, &self.work).map_err(refused)?;
        let assignment = wait_for_target(&self.shared, &self.work, self.on_trial);
        let assignment = assignment.map_err(|reason| {
            if self.on_trial {
                suspicion::end_trial(&self.shared, self.work.need.fingerprint, false);
            }
            refused(reason.into())
        })?;
        self.assignment = assignment;
        self.shared.serving.retries.count(reason.code());
        self.begin_attempt();
        Ok(())
    }

    /// Records the attempt and counts it on its target.
    fn begin_attempt(&mut self) {
        if self.on_trial {
            let request_fingerprint = self.work.need.fingerprint;
            self.shared.serving.record_step(self.work.id, Step::Trial);
            self.shared
                .serving
                .suspicion
                .record_trial(self.assignment.id, request_fingerprint);
        }
        let target_guard = self
            .shared
            .track_assigned(&self.assignment.target, Some(self.assignment.id));
        self.target_guard = Some(target_guard);
        let step = Step::Sent {
            attempt: self.work.attempts.retried + self.work.attempts.resumed,
            target: self.assignment.target.clone(),
        };
        self.shared.serving.record_step(self.work.id, step);
    }

    fn end_attempt(&mut self) {
        if self.target_guard.take().is_some() {
            let request_fingerprint = self.work.need.fingerprint;
            self.shared
                .serving
                .dispatch
                .remove_in_flight(self.assignment.id, request_fingerprint);
        }
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.end_attempt();
        if self.on_trial {
            suspicion::end_trial(&self.shared, self.work.need.fingerprint, false);
        }
        let now = self.shared.serving.now();
        let held = now - self.started;
        self.shared.serving.dispatch.finish(&self.work, held, now);
    }
}

/// Waits until a suspect may run. Returns whether the request is on trial.
fn wait_for_trial(shared: &Arc<Shared>, work: &Work) -> Result<bool, Refusal> {
    loop {
        match suspicion::request_trial(shared, work.need.fingerprint) {
            Err(refusal)
                if refusal.reason == Reason::SuspectBusy
                    && shared.serving.now() < work.attempts.deadline =>
            {
                thread::sleep(POLL_INTERVAL);
            }
            outcome => return outcome,
        }
    }
}

/// Waits for another target with room until the deadline. Targets that were tried before are chosen
/// only if there is no other.
fn wait_for_target(
    shared: &Arc<Shared>,
    work: &Work,
    on_trial: bool,
) -> Result<Assignment, Reason> {
    let dispatch = &shared.serving.dispatch;
    loop {
        let now = shared.serving.now();
        let avoided = if on_trial {
            shared.serving.suspicion.trial_targets()
        } else {
            Vec::new()
        };
        let mut need = work.need.clone();
        need.tried.extend(&avoided);
        let mut found = dispatch.choose(&need, now);
        if found
            .as_ref()
            .is_err_and(|reason| *reason == Reason::NoTarget)
        {
            need.tried = avoided;
            found = dispatch.choose(&need, now);
        }
        match found {
            Err(_) if now < work.attempts.deadline => thread::sleep(POLL_INTERVAL),
            found => return found,
        }
    }
}
