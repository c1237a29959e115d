//! Requests suspected of crashing targets. The home host of a fingerprint collects blame, grants
//! trials and announces the result to all hosts.

use std::{
    collections::BTreeSet,
    sync::{Arc, PoisonError},
    thread,
};

use godwitspool_connection::messages::{ServingAnswer, ServingRequest, SuspectRecord, TrialReply};
use godwitspool_request::{
    Blame, CrashRecord, Reason, Refusal, SuspectAction, SuspectEvent, SuspectList, SuspectStatus,
    Suspects, TargetId, split_blame,
};
use godwitspool_sync::{Mutex, MutexGuard};
use godwitspool_types::{HostName, Millis, TargetName};

use crate::process::{serving, shared::Shared};

/// Failures of several requests on one target within this time count as one crash.
const CRASH_WINDOW: Millis = Millis(500);

#[derive(Debug, Default)]
struct State {
    list: SuspectList,
    suspects: Suspects,
    /// Crashes that requests of this host noticed within the last [`CRASH_WINDOW`].
    recent_crashes: Vec<(TargetId, Millis)>,
    /// Targets on which a suspect runs on trial from this host, with its fingerprint.
    trials: Vec<(TargetId, u64)>,
}

/// What is known of a crash when a request notices it.
enum CrashReport {
    /// Another request has reported the crash before.
    Duplicate,
    /// The suspects with these fingerprints were on trial on the target.
    InTrial(Vec<u64>),
    /// No suspect was on trial on the target.
    New,
}

/// Suspects announced to this host, and the suspects whose home is this host.
#[derive(Debug, Default)]
pub(crate) struct Suspicion(Mutex<State>);

impl Suspicion {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the targets with a trial, which a trial of another suspect must avoid.
    pub(crate) fn trial_targets(&self) -> Vec<TargetId> {
        self.lock().trials.iter().map(|(id, _)| *id).collect()
    }

    /// Records on which target a suspect runs on trial.
    pub(crate) fn record_trial(&self, id: TargetId, fingerprint: u64) {
        self.lock().trials.push((id, fingerprint));
    }

    /// Records a crash and ends the trials on the target.
    fn record_crash(&self, id: TargetId, now: Millis) -> CrashReport {
        let mut state = self.lock();
        let on_target = |(other, _): &(TargetId, u64)| *other == id;
        let trials: Vec<u64> = state
            .trials
            .iter()
            .filter(|trial| on_target(trial))
            .map(|(_, fingerprint)| *fingerprint)
            .collect();
        state.trials.retain(|trial| !on_target(trial));
        state
            .recent_crashes
            .retain(|(_, when)| now < *when + CRASH_WINDOW);
        let reported = state.recent_crashes.iter().any(|(other, _)| *other == id);
        state.recent_crashes.push((id, now));
        if !trials.is_empty() {
            CrashReport::InTrial(trials)
        } else if reported {
            CrashReport::Duplicate
        } else {
            CrashReport::New
        }
    }

    /// Returns the fingerprints that are quarantined.
    pub(crate) fn quarantined(&self, now: Millis) -> BTreeSet<u64> {
        let state = self.lock();
        let known = state.list.quarantined(now).into_iter();
        known.chain(state.suspects.quarantined(now)).collect()
    }
}

/// Checks whether a request may run, and returns whether it is on trial.
///
/// A suspect runs only as a trial that its home host grants. It doesn't run while the home host is
/// unreachable.
pub(crate) fn request_trial(shared: &Arc<Shared>, fingerprint: u64) -> Result<bool, Refusal> {
    let now = shared.serving.now();
    let status = shared
        .serving
        .suspicion
        .lock()
        .list
        .status(fingerprint, now);
    let status = if shared.view().quarantined.contains(&fingerprint) {
        SuspectStatus::Quarantined
    } else {
        status
    };
    match status {
        SuspectStatus::Clear => return Ok(false),
        SuspectStatus::Quarantined => return Err(Reason::Quarantined.into()),
        SuspectStatus::Suspect => {}
    }
    let record = shared.serving.suspicion.lock().list.record(fingerprint);
    let request = ServingRequest::AskTrial {
        host: shared.settings.host.clone(),
        known: to_wire(fingerprint, &record, now),
    };
    let home = shared.serving.home(shared, fingerprint);
    match serving::call(shared, &home, request) {
        Some(ServingAnswer::Trial(TrialReply::Try)) => Ok(true),
        Some(ServingAnswer::Trial(TrialReply::Refuse(left_ms))) => {
            Err(Refusal::from(Reason::Quarantined).with_retry(Millis(left_ms)))
        }
        _ => Err(Reason::SuspectBusy.into()),
    }
}

