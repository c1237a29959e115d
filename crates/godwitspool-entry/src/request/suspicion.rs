//! Requests suspected of crashing targets: trials by their home host, news to all hosts.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
};

use godwitspool_connection::messages::{ServingAnswer, ServingRequest, SuspectRecord, TrialReply};
use godwitspool_request::{
    Blame, CrashRecord, Reason, Refusal, SuspectAction, SuspectEvent, SuspectList, SuspectStatus,
    Suspects, TargetId, split_blame,
};
use godwitspool_types::{HostName, Millis, TargetName};

use crate::process::{serving, shared::Shared};

/// Span within which the failures of several requests on a target are one crash.
const ONE_CRASH: Millis = Millis(500);

#[derive(Debug, Default)]
struct State {
    list: SuspectList,
    suspects: Suspects,
    /// Crashes that this host told of lately.
    told: Vec<(TargetId, Millis)>,
    /// Targets on which a suspect of this host is on trial.
    trials: Vec<(TargetId, u64)>,
}

/// How a crash is noticed.
enum Noticed {
    /// Another request has told of it.
    Again,
    /// This suspect was on trial.
    InTrial(u64),
    /// No suspect was on trial.
    New,
}

/// What this host knows of suspects, and those of which it is the home.
#[derive(Debug, Default)]
pub(crate) struct Suspicion(Mutex<State>);

impl Suspicion {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the targets that a further suspect keeps off.
    pub(crate) fn trial_targets(&self) -> Vec<TargetId> {
        self.lock().trials.iter().map(|(id, _)| *id).collect()
    }

    /// Notes on which target a suspect is on trial.
    pub(crate) fn note_trial(&self, id: TargetId, print: u64) {
        self.lock().trials.push((id, print));
    }

    /// Notices a crash and returns the suspect that was on trial.
    fn notice(&self, id: TargetId, now: Millis) -> Noticed {
        let mut state = self.lock();
        let trial = state.trials.iter().find(|(other, _)| *other == id);
        let trial = trial.map(|(_, print)| *print);
        state.trials.retain(|(other, _)| *other != id);
        state.told.retain(|(_, when)| now < *when + ONE_CRASH);
        let told = state.told.iter().any(|(other, _)| *other == id);
        state.told.push((id, now));
        match trial {
            Some(print) => Noticed::InTrial(print),
            None if told => Noticed::Again,
            None => Noticed::New,
        }
    }

    /// Returns the fingerprints that are quarantined.
    pub(crate) fn quarantined(&self, now: Millis) -> BTreeSet<u64> {
        let state = self.lock();
        let known = state.list.quarantined(now).into_iter();
        known.chain(state.suspects.quarantined(now)).collect()
    }
}

/// Tells whether a request runs freely or on trial.
///
/// A suspect runs only when its home host says so; when the home can't be asked it isn't run.
pub(crate) fn enter(shared: &Arc<Shared>, print: u64) -> Result<bool, Refusal> {
    let now = shared.serving.now();
    let standing = shared.serving.suspicion.lock().list.status(print, now);
    let standing = if shared.view().quarantined.contains(&print) {
        SuspectStatus::Quarantined
    } else {
        standing
    };
    match standing {
        SuspectStatus::Clear => return Ok(false),
        SuspectStatus::Quarantined => return Err(Reason::Quarantined.into()),
        SuspectStatus::Suspect => {}
    }
    let record = shared.serving.suspicion.lock().list.record(print);
    let request = ServingRequest::AskTrial {
        host: shared.settings.host.clone(),
        known: to_wire(print, &record, now),
    };
    let home = shared.serving.home(shared, print);
    match serving::call(shared, &home, request) {
        Some(ServingAnswer::Trial(TrialReply::Try)) => Ok(true),
        Some(ServingAnswer::Trial(TrialReply::Refuse(left_ms))) => {
            Err(Refusal::from(Reason::Quarantined).with_retry(Millis(left_ms)))
        }
        _ => Err(Reason::SuspectBusy.into()),
    }
}

