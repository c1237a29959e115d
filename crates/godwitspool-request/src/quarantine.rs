//! Detection and quarantine of requests that crash targets.
//!
//! When a target crashes, every request in flight on it becomes a suspect and gets a part of the
//! blame. Each fingerprint has one home host, found by rendezvous hashing. The home lets a suspect
//! run only on trial: one copy at a time in the whole fleet, on a target without other suspects. A
//! suspect that is answered is cleared. A suspect is quarantined after three crashes if its blame
//! adds up to two crashes in trials. One crash in a trial isn't enough, because targets also crash
//! for other reasons, and a harmless suspect can be on trial at that moment.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_types::{HostName, Millis, TargetName};

/// Blame for one crash, in thousandths of a crash.
pub const BLAME_PER_CRASH: u32 = 1_000;

/// A request's part of the blame for a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Blame {
    /// Part of the blame, in thousandths of a crash.
    pub part: u32,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Target that crashed.
    pub target: TargetName,
}

/// The crashes in which a suspect was involved.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashRecord {
    /// Sum of its parts of the blame, in thousandths of a crash.
    pub blame: u32,
    /// Targets that crashed with the request in flight.
    pub crashed: BTreeSet<TargetName>,
    /// Number of crashes with the request in flight, which may include several of one target.
    pub crashes: u32,
    /// End of the quarantine; `None` if the request was never quarantined.
    pub until: Option<Millis>,
}

/// Whether requests with a fingerprint may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStatus {
    /// The request isn't suspected and runs normally.
    Clear,
    /// The request is refused.
    Quarantined,
    /// The request runs only on trial.
    Suspect,
}

/// Splits the blame for a crash evenly among the requests in flight on the target.
///
/// If some of them were on trial, those get all of the blame and the others get none. Several may be on
/// trial on one target, since hosts and requests choose targets at the same time; each of their trials
/// ends with its blame.
///
/// ```
/// use godwitspool_request::split_blame;
/// use godwitspool_types::TargetName;
///
/// let target = TargetName::from("t1");
/// let blames = split_blame(&target, &[7, 8], &[]);
/// assert_eq!(blames.iter().map(|blame| blame.part).collect::<Vec<_>>(), [500, 500]);
/// assert_eq!(split_blame(&target, &[7, 8], &[8]).len(), 1);
/// ```
pub fn split_blame(target: &TargetName, in_flight: &[u64], trials: &[u64]) -> Vec<Blame> {
    let blamed = if trials.is_empty() { in_flight } else { trials };
    let fingerprints: BTreeSet<u64> = blamed.iter().copied().collect();
    let part = BLAME_PER_CRASH / fingerprints.len().max(1) as u32;
    let blame = |fingerprint| Blame {
        part,
        fingerprint,
        target: target.clone(),
    };
    fingerprints.into_iter().map(blame).collect()
}

/// A message from a host to the home host of a fingerprint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SuspectEvent {
    /// A host asks to run a copy of a suspect.
    TrialRequested {
        /// Host that asks.
        host: HostName,
        /// What the host knows of the suspect, for a home that has just taken over.
        known: CrashRecord,
        /// Fingerprint of the suspect.
        fingerprint: u64,
    },
    /// A target crashed with the request in flight.
    Blamed(Blame),
    /// An operator lifts the quarantine of a fingerprint.
    Lift(u64),
    /// A trial ended without a crash.
    TrialEnded {
        /// Whether the request was answered, which clears it.
        answered: bool,
        /// Fingerprint of the suspect.
        fingerprint: u64,
    },
}

/// A reply of the home host, or a notification that it sends to all hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SuspectAction {
    /// Notifies all hosts that the fingerprint is suspected or quarantined.
    Announce(u64, CrashRecord),
    /// Replies that another copy is on trial.
    Busy,
    /// Notifies all hosts that the fingerprint is no longer suspected.
    Clear(u64),
    /// Replies that the request stays quarantined for this long.
    Refuse(Millis),
    /// Replies that the host may run its copy on a target without other suspects.
    Try,
}

#[derive(Clone, Debug, Default)]
struct Case {
    record: CrashRecord,
    updated: Millis,
    trial: Option<Millis>,
}

/// The suspects whose home is this host.
///
/// ```
/// use godwitspool_request::{Blame, SuspectAction, SuspectEvent, Suspects};
/// use godwitspool_types::{Millis, TargetName};
///
/// let mut suspects = Suspects::default();
/// for target in ["t1", "t2", "t3"] {
///     let blame = Blame { part: 1_000, fingerprint: 7, target: TargetName::from(target) };
///     suspects.decide(SuspectEvent::Blamed(blame), Millis(0));
/// }
/// assert_eq!(suspects.quarantined(Millis(1)), [7]);
/// assert!(suspects.quarantined(Millis(600_001)).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    cases: BTreeMap<u64, Case>,
}

impl Suspects {
    /// How long a request stays in quarantine.
    pub const QUARANTINE_PERIOD: Millis = Millis(600_000);
    /// How long a suspect is kept after its last crash.
    const RETENTION: Millis = Millis(600_000);
    /// Time after which a trial is over if its host hasn't reported the end.
    const TRIAL_TIMEOUT: Millis = Millis(60_000);
    /// Number of crashes from which a request is quarantined, if it also has [`Self::MIN_BLAME`].
    const MIN_CRASHES: u32 = 3;
    /// Blame from which a request is quarantined: that of crashes in two trials.
    const MIN_BLAME: u32 = 2 * BLAME_PER_CRASH;
    /// Maximum number of suspects kept.
    const MAX_SUSPECTS: usize = 65_536;