/// Reports the crash of a target to the home hosts of the requests in flight on it.
pub(crate) fn report_crash(
    shared: &Arc<Shared>,
    id: TargetId,
    target: &TargetName,
    in_flight: &[u64],
) {
    let trials = match shared
        .serving
        .suspicion
        .record_crash(id, shared.serving.now())
    {
        CrashReport::Duplicate => return,
        CrashReport::InTrial(fingerprints) => fingerprints,
        CrashReport::New => Vec::new(),
    };
    for blame in split_blame(target, in_flight, &trials) {
        let request = ServingRequest::Blame {
            part: blame.part,
            print: blame.fingerprint,
            target: blame.target.clone(),
        };
        let home = shared.serving.home(shared, blame.fingerprint);
        if serving::call(shared, &home, request).is_none() {
            log::warn!(home:%; "can't report a crash to the home host of a suspect");
        }
        // The next attempt on this host must find the suspicion before the announcement arrives.
        let now = shared.serving.now();
        let mut state = shared.serving.suspicion.lock();
        if state.list.status(blame.fingerprint, now) == SuspectStatus::Clear {
            state
                .list
                .announce(blame.fingerprint, CrashRecord::default(), now);
        }
    }
}

/// Ends a trial without a crash.
pub(crate) fn end_trial(shared: &Arc<Shared>, fingerprint: u64, answered: bool) {
    shared
        .serving
        .suspicion
        .lock()
        .trials
        .retain(|(_, other)| *other != fingerprint);
    let home = shared.serving.home(shared, fingerprint);
    let request = ServingRequest::EndTrial {
        answered,
        print: fingerprint,
    };
    if serving::call(shared, &home, request).is_none() {
        log::warn!(home:%; "can't report the end of a trial to the home host");
    }
}

/// Lifts a quarantine on every host.
pub(crate) fn lift(shared: &Arc<Shared>, fingerprint: u64) {
    for host in shared.serving.members().iter() {
        serving::call(shared, host, ServingRequest::Lift(fingerprint));
    }
    shared.serving.suspicion.lock().list.clear(fingerprint);
}

/// Answers a request for a trial of a suspect whose home is this host.
pub(crate) fn answer_trial(
    shared: &Arc<Shared>,
    host: HostName,
    known: SuspectRecord,
) -> TrialReply {
    let now = shared.serving.now();
    let fingerprint = known.print;
    let known = from_wire(known, now);
    let event = SuspectEvent::TrialRequested {
        host,
        known,
        fingerprint,
    };
    let actions = shared.serving.suspicion.lock().suspects.decide(event, now);
    match actions.first() {
        Some(SuspectAction::Try) => TrialReply::Try,
        Some(SuspectAction::Refuse(left)) => TrialReply::Refuse(left.0),
        _ => TrialReply::Busy,
    }
}

/// Handles an event of a suspect whose home is this host, and announces the result to all hosts.
pub(crate) fn handle_event(shared: &Arc<Shared>, event: SuspectEvent) {
    let now = shared.serving.now();
    let actions = shared.serving.suspicion.lock().suspects.decide(event, now);
    for action in actions {
        let announcement = match action {
            SuspectAction::Announce(fingerprint, record) => {
                ServingRequest::Announce(to_wire(fingerprint, &record, now))
            }
            SuspectAction::Clear(fingerprint) => ServingRequest::Clear(fingerprint),
            _ => continue,
        };
        apply(shared, &announcement);
        announce_to_others(shared, announcement);
    }
}

/// Applies an announcement of a suspect or its clearance.
pub(crate) fn apply(shared: &Arc<Shared>, announcement: &ServingRequest) {
    let now = shared.serving.now();
    let mut state = shared.serving.suspicion.lock();
    match announcement {
        ServingRequest::Announce(record) => {
            let fingerprint = record.print;
            let record = from_wire(record.clone(), now);
            state.list.announce(fingerprint, record, now);
        }
        ServingRequest::Clear(fingerprint) => state.list.clear(*fingerprint),
        _ => {}
    }
}

/// Returns the event for a blame message.
pub(crate) fn blamed(part: u32, fingerprint: u64, target: TargetName) -> SuspectEvent {
    SuspectEvent::Blamed(Blame {
        part,
        fingerprint,
        target,
    })
}

/// Sends an announcement to all other hosts in a thread of its own, without waiting for them.
fn announce_to_others(shared: &Arc<Shared>, announcement: ServingRequest) {
    let members = shared.serving.members();
    let others = members.iter().filter(|host| **host != shared.settings.host);
    let others: Vec<HostName> = others.cloned().collect();
    if others.is_empty() {
        return;
    }
    let shared = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("suspect-news".to_owned())
        .spawn(move || {
            for host in others {
                serving::call(&shared, &host, announcement.clone());
            }
        });
    if let Err(error) = spawned {
        log::error!("can't start the thread that announces a suspect: {error}");
    }
}

fn to_wire(fingerprint: u64, record: &CrashRecord, now: Millis) -> SuspectRecord {
    SuspectRecord {
        blame: record.blame,
        crashed: record.crashed.iter().cloned().collect(),
        crashes: record.crashes,
        left_ms: record.until.map(|until| (until - now).0),
        print: fingerprint,
    }
}

fn from_wire(record: SuspectRecord, now: Millis) -> CrashRecord {
    CrashRecord {
        blame: record.blame,
        crashed: record.crashed.into_iter().collect(),
        crashes: record.crashes,
        until: record.left_ms.map(|left| now + Millis(left)),
    }
}