/// Tells the homes of the requests in flight that their target crashed.
pub(crate) fn crashed(shared: &Arc<Shared>, id: TargetId, target: &TargetName, flying: &[u64]) {
    let trial = match shared.serving.suspicion.notice(id, shared.serving.now()) {
        Noticed::Again => return,
        Noticed::InTrial(print) => Some(print),
        Noticed::New => None,
    };
    for blame in split_blame(target, flying, trial) {
        let request = ServingRequest::Blame {
            part: blame.part,
            print: blame.fingerprint,
            target: blame.target.clone(),
        };
        let home = shared.serving.home(shared, blame.fingerprint);
        if serving::call(shared, &home, request).is_none() {
            log::warn!(home:%; "home of a suspect is not reached");
        }
        // The next attempt of this host has to know, also when the news is late.
        let now = shared.serving.now();
        let mut state = shared.serving.suspicion.lock();
        if state.list.status(blame.fingerprint, now) == SuspectStatus::Clear {
            state
                .list
                .announce(blame.fingerprint, CrashRecord::default(), now);
        }
    }
}

/// Ends a trial with no crash.
pub(crate) fn leave(shared: &Arc<Shared>, print: u64, answered: bool) {
    shared
        .serving
        .suspicion
        .lock()
        .trials
        .retain(|(_, other)| *other != print);
    let home = shared.serving.home(shared, print);
    let request = ServingRequest::EndTrial { answered, print };
    if serving::call(shared, &home, request).is_none() {
        log::warn!(home:%; "end of a trial is not told");
    }
}

/// Lifts a quarantine on every host.
pub(crate) fn lift(shared: &Arc<Shared>, print: u64) {
    for host in shared.serving.members().iter() {
        serving::call(shared, host, ServingRequest::Lift(print));
    }
    shared.serving.suspicion.lock().list.clear(print);
}

// ---------------------------------------------------------------------------
// Of other hosts

/// Answers the asking for a trial.
pub(crate) fn answer_trial(
    shared: &Arc<Shared>,
    host: HostName,
    known: SuspectRecord,
) -> TrialReply {
    let now = shared.serving.now();
    let print = known.print;
    let known = from_wire(known, now);
    let event = SuspectEvent::TrialRequested {
        host,
        known,
        fingerprint: print,
    };
    let actions = shared.serving.suspicion.lock().suspects.decide(event, now);
    match actions.first() {
        Some(SuspectAction::Try) => TrialReply::Try,
        Some(SuspectAction::Refuse(left)) => TrialReply::Refuse(left.0),
        _ => TrialReply::Busy,
    }
}

/// Takes blame, the end of a trial or the lifting of a quarantine, as the home.
pub(crate) fn settle(shared: &Arc<Shared>, event: SuspectEvent) {
    let now = shared.serving.now();
    let actions = shared.serving.suspicion.lock().suspects.decide(event, now);
    for action in actions {
        let news = match action {
            SuspectAction::Announce(print, record) => {
                ServingRequest::Announce(to_wire(print, &record, now))
            }
            SuspectAction::Clear(print) => ServingRequest::Clear(print),
            _ => continue,
        };
        hear(shared, &news);
        spread(shared, news);
    }
}

/// Takes news of a suspect.
pub(crate) fn hear(shared: &Arc<Shared>, news: &ServingRequest) {
    let now = shared.serving.now();
    let mut state = shared.serving.suspicion.lock();
    match news {
        ServingRequest::Announce(record) => {
            let print = record.print;
            let record = from_wire(record.clone(), now);
            state.list.announce(print, record, now);
        }
        ServingRequest::Clear(print) => state.list.clear(*print),
        _ => {}
    }
}

/// Makes a blame of its message.
pub(crate) fn blame(part: u32, print: u64, target: TargetName) -> SuspectEvent {
    SuspectEvent::Blamed(Blame {
        part,
        fingerprint: print,
        target,
    })
}

/// Tells all other hosts, without waiting for them.
fn spread(shared: &Arc<Shared>, news: ServingRequest) {
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
                serving::call(&shared, &host, news.clone());
            }
        });
    if let Err(error) = spawned {
        log::error!("no thread for news of a suspect: {error}");
    }
}

fn to_wire(print: u64, record: &CrashRecord, now: Millis) -> SuspectRecord {
    SuspectRecord {
        blame: record.blame,
        crashed: record.crashed.iter().cloned().collect(),
        crashes: record.crashes,
        left_ms: record.until.map(|until| (until - now).0),
        print,
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