    /// Handles an event and returns the resulting actions.
    pub fn decide(&mut self, event: SuspectEvent, now: Millis) -> Vec<SuspectAction> {
        self.cases
            .retain(|_, case| now < case.updated + Self::RETENTION || case.on_trial(now));
        match event {
            SuspectEvent::TrialRequested {
                known, fingerprint, ..
            } => vec![self.ask(fingerprint, known, now)],
            SuspectEvent::Blamed(blame) => self.blame(&blame, now),
            SuspectEvent::Lift(fingerprint) => self.clear(fingerprint),
            SuspectEvent::TrialEnded {
                answered,
                fingerprint,
            } => self.end_trial(fingerprint, answered),
        }
    }

    /// Returns the fingerprints that are quarantined.
    pub fn quarantined(&self, now: Millis) -> Vec<u64> {
        self.cases
            .iter()
            .filter(|(_, case)| case.record.until.is_some_and(|until| now < until))
            .map(|(&fingerprint, _)| fingerprint)
            .collect()
    }

    fn ask(&mut self, fingerprint: u64, known: CrashRecord, now: Millis) -> SuspectAction {
        let case = self.cases.entry(fingerprint).or_insert_with(|| Case {
            updated: now,
            ..Case::default()
        });
        case.record.merge(known);
        if let Some(until) = case.record.until.filter(|&until| now < until) {
            return SuspectAction::Refuse(until - now);
        }
        if case.on_trial(now) {
            return SuspectAction::Busy;
        }
        case.trial = Some(now + Self::TRIAL_TIMEOUT);
        SuspectAction::Try
    }

    fn blame(&mut self, blame: &Blame, now: Millis) -> Vec<SuspectAction> {
        if self.cases.len() >= Self::MAX_SUSPECTS && !self.cases.contains_key(&blame.fingerprint) {
            return Vec::new();
        }
        let case = self.cases.entry(blame.fingerprint).or_default();
        // Several hosts may report the same crash, so each target counts once. The first report
        // during a trial ends the trial and counts even if the target crashed before.
        let in_trial = case.on_trial(now);
        case.updated = now;
        case.trial = None;
        let record = &mut case.record;
        if record.crashed.insert(blame.target.clone()) || in_trial {
            record.blame += blame.part;
            record.crashes += 1;
        }
        if record.crashes >= Self::MIN_CRASHES && record.blame >= Self::MIN_BLAME {
            record.until = Some(now + Self::QUARANTINE_PERIOD);
        }
        vec![SuspectAction::Announce(blame.fingerprint, record.clone())]
    }

    fn end_trial(&mut self, fingerprint: u64, answered: bool) -> Vec<SuspectAction> {
        if answered {
            return self.clear(fingerprint);
        }
        if let Some(case) = self.cases.get_mut(&fingerprint) {
            case.trial = None;
        }
        Vec::new()
    }

    fn clear(&mut self, fingerprint: u64) -> Vec<SuspectAction> {
        let known = self.cases.remove(&fingerprint).is_some();
        if known {
            vec![SuspectAction::Clear(fingerprint)]
        } else {
            Vec::new()
        }
    }
}

impl Case {
    fn on_trial(&self, now: Millis) -> bool {
        self.trial.is_some_and(|until| now < until)
    }
}

impl CrashRecord {
    /// Merges another host's record. The larger values win, so merging never reduces the blame.
    fn merge(&mut self, other: Self) {
        self.blame = self.blame.max(other.blame);
        self.crashed.extend(other.crashed);
        self.crashes = self.crashes.max(other.crashes);
        self.until = self.until.max(other.until);
    }
}

/// The suspects that home hosts have announced to this host.
///
/// ```
/// use godwitspool_request::{CrashRecord, SuspectList, SuspectStatus};
/// use godwitspool_types::Millis;
///
/// let mut list = SuspectList::default();
/// list.announce(7, CrashRecord::default(), Millis(0));
/// assert_eq!(list.status(7, Millis(1)), SuspectStatus::Suspect);
/// assert_eq!(list.status(8, Millis(1)), SuspectStatus::Clear);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuspectList {
    records: BTreeMap<u64, (CrashRecord, Millis)>,
}

impl SuspectList {
    /// Stores an announced record.
    ///
    /// `record.until` is a time of this host's clock: the receiver converts it from the remaining
    /// time in the message.
    pub fn announce(&mut self, fingerprint: u64, record: CrashRecord, now: Millis) {
        self.records.retain(|_, (_, expiry)| now < *expiry);
        if self.records.len() < Suspects::MAX_SUSPECTS || self.records.contains_key(&fingerprint) {
            self.records
                .insert(fingerprint, (record, now + Suspects::RETENTION));
        }
    }

    /// Removes a fingerprint that is no longer suspected.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Returns whether requests with a fingerprint may run.
    pub fn status(&self, fingerprint: u64, now: Millis) -> SuspectStatus {
        match self.records.get(&fingerprint) {
            Some((record, _)) if record.until.is_some_and(|until| now < until) => {
                SuspectStatus::Quarantined
            }
            Some((_, expiry)) if now < *expiry => SuspectStatus::Suspect,
            _ => SuspectStatus::Clear,
        }
    }

    /// Returns the record of a fingerprint, to be sent to its home host with a trial request.
    pub fn record(&self, fingerprint: u64) -> CrashRecord {
        self.records
            .get(&fingerprint)
            .map_or_else(CrashRecord::default, |(record, _)| record.clone())
    }

    /// Returns the fingerprints that are quarantined.
    pub fn quarantined(&self, now: Millis) -> Vec<u64> {
        let fingerprints = self.records.keys().copied();
        fingerprints
            .filter(|&fingerprint| self.status(fingerprint, now) == SuspectStatus::Quarantined)
            .collect()
    }
}
