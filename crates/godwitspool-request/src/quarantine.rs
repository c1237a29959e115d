//! Requests that crash targets: found, tried one at a time, quarantined.
//!
//! When a target crashes, every request in flight on it is a suspect and bears a part of the blame.
//! A suspect's fingerprint has one home host by rendezvous, which lets one copy run at a time in the
//! whole fleet, on a target with no other suspect. A suspect that crashes two targets so, and with
//! them three in all, is quarantined; one that is answered is cleared. One crash in a trial isn't
//! enough: targets crash by themselves too, and innocents are on trial then.

use std::collections::{BTreeMap, BTreeSet};

use godwitspool_types::{HostName, Millis, TargetName};

/// Blame for a whole crash.
pub const BLAME_PER_CRASH: u32 = 1_000;

/// A request's part in a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Blame {
    /// Part of the blame, in thousandths.
    pub part: u32,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Target that crashed.
    pub target: TargetName,
}

/// What is known of a suspect.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashRecord {
    /// Blame, in thousandths of a crash.
    pub blame: u32,
    /// Targets that crashed with the request in flight.
    pub crashed: BTreeSet<TargetName>,
    /// Crashes with the request in flight; one target may crash again.
    pub crashes: u32,
    /// Quarantined until then, when it is.
    pub until: Option<Millis>,
}

/// Where a fingerprint stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStatus {
    /// Nothing is held against it.
    Clear,
    /// It isn't run.
    Quarantined,
    /// It runs only on trial.
    Suspect,
}

/// Shares out the blame for a crash among the requests in flight on the target.
///
/// When one of them was on trial it bears the blame alone, and those beside it none.
///
/// ```
/// use godwitspool_request::split_blame;
/// use godwitspool_types::TargetName;
///
/// let target = TargetName::from("t1");
/// let blames = split_blame(&target, &[7, 8], None);
/// assert_eq!(blames.iter().map(|blame| blame.part).collect::<Vec<_>>(), [500, 500]);
/// assert_eq!(split_blame(&target, &[7, 8], Some(8)).len(), 1);
/// ```
pub fn split_blame(target: &TargetName, in_flight: &[u64], trial: Option<u64>) -> Vec<Blame> {
    let fingerprints: BTreeSet<u64> = match trial {
        Some(fingerprint) => [fingerprint].into(),
        None => in_flight.iter().copied().collect(),
    };
    let part = BLAME_PER_CRASH / fingerprints.len().max(1) as u32;
    let blame = |fingerprint| Blame {
        part,
        fingerprint,
        target: target.clone(),
    };
    fingerprints.into_iter().map(blame).collect()
}

// ---------------------------------------------------------------------------

/// What a host tells the home of a fingerprint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SuspectEvent {
    /// A host wants to run a copy.
    TrialRequested {
        /// The host.
        host: HostName,
        /// What the host knows, in case this home is new.
        known: CrashRecord,
        /// Fingerprint.
        fingerprint: u64,
    },
    /// A target crashed with the request in flight.
    Blamed(Blame),
    /// An operator lifts the quarantine.
    Lift(u64),
    /// The trial ended with no crash.
    TrialEnded {
        /// Whether the request was answered.
        answered: bool,
        /// Fingerprint.
        fingerprint: u64,
    },
}

/// What the home answers, and what it tells all hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SuspectAction {
    /// All hosts are told where the fingerprint stands.
    Announce(u64, CrashRecord),
    /// Another copy is on trial.
    Busy,
    /// All hosts forget the fingerprint.
    Clear(u64),
    /// The request is quarantined for this long.
    Refuse(Millis),
    /// The host may run its copy, by itself among suspects.
    Try,
}

#[derive(Clone, Debug, Default)]
struct Case {
    record: CrashRecord,
    seen: Millis,
    trial: Option<Millis>,
}

/// The suspects of which a host is the home.
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
    /// How long a request stays quarantined.
    pub const QUARANTINE: Millis = Millis(600_000);
    /// How long a suspect is remembered.
    const MEMORY: Millis = Millis(600_000);
    /// How long a trial holds when its host says nothing more.
    const TRIAL: Millis = Millis(60_000);
    /// Crashes at which a request is quarantined, when it bears enough of the blame.
    const CRASHES: u32 = 3;
    /// Blame at which a request is quarantined: that of two trials.
    const GUILT: u32 = 2 * BLAME_PER_CRASH;
    /// Most suspects that are remembered.
    const MOST: usize = 65_536;

    /// Decides what an event leads to.
    pub fn decide(&mut self, event: SuspectEvent, now: Millis) -> Vec<SuspectAction> {
        self.cases
            .retain(|_, case| now < case.seen + Self::MEMORY || case.on_trial(now));
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
            seen: now,
            ..Case::default()
        });
        case.record.merge(known);
        if let Some(until) = case.record.until.filter(|&until| now < until) {
            return SuspectAction::Refuse(until - now);
        }
        if case.on_trial(now) {
            return SuspectAction::Busy;
        }
        case.trial = Some(now + Self::TRIAL);
        SuspectAction::Try
    }

    fn blame(&mut self, blame: &Blame, now: Millis) -> Vec<SuspectAction> {
        if self.cases.len() >= Self::MOST && !self.cases.contains_key(&blame.fingerprint) {
            return Vec::new();
        }
        let case = self.cases.entry(blame.fingerprint).or_default();
        // Of one crash several hosts tell, but a trial has only one end.
        let another = case.on_trial(now);
        case.seen = now;
        case.trial = None;
        let record = &mut case.record;
        if record.crashed.insert(blame.target.clone()) || another {
            record.blame += blame.part;
            record.crashes += 1;
        }
        if record.crashes >= Self::CRASHES && record.blame >= Self::GUILT {
            record.until = Some(now + Self::QUARANTINE);
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
    /// Adds what another host knows; it never takes blame away.
    fn merge(&mut self, other: Self) {
        self.blame = self.blame.max(other.blame);
        self.crashed.extend(other.crashed);
        self.crashes = self.crashes.max(other.crashes);
        self.until = self.until.max(other.until);
    }
}

// ---------------------------------------------------------------------------

/// What a host has been told of suspects.
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
    /// Takes an announcement.
    ///
    /// `until` in the record counts on this host's clock: the receiver turns the span that it was
    /// sent into a time.
    pub fn announce(&mut self, fingerprint: u64, record: CrashRecord, now: Millis) {
        self.records.retain(|_, (_, forget)| now < *forget);
        if self.records.len() < Suspects::MOST || self.records.contains_key(&fingerprint) {
            self.records
                .insert(fingerprint, (record, now + Suspects::MEMORY));
        }
    }

    /// Forgets a fingerprint.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Tells where a fingerprint stands.
    pub fn status(&self, fingerprint: u64, now: Millis) -> SuspectStatus {
        match self.records.get(&fingerprint) {
            Some((record, _)) if record.until.is_some_and(|until| now < until) => {
                SuspectStatus::Quarantined
            }
            Some((_, forget)) if now < *forget => SuspectStatus::Suspect,
            _ => SuspectStatus::Clear,
        }
    }

    /// Returns what is known of a fingerprint, to tell its home.
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
